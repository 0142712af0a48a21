"""How long the links between endpoints take, from the hops that engines report.

A hop also looks slow while one of its ends is busy for a moment. A link counts
as slow only if several reports in a row say so, and not for ever: an avoided link
reports nothing, and would never be used again.
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

    `lapses_at` is when they are too old to be believed, on the node's clock.
    """

    __slots__ = ('expires_at', 'hops_ms')

    def __init__(self) -> None:
        self.hops_ms: deque[float] = deque(maxlen=_MIN_SAMPLES)
        self.expires_at = 0.0


class LinkLatencies:
    """Measured links by source and target endpoint."""

    __slots__ = ('_samples',)

    def __init__(self) -> None:
        self._samples: dict[Link, LinkSamples] = {}

    def observe(self, link: Link, hop_ms: float, now: float) -> None:
        """Take a report."""
        samples = self._samples.get(link)
        if samples is None or samples.expires_at <= now:
            samples = LinkSamples()
            self._samples[link] = samples
        samples.hops_ms.append(hop_ms)
        samples.expires_at = now + _SAMPLE_TTL_S

    def estimate_ms(self, link: Link, now: float) -> float | None:
        """Return what a link takes; none if that is not known well enough."""
        samples = self._samples.get(link)
        if samples is None or samples.expires_at <= now:
            return None
        if len(samples.hops_ms) < _MIN_SAMPLES:
            return None
        return min(samples.hops_ms)

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget the links of all other endpoints."""
        self._samples = {
            link: samples
            for link, samples in self._samples.items()
            if link[0] in endpoints and link[1] in endpoints
        }
