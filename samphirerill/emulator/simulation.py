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
    _schedule_events(scenario, fleet, event_loop)
    generator.start()
    event_loop.run(scenario.length_s)
    metrics = generator.metrics.describe()
    metrics['loads'] = fleet.load_count
    engines = fleet.engines.values()
    metrics['early_sends'] = sum(
        engine.back_off.early_sends for engine in engines
    )
    metrics['late_sends'] = sum(engine.leaving.late_sends for engine in engines)
    for pair, link in fleet.links.by_pair.items():
        link_name = '-'.join(sorted(pair))
        metrics[f'pipe.{link_name}'] = round(link.busy_s / scenario.length_s, 3)
    return metrics


def _count_unwanted_sends(fleet: EmulatedFleet) -> dict[str, int]:
    """Return the sends that replicas had asked not to get.

    `early_sends` came before a back-off had ended, `late_sends` long after a
    response had said that the replica is leaving.
    """
    engines = fleet.engines.values()
    return {
        'early_sends': sum(engine.back_off.early_sends for engine in engines),
        'late_sends': sum(engine.leaving.late_sends for engine in engines),
    }


def _schedule_events(
    scenario: Scenario, fleet: EmulatedFleet, event_loop: EventLoop
) -> None:
    """Schedule what happens to replicas."""
    for crash in scenario.crashes:
        event_loop.call_at(
            crash.at, partial(fleet.crash_replica, crash.replica, crash.for_s)
        )
    for back_off in scenario.back_offs:
        event_loop.call_at(
            back_off.at,
            partial(
                fleet.start_back_off,
                back_off.replica,
                back_off.for_s,
                back_off.share,
            ),
        )
    for departure in scenario.departures:
        event_loop.call_at(
            departure.at,
            partial(
                fleet.start_departure,
                departure.replica,
                departure.serves_s,
                departure.announced_after_s,
            ),
        )


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
