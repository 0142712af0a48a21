"""Check that a request which a node has read is answered.

Only what clients and replicas observed is taken into account. Planned work on
the node, its settings, the configuration or a replica excuses nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.testing.soak.environment import get_timeout_s
from samphirerill.testing.soak.exchange import Outcome

if TYPE_CHECKING:
    from samphirerill.testing.soak.exchange import Exchange
    from samphirerill.testing.soak.ground_truth import GroundTruth

# A fault excuses requests that are sent up to this long after it ended.
_FAULT_GRACE_S = 3.0
# A node reads a request within this time.
_READ_SLACK_S = 0.5
_EARLY_TIMEOUT_S = 0.05
# A node that was terminated may cut requests that were sent in the first
# seconds and are still running near the end of its grace time.
_GRACE_S = 8.0
_LAST_CUT_S = _GRACE_S * 5 / 6
_EARLY_REQUEST_S = 3.0
_ENDINGS = frozenset((Outcome.CUT, Outcome.TIMED_OUT, Outcome.CLOSE_ANNOUNCED))


class UnansweredCheck:
    """Finds requests that were read whole and ended without an answer.

    Parameters
    ----------
    ground_truth : GroundTruth
        What the replicas observed, and the faults.
    """

    __slots__ = ('_ground_truth',)

    def __init__(self, ground_truth: GroundTruth) -> None:
        self._ground_truth = ground_truth

    def check(self, exchange: Exchange) -> None:
        """Record a violation if a request was read but not answered."""
        if exchange.outcome not in _ENDINGS:
            return
        if not self._was_read(exchange):
            self._ground_truth.counts['unread'] += 1
            return
        if self._is_excused(exchange):
            self._ground_truth.counts['unanswered.excused'] += 1
            return
        self._ground_truth.record_violation(self._describe(exchange))

    def _was_read(self, exchange: Exchange) -> bool:
        if self._ground_truth.arrivals.get(exchange.request_id):
            return True
        if exchange.outcome is Outcome.CLOSE_ANNOUNCED:
            return False
        duration_s = exchange.ended_at - exchange.sent_at
        return duration_s > _READ_SLACK_S or not _is_terminating(exchange)

    def _is_excused(self, exchange: Exchange) -> bool:
        request_id = exchange.request_id
        if exchange.node is None or request_id in self._ground_truth.broken_off:
            return True
        if exchange.outcome is Outcome.CUT and (
            _is_timed_out(exchange) or _is_cut_at_end_of_grace(exchange)
        ):
            return True
        targets = {exchange.node.name}
        targets |= self._ground_truth.arrivals.get(request_id, set())
        return not self._ground_truth.is_untouched(
            targets, exchange.sent_at - _FAULT_GRACE_S, exchange.ended_at
        )

    def _describe(self, exchange: Exchange) -> str:
        node = exchange.node
        arrivals = self._ground_truth.arrivals.get(exchange.request_id, set())
        terminations = [] if node is None else node.terminations
        since_s = [
            round(exchange.sent_at - terminated_at, 3)
            for terminated_at in terminations
        ]
        return (
            f'read but not answered: {exchange.describe()}, sent so long after '
            f'SIGTERM: {since_s}, replicas: {sorted(arrivals)}'
        )


def _is_terminating(exchange: Exchange) -> bool:
    return exchange.node is not None and exchange.node.was_terminating(
        exchange.sent_at, exchange.ended_at
    )


def _is_timed_out(exchange: Exchange) -> bool:
    limit_s = get_timeout_s(exchange.kind) - _EARLY_TIMEOUT_S
    return exchange.ended_at - exchange.sent_at >= limit_s


def _is_cut_at_end_of_grace(exchange: Exchange) -> bool:
    if exchange.node is None:
        return False
    return any(
        exchange.sent_at <= terminated_at + _EARLY_REQUEST_S
        and exchange.ended_at >= terminated_at + _LAST_CUT_S
        and exchange.ended_at <= terminated_at + _GRACE_S
        for terminated_at in exchange.node.terminations
    )
