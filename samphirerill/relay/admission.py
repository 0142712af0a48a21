"""Admit streams to paths with free capacity, by priority, or reject them.

A request is queued only while waiting can still lead to a first event in time.
Admitting it to a full engine instead would make the engine preempt the stream
of another client.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.explain import (
    describe_backoffs,
    describe_limits,
    explain_no_path,
)
from samphirerill.fleet.load import list_replica_ids
from samphirerill.fleet.outage import Outage, find_coverage_time
from samphirerill.fleet.paths import choose_path
from samphirerill.fleet.prediction import predict_transfer_ms
from samphirerill.fleet.replica_notices import prefer_unreported
from samphirerill.relay.slot_gate import SlotGate

if TYPE_CHECKING:
    from collections.abc import Collection

    from samphirerill.fleet.model import EngineSpec, Replica, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.fleet.view import FleetView, ReplicaState
    from samphirerill.relay.state import EdgeState

# Expected time from sending a request to its first event: prefill of a usual
# prompt in all stages, beside other streams.
_FIRST_EVENT_S = 0.15
# Smoothing factor for the interval between grants to queued requests.
_INTERVAL_SMOOTHING = 0.2
# Requests with at most this many ahead of them are queued without comparing the
# expected wait with their deadline.
_MAX_UNCHECKED_QUEUE = 4
# Started streams without a path that are skipped per pass. Bounds the cost of a
# pass: a path search takes 1 ms at 98 replicas and is done 80 times a second.
_MAX_SKIPPED = 3


@dataclass(slots=True, eq=False)
class _QueuedRequest:
    """A queued request; lower ranks are served first.

    `timely_until` is the latest time at which a path still allows the first
    event to meet its latency objective, `deadline` when it stops waiting.
    """

    rank: int
    timely_until: float
    deadline: float
    service: str
    engine: EngineSpec
    path_request: PathRequest
    granted: asyncio.Future[tuple[Stage, ...]]


class NoPathError(Exception):
    """No path will be free in time; retry after `wait_s` seconds."""

    def __init__(self, wait_s: float, reason: str) -> None:
        super().__init__(f'no path in time: {reason}')
        self.wait_s = wait_s


class OutageError(NoPathError):
    """No live replica holds some layers; `wait_s` estimates the recovery."""


class BackOffError(NoPathError):
    """Replicas want no more requests for `wait_s`, and no others have a path."""


class AdmissionQueue:
    """The admission queue for the streams of this node.

    Parameters
    ----------
    state : EdgeState
        The known replicas and their load.

    Attributes
    ----------
    slot_gate : SlotGate
        Limits which free slots this node takes.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self.slot_gate = SlotGate(state, self._loop)
        self._queue: list[_QueuedRequest] = []
        self._outages: dict[str, Outage] = {}
        self._grant_interval_s = 0.0
        self._last_grant_at = 0.0
        self._is_grant_scheduled = False
        self._handled_obstacles = 0
        state.add_listener(self._schedule_grants)

    def count_waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(not queued.granted.done() for queued in self._queue)

    def count_ahead(self, rank: int) -> int:
        """Return the number of queued requests served before a new one.

        Only requests of the same or a better rank count: a stream that has
        started must not be rejected because of a queue of new streams.
        """
        return sum(
            queued.rank <= rank and not queued.granted.done()
            for queued in self._queue
        )

    def predict_wait_s(self) -> float:
        """Return the expected time until the present queue is empty."""
        return self._grant_interval_s * (1 + self.count_waiting())

    async def admit(
        self,
        service: str,
        engine: EngineSpec,
        path_request: PathRequest,
        rank: int,
        deadline: float,
        first_event_due: float,
    ) -> tuple[Stage, ...]:
        """Wait for a path with free capacity and reserve it.

        Parameters
        ----------
        service, engine : str, EngineSpec
            The service whose replicas may be used, and its engine.
        path_request : PathRequest
            The requirements on the path.
        rank : int
            The priority; lower values are served first.
        deadline : float
            The latest time to wait until, on the loop's clock.
        first_event_due : float
            When the first event is due, on the loop's clock.

        Raises
        ------
        NoPathError
            No path is expected to be free before the deadline.
        """
        self._state.request_limits.note_arrival(service)
        ahead_count = self.count_ahead(rank)
        if not ahead_count:
            stages = self._reserve_path(service, engine, path_request)
            if stages:
                return stages
        queued = _QueuedRequest(
            rank,
            first_event_due - _FIRST_EVENT_S,
            deadline,
            service,
            engine,
            path_request,
            self._loop.create_future(),
        )
        self._reject_if_queue_too_long(ahead_count, queued, deadline)
        if not path_request.is_urgent:
            self._reject_during_outage(queued, deadline)
            error = _find_backoff_error(
                self._state, queued, self._loop.time(), ahead_count
            )
            if error is not None:
                raise error
        return await self._wait_for_grant(queued, deadline)

    def reserve(
        self,
        engine: EngineSpec,
        stages: tuple[Stage, ...],
        tokens: float,
        kept_ids: Collection[str] = (),
    ) -> None:
        """Reserve capacity and permits on a path that `find_path` returned.

        Replicas in `kept_ids` run the stream already and need no permit.
        """
        self._state.load_tracker.add_request(list_replica_ids(stages), tokens)
        if stages[0].replica.replica_id not in kept_ids:
            self.slot_gate.note_taken(stages)
        self._state.request_limits.take(
            stage.replica
            for stage in stages
            if stage.replica.replica_id not in kept_ids
        )
        self._record_transfers(engine, stages, tokens)

    def release(self, stages: tuple[Stage, ...], tokens: float) -> None:
        """Release the capacity of a path and wake waiting requests."""
        self._state.load_tracker.remove_request(
            list_replica_ids(stages), tokens
        )
        self.slot_gate.note_released(stages)
        self._state.notify_listeners()

    def find_path(
        self, service: str, engine: EngineSpec, path_request: PathRequest
    ) -> tuple[Stage, ...]:
        """Return a path with free capacity, or none, without reserving it."""
        now = self._loop.time()
        state = self._state
        path_request.links = state.link_usage
        path_request.data_centre = state.settings.data_centre
        path_request.policy = state.settings.policy
        path_request.connected = state.pool.list_idle()
        # Streams that have started take any free slot.
        path_request.may_take_slot = (
            None
            if path_request.is_urgent
            else self.slot_gate.find_check(service)
        )
        if state.load_tracker.count_silent_peers():
            path_request.jitter = state.random
        usable = _list_usable(state, service, path_request, now)
        preferred = prefer_unreported(usable, now)
        stages = choose_path(
            engine, preferred, state.load_tracker, path_request, now
        )
        if stages or len(preferred) == len(usable):
            return stages
        return choose_path(
            engine, usable, state.load_tracker, path_request, now
        )

    async def _wait_for_grant(
        self, queued: _QueuedRequest, deadline: float
    ) -> tuple[Stage, ...]:
        self._queue.append(queued)
        try:
            with self._state.request_limits.waiting(queued.service):
                async with asyncio.timeout_at(deadline):
                    return await queued.granted
        except TimeoutError as exc:
            # After the loop was blocked, a path may be granted just before the
            # timers fire; then `granted` has a result in spite of the timeout.
            if queued.granted.done() and not queued.granted.cancelled():
                return queued.granted.result()
            self._abandon(queued)
            raise NoPathError(
                self.predict_wait_s(),
                _explain_no_path(self._state, queued, self._loop.time()),
            ) from exc
        except asyncio.CancelledError:
            self._abandon(queued)
            raise

    def _abandon(self, queued: _QueuedRequest) -> None:
        """Release a path that was granted while the request stopped waiting."""
        granted = queued.granted
        is_granted = granted.done() and not granted.cancelled()
        if is_granted and granted.exception() is None:
            self.release(granted.result(), queued.path_request.tokens)
        granted.cancel()

    def _reject_if_queue_too_long(
        self, ahead_count: int, queued: _QueuedRequest, deadline: float
    ) -> None:
        """Reject a request whose deadline the queue would exceed."""
        left_s = deadline - self._loop.time()
        expected_s = self._grant_interval_s * ahead_count
        if ahead_count > _MAX_UNCHECKED_QUEUE and expected_s > left_s:
            raise NoPathError(
                expected_s,
                _explain_no_path(self._state, queued, self._loop.time()),
            )

    def _reject_during_outage(
        self, queued: _QueuedRequest, deadline: float
    ) -> None:
        """Reject a request if missing layers will load too late.

        Not used for streams that have started: the client cannot retry those.
        """
        service, now = queued.service, self._loop.time()
        outage = self._outages.get(service)
        if outage is None:
            outage = Outage(queued.engine)
            self._outages[service] = outage
        live = self._state.view.list_live(service, now)
        if not outage.observe(live, now):
            return
        wait_s = outage.predict_wait_s(live, now)
        if now + wait_s > deadline:
            raise OutageError(
                wait_s, _explain_no_path(self._state, queued, self._loop.time())
            )

    def _schedule_grants(self) -> None:
        if self._queue and not self._is_grant_scheduled:
            self._is_grant_scheduled = True
            self._loop.call_soon(self._grant_queued)

    def _grant_queued(self) -> None:
        """Grant paths to queued requests while there is capacity.

        Requests that can still meet their latency objective are served first,
        the others with what capacity remains; in plain arrival order, overload
        would delay every stream by the length of the queue. A started stream
        without a path does not block the queue, since it may already have
        excluded every replica.
        """
        self._is_grant_scheduled = False
        self._queue = [item for item in self._queue if not item.granted.done()]
        now = self._loop.time()
        self._queue.sort(key=lambda item: (item.rank, item.timely_until < now))
        self._reject_backed_off()
        skipped = 0
        for queued in tuple(self._queue):
            stages = self._reserve_path(
                queued.service, queued.engine, queued.path_request
            )
            if stages:
                self._queue.remove(queued)
                queued.granted.set_result(stages)
                self._record_grant()
            elif not queued.path_request.is_urgent or skipped >= _MAX_SKIPPED:
                return
            else:
                skipped += 1

    def _reject_backed_off(self) -> None:
        """Reject queued requests that back-offs or limits would make too late.

        The search is slow with many replicas, so it is repeated only after
        another replica has asked or a permit is expected later.
        """
        notices = self._state.view.notices
        if self._handled_obstacles == notices.obstacle_count:
            return
        self._handled_obstacles = notices.obstacle_count
        now = self._loop.time()
        for position, queued in enumerate(tuple(self._queue)):
            if queued.path_request.is_urgent:
                continue
            error = _find_backoff_error(self._state, queued, now, position)
            if error is not None:
                self._queue.remove(queued)
                queued.granted.set_exception(error)

    def _record_grant(self) -> None:
        now = self._loop.time()
        interval_s = min(1.0, now - self._last_grant_at)
        self._grant_interval_s += _INTERVAL_SMOOTHING * (
            interval_s - self._grant_interval_s
        )
        self._last_grant_at = now

    def _reserve_path(
        self, service: str, engine: EngineSpec, path_request: PathRequest
    ) -> tuple[Stage, ...]:
        stages = self.find_path(service, engine, path_request)
        if stages:
            self.reserve(engine, stages, path_request.tokens)
        return stages

    def _record_transfers(
        self,
        engine: EngineSpec,
        stages: tuple[Stage, ...],
        tokens: float,
    ) -> None:
        now = self._loop.time()
        transfer_ms = predict_transfer_ms(engine, tokens)
        for stage, following in pairwise(stages):
            source = stage.replica.data_centre
            destination = following.replica.data_centre
            if source != destination:
                self._state.link_usage.note_transfer(
                    source, destination, transfer_ms, now
                )


def _list_usable(
    state: EdgeState, service: str, path_request: PathRequest, now: float
) -> list[ReplicaState]:
    """Return the replicas that a path may use."""
    usable = state.view.list_usable(service, now)
    return [*usable, *_list_kept(state.view, path_request, usable, now)]


def _list_kept(
    view: FleetView,
    path_request: PathRequest,
    usable: list[ReplicaState],
    now: float,
) -> list[ReplicaState]:
    """Return the replicas that a rerouted stream keeps without new work.

    A replica that is leaving, paused after a refusal or asked for a back-off
    still runs the streams that it has.
    """
    if not path_request.first_stage_end:
        return []
    usable_ids = {state.replica.replica_id for state in usable}
    kept = map(view.replicas.get, path_request.prefilled_on - usable_ids)
    return [
        state
        for state in kept
        if state is not None and state.suspicion.suspected_until <= now
    ]


def _find_backoff_error(
    state: EdgeState, queued: _QueuedRequest, now: float, ahead: int
) -> BackOffError | None:
    """Return why a request would wait in vain; none if it may be served.

    `ahead` is how many requests are served before it.
    """
    if state.view.notices.last_obstacle_end <= now:
        return None
    candidates = [
        known
        for known in state.view.list_live(queued.service, now)
        if _is_candidate(known.replica, queued.path_request)
    ]
    possible_at = find_coverage_time(queued.engine, candidates, now, ahead)
    is_in_time = possible_at + _FIRST_EVENT_S <= queued.deadline
    if is_in_time or possible_at in {now, float('inf')}:
        return None
    reason = _explain_no_path(state, queued, now)
    return BackOffError(possible_at - now, reason)


def _is_candidate(replica: Replica, path_request: PathRequest) -> bool:
    """Return whether a path may use a replica, as far as that is required."""
    if replica.replica_id in path_request.excluded:
        return False
    heads = path_request.first_replicas
    return not heads or replica.held.first > 0 or replica.replica_id in heads


def _explain_no_path(
    state: EdgeState, queued: _QueuedRequest, now: float
) -> str:
    reason = explain_no_path(
        queued.engine,
        state.view.list_usable(queued.service, now),
        state.load_tracker,
        queued.path_request,
    )
    live = state.view.list_live(queued.service, now)
    obstacles = (describe_backoffs(live, now), describe_limits(live, now))
    return '; '.join(filter(None, (reason, *obstacles)))
