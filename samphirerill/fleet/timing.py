"""Decide when to plan: after the fleet is known, and without oscillation."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import Replica

# Replicas announce themselves one by one at the start; the first plan waits
# until no new one has appeared for this long.
_INITIAL_SETTLE_S = 0.6
# In a release, the replica that a newcomer replaces drains within a second.
_NEWCOMER_PERIOD_S = 2.5
# Longer than the interval at which a release replaces replicas, about 1 s.
_STABLE_PERIOD_S = 1.2
# Enough for a rebalance, which takes one plan per pipeline.
_MAX_PLANS_PER_INPUT = 8


@dataclass(slots=True)
class PlanTiming:
    """Recent changes of one service's replicas; times are on the loop's clock."""

    _ids: frozenset[str] = frozenset()
    _changed_at: float = 0.0
    _first_seen: dict[str, float] = field(default_factory=dict)
    _inputs: object = None
    _holdings: tuple[Replica, ...] = ()
    _plan_count: int = 0
    # The most complete pipelines that each data centre has had.
    max_complete: dict[str, int] = field(default_factory=dict)

    def observe(self, present: Sequence[Replica], now: float) -> None:
        """Update from the replicas that are present now."""
        ids = frozenset(replica.replica_id for replica in present)
        if ids == self._ids:
            return
        # On the first call, the replicas may have been present for long.
        since = now if self._ids else float('-inf')
        self._ids = ids
        self._changed_at = now
        self._first_seen = {
            replica_id: self._first_seen.get(replica_id, since)
            for replica_id in ids
        }

    def note_complete(self, counts: dict[str, int]) -> None:
        """Record the number of complete pipelines in each data centre."""
        for data_centre, count in counts.items():
            self.max_complete[data_centre] = max(
                count, self.max_complete.get(data_centre, 0)
            )

    def has_settled(self, present: Sequence[Replica], now: float) -> bool:
        """Return whether all replicas of a first plan should be known."""
        if any(replica.layers is not None for replica in present):
            return True
        return now >= self._changed_at + _INITIAL_SETTLE_S

    def is_stable(self, now: float) -> bool:
        """Return whether no replica has joined or left for a while."""
        return now >= self._changed_at + _STABLE_PERIOD_S

    def list_settled(self, now: float) -> frozenset[str]:
        """Return the replicas that have been present for a while.

        In a release the new replica starts just before an old one drains; it
        should wait for that one's layers instead of loading others.
        """
        return frozenset(
            replica_id
            for replica_id, since in self._first_seen.items()
            if since + _NEWCOMER_PERIOD_S <= now
        )

    def should_plan(self, inputs: object, present: Sequence[Replica]) -> bool:
        """Return whether the input of a plan has changed.

        The number of plans for the same inputs is limited, since plans that
        react to their own effects could move the same layers back and forth
        forever.

        Parameters
        ----------
        inputs : object
            Everything that determines a plan except the layers of replicas.
        present : sequence of Replica
            The replicas with their layers.
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
