"""What nodes tell each other of load, and over which ways."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from samphirerill.fleet.gathering import (
    MOST_DIRECT,
    choose_gatherer,
    is_direct,
    name_sum,
)
from samphirerill.tests.fleets import build_replica
from samphirerill.tests.peers import Network, Node

_ZONES = ('a', 'b', 'c')
_ROUNDS_S = 1.4
_STREAMS = 3
_SERVICE = 'llm'


class TestTelling(IsolatedAsyncioTestCase):
    """A fleet of nodes that all send to the same replica."""

    async def play(self, per_zone: int) -> Network:
        """Let nodes tell each other for some rounds."""
        network = Network()
        for zone in _ZONES:
            for number in range(per_zone):
                Node(network, f'{zone}-{number}', zone)
        nodes = list(network.nodes.values())
        for node in nodes:
            node.add_peers(nodes)
            node.state.view.announce(build_replica('one', layers=(0, 80)), 1)
            node.state.get_budget(_SERVICE).streams = _STREAMS
            for _ in range(_STREAMS):
                node.state.book.take(('one',), 160)
        tasks = [
            asyncio.create_task(node.status_sender.run()) for node in nodes
        ]
        await asyncio.sleep(_ROUNDS_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return network

    def assert_all_know_all(self, network: Network) -> None:
        """Every node counts the streams of all nodes, each once."""
        count = len(network.nodes)
        now = asyncio.get_running_loop().time()
        for node in network.nodes.values():
            self.assertEqual(
                node.state.book.requests('one'), count * _STREAMS, node.name
            )
            others = node.state.get_budget(_SERVICE).others.sum_up(now)
            self.assertEqual(others.streams, (count - 1) * _STREAMS)
            self.assertEqual(node.state.count_nodes(), max(8, count))

    async def test_a_small_fleet_tells_each_other(self) -> None:
        network = await self.play(2)
        self.assert_all_know_all(network)

    async def test_a_large_fleet_is_told_of_in_sums(self) -> None:
        """Symptom: 78 nodes send 0.06 GB between data centres on a calm day.

        Sequence: each tells each other one; so that this is not too much they
        do it once a second, and 139 streams are refused by replicas that had
        been filled by others meanwhile. Cause: what is told grows with the
        square of the nodes.
        """
        network = await self.play(8)
        self.assert_all_know_all(network)
        self.assertEqual(len(network.crossing), len(_ZONES))

    async def test_another_node_sums_up_when_the_gatherer_is_gone(self) -> None:
        network = await self.play(8)
        names = [f'a-{number}' for number in range(8)]
        gone = choose_gatherer(names)
        self.assertIn(f'10.0.0.{gone[2:]}', network.crossing)
        left = [name for name in names if name != gone]
        chosen = choose_gatherer(left)
        node = next(
            node for node in network.nodes.values() if node.name == chosen
        )
        now = asyncio.get_running_loop().time()
        self.assertFalse(node.peers.is_aggregator(now))
        self.assertTrue(node.peers.is_aggregator(now + 9))


class TestGathering(TestCase):
    """Who sums up."""

    def test_all_who_know_the_same_choose_the_same(self) -> None:
        names = [f'node-{number}' for number in range(20)]
        self.assertEqual(choose_gatherer(names), choose_gatherer(names[::-1]))

    def test_sums_begin_where_telling_each_is_too_much(self) -> None:
        self.assertTrue(is_direct(MOST_DIRECT))
        self.assertFalse(is_direct(MOST_DIRECT + 1))
        self.assertNotEqual(name_sum('a'), name_sum('b'))


class TestClosedPort(IsolatedAsyncioTestCase):
    """A node that ends while it tells."""

    async def test_nothing_is_sent_on_a_port_that_is_closed(self) -> None:
        """Symptom: a node that was told to end is killed.

        Sequence: it closes its port; a datagram that was due is sent; the loop
        of the transport has no socket any more, and the failure takes the place
        of the cancellation. Cause: the port was not looked at before.
        """
        network = Network()
        nodes = [Node(network, f'n-{at}', 'a') for at in range(2)]
        nodes[0].add_peers(nodes)
        transport = Mock(spec=asyncio.DatagramTransport)
        transport.is_closing.return_value = True
        nodes[0].status_sender.bind(transport)
        nodes[0].status_sender.forward(b'told')
        transport.sendto.assert_not_called()
