"""Admissions and rejections of one service, for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from samphirerill.sharing.admission_counts import OTHER, AdmissionCounts
from samphirerill.sharing.largest_accounts import LargestAccounts
from samphirerill.sharing.recent_grants import RecentGrants

if TYPE_CHECKING:
    from random import Random

    from samphirerill.sharing.model import WorkItem

# Levels and ranks are counted one by one up to this number, then together:
# their number is set by the configuration, not by this node.
_MAX_NUMBERS = 32
_LEVEL_HOLD_S = 1.0


class AdmissionRecords:
    """What a node decided about the requests of one service.

    The memory does not depend on the number of requests, accounts and levels.

    Parameters
    ----------
    service : str
        The name of the service.
    random : Random
        Draws which small accounts are listed.

    Attributes
    ----------
    service : str
        The name of the service.
    level : int or None
        The highest level that may take capacity; none if all may.
    level_since : float
        When this level was first noted; 0 if the level has never changed.
    level_changes : int
        How often the level changed.
    """

    __slots__ = (
        '_accounts',
        '_by_level',
        '_by_rank',
        '_grants',
        '_held_until',
        'level',
        'level_changes',
        'level_since',
        'service',
    )

    def __init__(self, service: str, random: Random) -> None:
        self.service = service
        self._by_level: dict[int | str, AdmissionCounts] = {}
        self._by_rank: dict[int | str, AdmissionCounts] = {}
        self._accounts = LargestAccounts(random)
        self._grants = RecentGrants()
        self.level: int | None = None
        self.level_since = 0.0
        self.level_changes = 0
        self._held_until = 0.0

    @property
    def is_used(self) -> bool:
        """Return whether anything was noted."""
        return bool(self._by_level or self.level_changes)

    def note_admitted(
        self,
        item: WorkItem,
        level: int,
        predicted_s: float,
        waited_s: float,
        now: float,
    ) -> None:
        """Count a request that takes capacity now."""
        for counts in self._list_counts(item, level, now):
            counts.add_admitted(item.room, predicted_s, waited_s)
        self._grants.add(level, item.account, item.room, now)

    def note_rejected(
        self,
        item: WorkItem,
        level: int,
        reason: str,
        retry_s: float,
        now: float,
    ) -> None:
        """Count a request that is rejected before any part of it ran."""
        for counts in self._list_counts(item, level, now):
            counts.add_rejected(reason, retry_s)

    def note_level(self, level: int | None, now: float) -> bool:
        """Note the highest level that may take capacity; `None` for all.

        A higher level than the present one applies once the present one or a
        lower one was not noted for 1 s: requests of different levels and sizes
        alternate in what they note, several times a second.

        Returns
        -------
        bool
            Whether the level has changed.
        """
        is_higher = _is_above(level, self.level)
        if is_higher and now < self._held_until:
            return False
        if level is not None:
            self._held_until = now + _LEVEL_HOLD_S
        if level == self.level:
            return False
        self.level = level
        self.level_since = now
        self.level_changes += 1
        return True

    def describe_served_since(self, start: float) -> list[dict[str, Any]]:
        """Return the levels and accounts that took capacity from a time on."""
        return self._grants.describe_since(start)

    def describe(self, now: float) -> dict[str, Any]:
        """Return the level in force and all counts for the state page."""
        level_for_s = now - self.level_since if self.level_changes else None
        return {
            'service': self.service,
            'level': self.level,
            'level_for_s': level_for_s,
            'level_changes': self.level_changes,
            'levels': _describe_numbers(self._by_level),
            'ranks': _describe_numbers(self._by_rank),
            'accounts': {
                name: counts.describe()
                for name, counts in self._accounts.list_items()
            },
            'other_accounts': self._accounts.others.describe(),
        }

    def _list_counts(
        self, item: WorkItem, level: int, now: float
    ) -> tuple[AdmissionCounts, ...]:
        return (
            _find_number(self._by_level, level),
            _find_number(self._by_rank, item.rank),
            self._accounts.find(item.account, item.room, now),
        )


def _is_above(level: int | None, other: int | None) -> bool:
    """Compare two levels that may take capacity; none stands for all."""
    return other is not None and (level is None or level > other)


def _find_number(
    groups: dict[int | str, AdmissionCounts], number: int
) -> AdmissionCounts:
    """Return the counts of a level or rank, or those of all further ones."""
    counts = groups.get(number)
    if counts is None:
        group = number if len(groups) < _MAX_NUMBERS else OTHER
        counts = groups.setdefault(group, AdmissionCounts())
    return counts


def _describe_numbers(
    groups: dict[int | str, AdmissionCounts],
) -> dict[str, dict[str, Any]]:
    return {str(name): counts.describe() for name, counts in groups.items()}
