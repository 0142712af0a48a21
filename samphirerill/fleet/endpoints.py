"""Choose an endpoint of a service without layers.

The endpoint with the least predicted wait is chosen: its requests in flight
times its latency, increased by its failure rate.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.replica_notices import prefer_unreported

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.view import FleetView, ReplicaState

# The wait of an endpoint that fails every request is multiplied by 1 plus this.
_FAILURE_WEIGHT = 12.0
# Also the assumed latency of an endpoint that has not answered yet, so that it
# is tried.
_MIN_LATENCY_S = 0.005


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
    pool = prefer_unreported(trusted, now) or trusted or candidates
    if not pool:
        return None
    return min(pool, key=lambda state: _predict_wait(state, load_tracker))


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
    latency_s = max(_MIN_LATENCY_S, state.latency_s)
    return in_flight * latency_s * (1 + _FAILURE_WEIGHT * state.failures)
