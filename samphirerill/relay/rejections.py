"""Reject a stream, and tell its client when to return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.admission_errors import RejectedError

if TYPE_CHECKING:
    from samphirerill.relay.shared_service import SharedService
    from samphirerill.relay.stream_share import StreamShare
    from samphirerill.sharing.model import WorkItem

# Latest return of a rejected client, as a part of its remaining time.
_RETURN_PART = 1 / 3


def build_rejection(
    share: StreamShare, level: int, reason: str, wait_s: float, now: float
) -> RejectedError:
    """Return the error for a stream, and assign when its client returns.

    Parameters
    ----------
    share : StreamShare
        The stream.
    level : int
        Its level.
    reason : str
        Why it is rejected.
    wait_s : float
        When capacity is expected for it.
    now : float
        On the loop's clock.
    """
    shared, item = share.shared, share.item
    retry_s = shared.return_times.assign(
        level,
        wait_s,
        item.room,
        _estimate_own_rate(shared, item, level, now),
        max(0, item.deadline - now) * _RETURN_PART,
        now,
    )
    shared.records.note_rejected(item, level, reason, retry_s, now)
    return RejectedError(retry_s, f'level {level}: {reason}')


def _estimate_own_rate(
    shared: SharedService, item: WorkItem, level: int, now: float
) -> float:
    """Return the room per second that becomes free for clients of this node.

    It is the part that this node has of the work that waits; with all of it,
    each node would let its clients return at the rate of the whole fleet.
    """
    fleet_room = shared.fleet_room
    total = fleet_room.count_ahead(level, now).room + item.room
    elsewhere = fleet_room.count_waiting_before(
        level + 1, now, elsewhere_only=True
    )
    own_part = max(item.room, total - elsewhere.room) / max(1.0, total)
    return fleet_room.compute_rate(now, level) * own_part
