"""Reports of room in status datagrams."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase

from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack, structs

from samphirerill.relay.aggregate_status import build_aggregate
from samphirerill.relay.node_status import NodeStatus
from samphirerill.relay.room_rows import RoomRow, decode_row
from samphirerill.sharing.model import RoomReport, WaitingWork, WorkItem
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.peers import Network
from samphirerill.tests.shared_nodes import (
    SERVICE,
    SharedNode,
    build_configuration,
)

if TYPE_CHECKING:
    from samphirerill.relay.shared_service import SharedService

_NODES = 12
_MAX_STATUS_BYTES = 400
_MAX_AGGREGATE_BYTES = 1000
_MAX_ROOM = 1_000_000_000
_NUMBERS = st.integers(-(2**63), 2**63)
_ROWS = st.dictionaries(_NUMBERS, _NUMBERS, max_size=4)
_WAITING = st.dictionaries(_NUMBERS, st.tuples(_NUMBERS, _NUMBERS), max_size=4)


class TestReceivedRows(TestCase):
    """What another node sends may be wrong."""

    def test_wrong_entries_are_dropped_and_counted(self) -> None:
        wrong = dict.fromkeys((-3, 4000), (1, 5))
        row = RoomRow(
            {0: 5, -1: 5, 1: -5, 99: 5},
            {7: 3, -7: 3, 2**33: 3, 8: -1},
            -1,
            {0: (1, 5), 1: (0, 5), 2: (1, 10**15), **wrong},
            3,
        )
        decoded = decode_row(row)
        waiting = {0: WaitingWork(1, 5)}
        self.assertEqual(
            decoded.report, RoomReport({0: 5}, {7: 3}, 0, waiting, 3)
        )
        self.assertEqual(decoded.dropped, 3 + 3 + 4 + 1)

    @given(_ROWS, _ROWS, _WAITING, _NUMBERS)
    def test_any_numbers_are_decoded_without_error(
        self,
        ranks: dict[int, int],
        accounts: dict[int, int],
        waiting: dict[int, tuple[int, int]],
        number: int,
    ) -> None:
        row = RoomRow(ranks, accounts, number, waiting, number)
        report = decode_row(row).report
        rooms = (report.running_by_rank, report.running_by_account)
        self.assertTrue(
            all(
                0 <= room <= _MAX_ROOM
                for found in rooms
                for room in found.values()
            )
        )

    def test_too_many_entries_are_dropped(self) -> None:
        """Guard against memory that grows with what others send."""
        rooms = dict.fromkeys(range(99), 1)
        waiting = dict.fromkeys(range(99), (1, 1))
        decoded = decode_row(RoomRow(rooms, rooms, 99, waiting, 1))
        report = decoded.report
        self.assertEqual(len(report.running_by_rank), 16)
        self.assertEqual(len(report.running_by_account), 32)
        self.assertEqual(len(report.waiting), 32)
        self.assertEqual(decoded.dropped, 3 * 99 - 16 - 32 - 32)


class TestExchange(IsolatedAsyncioTestCase):
    """Nodes with many accounts, ranks and waiting streams."""

    async def asyncSetUp(self) -> None:
        self.network = Network()
        self.accounts = {f'account-{number}': 1.0 for number in range(60)}
        self.cfg = build_configuration(self.accounts)
        self.nodes = [self.build_node(number) for number in range(_NODES)]
        for node in self.nodes:
            node.add_peers(self.nodes)

    def build_node(self, number: int) -> SharedNode:
        """Return a node that runs and waits for streams of all accounts."""
        node = SharedNode(self.network, number, self.cfg)
        shared = node.state.rooms.get(SERVICE)
        assert shared is not None
        for position, account in enumerate(self.accounts):
            tokens = 70_000 + 5_000 * ((position + 5 * number) % 60)
            item = WorkItem(position % 4, account, tokens, 0, 0)
            shared.fleet_room.start(item)
            shared.fleet_room.enqueue(item)
        return node

    def measure_growth(self, status: NodeStatus) -> int:
        """Return the bytes that the room of all services adds."""
        without = structs.replace(status, room={})
        return len(msgpack.encode(status)) - len(msgpack.encode(without))

    async def test_datagrams_grow_within_their_bounds(self) -> None:
        statuses = [node.status_sender.build_status() for node in self.nodes]
        aggregate = build_aggregate(
            self.nodes[0].state, statuses[0], statuses[1:]
        )
        self.assertLess(self.measure_growth(statuses[0]), _MAX_STATUS_BYTES)
        self.assertLess(self.measure_growth(aggregate), _MAX_AGGREGATE_BYTES)
        row = aggregate.room[SERVICE]
        self.assertEqual(len(row.accounts), 32)
        self.assertEqual(
            sum(count for count, _ in row.waiting.values()), 60 * _NODES
        )

    async def test_an_aggregate_replaces_the_reports_of_its_nodes(self) -> None:
        """Guard against waiting work that is counted twice."""
        receiver = SharedNode(self.network, 40, self.cfg)
        for node in self.nodes[:2]:
            status = node.status_sender.build_status()
            receiver.receiver.datagram_received(
                msgpack.encode(status), (node.host, 1)
            )
        self.assertEqual(receiver.count_elsewhere(99), 120)
        receiver.state.forget_peer(self.nodes[0].name)
        self.assertEqual(receiver.count_elsewhere(99), 60)

    async def test_a_node_without_the_field_is_understood(self) -> None:
        # The other nodes don't know it, and send it nothing of their own.
        receiver = SharedNode(self.network, 40, self.cfg)
        status = structs.astuple(self.nodes[0].status_sender.build_status())
        data = msgpack.encode(status[:-1])
        receiver.receiver.datagram_received(data, (self.nodes[0].host, 1))
        self.assertEqual(receiver.count_elsewhere(99), 0)
        self.assertEqual(receiver.state.load_tracker.count_peers(), 1)

    async def test_unknown_services_are_counted_and_not_kept(self) -> None:
        state = self.nodes[0].state
        state.rooms.apply('x', {'unknown': RoomRow({0: 1})}, 0)
        self.assertEqual(state.counters['rooms.entries_dropped'], 1)
        self.assertIsNone(state.rooms.get('unknown'))


class _RecordingNetwork(Network):
    """Records the hosts that datagrams are sent to."""

    def __init__(self) -> None:
        super().__init__()
        self.receivers: list[str] = []

    def send(self, sender: str, data: bytes, host: str) -> None:
        """Record and deliver a datagram."""
        self.receivers.append(host)
        super().send(sender, data, host)


class TestPromptStatus(TestCase):
    """Statuses that are sent out of turn."""

    def start(self) -> None:
        """Start three nodes."""
        self.network = _RecordingNetwork()
        cfg = build_configuration({'one': 1.0})
        self.nodes = [
            SharedNode(self.network, number, cfg) for number in range(3)
        ]
        for node in self.nodes:
            node.add_peers(self.nodes)

    def get_service(self, number: int) -> SharedService:
        """Return the service at a node."""
        shared = self.nodes[number].state.rooms.get(SERVICE)
        assert shared is not None
        return shared

    def test_changes_of_the_queue_are_sent_at_a_limited_rate(self) -> None:
        """Guard against a datagram for each stream that waits briefly."""

        async def run() -> None:
            self.start()
            rooms = self.nodes[0].state.rooms
            fleet_room = self.get_service(0).fleet_room
            item = WorkItem(0, 'one', 100, 0, 0)
            for _ in range(30):
                fleet_room.enqueue(item)
                rooms.note_waiting()
                await asyncio.sleep(0.001)
                fleet_room.leave_queue(item)
                rooms.note_waiting()
                await asyncio.sleep(0.001)

        run_with_virtual_time(run())
        self.assertGreaterEqual(len(self.network.receivers), 2 * 3)
        self.assertLessEqual(len(self.network.receivers), 2 * 4)

    def test_an_ended_stream_is_told_to_one_waiting_node(self) -> None:
        async def run() -> None:
            self.start()
            self.get_service(1).fleet_room.enqueue(
                WorkItem(0, 'one', 100, 0, 0)
            )
            sender = self.nodes[0]
            for node in self.nodes[1:]:
                data = msgpack.encode(node.status_sender.build_status())
                sender.receiver.datagram_received(data, (node.host, 1))
            # Its own work of the same level goes first; the rest is limited.
            for level in (0, 1, 1, 1):
                sender.state.rooms.note_end(self.get_service(0), level)

        run_with_virtual_time(run())
        self.assertEqual(self.network.receivers, [self.nodes[1].host])
