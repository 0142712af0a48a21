"""When a fleet may be planned for: settled, calm, and not in circles."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import Replica

# Replicas announce themselves one by one at the start; the first plan waits
# until no new one has come for this long.
_INITIAL_SETTLE_S = 0.6
# How long a replica is new; in a release the old one leaves within a second.
_NEWCOMER_PERIOD_S = 2.5
# A release replaces a replica about once a second.
_STABLE_PERIOD_S = 1.2
# A change to a better plan takes a step for each pipeline.
_MAX_PLANS_PER_INPUT = 8


@dataclass(slots=True)
class PlanTiming:
    """What one service's replicas did lately, as points on the clock."""

    _ids: frozenset[str] = frozenset()
    _changed_at: float = 0.0
    _first_seen: dict[str, float] = field(default_factory=dict)
    _inputs: object = None
    _holdings: tuple[Replica, ...] = ()
    _plan_count: int = 0
    # The most whole pipelines that each data centre has had.
    had: dict[str, int] = field(default_factory=dict)

    def observe(self, present: Sequence[Replica], now: float) -> None:
        """Take the replicas that are there now."""
        ids = frozenset(replica.replica_id for replica in present)
        if ids == self._ids:
            return
        # Who commands anew finds a fleet that may have been there for long.
        since = now if self._ids else float('-inf')
        self._ids = ids
        self._changed_at = now
        self._first_seen = {
            name: self._first_seen.get(name, since) for name in ids
        }

    def note_whole(self, counts: dict[str, int]) -> None:
        """Take how many whole pipelines each data centre has."""
        for zone, count in counts.items():
            self.had[zone] = max(count, self.had.get(zone, 0))

    def has_settled(self, present: Sequence[Replica], now: float) -> bool:
        """Return whether all replicas of a first plan have announced."""
        if any(replica.layers is not None for replica in present):
            return True
        return now >= self._changed_at + _INITIAL_SETTLE_S

    def is_calm(self, now: float) -> bool:
        """Return whether nobody has come or gone for a while."""
        return now >= self._changed_at + _STABLE_PERIOD_S

    def list_settled(self, now: float) -> frozenset[str]:
        """Return the replicas that have been there for a while.

        In a release the new replica starts just before an old one leaves;
        it should wait for that one's layers rather than load others.
        """
        return frozenset(
            name
            for name, since in self._first_seen.items()
            if since + _NEWCOMER_PERIOD_S <= now
        )

    def may_plan(self, inputs: object, present: Sequence[Replica]) -> bool:
        """Return whether something has changed that a plan should answer.

        Plans that answered to their own effects have moved the same layers to
        and fro for ever; each fleet is planned for a few times only.

        Parameters
        ----------
        fleet : object
            All that decides a plan, but for what replicas hold.
        present : sequence of Replica
            The replicas with what they hold.
        """
        holdings = tuple(present)
        if self._inputs != inputs:
            self._inputs = inputs
            self._plan_count = 0
        elif (
            self._holdings == holdings
            or self._plan_count >= _MAX_PLANS_PER_INPUT
        ):
            return False
        self._holdings = holdings
        self._plan_count += 1
        return True
