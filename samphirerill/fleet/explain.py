"""Explain why no path was found, for logs and refusals."""

from __future__ import annotations

from operator import attrgetter
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


# Replicas that are named in one explanation.
_MAX_NAMED = 3


def describe_backoffs(states: Sequence[ReplicaState], now: float) -> str:
    """Return which replicas back off on request; empty if none does."""
    backing_off = [
        state for state in states if state.requested_backoff_until > now
    ]
    if not backing_off:
        return ''
    backing_off.sort(key=attrgetter('requested_backoff_until'))
    named = ', '.join(
        f'{state.replica.replica_id} for'
        f' {state.requested_backoff_until - now:.2f} s'
        for state in backing_off[:_MAX_NAMED]
    )
    return f'{len(backing_off)} replicas asked for a back-off: {named}'


def describe_limits(states: Sequence[ReplicaState], now: float) -> str:
    """Return which replicas limit requests and have no room; empty if none."""
    full = [state for state in states if not state.has_room(now)]
    if not full:
        return ''
    named = ', '.join(
        f'{state.replica.replica_id} to {state.limit.rate_per_s:g}/s'
        for state in full[:_MAX_NAMED]
        if state.limit is not None
    )
    return f'{len(full)} replicas limit requests and have no room: {named}'


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
