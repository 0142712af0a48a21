"""Search a path with free capacity in the present state of the fleet."""

from __future__ import annotations

from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.paths import choose_path
from samphirerill.fleet.prediction import predict_transfer_ms
from samphirerill.fleet.replica_notices import prefer_unreported

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.fleet.view import FleetView, ReplicaState
    from samphirerill.relay.state import EdgeState


def search_path(
    state: EdgeState,
    service: str,
    engine: EngineSpec,
    path_request: PathRequest,
    now: float,
) -> tuple[Stage, ...]:
    """Return a path with free capacity, or none, without reserving it."""
    path_request.links = state.link_usage
    path_request.data_centre = state.settings.data_centre
    path_request.policy = state.settings.policy
    if state.load_tracker.count_silent_peers():
        path_request.jitter = state.random
    usable = _list_usable(state, service, path_request, now)
    preferred = prefer_unreported(usable, now)
    stages = choose_path(
        engine, preferred, state.load_tracker, path_request, now
    )
    if stages or len(preferred) == len(usable):
        return stages
    return choose_path(engine, usable, state.load_tracker, path_request, now)


def record_transfers(
    state: EdgeState,
    engine: EngineSpec,
    stages: tuple[Stage, ...],
    tokens: float,
    now: float,
) -> None:
    """Record what a path transfers over links between data centres."""
    transfer_ms = predict_transfer_ms(engine, tokens)
    for stage, following in pairwise(stages):
        source = stage.replica.data_centre
        destination = following.replica.data_centre
        if source != destination:
            state.link_usage.note_transfer(
                source, destination, transfer_ms, now
            )


def _list_usable(
    state: EdgeState, service: str, path_request: PathRequest, now: float
) -> list[ReplicaState]:
    """Return the replicas that a path may use."""
    usable = state.view.list_usable(service, now)
    return [*usable, *_list_kept(state.view, path_request, usable, now)]


def _list_kept(
    view: FleetView,
    path_request: PathRequest,
    usable: list[ReplicaState],
    now: float,
) -> list[ReplicaState]:
    """Return the replicas that a rerouted stream keeps without new work.

    A replica that is leaving, paused after a refusal or asked for a back-off
    still runs the streams that it has.
    """
    if not path_request.first_stage_end:
        return []
    usable_ids = {state.replica.replica_id for state in usable}
    kept = map(view.replicas.get, path_request.prefilled_on - usable_ids)
    return [
        state
        for state in kept
        if state is not None and state.suspicion.suspected_until <= now
    ]
