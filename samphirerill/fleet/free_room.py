"""Estimate how many more new streams the engines of a service can run.

A stream needs memory for its tokens in every layer, and a slot in its first
stage. The layer whose replicas have the least free memory limits the fleet.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.paths import MAX_MEMORY_USE, count_token_capacity

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.view import ReplicaState


@dataclass(slots=True, frozen=True)
class FreeRoom:
    """Room for new streams: memory in tokens, and slots in first stages."""

    tokens: float
    slots: float


def compute_free_room(
    engine: EngineSpec,
    usable: Iterable[ReplicaState],
    load_tracker: LoadTracker,
) -> FreeRoom:
    """Return the free room of a fleet.

    Parameters
    ----------
    engine : EngineSpec
        Performance figures of the service's engine.
    usable : iterable of ReplicaState
        The replicas that may get new work now.
    load_tracker : LoadTracker
        The load of the replicas.
    """
    holders = [state for state in usable if state.replica.held.count]
    return FreeRoom(
        _find_least_memory(engine, holders, load_tracker),
        _count_free_slots(engine, holders, load_tracker),
    )


def _find_least_memory(
    engine: EngineSpec,
    holders: Sequence[ReplicaState],
    load_tracker: LoadTracker,
) -> float:
    """Return the free memory of the layer that has the least, in tokens."""
    # How the free memory changes from one layer to the next.
    changes: defaultdict[int, float] = defaultdict(float)
    changes[0] = 0.0
    changes[engine.layers] = 0.0
    for state in holders:
        free_tokens = _count_free_tokens(engine, state, load_tracker)
        changes[state.replica.held.first] += free_tokens
        changes[state.replica.held.end] -= free_tokens
    least = float('inf')
    tokens = 0.0
    for first, following in pairwise(sorted(changes)):
        tokens += changes[first]
        if 0 <= first and following <= engine.layers:
            least = min(least, tokens)
    return least


def _count_free_tokens(
    engine: EngineSpec, state: ReplicaState, load_tracker: LoadTracker
) -> float:
    """Return the free memory of a replica for streams of the usual length.

    The rest of the division cannot be used by any such stream.
    """
    held = state.replica.held
    capacity = count_token_capacity(engine, state, held) * MAX_MEMORY_USE
    free_tokens = capacity - load_tracker.count_tokens(state.replica.replica_id)
    usual = max(1.0, engine.usual_prompt + engine.usual_answer)
    return max(0.0, free_tokens // usual) * usual


def _count_free_slots(
    engine: EngineSpec,
    holders: Sequence[ReplicaState],
    load_tracker: LoadTracker,
) -> float:
    """Return the free slots of the replicas that run the first stage."""
    return sum(
        max(
            0,
            engine.slots
            - load_tracker.count_requests(state.replica.replica_id),
        )
        for state in holders
        if not state.replica.held.first
    )
