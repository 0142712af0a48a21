"""The running and waiting requests of this node for one service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.sharing.model import WaitingWork, identify_account

if TYPE_CHECKING:
    from samphirerill.sharing.account_use import AccountUse
    from samphirerill.sharing.model import WorkItem

COMPLETION_WINDOW_S = 1.0


@dataclass(slots=True)
class WaitingGroup(WaitingWork):
    """The waiting requests of one rank and account.

    `level` is the one that they had when the first of them was queued.
    """

    level: int = 0


class OwnWork:
    """Counts of this node's own requests.

    Parameters
    ----------
    accounts : AccountUse
        The accounts' room over all nodes, which is updated with each request.

    Attributes
    ----------
    running_by_rank : dict of int to WaitingWork
        The running requests by rank.
    running_by_account : dict of int to WaitingWork
        The running requests by account.
    waiting_by_rank : dict of int to WaitingWork
        The waiting requests by rank.
    groups : dict
        The waiting requests by rank and account.
    active : dict of int to int
        The number of running and waiting requests by account.
    version : int
        Changes when a level goes from empty to non-empty or back.
    """

    __slots__ = (
        '_accounts',
        '_completed',
        '_completions',
        '_group_counts',
        'active',
        'groups',
        'running_by_account',
        'running_by_rank',
        'version',
        'waiting_by_rank',
    )

    def __init__(self, accounts: AccountUse) -> None:
        self._accounts = accounts
        self.running_by_rank: dict[int, WaitingWork] = {}
        self.running_by_account: dict[int, WaitingWork] = {}
        self.waiting_by_rank: dict[int, WaitingWork] = {}
        self.groups: dict[tuple[int, int], WaitingGroup] = {}
        self.active: dict[int, int] = {}
        self.version = 0
        # The number of groups by their level.
        self._group_counts: dict[int, int] = {}
        self._completions: deque[tuple[float, float]] = deque()
        self._completed = 0.0

    def start(self, item: WorkItem) -> None:
        """Count a request that starts."""
        self._add_running(item, 1)

    def finish(self, item: WorkItem, now: float) -> None:
        """Count a request that has ended."""
        self._add_running(item, -1)
        self._completions.append((now, item.room))
        self._completed += item.room

    def enqueue(self, item: WorkItem, level: int) -> None:
        """Count a request that waits; `level` is its present level."""
        group_key = (item.rank, identify_account(item.account))
        if group_key not in self.groups:
            self.groups[group_key] = WaitingGroup(level=level)
            self._count_group(level, 1)
        self._add_waiting(item, 1)

    def leave_queue(self, item: WorkItem) -> None:
        """Count a request that waits no more."""
        group_key = (item.rank, identify_account(item.account))
        group = self.groups[group_key]
        self._add_waiting(item, -1)
        if not group.count:
            self.groups.pop(group_key)
            self._count_group(group.level, -1)

    def sum_running(self) -> float:
        """Return the room that is in use."""
        running = self.running_by_rank.values()
        return sum([work.room for work in running])

    def sum_completed(self, now: float) -> float:
        """Return the room of the requests that ended in the last second."""
        completions = self._completions
        while completions and completions[0][0] < now - COMPLETION_WINDOW_S:
            self._completed -= completions.popleft()[1]
        return self._completed if completions else 0.0

    def _add_running(self, item: WorkItem, sign: int) -> None:
        key = identify_account(item.account)
        room = sign * item.room
        if sign > 0:
            self._add_active(key, sign)
        _add(self.running_by_rank, item.rank, sign, room)
        _add(self.running_by_account, key, sign, room)
        self._accounts.add_room(key, room)
        if sign < 0:
            self._add_active(key, sign)

    def _add_waiting(self, item: WorkItem, sign: int) -> None:
        key = identify_account(item.account)
        room = sign * item.room
        self._add_active(key, sign)
        _add(self.waiting_by_rank, item.rank, sign, room)
        self.groups[item.rank, key].add(sign, room)

    def _add_active(self, key: int, count: int) -> None:
        before = self.active.get(key, 0)
        self.active[key] = before + count
        if not before:
            self._accounts.add_own(key)
        elif not self.active[key]:
            self.active.pop(key)
            self._accounts.remove_own(key)

    def _count_group(self, level: int, count: int) -> None:
        before = self._group_counts.get(level, 0)
        self._group_counts[level] = before + count
        if not before or not self._group_counts[level]:
            self.version += 1


def _add(
    tallies: dict[int, WaitingWork], key: int, count: int, room: float
) -> None:
    tally = tallies.setdefault(key, WaitingWork())
    tally.add(count, room)
    if not tally.count:
        tallies.pop(key)
