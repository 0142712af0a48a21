"""The latest admissions of a service, to tell what was served before a request."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Any

# A node admits up to a few hundred requests a second; a longer list would not
# say more, as only the largest groups are shown.
_MAX_GRANTS = 512
_SHOWN_GROUPS = 4


@dataclass(slots=True)
class _Grant:
    granted_at: float
    level: int
    account: str
    room: float


class RecentGrants:
    """The latest admissions of one service at this node, at most 512."""

    __slots__ = ('_grants',)

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque(maxlen=_MAX_GRANTS)

    def add(self, level: int, account: str, room: float, now: float) -> None:
        """Remember an admission."""
        self._grants.append(_Grant(now, level, account, room))

    def describe_since(self, start: float) -> list[dict[str, Any]]:
        """Return the admissions from a time on, by level and account.

        The groups with the most room come first; further ones are left out.
        """
        groups: dict[tuple[int, str], dict[str, Any]] = {}
        for grant in reversed(self._grants):
            if grant.granted_at < start:
                break
            group = groups.setdefault(
                (grant.level, grant.account),
                {
                    'level': grant.level,
                    'account': grant.account,
                    'count': 0,
                    'room': 0.0,
                },
            )
            group['count'] += 1
            group['room'] += grant.room
        largest = sorted(groups.values(), key=_get_room, reverse=True)
        return largest[:_SHOWN_GROUPS]


def _get_room(group: dict[str, Any]) -> float:
    return float(group['room'])
