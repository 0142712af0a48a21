"""Checks that all nodes together keep the request limits that replicas name."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.testing.soak.ground_truth import GroundTruth
    from samphirerill.testing.soak.nodes import SoakNode

# The platform's bounds: the limit counts from this long after it was named first,
# for nodes that have received it this long ago.
_CONTACT_S = 3.0
_TOLD_S = 0.5
_WINDOW_S = 4.0
_TOLERANCE = 1.5
_SURPLUS = 5


@dataclass(slots=True)
class _Naming:
    """A time in which a replica names limits, and the requests that it gets.

    `rates` are the limits, and when each began; `arrivals` when requests came, and
    the node that sent each.
    """

    since: float
    rates: list[tuple[float, float]] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def find_highest_rate(self, since: float) -> float:
        """Return the highest limit that was named since then."""
        earlier = [rate for at, rate in self.rates if at <= since]
        later = [rate for at, rate in self.rates if at > since]
        return max([*earlier[-1:], *later])


class RequestLimitChecks:
    """What replicas named, to whom, and what they got.

    Parameters
    ----------
    ground_truth : GroundTruth
        Where violations are recorded.
    """

    __slots__ = ('_ground_truth', '_namings', '_sent', '_told')

    def __init__(self, ground_truth: GroundTruth) -> None:
        self._ground_truth = ground_truth
        # Node and process start, by request.
        self._sent: dict[str, tuple[SoakNode, int]] = {}
        self._namings: dict[str, _Naming] = {}
        # When a process of a node received an answer that names a limit.
        self._told: dict[tuple[str, str, int], float] = {}

    def record_send(self, request_id: str, node: SoakNode) -> None:
        """Record that a client sends a request to a node."""
        self._sent[request_id] = (node, node.start_count)

    def record_limit(
        self, replica_id: str, rate_per_s: float, now: float
    ) -> None:
        """Record that a replica names a limit in its answers from now on."""
        naming = self._namings.setdefault(replica_id, _Naming(now))
        naming.rates.append((now, rate_per_s))

    def record_end(self, replica_id: str) -> None:
        """Record that a replica names no limit any more."""
        self._namings.pop(replica_id, None)

    def record_answer(
        self, request_id: str, replica_id: str, now: float
    ) -> None:
        """Record that a replica answers a request."""
        if replica_id in self._namings and request_id in self._sent:
            node, start_count = self._sent[request_id]
            key = (replica_id, node.name, start_count)
            self._told.setdefault(key, now)

    def check_arrival(
        self, request_id: str, replica_id: str, now: float
    ) -> None:
        """Check a request that reaches a replica."""
        naming = self._namings.get(replica_id)
        if naming is None or request_id not in self._sent:
            return
        node, start_count = self._sent[request_id]
        told_at = self._told.get((replica_id, node.name, start_count), now)
        counts_from = max(naming.since + _CONTACT_S, told_at + _TOLD_S)
        if now < counts_from:
            return
        naming.arrivals.append((now, node.name))
        since = now - _WINDOW_S
        untouched = [
            name
            for at, name in naming.arrivals
            if at > since and self._is_untouched(name, since, now)
        ]
        rate_per_s = naming.find_highest_rate(since - _CONTACT_S)
        allowed = _TOLERANCE * _WINDOW_S * rate_per_s + _SURPLUS
        if len(untouched) > allowed:
            self._ground_truth.record_violation(
                f'{request_id}: {len(untouched)} requests in {_WINDOW_S} s to '
                f'{replica_id}, which names {rate_per_s} a second; allowed are '
                f'{allowed}'
            )

    def _is_untouched(self, node: str, since: float, now: float) -> bool:
        return self._ground_truth.is_untouched({node}, since - _CONTACT_S, now)
