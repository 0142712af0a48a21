"""The share of repeats that all nodes together may make.

Each node keeps to its part of the whole without asking anybody: its own
requests earn it a fraction of a repeat each, and the slack is divided by the
number of nodes. When many endpoints fail at once, repeats stay that fraction
of the load instead of doubling it.
"""

from __future__ import annotations

from collections import deque

# Kept back from the agreed share: nodes learn of each other with a lag.
_USE = 0.85
# A client whose stream has begun has more to lose than one that was refused.
_NEW_SHARE = 0.6


class RepeatBudget:
    """Repeats of one service within a sliding window.

    Parameters
    ----------
    ratio, slack : float
        Repeats allowed for each request, and beyond that, for all nodes.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = ('_first', '_ratio', '_repeats', '_slack', '_window_s')

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self._first: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.change(ratio, slack, window_s)

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Allow another share from now on."""
        self._ratio = ratio * _USE
        self._slack = slack * _USE
        self._window_s = window_s

    def note_first(self, now: float) -> None:
        """Count a request's first send."""
        self._first.append(now)
        self._forget(now)

    def has_left(self, now: float, nodes: int, *, is_urgent: bool) -> bool:
        """Return whether a repeat is left.

        Parameters
        ----------
        now : float
            On the loop's clock.
        nodes : int
            How many nodes share the slack.
        is_urgent : bool
            The repeat goes on with an answer that has begun; for these the
            last part is kept.
        """
        self._forget(now)
        allowed = self._ratio * len(self._first) + self._slack / max(1, nodes)
        if not is_urgent:
            allowed *= _NEW_SHARE
        return len(self._repeats) < allowed

    def spend(self, now: float, nodes: int, *, is_urgent: bool = False) -> bool:
        """Take one repeat; return whether one was left."""
        if not self.has_left(now, nodes, is_urgent=is_urgent):
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._first, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
