"""Subsetting in a large fleet, and slow start of new endpoints."""

from __future__ import annotations

import unittest
from collections import Counter
from typing import Any

from samphirerill.bench.cost_measurements import build_configuration_document
from samphirerill.core.commands import OpenAttempt
from samphirerill.core.configuration import build_configuration
from samphirerill.core.events import ConfigurationAccepted, RequestArrived
from samphirerill.core.placement import SLOW_START_S, count_free_slots
from samphirerill.core.router import Router
from samphirerill.core.subsets import MAX_SUBSET_REPLICAS

_MODELS = 2
_REPLICAS = 800
_RANGES = 4


def _build_router(name: str, document: dict[str, Any]) -> Router:
    router = Router(name, seed=1)
    event = ConfigurationAccepted(build_configuration(document, 1))
    router.apply(event, 0)
    return router


class TestSubsets(unittest.TestCase):
    """A node uses a subset of a large fleet; nodes spread evenly."""

    def test_every_layer_range_has_a_bounded_subset(self) -> None:
        """A request finds a complete pipeline at any fleet size."""
        document = build_configuration_document(_REPLICAS, 10, _MODELS)
        router = _build_router('n1', document)
        for replicas in router.state.by_model.values():
            self.assertEqual(len(replicas), MAX_SUBSET_REPLICAS * _RANGES)
        arrived = RequestArrived('r1', 'account-1', 'r1', 100)
        commands = router.apply(arrived, 1)
        self.assertIsInstance(commands[0], OpenAttempt)

    def test_nodes_choose_different_subsets(self) -> None:
        """Every replica is used, and none by all nodes."""
        document = build_configuration_document(_REPLICAS, 10, _MODELS)
        chosen: Counter[str] = Counter()
        for number in range(60):
            router = _build_router(f'node-{number}', document)
            for replicas in router.state.by_model.values():
                chosen.update(replica.endpoint.name for replica in replicas)
        self.assertEqual(len(chosen), _REPLICAS)
        self.assertLess(max(chosen.values()), 35)


class TestSlowStart(unittest.TestCase):
    """An endpoint that has just joined gets a growing share."""

    def setUp(self) -> None:
        """Configure a small fleet that one engine joins later."""
        document = build_configuration_document(8, 2, 1)
        self.router = _build_router('n1', document)
        endpoints = dict(document['endpoints'])
        endpoints['new'] = {**endpoints['e0'], 'address': '10.9.9.9:1'}
        joined = {**document, 'endpoints': endpoints}
        event = ConfigurationAccepted(build_configuration(joined, 2))
        self.router.apply(event, 10)

    def count_free(self, name: str, now: float) -> int:
        """Return how many more requests may be sent to an endpoint."""
        state = self.router.state
        state.now = now
        return count_free_slots(state, state.endpoints[name])

    def test_share_grows_from_one_slot_to_all(self) -> None:
        """All nodes see a new endpoint at once and must not fill it together.

        Guards against each node sending it a full load before its first
        report.
        """
        self.assertEqual(self.count_free('new', 10), 1)
        halfway = self.count_free('new', 10 + SLOW_START_S / 2)
        self.assertEqual(halfway, 16)
        self.assertEqual(self.count_free('new', 10 + SLOW_START_S), 32)

    def test_starting_node_has_no_slow_start(self) -> None:
        """For a new node all endpoints are new, but none has just joined."""
        self.assertEqual(self.count_free('e0', 10), 32)


if __name__ == '__main__':
    unittest.main()
