"""A fleet of emulated engines, commanded by the planner of the product."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.emulator.engine import EmulatedEngine, Pipes
from samphirerill.fleet.model import LayerRange, Replica
from samphirerill.fleet.repair import count_whole, plan_moves
from samphirerill.fleet.suspicion import SURE_VOTES
from samphirerill.fleet.timing import PlanTiming
from samphirerill.fleet.view import FleetView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from samphirerill.emulator.agenda import Agenda
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.worth import Aims

SERVICE = 'llm'
# As a node that commands looks at the fleet.
_STEP_S = 0.2
# From a death to the nodes' belief in it, and how long they avoid the replica.
_NOTICE_S = 0.1
_AVOID_S = 4.0
# From a change to its announcement in every node's view.
_ANNOUNCE_S = 0.02


class EmulatedFleet:
    """Engines, what they hold, and what nodes believe of them.

    Parameters
    ----------
    agenda : Agenda
        Modelled time.
    engine : EngineSpec
        The service's figures.
    zones : mapping
        For each data centre, how many replicas of each kind it has.
    aims : Aims
        What plans are made for, and which mechanisms are in use.
    """

    def __init__(
        self,
        agenda: Agenda,
        engine: EngineSpec,
        zones: Mapping[str, Mapping[str, int]],
        aims: Aims,
    ) -> None:
        self.engine = engine
        self.view = FleetView()
        self.pipes = Pipes(engine)
        self.engines: dict[str, EmulatedEngine] = {}
        self.loads = 0
        self._agenda = agenda
        self.aims = aims
        self._replicas: dict[str, Replica] = {}
        self._goals: dict[str, LayerRange] = {}
        self._timing = PlanTiming()
        self._revision = 0
        for name, zone, kind in _list_names(zones):
            self._add(name, zone, kind)

    def place_first(self, placement: Mapping[str, LayerRange] | None) -> None:
        """Let replicas hold layers from the start, planned if none are given."""
        present = list(self._replicas.values())
        names = set(self._replicas)
        if placement is None:
            placement = plan_moves(self.engine, present, self.aims, names)
        for name, layers in placement.items():
            self._hold(name, layers)
        self._agenda.call_later(_STEP_S, self._command)

    def crash(self, name: str, for_s: float) -> None:
        """End a replica; it starts again empty, or never if `for_s` is 0."""
        self.engines[name].die()
        self._goals.pop(name, None)
        self._agenda.call_later(_NOTICE_S, partial(self._notice, name))
        if for_s:
            self._agenda.call_later(for_s, partial(self._restart, name))

    def list_held(self) -> list[Replica]:
        """Return all replicas with what they hold."""
        return list(self._replicas.values())

    def _add(self, name: str, zone: str, kind: str) -> None:
        accelerator = self.engine.accelerators[kind]
        self.engines[name] = EmulatedEngine(
            self._agenda, self.engine, accelerator
        )
        self._announce(
            Replica(
                name,
                SERVICE,
                name,
                zone,
                self.engine.slots,
                accelerator=kind,
            )
        )

    def _announce(self, replica: Replica) -> None:
        self._revision += 1
        self._replicas[replica.replica_id] = replica
        self.view.announce(replica, self._revision)

    def _hold(self, name: str, layers: LayerRange | None) -> None:
        self._announce(replace(self._replicas[name], layers=layers))

    def _notice(self, name: str) -> None:
        now = self._agenda.now
        self.view.suspect(name, now + _AVOID_S, now, votes=SURE_VOTES)

    def _restart(self, name: str) -> None:
        self.engines[name].live()
        self._hold(name, None)
        self.view.trust(name)

    def _command(self) -> None:
        """Plan, and let what is ordered be loaded."""
        now = self._agenda.now
        present = [
            replace(
                found.replica,
                layers=self._goals.get(
                    found.replica.replica_id, found.replica.layers
                ),
            )
            for found in self.view.list_live(SERVICE, now)
        ]
        self._timing.observe(present, now)
        settled = self._timing.list_settled(now)
        is_calm = self._timing.is_calm(now) and not self._goals
        names = frozenset(item.replica_id for item in present)
        if self._timing.may_plan((names, settled, is_calm), present):
            self._plan(present, settled, is_calm=is_calm)
        self._agenda.call_later(_STEP_S, self._command)

    def _plan(
        self,
        present: list[Replica],
        settled: frozenset[str],
        *,
        is_calm: bool,
    ) -> None:
        self._timing.note_whole(count_whole(self.engine, present))
        moves = plan_moves(
            self.engine,
            present,
            self.aims,
            settled,
            is_calm=is_calm,
            had=self._timing.had,
        )
        for name, layers in moves.items():
            self._load(name, layers)

    def _load(self, name: str, layers: LayerRange) -> None:
        """Load what a replica does not hold yet; it serves nothing meanwhile."""
        self.loads += 1
        held = self._replicas[name].held
        kept = max(0, min(held.end, layers.end) - max(held.first, layers.first))
        at_once = max(1, self.engine.loads_at_once)
        crowd = max(1.0, (len(self._goals) + 1) / at_once)
        share = (layers.count - kept) / self.engine.layers
        self._goals[name] = layers
        self._hold(name, None)
        self._agenda.call_later(
            self.engine.load_s * share * crowd + _ANNOUNCE_S,
            partial(self._finish_load, name, layers),
        )

    def _finish_load(self, name: str, layers: LayerRange) -> None:
        if self._goals.get(name) == layers:
            self._goals.pop(name)
            self._hold(name, layers)


def _list_names(
    zones: Mapping[str, Mapping[str, int]],
) -> list[tuple[str, str, str]]:
    names: list[tuple[str, str, str]] = []
    for zone, kinds in zones.items():
        for kind, count in kinds.items():
            names.extend(
                (f'{zone}-{kind}-{number}', zone, kind)
                for number in range(count)
            )
    return names
