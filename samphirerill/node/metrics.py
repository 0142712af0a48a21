"""Counts and histograms of one node.

Histograms are kept for each priority, not for each account or endpoint: at
1,100 accounts and 770 replicas the latter would take hundreds of megabytes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Mapping

_HIGHEST_US = 600_000_000
_DIGITS = 2
_US = 1_000_000
_QUANTILES = (50, 95, 99)
FIRST_TOKEN = 'first_token'
TOKEN_GAP = 'token_gap'
WHOLE = 'whole_answer'


class Metrics:
    """Histograms of times in microseconds, by name and priority."""

    __slots__ = ('_histograms',)

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def record(self, name: str, priority: str, seconds: float) -> None:
        """Record one duration."""
        place = (name, priority)
        found = self._histograms.get(place)
        if found is None:
            found = HdrHistogram(1, _HIGHEST_US, _DIGITS)
            self._histograms[place] = found
        found.record_value(max(1, int(seconds * _US)))

    def describe(self) -> dict[str, Any]:
        """Return quantiles in seconds for the state dump."""
        return {
            f'{name}.{priority}': {
                'count': found.get_total_count(),
                **{
                    f'p{quantile}_s': _read_quantile(found, quantile)
                    for quantile in _QUANTILES
                },
            }
            for (name, priority), found in self._histograms.items()
        }

    def format_prometheus(self, counters: Mapping[str, int]) -> str:
        """Return all figures in the Prometheus text form."""
        lines = [
            f'samphirerill_events_total{{kind="{name}"}} {count}'
            for name, count in sorted(counters.items())
        ]
        for (name, priority), found in sorted(self._histograms.items()):
            for quantile in _QUANTILES:
                lines.append(
                    f'samphirerill_{name}_seconds{{priority="{priority}",'
                    f'quantile="{quantile / 100}"}} '
                    f'{_read_quantile(found, quantile)}',
                )
            lines.append(
                f'samphirerill_{name}_seconds_count{{priority="{priority}"}} '
                f'{found.get_total_count()}',
            )
        return '\n'.join([*lines, ''])


def _read_quantile(found: HdrHistogram, quantile: int) -> float:
    return float(found.get_value_at_percentile(quantile)) / _US
