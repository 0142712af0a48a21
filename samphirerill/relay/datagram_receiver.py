"""Receive the datagrams of other nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from msgspec import DecodeError

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.fleet.load_aggregation import name_aggregate
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.alarms import TYPE_PREFIX
from samphirerill.relay.health.remote_suspicions import apply_suspicions
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.node_status import NodeStatus, apply_node_status
from samphirerill.relay.peer_directory import Peer

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.change_source import ChangeSource
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.peer_directory import PeerDirectory
    from samphirerill.relay.peer_sync import PeerSync
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.status_sender import StatusSender

_LOG = get_logger('members')
_TYPE_PREFIX_BYTES = 2
_STATUS = build_msgpack_decoder(NodeStatus)


class DatagramReceiver(asyncio.DatagramProtocol):
    """The UDP port for datagrams between nodes.

    Parameters
    ----------
    state : EdgeState
        Updated with the load, replicas and link usage of other nodes.
    peers : PeerDirectory
        The other nodes.
    status_sender : StatusSender
        Forwards aggregates of other data centres.
    change_source : ChangeSource
        Notified of the store revisions that other nodes have.
    log : ChangeLog
        Store changes that this node has received.
    peer_sync : PeerSync
        Fetches from other nodes what the store does not deliver.
    alarms : Alarms
        Handles alarm datagrams.
    """

    def __init__(
        self,
        state: EdgeState,
        peers: PeerDirectory,
        status_sender: StatusSender,
        change_source: ChangeSource,
        log: ChangeLog,
        peer_sync: PeerSync,
        alarms: Alarms,
    ) -> None:
        self._handlers: dict[bytes, Callable[[bytes, str], None]] = {}
        self.add_handler(TYPE_PREFIX, alarms.handle_datagram)
        self._state = state
        self._peers = peers
        self._status_sender = status_sender
        self._change_source = change_source
        self._log = log
        self._peer_sync = peer_sync
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        # The process run and sequence number of the latest status, by sender.
        self._latest: dict[str, tuple[int, int]] = {}
        self._invalid = InvalidEntries(
            _LOG, 'cannot decode status datagram', 'sender'
        )

    async def start(self) -> None:
        """Open the port."""
        settings = self._state.settings
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(settings.host, settings.exchange_port)
        )

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def add_handler(
        self, type_prefix: bytes, handle: Callable[[bytes, str], None]
    ) -> None:
        """Pass datagrams with a type prefix to another component."""
        self._handlers[type_prefix] = handle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send through the same port."""
        # The event loop's transport is not declared as a datagram transport.
        self._transport = cast('asyncio.DatagramTransport', transport)
        self._status_sender.bind(self._transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Dispatch a datagram of another node."""
        handler = self._handlers.get(data[:_TYPE_PREFIX_BYTES])
        if handler is not None:
            handler(data, f'{addr[0]}:{addr[1]}')
            return
        try:
            status = _STATUS.decode(data)
        except DecodeError as exc:
            self._invalid.note(f'{addr[0]}:{addr[1]}', str(exc))
            return
        if status.node == self._state.settings.name or self._is_outdated(
            status
        ):
            return
        sender = f'{addr[0]}:{addr[1]}'
        if status.node == name_aggregate(status.data_centre):
            self._handle_aggregate(status, data, sender)
        else:
            self._handle_node_status(status, sender)

    def error_received(self, exc: Exception) -> None:
        """Count an undelivered datagram; the next status replaces it."""
        self._state.counters['datagrams.refused'] += 1

    def _is_outdated(self, status: NodeStatus) -> bool:
        """Return whether a later status arrived first."""
        latest = self._latest.get(status.node, (0, 0))
        if status.started == latest[0] and status.sequence <= latest[1]:
            return True
        self._latest[status.node] = (status.started, status.sequence)
        return False

    def _handle_node_status(self, status: NodeStatus, sender: str) -> None:
        peer = self._peers.get(status.node)
        if peer is None:
            port = self._state.settings.peers.rpartition(':')[2]
            host = sender.rpartition(':')[0]
            peer = Peer(
                sender, f'{host}:{port}', status.data_centre, announced=False
            )
            self._peers.add(status.node, peer)
        peer.last_seen_at = self._loop.time()
        peer.status = status
        if status.data_centre != self._state.settings.data_centre:
            self._state.forget_peer(name_aggregate(status.data_centre))
        self._apply_status(status)
        self._peer_sync.sync_if_behind(
            peer.http_address, status.version, status.revision
        )

    def _handle_aggregate(
        self, status: NodeStatus, data: bytes, sender: str
    ) -> None:
        """Apply another data centre's aggregate, and forward it.

        One that a node of this data centre has forwarded is not forwarded
        again.
        """
        if status.data_centre == self._state.settings.data_centre:
            return
        if sender not in self._peers.list_local_addresses(self._loop.time()):
            self._status_sender.forward(data)
        for name in self._peers.list_nodes_in(status.data_centre):
            self._state.forget_peer(name)
        self._apply_status(status)

    def _apply_status(self, status: NodeStatus) -> None:
        apply_node_status(self._state, status, self._loop.time())
        apply_suspicions(self._state, status)
        self._state.notify_listeners()
        self._change_source.note_peer_revision(
            status.revision, self._log.revision
        )
