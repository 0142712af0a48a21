"""Active health checks: find out which replica stalls a stream.

All replicas of the path are probed as soon as a stream stalls. The first one
reports which requests wait for which replica, but a few hundred milliseconds
late. A terminated process refuses connections at once, and a lost machine does
not answer at all.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.failure_detection import is_local_fault
from samphirerill.fleet.load import list_replica_ids
from samphirerill.fleet.suspicion import CONFIRMING_VOTES
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.passive_checks import find_live_replicas
from samphirerill.relay.health.probe_retries import probe_with_retries
from samphirerill.relay.health.probe_timeouts import (
    MIN_TIMEOUT_S,
    ProbeLatencies,
)
from samphirerill.relay.health.probing import Probe, Verdict

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('examiner')
# A replica is unresponsive if none of so many probes is answered; some fail
# because packets are lost.
_MAX_PROBES = 4
# For dead replicas: a lost packet merely delays their return.
_MAX_PROBES_TO_DEAD = 1
# Streams of a path stall together; one probe serves them all.
_RESULT_TTL_S = 0.15
# Interval of probes of a replica that others report as faulty. A live one
# refuses requests for a while when it changes its layers.
_CHECK_INTERVAL_S = 0.5
# About the number of replicas; results are valid for a moment only.
_MAX_RESULTS = 1024
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
# be lost too.
_CONTROLS_PER_MISSING = 3
_MAX_CONTROLS = 12
# Each probe takes about 1 ms of processor time.
_MAX_CONCURRENT_PROBES = 16


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
        self._latest_probes: dict[str, Probe] = {}
        self._running_probes: dict[str, asyncio.Task[Probe]] = {}
        self._latencies = ProbeLatencies()
        self._background_probes: set[asyncio.Task[set[str]]] = set()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_PROBES)

    async def diagnose_path(self, stages: tuple[Stage, ...]) -> Diagnosis:
        """Probe a path, and return why its streams are stalled.

        Parameters
        ----------
        stages : tuple of Stage
            The stages of the path that may be at fault.
        """
        replicas = [stage.replica for stage in stages]
        dead = {
            name for name in list_replica_ids(stages) if self._is_dead(name)
        }
        if dead:
            # Probing known failures again would delay each stalled stream.
            return Diagnosis(dead)
        probes = await self._probe_all(replicas)
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
        probes = await self._probe_all(replicas, since)
        return await self._evaluate(replicas, probes)

    def probe_in_background(self, replica: Replica) -> None:
        """Probe in the background a replica that another one reports as faulty.

        Engines name the stage that they cannot reach; without the probe, each
        further stream over it would be refused too.
        """
        latest = self._latest_probes.get(replica.replica_id)
        if (
            latest is not None
            and latest.at + _CHECK_INTERVAL_S > self._loop.time()
        ):
            return
        task = self._loop.create_task(self.probe_replicas([replica]))
        self._background_probes.add(task)
        task.add_done_callback(self._background_probes.discard)

    def find_alive(self, since: float) -> dict[str, float]:
        """Return the replicas known to work since a moment, and when."""
        alive = find_live_replicas(self._state.streams, since)
        for name, probe in self._latest_probes.items():
            if probe.at >= since and probe.verdict is not Verdict.UNRESPONSIVE:
                alive[name] = max(probe.at, alive.get(name, since))
        return alive

    def _is_dead(self, replica_id: str) -> bool:
        replica_state = self._state.view.replicas.get(replica_id)
        now = self._loop.time()
        return (
            replica_state is not None
            and replica_state.suspicion.suspected_until > now
        )

    async def _probe_all(
        self, replicas: Sequence[Replica], since: float = 0.0
    ) -> list[Probe]:
        return await asyncio.gather(
            *(self._probe(replica, since) for replica in replicas)
        )

    async def _probe(self, replica: Replica, since: float = 0.0) -> Probe:
        """Return the latest result if it is valid, else that of a new probe."""
        replica_id = replica.replica_id
        latest = self._latest_probes.get(replica_id)
        valid_since = max(since, self._loop.time() - _RESULT_TTL_S)
        if latest is not None and latest.at > valid_since:
            return latest
        task = self._running_probes.get(replica_id)
        if task is None:
            task = self._loop.create_task(self._probe_in_slot(replica))
            self._running_probes[replica_id] = task
            task.add_done_callback(
                lambda _: self._running_probes.pop(replica_id, None)
            )
        return await asyncio.shield(task)

    async def _probe_in_slot(self, replica: Replica) -> Probe:
        async with self._slots:
            return await self._probe_now(replica)

    async def _probe_now(self, replica: Replica) -> Probe:
        """Probe a replica, and store the result."""
        self._state.counters['reports.asked'] += 1
        is_dead = self._is_dead(replica.replica_id)
        max_probes = _MAX_PROBES_TO_DEAD if is_dead else _MAX_PROBES
        probe = await probe_with_retries(
            self._state, replica, self._latencies, max_probes
        )
        return self._store_result(replica, probe)

    def _store_result(self, replica: Replica, probe: Probe) -> Probe:
        if len(self._latest_probes) > _MAX_RESULTS:
            self._latest_probes.clear()
        self._latest_probes[replica.replica_id] = probe
        if probe.verdict is Verdict.ALIVE:
            self._state.view.note_alive(replica.replica_id, probe.at)
        return probe

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

    async def _is_local_fault(
        self, unresponsive: set[str], probes: dict[str, Probe]
    ) -> bool:
        """Return whether this node is cut off, probing controls if needed."""
        since = min(probes[name].at for name in unresponsive) - _RESULT_TTL_S
        alive = self.find_alive(since).keys() - unresponsive
        if not is_local_fault(unresponsive, alive):
            return False
        missing = len(unresponsive) - len(alive)
        wanted = min(_MAX_CONTROLS, _CONTROLS_PER_MISSING * missing)
        controls = self._choose_controls(
            {*unresponsive, *alive, *probes}, wanted
        )
        await self._probe_all(controls)
        alive = self.find_alive(since).keys() - unresponsive
        return is_local_fault(unresponsive, alive)

    def _choose_controls(
        self, excluded: Collection[str], wanted: int
    ) -> list[Replica]:
        """Return random replicas that are expected to answer."""
        now = self._loop.time()
        others = [
            replica_state.replica
            for name, replica_state in self._state.view.replicas.items()
            if name not in excluded
            and replica_state.suspicion.suspected_until <= now
            and replica_state.requested_backoff_until <= now
            and replica_state.replica.layers is not None
        ]
        return self._state.random.sample(others, min(wanted, len(others)))

    def _suspect_probed(self, replica: Replica, probe: Probe) -> None:
        reason = probe.verdict.value
        if probe.verdict is Verdict.TERMINATED:
            replica_state = self._state.view.replicas.get(replica.replica_id)
            if replica_state is not None:
                replica_state.suspicion.has_stopped = True
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
