"""Track which endpoints this node reaches itself, and log the changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.direct_paths import DirectPaths
from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable, Collection

    from samphirerill.fleet.direct_paths import ConnectFailure
    from samphirerill.relay.connection import HttpConnection

_LOG = get_logger('paths')
# Reason and Retry-After of refusals while no endpoint is reached; paths are
# checked more often.
ISOLATED = 'no node reaches an endpoint'
ISOLATED_RETRY_S = 1.0


class PathTracker:
    """The paths of this node to endpoints, by address.

    Parameters
    ----------
    counters : Counter
        Counts failed connects and partitions.
    """

    __slots__ = (
        '_counters',
        '_listeners',
        '_paths',
        '_reaches_none',
        '_watchers',
    )

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._paths = DirectPaths()
        self._reaches_none = False
        self._watchers: dict[HttpConnection, Callable[[], None]] = {}
        self._listeners: list[Callable[[], None]] = []

    @property
    def is_partitioned(self) -> bool:
        """Return whether all paths count as broken."""
        return self._paths.is_partitioned

    @property
    def last_success_at(self) -> float:
        """Return when an endpoint was last reached, on the loop's clock."""
        return self._paths.last_success_at

    @property
    def is_isolated(self) -> bool:
        """Return whether no node is known to reach an endpoint."""
        return self._paths.is_isolated(self._now())

    @property
    def reaches_none(self) -> bool:
        """Return whether several endpoints failed and none answered since."""
        return self._paths.reaches_none(self._now())

    def needs_tunnel(self, address: str) -> bool:
        """Return whether an endpoint is to be reached through another node."""
        return self._paths.needs_tunnel(address)

    def list_lost(self) -> list[str]:
        """Return the endpoints whose paths are known to be broken."""
        return self._paths.list_lost()

    def keep_only(self, addresses: Collection[str]) -> None:
        """Forget endpoints that are no longer announced."""
        self._paths.keep_only(addresses)

    def add_listener(self, handle_lost: Callable[[], None]) -> None:
        """Call back each time that further paths are known to be broken."""
        self._listeners.append(handle_lost)

    def watch(
        self, conn: HttpConnection, handle_lost: Callable[[], None]
    ) -> None:
        """Call back each time that the path of a connection may be broken."""
        if not conn.is_relayed:
            self._watchers[conn] = handle_lost

    def unwatch(self, conn: HttpConnection) -> None:
        """Stop watching a connection."""
        self._watchers.pop(conn, None)

    def is_lost(self, conn: HttpConnection) -> bool:
        """Return whether a connection runs over a path known to be broken."""
        return not conn.is_relayed and self._paths.needs_tunnel(conn.address)

    def note_failure(self, address: str, failure: ConnectFailure) -> None:
        """Record that an endpoint was not reached directly."""
        self._counters[f'connects.failed.{failure.value}'] += 1
        now = self._now()
        self._paths.note_failure(address, failure, now)
        if self._paths.reaches_none(now) and not self._reaches_none:
            self._reaches_none = True
            self._counters['paths.lost'] += 1
            _LOG.warning(
                'no endpoint is reached directly',
                extra={
                    'failures': self._paths.count_failures(),
                    'last_success_ms': _describe_age(
                        self._paths.last_success_at, now
                    ),
                },
            )

    def note_peers(self, *, are_available: bool) -> None:
        """Record whether another node could help to reach an endpoint."""
        self._paths.note_peers(self._now(), are_available=are_available)

    def note_lost(self, address: str) -> None:
        """Record that only another node reached an endpoint."""
        was_lost = self._paths.needs_tunnel(address)
        was_partitioned = self._paths.is_partitioned
        now = self._now()
        self._paths.note_lost(address, now)
        if not was_lost:
            _LOG.warning(
                'endpoint is reached through other nodes only',
                extra={
                    'endpoint': address,
                    'last_success_ms': _describe_age(
                        self._paths.last_success_at, now
                    ),
                },
            )
        if self._paths.is_partitioned and not was_partitioned:
            self._counters['paths.partitions'] += 1
            _LOG.warning(
                'partitioned from endpoints; connecting through other nodes',
                extra={'lost': len(self._paths.list_lost())},
            )
        if not was_lost or not was_partitioned:
            self._notify_watchers()

    def note_success(self, address: str) -> None:
        """Record that an endpoint was reached directly."""
        was_partitioned = self._paths.is_partitioned
        self._paths.note_success(address, self._now())
        if self._reaches_none:
            self._reaches_none = False
            _LOG.info('an endpoint is reached directly again')
        if was_partitioned and not self._paths.is_partitioned:
            _LOG.info('partition from endpoints has ended')

    def _notify_watchers(self) -> None:
        for conn, handle_lost in tuple(self._watchers.items()):
            if self.is_lost(conn):
                handle_lost()
        for listener in self._listeners:
            listener()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _describe_age(at: float, now: float) -> int | str:
    if at == float('-inf'):
        return 'never'
    return round((now - at) * MS_PER_S)
