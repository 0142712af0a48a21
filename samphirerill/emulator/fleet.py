"""A fleet of simulated engines whose layers are placed by the real planner."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from samphirerill.emulator.engine import EmulatedEngine, EmulatedLinks
from samphirerill.fleet.model import LayerRange, Replica
from samphirerill.fleet.repair import count_complete, plan_moves
from samphirerill.fleet.replica_notices import note_requested_backoff
from samphirerill.fleet.suspicion import CONFIRMING_VOTES
from samphirerill.fleet.timing import PlanTiming
from samphirerill.fleet.view import FleetView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from samphirerill.emulator.event_loop import EventLoop
    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import EngineSpec

SERVICE = 'llm'
# As often as the leader among the nodes runs the planner.
_PLANNING_INTERVAL_S = 0.2
# Delay from a crash to its detection, and how long nodes avoid the replica.
_DETECTION_DELAY_S = 0.1
_SUSPICION_S = 4.0
# How long a replica that announces its end serves its streams, as nodes expect.
LEAVING_S = 2.0
# Delay until a change is in the fleet view of every node.
_ANNOUNCEMENT_DELAY_S = 0.02


class EmulatedFleet:
    """Engines, the layers they hold, and the fleet view of the nodes.

    Parameters
    ----------
    event_loop : EventLoop
        Event loop with simulated time.
    engine : EngineSpec
        Performance figures of the service's engines.
    replica_counts : mapping
        For each data centre, the number of replicas by type of accelerator.
    plan_targets : PlanTargets
        Targets of the planner, and the enabled policy mechanisms.
    """

    def __init__(
        self,
        event_loop: EventLoop,
        engine: EngineSpec,
        replica_counts: Mapping[str, Mapping[str, int]],
        plan_targets: PlanTargets,
    ) -> None:
        self.engine = engine
        self.view = FleetView()
        self.links = EmulatedLinks(engine)
        self.engines: dict[str, EmulatedEngine] = {}
        self.load_count = 0
        self._event_loop = event_loop
        # Apart from the traffic, which stays the same.
        self._random = Random(0)
        self.plan_targets = plan_targets
        self._replicas: dict[str, Replica] = {}
        self._target_layers: dict[str, LayerRange] = {}
        self._timing = PlanTiming()
        self._revision = 0
        for name, data_centre, accelerator_type in _name_replicas(
            replica_counts
        ):
            self._add_replica(name, data_centre, accelerator_type)

    def place_initial_layers(
        self, placement: Mapping[str, LayerRange] | None
    ) -> None:
        """Place layers before the start; without a placement, plan one."""
        present = list(self._replicas.values())
        names = set(self._replicas)
        if placement is None:
            placement = plan_moves(
                self.engine, present, self.plan_targets, names
            )
        for name, layers in placement.items():
            self._set_layers(name, layers)
        self._event_loop.call_later(_PLANNING_INTERVAL_S, self._run_planner)

    def crash_replica(self, name: str, for_s: float) -> None:
        """Crash a replica; it restarts empty, or never if `for_s` is 0."""
        self.engines[name].crash()
        self._target_layers.pop(name, None)
        self._event_loop.call_later(
            _DETECTION_DELAY_S, partial(self._report_silence, name)
        )
        if for_s:
            self._event_loop.call_later(for_s, partial(self._restart, name))

    def start_back_off(self, name: str, for_s: float, share: float) -> None:
        """Let a replica refuse a share of the new streams for a time."""
        self.engines[name].back_off.start(self._event_loop.now + for_s, share)

    def refuses_stream(self, name: str) -> bool:
        """Return whether a replica refuses a new stream, which nodes note."""
        now = self._event_loop.now
        engine = self.engines[name]
        engine.leaving.record_send(now)
        if not engine.back_off.refuses(now, self._random):
            return False
        replica = self._replicas[name]
        note_requested_backoff(self.view, replica, engine.back_off.until)
        return True

    def start_departure(
        self, name: str, serves_s: float, announced_after_s: float | None
    ) -> None:
        """Let a replica say that it is leaving, and end it later."""
        self.engines[name].leaving.is_given = True
        if announced_after_s is not None and announced_after_s < serves_s:
            self._event_loop.call_later(
                announced_after_s, partial(self._announce_departure, name)
            )
        self._event_loop.call_later(serves_s, partial(self._depart, name))

    def list_replicas(self) -> list[Replica]:
        """Return all replicas with the layers that they hold."""
        return list(self._replicas.values())

    def _add_replica(
        self, name: str, data_centre: str, accelerator_type: str
    ) -> None:
        accelerator = self.engine.accelerators[accelerator_type]
        self.engines[name] = EmulatedEngine(
            self._event_loop, self.engine, accelerator
        )
        self._announce(
            Replica(
                name,
                SERVICE,
                name,
                data_centre,
                self.engine.slots,
                accelerator=accelerator_type,
            )
        )

    def _announce(
        self, replica: Replica, leaving_deadline: float = 0.0
    ) -> None:
        self._revision += 1
        self._replicas[replica.replica_id] = replica
        self.view.apply_announcement(replica, self._revision, leaving_deadline)

    def _announce_departure(self, name: str) -> None:
        replica = replace(self._replicas[name], is_leaving=True)
        self._announce(replica, self._event_loop.now + LEAVING_S)

    def _depart(self, name: str) -> None:
        """End a replica, which closes its connections."""
        self.engines[name].crash()
        self.engines[name].has_left = True
        self._target_layers.pop(name, None)
        self._replicas.pop(name)
        self._revision += 1
        self.view.remove_announcement(name, self._revision, grace_until=0.0)

    def _set_layers(self, name: str, layers: LayerRange | None) -> None:
        self._announce(replace(self._replicas[name], layers=layers))

    def _report_silence(self, name: str) -> None:
        now = self._event_loop.now
        self.view.add_silence_report(
            name, now + _SUSPICION_S, now, votes=CONFIRMING_VOTES
        )

    def _restart(self, name: str) -> None:
        if self.engines[name].has_left:
            return
        self.engines[name].restart()
        self._set_layers(name, None)
        self.view.note_alive(name)

    def _run_planner(self) -> None:
        """Run the planner if it is due, and start the loads that it orders."""
        now = self._event_loop.now
        present = [
            replace(
                entry.replica,
                layers=self._target_layers.get(
                    entry.replica.replica_id, entry.replica.layers
                ),
            )
            for entry in self.view.list_live(SERVICE, now)
        ]
        self._timing.observe(present, now)
        settled = self._timing.list_settled(now)
        is_stable = self._timing.is_stable(now) and not self._target_layers
        names = frozenset(item.replica_id for item in present)
        if self._timing.should_plan((names, settled, is_stable), present):
            self._plan(present, settled, is_stable=is_stable)
        self._event_loop.call_later(_PLANNING_INTERVAL_S, self._run_planner)

    def _plan(
        self,
        present: list[Replica],
        settled: frozenset[str],
        *,
        is_stable: bool,
    ) -> None:
        self._timing.note_complete(count_complete(self.engine, present))
        moves = plan_moves(
            self.engine,
            present,
            self.plan_targets,
            settled,
            is_stable=is_stable,
            max_complete=self._timing.max_complete,
        )
        for name, layers in moves.items():
            self._start_load(name, layers)

    def _start_load(self, name: str, layers: LayerRange) -> None:
        """Load missing layers; the replica does not serve until it is done."""
        self.load_count += 1
        held = self._replicas[name].held
        kept = max(0, min(held.end, layers.end) - max(held.first, layers.first))
        parallel_loads = max(1, self.engine.loads_at_once)
        slowdown = max(1.0, (len(self._target_layers) + 1) / parallel_loads)
        share = (layers.count - kept) / self.engine.layers
        self._target_layers[name] = layers
        self._set_layers(name, None)
        self._event_loop.call_later(
            self.engine.load_s * share * slowdown + _ANNOUNCEMENT_DELAY_S,
            partial(self._finish_load, name, layers),
        )

    def _finish_load(self, name: str, layers: LayerRange) -> None:
        if self._target_layers.get(name) == layers:
            self._target_layers.pop(name)
            self._set_layers(name, layers)


def _name_replicas(
    replica_counts: Mapping[str, Mapping[str, int]],
) -> list[tuple[str, str, str]]:
    names: list[tuple[str, str, str]] = []
    for data_centre, counts_by_type in replica_counts.items():
        for accelerator_type, count in counts_by_type.items():
            names.extend(
                (
                    f'{data_centre}-{accelerator_type}-{number}',
                    data_centre,
                    accelerator_type,
                )
                for number in range(count)
            )
    return names
