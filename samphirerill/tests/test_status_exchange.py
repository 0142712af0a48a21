"""Exchange of status datagrams between nodes."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from samphirerill.fleet.load_aggregation import (
    MAX_DIRECT_PEERS,
    choose_aggregator,
    is_full_mesh,
    name_aggregate,
)
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import Network, Node

_DATA_CENTRES = ('a', 'b', 'c')
_RUN_S = 1.4
_STREAMS = 3
_SERVICE = 'llm'


class TestStatusExchange(IsolatedAsyncioTestCase):
    """A fleet of nodes that all send requests to the same replica."""

    async def exchange_statuses(self, per_data_centre: int) -> Network:
        """Let nodes exchange some status datagrams."""
        network = Network()
        for data_centre in _DATA_CENTRES:
            for number in range(per_data_centre):
                Node(network, f'{data_centre}-{number}', data_centre)
        nodes = list(network.nodes.values())
        for node in nodes:
            node.add_peers(nodes)
            node.state.view.apply_announcement(
                build_replica('one', layers=(0, 80)), 1
            )
            node.state.get_retry_budget(_SERVICE).active_streams = _STREAMS
            for _ in range(_STREAMS):
                node.state.load_tracker.add_request(('one',), 160)
        tasks = [
            asyncio.create_task(node.status_sender.run()) for node in nodes
        ]
        await asyncio.sleep(_RUN_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return network

    def assert_load_is_shared(self, network: Network) -> None:
        """Assert that each node counts the streams of every node once."""
        count = len(network.nodes)
        now = asyncio.get_running_loop().time()
        for node in network.nodes.values():
            self.assertEqual(
                node.state.load_tracker.count_requests('one'),
                count * _STREAMS,
                node.name,
            )
            others = node.state.get_retry_budget(_SERVICE).peers.get_total(now)
            self.assertEqual(others.active_streams, (count - 1) * _STREAMS)
            self.assertEqual(node.state.count_nodes(), max(8, count))

    async def test_a_small_fleet_sends_statuses_directly(self) -> None:
        network = await self.exchange_statuses(2)
        self.assert_load_is_shared(network)

    async def test_a_large_fleet_sends_aggregates(self) -> None:
        """Guard against traffic that grows with the square of the node count.

        Only the aggregators send between data centres.
        """
        network = await self.exchange_statuses(8)
        self.assert_load_is_shared(network)
        self.assertEqual(len(network.remote_datagrams), len(_DATA_CENTRES))

    async def test_another_node_replaces_a_failed_aggregator(self) -> None:
        network = await self.exchange_statuses(8)
        names = [f'a-{number}' for number in range(8)]
        failed = choose_aggregator(names)
        self.assertIn(f'10.0.0.{failed[2:]}', network.remote_datagrams)
        remaining = [name for name in names if name != failed]
        chosen = choose_aggregator(remaining)
        node = next(
            node for node in network.nodes.values() if node.name == chosen
        )
        now = asyncio.get_running_loop().time()
        self.assertFalse(node.peers.is_aggregator(now))
        self.assertTrue(node.peers.is_aggregator(now + 9))


class TestAggregators(TestCase):
    """Choice of the node that aggregates for a data centre."""

    def test_the_choice_does_not_depend_on_order(self) -> None:
        names = [f'node-{number}' for number in range(20)]
        self.assertEqual(
            choose_aggregator(names), choose_aggregator(names[::-1])
        )

    def test_aggregates_are_used_above_a_fleet_size(self) -> None:
        self.assertTrue(is_full_mesh(MAX_DIRECT_PEERS))
        self.assertFalse(is_full_mesh(MAX_DIRECT_PEERS + 1))
        self.assertNotEqual(name_aggregate('a'), name_aggregate('b'))


class TestClosedPort(IsolatedAsyncioTestCase):
    """A node that shuts down while it sends."""

    async def test_nothing_is_sent_on_a_closing_port(self) -> None:
        """Guard against a node that does not exit.

        Sending on a closed transport raised, and the error replaced the
        cancellation of the sending task.
        """
        network = Network()
        nodes = [Node(network, f'n-{number}', 'a') for number in range(2)]
        nodes[0].add_peers(nodes)
        transport = Mock(spec=asyncio.DatagramTransport)
        transport.is_closing.return_value = True
        nodes[0].status_sender.bind(transport)
        nodes[0].status_sender.forward(b'told')
        transport.sendto.assert_not_called()
