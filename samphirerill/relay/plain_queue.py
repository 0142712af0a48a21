"""The queues of this node for the slots of plain services.

Used for services whose endpoints report their load. A request that finds no
endpoint with a free slot waits here in the order in which all nodes share the
capacity, or is rejected at once if it is not expected to start in time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.plain_order import (
    build_rejection,
    choose_next,
    predict_start_s,
    reject_if_late,
)
from samphirerill.relay.plain_request import build_plain_request
from samphirerill.relay.plain_waiting import PlainWaiting
from samphirerill.relay.shared_service import SharedService
from samphirerill.relay.slot_finder import SlotFinder

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.plain_request import (
        PlainRequest,
        PlainSlot,
        SlotRejectedError,
    )
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

# Reports and statuses become too old without any event.
_POLL_S = 0.05
# Waiting requests that are skipped per pass, as a bound of its cost.
_MAX_SKIPPED = 3


class PlainQueues:
    """The queues of all plain services.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    """

    __slots__ = ('_queues', '_state')

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._queues: dict[str, PlainQueue] = {}
        state.add_listener(self._schedule_grants)

    def get(self, service: str) -> PlainQueue:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = PlainQueue(self._state, service)
            self._queues[service] = queue
        return queue

    def _schedule_grants(self) -> None:
        for queue in self._queues.values():
            queue.schedule_grants()


class PlainQueue:
    """The queue of one node for one service.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    service : str
        The service.
    """

    __slots__ = (
        '_finder',
        '_is_scheduled',
        '_loop',
        '_own',
        '_recheck',
        '_service',
        '_state',
        '_waiting',
    )

    def __init__(self, state: EdgeState, service: str) -> None:
        self._state = state
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._finder = SlotFinder(state, service)
        # Used where nothing is shared with other nodes.
        self._own: SharedService | None = None
        self._waiting = PlainWaiting(state.rooms.note_waiting)
        self._is_scheduled = False
        self._recheck: asyncio.TimerHandle | None = None

    def is_active(self) -> bool:
        """Return whether requests need a slot of an endpoint from here."""
        return self._finder.is_active()

    def open(
        self,
        context: RequestContext,
        tried: set[str],
        may_call: Callable[[str], bool],
    ) -> PlainRequest:
        """Return a request for `acquire`.

        Parameters
        ----------
        context : RequestContext
            The request.
        tried : set of str
            Endpoints that it must not use; may be changed later.
        may_call : callable
            Returns whether an endpoint, given by id, has a connection for it.
        """
        shared = self._state.rooms.get(self._service) or self._get_own()
        return build_plain_request(
            context, shared, self._finder.service_s, tried, may_call
        )

    async def acquire(self, request: PlainRequest) -> PlainSlot | None:
        """Wait for a slot; return none if no endpoint may be used now.

        Raises
        ------
        SlotRejectedError
            No slot is expected in time. Nothing was sent.
        """
        if self._finder.is_obstructed(request):
            return None
        own_ahead = self._waiting.count_ahead(request, self._loop.time())
        choice = self._finder.choose(request)
        # A slow endpoint is of use to a new request whose response is due later
        # than those of the requests that have waited.
        if choice is not None and (choice.is_slow or not own_ahead):
            slot = self._finder.take(request, choice)
            if slot is not None:
                return slot
        queued_s = 0.0 if choice is None else choice.queued_s
        self._reject_if_late(request, own_ahead, queued_s)
        return await self._wait(request)

    def release(self, slot: PlainSlot) -> None:
        """Release a slot whose request has ended, or was not sent."""
        now = self._loop.time()
        slot.release(now)
        if slot.shared is not None:
            self._state.rooms.note_end(
                slot.shared, self._waiting.find_lowest_level(now)
            )

    def has_alternative(self, request: PlainRequest, replica_id: str) -> bool:
        """Return whether an endpoint other than this one may be called."""
        return self._finder.has_alternative(request, replica_id)

    def schedule_grants(self) -> None:
        """Look for slots soon, as the load or the endpoints have changed."""
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            self._loop.call_soon(self._grant_waiting)

    def _get_own(self) -> SharedService:
        """Return the capacity as this node alone knows it."""
        if self._own is None:
            state = self._state
            records = state.metrics.admissions.find_records(self._service)
            self._own = SharedService(self._service, state.random, records)
        return self._own

    def _reject_if_late(
        self, request: PlainRequest, own_ahead: int, queued_s: float
    ) -> None:
        """Raise ``SlotRejectedError`` if it would start too late.

        `queued_s` is the least time in the queue of an endpoint.
        """
        now = self._loop.time()
        request.predicted_s = queued_s + predict_start_s(
            request,
            self._waiting.list_open(),
            own_ahead,
            self._finder.rate.interval_s,
            now,
        )
        reject_if_late(request, own_ahead, self._count_nodes(), now)

    def _count_nodes(self) -> int:
        return 1 + self._state.load_tracker.count_peers()

    async def _wait(self, request: PlainRequest) -> PlainSlot | None:
        granted = self._loop.create_future()
        request.granted = granted
        if not self._waiting:
            self._finder.rate.note_first(self._loop.time())
        self._waiting.add(request)
        self.schedule_grants()
        try:
            async with asyncio.timeout_at(request.deadline):
                return await granted
        except TimeoutError as exc:
            # After the loop was blocked, a slot may be granted just before the
            # timers fire; then `granted` has a result in spite of the timeout.
            if granted.done() and not granted.cancelled():
                return granted.result()
            raise self._reject_timed_out(request) from exc
        except asyncio.CancelledError:
            self._abandon(granted)
            raise
        finally:
            self._waiting.remove(request)

    def _reject_timed_out(self, request: PlainRequest) -> SlotRejectedError:
        return build_rejection(
            request,
            'no endpoint had a free slot before the deadline',
            self._count_nodes(),
            self._loop.time(),
        )

    def _abandon(self, granted: asyncio.Future[PlainSlot | None]) -> None:
        """Release a slot that was granted while the request was cancelled."""
        if granted.done() and not granted.cancelled():
            slot = granted.result()
            if slot is not None:
                self.release(slot)

    def _grant_waiting(self) -> None:
        """Grant slots in order while there are free ones."""
        self._is_scheduled = False
        now = self._loop.time()
        self._waiting.exclude_late(now)
        remaining = self._waiting.list_open()
        skipped = 0
        while remaining and skipped <= _MAX_SKIPPED:
            request = choose_next(remaining, now)
            remaining.remove(request)
            if self._grant(request):
                continue
            # Requests that have tried some endpoints do not hold up others.
            skipped += 1 if request.tried else _MAX_SKIPPED + 1
        if self._waiting and self._recheck is None:
            self._recheck = self._loop.call_later(_POLL_S, self._check_again)

    def _grant(self, request: PlainRequest) -> bool:
        """End the wait of a request if there is a slot or no use in waiting."""
        slot = None
        if self.is_active() and not self._finder.is_obstructed(request):
            choice = self._finder.choose(request)
            if choice is not None:
                slot = self._finder.take(request, choice)
            if slot is None:
                return False
            self._finder.rate.note_grant(self._loop.time())
        self._waiting.remove(request)
        if request.granted is not None:
            request.granted.set_result(slot)
        return True

    def _check_again(self) -> None:
        self._recheck = None
        self.schedule_grants()
