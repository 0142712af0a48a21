"""Event loop with simulated time."""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs scheduled callbacks in the order of their simulated time in seconds.

    A plain heap, because general frameworks for discrete-event simulation are
    several times slower at the number of events of a long scenario.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def call_at(self, at: float, callback: Callable[[], None]) -> None:
        """Schedule a callback; times in the past mean now."""
        entry = (max(at, self.now), next(self._sequence), callback)
        heapq.heappush(self._heap, entry)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        self.call_at(self.now + delay_s, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a time, and advance to it."""
        while self._heap and self._heap[0][0] <= until:
            at, _, callback = heapq.heappop(self._heap)
            self.now = at
            callback()
        self.now = until
