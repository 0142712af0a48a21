"""Detect which requests had just started on replicas that crashed.

A failed run alone is no evidence: replicas break off responses and keep
running, shut down, or lose power with their rack. It counts against the request
only if the replica process has terminated unannounced and the run had just
started.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.quarantine.decision import SUSPECT_CRASHES
from samphirerill.quarantine.records import Crash

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from samphirerill.fleet.model import Replica
    from samphirerill.quarantine import RequestParts
    from samphirerill.relay.health import ReplicaProber
    from samphirerill.relay.quarantine.evidence_exchange import EvidenceExchange
    from samphirerill.relay.quarantine.manager import QuarantineManager
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_times import RunTimes

_LOG = get_logger('quarantine')
# Delays before each probe of a replica, as packets may be lost.
_PROBE_DELAYS_S = (0.0, 0.1, 0.3)
# Interval at which a continuing run is recorded.
_NOTE_INTERVAL_S = 0.5
# Random delay before a suspect is retried, longer than the settling time of
# evidence. Requests that failed in the same crash would otherwise reach the
# next replica together; apart, the one that crashes it is alone there.
_MIN_RETRY_DELAY_S = 0.15
_MAX_RETRY_DELAY_S = 0.4
_POLL_INTERVAL_S = 0.01
_MAX_LOGGED = 4


@dataclass(slots=True, frozen=True)
class _FailedRun:
    """A run that failed shortly after its start."""

    request: bytes
    request_id: str
    at: float
    parts: RequestParts


class CrashDetector:
    """Attributes replica crashes to the requests that had just started there.

    Parameters
    ----------
    state : EdgeState
        Replicas and the quarantine.
    prober : ReplicaProber
        Probes whether replicas have terminated.
    manager : QuarantineManager
        Records the evidence.
    evidence_exchange : EvidenceExchange
        Sends it to the other nodes.
    """

    def __init__(
        self,
        state: EdgeState,
        prober: ReplicaProber,
        manager: QuarantineManager,
        evidence_exchange: EvidenceExchange,
    ) -> None:
        self._state = state
        self._prober = prober
        self._manager = manager
        self._evidence_exchange = evidence_exchange
        self._loop = asyncio.get_running_loop()
        # Failed runs of each replica process that is being probed.
        self._failed_runs: dict[str, list[_FailedRun]] = {}
        self._unresolved: Counter[bytes] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    def find_held_until(self, context: RequestContext) -> float:
        """Return until when a request is rejected; 0 if it may run."""
        now = self._loop.time()
        quarantine = self._state.quarantine
        until = 0.0
        if len(quarantine):
            until = quarantine.get_held_until(context.identity, now)
        parts = self._state.quarantine.parts
        if len(parts) and context.facts.prompt_parts:
            until = max(until, parts.get_held_until(context.parts, now))
        return until

    def describe_hold(self, context: RequestContext) -> str:
        """Return why a request is rejected, for the log.

        It names the id of the first request with this content, which operators
        can look up.
        """
        parts = self._state.quarantine.parts
        held_part = parts.find_held_part(context.parts, self._loop.time())
        if held_part is None:
            record = self._state.quarantine.get_record(context.identity)
            subject = 'it'
        else:
            record = parts.get_record(held_part)
            subject = 'a part of its prompt'
        if record is None or not record.crashes:
            return f'{subject} crashed replicas'
        first_id = record.crashes[0].request_id
        return f'{subject} crashes replicas, first seen as {first_id}'

    def is_suspect(self, context: RequestContext) -> bool:
        """Return whether a request or its parts may crash replicas.

        More than one replica has crashed with a suspect.
        """
        quarantine = self._state.quarantine
        parts = self._state.quarantine.parts
        if len(parts) and parts.is_suspect(context.parts):
            return True
        if not len(quarantine) and not self._unresolved:
            return False
        known = quarantine.count_crashes(context.identity)
        return known + self._unresolved[context.identity] >= SUSPECT_CRASHES

    def list_trials(self) -> frozenset[str]:
        """Return the replicas that run a suspect."""
        return self._evidence_exchange.trials.list(self._loop.time())

    def record_send(self, context: RequestContext, replica: Replica) -> None:
        """Notify all nodes if the request being sent is a suspect."""
        if self.is_suspect(context):
            self._state.counters['quarantine.trials'] += 1
            self._evidence_exchange.broadcast_trial(replica.replica_id)

    async def delay_retry(self, context: RequestContext) -> None:
        """Delay the retry of a suspect.

        The replica of the last run is being probed; if it is alive, no delay is
        needed.
        """
        until = self._loop.time() + _MAX_RETRY_DELAY_S
        while self._unresolved[context.identity] and self.is_suspect(context):
            if self._loop.time() >= until:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        if self.is_suspect(context):
            delay_s = self._state.random.uniform(
                _MIN_RETRY_DELAY_S, _MAX_RETRY_DELAY_S
            )
            await asyncio.sleep(delay_s)

    def record_failure(
        self,
        context: RequestContext,
        replica: Replica,
        run: RunTimes | None = None,
    ) -> None:
        """Probe whether the replica of a failed run has terminated.

        Parameters
        ----------
        context : RequestContext
            The request that was run.
        replica : Replica
            The replica that it was sent to.
        run : RunTimes, optional
            Progress of the run; omitted if it sent no events.
        """
        if run is not None and run.has_outlasted_start:
            self._note_survival(context)
            return
        if self._state.view.is_leaving(replica.replica_id):
            return
        failed_run = _FailedRun(
            context.identity,
            context.request_id,
            self._loop.time(),
            context.parts,
        )
        self._unresolved[failed_run.request] += 1
        process_name = _name_process(replica)
        waiting = self._failed_runs.setdefault(process_name, [])
        waiting.append(failed_run)
        if len(waiting) == 1:
            self._start_task(
                self._investigate(replica, process_name, failed_run.at)
            )

    def record_progress(self, context: RequestContext, run: RunTimes) -> None:
        """Record that a run has sent events."""
        if not self._has_evidence() or not run.has_outlasted_start:
            return
        now = self._loop.time()
        if now >= run.next_report_at:
            run.next_report_at = now + _NOTE_INTERVAL_S
            self._note_survival(context)

    def record_completion(self, context: RequestContext) -> None:
        """Record that a run has completed, so that its replica is alive."""
        if self._has_evidence():
            self._note_survival(context)

    def _has_evidence(self) -> bool:
        return bool(
            len(self._state.quarantine) or len(self._state.quarantine.parts)
        )

    def _note_survival(self, context: RequestContext) -> None:
        if self._manager.record_survival(context.identity):
            self._evidence_exchange.broadcast((context.identity,))
        if context.facts.prompt_parts:
            cleared = self._manager.record_parts_survival(context.parts)
            self._evidence_exchange.broadcast_parts(cleared)

    async def _investigate(
        self, replica: Replica, process_name: str, since: float
    ) -> None:
        try:
            has_terminated = await self._has_terminated(replica, since)
        finally:
            failed_runs = self._failed_runs.pop(process_name)
            self._unresolved -= Counter(run.request for run in failed_runs)
        if has_terminated:
            self._record_crash(replica, process_name, failed_runs)

    def _record_crash(
        self, replica: Replica, process_name: str, failed_runs: list[_FailedRun]
    ) -> None:
        self._state.counters['quarantine.ends'] += 1
        request_ids = [run.request_id for run in failed_runs[:_MAX_LOGGED]]
        _LOG.info(
            'replica crashed while starting requests',
            extra={
                'replica': replica.replica_id,
                'count': len(failed_runs),
                'requests': request_ids,
                'common_parts': _count_common_parts(failed_runs),
            },
        )
        for run in failed_runs:
            crash = Crash(process_name, run.request_id, run.at)
            self._manager.record_crash(run.request, crash)
            self._manager.record_parts_crash(run.parts, crash)
        self._evidence_exchange.broadcast(
            [failed_run.request for failed_run in failed_runs]
        )
        self._evidence_exchange.broadcast_parts(self._rank_parts(failed_runs))

    def _rank_parts(self, failed_runs: list[_FailedRun]) -> list[bytes]:
        """Return the parts of failed runs, the most suspect ones first.

        Of those with as many crashes, parts of many runs come last: other nodes
        know them from runs of their own.
        """
        counts = Counter(
            digest for run in failed_runs for digest in run.parts.digests
        )
        crashes = {
            digest: self._state.quarantine.parts.count_crashes(digest)
            for digest in counts
        }
        return sorted(
            counts, key=lambda digest: (-crashes[digest], counts[digest])
        )

    async def _has_terminated(self, replica: Replica, since: float) -> bool:
        """Return whether the process has terminated; silence is no proof."""
        view = self._state.view
        for delay_s in _PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            if view.is_leaving(replica.replica_id):
                return False
            if not await self._prober.probe_replicas([replica], since):
                return False
            if view.has_ended(replica):
                return True
        return False

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _count_common_parts(failed_runs: list[_FailedRun]) -> int:
    """Return how many prompt parts all the runs have in common."""
    return len(
        frozenset.intersection(*(run.parts.digests for run in failed_runs))
    )


def _name_process(replica: Replica) -> str:
    """Return a name for a replica process; some restart with the same id."""
    if not replica.started_ms:
        return replica.replica_id
    return f'{replica.replica_id}/{replica.started_ms}'
