"""Points in modelled time and what happens there."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Agenda:
    """What happens next; time is in seconds and only goes forward.

    A heap of the standard library: a pass of an engine is one entry, so that a
    day of 40 replicas has some 200,000, which a general framework of processes
    takes several times as long for.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._entries: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def call_at(self, at: float, action: Callable[[], None]) -> None:
        """Let something happen at a point in time."""
        entry = (max(at, self.now), next(self._order), action)
        heapq.heappush(self._entries, entry)

    def call_later(self, after_s: float, action: Callable[[], None]) -> None:
        """Let something happen after a while."""
        self.call_at(self.now + after_s, action)

    def run(self, until: float) -> None:
        """Let everything happen up to a point in time."""
        while self._entries and self._entries[0][0] <= until:
            at, _, action = heapq.heappop(self._entries)
            self.now = at
            action()
        self.now = until
