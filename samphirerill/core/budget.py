"""The retry budget that keeps retries from multiplying an outage.

Each first attempt earns a fraction of a retry; each retry spends one. When
many endpoints fail at once, retries stop at that fraction of the load instead
of doubling it, which one would notice as an outage that outlives its cause.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Retries left for one route; never above `ceiling`."""

    ratio: float
    ceiling: float
    left: float

    def earn(self) -> None:
        """Add what one first attempt earns."""
        self.left = min(self.ceiling, self.left + self.ratio)

    def spend(self) -> bool:
        """Take one retry; return whether one was left."""
        if self.left < 1:
            return False
        self.left -= 1
        return True
