"""Smoothed mean and deviation of durations, as in TCP's RTT estimator."""

from __future__ import annotations

from dataclasses import dataclass

_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25


@dataclass(slots=True)
class SmoothedDuration:
    """Smoothed duration in seconds; 0 before the first sample."""

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def add_sample(self, duration_s: float) -> None:
        """Add a sample."""
        if not self.mean_s:
            self.mean_s = duration_s
            self.deviation_s = duration_s / 2
            return
        error_s = duration_s - self.mean_s
        self.mean_s += _MEAN_WEIGHT * error_s
        self.deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self.deviation_s
        )

    def get_upper_bound(self, deviations: float) -> float:
        """Return the mean plus so many deviations, as an upper bound."""
        return self.mean_s + deviations * self.deviation_s
