"""Three nodes before plain endpoints that report their load."""

from __future__ import annotations

import asyncio

from samphirerill.tests.plain_services import (
    CAPACITY_PER_S,
    OBJECTIVE_S,
    SLOTS,
    PlainServicesCase,
    count_timely,
)
from samphirerill.tests.shared_fleet import OK, UNAVAILABLE

_DURATION_S = 4.0
_PROMPT_S = 0.1
_FAST_S = 0.2
_SLOW_S = 1.0


class TestOverload(PlainServicesCase):
    """Demand at twice the capacity; the bounds are those of the design."""

    def assert_rejections_are_true(self) -> None:
        """Assert that rejected requests were sent nowhere, others once."""
        rejected = self.list_answers(status=UNAVAILABLE)
        prompt = sum(answer.first_s <= _PROMPT_S for answer in rejected)
        self.assertGreaterEqual(prompt / len(rejected), 0.8)
        self.assertTrue(all(answer.retry_s > 0 for answer in rejected))
        received = sum(
            len(endpoint.received_requests) for endpoint in self.endpoints
        )
        self.assertEqual(received, len(self.answers) - len(rejected))

    async def test_capacity_is_used_and_the_rest_is_rejected(self) -> None:
        await self.warm_up()
        await self.offer_all(2 * CAPACITY_PER_S, _DURATION_S)
        timely = count_timely(self.answers)
        self.assertGreaterEqual(timely / (CAPACITY_PER_S * _DURATION_S), 0.85)
        self.assert_rejections_are_true()

    async def test_flood_elsewhere_takes_no_slots_of_urgent_requests(
        self,
    ) -> None:
        await self.warm_up()
        flood_per_s = CAPACITY_PER_S - 5
        await asyncio.gather(
            self.offer(self.nodes[0], 0, 10, _DURATION_S),
            self.offer(self.nodes[1], 2, flood_per_s, _DURATION_S),
            self.offer(self.nodes[2], 2, flood_per_s, _DURATION_S),
        )
        urgent = self.list_answers(rank=0)
        self.assertGreaterEqual(count_timely(urgent) / len(urgent), 0.95)
        self.assert_rejections_are_true()


class TestEndpoints(PlainServicesCase):
    """Endpoints that are slow, or report no usable load."""

    async def test_slow_endpoint_delays_few_requests(self) -> None:
        for endpoint in self.endpoints:
            endpoint.service_s = _FAST_S
        self.endpoints[0].service_s = _SLOW_S
        capacity = 2 * SLOTS / _FAST_S + SLOTS / _SLOW_S
        offered = asyncio.create_task(
            self.offer_all(0.9 * capacity, _DURATION_S)
        )
        await asyncio.sleep(_SLOW_S)
        self.assertLessEqual(self.endpoints[0].most_held, SLOTS)
        await offered
        timely = count_timely(self.answers) / len(self.answers)
        self.assertGreaterEqual(timely, 0.98)

    async def test_malformed_reports_are_ignored(self) -> None:
        """Guard against impossible counts that keep an endpoint out of use."""
        for endpoint, text in zip(
            self.endpoints, (b'many', b'9,0,6', b'-1,0,0'), strict=True
        ):
            endpoint.load_header = text
        await self.offer_all(0.5 * CAPACITY_PER_S, _DURATION_S)
        timely = count_timely(self.answers) / len(self.answers)
        self.assertGreaterEqual(timely, 0.98)
        for endpoint in self.endpoints:
            self.assertGreater(len(endpoint.received_requests), SLOTS)

    async def test_reports_may_end_for_good(self) -> None:
        """Guard against requests that wait for a report."""
        await self.offer_all(0.5 * CAPACITY_PER_S, 1)
        for endpoint in self.endpoints:
            endpoint.load_header = b''
        await self.offer_all(0.5 * CAPACITY_PER_S, _DURATION_S)
        self.assertEqual({answer.status for answer in self.answers}, {OK})
        slowest_s = max(answer.first_s for answer in self.answers)
        self.assertLess(slowest_s, OBJECTIVE_S)
