"""Decisions of several nodes on shared capacity, on a virtual clock."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import TestCase

from msgspec import msgpack

from samphirerill.sharing.model import STARTED_LEVEL
from samphirerill.sharing.settings import SharingSettings
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.shared_nodes import (
    SERVICE,
    SLOTS,
    STREAM_S,
    Outcome,
    SharedNode,
    SharedNodes,
    build_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Collection

# Demand of twice the capacity of two engines, in streams per second.
_CAPACITY_PER_S = 2 * SLOTS / STREAM_S
_DEMAND_PER_S = 2 * _CAPACITY_PER_S
_DURATION_S = 6.0
_REPORT_VALIDITY_S = 2.0
_SWEEP_S = 0.3
_PROMPT_S = 0.1


def compute_served(outcomes: Collection[Outcome]) -> float:
    """Return the part of the streams that started within the objective."""
    return sum(found.is_served for found in outcomes) / len(outcomes)


def compute_prompt_rejections(outcomes: Collection[Outcome]) -> float:
    """Return the part of the rejections within 0.1 s."""
    rejected = [found for found in outcomes if found.retry_s is not None]
    return sum(found.wait_s <= _PROMPT_S for found in rejected) / len(rejected)


def compute_utilization(outcomes: Collection[Outcome]) -> float:
    """Return the part of the slots that was used while streams arrived."""
    since = min(found.arrived_at for found in outcomes)
    until = since + _DURATION_S
    busy_s = 0.0
    for found in outcomes:
        if found.retry_s is None:
            started_at = found.arrived_at + found.wait_s
            busy_s += max(0, min(until - started_at, STREAM_S))
    return busy_s / (2 * SLOTS * _DURATION_S)


class TestOverload(TestCase):
    """Demand at twice the capacity; the bounds are those of the design."""

    def test_a_flood_elsewhere_takes_no_capacity_of_urgent_streams(
        self,
    ) -> None:
        async def run() -> list[Outcome]:
            nodes = SharedNodes()
            flood_per_s = (_DEMAND_PER_S - 8) / 2
            await asyncio.gather(
                nodes.offer(0, 0, 8, _DURATION_S),
                nodes.offer(1, 2, flood_per_s, _DURATION_S),
                nodes.offer(2, 2, flood_per_s, _DURATION_S),
            )
            return await nodes.stop()

        outcomes = run_with_virtual_time(run())
        urgent = [found for found in outcomes if not found.rank]
        self.assertGreaterEqual(compute_served(urgent), 0.95)
        self.assertGreaterEqual(compute_utilization(outcomes), 0.8)
        self.assertGreaterEqual(compute_prompt_rejections(outcomes), 0.8)
        self.assertTrue(
            all(found.retry_s != 0 for found in outcomes), 'no Retry-After'
        )

    def test_a_large_account_does_not_displace_small_ones(self) -> None:
        small = ('x', 'y', 'z')

        async def run() -> list[Outcome]:
            nodes = SharedNodes(dict.fromkeys((*small, 'large'), 1.0))
            part_per_s = _DEMAND_PER_S / 30
            await asyncio.gather(
                *(
                    nodes.offer(node, 1, part_per_s, _DURATION_S, account)
                    for node, account in enumerate(small)
                ),
                *(
                    nodes.offer(node, 1, 9 * part_per_s, _DURATION_S, 'large')
                    for node in range(3)
                ),
            )
            return await nodes.stop()

        outcomes = run_with_virtual_time(run())
        for account in small:
            own = [found for found in outcomes if found.account == account]
            self.assertGreaterEqual(compute_served(own), 0.9, account)
        self.assertGreaterEqual(compute_utilization(outcomes), 0.8)

    def test_a_burst_does_not_delay_later_streams(self) -> None:
        async def run() -> list[Outcome]:
            nodes = SharedNodes()
            for rate_per_s, duration_s in ((64, 1.0), (7, 4.0)):
                await asyncio.gather(
                    *(
                        nodes.offer(node, 1, rate_per_s, duration_s)
                        for node in range(3)
                    )
                )
            return await nodes.stop()

        outcomes = run_with_virtual_time(run())
        began_at = min(found.arrived_at for found in outcomes)
        later = [found for found in outcomes if found.arrived_at > began_at + 2]
        self.assertGreaterEqual(compute_served(later), 0.9)

    def test_the_least_urgent_rank_keeps_a_share(self) -> None:
        """Guard against starvation by a flood of more urgent streams."""

        async def run() -> list[Outcome]:
            nodes = SharedNodes()
            await asyncio.gather(
                nodes.offer(0, 2, 8, _DURATION_S),
                *(
                    nodes.offer(node, 0, _CAPACITY_PER_S, _DURATION_S)
                    for node in range(3)
                ),
            )
            return await nodes.stop()

        outcomes = run_with_virtual_time(run())
        admitted = [found for found in outcomes if found.retry_s is None]
        least = sum(found.rank == 2 for found in admitted)
        # Half of the guaranteed 0.05, as shares are of what runs at a time.
        self.assertGreater(least / len(admitted), 0.025)


class TestFailures(TestCase):
    """One engine; node 0 waits with urgent work that others know of."""

    async def fill(self, nodes: SharedNodes, duration_s: float) -> None:
        """Let node 1 occupy all slots, and node 0 wait for four of them."""
        await asyncio.sleep(_SWEEP_S)
        for _ in range(SLOTS):
            nodes.start(1, 2, duration_s=duration_s)
        await asyncio.sleep(_SWEEP_S)
        for _ in range(4):
            nodes.start(0, 0)
        await asyncio.sleep(0.05)

    async def serve_after_loss(self, loss: str) -> list[Outcome]:
        """Part node 0, which waits, from node 1; request all slots there."""
        nodes = SharedNodes(engines=1)
        await self.fill(nodes, 1.0)
        if loss == 'node 0 is dead':
            nodes.network.nodes.pop(nodes.nodes[0].host)
        else:
            cut_off = nodes.nodes[int(loss == 'node 1 is cut off')]
            nodes.network.cut.add(cut_off.host)
        await asyncio.sleep(1.0)
        for _ in range(SLOTS):
            nodes.start(1, 2, duration_s=9.0)
        await nodes.stop()
        return nodes.nodes[1].outcomes[SLOTS:]

    def test_a_lost_node_holds_back_its_reported_room_for_two_seconds(
        self,
    ) -> None:
        for loss in (
            'node 0 is dead',
            'node 0 is cut off',
            'node 1 is cut off',
        ):
            outcomes = run_with_virtual_time(self.serve_after_loss(loss))
            waits = sorted(found.wait_s for found in outcomes)
            self.assertEqual(
                [found.retry_s for found in outcomes], [None] * SLOTS, loss
            )
            self.assertLess(waits[SLOTS - 5], 0.05)
            self.assertGreater(waits[SLOTS - 4], 0.5)
            self.assertLess(waits[-1], _REPORT_VALIDITY_S - 1 + _SWEEP_S)

    def test_a_late_status_does_not_restore_waiting_work(self) -> None:
        async def run() -> tuple[int, int]:
            nodes = SharedNodes(engines=1)
            await self.fill(nodes, 1.0)
            sender, receiver = nodes.nodes[:2]
            old = msgpack.encode(sender.status_sender.build_status())
            await asyncio.sleep(2.0)
            new = msgpack.encode(sender.status_sender.build_status())
            counts = []
            for data in (new, old):
                receiver.receiver.datagram_received(data, (sender.host, 1))
                counts.append(receiver.count_elsewhere(9))
            await nodes.stop()
            return counts[0], counts[1]

        self.assertEqual(run_with_virtual_time(run()), (0, 0))

    def test_started_streams_precede_and_are_not_rejected(self) -> None:
        async def run() -> tuple[Outcome, Outcome]:
            nodes = SharedNodes(engines=1)
            await self.fill(nodes, 0.5)
            started = nodes.start(2, 2, is_started=True)
            await asyncio.sleep(0.02)
            level = nodes.nodes[1].count_elsewhere(STARTED_LEVEL + 1)
            self.assertEqual(level, 1)
            await nodes.stop()
            return await started, nodes.nodes[0].outcomes[0]

        started, urgent = run_with_virtual_time(run())
        self.assertIsNone(started.retry_s)
        self.assertLess(started.wait_s, 0.3)
        self.assertIsNone(urgent.retry_s)

    def test_accepted_streams_are_not_rejected_by_a_later_prediction(
        self,
    ) -> None:
        """Guard against a second check of a stream that seeks another path."""

        async def run() -> list[str]:
            nodes = SharedNodes(engines=1)
            # Completions from which a rate is known.
            for _ in range(SLOTS):
                nodes.start(1, 2, duration_s=0.1)
            await self.fill(nodes, 9.0)
            for number in range(20):
                nodes.start(0, 1, is_accepted=number >= 10)
            return [found.reason for found in await nodes.stop()]

        reasons = run_with_virtual_time(run())[4:24]
        predicted = ['predicted wait' in reason for reason in reasons]
        # The first one of the rank gets its guaranteed room.
        self.assertEqual(predicted, [False] + [True] * 9 + [False] * 10)


class TestActivation(TestCase):
    """Sharing is off, or the configuration has nothing to share."""

    def test_decisions_are_unchanged_without_sharing(self) -> None:
        one_rank = build_configuration({'one': 1.0}, ranks=1)
        ranks = SharingSettings(ranks=True)
        cases = (
            (SharingSettings(), build_configuration({'a': 1.0, 'b': 1.0})),
            (ranks, build_configuration({'a': 1.0, 'b': 1.0}, ranks=1)),
            (SharingSettings(accounts=True), one_rank),
            (SharingSettings(ranks=True, accounts=True), one_rank),
        )

        async def run() -> None:
            nodes = SharedNodes()
            for settings, cfg in cases:
                node = SharedNode(nodes.network, 9, cfg, settings)
                self.assertIsNone(node.state.rooms.get(SERVICE))
                self.assertEqual(node.status_sender.build_status().room, {})
            await nodes.stop()

        run_with_virtual_time(run())
