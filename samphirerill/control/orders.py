"""Orders to engines: what to load, and when sending one is safe.

One node at a time is the leader that sends orders: the one that holds the
leader key in the platform's key-value store, under a lease. The revision
that wrote the key is the fencing token, which increases with each leader.
Engines that check it refuse orders of an earlier leader. For engines that do
not, safety depends on time: a leader stops well before its lease can expire,
and its successor waits until every order in flight must have arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.core.configuration import DesiredState, Endpoint

LEASE_S = 10
RENEW_EVERY_S = 3.0
SAFETY_MARGIN_S = 2.0
ORDER_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class EngineStatus:
    """The state that an engine reports.

    `is_loading` is true while it reads from the weight store.
    """

    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''
    is_loading: bool = False


@dataclass(slots=True, frozen=True)
class Order:
    """An engine's complete desired state; idempotent."""

    endpoint: str
    address: str
    desired: DesiredState
    fencing_token: int
    needs_weights: bool


@dataclass(slots=True)
class LeaderTerm:
    """One leader's term; times are on its own monotonic clock.

    `valid_until` counts from before the renewal was sent, less a safety margin,
    so it precedes the expiry of the lease however late the reply arrives. A
    leader that was paused finds that it has passed.
    """

    fencing_token: int
    acquired_at: float
    valid_until: float

    @classmethod
    def start(
        cls, fencing_token: int, requested_at: float, acquired_at: float
    ) -> LeaderTerm:
        """Return the term of a leader that has just acquired its key."""
        return cls(
            fencing_token, acquired_at, requested_at + LEASE_S - SAFETY_MARGIN_S
        )

    def renew(self, requested_at: float) -> None:
        """Extend the term by a renewal that was sent at a given time."""
        self.valid_until = max(
            self.valid_until, requested_at + LEASE_S - SAFETY_MARGIN_S
        )

    def may_send_orders(self, now: float, *, checks_fencing: bool) -> bool:
        """Return whether sending an order to an engine is safe now.

        Otherwise an engine could load an outdated version after it had loaded
        the desired one.
        """
        if now + ORDER_TIMEOUT_S >= self.valid_until:
            return False
        safe_at = self.acquired_at + SAFETY_MARGIN_S + ORDER_TIMEOUT_S
        return checks_fencing or now >= safe_at


def plan_orders(
    endpoints: Iterable[Endpoint],
    statuses: dict[str, EngineStatus],
    term: LeaderTerm,
    now: float,
    loads_at_once: int,
) -> list[Order]:
    """Return the orders that bring engines closer to their desired state.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        The configured endpoints.
    statuses : dict of str to EngineStatus
        The reported state of each engine that answered.
    term : LeaderTerm
        The leader's term.
    now : float
        Seconds on the leader's monotonic clock.
    loads_at_once : int
        How many engines of the fleet may read from the weight store at a time.
    """
    free_loads = loads_at_once - sum(
        1 for status in statuses.values() if status.is_loading
    )
    orders = []
    for endpoint in endpoints:
        order = _plan_order(endpoint, statuses, term, now)
        if order is None or (order.needs_weights and free_loads <= 0):
            continue
        free_loads -= order.needs_weights
        orders.append(order)
    return orders


def _plan_order(
    endpoint: Endpoint,
    statuses: dict[str, EngineStatus],
    term: LeaderTerm,
    now: float,
) -> Order | None:
    desired = endpoint.desired
    status = statuses.get(endpoint.name)
    if desired is None or status is None or status.is_loading:
        return None
    if _matches_desired(desired, status):
        return None
    if not term.may_send_orders(now, checks_fencing=endpoint.checks_fencing):
        return None
    has_weights = desired.version == status.version and (
        set(desired.adapters) <= set(status.adapters)
    )
    return Order(
        endpoint.name,
        endpoint.address,
        desired,
        term.fencing_token,
        needs_weights=not has_weights,
    )


def _matches_desired(desired: DesiredState, status: EngineStatus) -> bool:
    return (
        desired.version == status.version
        and set(desired.adapters) == set(status.adapters)
        and desired.role == status.role
    )
