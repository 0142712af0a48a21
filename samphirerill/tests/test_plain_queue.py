"""Plain requests wait for slots; decisions on a virtual clock."""

from __future__ import annotations

import asyncio
from itertools import product
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.fleet.view import ReplicaState
from samphirerill.relay.endpoint_finder import EndpointFinder
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.plain_fleet import (
    SERVICE_S,
    SLOTS,
    Endpoint,
    PlainFleet,
)
from samphirerill.tests.peers import Network
from samphirerill.tests.plain_nodes import (
    PlainNode,
    PlainNodes,
    SlotEndpoint,
    build_context,
    compute_timely,
)

_FAST_S = 0.1
_SLOW_S = 0.5
_NEARLY_FULL = 0.9
_DURATION_S = 2.0
_FLEET_DURATION_S = 1.5
_ENDPOINTS = 12
# Part of the requests that is late because nodes do not know all. 400 nodes send
# two requests a second each, with reports that are 6 or 20 service times old.
_LOSS = 0.02
_MANY_NODES_LOSS = 0.1
_PROMPT_S = 0.1
_DELAYS_S = (0, 0.3, 1.0)


class TestOldReports(TestCase):
    """Many nodes with old reports, against one that knows all."""

    def run_fleet(
        self, node_count: int, delay_s: float, slow: int = 0
    ) -> PlainFleet:
        """Run 12 endpoints, some of them five times slower."""
        times_s = [5 * SERVICE_S] * slow + [SERVICE_S] * (_ENDPOINTS - slow)
        endpoints = [
            Endpoint(f'e{number}', time_s)
            for number, time_s in enumerate(times_s)
        ]
        capacity = sum(SLOTS / time_s for time_s in times_s)
        fleet = PlainFleet(node_count, endpoints, delay_s)
        fleet.run(_NEARLY_FULL * capacity, _FLEET_DURATION_S)
        return fleet

    def test_nodes_do_not_herd(self) -> None:
        """Guard against one endpoint that is preferred by all nodes."""
        ideal = self.run_fleet(1, 0).compute_timely()
        for node_count, delay_s in product((3, 32, 69, 400), _DELAYS_S):
            with self.subTest(nodes=node_count, delay_s=delay_s):
                fleet = self.run_fleet(node_count, delay_s)
                allowed = _MANY_NODES_LOSS if node_count > 100 else _LOSS
                self.assertLess(ideal - fleet.compute_timely(), allowed)

    def test_full_endpoint_gets_no_request_while_another_is_free(self) -> None:
        for node_count in (3, 32, 69, 400):
            with self.subTest(nodes=node_count):
                fleet = self.run_fleet(node_count, 0)
                self.assertFalse(fleet.overfilled)

    def test_slow_endpoints_are_learned(self) -> None:
        """Guard against full use of slow endpoints while others are free."""
        for node_count, delay_s in ((3, 0.3), (3, 1.0), (32, 0.3)):
            with self.subTest(nodes=node_count, delay_s=delay_s):
                fleet = self.run_fleet(node_count, delay_s, slow=4)
                self.assertGreaterEqual(fleet.compute_timely(), 0.95)


class TestThreeNodes(TestCase):
    """Three nodes before three endpoints; the bounds are those of the design."""

    def test_overload_is_rejected_at_once(self) -> None:
        nodes = run_with_virtual_time(_run_overload())
        outcomes = nodes.outcomes
        served = sum(outcome.is_timely for outcome in outcomes)
        capacity = 3 * SLOTS / _FAST_S * _DURATION_S
        self.assertGreaterEqual(served / capacity, 0.85)
        others = [item for item in outcomes if not item.is_timely]
        prompt = sum(item.ended_s <= _PROMPT_S for item in others)
        self.assertGreaterEqual(prompt / len(others), 0.9)

    def test_flood_elsewhere_takes_no_slots_of_urgent_requests(self) -> None:
        nodes = run_with_virtual_time(_run_flood())
        urgent = [item for item in nodes.outcomes if item.rank == 0]
        self.assertGreaterEqual(compute_timely(urgent), 0.95)

    def test_slow_endpoint_delays_few_requests(self) -> None:
        nodes = run_with_virtual_time(_run_with_slow())
        self.assertGreaterEqual(compute_timely(nodes.outcomes), 0.98)

    def test_endpoint_that_turns_slow_is_found(self) -> None:
        """Guard against waiting for the average of many responses."""
        nodes, before = run_with_virtual_time(_run_turning_slow())
        slow = nodes.endpoints[0]
        self.assertLessEqual(slow.received - before, 4 * SLOTS)
        self.assertGreaterEqual(compute_timely(nodes.outcomes), 0.95)

    def test_restarted_endpoint_is_unknown_again(self) -> None:
        """Guard against a slow process that inherits the speed of another."""
        nodes = run_with_virtual_time(_run_restart())
        self.assertLessEqual(nodes.endpoints[0].most_held, SLOTS)

    def test_requests_go_on_without_reports(self) -> None:
        """Guard against a queue that waits for reports that never come."""
        nodes = run_with_virtual_time(_run_without_reports())
        self.assertFalse(nodes.nodes[0].queue.is_active())
        self.assertFalse(any(item.is_rejected for item in nodes.outcomes))


class TestPermits(IsolatedAsyncioTestCase):
    """Requests that wait for an endpoint that limits requests."""

    async def test_one_permit_serves_one_of_two_waiting_requests(self) -> None:
        """Guard against two requests that are granted the same permit."""
        node = PlainNode(Network(), 1)
        endpoint = SlotEndpoint('one', _FAST_S, Random(1))
        node.add_endpoint(endpoint)
        loads = node.state.response_notices.loads
        now = asyncio.get_running_loop().time()
        tokens = [loads.note_sent(endpoint.replica, now) for _ in range(SLOTS)]
        loads.note_service_time(endpoint.replica, _FAST_S, now)
        permits = [1]
        with patch.object(ReplicaState, 'has_room', lambda *_: permits[0] > 0):
            finders = [
                EndpointFinder(node.state, build_context(1, now), node.queue)
                for _ in range(2)
            ]
            tasks = [
                asyncio.create_task(_take_permit(finder, permits))
                for finder in finders
            ]
            await asyncio.sleep(_PROMPT_S)
            self.assertFalse(any(task.done() for task in tasks))
            for token in tokens:
                loads.note_ended(endpoint.replica, token)
            await asyncio.gather(*tasks)
        self.assertEqual(permits, [0])


async def _take_permit(finder: EndpointFinder, permits: list[int]) -> None:
    if await finder.wait_for_endpoint() is not None:
        permits[0] -= 1


async def _start(service_s: list[float]) -> PlainNodes:
    """Return nodes that have served some requests."""
    nodes = PlainNodes(service_s)
    await asyncio.sleep(1)
    await nodes.offer_all(20, 1)
    nodes.outcomes.clear()
    return nodes


async def _run_overload() -> PlainNodes:
    nodes = await _start(3 * [_FAST_S])
    await nodes.offer_all(2 * 3 * SLOTS / _FAST_S, _DURATION_S)
    await nodes.stop()
    return nodes


async def _run_flood() -> PlainNodes:
    nodes = await _start(3 * [_FAST_S])
    flood_per_s = 3 * SLOTS / _FAST_S
    await asyncio.gather(
        nodes.offer(0, 0, 10, _DURATION_S),
        nodes.offer(1, 2, flood_per_s, _DURATION_S),
        nodes.offer(2, 2, flood_per_s, _DURATION_S),
    )
    await nodes.stop()
    return nodes


async def _run_with_slow() -> PlainNodes:
    nodes = await _start([_SLOW_S, _FAST_S, _FAST_S])
    capacity = 2 * SLOTS / _FAST_S + SLOTS / _SLOW_S
    await nodes.offer_all(_NEARLY_FULL * capacity, _DURATION_S)
    await nodes.stop()
    return nodes


async def _run_turning_slow() -> tuple[PlainNodes, int]:
    nodes = await _start(3 * [_FAST_S])
    demand_per_s = 0.5 * 3 * SLOTS / _FAST_S
    await nodes.offer_all(demand_per_s, 1)
    nodes.endpoints[0].service_s = _SLOW_S
    before = nodes.endpoints[0].received
    nodes.outcomes.clear()
    await nodes.offer_all(demand_per_s, _DURATION_S)
    await nodes.stop()
    return nodes, before


async def _run_restart() -> PlainNodes:
    nodes = await _start(3 * [_FAST_S])
    endpoint = nodes.endpoints[0]
    endpoint.restart(5.0)
    for node in nodes.nodes:
        node.state.view.apply_announcement(endpoint.replica, 2)
    await nodes.offer_all(2 * SLOTS / _FAST_S, 2)
    await nodes.stop()
    return nodes


async def _run_without_reports() -> PlainNodes:
    nodes = await _start(3 * [_FAST_S])
    for endpoint in nodes.endpoints:
        endpoint.reports = False
    await nodes.offer_all(SLOTS / _FAST_S, 2)
    await nodes.stop()
    return nodes
