"""Random jitter of intervals, so that nodes do not act in lockstep."""

from __future__ import annotations

import random

DEFAULT_JITTER = 0.2
WIDE_JITTER = 0.5


def add_jitter(seconds: float, fraction: float = DEFAULT_JITTER) -> float:
    """Return a duration randomly changed by up to a fraction of it."""
    return seconds * random.uniform(1 - fraction, 1 + fraction)  # noqa: S311
