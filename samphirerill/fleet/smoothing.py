"""A mean and a deviation, smoothed as transports smooth round trips."""

from __future__ import annotations

from dataclasses import dataclass

_MEAN_WEIGHT = 0.125
_DEVIATION_WEIGHT = 0.25


@dataclass(slots=True)
class Smoothed:
    """What some time usually takes, in seconds; 0 before the first one."""

    mean_s: float = 0.0
    deviation_s: float = 0.0

    def note(self, took_s: float) -> None:
        """Take one more time."""
        if not self.mean_s:
            self.mean_s = took_s
            self.deviation_s = took_s / 2
            return
        error_s = took_s - self.mean_s
        self.mean_s += _MEAN_WEIGHT * error_s
        self.deviation_s += _DEVIATION_WEIGHT * (
            abs(error_s) - self.deviation_s
        )

    def find_longest(self, deviations: float) -> float:
        """Return what is hardly ever longer: so many deviations above."""
        return self.mean_s + deviations * self.deviation_s
