"""The capacity of one service as known to this node.

Each node counts its own requests exactly and receives the reports of the other
nodes, which are up to 2 s old. A node without reports decides on its own.
"""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from samphirerill.sharing.account_use import AccountUse
from samphirerill.sharing.levels import Levels
from samphirerill.sharing.model import (
    MAX_AGGREGATED_ACCOUNTS,
    MAX_REPORTED_ACCOUNTS,
    STARTED_LEVEL,
    RoomReport,
    WaitingWork,
    identify_account,
)
from samphirerill.sharing.own_work import OwnWork
from samphirerill.sharing.peer_reports import PeerReports

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from samphirerill.sharing.model import WorkItem
    from samphirerill.sharing.settings import SharingSettings


class FleetRoom:
    """The running and waiting requests of one service over all nodes.

    Parameters
    ----------
    settings : SharingSettings
        What is shared, restricted to what the service has.
    """

    __slots__ = ('_accounts', '_levels', '_own', '_peers')

    def __init__(self, settings: SharingSettings) -> None:
        self._accounts = AccountUse()
        self._own = OwnWork(self._accounts)
        self._peers = PeerReports(self._accounts)
        self._levels = Levels(settings, self._accounts, self._own, self._peers)

    def configure(
        self, settings: SharingSettings, weights: Mapping[str, float]
    ) -> None:
        """Apply changed settings and weights by account; the default is 1."""
        self._levels.settings = settings
        self._accounts.replace_weights(weights)

    def start(self, item: WorkItem) -> None:
        """Count a request of this node that starts."""
        self._own.start(item)

    def finish(self, item: WorkItem, now: float) -> None:
        """Count a request of this node that has ended."""
        self._own.finish(item, now)

    def enqueue(self, item: WorkItem) -> None:
        """Count a request of this node that waits."""
        key = identify_account(item.account)
        self._own.enqueue(item, self._levels.find(item.rank, key))

    def leave_queue(self, item: WorkItem) -> None:
        """Count a request of this node that waits no more."""
        self._own.leave_queue(item)

    def update_peer(self, name: str, report: RoomReport, now: float) -> None:
        """Replace the last report of a node or of a whole data centre."""
        self._peers.update(name, report, now)

    def remove_peer(self, name: str) -> None:
        """Drop a peer's report: its work is now reported under another name."""
        self._peers.remove(name)

    def expire(self, now: float) -> None:
        """Drop the reports that are no longer valid."""
        self._peers.expire(now)

    def get_version(self) -> int:
        """Return a number that changes as this node's waiting work appears.

        It changes only when a level goes from empty to non-empty or back. The
        level is the one at the time of queueing: if reports of others counted,
        nodes would answer each other's reports.
        """
        return self._own.version

    def build_report(self, now: float) -> RoomReport:
        """Return the report of this node."""
        self.expire(now)
        own = self._own
        rooms = dict.fromkeys(own.active, 0.0)
        rooms.update(_round_rooms(own.running_by_account))
        return RoomReport(
            _round_rooms(own.running_by_rank),
            _select_largest(rooms, MAX_REPORTED_ACCOUNTS),
            len(own.active),
            {
                level: WaitingWork(work.count, round(work.room))
                for level, work in self._levels.sum_own_waiting().items()
            },
            round(own.sum_completed(now)),
        )

    def find_level(self, item: WorkItem, now: float) -> int:
        """Return the level of a request; lower ones have precedence."""
        self.expire(now)
        return self._levels.find(item.rank, identify_account(item.account))

    def find_account_use(self, item: WorkItem) -> float:
        """Return the room that the request's account uses over its weight."""
        key = identify_account(item.account)
        return self._accounts.compute_weighted_use(key)

    def count_waiting_before(
        self, level: int, now: float, *, elsewhere_only: bool
    ) -> WaitingWork:
        """Return the waiting work of lower levels that sharing covers.

        Parameters
        ----------
        level : int
            The level of a request that is about to start.
        now : float
            On the clock of `update_peer`.
        elsewhere_only : bool
            Leaves out the work of this node, which its queue keeps in order.
        """
        self.expire(now)
        lowest = self._levels.find_lowest_shared(level)
        before = range(lowest, level)
        total = _sum_levels(self._peers.waiting, before)
        if not elsewhere_only:
            own = _sum_levels(self._levels.sum_own_waiting(), before)
            total.add(own.count, own.room)
        return total

    def count_ahead(self, level: int, now: float) -> WaitingWork:
        """Return all waiting work of the same or a lower level."""
        self.expire(now)
        ahead = range(STARTED_LEVEL, level + 1)
        total = _sum_levels(self._peers.waiting, ahead)
        own = _sum_levels(self._levels.sum_own_waiting(), ahead)
        total.add(own.count, own.room)
        return total

    def sum_running(self, now: float) -> float:
        """Return the room in use over all nodes."""
        self.expire(now)
        return self._own.sum_running() + self._peers.sum_running()

    def compute_rate(self, now: float, level: int = STARTED_LEVEL) -> float:
        """Return the room completed per second over all nodes; 0 if unknown.

        Parameters
        ----------
        now : float
            On the clock of `update_peer`.
        level : int
            Leaves out the part that more urgent ranks use, as their next
            requests will take it again.
        """
        self.expire(now)
        rate = self._own.sum_completed(now) + self._peers.completed
        return rate * self._levels.find_available_part(level)

    def list_waiting_peers(self, level: int, now: float) -> dict[str, float]:
        """Return the room that waits at lower levels, by peer with any."""
        self.expire(now)
        return self._peers.list_waiting(level)


def merge_reports(reports: Iterable[RoomReport]) -> RoomReport:
    """Return one report that stands for several nodes."""
    accounts = AccountUse()
    merged = PeerReports(accounts)
    for number, report in enumerate(reports):
        merged.update(str(number), report, 0)
    return RoomReport(
        merged.running_by_rank,
        _select_largest(accounts.list_rooms(), MAX_AGGREGATED_ACCOUNTS),
        round(accounts.estimate_count()),
        merged.waiting,
        merged.completed,
    )


def _select_largest(rooms: dict[int, float], count: int) -> dict[int, float]:
    if len(rooms) <= count:
        return rooms
    return {
        key: rooms[key] for key in nlargest(count, rooms, rooms.__getitem__)
    }


def _round_rooms(works: Mapping[int, WaitingWork]) -> dict[int, float]:
    return {key: round(work.room) for key, work in works.items()}


def _sum_levels(by_level: dict[int, WaitingWork], levels: range) -> WaitingWork:
    total = WaitingWork()
    for level, work in by_level.items():
        if level in levels:
            total.add(work.count, work.room)
    return total
