"""Orders to engines: what to send, by whom, and when it is safe.

One node at a time commands: whoever holds the commander's key in the
platform's service, under a lease. The revision that wrote the key is the
fencing number; it rises with each commander. Engines that check it refuse an
old commander. For those that don't, only time protects: a commander stops
well before its lease can lapse, and its successor waits until every order
that was still on its way must have arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.core.model import DesiredState, Endpoint

LEASE_S = 10
RENEW_EVERY_S = 3.0
SAFETY_MARGIN_S = 2.0
ORDER_TIMEOUT_S = 1.0


@dataclass(slots=True, frozen=True)
class Status:
    """What an engine says of itself.

    `is_loading` is true while it reads from the weight store.
    """

    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''
    is_loading: bool = False


@dataclass(slots=True, frozen=True)
class Order:
    """One order: the whole state an engine is to have; safe to repeat."""

    endpoint: str
    address: str
    desired: DesiredState
    fence: int
    needs_weights: bool


@dataclass(slots=True)
class Tenure:
    """One commander's time in office; times are its own monotonic clock.

    `act_until` counts from before the renewal was sent, less a safety, so
    it ends before the service can have let the lease lapse, whatever the
    answer's delay. A commander that was paused finds it passed.
    """

    fence: int
    won_at: float
    act_until: float

    @classmethod
    def begin(cls, fence: int, asked_at: float, won_at: float) -> Tenure:
        """Return the tenure of a commander that has just won its key."""
        return cls(fence, won_at, asked_at + LEASE_S - SAFETY_MARGIN_S)

    def renew(self, asked_at: float) -> None:
        """Extend the tenure by a renewal that was asked for at a time."""
        self.act_until = max(
            self.act_until, asked_at + LEASE_S - SAFETY_MARGIN_S
        )

    def may_order(self, now: float, *, checks_fencing: bool) -> bool:
        """Tell whether an order to an engine is safe now.

        Symptom if it is not: an engine loads what the configuration has
        left behind, after it had loaded what is wanted.
        """
        if now + ORDER_TIMEOUT_S >= self.act_until:
            return False
        safe_at = self.won_at + SAFETY_MARGIN_S + ORDER_TIMEOUT_S
        return checks_fencing or now >= safe_at


def plan_orders(
    endpoints: Iterable[Endpoint],
    statuses: dict[str, Status],
    tenure: Tenure,
    now: float,
    loads_at_once: int,
) -> list[Order]:
    """Return the orders that bring engines nearer to the desired state.

    Parameters
    ----------
    endpoints : iterable of Endpoint
        The configured endpoints.
    statuses : dict of str to Status
        What each engine that answered says of itself.
    tenure : Tenure
        The commander's time in office.
    now : float
        Seconds on the commander's monotonic clock.
    loads_at_once : int
        How many engines of the fleet may read from the weight store.
    """
    free = loads_at_once - sum(
        1 for status in statuses.values() if status.is_loading
    )
    orders = []
    for endpoint in endpoints:
        order = _plan_order(endpoint, statuses, tenure, now)
        if order is None or (order.needs_weights and free <= 0):
            continue
        free -= order.needs_weights
        orders.append(order)
    return orders


def _plan_order(
    endpoint: Endpoint,
    statuses: dict[str, Status],
    tenure: Tenure,
    now: float,
) -> Order | None:
    desired = endpoint.desired
    status = statuses.get(endpoint.name)
    if desired is None or status is None or status.is_loading:
        return None
    if _matches_desired(desired, status):
        return None
    if not tenure.may_order(now, checks_fencing=endpoint.checks_fencing):
        return None
    has_weights = desired.version == status.version and (
        set(desired.adapters) <= set(status.adapters)
    )
    return Order(
        endpoint.name,
        endpoint.address,
        desired,
        tenure.fence,
        needs_weights=not has_weights,
    )


def _matches_desired(desired: DesiredState, status: Status) -> bool:
    return (
        desired.version == status.version
        and set(desired.adapters) == set(status.adapters)
        and desired.role == status.role
    )
