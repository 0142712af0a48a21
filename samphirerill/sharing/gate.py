"""Whether a request may take capacity that is free now."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.sharing.model import STARTED_LEVEL

if TYPE_CHECKING:
    from samphirerill.sharing.model import WaitingWork


def may_start(
    level: int, room: float, free_room: float, waiting_before: WaitingWork
) -> bool:
    """Return whether a request may take capacity now.

    Parameters
    ----------
    level : int
        The level of the request.
    room : float
        The room that it needs.
    free_room : float
        The free room of the fleet; only used if work waits elsewhere, so that
        callers need not compute it otherwise.
    waiting_before : WaitingWork
        The work of lower levels that waits at other nodes.
    """
    if level <= STARTED_LEVEL or not waiting_before.count:
        return True
    return free_room - room >= waiting_before.room
