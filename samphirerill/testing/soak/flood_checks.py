"""Checks of what clients get during a flood."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.testing.soak.exchange import Exchange
    from samphirerill.testing.soak.ground_truth import Fault, GroundTruth

_OK = 200
_UNAVAILABLE = 503
# Streams that the flood found running and that use all slots end by then.
_ONSET_S = 1.5
# With fewer requests, a single one decides.
_MIN_SAMPLE = 8
# Longer faults in all, also delays of this process, excuse an unfair share.
_MAX_DISTURBED_S = 0.5


@dataclass(slots=True, frozen=True)
class FloodGroup:
    """Clients on one route, which use its accounts in turn.

    At least `served_share` of their requests must be served in a flood.
    """

    kind: str
    accounts: tuple[str, ...]
    clients: int
    served_share: float


FLOOD_GROUPS = (
    FloodGroup('bulk', ('flood',), 24, 0),
    # Trials served 0.87 to 0.99 on a busy machine, without sharing 0.6.
    FloodGroup('bulk', ('small-0', 'small-1', 'small-2'), 9, 0.7),
    FloodGroup('urgent', ('line',), 4, 0.8),
    # It has at least the guaranteed share.
    FloodGroup('least', ('rest',), 3, 0.02),
)


class FloodChecks:
    """Counts the responses to each group during one flood.

    Parameters
    ----------
    ground_truth : GroundTruth
        Where violations are recorded.
    flood : Fault
        The flood, which excuses that other requests are rejected.
    """

    __slots__ = ('_flood', '_ground_truth', '_statuses')

    def __init__(self, ground_truth: GroundTruth, flood: Fault) -> None:
        self._ground_truth = ground_truth
        self._flood = flood
        self._statuses: dict[FloodGroup, Counter[int]] = {}

    def check_response(self, group: FloodGroup, exchange: Exchange) -> None:
        """Count a response; check that a rejection tells when to return.

        The ground truth checks that a rejected request never runs.
        """
        status = exchange.response.status
        self._ground_truth.counts[f'{group.kind}.{status}'] += 1
        if exchange.sent_at >= self._flood.since + _ONSET_S:
            statuses = self._statuses.setdefault(group, Counter())
            statuses[status] += 1
        if status != _UNAVAILABLE:
            return
        self._ground_truth.record_refusal(exchange.request_id)
        retry_after = exchange.response.retry_after
        if not _is_positive(retry_after):
            self._ground_truth.record_violation(
                f'{exchange.request_id}: rejected with Retry-After '
                f'{retry_after!r}, expected seconds'
            )

    def check_shares(self) -> None:
        """Check how much of each group's demand was served."""
        disturbed_s = sum(
            min(fault.until, self._flood.until)
            - max(fault.since, self._flood.since)
            for fault in self._ground_truth.faults
            if fault is not self._flood
            and fault.since <= self._flood.until
            and fault.until >= self._flood.since
        )
        if disturbed_s > _MAX_DISTURBED_S:
            return
        for group, statuses in self._statuses.items():
            self._check_share(group, statuses)

    def _check_share(self, group: FloodGroup, statuses: Counter[int]) -> None:
        served, sent = statuses[_OK], statuses.total()
        counts = self._ground_truth.counts
        name = f'flood.{group.kind}.{group.accounts[0]}'
        counts[f'{name}.served'] += served
        counts[f'{name}.sent'] += sent
        if sent >= _MIN_SAMPLE and served < group.served_share * sent:
            self._ground_truth.record_violation(
                f'accounts {group.accounts} on {group.kind}: {served} of {sent}'
                f' requests served during a flood, expected a share of '
                f'{group.served_share}: {dict(statuses)}'
            )


def _is_positive(retry_after: bytes) -> bool:
    try:
        return 0 < float(retry_after) < float('inf')
    except ValueError:
        return False
