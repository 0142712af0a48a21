"""Run probes of replicas, and share their results among concurrent callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.direct_paths import ConnectFailure
from samphirerill.fleet.view import is_suspected
from samphirerill.relay.health.probe_retries import probe_with_retries
from samphirerill.relay.health.probe_timeouts import ProbeLatencies
from samphirerill.relay.health.probing import Verdict

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.health.probing import Probe
    from samphirerill.relay.state import EdgeState

# A replica is unresponsive if none of so many probes is answered; some fail
# because packets are lost. Where 2.5% are, one probe in ten fails: with two probes,
# 13 living replicas were taken for dead within five seconds.
_MAX_PROBES = 4
# For dead replicas: a lost packet merely delays their return.
_MAX_PROBES_TO_DEAD = 1
# Streams of a path stall together; one probe serves them all.
RESULT_TTL_S = 0.15
# About the number of replicas; results are valid for a moment only.
_MAX_RESULTS = 1024
# Failed probes after a connect that succeeded; the others are recorded already.
_FAILURES = {
    Verdict.UNRESPONSIVE: ConnectFailure.TIMED_OUT,
    Verdict.INCONCLUSIVE: ConnectFailure.OTHER,
}
# Each probe takes about 1 ms of processor time.
_MAX_CONCURRENT_PROBES = 16


class ProbeRunner:
    """Probes replicas; concurrent callers share one probe of each.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    """

    __slots__ = (
        '_latencies',
        '_latest',
        '_loop',
        '_running',
        '_slots',
        '_state',
    )

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._latest: dict[str, Probe] = {}
        self._running: dict[str, asyncio.Task[Probe]] = {}
        self._latencies = ProbeLatencies()
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_PROBES)

    def start(self, replica: Replica) -> asyncio.Task[Probe]:
        """Return the running probe of a replica, or start one."""
        replica_id = replica.replica_id
        task = self._running.get(replica_id)
        if task is None:
            task = self._loop.create_task(self._probe_in_slot(replica))
            self._running[replica_id] = task
            task.add_done_callback(
                lambda _: self._running.pop(replica_id, None)
            )
        return task

    async def probe_all(
        self, replicas: Sequence[Replica], since: float = 0.0
    ) -> list[Probe]:
        """Probe replicas; results from before a moment are not reused."""
        return await asyncio.gather(
            *(self._probe(replica, since) for replica in replicas)
        )

    def find_answered(self, since: float) -> dict[str, float]:
        """Return the replicas whose probes were answered since, and when."""
        return {
            name: probe.at
            for name, probe in self._latest.items()
            if probe.at >= since and probe.verdict is not Verdict.UNRESPONSIVE
        }

    def needs_probe(self, replica: Replica) -> bool:
        """Return whether no probe of a replica is running or still valid."""
        replica_id = replica.replica_id
        since = self._loop.time() - RESULT_TTL_S
        return replica_id not in self._running and not self.was_probed_since(
            replica_id, since
        )

    def was_probed_since(self, replica_id: str, since: float) -> bool:
        """Return whether a probe of a replica has ended since a moment."""
        latest = self._latest.get(replica_id)
        return latest is not None and latest.at > since

    def choose_controls(
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

    def is_conclusive(self, probe: Probe) -> bool:
        """Return whether a probe was answered, or another one meanwhile.

        A probe that was sent earlier, or answered later, says nothing about the
        network at that time.
        """
        return probe.verdict is not Verdict.UNRESPONSIVE or any(
            other.sent_at >= probe.sent_at
            and other.at <= probe.at
            and other.verdict is not Verdict.UNRESPONSIVE
            for other in self._latest.values()
        )

    async def _probe(self, replica: Replica, since: float) -> Probe:
        """Return the latest result if it is valid, else that of a new probe."""
        latest = self._latest.get(replica.replica_id)
        valid_since = max(since, self._loop.time() - RESULT_TTL_S)
        if latest is not None and latest.at > valid_since:
            return latest
        return await asyncio.shield(self.start(replica))

    async def _probe_in_slot(self, replica: Replica) -> Probe:
        async with self._slots:
            return await self._probe_now(replica)

    async def _probe_now(self, replica: Replica) -> Probe:
        """Probe a replica, and store the result."""
        self._state.counters['reports.asked'] += 1
        is_dead = is_suspected(
            self._state.view, replica.replica_id, self._loop.time()
        )
        max_probes = _MAX_PROBES_TO_DEAD if is_dead else _MAX_PROBES
        probe = await probe_with_retries(
            self._state, replica, self._latencies, max_probes
        )
        if len(self._latest) > _MAX_RESULTS:
            self._latest.clear()
        self._latest[replica.replica_id] = probe
        dialer = self._state.pool.dialer
        if probe.verdict in _FAILURES and not dialer.paths.needs_tunnel(
            replica.address
        ):
            dialer.paths.note_failure(replica.address, _FAILURES[probe.verdict])
        if probe.verdict is Verdict.ALIVE:
            self._state.view.note_alive(replica.replica_id, probe.at)
        return probe
