"""Decide which streams may take capacity that nodes share.

A stream leaves capacity to more urgent ones that wait at other nodes, and is
rejected on arrival if it is not expected to start in time.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.free_room_cache import FreeRoomCache
from samphirerill.relay.rejections import build_rejection
from samphirerill.relay.shared_service import NO_LEVEL
from samphirerill.relay.stream_share import StreamShare
from samphirerill.sharing.gate import may_start
from samphirerill.sharing.model import GUARANTEED_LEVEL, WaitingWork
from samphirerill.sharing.order import sort_key
from samphirerill.sharing.prediction import find_rejection, predict_wait_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from samphirerill.relay.admission_errors import RejectedError
    from samphirerill.relay.queued_request import QueuedRequest
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.shared_service import SharedService
    from samphirerill.relay.state import EdgeState
    from samphirerill.sharing.fleet_room import FleetRoom
    from samphirerill.sharing.model import WorkItem

# Part of the late requests that is not counted as ahead of a new one, which
# overtakes them. Other nodes report no lateness; their queues are assumed to be
# alike. In trials at twice the capacity, 1 left 0.77 of the rejections within
# 0.1 s; with 0, 0.36 of the streams of a large account were admitted too late.
_LATE_PART = 0.5


class SharedAdmission:
    """Decisions on the streams of one node whose services are shared.

    Parameters
    ----------
    state : EdgeState
        The shared services, the replicas and their load.
    queue : list of QueuedRequest
        The queue of the node, which its owner changes.
    schedule_grants : callable
        Called when a request that had to leave capacity may be served.

    Attributes
    ----------
    free_room : FreeRoomCache
        The free room of the shared services.
    """

    __slots__ = (
        '_loop',
        '_queue',
        '_recheck_at',
        '_schedule_grants',
        '_state',
        'free_room',
    )

    def __init__(
        self,
        state: EdgeState,
        queue: list[QueuedRequest],
        schedule_grants: Callable[[], None],
    ) -> None:
        self._state = state
        self._queue = queue
        self._schedule_grants = schedule_grants
        self._loop = asyncio.get_running_loop()
        self.free_room = FreeRoomCache(state)
        self._recheck_at = 0.0

    def open(
        self, context: RequestContext, tokens: float
    ) -> StreamShare | None:
        """Return the share of a new stream; none if nothing is shared."""
        shared = self._state.rooms.get(context.service.name)
        return None if shared is None else StreamShare(shared, context, tokens)

    def close(self, share: StreamShare) -> None:
        """Record the end of a stream."""
        if not share.is_running:
            return
        share.is_running = False
        shared = share.shared
        shared.fleet_room.finish(share.item, self._loop.time())
        keys = self._find_keys(self._list_waiting(shared))
        lowest = min((level for level, _ in keys.values()), default=NO_LEVEL)
        self._state.rooms.note_end(shared, lowest)

    def count_ahead(self, queued: QueuedRequest) -> int:
        """Return how many requests of this node are served before another."""
        level = self._find_arrival_level(queued)
        waiting = self._list_waiting(_get_share(queued).shared)
        keys = self._find_keys(waiting)
        return sum(keys[_get_group(other)][0] <= level for other in waiting)

    def list_orders(self) -> list[Iterator[QueuedRequest]]:
        """Return the waiting requests of each service in their order.

        Requests that have to leave capacity to others are left out.
        """
        services = {
            queued.service: queued.share.shared
            for queued in self._queue
            if queued.share is not None
        }
        return [
            self._iterate(self._list_waiting(shared))
            for shared in services.values()
        ]

    def may_start(self, queued: QueuedRequest) -> bool:
        """Return whether a request may take capacity that is free now."""
        shared = _get_share(queued).shared
        now = self._loop.time()
        level = self._find_level(queued)
        before = shared.fleet_room.count_waiting_before(
            level, now, elsewhere_only=True
        )
        if not before.count:
            shared.records.note_level(None, now)
            return True
        free = self.free_room.estimate(shared.name, queued.engine, now)
        tokens = _get_item(queued).room
        is_allowed = may_start(
            level, tokens, free.tokens, before
        ) and may_start(
            level, 1, free.slots, WaitingWork(before.count, before.count)
        )
        if is_allowed:
            shared.records.note_level(None, now)
        else:
            shared.records.note_level(
                find_allowed_level(shared, level, now), now
            )
            self._state.counters['sharing.held_back'] += 1
            self._recheck(self.free_room.get_end(shared.name))
        return is_allowed

    def reject_late(
        self, queued: QueuedRequest, own_ahead: int, own_interval_s: float
    ) -> None:
        """Raise ``RejectedError`` if a request would start too late.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        own_ahead : int
            The number of requests that are ahead in this node's queue.
        own_interval_s : float
            The interval between grants at this node.
        """
        share = _get_share(queued)
        if share.is_accepted or queued.path_request.is_urgent:
            return
        now = self._loop.time()
        fleet_room = share.shared.fleet_room
        level = self._find_arrival_level(queued)
        waiting = self._list_waiting(share.shared)
        late_count = _count_late(waiting, self._find_keys(waiting), level, now)
        overtaken = round(_LATE_PART * late_count)
        share.predicted_s = _predict_timely_wait_s(
            fleet_room, level, now, own_ahead, overtaken, own_interval_s
        )
        own_ahead -= overtaken
        rejection = find_rejection(
            share.item, share.predicted_s, now, own_ahead
        )
        if rejection is not None:
            raise build_rejection(
                share, level, rejection.reason, share.predicted_s, now
            )

    def build_timeout_error(
        self, queued: QueuedRequest, reason: str, own_wait_s: float
    ) -> RejectedError:
        """Return the error for a request that has waited until its deadline.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        reason : str
            Why there was no path.
        own_wait_s : float
            The expected time until the present queue of this node is empty.
        """
        now = self._loop.time()
        share = _get_share(queued)
        fleet_room = share.shared.fleet_room
        level = self._find_level(queued)
        ahead = fleet_room.count_ahead(level, now)
        rate = fleet_room.compute_rate(now, level)
        wait_s = predict_wait_s(ahead, rate, own_wait_s, 1)
        return build_rejection(share, level, reason, wait_s, now)

    def enqueue(self, queued: QueuedRequest) -> None:
        """Count a request that waits."""
        share = _get_share(queued)
        share.is_accepted = True
        share.shared.fleet_room.enqueue(_get_item(queued))
        self._state.rooms.note_waiting()

    def leave_queue(self, queued: QueuedRequest) -> None:
        """Count a request that waits no more."""
        share = _get_share(queued)
        share.shared.fleet_room.leave_queue(_get_item(queued))
        self._state.rooms.note_waiting()

    def note_start(self, queued: QueuedRequest) -> None:
        """Count a request that was given a path."""
        share = _get_share(queued)
        share.is_accepted = True
        if share.is_running:
            return
        now = self._loop.time()
        share.is_running = True
        share.shared.records.note_admitted(
            share.item,
            self._find_level(queued),
            share.predicted_s,
            now - share.arrived_at,
            now,
        )
        share.shared.fleet_room.start(share.item)

    def _list_waiting(self, shared: SharedService) -> list[QueuedRequest]:
        return [
            queued
            for queued in self._queue
            if queued.share is not None
            and queued.share.shared is shared
            and not queued.granted.done()
        ]

    def _iterate(self, waiting: list[QueuedRequest]) -> Iterator[QueuedRequest]:
        """Yield waiting requests of one service as they may take capacity.

        Levels and uses change with each request that starts, so each one is
        chosen after the one before was served or skipped.
        """
        while waiting:
            queued = self._choose_next(waiting)
            if not self.may_start(queued):
                return
            waiting.remove(queued)
            yield queued

    def _choose_next(self, waiting: list[QueuedRequest]) -> QueuedRequest:
        """Return the request that is served first."""
        now = self._loop.time()
        keys = self._find_keys(waiting)
        return min(
            waiting,
            key=lambda queued: sort_key(
                _get_item(queued), *keys[_get_group(queued)], now
            ),
        )

    def _find_keys(
        self, waiting: list[QueuedRequest]
    ) -> dict[tuple[int, str], tuple[int, float]]:
        """Return level and account use by rank and account.

        They are the same for all requests of a rank and account.
        """
        now = self._loop.time()
        keys: dict[tuple[int, str], tuple[int, float]] = {}
        for queued in waiting:
            group = _get_group(queued)
            if group not in keys:
                item = _get_item(queued)
                fleet_room = _get_share(queued).shared.fleet_room
                level = fleet_room.find_level(item, now)
                keys[group] = (level, fleet_room.find_account_use(item))
        return keys

    def _find_level(self, queued: QueuedRequest) -> int:
        fleet_room = _get_share(queued).shared.fleet_room
        return fleet_room.find_level(_get_item(queued), self._loop.time())

    def _find_arrival_level(self, queued: QueuedRequest) -> int:
        """Return the level that an arriving request is expected to have.

        The guaranteed room of its rank goes to requests that wait already. If
        each new one counted as guaranteed, none would be rejected on arrival.
        """
        level = self._find_level(queued)
        item = _get_item(queued)
        if level != GUARANTEED_LEVEL:
            return level
        waiting = self._list_waiting(_get_share(queued).shared)
        if any(_get_item(other).rank == item.rank for other in waiting):
            return 2 * item.rank
        return level

    def _recheck(self, at: float) -> None:
        """Look for requests that may start when the estimate is renewed.

        Nothing else may happen until then that would cause it.
        """
        if self._recheck_at <= self._loop.time():
            self._recheck_at = at
            self._loop.call_at(at, self._schedule_grants)


def _get_share(queued: QueuedRequest) -> StreamShare:
    if queued.share is None:
        raise ValueError(
            f'request of {queued.service}: expected the share of a stream, got'
            ' none; services that are not shared are decided by the queue'
        )
    return queued.share


def _get_item(queued: QueuedRequest) -> WorkItem:
    share = _get_share(queued)
    return share.started_item if queued.path_request.is_urgent else share.item


def _get_group(queued: QueuedRequest) -> tuple[int, str]:
    item = _get_item(queued)
    return item.rank, item.account


def _predict_timely_wait_s(
    fleet_room: FleetRoom,
    level: int,
    now: float,
    own_ahead: int,
    overtaken: int,
    own_interval_s: float,
) -> float:
    """Return the predicted wait of a request that overtakes some others."""
    ahead = fleet_room.count_ahead(level, now)
    part = 1 - overtaken / max(1, own_ahead)
    return predict_wait_s(
        WaitingWork(round(ahead.count * part), ahead.room * part),
        fleet_room.compute_rate(now, level),
        own_interval_s,
        own_ahead - overtaken,
    )


def _count_late(
    waiting: list[QueuedRequest],
    keys: dict[tuple[int, str], tuple[int, float]],
    level: int,
    now: float,
) -> int:
    """Return how many late requests a timely one of their level overtakes."""
    return sum(
        _get_item(queued).due < now and keys[_get_group(queued)][0] == level
        for queued in waiting
    )


def find_allowed_level(shared: SharedService, level: int, now: float) -> int:
    """Return the highest level below another that has nothing to wait for."""
    while shared.fleet_room.count_waiting_before(
        level, now, elsewhere_only=True
    ).count:
        level -= 1
    return level
