"""When a route can be served again whose endpoints want no request now.

They asked for a back-off, or named a request rate that this node has used.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import Outcome, Problem
from samphirerill.core.configuration import SERVICE_ROUTE
from samphirerill.core.state import Health

if TYPE_CHECKING:
    from samphirerill.core.configuration import Route
    from samphirerill.core.state import CoreState, EndpointState

BACKING_OFF_CODE = 'endpoints-backing-off'
BACKING_OFF_DETAIL = 'the endpoints of this route want no request now'
# Time that a queued request needs after a back-off to start before its deadline.
_MIN_START_S = 0.1
# Clients return spread over this time, or this share of their wait if longer.
_MIN_RETURN_SPREAD_S = 1.0
_RETURN_SPREAD = 0.1


def find_back_off_end(state: CoreState, route: Route, now: float) -> float:
    """Return when back-offs and limits allow a route's next request, or 0.

    It is 0 if the route could be served without the endpoints that back off, or not
    even with them.
    """
    if not state.back_offs and not state.request_limits:
        return 0
    candidates = [
        (state.find_room(replica.endpoint.address, now), replica)
        for replica in _list_candidates(state, route)
        if replica.health is not Health.LEAVING
    ]
    for until in sorted({until for until, _ in candidates} | {0}):
        available = [item for end, item in candidates if end <= until]
        if _can_serve(state, route, available):
            return until
    return 0


def is_too_late(back_off_end: float, deadline: float) -> bool:
    """Return whether a back-off prevents a start before a deadline."""
    return bool(back_off_end) and back_off_end + _MIN_START_S > deadline


def is_available_by(
    state: CoreState, route: Route, deadline: float, now: float
) -> bool:
    """Return whether live endpoints can serve a route before a deadline.

    Endpoints that back off for longer do not count; free slots are not required.
    """
    available = [
        replica
        for replica in _list_candidates(state, route)
        if replica.health is Health.LIVE
        and not is_too_late(
            state.find_room(replica.endpoint.address, now), deadline
        )
    ]
    return _can_serve(state, route, available)


def compute_retry_after_s(
    state: CoreState, back_off_end: float, now: float
) -> float:
    """Return a time after a back-off, random so that clients spread out."""
    wait_s = back_off_end - now
    spread_s = max(_MIN_RETURN_SPREAD_S, _RETURN_SPREAD * wait_s)
    return wait_s + state.random.uniform(0, spread_s)


def find_back_off_problem(
    state: CoreState, route: Route, queue_deadline: float, now: float
) -> Problem | None:
    """Return the refusal of a new request that back-offs would outlast."""
    back_off_end = find_back_off_end(state, route, now)
    if not is_too_late(back_off_end, queue_deadline):
        return None
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        BACKING_OFF_CODE,
        BACKING_OFF_DETAIL,
        Outcome.NOT_RUN,
        compute_retry_after_s(state, back_off_end, now),
    )


def _list_candidates(state: CoreState, route: Route) -> list[EndpointState]:
    if route.kind == SERVICE_ROUTE:
        names = route.endpoints
        return [state.endpoints[at] for at in names if at in state.endpoints]
    return state.by_model.get(route.model, [])


def _can_serve(
    state: CoreState, route: Route, replicas: list[EndpointState]
) -> bool:
    if route.kind == SERVICE_ROUTE:
        return bool(replicas)
    model = state.configuration.models.get(route.model)
    return model is not None and _covers(replicas, model.layers)


def _covers(replicas: list[EndpointState], layers: int) -> bool:
    """Return whether replicas hold each of a model's layers."""
    position = 0
    while position < layers:
        reached = max(
            (
                replica.endpoint.last + 1
                for replica in replicas
                if replica.endpoint.first <= position
            ),
            default=position,
        )
        if reached <= position:
            return False
        position = reached
    return True
