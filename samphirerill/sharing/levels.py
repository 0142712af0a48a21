"""The level of each waiting request of this node, by rank and account."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from samphirerill.sharing.model import (
    GUARANTEED_LEVEL,
    STARTED_LEVEL,
    WaitingWork,
)

if TYPE_CHECKING:
    from samphirerill.sharing.account_use import AccountUse
    from samphirerill.sharing.own_work import OwnWork
    from samphirerill.sharing.peer_reports import PeerReports
    from samphirerill.sharing.settings import SharingSettings

# After a burst, running requests of more urgent ranks say little about those
# that will follow. Without a floor, 0.91 instead of 0.93 of the requests from 1
# to 6 s after a burst were in time; with a part of 1, 0.42 instead of 0.22 of the
# clients of the less urgent rank waited in vain during an overload.
_MIN_AVAILABLE_PART = 0.5


class Levels:
    """Finds levels from this node's own work and the reports of others.

    Attributes
    ----------
    settings : SharingSettings
        What is shared.
    """

    __slots__ = ('_accounts', '_own', '_peers', 'settings')

    def __init__(
        self,
        settings: SharingSettings,
        accounts: AccountUse,
        own: OwnWork,
        peers: PeerReports,
    ) -> None:
        self.settings = settings
        self._accounts = accounts
        self._own = own
        self._peers = peers

    def find(self, rank: int, key: int) -> int:
        """Return the level of a request of this rank and account."""
        if rank < 0:
            return STARTED_LEVEL
        if self._find_guaranteed_room(rank) > 0:
            return GUARANTEED_LEVEL
        return self._find_share_level(rank, key, self._compute_share())

    def find_lowest_shared(self, level: int) -> int:
        """Return the lowest level that a request of this level waits for.

        Without sharing between ranks, that is a level of the same rank.
        """
        if self.settings.ranks or level < 0:
            return STARTED_LEVEL
        return level - level % 2

    def find_available_part(self, level: int) -> float:
        """Return the part of the capacity in use that a level may get.

        It is what more urgent ranks do not use.
        """
        rank = level // 2
        running = self._sum_running()
        if not self.settings.ranks or rank <= 0 or not running:
            return 1.0
        own = sum(
            [
                work.room
                for found, work in self._own.running_by_rank.items()
                if found < rank
            ]
        )
        reported = sum(
            [
                room
                for found, room in self._peers.running_by_rank.items()
                if found < rank
            ]
        )
        return max(_MIN_AVAILABLE_PART, 1 - (own + reported) / running)

    def sum_own_waiting(self) -> dict[int, WaitingWork]:
        """Return this node's waiting work by level."""
        share = self._compute_share()
        by_level: dict[int, WaitingWork] = {}
        for (rank, key), group in self._own.groups.items():
            level = (
                STARTED_LEVEL
                if rank < 0
                else self._find_share_level(rank, key, share)
            )
            work = by_level.setdefault(level, WaitingWork())
            work.add(group.count, group.room)
        for waiting_rank in self._own.waiting_by_rank:
            guaranteed = self._find_guaranteed_room(waiting_rank)
            _promote(by_level, waiting_rank, guaranteed)
        return by_level

    def _compute_share(self) -> float:
        """Return the share of an account of weight 1; infinite if not shared."""
        if not self.settings.accounts:
            return inf
        return self._accounts.compute_share(self._sum_running())

    def _find_share_level(self, rank: int, key: int, share: float) -> int:
        return 2 * rank + int(self._accounts.is_above_share(key, share))

    def _sum_running(self) -> float:
        return self._own.sum_running() + self._peers.sum_running()

    def _find_guaranteed_room(self, rank: int) -> float:
        """Return the room that this node may still start as guaranteed.

        The guaranteed room of a rank is divided among the nodes by their part
        of the rank's demand. With the whole of it at each node, all nodes would
        start that much between two reports.
        """
        if not self.settings.ranks or not self._is_more_urgent_waiting(rank):
            return 0.0
        own_running = _get_room(self._own.running_by_rank, rank)
        running = own_running + self._peers.running_by_rank.get(rank, 0.0)
        target = self.settings.guaranteed_share * self._sum_running()
        own_demand = own_running + _get_room(self._own.waiting_by_rank, rank)
        demand = (
            running
            + own_demand
            - own_running
            + _get_room(self._peers.waiting, 2 * rank)
            + _get_room(self._peers.waiting, 2 * rank + 1)
        )
        own_target = target * own_demand / demand if demand else target
        return max(0.0, min(target - running, own_target - own_running))

    def _is_more_urgent_waiting(self, rank: int) -> bool:
        if any(found < rank for found in self._own.waiting_by_rank):
            return True
        return any(
            found < 2 * rank and found != GUARANTEED_LEVEL
            for found in self._peers.waiting
        )


def _get_room(works: dict[int, WaitingWork], key: int) -> float:
    work = works.get(key)
    return 0.0 if work is None else work.room


def _promote(
    by_level: dict[int, WaitingWork], rank: int, guaranteed: float
) -> None:
    """Move as much of a rank's waiting work as is guaranteed, at least one."""
    for level in (2 * rank, 2 * rank + 1):
        work = by_level.get(level)
        if work is None or guaranteed <= 0:
            continue
        part = min(1.0, guaranteed / work.room)
        count = max(1, round(part * work.count))
        # Whole units, as reports are rounded: the parts must add up.
        room = round(work.room * count / work.count)
        promoted = by_level.setdefault(GUARANTEED_LEVEL, WaitingWork())
        promoted.add(count, room)
        work.add(-count, -room)
        guaranteed -= room
        if not work.count:
            by_level.pop(level)
