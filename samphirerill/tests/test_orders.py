"""Orders to engines: one leader, fenced by token or by time."""

from __future__ import annotations

import unittest
from typing import Any

from samphirerill.control.orders import (
    LEASE_S,
    ORDER_TIMEOUT_S,
    SAFETY_MARGIN_S,
    EngineStatus,
    LeaderTerm,
    plan_orders,
)
from samphirerill.core.configuration import DesiredState, Endpoint
from samphirerill.testing.clients import CallError, call_json
from samphirerill.testing.cluster import NodeProcess, wait_for
from samphirerill.tests.support import ClusterCase

_DESIRED = DesiredState('v2', ('knee',), 'both')
_NOW = 100.0


def _build_endpoint(name: str, *, checks_fencing: bool = True) -> Endpoint:
    return Endpoint(
        name,
        'engine',
        '127.0.0.1:1',
        'a',
        checks_fencing=checks_fencing,
        desired=_DESIRED,
    )


class TestLeaderTerm(unittest.TestCase):
    """A leader stops before its lease can expire."""

    def setUp(self) -> None:
        """Acquire the key at a known time."""
        self.term = LeaderTerm.start(
            7, requested_at=_NOW, acquired_at=_NOW + 0.1
        )

    def test_paused_leader_sends_no_orders(self) -> None:
        """A pause past the lease is noticed by the clock.

        Guards against a leader that resumes after another has taken over and
        sends what it had planned: an engine would load an outdated version.
        """
        late = _NOW + LEASE_S - SAFETY_MARGIN_S
        self.assertFalse(self.term.may_send_orders(late, checks_fencing=True))
        self.term.renew(requested_at=_NOW + 5)
        self.assertTrue(self.term.may_send_orders(late, checks_fencing=True))

    def test_renewal_counts_from_its_request(self) -> None:
        """A slow reply does not extend the term."""
        self.term.renew(requested_at=_NOW - 50)
        end = self.term.valid_until
        self.assertEqual(end, _NOW + LEASE_S - SAFETY_MARGIN_S)

    def test_engines_without_fencing_need_a_wait(self) -> None:
        """Orders of the previous leader must have arrived before."""
        soon = _NOW + 1
        self.assertTrue(self.term.may_send_orders(soon, checks_fencing=True))
        self.assertFalse(self.term.may_send_orders(soon, checks_fencing=False))
        later = _NOW + 0.2 + SAFETY_MARGIN_S + ORDER_TIMEOUT_S
        self.assertTrue(self.term.may_send_orders(later, checks_fencing=False))


class TestPlanOrders(unittest.TestCase):
    """Orders bring engines to their desired state and no further."""

    def plan(
        self, statuses: dict[str, EngineStatus], loads: int = 2
    ) -> list[str]:
        """Return which engines get an order."""
        endpoints = [_build_endpoint(f'e{index}') for index in range(4)]
        term = LeaderTerm.start(7, _NOW, _NOW)
        orders = plan_orders(endpoints, statuses, term, _NOW + 1, loads)
        return [order.endpoint for order in orders]

    def test_weight_store_load_is_limited(self) -> None:
        """Engines that are loading count against the fleet's limit."""
        idle = EngineStatus()
        loading = EngineStatus(is_loading=True)
        statuses = {'e0': loading, 'e1': idle, 'e2': idle, 'e3': idle}
        self.assertEqual(self.plan(statuses), ['e1'])
        self.assertEqual(self.plan(statuses, loads=1), [])

    def test_desired_state_needs_no_order(self) -> None:
        """The order of the adapters does not matter."""
        reached = EngineStatus('v2', ('knee',), 'both')
        self.assertEqual(self.plan({'e0': reached}), [])

    def test_role_change_needs_no_weights(self) -> None:
        """It is ordered although the weight store is busy."""
        other_role = EngineStatus('v2', ('knee',), 'decode')
        loading = EngineStatus(is_loading=True)
        statuses = {'e0': loading, 'e1': loading, 'e2': other_role}
        self.assertEqual(self.plan(statuses), ['e2'])

    def test_engine_without_status_gets_no_order(self) -> None:
        self.assertEqual(self.plan({}), [])


class TestLeadership(ClusterCase):
    """One of several nodes sends the orders of the configuration."""

    nodes = 3

    def test_engines_reach_the_desired_state_under_one_leader(
        self,
    ) -> None:
        """The next leader's fencing token is higher."""
        self._request_version('v2')
        wait_for(lambda: self._all_at_version('v2'), 'all engines at v2')
        stats = self._read_stats()
        self.assertEqual(stats['most_loads'], 2)
        fences = {order['fence'] for order in stats['orders']}
        self.assertEqual(len(fences), 1)
        first = self._find_leader()
        self.cluster.nodes.remove(first)
        first.stop()
        self._request_version('v3')
        wait_for(lambda: self._all_at_version('v3'), 'all engines at v3')
        later = {order['fence'] for order in self._read_stats()['orders']}
        self.assertEqual(len(later), 2)
        self.assertGreater(max(later), max(fences))
        address = self.cluster.addresses['engines']['stage0-0']
        with self.assertRaises(CallError):
            stale = {
                'fence': min(later),
                'version': 'v2',
                'adapters': [],
                'role': '',
            }
            call_json(address, '/orders', '', stale)

    def _request_version(self, version: str) -> None:
        self.cluster.submit(
            [
                {
                    'op': 'add',
                    'path': f'/endpoints/{name}/desired',
                    'value': {'version': version},
                }
                for name in self.cluster.addresses['engines']
            ]
        )

    def _all_at_version(self, version: str) -> bool:
        engines = self.cluster.addresses['engines'].values()
        return all(
            call_json(address, '/status', '')['version'] == version
            for address in engines
        )

    def _read_stats(self) -> dict[str, Any]:
        address = self.cluster.addresses['engines']['stage0-0']
        return self.cluster.read_stats(address)

    def _find_leader(self) -> NodeProcess:
        return next(
            node
            for node in self.cluster.nodes
            if node.read_state()['orders']['own_fence']
        )


if __name__ == '__main__':
    unittest.main()
