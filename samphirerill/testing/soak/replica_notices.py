"""Checks that nodes honour what a replica says about itself.

A replica may refuse a request and name a time in which it wants no more, name how
many requests a second it takes, or say in its responses that it is leaving.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.testing.soak.limit_checks import RequestLimitChecks

if TYPE_CHECKING:
    from samphirerill.testing.soak.exchange import Exchange
    from samphirerill.testing.soak.ground_truth import GroundTruth
    from samphirerill.testing.soak.nodes import SoakNode

# Requests that may already be on their way after a refusal.
_BACK_OFF_SLACK_S = 0.5
_MAX_BACK_OFF_ARRIVALS = 2
_LEAVING_BOUND_S = 2.0
_FAULT_GRACE_S = 3.0


@dataclass(slots=True)
class _BackOff:
    """What a replica asked of a node, and the requests that came meanwhile."""

    start_count: int
    since: float
    until: float
    arrivals: list[str] = field(default_factory=list)

    def is_same(self, other: _BackOff) -> bool:
        """Return whether the same process of the node was asked the same."""
        return (self.start_count, self.until) == (
            other.start_count,
            other.until,
        )


class ReplicaNoticeChecks:
    """What nodes were told by replicas, and what they sent them afterwards.

    Parameters
    ----------
    ground_truth : GroundTruth
        Where violations are recorded.

    Attributes
    ----------
    limits : RequestLimitChecks
        The checks of request limits.
    """

    __slots__ = (
        'limits',
        '_back_offs',
        '_ground_truth',
        '_leaving_answers',
        '_leaving_known',
        '_sent',
    )

    def __init__(self, ground_truth: GroundTruth) -> None:
        self.limits = RequestLimitChecks(ground_truth)
        self._ground_truth = ground_truth
        # Node, process start and send time, by request.
        self._sent: dict[str, tuple[SoakNode, int, float]] = {}
        self._back_offs: dict[tuple[str, str], _BackOff] = {}
        self._leaving_answers: set[tuple[str, str]] = set()
        # When a node had passed on a response that says so, by replica, node
        # and process start.
        self._leaving_known: dict[tuple[str, str, int], float] = {}

    def record_send(
        self, request_id: str, node: SoakNode, sent_at: float
    ) -> None:
        """Record that a client sends a request to a node."""
        self._sent[request_id] = (node, node.start_count, sent_at)
        self.limits.record_send(request_id, node)

    def record_back_off(
        self, request_id: str, replica_id: str, now: float, until: float
    ) -> None:
        """Record that a replica refuses a request and wants none for a time."""
        if request_id not in self._sent:
            return
        node, start_count, _ = self._sent[request_id]
        key = (replica_id, node.name)
        back_off = _BackOff(start_count, now, until)
        known = self._back_offs.get(key)
        if known is None or not known.is_same(back_off):
            self._back_offs[key] = back_off

    def record_leaving_answer(self, request_id: str, replica_id: str) -> None:
        """Record that a replica says in a response that it is leaving."""
        self._leaving_answers.add((request_id, replica_id))

    def record_response(self, exchange: Exchange, now: float) -> None:
        """Record that a node has passed on the head of a response."""
        replica_id = exchange.response.replica_id
        if (exchange.request_id, replica_id) not in self._leaving_answers:
            return
        node, start_count, _ = self._sent[exchange.request_id]
        key = (replica_id, node.name, start_count)
        self._leaving_known.setdefault(key, now)

    def check_arrival(
        self, request_id: str, replica_id: str, address: str, now: float
    ) -> None:
        """Check a request that reaches a replica."""
        if request_id in self._sent:
            self._check_back_off(request_id, replica_id, address, now)
            self._check_leaving(request_id, replica_id, now)
            self.limits.check_arrival(request_id, replica_id, now)

    def _check_back_off(
        self, request_id: str, replica_id: str, address: str, now: float
    ) -> None:
        node, start_count, _ = self._sent[request_id]
        back_off = self._back_offs.get((replica_id, node.name))
        if back_off is None or back_off.start_count != start_count:
            return
        begins_at = back_off.since + _BACK_OFF_SLACK_S
        if not begins_at < now < back_off.until:
            return
        back_off.arrivals.append(request_id)
        if len(
            back_off.arrivals
        ) > _MAX_BACK_OFF_ARRIVALS and self._ground_truth.is_untouched(
            {node.name, address}, back_off.since - _FAULT_GRACE_S, now
        ):
            self._ground_truth.record_violation(
                f'{request_id}: number {len(back_off.arrivals)} from '
                f'{node.name} to {replica_id}, {now - back_off.since:.2f} s '
                'after it asked to be left alone for '
                f'{back_off.until - back_off.since:.2f} s'
            )

    def _check_leaving(
        self, request_id: str, replica_id: str, now: float
    ) -> None:
        node, start_count, sent_at = self._sent[request_id]
        key = (replica_id, node.name, start_count)
        known_at = self._leaving_known.get(key, float('inf'))
        if sent_at > known_at + _LEAVING_BOUND_S and (
            self._ground_truth.is_untouched({node.name}, known_at, now)
        ):
            self._ground_truth.record_violation(
                f'{request_id}: sent {sent_at - known_at:.2f} s after '
                f'{node.name} passed on that {replica_id} is leaving'
            )
