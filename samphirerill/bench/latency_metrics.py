"""Latency metrics from the results of requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.bench.http_client import RequestResult

_MAX_DURATION_US = 600_000_000
_US_PER_S = 1_000_000
_SIGNIFICANT_DIGITS = 3
_P95 = 95


def compute_p95_s(seconds: Iterable[float]) -> float:
    """Return the 95th percentile of durations, 0 if there are none."""
    histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
    for duration in seconds:
        histogram.record_value(max(1, int(duration * _US_PER_S)))
    return float(histogram.get_value_at_percentile(_P95)) / _US_PER_S


def list_token_gaps(results: list[RequestResult]) -> list[float]:
    """Return the seconds between consecutive tokens of all answers."""
    return [
        later - earlier
        for result in results
        for earlier, later in zip(
            result.token_times, result.token_times[1:], strict=False
        )
    ]


def list_interruptions(
    results: list[RequestResult], fault_at: float, min_gap_s: float
) -> list[float]:
    """Return the interruptions of running answers by a fault, in seconds.

    For each answer that had started at the time of the fault, this is its
    longest gap between two tokens after it, if longer than `min_gap_s`.
    """
    interruptions = []
    for result in results:
        times = result.token_times
        gaps = [
            later - earlier
            for earlier, later in zip(times, times[1:], strict=False)
            if later >= fault_at
        ]
        longest = max(gaps, default=0)
        if times and times[0] < fault_at and longest > min_gap_s:
            interruptions.append(longest)
    return interruptions
