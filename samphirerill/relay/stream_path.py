"""The path of one stream: its stages, which have failed, and rerouting."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_replica_ids
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.paths import predict_event_interval_ms
from samphirerill.fleet.stage_lifetime import find_stage_end, is_stage_lost
from samphirerill.fleet.stream_rerouting import predict_reroute_pause_ms
from samphirerill.node.logs import get_logger
from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.health.passive_checks import list_unconfirmed
from samphirerill.relay.orders import request_reroute
from samphirerill.relay.path_finder import ANY_HEAD, PathFinder
from samphirerill.relay.used_replicas import UsedReplicas

if TYPE_CHECKING:
    from collections.abc import Collection

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.relay.admission import AdmissionQueue
    from samphirerill.relay.health.prober import Diagnosis, ReplicaProber
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('streams')
# Share of the time left on a leaving replica before a stream may be rerouted.
# Most streams finish within it, and the replacement has loaded the layers by
# then. The end of that time is reserved for the reroute itself.
_MIN_STAY_SHARE = 0.4
_REROUTE_MARGIN_S = 0.15
# Delay before a stream is rerouted off such a replica if the policy
# `unhurried_leaving` is off.
_UNSPREAD_DELAY_S = 0.05
# How long an event of another stream proves that its path works. It may arrive
# most of an event interval after a replica that it passed has failed, so an
# older one is no proof.
_LIVENESS_PROOF_S = 0.015
# Interval between searches for a replica without another suspect.
_ISOLATION_POLL_S = 0.1
# Upper bound on that search, in which the run of another suspect shows whether
# it crashes its replica.
_MAX_ISOLATION_WAIT_S = 0.7
# Interval at which a stream that may use no further head replica looks whether
# one of those that it used has ended.
_VERIFY_INTERVAL_S = 0.25
# Streams that are rerouted at random times overlap with one in this many others.
_SPREAD_FACTOR = 4


class MoveResult(enum.Enum):
    """Result of rerouting a stream off a replica."""

    MOVED = 'moved'
    RESEND = 'send again'
    NONE = 'no path'


class StreamPath:
    """The stages that a stream uses, with their capacity reserved.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    engine : EngineSpec
        Performance figures of the service's engine.
    admission : AdmissionQueue
        Grants paths with free capacity.
    prober : ReplicaProber
        Probes heads that may have ended.

    Attributes
    ----------
    engine : EngineSpec
        As given.
    stages : tuple of Stage
        The stages of the path; empty if none is reserved.
    finder : PathFinder
        Searches paths for the stream.
    tokens : float
        The KV-cache size that the stream is expected to need, in tokens.
    avoid : set of str
        Replicas that failed the stream; shared with `finder`.
    used_heads : UsedReplicas
        Head replicas that the stream was sent to; shared with `finder`.
    direct_paths : PathTracker
        Which replicas this node reaches itself.
    """

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        engine: EngineSpec,
        admission: AdmissionQueue,
        prober: ReplicaProber,
    ) -> None:
        self.engine = engine
        self.stages: tuple[Stage, ...] = ()
        self.used_heads = UsedReplicas(state, context, prober)
        self.finder = PathFinder(
            state, context, engine, admission, self.used_heads
        )
        self.tokens = self.finder.tokens
        self._share = admission.shared.open(context, self.tokens)
        self.avoid = self.finder.avoid
        self.direct_paths = state.pool.dialer.paths
        self._state = state
        self._context = context
        self._admission = admission
        self._loop = asyncio.get_running_loop()

    @property
    def head_id(self) -> str:
        """Return the head replica, which the stream is sent to."""
        return self.stages[0].replica.replica_id

    async def acquire(
        self,
        rank: int,
        deadline: float,
        *,
        is_urgent: bool,
        heads: frozenset[str] = ANY_HEAD,
    ) -> None:
        """Wait for a path with free capacity and reserve it.

        Raises ``NoPathError`` if none is found in time.

        Parameters
        ----------
        rank : int
            The priority; lower values are served first.
        deadline : float
            The latest time to wait until.
        is_urgent : bool
            Whether the stream has started.
        heads : frozenset of str
            The head replicas that are allowed; empty for any.
        """
        while not self.stages:
            path_request = self.finder.build_retry_request(is_urgent=is_urgent)
            path_request.first_replicas = path_request.first_replicas or heads
            self.stages = await self._admit_in_turns(
                path_request, rank, deadline
            )

    async def find_isolated_head(
        self, crash_detector: CrashDetector, until: float
    ) -> frozenset[str]:
        """Return the heads for a suspected request; empty for any.

        A request suspected of crashing replicas is sent to a replica with few
        other requests and no other suspect. If that replica crashes, the cause
        is then known and few others are affected.
        """
        last = (
            min(until, self._loop.time() + _MAX_ISOLATION_WAIT_S)
            - _ISOLATION_POLL_S
        )
        while crash_detector.is_suspect(self._context):
            excluded_ids = crash_detector.list_trials()
            heads = self.finder.find_isolated_head(excluded_ids)
            if heads or not excluded_ids or self._loop.time() >= last:
                return heads
            await asyncio.sleep(_ISOLATION_POLL_S)
        return ANY_HEAD

    async def acquire_parallel(
        self, rank: int, deadline: float
    ) -> tuple[Stage, ...]:
        """Reserve a path for a second run while the present one goes on.

        Its head differs, so that no replica runs the same stream twice at a
        time. Raises ``NoPathError`` if no path is found.
        """
        path_request = self.finder.build_parallel_request(
            self.head_id, self.list_failed()
        )
        return await self._admit(path_request, rank, deadline)

    async def verify_used_heads(self) -> None:
        """Find out which used heads have ended, unless another one is free."""
        if not self.stages or self.find_parallel(self.list_failed()):
            return
        await self.used_heads.verify()

    def acquire_resend(self) -> tuple[Stage, ...]:
        """Reserve a path with the same head; return none if there is none."""
        stages = self.find_resend()
        if stages:
            self._admission.reserve(self.engine, stages, self.tokens)
        return stages

    def find_parallel(self, excluded_ids: Collection[str]) -> tuple[Stage, ...]:
        """Return a path with another head; empty if none has capacity now."""
        path_request = self.finder.build_parallel_request(
            self.head_id, excluded_ids
        )
        return self.finder.find_path(path_request)

    def find_resend(self) -> tuple[Stage, ...]:
        """Return a path with the same head to send the stream over again.

        The memory that the present run uses becomes free for it.
        """
        return self.finder.find_path(self._build_resend_request(is_urgent=True))

    def release(self) -> None:
        """Release the capacity of the path."""
        self.release_reserved(self.stages)
        self.stages = ()

    def close(self) -> None:
        """Record that the stream has ended and needs no path any more."""
        if self._share is not None:
            self._admission.shared.close(self._share)

    def release_reserved(self, stages: tuple[Stage, ...]) -> None:
        """Release the capacity of a path that was reserved for another run."""
        self._admission.release(stages, self.tokens)

    def has_alternative(self, *, has_started: bool) -> bool:
        """Return whether another path has capacity now.

        Parameters
        ----------
        has_started : bool
            Whether the stream has started. `acquire` grants more to it; another
            one is queued behind those that wait.
        """
        if not has_started and self._admission.count_ahead(
            self._context.priority
        ):
            return False
        other = self.finder.build_alternative_request(
            self.head_id, self.list_failed(), is_urgent=has_started
        )
        if self.finder.find_path(other):
            return True
        if not self.has_lost_later_stage():
            return False
        resend = self._build_resend_request(is_urgent=has_started)
        return bool(self.finder.find_path(resend))

    async def replace_later_stages(self) -> MoveResult:
        """Replace the stages after the head, unless resending is faster."""
        cached_ids = frozenset(list_replica_ids(self.stages))
        ending = self._list_ending_ids()
        stages = self.finder.find_with_head(self.stages[0], cached_ids, ending)
        if not stages:
            return MoveResult.NONE
        if self._is_resend_faster(stages, cached_ids, ending):
            return MoveResult.RESEND
        self._admission.reserve(self.engine, stages, self.tokens, cached_ids)
        if await self._reroute(stages):
            return MoveResult.MOVED
        return MoveResult.NONE

    def choose_departure_time(self) -> float:
        """Return when to leave replicas that end; 0 if none does or too late.

        The replacement rebuilds the KV caches of rerouted streams one after
        another, so the streams of a leaving replica are rerouted at random
        times within the time left instead of all at once. Layers that are being
        dropped are lost at its end.
        """
        now = self._loop.time()
        ends = self._list_end_times(now)
        if not ends:
            return 0.0
        if not self._state.settings.policy.unhurried_leaving:
            return now + _UNSPREAD_DELAY_S
        until = min(ends.values())
        latest = until - _REROUTE_MARGIN_S
        if latest > now and set(ends) != {self.head_id}:
            since = now + (latest - now) * _MIN_STAY_SHARE
            return self._state.random.uniform(since, latest)
        expires_at = until + _REROUTE_MARGIN_S
        return expires_at if expires_at > now else 0.0

    def list_unconfirmed(self) -> tuple[Stage, ...]:
        """Return the stages without recent proof that they work."""
        if not self._state.settings.policy.signs_of_life:
            return self.stages
        since = self._loop.time() - _LIVENESS_PROOF_S
        return list_unconfirmed(self._state.streams, self.stages, since)

    def list_failed(self) -> set[str]:
        """Return the replicas of the path that should be left at once."""
        now = self._loop.time()
        view = self._state.view
        return {
            stage.replica.replica_id
            for stage in self.stages
            if is_stage_lost(view, stage, now)
        }

    def has_lost_later_stage(self) -> bool:
        """Return whether a stage was lost, but not the head."""
        failed_ids = self.list_failed()
        return bool(failed_ids) and self.head_id not in failed_ids

    def is_head_gone(self) -> bool:
        """Return whether the head replica has stopped, not only fallen silent."""
        return self._state.view.has_ended(self.stages[0].replica)

    def find_stalled_replica(
        self, diagnosis: Diagnosis, request_id: str
    ) -> str:
        """Return the replica that the path waits for; empty if unknown."""
        address = diagnosis.stalled.get(request_id, '')
        for stage in self.stages:
            replica_id = stage.replica.replica_id
            if stage.replica.address == address or replica_id in diagnosis.dead:
                return replica_id
        return next(iter(self.list_failed()), '')

    def predict_gap_s(self, stages: tuple[Stage, ...]) -> float:
        """Return the predicted time between two events on a path."""
        gap_ms = predict_event_interval_ms(
            self.engine,
            self._state.view.replicas,
            stages,
            self._state.load_tracker,
            self._loop.time(),
        )
        return gap_ms / MS_PER_S

    def _build_resend_request(self, *, is_urgent: bool) -> PathRequest:
        return self.finder.build_resend_request(
            self.head_id,
            list_replica_ids(self.stages),
            self.list_failed(),
            is_urgent=is_urgent,
        )

    async def _admit_in_turns(
        self, path_request: PathRequest, rank: int, deadline: float
    ) -> tuple[Stage, ...]:
        """Return a path; none if another head may be allowed by now."""
        if not self.used_heads.get_allowed():
            return await self._admit(path_request, rank, deadline)
        is_free = bool(self.finder.find_path(path_request))
        if not is_free and await self.used_heads.verify():
            return ()
        until = min(deadline, self._loop.time() + _VERIFY_INTERVAL_S)
        try:
            return await self._admit(path_request, rank, until)
        except NoPathError:
            if until == deadline or self._loop.time() < until:
                raise
        return ()

    async def _admit(
        self, path_request: PathRequest, rank: int, deadline: float
    ) -> tuple[Stage, ...]:
        context = self._context
        return await self._admission.admit(
            context.service.name,
            self.engine,
            path_request,
            rank,
            deadline,
            context.req.arrived_at + context.route.target_s,
            self._share,
        )

    def _list_end_times(self, now: float) -> dict[str, float]:
        """Return until when replicas that are leaving or drop layers serve.

        A leaving head is left out: it finishes the streams that it runs, and a
        stream cannot be rerouted off its head, only resent.
        """
        view = self._state.view
        ends = {}
        for stage in self.stages:
            replica_id = stage.replica.replica_id
            end = find_stage_end(view, stage, now)
            is_leaving_head = (
                replica_id == self.head_id
                and replica_id in view.leaving_deadlines
            )
            if 0 < end < float('inf') and not is_leaving_head:
                ends[replica_id] = end
        return ends

    def _list_ending_ids(self) -> set[str]:
        """Return the replicas that have failed, are leaving or drop layers."""
        return self.list_failed() | set(self._list_end_times(self._loop.time()))

    def _is_resend_faster(
        self,
        stages: tuple[Stage, ...],
        cached_ids: frozenset[str],
        ending: set[str],
    ) -> bool:
        """Return whether resending to another head is faster than rerouting.

        All streams of a failed stage are rerouted at the same time. Those of a
        leaving replica are spread out, but still overlap on the link.
        """
        if not ending or not self._state.settings.policy.cheaper_way:
            return False
        other = self.find_parallel(ending)
        concurrent = max(
            self._state.load_tracker.count_requests(replica_id)
            for replica_id in ending
        )
        if not self.list_failed():
            concurrent = concurrent // _SPREAD_FACTOR + 1
        reroute_ms = predict_reroute_pause_ms(
            self.engine, stages, cached_ids, self.tokens, concurrent
        )
        resend_ms = predict_reroute_pause_ms(
            self.engine, other, (), self.tokens, concurrent
        )
        return bool(other) and resend_ms < reroute_ms

    async def _reroute(self, stages: tuple[Stage, ...]) -> bool:
        """Instruct the head to use new stages; keep one of the two reserved."""
        try:
            moved = await request_reroute(
                self._state, self._context.facts.request_id, stages
            )
        except asyncio.CancelledError:
            self._admission.release(stages, self.tokens)
            raise
        if not moved:
            self._admission.release(stages, self.tokens)
            return False
        self._admission.release(self.stages, self.tokens)
        previous = format_path(self.stages)
        self.stages = stages
        self._state.counters['streams.moved'] += 1
        _LOG.info(
            'stream moved',
            extra={
                'request': self._context.request_id,
                'path': format_path(self.stages),
                'before': previous,
            },
        )
        return True


def format_path(stages: tuple[Stage, ...]) -> str:
    """Return a path as it is shown in log lines."""
    return ' '.join(
        f'{stage.replica.replica_id}:{stage.layers.first}-{stage.layers.end}'
        for stage in stages
    )
