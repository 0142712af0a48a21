"""Open tunnels to endpoints through other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.relay_choice import RelayChoice
from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import (
    ConnectError,
    PeerPartitionedError,
    PeerUnavailableError,
)
from samphirerill.relay.tunnels.handshake import TunnelRequest, open_tunnel

if TYPE_CHECKING:
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.peer_directory import PeerDirectory
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('tunnels')
# A connect of the other node, and a second one to prove its own paths.
_TUNNEL_TIMEOUT_S = 0.3
# Nodes that are asked for one tunnel.
_MAX_ASKED = 4


class TunnelPeers:
    """Opens tunnels through other nodes.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    peers : PeerDirectory
        The other nodes.
    """

    __slots__ = ('_choice', '_peers', '_state')

    def __init__(self, state: EdgeState, peers: PeerDirectory) -> None:
        self._state = state
        self._peers = peers
        self._choice = RelayChoice(state.settings.data_centre, state.random)

    def has_peers(self) -> bool:
        """Return whether there is another node to ask."""
        return self._peers.has_active(self._now())

    def list_relays(self) -> list[str]:
        """Return the nodes that opened the latest tunnels."""
        return list(self._choice.relays)

    def are_all_partitioned(self) -> bool:
        """Return whether no other node seems to reach an endpoint."""
        now = self._now()
        nodes = self._peers.list_data_centres(now)
        return self._choice.are_all_partitioned(nodes, now)

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
        asked: set[str] = set()
        while len(asked) < _MAX_ASKED and self._now() < deadline:
            nodes = self._peers.list_data_centres(self._now())
            name = self._choice.choose(nodes, asked, self._now())
            if not name:
                break
            asked.add(name)
            try:
                return await self._open_through(name, address, deadline)
            except PeerUnavailableError as exc:
                reason = str(exc)
                self._note_failure(name, exc)
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
                peer.http_address, self._build_request(address), until
            )
        except PeerUnavailableError:
            raise
        except ConnectError:
            self._choice.note_help(name, self._now())
            raise
        self._choice.note_help(name, self._now())
        self._state.counters['tunnels.opened'] += 1
        return conn

    def _build_request(self, address: str) -> TunnelRequest:
        known = self._state.view.find_by_address(address)
        replica_id = '' if known is None else known.replica.replica_id
        return TunnelRequest(address, replica_id, self._state.settings.name)

    def _note_failure(self, name: str, exc: PeerUnavailableError) -> None:
        self._state.counters['tunnels.not_opened'] += 1
        now = self._now()
        if isinstance(exc, PeerPartitionedError):
            self._choice.note_partitioned(name, now)
        else:
            self._choice.note_slow(name, now)
        _LOG.info(
            'no tunnel through this node',
            extra={'peer': name, 'reason': str(exc)},
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()
