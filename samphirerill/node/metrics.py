"""Latency histograms of a node and their export.

There is one histogram per priority, not per account or endpoint, which would
take hundreds of megabytes in a large deployment.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from samphirerill.node.admission_observer import AdmissionObserver

if TYPE_CHECKING:
    from collections.abc import Mapping

_MAX_DURATION_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_S = 1_000_000
_QUANTILES = (50, 95, 99)
FIRST_TOKEN = 'first_token'
TOKEN_INTERVAL = 'token_gap'
RESPONSE_TIME = 'whole_answer'


class Metrics:
    """Histograms of durations in microseconds, by name and priority.

    Attributes
    ----------
    admissions : AdmissionObserver
        Records of requests that waited for capacity or were rejected.
    """

    __slots__ = ('_histograms', 'admissions')

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}
        self.admissions = AdmissionObserver(Random())  # noqa: S311

    def record(self, name: str, priority: str, seconds: float) -> None:
        """Add a duration to its histogram."""
        histogram_key = (name, priority)
        histogram = self._histograms.get(histogram_key)
        if histogram is None:
            histogram = HdrHistogram(1, _MAX_DURATION_US, _SIGNIFICANT_DIGITS)
            self._histograms[histogram_key] = histogram
        histogram.record_value(max(1, int(seconds * _US_PER_S)))

    def describe(self) -> dict[str, Any]:
        """Return quantiles in seconds for the state dump."""
        return {
            f'{name}.{priority}': {
                'count': histogram.get_total_count(),
                **{
                    f'p{quantile}_s': _get_quantile_s(histogram, quantile)
                    for quantile in _QUANTILES
                },
            }
            for (name, priority), histogram in self._histograms.items()
        }

    def format_prometheus(self, counters: Mapping[str, int]) -> str:
        """Return counters and quantiles in the Prometheus text format."""
        lines = [
            f'samphirerill_events_total{{kind="{name}"}} {count}'
            for name, count in sorted(counters.items())
        ]
        for (name, priority), histogram in sorted(self._histograms.items()):
            for quantile in _QUANTILES:
                lines.append(
                    f'samphirerill_{name}_seconds{{priority="{priority}",'
                    f'quantile="{quantile / 100}"}} '
                    f'{_get_quantile_s(histogram, quantile)}',
                )
            lines.append(
                f'samphirerill_{name}_seconds_count{{priority="{priority}"}} '
                f'{histogram.get_total_count()}',
            )
        return '\n'.join([*lines, ''])


def _get_quantile_s(histogram: HdrHistogram, quantile: int) -> float:
    return float(histogram.get_value_at_percentile(quantile)) / _US_PER_S
