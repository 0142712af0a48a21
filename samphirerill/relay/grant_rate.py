"""How fast the queue of this node moves."""

from __future__ import annotations

# Smoothing factor for the interval between grants to queued requests.
_SMOOTHING = 0.2
_MAX_INTERVAL_S = 1.0


class GrantRate:
    """The interval between grants to queued requests, smoothed.

    Attributes
    ----------
    interval_s : float
        The interval; 0 before the first grant.
    """

    __slots__ = ('_last_at', 'interval_s')

    def __init__(self) -> None:
        self.interval_s = 0.0
        self._last_at = 0.0

    def note_first(self, now: float) -> None:
        """Record that a request begins to wait where none did."""
        self._last_at = now

    def note_grant(self, now: float) -> None:
        """Record a grant."""
        interval_s = min(_MAX_INTERVAL_S, now - self._last_at)
        self.interval_s += _SMOOTHING * (interval_s - self.interval_s)
        self._last_at = now
