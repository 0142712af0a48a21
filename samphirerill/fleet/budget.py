"""The share of repeats that all nodes together may make.

Each node keeps to its part of the whole without asking anybody: its own
requests earn it a fraction of a repeat each, and the slack is divided by the
number of nodes. When many endpoints fail at once, repeats stay that fraction
of the load instead of doubling it.

Nodes also tell each other what they use. A request whose run broke off may take
from what the others leave, as long as the whole would last even if every stream of
all nodes were sent once more at this moment. Answers to: 78 nodes, each with
four repeats of its own, where one endpoint lost cut 103 streams of a few nodes
while 300 repeats were left.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from operator import attrgetter

# Kept back from the agreed share: nodes learn of each other with a lag.
_USE = 0.85
# A client whose request ran has more to lose than one that was refused.
_NEW_SHARE = 0.6


# What another node told of its use is believed for so long.
_BELIEVED_S = 4.0


@dataclass(slots=True, frozen=True)
class Use:
    """Requests and repeats in the window, and streams under way now."""

    requests: int = 0
    repeats: int = 0
    streams: int = 0


class OthersUse:
    """What the other nodes told of their use."""

    __slots__ = ('_told',)

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, Use]] = {}

    def hear(self, peer: str, use: Use, now: float) -> None:
        """Replace what a node, or a data centre, told before."""
        self._told[peer] = (now + _BELIEVED_S, use)

    def forget(self, peer: str) -> None:
        """Drop what was told under a name: it is told under another now."""
        self._told.pop(peer, None)

    def sum_up(self, now: float) -> Use:
        """Return the use of all that were heard of lately."""
        lately = [use for until, use in self._told.values() if until > now]
        return sum_uses(lately)


def sum_uses(uses: list[Use]) -> Use:
    """Return what several nodes use together."""
    return Use(
        sum(map(attrgetter('requests'), uses)),
        sum(map(attrgetter('repeats'), uses)),
        sum(map(attrgetter('streams'), uses)),
    )


class RepeatBudget:
    """Repeats of one service within a sliding window.

    Parameters
    ----------
    ratio, slack : float
        Repeats allowed for each request, and beyond that, for all nodes.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = (
        '_first',
        '_ratio',
        '_repeats',
        '_slack',
        '_window_s',
        'others',
        'streams',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.others = OthersUse()
        # Streams of this node that are under way.
        self.streams = 0
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
            The request ran and would fail without the repeat; for these the
            last part is kept.
        """
        self._forget(now)
        allowed = self._ratio * len(self._first) + self._slack / max(1, nodes)
        if not is_urgent:
            allowed *= _NEW_SHARE
        if len(self._repeats) < allowed:
            return True
        return is_urgent and self._may_borrow(now)

    def find_use(self, now: float) -> Use:
        """Return what this node uses."""
        self._forget(now)
        return Use(len(self._first), len(self._repeats), self.streams)

    def spend(self, now: float, nodes: int, *, is_urgent: bool = False) -> bool:
        """Take one repeat; return whether one was left."""
        if not self.has_left(now, nodes, is_urgent=is_urgent):
            return False
        self._repeats.append(now)
        return True

    def give_back(self) -> None:
        """A repeat that was taken was not sent after all."""
        if self._repeats:
            self._repeats.pop()

    def _may_borrow(self, now: float) -> bool:
        """Return whether the whole lasts if every stream were sent again."""
        others = self.others.sum_up(now)
        if not others.requests:
            return False
        use = sum_uses([others, self.find_use(now)])
        allowed = self._ratio * use.requests + self._slack
        return use.repeats + use.streams < allowed

    def _forget(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._first, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
