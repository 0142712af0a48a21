"""Send this node's status to the other nodes: load, suspicions, link usage.

In a small fleet every node sends to every other one, less often to those in
other data centres. In a large fleet a node sends to its own data centre only,
and one node of each data centre sends an aggregate to the others (see
`fleet.load_aggregation`).
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from msgspec import msgpack

from samphirerill.decoding.addresses import is_address
from samphirerill.fleet.load_aggregation import is_full_mesh
from samphirerill.relay.aggregate_status import build_aggregate
from samphirerill.relay.node_status import build_node_status
from samphirerill.relay.prompt_status import PromptStatus

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from samphirerill.relay.node_status import NodeStatus
    from samphirerill.relay.peer_directory import PeerDirectory
    from samphirerill.relay.state import EdgeState

# A status is sent this long after a change, and at this interval without one;
# both grow with the number of local nodes, which bounds what each has to
# process.
_MIN_SEND_DELAY_S = 0.08
_SEND_DELAY_PER_NODE_S = 0.012
_MIN_SEND_INTERVAL_S = 0.4
_SEND_INTERVAL_PER_NODE_S = 0.015
# Traffic between data centres is billed, and few requests cross them.
_REMOTE_INTERVAL_S = 0.25

# Datagrams take less, and node clocks and loops lag by less.
_TRANSIT_S = 0.02


def find_report_age_s(nodes: Mapping[str, str]) -> float:
    """Return how old the reports on requests of other nodes may be.

    It is the same at all nodes.

    Parameters
    ----------
    nodes : mapping
        The data centre of each node by name.
    """
    sizes = Counter(nodes.values())
    largest = max(sizes.values(), default=1)
    age_s = _MIN_SEND_DELAY_S + _SEND_DELAY_PER_NODE_S * largest + _TRANSIT_S
    if len(sizes) < 2:
        return age_s
    remote_s = _REMOTE_INTERVAL_S + _TRANSIT_S
    if is_full_mesh(len(nodes) - 1):
        return max(age_s, remote_s)
    return age_s + remote_s + _TRANSIT_S


class StatusSender:
    """Sends the status of this node, and datagrams of other components.

    Parameters
    ----------
    state : EdgeState
        Source of the status: load, replicas and link usage.
    peers : PeerDirectory
        The other nodes.
    """

    def __init__(self, state: EdgeState, peers: PeerDirectory) -> None:
        self._state = state
        self._peers = peers
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._sequence = 0
        self._sent_versions = (-1, -1, -1)
        self._send_at = 0.0
        prompt = PromptStatus(state, peers, self)
        state.rooms.bind(prompt.note_waiting, prompt.note_end)

    def bind(self, transport: asyncio.DatagramTransport) -> None:
        """Send through this transport from now on."""
        self._transport = transport
        self._state.add_listener(self._schedule_send)

    def forward(self, data: bytes) -> None:
        """Forward a datagram to this node's data centre."""
        self._send_to(data, self._peers.list_local_addresses(self._loop.time()))

    def forward_from(self, sender: str, data: bytes) -> None:
        """Forward a datagram from another data centre, in a large fleet."""
        now = self._loop.time()
        local = self._peers.list_local_addresses(now)
        if sender not in local and not self._peers.is_direct(now):
            self._send_to(data, local)

    def send_to_all(self, data: bytes) -> None:
        """Send to every other node.

        In a large fleet a few nodes of each other data centre receive the
        datagram and forward it there.
        """
        now = self._loop.time()
        directory = self._peers
        if directory.is_direct(now):
            remote = directory.list_remote_addresses(now)
        else:
            remote = directory.list_receivers(now)
        self._send_to(data, directory.list_local_addresses(now) | remote)

    def send_to_node(self, name: str, data: bytes) -> None:
        """Send to one node, if it is known."""
        peer = self._peers.get(name)
        if peer is not None:
            self._send_to(data, (peer.datagram_address,))

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centre of each node by name, this one included."""
        settings = self._state.settings
        return {
            **self._peers.list_data_centres(self._loop.time()),
            settings.name: settings.data_centre,
        }

    def list_live_nodes(self) -> set[str]:
        """Return the other nodes of this data centre that were heard lately."""
        return self._peers.list_live(self._loop.time())

    async def run(self) -> None:
        """Send the status periodically until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_local())
            group.create_task(self._run_remote())

    def send_local(self) -> None:
        """Send the status to the nodes of this data centre."""
        self._send_at = 0.0
        self._sent_versions = self._read_versions()
        data = msgpack.encode(self.build_status())
        local = self._peers.list_local_addresses(self._loop.time())
        self._send_to(data, local | self._list_seed_addresses(local))

    def send_remote(self) -> None:
        """Send to other data centres: to all nodes there or to a few."""
        now = self._loop.time()
        if self._peers.is_direct(now):
            self._send_to(
                msgpack.encode(self.build_status()),
                self._peers.list_remote_addresses(now),
            )
        elif self._peers.is_aggregator(now):
            local = self._peers.list_local_statuses(now)
            aggregate = build_aggregate(self._state, self.build_status(), local)
            self._send_to(
                msgpack.encode(aggregate), self._peers.list_receivers(now)
            )

    def build_status(self) -> NodeStatus:
        """Return the present status of this node, to be sent now."""
        self._sequence += 1
        return build_node_status(self._state, self._sequence, self._loop.time())

    async def _run_local(self) -> None:
        while True:
            self.send_local()
            count = len(self._peers.list_local_addresses(self._loop.time()))
            await asyncio.sleep(
                max(_MIN_SEND_INTERVAL_S, _SEND_INTERVAL_PER_NODE_S * count)
            )

    async def _run_remote(self) -> None:
        while True:
            await asyncio.sleep(_REMOTE_INTERVAL_S)
            self.send_remote()

    def _schedule_send(self) -> None:
        """Schedule one send for all changes within a short delay."""
        if self._read_versions() == self._sent_versions or self._send_at:
            return
        now = self._loop.time()
        count = len(self._peers.list_local_addresses(now))
        self._send_at = now + max(
            _MIN_SEND_DELAY_S, _SEND_DELAY_PER_NODE_S * count
        )
        self._loop.call_at(self._send_at, self.send_local)

    def _send_to(self, data: bytes, addresses: Iterable[str]) -> None:
        # The port closes before the sending tasks are cancelled; sending on it
        # would raise and replace the cancellation, so that the node does not
        # exit.
        if self._transport is None or self._transport.is_closing():
            return
        settings = self._state.settings
        own = f'{settings.host}:{settings.exchange_port}'
        for address in addresses:
            if address != own:
                host, _, port = address.rpartition(':')
                self._transport.sendto(data, (host, int(port)))

    def _list_seed_addresses(self, known: set[str]) -> set[str]:
        """Return seed addresses as long as fewer nodes are known."""
        settings = self._state.settings
        if len(known) >= len(settings.seeds):
            return set()
        # All nodes use the same datagram port.
        return {
            f'{seed.rpartition(":")[0]}:{settings.exchange_port}'
            for seed in settings.seeds
            if is_address(seed)
        }

    def _read_versions(self) -> tuple[int, int, int]:
        return (
            self._state.load_tracker.own_version,
            self._state.view.own_suspicions_version,
            self._state.rooms.get_version(),
        )
