"""Rate limit for log lines that would otherwise come with each request."""

from __future__ import annotations

_WINDOW_S = 1.0


class LogRate:
    """Limits log lines to a number per second and counts the others.

    Parameters
    ----------
    lines_per_s : int
        The number of lines per second.
    """

    __slots__ = ('_lines_per_s', '_remaining', '_suppressed', '_window_end')

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._remaining = lines_per_s
        self._suppressed = 0
        self._window_end = 0.0

    def may_log(self, now: float, reserved: int = 0) -> bool:
        """Return whether to log a line, and count it either way.

        Parameters
        ----------
        now : float
            The present time, in seconds.
        reserved : int
            How many lines per second to leave to more important events.
        """
        if now >= self._window_end:
            self._window_end = now + _WINDOW_S
            self._remaining = self._lines_per_s
        if self._remaining <= reserved:
            self._suppressed += 1
            return False
        self._remaining -= 1
        return True

    def take_suppressed(self) -> int:
        """Return how many lines were not logged since the last call."""
        suppressed = self._suppressed
        self._suppressed = 0
        return suppressed
