"""Which plain request takes a slot, and which is rejected on arrival."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.plain_request import SlotRejectedError
from samphirerill.relay.shared_admission import find_allowed_level
from samphirerill.sharing.gate import may_start
from samphirerill.sharing.model import GUARANTEED_LEVEL
from samphirerill.sharing.order import sort_key
from samphirerill.sharing.prediction import find_rejection, predict_wait_s

if TYPE_CHECKING:
    from samphirerill.relay.plain_request import PlainRequest

# Latest return of a rejected client, as a part of its remaining time.
_RETURN_PART = 1 / 3
# At full load all accepted requests wait for about as long as is allowed. Without
# a margin for wrong predictions, a fifth of them was late.
_WAIT_MARGIN = 1.3
# Part of the rate of the endpoints, by their slots and service times, that is
# expected at least: where demand begins, few requests have ended yet.
_LEAST_RATE_PART = 0.8


def choose_next(requests: list[PlainRequest], now: float) -> PlainRequest:
    """Return the request that is served first."""
    keys: dict[tuple[int, str], tuple[int, float]] = {}

    def build_key(
        request: PlainRequest,
    ) -> tuple[int, bool, float, float]:
        item = request.item
        group = (item.rank, item.account)
        if group not in keys:
            fleet_room = request.shared.fleet_room
            level = fleet_room.find_level(item, now)
            keys[group] = (level, fleet_room.find_account_use(item))
        return sort_key(item, *keys[group], now)

    return min(requests, key=build_key)


def may_take_slot(request: PlainRequest, free_slots: float, now: float) -> bool:
    """Return whether a request may take a slot that is free now."""
    shared = request.shared
    level = request.find_level(now)
    before = shared.fleet_room.count_waiting_before(
        level, now, elsewhere_only=True
    )
    is_allowed = may_start(level, request.item.room, free_slots, before)
    shared.records.note_level(
        None if is_allowed else find_allowed_level(shared, level, now), now
    )
    return is_allowed


def find_arrival_level(
    request: PlainRequest, waiting: list[PlainRequest], now: float
) -> int:
    """Return the level that an arriving request is expected to have.

    The guaranteed room of its rank goes to requests that wait already. If each
    new one counted as guaranteed, none would be rejected on arrival.
    """
    item = request.item
    level = request.find_level(now)
    if level == GUARANTEED_LEVEL and any(
        other.item.rank == item.rank for other in waiting
    ):
        return 2 * item.rank
    return level


def predict_start_s(
    request: PlainRequest,
    waiting: list[PlainRequest],
    own_ahead: int,
    own_interval_s: float,
    now: float,
) -> float:
    """Return the time until a slot is expected for an arriving request."""
    level = find_arrival_level(request, waiting, now)
    fleet_s = predict_wait_s(
        request.shared.fleet_room.count_ahead(level, now),
        estimate_rate(request, now),
        own_interval_s,
        own_ahead,
    )
    # Each slot that becomes free is seen first by the node that used it, so that
    # the queues of the nodes may move at different speeds.
    return max(_WAIT_MARGIN * fleet_s, own_interval_s * own_ahead)


def estimate_rate(request: PlainRequest, now: float) -> float:
    """Return the slots that become free per second over all nodes."""
    return max(
        request.shared.fleet_room.compute_rate(now),
        _LEAST_RATE_PART * request.endpoint_rate,
    )


def reject_if_late(
    request: PlainRequest,
    own_ahead: int,
    node_count: int,
    now: float,
) -> None:
    """Raise ``SlotRejectedError`` if a request would start too late.

    Parameters
    ----------
    request : PlainRequest
        The request, with its predicted wait.
    own_ahead : int
        The number of requests that are ahead in this node's queue.
    node_count : int
        The number of nodes, which all tell clients when to return.
    now : float
        On the loop's clock.
    """
    if request.is_accepted:
        return
    rejection = find_rejection(
        request.item, request.predicted_s, now, own_ahead
    )
    if rejection is not None:
        raise build_rejection(request, rejection.reason, node_count, now)


def build_rejection(
    request: PlainRequest, reason: str, node_count: int, now: float
) -> SlotRejectedError:
    """Return the rejection of a request that was not sent."""
    shared, item = request.shared, request.item
    level = request.find_level(now)
    retry_s = shared.return_times.assign(
        level,
        request.predicted_s,
        item.room,
        estimate_rate(request, now) / node_count,
        max(0, item.deadline - now) * _RETURN_PART,
        now,
    )
    shared.records.note_rejected(item, level, reason, retry_s, now)
    return SlotRejectedError(retry_s, f'level {level}: {reason}')
