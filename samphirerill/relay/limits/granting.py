"""Grant the permits of the replicas that this node was chosen for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.permit_allocation import PermitAllocation
from samphirerill.fleet.permits import VALIDITY_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit
    from samphirerill.relay.limits.context import ExchangeContext
    from samphirerill.relay.limits.granters import GranterChoice

# Also lets time pass where rounding leaves a part of a permit missing.
_MIN_GRANT_INTERVAL_S = 0.002


class PermitGranter:
    """Grants permits to the nodes that ask for them.

    Parameters
    ----------
    state : ExchangeContext
        The limits that replicas have named.
    granters : GranterChoice
        Decides whose permits this node grants.
    answer : callable
        Sends a node the number of permits of a replica, the seconds to its next
        one and the seconds between two of them.
    """

    __slots__ = (
        '_allocations',
        '_answer',
        '_granters',
        '_loop',
        '_state',
        '_timers',
    )

    def __init__(
        self,
        state: ExchangeContext,
        granters: GranterChoice,
        answer: Callable[[Replica, str, int, float, float], None],
    ) -> None:
        self._state = state
        self._granters = granters
        self._answer = answer
        self._loop = asyncio.get_running_loop()
        self._allocations: dict[str, PermitAllocation] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}

    def handle_wanted(
        self, replica: Replica, node: str, count: int, until: float
    ) -> None:
        """Record how many permits a node waits for, and answer it.

        This node must be the granter of the replica. If it knows of no limit,
        the answer tells the other node.
        """
        limit = self._find_limit(replica)
        if limit is None:
            self._answer(replica, node, 0, 0, 0)
            return
        allocation = self._ensure_allocation(replica, limit)
        allocation.request(node, count, until)
        self._grant(replica, node)

    def handle_returned(self, replica: Replica, count: int) -> None:
        """Take back permits that a node does not use."""
        allocation = self._allocations.get(replica.replica_id)
        if allocation is not None:
            allocation.take_back(count, self._loop.time())
            self._grant(replica)

    def list_replicas(self) -> list[Replica]:
        """Return the replicas whose permits this node has granted lately."""
        return [
            replica
            for replica, _ in self._state.request_limits.list_in_force()
            if replica.replica_id in self._allocations
        ]

    def remove_ended(self) -> None:
        """Forget the replicas that limit no requests any more."""
        limited = {
            replica.replica_id
            for replica, _ in self._state.request_limits.list_in_force()
        }
        for replica_id in self._allocations.keys() - limited:
            self._allocations.pop(replica_id)

    def _find_limit(self, replica: Replica) -> RequestLimit | None:
        """Return the limit in force of an announced replica."""
        known = self._state.view.replicas.get(replica.replica_id)
        limit = None if known is None else known.limit
        if limit is None or not limit.is_in_force(self._loop.time()):
            return None
        return limit

    def _ensure_allocation(
        self, replica: Replica, limit: RequestLimit
    ) -> PermitAllocation:
        now = self._loop.time()
        rate = limit.permitted_per_s * self._granters.find_reachable_share()
        allocation = self._allocations.get(replica.replica_id)
        if allocation is None:
            # Permits of the granter before this one may still be valid.
            allocation = PermitAllocation(rate, now + VALIDITY_S)
            self._allocations[replica.replica_id] = allocation
        allocation.change_rate(rate, now)
        return allocation

    def _grant(self, replica: Replica, asking: str = '') -> None:
        """Grant the permits that have accrued, and answer a node that asks."""
        timer = self._timers.pop(replica.replica_id, None)
        if timer is not None:
            timer.cancel()
        now = self._loop.time()
        allocation = self._allocations[replica.replica_id]
        granted = allocation.grant(now)
        if asking:
            granted.setdefault(asking, 0)
        for node, count in granted.items():
            self._state.counters['limits.permits_granted'] += count
            wait_s = allocation.predict_grant(node) - now
            interval_s = allocation.predict_interval_s()
            self._answer(replica, node, count, wait_s, interval_s)
        next_grant_at = allocation.find_next_grant()
        if next_grant_at < float('inf'):
            self._timers[replica.replica_id] = self._loop.call_at(
                max(next_grant_at, now + _MIN_GRANT_INTERVAL_S),
                self._grant_later,
                replica,
            )

    def _grant_later(self, replica: Replica) -> None:
        """Grant the next permit, if this node is still the granter."""
        self._timers.pop(replica.replica_id, None)
        limit = self._find_limit(replica)
        if limit is None or not self._granters.is_own(replica):
            self._allocations.pop(replica.replica_id, None)
            return
        self._ensure_allocation(replica, limit)
        self._grant(replica)
