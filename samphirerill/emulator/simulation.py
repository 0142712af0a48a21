"""Run a scenario with a seed."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from samphirerill.emulator.client_traffic import TrafficGenerator
from samphirerill.emulator.event_loop import EventLoop
from samphirerill.emulator.fleet import EmulatedFleet

if TYPE_CHECKING:
    from samphirerill.emulator.scenario import Scenario


def run_scenario(scenario: Scenario, seed: int) -> dict[str, float]:
    """Run a scenario; return metrics of its streams, loads and links."""
    event_loop = EventLoop()
    fleet = build_fleet(scenario, event_loop)
    generator = TrafficGenerator(
        event_loop, fleet, scenario.traffic, Random(seed)
    )
    for crash in scenario.crashes:
        event_loop.call_at(
            crash.at, partial(fleet.crash_replica, crash.replica, crash.for_s)
        )
    generator.start()
    event_loop.run(scenario.length_s)
    metrics = generator.metrics.describe()
    metrics['loads'] = fleet.load_count
    for pair, link in fleet.links.by_pair.items():
        link_name = '-'.join(sorted(pair))
        metrics[f'pipe.{link_name}'] = round(link.busy_s / scenario.length_s, 3)
    return metrics


def build_fleet(scenario: Scenario, event_loop: EventLoop) -> EmulatedFleet:
    """Return the fleet of a scenario with its initial layers placed."""
    fleet = EmulatedFleet(
        event_loop,
        scenario.build_engine(),
        scenario.zones,
        scenario.build_plan_targets(),
    )
    fleet.place_initial_layers(scenario.build_placement())
    return fleet
