"""The order in which waiting requests take capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.sharing.model import WorkItem


def sort_key(
    item: WorkItem, level: int, account_use: float, now: float
) -> tuple[int, bool, float, float]:
    """Return the key by which waiting requests are sorted, first to run first.

    Late requests follow timely ones of the same level: served in plain order,
    overload would delay every request by the length of the queue. A client
    that returns after a rejection has an earlier deadline than a new one.

    Parameters
    ----------
    item : WorkItem
        The request.
    level : int
        Its level. Levels and use change with each request that starts, so keys
        are computed anew for each start.
    account_use : float
        The room in use by its account, divided by the account's weight.
    now : float
        On the clock of `due`.
    """
    return level, item.due < now, account_use, item.deadline
