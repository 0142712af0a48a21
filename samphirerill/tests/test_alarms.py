"""Alarms that arrive late, twice, out of order or malformed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import msgpack

from samphirerill.relay.health.alarms import TYPE_PREFIX, Alarm
from samphirerill.relay.replica_ids import checksum_name
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.fleet.suspicion import Suspicion

_LAYERS = 80


class TestAlarms(IsolatedAsyncioTestCase):
    """Alarms of one node about one replica, received by another node."""

    async def asyncSetUp(self) -> None:
        network = Network()
        self.sender = Node(network, 'a-0', 'a')
        self.node = Node(network, 'a-1', 'a')
        for node in network.nodes.values():
            node.add_peers(network.nodes.values())
        self.node.state.view.apply_announcement(
            build_replica('one', layers=(0, _LAYERS)), 1
        )
        self.now = asyncio.get_running_loop().time()

    def deliver(
        self,
        sequence: int,
        suspected: tuple[int, int, int] | None = None,
        alive: int | None = None,
    ) -> Suspicion:
        """Deliver an alarm; return the suspicions about the replica."""
        key = checksum_name('one')
        alarm = Alarm(
            'a-0',
            'a',
            7,
            sequence,
            {} if suspected is None else {key: suspected},
            {} if alive is None else {key: alive},
        )
        self.node.alarms.handle_datagram(
            TYPE_PREFIX + msgpack.encode(alarm), '10.0.0.0:7340'
        )
        view = self.node.state.view
        return view.replicas['one'].suspicion

    async def test_a_reordered_alarm_is_applied(self) -> None:
        """Guard against dropping an alarm because a later one arrived first.

        Alarms to all nodes are forwarded, and may arrive after a direct one.
        """
        self.deliver(6, alive=3000)
        self.assertTrue(
            self.deliver(5, suspected=(10, 2000, 2)).suspected_until
        )

    async def test_a_duplicate_alarm_is_ignored(self) -> None:
        self.deliver(5, suspected=(10, 2000, 2))
        self.node.state.view.note_alive('one')
        self.assertFalse(
            self.deliver(5, suspected=(10, 2000, 2)).suspected_until
        )

    async def test_outdated_and_future_entries_are_ignored(self) -> None:
        self.assertFalse(self.deliver(5, suspected=(5000, 2000, 2)).reports)
        self.assertFalse(self.deliver(6, suspected=(-900, 2000, 2)).reports)
        self.deliver(7, alive=-100_000)
        self.assertTrue(self.deliver(8, suspected=(0, 2000, 2)).suspected_until)

    async def test_the_duration_is_bounded(self) -> None:
        suspicion = self.deliver(5, suspected=(10, 10**9, 2))
        self.assertLess(suspicion.suspected_until, self.now + 9)

    async def test_malformed_alarms_are_ignored(self) -> None:
        self.node.alarms.handle_datagram(
            TYPE_PREFIX + b'\x93\x01', '10.0.0.0:7340'
        )
        self.node.alarms.handle_datagram(TYPE_PREFIX, '10.0.0.0:7340')
        self.assertFalse(self.deliver(9, alive=1).reports)

    async def test_slow_replicas_are_reported_once(self) -> None:
        """Guard against each node sending streams to slow replicas to learn it."""
        view = self.sender.state.view
        view.apply_announcement(build_replica('one', layers=(0, _LAYERS)), 1)
        for slowness in (12.0, 12.0, 1.0):
            view.note_slowness('one', slowness, self.now)
            self.sender.alarms.broadcast_slow()
            await asyncio.sleep(0)
        self.assertEqual(self.sender.state.counters['alarms.sent'], 1)
        known = self.node.state.view.replicas['one']
        self.assertEqual(known.slowness, 12.0)
        self.assertGreater(known.slow_until, self.now)
