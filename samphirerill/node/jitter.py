"""Spread waits, so that nodes which start together don't act together."""

from __future__ import annotations

import random

USUAL = 0.2
WIDE = 0.5


def spread(seconds: float, share: float = USUAL) -> float:
    """Return a time up to a share shorter or longer, at random."""
    return seconds * random.uniform(1 - share, 1 + share)  # noqa: S311
