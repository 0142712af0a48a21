"""Open connections to endpoints, directly or through another node."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol

from samphirerill.decoding.addresses import CONNECT_ERRORS
from samphirerill.fleet.direct_paths import ConnectFailure
from samphirerill.node.logs import get_logger
from samphirerill.node.loop_lag import lag_aware_timeout_at
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import (
    ConnectError,
    ConnectRefusedError,
    ConnectTimeoutError,
    PeerUnavailableError,
    UnconfirmedConnectError,
)
from samphirerill.relay.path_tracker import PathTracker
from samphirerill.relay.path_verifier import PathVerifier

if TYPE_CHECKING:
    from collections import Counter

_LOG = get_logger('dialer')
_NEVER = float('inf')
# How long a direct connect may take where another node can be asked next. Live
# endpoints accept within milliseconds.
_DIRECT_TIMEOUT_S = 0.12

Connect = Callable[[str, float], Awaitable[HttpConnection]]


class TunnelOpener(Protocol):
    """Opens connections to endpoints through other nodes."""

    def has_peers(self) -> bool:
        """Return whether there is another node to ask."""

    def are_all_partitioned(self) -> bool:
        """Return whether no other node seems to reach an endpoint."""

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Return a connection to an endpoint through another node."""


class EndpointDialer:
    """Opens connections to endpoints.

    An endpoint that this node does not reach is connected to through another
    node, if that one reaches it.

    Parameters
    ----------
    counters : Counter
        Counts failed connects by kind.

    Attributes
    ----------
    paths : PathTracker
        Which endpoints this node reaches.
    verifier : PathVerifier
        Finds out whether an endpoint or a path is at fault.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self.paths = PathTracker(counters)
        self.verifier = PathVerifier(self)
        self._tunnels: TunnelOpener | None = None

    def bind(self, tunnels: TunnelOpener) -> None:
        """Use tunnels of other nodes from now on."""
        self._tunnels = tunnels

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
        if self.paths.needs_tunnel(address):
            return await self._connect_over_tunnel(address, deadline)
        if not self.can_tunnel():
            return await self.connect_directly(address, deadline)
        try:
            return await self.try_directly(address, deadline)
        except ConnectError as exc:
            return await self._connect_after_failure(exc, address, deadline)

    async def connect_directly(
        self, address: str, deadline: float = _NEVER
    ) -> HttpConnection:
        """Return a connection over this node's own links.

        Raises ``ConnectError`` on failure.
        """
        conn = HttpConnection(address)
        try:
            await conn.open(deadline)
        except ConnectError as exc:
            self.paths.note_failure(address, _classify(exc))
            raise
        # Connections that are accepted may still lead nowhere.
        conn.notify_on_response(partial(self.paths.note_success, address))
        return conn

    async def connect_through_peer(
        self, address: str, deadline: float = _NEVER
    ) -> HttpConnection:
        """Return a connection that another node relays.

        Raises
        ------
        ConnectError
            The other node did not reach the endpoint either.
        PeerUnavailableError
            No node could be asked.
        """
        if self._tunnels is None:
            raise PeerUnavailableError(f'{address}: no other node is known')
        try:
            return await self._tunnels.open(address, deadline)
        finally:
            self.paths.note_peers(
                are_available=not self._tunnels.are_all_partitioned()
            )

    async def attach_directly(
        self, protocol: asyncio.Protocol, address: str
    ) -> None:
        """Connect a protocol to an endpoint over this node's own links.

        Raises ``ConnectError`` on failure.
        """
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        until = self._now() + _DIRECT_TIMEOUT_S
        try:
            async with lag_aware_timeout_at(until):
                await loop.create_connection(lambda: protocol, host, int(port))
        except TimeoutError as exc:
            self.paths.note_failure(address, ConnectFailure.TIMED_OUT)
            raise ConnectTimeoutError(f'{address}: {exc!r}') from exc
        except CONNECT_ERRORS as exc:
            self.paths.note_failure(address, ConnectFailure.REFUSED)
            raise ConnectRefusedError(f'{address}: {exc!r}') from exc

    def can_tunnel(self) -> bool:
        """Return whether another node may be asked to connect."""
        return self._tunnels is not None and self._tunnels.has_peers()

    async def try_directly(
        self, address: str, deadline: float
    ) -> HttpConnection:
        """Connect directly, with time left to ask another node."""
        until = min(deadline, self._now() + _DIRECT_TIMEOUT_S)
        return await self.connect_directly(address, until)

    async def _connect_over_tunnel(
        self, address: str, deadline: float
    ) -> HttpConnection:
        """Connect through another node; directly if none can help."""
        try:
            return await self.connect_through_peer(address, deadline)
        except PeerUnavailableError as exc:
            reason = str(exc)
        try:
            return await self.try_directly(address, deadline)
        except ConnectError as exc:
            raise UnconfirmedConnectError(f'{exc}; {reason}') from exc

    async def _connect_after_failure(
        self, failure: ConnectError, address: str, deadline: float
    ) -> HttpConnection:
        """Connect through another node after a direct connect has failed."""
        try:
            conn = await self.connect_through_peer(address, deadline)
        except PeerUnavailableError as exc:
            raise UnconfirmedConnectError(f'{failure}; {exc}') from exc
        self.paths.note_lost(address)
        return conn

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


def _classify(exc: ConnectError) -> ConnectFailure:
    if isinstance(exc, ConnectRefusedError):
        return ConnectFailure.REFUSED
    if isinstance(exc, ConnectTimeoutError):
        return ConnectFailure.TIMED_OUT
    return ConnectFailure.OTHER
