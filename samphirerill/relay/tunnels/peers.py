"""Choose the nodes that relay connections of this one."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import ConnectError, PeerUnavailableError
from samphirerill.relay.tunnels.handshake import open_tunnel

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.peer_directory import PeerDirectory
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('tunnels')
# A connect of the other node, and a second one to prove its own paths.
_TUNNEL_TIMEOUT_S = 0.25
# Nodes that are asked for one tunnel.
_MAX_ASKED = 4
# Connections are spread over a few nodes, not over all of a large fleet.
_MAX_RELAYS = 4
# How long a node that opened no tunnel is not asked.
_AVOIDANCE_S = 1.0


class TunnelPeers:
    """Opens tunnels through other nodes.

    Nodes of the same data centre are asked first, as bytes between data centres
    are billed. If they cannot help, the data centre may be partitioned as a
    whole, and nodes elsewhere are asked for a while.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    peers : PeerDirectory
        The other nodes.
    """

    __slots__ = (
        '_avoided',
        '_local_avoided_until',
        '_peers',
        '_relays',
        '_state',
    )

    def __init__(self, state: EdgeState, peers: PeerDirectory) -> None:
        self._state = state
        self._peers = peers
        # Nodes that opened the latest tunnels; the oldest first.
        self._relays: list[str] = []
        # Until when nodes that could not help are not asked, by name.
        self._avoided: dict[str, float] = {}
        self._local_avoided_until = 0.0

    def has_peers(self) -> bool:
        """Return whether there is another node to ask."""
        return self._peers.has_active(self._now())

    def list_relays(self) -> list[str]:
        """Return the nodes that opened the latest tunnels."""
        return list(self._relays)

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Return a connection to an endpoint through another node.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        deadline : float
            On the loop's clock.

        Raises
        ------
        ConnectError
            Another node did not reach the endpoint either.
        PeerUnavailableError
            No node could help.
        """
        reason = 'no other node is known'
        for _ in range(_MAX_ASKED):
            name = self._choose()
            if not name or self._now() >= deadline:
                break
            try:
                return await self._open_through(name, address, deadline)
            except PeerUnavailableError as exc:
                reason = str(exc)
                self._avoid(name, reason)
        raise PeerUnavailableError(f'{address}: {reason}')

    async def _open_through(
        self, name: str, address: str, deadline: float
    ) -> HttpConnection:
        peer = self._peers.get(name)
        if peer is None:
            raise PeerUnavailableError(f'{name}: is not known any more')
        until = min(deadline, self._now() + _TUNNEL_TIMEOUT_S)
        try:
            conn = await open_tunnel(
                peer.http_address, address, self._state.settings.name, until
            )
        except PeerUnavailableError:
            raise
        except ConnectError:
            self._note_relay(name)
            raise
        self._note_relay(name)
        self._state.counters['tunnels.opened'] += 1
        return conn

    def _choose(self) -> str:
        """Return the node to ask next; empty if there is none."""
        now = self._now()
        allowed = [
            name
            for name in self._peers.list_data_centres(now)
            if self._avoided.get(name, now) <= now
        ]
        relays = [name for name in self._relays if name in allowed]
        if len(relays) < _MAX_RELAYS:
            relays.extend(self._list_new(allowed))
        return self._state.random.choice(relays or [''])

    def _list_new(self, allowed: Iterable[str]) -> list[str]:
        """Return nodes that were not asked yet, preferably near ones."""
        new = [name for name in allowed if name not in self._relays]
        if self._now() < self._local_avoided_until:
            return new
        return [name for name in new if self._is_local(name)] or new

    def _is_local(self, name: str) -> bool:
        peer = self._peers.get(name)
        own = self._state.settings.data_centre
        return peer is not None and peer.data_centre == own

    def _note_relay(self, name: str) -> None:
        if name not in self._relays:
            self._relays = [*self._relays[1 - _MAX_RELAYS :], name]

    def _avoid(self, name: str, reason: str) -> None:
        now = self._now()
        self._state.counters['tunnels.not_opened'] += 1
        self._avoided = {
            avoided: until
            for avoided, until in self._avoided.items()
            if until > now
        }
        if name not in self._avoided:
            _LOG.info(
                'no tunnel through this node',
                extra={'peer': name, 'reason': reason},
            )
        self._avoided[name] = now + _AVOIDANCE_S
        if name in self._relays:
            self._relays.remove(name)
        if self._is_local(name):
            self._local_avoided_until = now + _AVOIDANCE_S

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
