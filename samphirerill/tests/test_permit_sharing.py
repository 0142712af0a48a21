"""All nodes together keep the limit of a replica, and use it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import TestCase

from samphirerill.relay.limits.messages import LimitMessage, encode_message
from samphirerill.relay.replica_ids import checksum_name
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.limited_nodes import (
    OK,
    REPLICA,
    SERVICE,
    WINDOW_S,
    LimitedNodes,
)

if TYPE_CHECKING:
    from collections.abc import Coroutine

_DEMAND_PER_S = 40.0
_SETTLE_S = 3.0
_SERIES_S = 16.0
# Of the rate, while requests wait for room.
_LEAST_USE = 0.85
_WAIT_S = 1.0
_FAST = 5.0
_ASK_INTERVAL_S = 0.3


def _count_allowed(rate_per_s: float) -> float:
    """Return what all nodes may send in a window."""
    return 1.5 * WINDOW_S * rate_per_s + 5


class SharingCase(TestCase):
    """Nodes in front of a replica that names a limit."""

    def run_nodes(self, coroutine: Coroutine[None, None, None]) -> None:
        """Run on a virtual clock."""
        run_with_virtual_time(coroutine)

    async def start(self, count: int, rate_per_s: float) -> LimitedNodes:
        """Return nodes that know the limit and send as fast as they may."""
        nodes = LimitedNodes(count, _DEMAND_PER_S)
        nodes.waits_s = _WAIT_S
        await nodes.run(_SETTLE_S)
        nodes.rate_per_s = rate_per_s
        await nodes.run(_SETTLE_S)
        return nodes

    def assert_kept(
        self, nodes: LimitedNodes, rate_per_s: float, since: float
    ) -> None:
        """Check the requests in any window since then."""
        self.assertLessEqual(
            nodes.count_most(since), _count_allowed(rate_per_s)
        )


class TestSharing(SharingCase):
    """Fleets of several sizes, and limits from one in two seconds on."""

    def test_limit_is_kept_and_used(self) -> None:
        """Guard against more requests than named, and limits left unused."""
        for count, rate_per_s in (
            (1, 1.0),
            (2, 2.0),
            (7, 1.0),
            (7, 20.0),
            (40, 0.5),
            (40, 5.0),
        ):
            with self.subTest(count=count, rate_per_s=rate_per_s):
                self.run_nodes(self._check(count, rate_per_s))

    def test_limit_is_kept_among_many_nodes(self) -> None:
        """Guard against a permit in hand at each of many nodes."""
        self.run_nodes(self._check(200, 1))

    def test_lower_rate_holds_at_once(self) -> None:
        """Guard against permits of the rate before."""
        self.run_nodes(self._check_lower_rate())

    def test_limit_of_zero_lets_single_requests_ask(self) -> None:
        """Guard against a replica that is out for good, or gets a burst."""
        self.run_nodes(self._check_zero())

    async def _check(self, count: int, rate_per_s: float) -> None:
        nodes = await self.start(count, rate_per_s)
        since = nodes.loop.time()
        await nodes.run(_SERIES_S)
        self.assert_kept(nodes, rate_per_s, since)
        used = nodes.count_since(since) / _SERIES_S / rate_per_s
        self.assertGreater(used, _LEAST_USE)

    async def _check_lower_rate(self) -> None:
        nodes = await self.start(7, _FAST)
        nodes.rate_per_s = 1
        await nodes.run(1)
        since = nodes.loop.time()
        await nodes.run(_SERIES_S)
        self.assert_kept(nodes, 1, since)

    async def _check_zero(self) -> None:
        nodes = await self.start(7, 0)
        since = nodes.loop.time()
        await nodes.run(_SERIES_S)
        self.assert_kept(nodes, 0, since)
        self.assertGreater(nodes.count_since(since), 0)
        nodes.rate_per_s = None
        await nodes.run(_SERIES_S)
        self.assertGreater(nodes.count_most(since), _DEMAND_PER_S)


class TestChangesOfNodes(SharingCase):
    """Nodes that end, start and are cut off."""

    def test_permits_go_on_after_the_granter_is_killed(self) -> None:
        """Guard against a replica that nobody may use for long."""
        self.run_nodes(self._check_killed())

    def test_nodes_that_start_bring_no_share_of_their_own(self) -> None:
        """Guard against a new granter beside the old one."""
        self.run_nodes(self._check_started())

    def test_nodes_without_a_granter_keep_the_limit(self) -> None:
        """Guard against the whole rate at each part of a divided fleet."""
        for cut_count in (1, 3, 6):
            with self.subTest(cut_count=cut_count):
                self.run_nodes(self._check_cut(cut_count))

    async def _check_killed(self) -> None:
        nodes = await self.start(7, _FAST)
        nodes.stop(nodes.find_granter())
        since = nodes.loop.time()
        await nodes.run(_SERIES_S)
        self.assert_kept(nodes, _FAST, since)
        used = nodes.count_since(since) / _SERIES_S / _FAST
        self.assertGreater(used, _LEAST_USE / 2)

    async def _check_started(self) -> None:
        nodes = await self.start(4, _FAST)
        since = nodes.loop.time()
        for number in range(4, 12):
            nodes.add_node(number)
            await nodes.run(1)
        self.assert_kept(nodes, _FAST, since)

    async def _check_cut(self, cut_count: int) -> None:
        nodes = await self.start(7, _FAST)
        cut = [node.host for node in nodes.nodes[:cut_count]]
        nodes.network.cut.update(cut)
        since = nodes.loop.time()
        await nodes.run(_SERIES_S)
        nodes.network.cut.clear()
        await nodes.run(_SERIES_S)
        self.assert_kept(nodes, _FAST, since)


class TestWord(SharingCase):
    """What nodes tell each other about a limit."""

    def test_one_response_tells_all_nodes(self) -> None:
        """Guard against nodes that send freely until each was told."""
        self.run_nodes(self._check_told())

    def test_node_that_starts_is_told_without_a_response(self) -> None:
        """Guard against nodes that start, or missed a datagram, and send freely."""
        self.run_nodes(self._check_start())

    def test_limit_lapses_without_a_response(self) -> None:
        """Guard against a limit for ever where nothing is sent."""
        self.run_nodes(self._check_lapse())

    def test_nodes_do_not_renew_a_limit_for_each_other(self) -> None:
        """Guard against a limit for ever that no response confirms."""
        self.run_nodes(self._check_renewal())

    def test_damaged_messages_are_ignored(self) -> None:
        """Guard against a node that ends over a message it cannot read."""
        self.run_nodes(self._check_damaged())

    async def _check_told(self) -> None:
        nodes = await self.start(30, 1)
        known = [
            node.state.view.replicas[REPLICA.replica_id].limit
            for node in nodes.nodes
        ]
        self.assertTrue(all(known))
        nodes.rate_per_s = None
        await nodes.run(_SETTLE_S)
        for node in nodes.nodes:
            self.assertEqual(node.state.request_limits.describe(), [])

    async def _check_start(self) -> None:
        nodes = await self.start(3, 1)
        for node in nodes.nodes:
            node.exchange.sweep()
        await asyncio.sleep(_SETTLE_S)
        new = [nodes.add_node(number) for number in range(3, 6)]
        for node in nodes.nodes:
            node.exchange.sweep()
        await asyncio.sleep(_SETTLE_S)
        for started in new:
            self.assertTrue(started.state.request_limits.describe())

    async def _check_lapse(self) -> None:
        nodes = await self.start(2, 1)
        await asyncio.sleep(70)
        for node in nodes.nodes:
            self.assertTrue(node.may_send())
            node.exchange.sweep()
            self.assertEqual(node.state.counters['limits.lapsed'], 1)

    async def _check_renewal(self) -> None:
        nodes = await self.start(3, 1)
        ends_at = nodes.loop.time() + 70
        while nodes.loop.time() < ends_at:
            await asyncio.sleep(_ASK_INTERVAL_S)
            for node in nodes.nodes:
                node.state.request_limits.note_arrival(SERVICE)
                node.exchange.sweep()
        for asking in nodes.nodes:
            self.assertEqual(asking.state.request_limits.describe(), [])

    async def _check_damaged(self) -> None:
        nodes = await self.start(2, 1)
        exchange = nodes.nodes[0].exchange
        for data in (b'', b'\xc1', b'\x00' * 40, b'\x94\xa1x\x01\x01\xc3'):
            exchange.handle_datagram(exchange.type_prefix + data, '10.0.0.9:1')
        key = checksum_name(REPLICA.replica_id)
        for number, rate in enumerate((float('nan'), float('inf'), 1e300)):
            message = LimitMessage('x', 1, number, limits={key: (5, rate, 0)})
            exchange.handle_datagram(encode_message(message), '10.0.0.9:1')
        since = nodes.loop.time()
        await nodes.run(OK / 100)
        self.assert_kept(nodes, 1, since)
