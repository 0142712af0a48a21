"""Reports of the room of a service as they appear in status datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from samphirerill.sharing.model import (
    MAX_AGGREGATED_ACCOUNTS,
    STARTED_LEVEL,
    RoomReport,
    WaitingWork,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Sized

# Ranks and levels beyond these bounds are not reported. With more ranks, a
# status could exceed a datagram.
_MAX_RANKS = 16
_MAX_ACCOUNT_KEY = 0xFFFFFFFF
# More tokens than a fleet can hold; larger numbers are errors, and would hold
# back all other work until they expire.
_MAX_ROOM = 1_000_000_000


class RoomRow(Struct, array_like=True):
    """The room of one service in `NodeStatus`, in whole tokens or slots.

    `accounts` is by `identify_account`; `waiting` maps levels to the number of
    requests and their room.
    """

    ranks: dict[int, int] = {}
    accounts: dict[int, int] = {}
    account_count: int = 0
    waiting: dict[int, tuple[int, int]] = {}
    completed: int = 0


class DecodedRow:
    """A report and the number of entries that were dropped from it."""

    __slots__ = ('dropped', 'report')

    def __init__(self, report: RoomReport, dropped: int) -> None:
        self.report = report
        self.dropped = dropped


def encode_report(report: RoomReport, max_accounts: int) -> RoomRow:
    """Return a report in the form of a status datagram.

    Parameters
    ----------
    report : RoomReport
        The report.
    max_accounts : int
        The number of accounts to list; those with the most room are.
    """
    listed = sorted(
        report.running_by_account.items(), key=_get_room, reverse=True
    )
    return RoomRow(
        _round(report.running_by_rank),
        _round(dict(listed[:max_accounts])),
        report.account_count,
        {
            level: (work.count, round(work.room))
            for level, work in report.waiting.items()
        },
        round(report.completed),
    )


def decode_row(row: RoomRow) -> DecodedRow:
    """Return the valid part of a received row.

    Unknown levels, impossible numbers and entries beyond the bounds are
    dropped: one wrong number must not cost the rest of the report.
    """
    report = RoomReport(
        _select_rooms(row.ranks, _MAX_RANKS - 1, _MAX_RANKS),
        _select_rooms(row.accounts, _MAX_ACCOUNT_KEY, MAX_AGGREGATED_ACCOUNTS),
        _bound(row.account_count),
        _select_waiting(row.waiting),
        _bound(row.completed),
    )
    found = _count_entries(row.ranks, row.accounts, row.waiting)
    kept = _count_entries(
        report.running_by_rank, report.running_by_account, report.waiting
    )
    has_error = (row.account_count, row.completed) != (
        report.account_count,
        report.completed,
    )
    return DecodedRow(report, found - kept + has_error)


def _round(rooms: Mapping[int, float]) -> dict[int, int]:
    return {key: round(room) for key, room in rooms.items()}


def _select_rooms(
    rooms: Mapping[int, int], max_key: int, max_count: int
) -> dict[int, float]:
    """Return the valid entries, at most `max_count` of them."""
    valid = [
        (key, float(room))
        for key, room in rooms.items()
        if 0 <= key <= max_key and 0 <= room <= _MAX_ROOM
    ]
    return dict(valid[:max_count])


def _select_waiting(
    waiting: Mapping[int, tuple[int, int]],
) -> dict[int, WaitingWork]:
    """Return the valid entries of known levels."""
    return {
        level: WaitingWork(count, room)
        for level, (count, room) in waiting.items()
        if STARTED_LEVEL <= level < 2 * _MAX_RANKS
        and 0 < count <= _MAX_ROOM
        and 0 <= room <= _MAX_ROOM
    }


def _bound(number: int) -> int:
    """Return a number, or 0 if it is impossible."""
    return number if 0 <= number <= _MAX_ROOM else 0


def _count_entries(ranks: Sized, accounts: Sized, waiting: Sized) -> int:
    return len(ranks) + len(accounts) + len(waiting)


def _get_room(entry: tuple[int, float]) -> float:
    return entry[1]
