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
    max_balance: float
    balance: float

    def deposit(self) -> None:
        """Add what one first attempt earns."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def try_withdraw(self) -> bool:
        """Take one retry; return whether one was left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True
