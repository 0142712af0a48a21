"""Play one scenario from one seed."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import TYPE_CHECKING

from samphirerill.emulator.agenda import Agenda
from samphirerill.emulator.fleet import EmulatedFleet
from samphirerill.emulator.streams import Callers

if TYPE_CHECKING:
    from samphirerill.emulator.scenario import Scenario


def play(scenario: Scenario, seed: int) -> dict[str, float]:
    """Play a scenario; return what callers got, and loads."""
    agenda = Agenda()
    fleet = build_fleet(scenario, agenda)
    callers = Callers(agenda, fleet, scenario.traffic, Random(seed))
    for crash in scenario.crashes:
        agenda.call_at(
            crash.at, partial(fleet.crash, crash.replica, crash.for_s)
        )
    callers.start()
    agenda.run(scenario.length_s)
    figures = callers.figures.describe()
    figures['loads'] = fleet.loads
    for pair, pipe in fleet.pipes.by_pair.items():
        name = '-'.join(sorted(pair))
        figures[f'pipe.{name}'] = round(pipe.busy_s / scenario.length_s, 3)
    return figures


def build_fleet(scenario: Scenario, agenda: Agenda) -> EmulatedFleet:
    """Return a scenario's fleet, placed."""
    fleet = EmulatedFleet(
        agenda,
        scenario.build_engine(),
        scenario.zones,
        scenario.build_aims(),
    )
    fleet.place_first(scenario.list_placement())
    return fleet
