"""Choose an endpoint of a service without layers.

The endpoint with the least predicted wait is chosen. Where endpoints do not
report their load, that is its requests in flight times its latency, increased
by its failure rate.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.endpoint_offers import (
    FAILURE_WEIGHT,
    MIN_LATENCY_S,
    SLOW_FACTOR,
    build_offers,
    choose_offer,
)
from samphirerill.fleet.replica_notices import prefer_unreported

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from samphirerill.fleet.endpoint_offers import FleetKnowledge
    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.reported_load import ReportedLoads
    from samphirerill.fleet.view import FleetView, ReplicaState


def choose_endpoint(
    view: FleetView,
    load_tracker: LoadTracker,
    service: str,
    tried: Collection[str],
    now: float,
    may_call: Callable[[str], bool] = bool,
) -> ReplicaState | None:
    """Return the best endpoint not yet tried, or ``None``.

    Endpoints suspected dead are chosen only if no other is left, those that
    asked for a back-off or limit requests and have no room never, those that
    asked another node for a back-off only if the others are suspected.
    `may_call` returns whether an endpoint, given by id, would accept a call now.
    """
    pool = list_preferred(view, service, tried, now, may_call)
    if not pool:
        return None
    return min(pool, key=lambda state: _predict_wait(state, load_tracker))


def list_preferred(
    view: FleetView,
    service: str,
    tried: Collection[str],
    now: float,
    may_call: Callable[[str], bool] = bool,
) -> list[ReplicaState]:
    """Return the endpoints to choose from, as `choose_endpoint` says."""
    candidates = [
        state
        for state in view.list_service(service)
        if state.requested_backoff_until <= now
        and state.has_room(now)
        and state.replica.replica_id not in tried
        and may_call(state.replica.replica_id)
    ]
    trusted = [
        state for state in candidates if state.suspicion.suspected_until <= now
    ]
    return prefer_unreported(trusted, now) or trusted or candidates


@dataclass(slots=True, frozen=True)
class EndpointChoice:
    """The choice among endpoints that report their load.

    Attributes
    ----------
    endpoint : ReplicaState, optional
        The endpoint to send to now; none if the request should wait.
    free_room : float
        The free slots of all endpoints.
    service_s : float
        The least time for one request.
    queued_s : float
        The least time in the queue of an endpoint.
    rate : float
        Requests per second that all endpoints serve.
    is_slow : bool
        Whether the endpoint is much slower than others, which have no slot.
    """

    endpoint: ReplicaState | None
    free_room: float
    service_s: float
    queued_s: float
    rate: float
    is_slow: bool


def choose_by_load(
    pool: list[ReplicaState],
    knowledge: FleetKnowledge,
    left_s: float,
    now: float,
) -> EndpointChoice:
    """Choose an endpoint by its expected response time.

    Parameters
    ----------
    pool : list of ReplicaState
        The endpoints that may be used, from `list_preferred`; at least one.
    knowledge : FleetKnowledge
        What is known of their load.
    left_s : float
        The time until the response is due.
    now : float
        The time.
    """
    offers = build_offers(pool, knowledge, now)
    chosen = choose_offer(offers, knowledge, left_s)
    service_s = min(offer.service_s for offer in offers)
    return EndpointChoice(
        None if chosen is None else chosen.state,
        sum(offer.load.free for offer in offers if offer.may_send),
        service_s,
        min(offer.queued_s for offer in offers),
        sum(offer.rate for offer in offers),
        chosen is not None and chosen.service_s > SLOW_FACTOR * service_s,
    )


def reports_load(view: FleetView, service: str, loads: ReportedLoads) -> bool:
    """Return whether endpoints of a service report their load.

    Until the first response of a new service, it is assumed that they do.
    """
    answers = {
        loads.reports(state.replica) for state in view.list_service(service)
    }
    return True in answers or answers == {None}


def find_backoff_end(
    view: FleetView, service: str, tried: Collection[str], now: float
) -> float:
    """Return when the first endpoint wants requests; 0 if none has to be awaited.

    The latter is the case if there is no endpoint, or one that neither asked
    for a back-off nor lacks room.
    """
    ends = [
        state.predict_available(now)
        for state in view.list_service(service)
        if state.replica.replica_id not in tried
    ]
    first_end = min(ends, default=0.0)
    return first_end if first_end > now else 0.0


def _predict_wait(state: ReplicaState, load_tracker: LoadTracker) -> float:
    in_flight = 1 + load_tracker.count_requests(state.replica.replica_id)
    latency_s = max(MIN_LATENCY_S, state.latency_s)
    return in_flight * latency_s * (1 + FAILURE_WEIGHT * state.failures)
