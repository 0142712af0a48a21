"""Active health checks: find out which replica stalls a stream.

All replicas of the path are probed as soon as a stream stalls. The first one
reports which requests wait for which replica, but a few hundred milliseconds
late. A terminated process refuses connections at once, and a lost machine does
not answer at all.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from samphirerill.fleet.failure_detection import is_local_fault
from samphirerill.fleet.load import list_replica_ids
from samphirerill.fleet.suspicion import CONFIRMING_VOTES
from samphirerill.fleet.view import is_suspected
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.passive_checks import find_live_replicas
from samphirerill.relay.health.probe_runner import RESULT_TTL_S, ProbeRunner
from samphirerill.relay.health.probe_timeouts import MIN_TIMEOUT_S
from samphirerill.relay.health.probing import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.health.probing import Probe
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
# Interval of probes of a replica that others report as faulty. A live one
# refuses requests for a while when it changes its layers.
_CHECK_INTERVAL_S = 0.5
# How long a replica that has terminated, or that others wait for, gets no
# requests; engines stall for some seconds before they give up.
AVOID_S = 4.0
# The same for an unresponsive one, as the network may be at fault.
AVOID_UNRESPONSIVE_S = 2.0
# Replicas report stalls with this delay; a replica that has worked since is not
# the cause.
_STALL_REPORT_LAG_S = 0.3
# Control probes distinguish a failed path from a failed network of this node:
# other replicas are probed, several for each missing answer, as some of them may
# be lost too. Where a third of a fleet is lost, two are not enough in one of 16
# cases, three in one of 250.
_CONTROLS_PER_MISSING = 3
_MAX_CONTROLS = 12
_MIN_CONTROLS = 2
# Interval at which this node repeats inconclusive probes. Streams stall together
# while its link is saturated or the replicas are overloaded, and each would repeat
# them otherwise.
_REPEAT_INTERVAL_S = 0.25
# Fewer probes than this at once are accompanied by control probes, so that a
# missing answer can be judged without another round.
_MIN_CONCURRENT_PROBES = 3


@dataclass(slots=True)
class Diagnosis:
    """Result of probing a path.

    `dead` are the ids of dead replicas. `stalled` maps request ids to the
    address that they wait for, as the first replica of the path reports.
    """

    dead: set[str] = field(default_factory=set)
    stalled: dict[str, str] = field(default_factory=dict)


class ReplicaProber:
    """Probes replicas; concurrent callers share one probe of each.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    alarms : Alarms
        Reports failures to the other nodes.
    """

    def __init__(self, state: EdgeState, alarms: Alarms) -> None:
        self._state = state
        self._alarms = alarms
        self._loop = asyncio.get_running_loop()
        self._runner = ProbeRunner(state)
        self._inconclusive: set[str] = set()
        self._next_repeat_at = float('-inf')
        self._background_probes: set[asyncio.Task[set[str]]] = set()

    async def diagnose_path(self, stages: tuple[Stage, ...]) -> Diagnosis:
        """Probe a path, and return why its streams are stalled.

        Parameters
        ----------
        stages : tuple of Stage
            The stages of the path that may be at fault.
        """
        replicas = [stage.replica for stage in stages]
        dead = {
            name
            for name in list_replica_ids(stages)
            if is_suspected(self._state.view, name, self._loop.time())
        }
        if dead:
            # Probing known failures again would delay each stalled stream.
            return Diagnosis(dead)
        probes = await self._probe_with_controls(replicas)
        self._alarms.broadcast_slow()
        await self._repeat_inconclusive(replicas, probes)
        diagnosis = Diagnosis(await self._evaluate(replicas, probes))
        for probe in probes:
            if probe.report is not None:
                diagnosis.stalled.update(probe.report.stalled)
        for address in set(diagnosis.stalled.values()):
            self._suspect_address(address)
        return diagnosis

    async def probe_replicas(
        self, replicas: Sequence[Replica], since: float = 0.0
    ) -> set[str]:
        """Probe replicas; return the ids of those that are dead.

        Parameters
        ----------
        replicas : sequence of Replica
            The replicas to probe.
        since : float
            Results from before this moment are not reused.
        """
        probes = await self._runner.probe_all(replicas, since)
        self._alarms.broadcast_slow()
        await self._repeat_inconclusive(replicas, probes)
        return await self._evaluate(replicas, probes)

    def probe_in_background(self, replica: Replica) -> None:
        """Probe in the background a replica that another one reports as faulty.

        Engines name the stage that they cannot reach; without the probe, each
        further stream over it would be refused too.
        """
        since = self._loop.time() - _CHECK_INTERVAL_S
        if self._runner.was_probed_since(replica.replica_id, since):
            return
        task = self._loop.create_task(self._probe_reported(replica))
        self._background_probes.add(task)
        task.add_done_callback(self._background_probes.discard)

    async def probe_inconclusive(self) -> None:
        """Probe again what proved nothing, once any replica answers."""
        if not self._inconclusive:
            return
        controls = self._runner.choose_controls((), _MIN_CONTROLS)
        answers = await self._runner.probe_all(controls)
        if answers and all(
            probe.verdict is Verdict.UNRESPONSIVE for probe in answers
        ):
            return
        view = self._state.view
        replicas = [
            view.replicas[name].replica
            for name in self._inconclusive
            if name in view.replicas
        ]
        self._inconclusive.clear()
        await self.probe_replicas(replicas)

    def find_alive(self, since: float) -> dict[str, float]:
        """Return the replicas known to work since a moment, and when."""
        alive = find_live_replicas(self._state.streams, since)
        for name, at in self._runner.find_answered(since).items():
            alive[name] = max(at, alive.get(name, since))
        return alive

    async def _probe_reported(self, replica: Replica) -> set[str]:
        """Probe a replica whose failure another replica has reported."""
        probes = await self._runner.probe_all([replica])
        return await self._evaluate([replica], probes)

    async def _probe_with_controls(
        self, replicas: Sequence[Replica]
    ) -> list[Probe]:
        """Probe replicas, and others at the same time if they are few."""
        missing = _MIN_CONCURRENT_PROBES - len(replicas)
        if missing > 0 and any(map(self._runner.needs_probe, replicas)):
            probed = {replica.replica_id for replica in replicas}
            for control in self._runner.choose_controls(probed, missing):
                self._runner.start(control)
        return await self._runner.probe_all(replicas)

    async def _evaluate(
        self, replicas: Sequence[Replica], probes: Sequence[Probe]
    ) -> set[str]:
        """Return the dead replicas, and report them to the other nodes."""
        verdicts = {
            replica.replica_id: probe
            for replica, probe in zip(replicas, probes, strict=True)
        }
        terminated = _filter_by_verdict(verdicts, Verdict.TERMINATED)
        unresponsive = self._list_unresponsive(verdicts)
        verifier = self._state.pool.dialer.verifier
        if unresponsive and await verifier.finds_lost_paths():
            # Others may be broken as well, also those of the nodes that relay.
            unresponsive = set()
        if unresponsive and await self._is_local_fault(unresponsive, verdicts):
            unresponsive = set()
        for replica in replicas:
            if replica.replica_id in terminated | unresponsive:
                self._suspect_probed(replica, verdicts[replica.replica_id])
        return terminated | unresponsive

    def _list_unresponsive(self, probes: dict[str, Probe]) -> set[str]:
        """Return replicas without an answer or a recent stream event."""
        unresponsive = _filter_by_verdict(probes, Verdict.UNRESPONSIVE)
        if not unresponsive:
            return unresponsive
        since = min(probes[name].at for name in unresponsive) - MIN_TIMEOUT_S
        return (
            unresponsive - find_live_replicas(self._state.streams, since).keys()
        )

    async def _repeat_inconclusive(
        self, replicas: Sequence[Replica], probes: list[Probe]
    ) -> None:
        """Repeat silent probes while which no other probe was answered.

        While this node's link is saturated, events of streams still arrive, but
        late, and no probe is answered in time. A probe that is silent again
        while no other one is answered proves nothing.

        Parameters
        ----------
        replicas : sequence of Replica
            The probed replicas.
        probes : list of Probe
            Their probes, which are replaced by the repeated ones.
        """
        unproven = [
            index
            for index, probe in enumerate(probes)
            if not self._runner.is_conclusive(probe)
        ]
        wanted = min(_MAX_CONTROLS, _CONTROLS_PER_MISSING * len(unproven))
        names = {replica.replica_id for replica in replicas}
        controls = self._runner.choose_controls(names, wanted)
        if not controls:
            return
        now = self._loop.time()
        if now >= self._next_repeat_at:
            self._next_repeat_at = now + _REPEAT_INTERVAL_S
            suspects = [replicas[index] for index in unproven]
            repeated = await self._runner.probe_all([*suspects, *controls], now)
            for index, probe in zip(unproven, repeated, strict=False):
                probes[index] = probe
        for index in unproven:
            if not self._runner.is_conclusive(probes[index]):
                self._note_inconclusive(replicas[index], probes, index)

    def _note_inconclusive(
        self, replica: Replica, probes: list[Probe], index: int
    ) -> None:
        self._state.counters['probes.inconclusive'] += 1
        self._inconclusive.add(replica.replica_id)
        probes[index] = replace(probes[index], verdict=Verdict.INCONCLUSIVE)

    async def _is_local_fault(
        self, unresponsive: set[str], probes: dict[str, Probe]
    ) -> bool:
        """Return whether this node is cut off, probing controls if needed."""
        since = min(probes[name].at for name in unresponsive) - RESULT_TTL_S
        alive = self.find_alive(since).keys() - unresponsive
        if not is_local_fault(unresponsive, alive):
            return False
        missing = len(unresponsive) - len(alive)
        wanted = min(_MAX_CONTROLS, _CONTROLS_PER_MISSING * missing)
        controls = self._runner.choose_controls(
            {*unresponsive, *alive, *probes}, wanted
        )
        await self._runner.probe_all(controls)
        alive = self.find_alive(since).keys() - unresponsive
        return is_local_fault(unresponsive, alive)

    def _suspect_probed(self, replica: Replica, probe: Probe) -> None:
        reason = probe.verdict.value
        if probe.verdict is Verdict.TERMINATED and probe.is_confirmed:
            self._state.view.ended.note(replica, probe.at)
            self._suspect(
                replica.replica_id, reason, CONFIRMING_VOTES, probe.at, AVOID_S
            )
        else:
            # A node without peers cannot get a second vote.
            is_alone = not self._state.load_tracker.count_peers()
            votes = CONFIRMING_VOTES if is_alone else 1
            self._suspect(
                replica.replica_id,
                reason,
                votes,
                probe.at,
                AVOID_UNRESPONSIVE_S,
            )

    def _suspect_address(self, address: str) -> None:
        replica_state = self._state.view.find_by_address(address)
        if replica_state is not None:
            self._suspect(
                replica_state.replica.replica_id,
                'other replicas wait for it',
                CONFIRMING_VOTES,
                self._loop.time() - _STALL_REPORT_LAG_S,
                AVOID_S,
            )

    def _suspect(
        self,
        replica_id: str,
        reason: str,
        votes: int,
        since: float,
        duration_s: float,
    ) -> None:
        now = self._loop.time()
        is_new = self._state.view.add_silence_report(
            replica_id, now + duration_s, now, votes=votes, since=since
        )
        if is_new:
            _LOG.warning(
                'replica suspected',
                extra={'replica': replica_id, 'reason': reason},
            )
            self._alarms.broadcast_suspicion(replica_id)
            self._state.notify_listeners()


def _filter_by_verdict(probes: dict[str, Probe], wanted: Verdict) -> set[str]:
    return {name for name, probe in probes.items() if probe.verdict is wanted}
