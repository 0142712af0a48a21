"""How long the links between endpoints take, from the hops that engines report.

A hop also looks slow while one of its ends is busy for a moment. A link counts
as slow only if several reports in a row say so, and not for ever: an avoided link
reports nothing, and would never be used again.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

_ENOUGH_REPORTS = 3
_BELIEVED_S = 30.0

Link = tuple[str, str]


class LinkTimes:
    """The latest reports of one link, in milliseconds.

    `lapses_at` is when they are too old to be believed, on the node's clock.
    """

    __slots__ = ('lapses_at', 'reports')

    def __init__(self) -> None:
        self.reports: deque[float] = deque(maxlen=_ENOUGH_REPORTS)
        self.lapses_at = 0.0


class LinkMap:
    """Measured links by source and target endpoint."""

    __slots__ = ('_known',)

    def __init__(self) -> None:
        self._known: dict[Link, LinkTimes] = {}

    def observe(self, link: Link, hop_ms: float, now: float) -> None:
        """Take a report."""
        known = self._known.get(link)
        if known is None or known.lapses_at <= now:
            known = LinkTimes()
            self._known[link] = known
        known.reports.append(hop_ms)
        known.lapses_at = now + _BELIEVED_S

    def find_ms(self, link: Link, now: float) -> float | None:
        """Return what a link takes; none if that is not known well enough."""
        known = self._known.get(link)
        if known is None or known.lapses_at <= now:
            return None
        if len(known.reports) < _ENOUGH_REPORTS:
            return None
        return min(known.reports)

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget the links of all other endpoints."""
        self._known = {
            link: known
            for link, known in self._known.items()
            if link[0] in endpoints and link[1] in endpoints
        }
