"""Three nodes that share the capacity of engines under overload."""

from __future__ import annotations

import asyncio

from samphirerill.tests.shared_fleet import (
    CAPACITY_PER_S,
    UNAVAILABLE,
    SharedFleetCase,
    compute_timely,
)

_DEMAND_PER_S = 2 * CAPACITY_PER_S
_DURATION_S = 4.0
_PROMPT_S = 0.1
# A third of the time of a client, rounded as the header is.
_LATEST_RETRY_S = round(20.0 / 3, 2)


class TestTargets(SharedFleetCase):
    """Demand at twice the capacity; the bounds are those of the design."""

    def assert_rejections_are_prompt(self) -> None:
        """Assert that four of five came within 0.1 s.

        Retry-After is spread, and leaves time for the retry.
        """
        rejected = self.list_answers(status=UNAVAILABLE)
        retries_s = {answer.retry_s for answer in rejected}
        self.assertGreater(min(retries_s), 0)
        self.assertLessEqual(max(retries_s), _LATEST_RETRY_S)
        self.assertGreater(len(retries_s), len(rejected) / 2)
        prompt = sum(answer.first_s <= _PROMPT_S for answer in rejected)
        self.assertGreaterEqual(prompt / len(rejected), 0.8)

    async def test_a_flood_elsewhere_takes_no_capacity_of_urgent_streams(
        self,
    ) -> None:
        flood_per_s = (_DEMAND_PER_S - 10) / 2
        await asyncio.gather(
            self.offer(self.nodes[0], 0, 10, _DURATION_S),
            self.offer(self.nodes[1], 2, flood_per_s, _DURATION_S),
            self.offer(self.nodes[2], 2, flood_per_s, _DURATION_S),
        )
        urgent = self.list_answers(rank=0)
        self.assertGreaterEqual(
            compute_timely(urgent), 0.95, self.describe_lag()
        )
        self.assert_rejections_are_prompt()
        self.assertGreaterEqual(self.compute_utilization(_DURATION_S), 0.8)

    async def test_a_large_account_does_not_displace_small_ones(self) -> None:
        small = ('x', 'y', 'z')
        part_per_s = _DEMAND_PER_S / 30
        await asyncio.gather(
            *(
                self.offer(node, 1, part_per_s, _DURATION_S, account)
                for node, account in zip(self.nodes, small, strict=True)
            ),
            *(
                self.offer(node, 1, 9 * part_per_s, _DURATION_S)
                for node in self.nodes
            ),
        )
        for account in small:
            timely = compute_timely(self.list_answers(account=account))
            self.assertGreaterEqual(
                timely, 0.9, f'{account}; {self.describe_lag()}'
            )
        self.assert_rejections_are_prompt()
        self.assertGreaterEqual(self.compute_utilization(_DURATION_S), 0.8)

    async def test_a_burst_does_not_delay_later_streams(self) -> None:
        await asyncio.gather(
            *(self.offer(node, 1, _DEMAND_PER_S, 1.0) for node in self.nodes),
            *(
                self.offer(node, 1, CAPACITY_PER_S / 5, _DURATION_S + 1)
                for node in self.nodes
            ),
        )
        began_at = min(answer.sent_at for answer in self.answers)
        later = [
            answer for answer in self.answers if answer.sent_at > began_at + 2
        ]
        self.assertGreaterEqual(compute_timely(later), 0.9, self.describe_lag())
