"""Predicted waits, and the rejection of requests that would start too late."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.sharing.model import WaitingWork, WorkItem

# With fewer requests ahead in a node's queue, a request is not rejected: the
# rate estimate is not yet reliable.
MIN_CHECKED_QUEUE = 4


@dataclass(slots=True, frozen=True)
class Rejection:
    """Why a request is rejected; capacity is expected after `retry_s`."""

    reason: str
    retry_s: float


def predict_wait_s(
    ahead: WaitingWork, rate: float, own_interval_s: float, own_ahead: int
) -> float:
    """Return the time until capacity is expected for a request.

    The prediction for the whole fleet rests on reports that are up to 2 s old.
    While other nodes compete, a request also waits no shorter than this node's
    own queue takes, whose length is exact: otherwise all nodes would queue too
    much between two reports.

    Parameters
    ----------
    ahead : WaitingWork
        The work that all nodes serve before it.
    rate : float
        The room that becomes free per second over all nodes; 0 if unknown.
    own_interval_s : float
        The interval between the starts of waiting requests at this node.
    own_ahead : int
        The number of requests that are ahead in this node's queue.
    """
    own_wait_s = own_interval_s * own_ahead
    if rate <= 0:
        return own_wait_s
    wait_s = ahead.room / rate
    if MIN_CHECKED_QUEUE <= own_ahead < ahead.count:
        return max(wait_s, own_wait_s)
    return wait_s


def find_rejection(
    item: WorkItem,
    wait_s: float,
    now: float,
    own_ahead: int = MIN_CHECKED_QUEUE,
) -> Rejection | None:
    """Return why a request is rejected; none if it may wait.

    Parameters
    ----------
    item : WorkItem
        The request.
    wait_s : float
        Its predicted wait.
    now : float
        On the clock of `due`.
    own_ahead : int
        The number of requests that are ahead in this node's queue.
    """
    if own_ahead < MIN_CHECKED_QUEUE or now + wait_s <= item.due:
        return None
    left_s = max(0.0, item.due - now)
    reason = (
        f'predicted wait {wait_s:.2f} s, {left_s:.2f} s left to start in time'
    )
    return Rejection(reason, wait_s)
