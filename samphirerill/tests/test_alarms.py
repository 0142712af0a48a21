"""Alarms that come late, twice, in another order, or can't be true."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import msgpack

from samphirerill.relay.health.alarms import TYPE_PREFIX, Alarm
from samphirerill.relay.messages import checksum_name
from samphirerill.tests.fleets import build_replica
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.fleet.suspicion import Suspicion

_LAYERS = 80


class TestAlarms(IsolatedAsyncioTestCase):
    """Alarms that come late, twice, in another order, or can't be true."""

    async def asyncSetUp(self) -> None:
        network = Network()
        self.sender = Node(network, 'a-0', 'a')
        self.node = Node(network, 'a-1', 'a')
        for node in network.nodes.values():
            node.add_peers(network.nodes.values())
        self.node.state.view.announce(
            build_replica('one', layers=(0, _LAYERS)), 1
        )
        self.now = asyncio.get_running_loop().time()

    def handle_datagram(
        self,
        number: int,
        dead: tuple[int, int, int] | None = None,
        heard: int | None = None,
    ) -> Suspicion:
        """Let an alarm come; return what is held against the replica."""
        key = checksum_name('one')
        alarm = Alarm(
            'a-0',
            'a',
            7,
            number,
            {} if dead is None else {key: dead},
            {} if heard is None else {key: heard},
        )
        self.node.alarms.handle_datagram(
            TYPE_PREFIX + msgpack.encode(alarm), '10.0.0.0:7340'
        )
        view = self.node.state.view
        return view.known['one'].suspicion

    async def test_one_that_was_overtaken_still_counts(self) -> None:
        """Symptom: the commander plans with a replica that all know is dead.

        Sequence: a node tells all of a death, by other nodes, and then tells
        the commander straight who has answered; the second datagram arrives
        first. Cause: what came with a lower number was taken for old.
        """
        self.handle_datagram(6, heard=3000)
        self.assertTrue(self.handle_datagram(5, dead=(10, 2000, 2)).dead_until)

    async def test_one_that_comes_twice_counts_once(self) -> None:
        self.handle_datagram(5, dead=(10, 2000, 2))
        self.node.state.view.trust('one')
        self.assertFalse(self.handle_datagram(5, dead=(10, 2000, 2)).dead_until)

    async def test_what_was_held_up_on_its_way_says_nothing(self) -> None:
        self.assertFalse(self.handle_datagram(5, dead=(5000, 2000, 2)).words)
        self.assertFalse(self.handle_datagram(6, dead=(-900, 2000, 2)).words)
        self.handle_datagram(7, heard=-100_000)
        self.assertTrue(self.handle_datagram(8, dead=(0, 2000, 2)).dead_until)

    async def test_nobody_is_avoided_for_hours(self) -> None:
        found = self.handle_datagram(5, dead=(10, 10**9, 2))
        self.assertLess(found.dead_until, self.now + 9)

    async def test_bytes_that_are_no_alarm_are_passed_over(self) -> None:
        self.node.alarms.handle_datagram(
            TYPE_PREFIX + b'\x93\x01', '10.0.0.0:7340'
        )
        self.node.alarms.handle_datagram(TYPE_PREFIX, '10.0.0.0:7340')
        self.assertFalse(self.handle_datagram(9, heard=1).words)
