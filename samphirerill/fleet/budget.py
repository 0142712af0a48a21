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
_USABLE_SHARE = 0.85
# A client whose request ran has more to lose than one that was refused.
_NON_URGENT_SHARE = 0.6


# What another node told of its use is believed for so long.
_PEER_REPORT_TTL_S = 4.0


@dataclass(slots=True, frozen=True)
class Use:
    """Requests and repeats in the window, and streams under way now."""

    requests: int = 0
    repeats: int = 0
    streams: int = 0


class PeerUsage:
    """What the other nodes told of their use."""

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, Use]] = {}

    def hear(self, peer: str, usage: Use, now: float) -> None:
        """Replace what a node, or a data centre, told before."""
        self._reports[peer] = (now + _PEER_REPORT_TTL_S, usage)

    def forget(self, peer: str) -> None:
        """Drop what was told under a name: it is told under another now."""
        self._reports.pop(peer, None)

    def sum_up(self, now: float) -> Use:
        """Return the use of all that were heard of lately."""
        recent = [
            usage for until, usage in self._reports.values() if until > now
        ]
        return sum_usage(recent)


def sum_usage(usages: list[Use]) -> Use:
    """Return what several nodes use together."""
    return Use(
        sum(map(attrgetter('requests'), usages)),
        sum(map(attrgetter('repeats'), usages)),
        sum(map(attrgetter('streams'), usages)),
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
        '_request_times',
        '_ratio',
        '_retry_times',
        '_slack',
        '_window_s',
        'others',
        'streams',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.others = PeerUsage()
        # Streams of this node that are under way.
        self.streams = 0
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        self.change(ratio, slack, window_s)

    def change(self, ratio: float, slack: float, window_s: float) -> None:
        """Allow another share from now on."""
        self._ratio = ratio * _USABLE_SHARE
        self._slack = slack * _USABLE_SHARE
        self._window_s = window_s

    def note_first(self, now: float) -> None:
        """Count a request's first send."""
        self._request_times.append(now)
        self._drop_expired(now)

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
        self._drop_expired(now)
        allowed = self._ratio * len(self._request_times) + self._slack / max(
            1, nodes
        )
        if not is_urgent:
            allowed *= _NON_URGENT_SHARE
        if len(self._retry_times) < allowed:
            return True
        return is_urgent and self._can_borrow(now)

    def find_use(self, now: float) -> Use:
        """Return what this node uses."""
        self._drop_expired(now)
        return Use(
            len(self._request_times), len(self._retry_times), self.streams
        )

    def spend(self, now: float, nodes: int, *, is_urgent: bool = False) -> bool:
        """Take one repeat; return whether one was left."""
        if not self.has_left(now, nodes, is_urgent=is_urgent):
            return False
        self._retry_times.append(now)
        return True

    def give_back(self) -> None:
        """A repeat that was taken was not sent after all."""
        if self._retry_times:
            self._retry_times.pop()

    def _can_borrow(self, now: float) -> bool:
        """Return whether the whole lasts if every stream were sent again."""
        others = self.others.sum_up(now)
        if not others.requests:
            return False
        usage = sum_usage([others, self.find_use(now)])
        allowed = self._ratio * usage.requests + self._slack
        return usage.repeats + usage.streams < allowed

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
