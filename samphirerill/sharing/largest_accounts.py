"""Counts for the accounts that ask for the most room, in bounded memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.sharing.admission_counts import AdmissionCounts

if TYPE_CHECKING:
    from collections.abc import ItemsView
    from random import Random

LISTED_ACCOUNTS = 16
# An account that stopped sending loses its place after a few of these.
_HALF_LIFE_S = 60.0
_HALF = 0.5


class LargestAccounts:
    """Counts by account for about the largest ones, the others in one sum.

    An unlisted account replaces the smallest listed one with a probability of
    its request's room over the sum of both (unbiased space saving), and takes
    over its estimate. Without the draw, many small accounts would replace each
    other at every request.

    Parameters
    ----------
    random : Random
        Draws whether an account is replaced.

    Attributes
    ----------
    others : AdmissionCounts
        The counts of unlisted accounts, including those made while an account
        that was replaced since was listed.
    """

    __slots__ = ('_counts', '_halve_at', '_random', '_rooms', 'others')

    def __init__(self, random: Random) -> None:
        self._random = random
        self._counts: dict[str, AdmissionCounts] = {}
        self._rooms: dict[str, float] = {}
        self._halve_at = 0.0
        self.others = AdmissionCounts()

    def find(self, account: str, room: float, now: float) -> AdmissionCounts:
        """Return where to count a request of an account."""
        self._age(now)
        if account not in self._counts and not self._list(account, room):
            return self.others
        self._rooms[account] += room
        return self._counts[account]

    def list_items(self) -> ItemsView[str, AdmissionCounts]:
        """Return the listed accounts with their counts."""
        return self._counts.items()

    def _list(self, account: str, room: float) -> bool:
        """List an account if there is a place or it replaces another."""
        estimate = 0.0
        if len(self._counts) >= LISTED_ACCOUNTS:
            smallest = min(self._rooms, key=self._rooms.__getitem__)
            estimate = self._rooms[smallest]
            if self._random.random() * (estimate + room) >= room:
                self._rooms[smallest] += room
                return False
            self._rooms.pop(smallest)
            self.others.merge(self._counts.pop(smallest))
        self._counts[account] = AdmissionCounts()
        self._rooms[account] = estimate
        return True

    def _age(self, now: float) -> None:
        """Halve the rooms once per half-life; the counts stay."""
        if now < self._halve_at:
            return
        for account in self._rooms:
            self._rooms[account] *= _HALF
        self._halve_at = now + _HALF_LIFE_S
