"""The room in use by each client account, over all nodes.

Reports list only the accounts with the most room. The number of active accounts
is therefore estimated: the accounts that a report does not list are assumed to
coincide with those of other reports as often as the listed ones do.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from samphirerill.sharing.model import identify_account

if TYPE_CHECKING:
    from collections.abc import Mapping

    from samphirerill.sharing.model import RoomReport

_DEFAULT_WEIGHT = 1.0


@dataclass(slots=True)
class _Account:
    """The room of one account, and how many nodes and reports list it."""

    room: float = 0.0
    mentions: int = 0


class AccountUse:
    """The active accounts, their room in use and their weights."""

    __slots__ = (
        '_accounts',
        '_counted',
        '_listed',
        '_listed_weight',
        '_weights',
    )

    def __init__(self) -> None:
        self._accounts: dict[int, _Account] = {}
        self._weights: dict[int, float] = {}
        # Sums over this node and all reports.
        self._counted = 0
        self._listed = 0
        # Of the distinct accounts that are listed.
        self._listed_weight = 0.0

    def replace_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights; accounts without one have the weight 1."""
        self._weights = {
            identify_account(name): weight
            for name, weight in weights.items()
            if weight > 0
        }
        self._listed_weight = sum(map(self._get_weight, self._accounts))

    def add_own(self, key: int) -> None:
        """Add an account that has become active at this node."""
        self._mention(key, 0, 1)
        self._listed += 1
        self._counted += 1

    def remove_own(self, key: int) -> None:
        """Remove an account that has no requests left at this node."""
        self._mention(key, 0, -1)
        self._listed -= 1
        self._counted -= 1

    def add_room(self, key: int, room: float) -> None:
        """Add room of this node to an account that is active here."""
        self._accounts[key].room += room

    def add_report(self, report: RoomReport, sign: int) -> None:
        """Add a report, or remove it with a `sign` of -1."""
        listed = report.running_by_account
        for key, room in listed.items():
            self._mention(key, sign * room, sign)
        self._listed += sign * len(listed)
        self._counted += sign * max(report.account_count, len(listed))

    def compute_share(self, total: float) -> float:
        """Return the share of `total` of an active account of weight 1.

        It is infinite for a single account, which competes with nobody.
        """
        if self.estimate_count() <= 1:
            return inf
        return total * self._listed / (self._listed_weight * self._counted)

    def is_above_share(self, key: int, share: float) -> bool:
        """Return whether an account uses more than `share` per weight."""
        account = self._accounts.get(key)
        if account is None:
            return False
        return account.room > share * self._weights.get(key, _DEFAULT_WEIGHT)

    def compute_weighted_use(self, key: int) -> float:
        """Return the room in use by an account, divided by its weight."""
        account = self._accounts.get(key)
        return 0.0 if account is None else account.room / self._get_weight(key)

    def estimate_count(self) -> float:
        """Return the estimated number of active accounts."""
        if not self._listed:
            return 0
        return len(self._accounts) * self._counted / self._listed

    def list_rooms(self) -> dict[int, float]:
        """Return the room of each listed account."""
        return {key: account.room for key, account in self._accounts.items()}

    def _mention(self, key: int, room: float, mentions: int) -> None:
        account = self._accounts.get(key)
        if account is None:
            account = _Account()
            self._accounts[key] = account
            self._listed_weight += self._get_weight(key)
        account.room += room
        account.mentions += mentions
        if not account.mentions:
            self._accounts.pop(key)
            self._listed_weight -= self._get_weight(key)

    def _get_weight(self, key: int) -> float:
        return self._weights.get(key, _DEFAULT_WEIGHT)
