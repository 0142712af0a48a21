"""Requests for capacity, and what nodes report to each other about them.

*Room* is capacity that requests use or need: tokens of prompt and expected
answer for streams, slots for plain requests.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

# Levels of streams that have started, and of ranks that have less than their
# guaranteed share. Lower levels have precedence over higher ones.
STARTED_LEVEL = -2
GUARANTEED_LEVEL = -1
# Keep a status datagram below 400 and an aggregate below 1,000 bytes larger.
MAX_REPORTED_ACCOUNTS = 16
MAX_AGGREGATED_ACCOUNTS = 32


@dataclass(slots=True)
class WorkItem:
    """A request for capacity.

    Parameters
    ----------
    rank : int
        The priority, 0 for the most urgent one; negative for a stream that
        has started.
    account : str
        The name of the client account.
    room : float
        The capacity that it needs, in tokens or slots.
    due : float
        The latest start that allows a first event or a response within the
        objective.
    deadline : float
        When the client gives up.
    request_id : str
        Names the request in log lines; no decision depends on it.
    """

    rank: int
    account: str
    room: float
    due: float
    deadline: float
    request_id: str = ''


@dataclass(slots=True)
class WaitingWork:
    """A number of waiting requests and the room that they need together."""

    count: int = 0
    room: float = 0.0

    def add(self, count: int, room: float) -> None:
        """Add requests; both values may be negative to remove them."""
        self.count += count
        self.room += room


@dataclass(slots=True)
class RoomReport:
    """What one node, or all nodes of a data centre, report about a service.

    Values are rounded to whole tokens or slots, which keeps sums exact and
    messages small.

    Parameters
    ----------
    running_by_rank : dict of int to float
        The room in use by rank.
    running_by_account : dict of int to float
        The room in use by account, each identified by `identify_account`. Only
        the accounts with the most room are listed; an account whose requests
        all wait has room 0.
    account_count : int
        The number of accounts with running or waiting requests.
    waiting : dict of int to WaitingWork
        The waiting requests by level.
    completed : float
        The room of the requests that ended in the last second.
    """

    running_by_rank: dict[int, float] = field(default_factory=dict)
    running_by_account: dict[int, float] = field(default_factory=dict)
    account_count: int = 0
    waiting: dict[int, WaitingWork] = field(default_factory=dict)
    completed: float = 0.0


def identify_account(name: str) -> int:
    """Return the checksum that identifies an account in reports."""
    return zlib.crc32(name.encode())
