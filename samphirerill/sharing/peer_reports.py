"""The latest reports of other nodes about one service, and their sums."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.sharing.model import RoomReport, WaitingWork

if TYPE_CHECKING:
    from samphirerill.sharing.account_use import AccountUse

# Exceeds the 1.3 s between reports in the largest fleets.
REPORT_VALIDITY_S = 2.0


@dataclass(slots=True)
class _PeerReport:
    """One report; valid until `until`."""

    report: RoomReport
    until: float


class PeerReports:
    """The latest report of each peer; sums are updated with each report.

    Attributes
    ----------
    running_by_rank : dict of int to float
        The room in use at other nodes by rank.
    waiting : dict of int to WaitingWork
        The requests waiting at other nodes by level; never with a count of 0.
    completed : float
        The room of the requests that ended there in the last second.
    """

    __slots__ = (
        '_accounts',
        '_reports',
        'completed',
        'running_by_rank',
        'waiting',
    )

    def __init__(self, accounts: AccountUse) -> None:
        self._accounts = accounts
        # In the order in which they expire.
        self._reports: dict[str, _PeerReport] = {}
        self.running_by_rank: dict[int, float] = {}
        self.waiting: dict[int, WaitingWork] = {}
        self.completed = 0.0

    def update(self, name: str, report: RoomReport, now: float) -> None:
        """Replace the last report of a peer."""
        known = self._reports.pop(name, None)
        until = now + REPORT_VALIDITY_S
        self._reports[name] = _PeerReport(report, until)
        if known is None:
            self._add(report, 1)
        elif known.report != report:
            self._add(report, 1)
            self._add(known.report, -1)

    def remove(self, name: str) -> None:
        """Drop the report of a peer."""
        known = self._reports.pop(name, None)
        if known is not None:
            self._add(known.report, -1)

    def expire(self, now: float) -> None:
        """Drop the reports that are no longer valid."""
        while self._reports:
            name = next(iter(self._reports))
            if self._reports[name].until >= now:
                return
            self.remove(name)

    def sum_running(self) -> float:
        """Return the room that is in use at other nodes."""
        return sum(self.running_by_rank.values())

    def list_waiting(self, level: int) -> dict[str, float]:
        """Return the room waiting at lower levels, by peer with any."""
        rooms = {}
        for name, known in self._reports.items():
            waiting = known.report.waiting
            room = sum(
                work.room for found, work in waiting.items() if found < level
            )
            if room > 0:
                rooms[name] = room
        return rooms

    def _add(self, report: RoomReport, sign: int) -> None:
        self._accounts.add_report(report, sign)
        self.completed += sign * report.completed
        ranks = self.running_by_rank
        for rank, room in report.running_by_rank.items():
            ranks[rank] = ranks.get(rank, 0) + sign * room
        for level, work in report.waiting.items():
            total = self.waiting.setdefault(level, WaitingWork())
            total.add(sign * work.count, sign * work.room)
            if not total.count:
                self.waiting.pop(level)
