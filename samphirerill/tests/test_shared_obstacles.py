"""Shared capacity together with other reasons for which streams wait."""

from __future__ import annotations

import asyncio
from collections import Counter
from unittest import TestCase

from msgspec.structs import replace

from samphirerill.fleet.replica_notices import note_requested_backoff
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.shared_fleet import (
    CAPACITY_PER_S,
    EVENTS,
    OK,
    STREAM_S,
    UNAVAILABLE,
    Answer,
    SharedFleetCase,
)
from samphirerill.tests.shared_nodes import (
    SERVICE,
    SLOTS,
    Outcome,
    SharedNode,
    SharedNodes,
)

_DURATION_S = 2.0
_LIMIT_PER_S = 4
_LIMIT_WINDOW_S = 4.0
_SETTLE_S = 0.3
_AMPLE_RETRIES = 200


def count_counted(node: SharedNode) -> int:
    """Return how many accounts have running or waiting streams at a node."""
    shared = node.state.rooms.get(SERVICE)
    assert shared is not None
    now = asyncio.get_running_loop().time()
    return shared.fleet_room.build_report(now).account_count


class TestFailingEngines(SharedFleetCase):
    """Overload while engines fail, limit requests or leave."""

    async def overload(self) -> None:
        """Send urgent requests to one node and twice the capacity to others."""
        await asyncio.gather(
            self.offer(self.nodes[0], 0, CAPACITY_PER_S / 4, _DURATION_S),
            self.offer(self.nodes[1], 2, CAPACITY_PER_S, _DURATION_S),
            self.offer(self.nodes[2], 2, CAPACITY_PER_S, _DURATION_S),
        )
        await asyncio.sleep(_SETTLE_S)
        self.assert_all_is_released()

    def assert_all_is_released(self) -> None:
        """Assert that no node counts a stream that has ended."""
        now = asyncio.get_running_loop().time()
        for node in self.nodes:
            rows = node.state.rooms.build_rows(now)
            listed = [row.ranks or row.waiting for row in rows.values()]
            self.assertFalse(any(listed))

    def assert_complete(self, answer: Answer) -> None:
        """Assert that each event came once and in order."""
        events = [
            b'id: %d\ndata: token%d\n\n' % (number, number)
            for number in range(1, EVENTS + 1)
        ]
        self.assertEqual(answer.body, b''.join(events))

    def count_runs(self) -> Counter[bytes]:
        """Return how often each request was sent to an engine."""
        return Counter(
            req.get(b'x-samphirerill-request-id') or b''
            for replica in self.replicas
            for req in replica.received_requests
        )

    async def test_broken_streams_are_resumed_before_new_ones_start(
        self,
    ) -> None:
        """Guard against streams that are cut since new ones take the capacity."""
        for node in self.nodes:
            settings = node.state.settings
            node.state.apply_settings(
                replace(settings, retry_slack=_AMPLE_RETRIES)
            )
        overload = asyncio.create_task(self.overload())
        await asyncio.sleep(_DURATION_S / 2)
        self.replicas[0].close_after_event = 2
        await asyncio.sleep(STREAM_S)
        self.replicas[0].close_after_event = 0
        await overload
        served = self.list_answers(status=OK)
        self.assertGreater(max(self.count_runs().values()), 1)
        for answer in served:
            self.assert_complete(answer)

    async def test_no_stream_is_sent_again_without_retry_budget(self) -> None:
        for node in self.nodes:
            settings = replace(node.state.settings, retry_ratio=0.0)
            node.state.apply_settings(settings)
        self.replicas[0].resets_left = 5
        await self.overload()
        self.assertEqual(max(self.count_runs().values()), 1)
        self.assertEqual(self.replicas[0].resets_left, 0)

    async def test_named_limits_are_kept(self) -> None:
        for replica in self.replicas:
            replica.request_limit = b'%d' % _LIMIT_PER_S
        await self.offer(self.nodes[0], 1, 1.0, 1.0)
        since = asyncio.get_running_loop().time()
        await self.overload()
        allowed = 1.5 * _LIMIT_WINDOW_S * _LIMIT_PER_S + 5
        for replica in self.replicas:
            arrivals = [
                req.arrived_at
                for req in replica.received_requests
                if req.arrived_at >= since
            ]
            self.assertLessEqual(len(arrivals), allowed)
        statuses = {answer.status for answer in self.answers}
        self.assertEqual(statuses, {OK, UNAVAILABLE})

    async def test_a_leaving_engine_finishes_its_streams(self) -> None:
        overload = asyncio.create_task(self.overload())
        await asyncio.sleep(_DURATION_S / 2)
        await self.announce('engine-0', 'draining')
        await asyncio.sleep(_SETTLE_S)
        left_at = asyncio.get_running_loop().time()
        await overload
        late = [
            req
            for req in self.replicas[0].received_requests
            if req.arrived_at > left_at
        ]
        self.assertEqual(late, [])
        for answer in self.list_answers(status=OK):
            self.assert_complete(answer)

    async def test_a_dead_node_does_not_stop_the_others(self) -> None:
        """Guard against capacity that is kept for a node that has ended."""
        overload = asyncio.create_task(self.overload_without_first_node())
        await asyncio.sleep(_DURATION_S / 2)
        await self.harness.stop_node(self.nodes[0])
        await overload
        served = self.list_answers(rank=2, status=OK)
        expected = CAPACITY_PER_S * _DURATION_S
        self.assertGreater(len(served), expected / 2)

    async def overload_without_first_node(self) -> None:
        """Send urgent requests to a node that ends, and more to others."""
        urgent = asyncio.gather(
            self.offer(self.nodes[0], 0, CAPACITY_PER_S / 4, _DURATION_S),
            return_exceptions=True,
        )
        await asyncio.gather(
            self.offer(self.nodes[1], 2, CAPACITY_PER_S, 2 * _DURATION_S),
            self.offer(self.nodes[2], 2, CAPACITY_PER_S, 2 * _DURATION_S),
        )
        await urgent


class TestBackOffs(TestCase):
    """Engines that want no requests for a time."""

    async def stream_during(
        self, back_off_s: float
    ) -> tuple[list[Outcome], int]:
        """Request paths while all engines back off from one node."""
        nodes = SharedNodes()
        node = nodes.nodes[0]
        await asyncio.sleep(_SETTLE_S)
        until = asyncio.get_running_loop().time() + back_off_s
        view = node.state.view
        for known in view.replicas.values():
            note_requested_backoff(view, known.replica, until)
        streams = [nodes.start(0, rank) for rank in (0, 2, 2)]
        outcomes = await asyncio.gather(*streams)
        counted = count_counted(node)
        await nodes.stop()
        return outcomes, counted

    def test_a_long_back_off_is_named_at_once(self) -> None:
        """Guard against a retry time that ends within the back-off."""
        outcomes, counted = run_with_virtual_time(self.stream_during(9.0))
        self.assertEqual(counted, 0)
        for found in outcomes:
            self.assertEqual(found.wait_s, 0)
            self.assertAlmostEqual(found.retry_s or 0, 9.0, delta=0.1)

    def test_streams_wait_for_the_end_of_a_short_back_off(self) -> None:
        outcomes, _ = run_with_virtual_time(self.stream_during(0.2))
        for found in outcomes:
            self.assertIsNone(found.retry_s)
            self.assertAlmostEqual(found.wait_s, 0.2, delta=0.3)


class TestQuarantine(TestCase):
    """A waiting stream whose request is quarantined is cancelled."""

    def test_a_cancelled_stream_holds_no_capacity(self) -> None:
        """Guard against capacity that others keep for a stream that ended."""

        async def run() -> tuple[int, int, int]:
            nodes = SharedNodes(engines=1)
            await asyncio.sleep(_SETTLE_S)
            for _ in range(SLOTS):
                nodes.start(1, 2, duration_s=5.0)
            await asyncio.sleep(_SETTLE_S)
            stream = asyncio.create_task(nodes.nodes[0].stream(0))
            await asyncio.sleep(0.05)
            before = nodes.nodes[1].count_elsewhere(9)
            stream.cancel()
            await asyncio.sleep(0.05)
            after = nodes.nodes[1].count_elsewhere(9)
            counted = count_counted(nodes.nodes[0])
            await nodes.stop()
            return before, after, counted

        self.assertEqual(run_with_virtual_time(run()), (1, 0, 0))
