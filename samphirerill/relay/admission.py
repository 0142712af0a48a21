"""Admit streams to paths with free capacity, by priority, or reject them.

A request is queued only while waiting can still lead to a first event in time.
Admitting it to a full engine instead would make the engine preempt the stream
of another client.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_replica_ids
from samphirerill.relay.arrival_checks import ArrivalChecks
from samphirerill.relay.grant_rate import GrantRate
from samphirerill.relay.path_search import record_transfers, search_path
from samphirerill.relay.queued_request import (
    FIRST_EVENT_S,
    QueuedRequest,
    find_backoff_error,
)
from samphirerill.relay.shared_admission import SharedAdmission, has_first_claim
from samphirerill.relay.slot_gate import SlotGate

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_share import StreamShare

# Started streams without a path that are skipped per pass. Bounds the cost of a
# pass: a path search takes 1 ms at 98 replicas and is done 80 times a second.
_MAX_SKIPPED = 3


class AdmissionQueue:
    """The admission queue for the streams of this node.

    Parameters
    ----------
    state : EdgeState
        The known replicas and their load.

    Attributes
    ----------
    shared : SharedAdmission
        Decides on streams of services whose capacity is shared.
    slot_gate : SlotGate
        Limits which free slots this node takes.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self.slot_gate = SlotGate(state, self._loop)
        self._queue: list[QueuedRequest] = []
        self.shared = SharedAdmission(state, self._queue, self._schedule_grants)
        self._checks = ArrivalChecks(state, self.shared)
        self._rate = GrantRate()
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
        return self._rate.interval_s * (1 + self.count_waiting())

    async def admit(
        self,
        service: str,
        engine: EngineSpec,
        path_request: PathRequest,
        rank: int,
        deadline: float,
        first_event_due: float,
        share: StreamShare | None = None,
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
        share : StreamShare, optional
            The stream, if the capacity of its service is shared.

        Raises
        ------
        NoPathError
            No path is expected to be free before the deadline.
        """
        self._state.request_limits.note_arrival(service)
        queued = QueuedRequest(
            rank,
            first_event_due - FIRST_EVENT_S,
            deadline,
            service,
            engine,
            path_request,
            self._loop.create_future(),
            share,
        )
        ahead_count = self._count_ahead_of(queued)
        if not ahead_count:
            stages = self._try_reserve(queued)
            if stages:
                return stages
        self._checks.check(queued, ahead_count, self._rate.interval_s)
        return await self._wait_for_grant(queued)

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
        self.shared.free_room.note_change(stages, tokens, 1)
        record_transfers(self._state, engine, stages, tokens, self._loop.time())

    def release(self, stages: tuple[Stage, ...], tokens: float) -> None:
        """Release the capacity of a path and wake waiting requests."""
        self._state.load_tracker.remove_request(
            list_replica_ids(stages), tokens
        )
        self.shared.free_room.note_change(stages, -tokens, -1)
        self.slot_gate.note_released(stages)
        self._state.notify_listeners()

    def find_path(
        self,
        service: str,
        engine: EngineSpec,
        path_request: PathRequest,
        *,
        takes_any_slot: bool = False,
    ) -> tuple[Stage, ...]:
        """Return a path with free capacity, or none, without reserving it."""
        # Streams that have started take any free slot.
        path_request.may_take_slot = (
            None
            if path_request.is_urgent or takes_any_slot
            else self.slot_gate.find_check(service)
        )
        return search_path(
            self._state, service, engine, path_request, self._loop.time()
        )

    def _count_ahead_of(self, queued: QueuedRequest) -> int:
        """Return how many queued requests are served before a new one."""
        if queued.share is None:
            return self.count_ahead(queued.rank)
        return self.shared.count_ahead(queued)

    def _try_reserve(self, queued: QueuedRequest) -> tuple[Stage, ...]:
        """Reserve a path for a request that nothing at this node precedes."""
        if queued.share is not None and not self.shared.may_start(queued):
            return ()
        return self._reserve_path(queued)

    async def _wait_for_grant(self, queued: QueuedRequest) -> tuple[Stage, ...]:
        if queued.share is not None:
            if not self._queue:
                self._rate.note_first(self._loop.time())
            self.shared.enqueue(queued)
        self._queue.append(queued)
        try:
            with self._state.request_limits.waiting(queued.service):
                async with asyncio.timeout_at(queued.deadline):
                    return await queued.granted
        except TimeoutError as exc:
            # After the loop was blocked, a path may be granted just before the
            # timers fire; then `granted` has a result in spite of the timeout.
            if queued.granted.done() and not queued.granted.cancelled():
                return queued.granted.result()
            self._abandon(queued)
            raise self._checks.build_timeout_error(
                queued, self.predict_wait_s()
            ) from exc
        except asyncio.CancelledError:
            self._abandon(queued)
            raise
        finally:
            self._leave_queue(queued)

    def _leave_queue(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue, if it is there."""
        if queued in self._queue:
            self._queue.remove(queued)
            if queued.share is not None:
                self.shared.leave_queue(queued)

    def _abandon(self, queued: QueuedRequest) -> None:
        """Release a path that was granted while the request stopped waiting."""
        granted = queued.granted
        is_granted = granted.done() and not granted.cancelled()
        if is_granted and granted.exception() is None:
            self.release(granted.result(), queued.path_request.tokens)
        granted.cancel()

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
        now = self._loop.time()
        self._queue.sort(key=lambda item: (item.rank, item.timely_until < now))
        self._reject_backed_off()
        self._grant_in_order(
            [
                queued
                for queued in self._queue
                if queued.share is None and not queued.granted.done()
            ]
        )
        for order in self.shared.list_orders():
            self._grant_in_order(order)

    def _grant_in_order(self, order: Iterable[QueuedRequest]) -> None:
        skipped = 0
        for queued in order:
            stages = self._reserve_path(queued)
            if stages:
                self._leave_queue(queued)
                queued.granted.set_result(stages)
                self._rate.note_grant(self._loop.time())
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
            if queued.path_request.is_urgent or queued.granted.done():
                continue
            error = find_backoff_error(self._state, queued, now, position)
            if error is not None:
                self._leave_queue(queued)
                queued.granted.set_exception(error)

    def _reserve_path(self, queued: QueuedRequest) -> tuple[Stage, ...]:
        path_request = queued.path_request
        stages = self.find_path(
            queued.service,
            queued.engine,
            path_request,
            takes_any_slot=has_first_claim(queued, self._loop.time()),
        )
        if stages:
            self.reserve(queued.engine, stages, path_request.tokens)
            if queued.share is not None:
                self.shared.note_start(queued)
        return stages
