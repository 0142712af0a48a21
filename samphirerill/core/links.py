"""Latencies of links between endpoints, from the hops that engines report.

A hop also takes long while one of its endpoints is briefly busy. A link counts
as slow only if several reports in a row say so, and only for a limited time:
an avoided link gets no new reports and would never be used again.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

_MIN_SAMPLES = 3
_SAMPLE_TTL_S = 30.0

Link = tuple[str, str]


class LinkSamples:
    """The latest reports of one link, in milliseconds.

    `expires_at` is when they become too old to use, on the node's clock.
    """

    __slots__ = ('expires_at', 'hops_ms')

    def __init__(self) -> None:
        self.hops_ms: deque[float] = deque(maxlen=_MIN_SAMPLES)
        self.expires_at = 0.0


class LinkLatencies:
    """Measured latencies by source and target endpoint."""

    __slots__ = ('_samples',)

    def __init__(self) -> None:
        self._samples: dict[Link, LinkSamples] = {}

    def observe(self, link: Link, hop_ms: float, now: float) -> None:
        """Record the reported time of one hop."""
        samples = self._samples.get(link)
        if samples is None or samples.expires_at <= now:
            samples = LinkSamples()
            self._samples[link] = samples
        samples.hops_ms.append(hop_ms)
        samples.expires_at = now + _SAMPLE_TTL_S

    def estimate_ms(self, link: Link, now: float) -> float | None:
        """Return a link's latency, or None without enough recent reports."""
        samples = self._samples.get(link)
        if samples is None or samples.expires_at <= now:
            return None
        if len(samples.hops_ms) < _MIN_SAMPLES:
            return None
        return min(samples.hops_ms)

    def retain(self, endpoints: Collection[str]) -> None:
        """Remove the links of all other endpoints."""
        self._samples = {
            link: samples
            for link, samples in self._samples.items()
            if link[0] in endpoints and link[1] in endpoints
        }
