"""What the sends of one request take from the budget of repeats."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task


class AttemptBudget:
    """Pays for the sends of one request.

    A repeat that was taken and not sent is given back. Replicas that end together
    refuse connections for a moment, and streams run into several of them; paid
    for, that left no repeat for the next loss.

    Parameters
    ----------
    state : EdgeState
        Budgets and nodes.
    task : Task
        The request.
    """

    __slots__ = ('_has_repeat', '_is_counted', '_state', '_task')

    def __init__(self, state: EdgeState, task: Task) -> None:
        self._state = state
        self._task = task
        self._is_counted = False
        self._has_repeat = False

    def pay(self, now: float, sends: int, *, is_urgent: bool = False) -> bool:
        """Count a first send, or take a repeat; return whether one was left.

        Parameters
        ----------
        now : float
            On the loop's clock.
        sends : int
            How often the request has reached a replica.
        is_urgent : bool
            Its answer has begun, or a replica broke its run off.
        """
        budget = self._state.get_budget(self._task.service.name)
        self._has_repeat = False
        if sends:
            nodes = self._state.count_nodes()
            self._has_repeat = budget.spend(now, nodes, is_urgent=is_urgent)
            return self._has_repeat
        if not self._is_counted:
            # Counted for each connection that was refused, first sends let a
            # node take more than its share.
            budget.note_first(now)
        self._is_counted = True
        return True

    def give_back(self) -> None:
        """Nothing was sent: no path came, or nobody took the connection."""
        if self._has_repeat:
            self._has_repeat = False
            self._state.get_budget(self._task.service.name).give_back()
