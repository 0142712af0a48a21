"""Send a status at once when other nodes' decisions depend on it.

Waiting work that appears holds back less urgent work elsewhere, and the end of
a stream lets work elsewhere start. Both would otherwise wait for the next
periodic status.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import msgpack

if TYPE_CHECKING:
    from samphirerill.relay.peer_directory import PeerDirectory
    from samphirerill.relay.shared_service import SharedService
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.status_sender import StatusSender

# Least interval between two of these statuses to all nodes. A quarter of the
# interval between ordinary ones, which bounds what each node has to process.
_MIN_INTERVAL_S = 0.02
_INTERVAL_PER_NODE_S = 0.003
# Least interval between two to one node, after ends of streams.
_END_INTERVAL_S = 0.005


class PromptStatus:
    """Decides when the status of this node is sent out of turn.

    Parameters
    ----------
    state : EdgeState
        The shared services of this node.
    peers : PeerDirectory
        The other nodes.
    sender : StatusSender
        Sends the status.
    """

    __slots__ = (
        '_is_scheduled',
        '_last_at',
        '_last_end_at',
        '_loop',
        '_peers',
        '_sender',
        '_sent_version',
        '_state',
    )

    def __init__(
        self, state: EdgeState, peers: PeerDirectory, sender: StatusSender
    ) -> None:
        self._state = state
        self._peers = peers
        self._sender = sender
        self._loop = asyncio.get_running_loop()
        self._sent_version = state.rooms.get_version()
        self._is_scheduled = False
        self._last_at = float('-inf')
        self._last_end_at = float('-inf')

    def note_waiting(self) -> None:
        """Send to all nodes if waiting work has appeared or disappeared."""
        if self._is_scheduled or not self._has_changed():
            return
        now = self._loop.time()
        count = len(self._peers.list_local_addresses(now))
        interval_s = max(_MIN_INTERVAL_S, _INTERVAL_PER_NODE_S * count)
        self._is_scheduled = True
        self._loop.call_at(max(now, self._last_at + interval_s), self._send)

    def note_end(self, shared: SharedService, lowest_level: int) -> None:
        """Send to one node with work that precedes this node's own.

        Parameters
        ----------
        shared : SharedService
            The service of a request that has ended.
        lowest_level : int
            The lowest level that waits at this node.
        """
        now = self._loop.time()
        if now < self._last_end_at + _END_INTERVAL_S:
            return
        rooms = self._list_targets(shared, lowest_level, now)
        if not rooms:
            return
        self._last_end_at = now
        name = self._state.random.choices(tuple(rooms), tuple(rooms.values()))[
            0
        ]
        data = msgpack.encode(self._sender.build_status())
        self._sender.send_to_node(name, data)

    def _send(self) -> None:
        self._is_scheduled = False
        if self._has_changed():
            self._last_at = self._loop.time()
            self._sent_version = self._state.rooms.get_version()
            self._sender.send_local()
            if self._peers.is_direct(self._last_at):
                self._sender.send_remote()

    def _has_changed(self) -> bool:
        return self._state.rooms.get_version() != self._sent_version

    def _list_targets(
        self, shared: SharedService, lowest_level: int, now: float
    ) -> dict[str, float]:
        """Return the room that waits at each node that may be told of it.

        In a large fleet, nodes of other data centres only get aggregates: with
        a status of one node as well, they would count its load twice.
        """
        waiting = shared.fleet_room.list_waiting_peers(lowest_level, now)
        own = self._state.settings.data_centre
        is_direct = self._peers.is_direct(now)
        targets = {}
        for name, room in waiting.items():
            peer = self._peers.get(name)
            if peer is not None and (is_direct or peer.data_centre == own):
                targets[name] = room
        return targets
