"""Open connections to endpoints, and record whether this node reaches them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.direct_paths import ConnectFailure, DirectPaths
from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimeoutError,
)

if TYPE_CHECKING:
    from collections import Counter

_LOG = get_logger('dialer')
_NEVER = float('inf')


class EndpointDialer:
    """Opens connections to endpoints.

    Parameters
    ----------
    counters : Counter
        Counts failed connects by kind.

    Attributes
    ----------
    paths : DirectPaths
        Outcomes of the latest connects.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self.paths = DirectPaths()
        self._counters = counters
        self._reaches_none = False

    async def connect(
        self, address: str, deadline: float = _NEVER
    ) -> HttpConnection:
        """Return an open connection; raise ``ConnectError`` on failure.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        deadline : float
            On the loop's clock, if it is earlier than the connect timeout.
        """
        conn = HttpConnection(address)
        try:
            await conn.open(deadline)
        except ConnectError as exc:
            self.note_failure(address, _classify(exc))
            raise
        self._note_success()
        return conn

    def note_failure(self, address: str, failure: ConnectFailure) -> None:
        """Record that an endpoint was not reached directly."""
        self._counters[f'connects.failed.{failure.value}'] += 1
        now = asyncio.get_running_loop().time()
        self.paths.note_failure(address, failure, now)
        if self.paths.reaches_none() and not self._reaches_none:
            self._reaches_none = True
            self._counters['paths.lost'] += 1
            _LOG.warning(
                'no endpoint is reached directly',
                extra={
                    'failures': self.paths.count_failures(),
                    'last_success_ms': _describe_age(
                        self.paths.last_success_at, now
                    ),
                },
            )

    def _note_success(self) -> None:
        self.paths.note_success(asyncio.get_running_loop().time())
        if self._reaches_none:
            self._reaches_none = False
            _LOG.info('endpoints are reached directly again')


def _describe_age(at: float, now: float) -> int | str:
    if at == float('-inf'):
        return 'never'
    return round((now - at) * MS_PER_S)


def _classify(exc: ConnectError) -> ConnectFailure:
    if isinstance(exc, ConnectRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(exc, ConnectTimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.OTHER
