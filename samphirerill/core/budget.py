"""Retry budget that keeps retries from amplifying an outage.

A token bucket: each first attempt deposits a fraction of a retry, each retry
withdraws one. When many endpoints fail at once, retries stay at that fraction
of the load instead of multiplying it and keeping the endpoints overloaded
after the original fault is gone.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class RetryBudget:
    """Retries available to one route, at most `max_balance`."""

    ratio: float
    max_balance: float
    balance: float

    def deposit(self) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        self.balance = min(self.max_balance, self.balance + self.ratio)

    def refund(self) -> None:
        """Return a retry that was withdrawn and for which nothing was sent."""
        self.balance = min(self.max_balance, self.balance + 1)

    def has_retry(self) -> bool:
        """Return whether a retry is available."""
        return self.balance >= 1

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return whether one was available."""
        if not self.has_retry():
            return False
        self.balance -= 1
        return True
