"""Permits of this node to send requests to a replica that limits its rate."""

from __future__ import annotations

from collections import deque
from itertools import repeat

# How long a permit may be used. Whoever grants counts it as used, so that it
# must not be kept for a burst.
VALIDITY_S = 0.5
# A permit that is overdue is expected after this.
_OVERDUE_S = 0.05


class Permits:
    """The permits of this node for one replica.

    Attributes
    ----------
    expected_at : float
        When the next permit is expected, on the loop's clock.
    interval_s : float
        The expected time between two permits.
    used : int
        How many permits were used.
    """

    __slots__ = ('_expirations', 'expected_at', 'interval_s', 'used')

    def __init__(self) -> None:
        self._expirations: deque[float] = deque()
        self.expected_at = 0.0
        self.interval_s = 0.0
        self.used = 0

    def add(self, count: int, now: float) -> None:
        """Add permits that were granted now."""
        self._expirations.extend(repeat(now + VALIDITY_S, count))

    def count(self, now: float) -> int:
        """Return how many permits may be used."""
        return sum(until > now for until in self._expirations)

    def take(self, now: float) -> bool:
        """Use the permit that expires first; return whether there is one."""
        while self._expirations:
            if self._expirations.popleft() > now:
                self.used += 1
                return True
        return False

    def drop(self, now: float) -> bool:
        """Give up the permit that expires last; return whether there was one."""
        return bool(self._expirations) and self._expirations.pop() > now

    def predict(self, now: float, ahead: float = 0) -> float:
        """Return when a request may be sent that `ahead` others precede."""
        missing = ahead + 1 - self.count(now)
        if missing <= 0:
            return now
        first_at = max(self.expected_at, now + _OVERDUE_S)
        return first_at + (missing - 1) * self.interval_s
