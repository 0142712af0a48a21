"""Nodes with old reports share the slots of engines."""

from __future__ import annotations

from dataclasses import replace
from functools import cache
from unittest import TestCase

from samphirerill.testing.slot_simulation import (
    SlotMetrics,
    SlotScenario,
    SlotSimulation,
)

_AGES_S = (0.0, 0.3, 1.0)
_FLEETS = (
    SlotScenario(3, 6, length_s=30),
    SlotScenario(32, 46),
    SlotScenario(69, 98, length_s=4),
    SlotScenario(400, 160, length_s=1.5),
)
_MIN_UTILIZATION = 0.8
_MAX_WAIT_AGES = 2.0


@cache
def _run(scenario: SlotScenario) -> SlotMetrics:
    return SlotSimulation(scenario, seed=3).run()


class TestSlotShares(TestCase):
    """Fleets of 3 to 400 nodes, reports of up to a second."""

    def test_engines_get_no_more_streams_than_slots(self) -> None:
        for fleet in _FLEETS:
            for age_s in _AGES_S:
                scenario = replace(fleet, report_age_s=age_s)
                with self.subTest(scenario):
                    self.assertLessEqual(_run(scenario).peak, scenario.slots)

    def test_slots_do_not_stay_free_while_streams_wait(self) -> None:
        """Compares with nodes that know everything at once."""
        for fleet in _FLEETS:
            ideal = _run(replace(fleet, report_age_s=0.0, uses_shares=False))
            least = _MIN_UTILIZATION * ideal.slot_seconds
            for age_s in _AGES_S:
                with self.subTest(nodes=fleet.nodes, age_s=age_s):
                    shared = _run(replace(fleet, report_age_s=age_s))
                    self.assertGreaterEqual(shared.slot_seconds, least)
                    self.assertLessEqual(
                        shared.mean_wait_s - ideal.mean_wait_s,
                        _MAX_WAIT_AGES * age_s,
                    )

    def test_engines_limited_by_memory_take_streams_at_once(self) -> None:
        """Engines of 96 slots have memory for about 30 streams."""
        for fleet in _FLEETS:
            scenario = replace(fleet, slots=96, load=0.3, length_s=2)
            with self.subTest(nodes=fleet.nodes):
                self.assertLess(_run(scenario).mean_wait_s, 0.001)
