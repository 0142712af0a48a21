"""Retry budget that all nodes share without coordination.

Each request earns its node a fraction of a retry, and a fixed reserve is
divided by the number of nodes. When many endpoints fail at once, retries stay
below that fraction of the load instead of doubling it.

Nodes also report their usage to each other. A request whose run was interrupted
may exceed its node's share if the global budget would still cover a retry of
every active stream on all nodes. Otherwise one lost endpoint could exhaust the
share of the few nodes whose streams it served while the other nodes' shares
stay unused. What a node has spent beyond its share is deducted from the shares of
the others.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil
from operator import attrgetter

# Headroom, since nodes learn of each other's retries with a delay.
_USABLE_SHARE = 0.85
# The rest is reserved for requests that have run: failing one of those costs
# its client more than a refusal.
_NON_URGENT_SHARE = 0.6


# How long another node's usage report is valid.
_PEER_REPORT_TTL_S = 4.0


@dataclass(slots=True, frozen=True)
class RetryUsage:
    """Requests and retries in the window, and streams active now.

    `nodes` is how many nodes the counts are of.
    """

    requests: int = 0
    retries: int = 0
    active_streams: int = 0
    nodes: int = 1


class PeerUsage:
    """Retry usage as reported by the other nodes."""

    __slots__ = ('_reports',)

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, RetryUsage]] = {}

    def update(self, peer: str, usage: RetryUsage, now: float) -> None:
        """Replace the last report of a node or of a whole data centre."""
        self._reports[peer] = (now + _PEER_REPORT_TTL_S, usage)

    def list_valid(self, now: float) -> list[RetryUsage]:
        """Return the reports that are still valid."""
        return [usage for until, usage in self._reports.values() if until > now]

    def remove(self, peer: str) -> None:
        """Drop a peer's report: its usage is now reported under another name."""
        self._reports.pop(peer, None)

    def find_requests(self, peer: str, now: float) -> int | None:
        """Return the requests in a valid report; none without one."""
        until, usage = self._reports.get(peer, (now, RetryUsage()))
        return usage.requests if until > now else None

    def get_total(self, now: float) -> RetryUsage:
        """Return the total usage in all reports that are still valid."""
        return sum_usage(self.list_valid(now))


def sum_usage(usages: list[RetryUsage]) -> RetryUsage:
    """Return the sum of several usages."""
    return RetryUsage(
        sum(map(attrgetter('requests'), usages)),
        sum(map(attrgetter('retries'), usages)),
        sum(map(attrgetter('active_streams'), usages)),
        sum(map(attrgetter('nodes'), usages)),
    )


class RetryBudget:
    """Retries of one service within a sliding window.

    Parameters
    ----------
    ratio, slack : float
        Retries allowed for each request, and a fixed number on top; both for
        all nodes together.
    window_s : float
        Length of the window in seconds.
    """

    __slots__ = (
        '_request_times',
        '_ratio',
        '_retry_times',
        '_slack',
        '_window_s',
        'peers',
        'active_streams',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.peers = PeerUsage()
        # Active streams of this node.
        self.active_streams = 0
        self._request_times: deque[float] = deque()
        self._retry_times: deque[float] = deque()
        self.set_limits(ratio, slack, window_s)

    def set_limits(self, ratio: float, slack: float, window_s: float) -> None:
        """Replace the limits."""
        self._ratio = ratio * _USABLE_SHARE
        self._slack = slack * _USABLE_SHARE
        self._window_s = window_s

    def note_request(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._request_times.append(now)
        self._drop_expired(now)

    def has_remaining(self, now: float, nodes: int, *, is_urgent: bool) -> bool:
        """Return whether a retry is available.

        Parameters
        ----------
        now : float
            On the loop's clock.
        nodes : int
            How many nodes share the slack.
        is_urgent : bool
            The request has run and would fail without the retry. Urgent
            requests may use the whole budget, and what other nodes leave
            unused.
        """
        self._drop_expired(now)
        allowed = self._compute_share(now, nodes)
        if not is_urgent:
            allowed *= _NON_URGENT_SHARE
        if len(self._retry_times) < allowed:
            return True
        return is_urgent and self._can_borrow(now)

    def count_remaining(self, now: float, nodes: int) -> int:
        """Return how many retries are left of this node's share."""
        self._drop_expired(now)
        left = self._compute_share(now, nodes) - len(self._retry_times)
        return max(0, ceil(left))

    def get_usage(self, now: float) -> RetryUsage:
        """Return this node's usage."""
        self._drop_expired(now)
        return RetryUsage(
            len(self._request_times),
            len(self._retry_times),
            self.active_streams,
        )

    def try_spend(
        self, now: float, nodes: int, *, is_urgent: bool = False
    ) -> bool:
        """Consume one retry; return whether one was available."""
        if not self.has_remaining(now, nodes, is_urgent=is_urgent):
            return False
        self._retry_times.append(now)
        return True

    def refund(self) -> None:
        """Refund a retry that was consumed but not sent."""
        if self._retry_times:
            self._retry_times.pop()

    def _compute_share(self, now: float, nodes: int) -> float:
        """Return how many retries this node may use without the others.

        Nodes that have not exceeded their shares give up, in proportion to them,
        what the others have borrowed.
        """
        share = self._compute_earned(self.get_usage(now), nodes)
        borrowed = 0
        lending = share
        for usage in self.peers.list_valid(now):
            other_share = self._compute_earned(usage, nodes)
            excess = usage.retries - ceil(other_share)
            if excess > 0:
                borrowed += excess
            else:
                lending += other_share
        if not (borrowed and lending):
            return share
        return share * max(0, 1 - borrowed / lending)

    def _compute_earned(self, usage: RetryUsage, nodes: int) -> float:
        """Return the share of one or several nodes of the whole budget."""
        slack = self._slack * usage.nodes / max(1, nodes)
        return self._ratio * usage.requests + slack

    def _can_borrow(self, now: float) -> bool:
        """Return whether the global budget covers retrying all active streams."""
        others = self.peers.get_total(now)
        if not others.requests:
            return False
        usage = sum_usage([others, self.get_usage(now)])
        allowed = self._ratio * usage.requests + self._slack
        return usage.retries + usage.active_streams < allowed

    def _drop_expired(self, now: float) -> None:
        oldest = now - self._window_s
        for times in (self._request_times, self._retry_times):
            while times and times[0] < oldest:
                times.popleft()
