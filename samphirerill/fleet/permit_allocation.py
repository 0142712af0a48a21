"""Divide the request rate of one replica among the nodes that want to send.

One node grants the permits for a replica: to the nodes that wait for one, in
turn, at the rate that the replica named. A permit counts as used once it is
granted. Shares of equal size, without such a node, would leave most of a low
rate unused: at 1 a second, each of 200 nodes could send every 200 s.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Permits that nobody asked for are kept for a burst of this length.
_BURST_S = 0.1


@dataclass(slots=True)
class _Waiting:
    """A node that waits for permits, until a deadline."""

    count: int
    until: float


class PermitAllocation:
    """Grants the permits for one replica.

    Parameters
    ----------
    rate_per_s : float
        Permits a second; above 0.
    starts_at : float
        When permits begin to accrue, on the loop's clock.
    accrued : float
        The part of a permit that has accrued before, from 0 to 1.
    """

    __slots__ = ('_accrued', '_rate_per_s', '_updated_at', '_waiting')

    def __init__(
        self, rate_per_s: float, starts_at: float, accrued: float = 0
    ) -> None:
        self._rate_per_s = rate_per_s
        self._accrued = accrued
        self._updated_at = starts_at
        self._waiting: OrderedDict[str, _Waiting] = OrderedDict()

    def change_rate(self, rate_per_s: float, now: float) -> None:
        """Grant at another rate from now on."""
        self._accrue(now)
        self._rate_per_s = rate_per_s

    def request(self, node: str, count: int, until: float) -> None:
        """Record how many permits a node waits for, until a deadline.

        A node that waits already keeps its turn; a count of 0 ends its wait.
        """
        if count:
            waiting = self._waiting.setdefault(node, _Waiting(count, until))
            waiting.count = count
            waiting.until = until
        else:
            self._waiting.pop(node, None)

    def grant(self, now: float) -> dict[str, int]:
        """Return how many permits each node gets now."""
        self._accrue(now)
        self._remove_expired(now)
        granted: dict[str, int] = {}
        while self._accrued >= 1 and self._waiting:
            node, waiting = self._waiting.popitem(last=False)
            self._accrued -= 1
            granted[node] = granted.get(node, 0) + 1
            waiting.count -= 1
            if waiting.count:
                self._waiting[node] = waiting
        return granted

    def take_back(self, count: int, now: float) -> None:
        """Accept permits that a node did not use."""
        self._accrue(now)
        self._accrued = min(self._find_capacity(), self._accrued + count)

    def find_next_grant(self) -> float:
        """Return when the next permit is granted; infinity if nobody waits."""
        if not self._waiting:
            return float('inf')
        return self._updated_at + max(0, 1 - self._accrued) / self._rate_per_s

    def predict_grant(self, node: str) -> float:
        """Return when a node gets its next permit, if it asks now."""
        nodes = list(self._waiting)
        position = nodes.index(node) if node in nodes else len(nodes)
        missing = max(0, position + 1 - self._accrued)
        return self._updated_at + missing / self._rate_per_s

    def predict_interval_s(self) -> float:
        """Return the time between two permits of one node."""
        return max(1, len(self._waiting)) / self._rate_per_s

    def _accrue(self, now: float) -> None:
        if now <= self._updated_at:
            return
        accrued = self._accrued + (now - self._updated_at) * self._rate_per_s
        self._accrued = min(self._find_capacity(), accrued)
        self._updated_at = now

    def _find_capacity(self) -> float:
        return max(1, self._rate_per_s * _BURST_S)

    def _remove_expired(self, now: float) -> None:
        for node, waiting in tuple(self._waiting.items()):
            if waiting.until <= now:
                self._waiting.pop(node)
