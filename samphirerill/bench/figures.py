"""Figures out of what callers got."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.bench.calls import Got

_HIGHEST_US = 600_000_000
_US = 1_000_000
_DIGITS = 3
P95 = 95


def read_p95_s(seconds: Iterable[float]) -> float:
    """Return the 95th percentile; 0 of nothing."""
    histogram = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * _US)))
    return float(histogram.get_value_at_percentile(P95)) / _US


def list_gaps(found: list[Got]) -> list[float]:
    """Return the seconds between neighbouring tokens of all answers."""
    return [
        later - earlier
        for got in found
        for earlier, later in zip(
            got.token_times, got.token_times[1:], strict=False
        )
    ]


def list_recoveries(found: list[Got], at: float, least_s: float) -> list[float]:
    """Return the gaps that a fault at a time left in running answers.

    A recovery runs from the last token before the fault was felt to the
    first after it; `least_s` tells it from an ordinary gap.
    """
    recoveries = []
    for got in found:
        times = got.token_times
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
            if later >= at
        ]
        worst = max(gaps, default=0)
        if times and times[0] < at and worst > least_s:
            recoveries.append(worst)
    return recoveries
