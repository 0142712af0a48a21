"""Explain why no path was found, for logs and refusals."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.model import format_layers
from samphirerill.fleet.outage import find_gap, list_ranges
from samphirerill.fleet.paths import has_memory

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.fleet.view import ReplicaState


def explain_no_path(
    engine: EngineSpec,
    usable: Sequence[ReplicaState],
    load_tracker: LoadTracker,
    request: PathRequest,
) -> str:
    """Return what is missing: a holder of layers, memory, or a connection."""
    candidates = [
        state
        for state in usable
        if state.replica.replica_id not in request.excluded
    ]
    gap = find_gap(engine, list_ranges(candidates))
    if gap is not None:
        return f'no replica holds layers {format_layers(gap)}'
    with_memory = [
        state
        for state in candidates
        if has_memory(engine, state, load_tracker, request)
    ]
    gap = find_gap(engine, list_ranges(with_memory))
    if gap is not None:
        return f'no replica has free memory for layers {format_layers(gap)}'
    return 'no path connects the replicas that have free memory'
