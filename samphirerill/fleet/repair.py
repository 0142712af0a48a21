"""Decide the next moves of layers, given what replicas hold now.

Pipelines that work stay as they are. Replicas outside them first close gaps
where a part was lost, then form further pipelines, then double the parts that
a loss would hurt most. A replica that serves is never moved by this module.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.load import LoadBook
from samphirerill.fleet.model import LayerRange, count_tokens
from samphirerill.fleet.paths import PathRequest, choose_path
from samphirerill.fleet.planner import plan_layers

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import EngineSpec, Replica, Stage
    from samphirerill.fleet.view import Known

# A part must leave room for this many usual requests, or it would throttle
# the pipeline it completes.
_LEAST_REQUESTS = 20
_WANTED_REQUESTS = 40
Moves = dict[str, LayerRange]


def plan_moves(
    engine: EngineSpec,
    present: Sequence[Known],
    pause_ms: float,
    now: float,
) -> Moves:
    """Return the layers that replicas should hold other than now.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    present : sequence of Known
        Replicas that live and are not leaving.
    pause_ms : float
        The pause between events that is still on time.
    now : float
        On the loop's clock.
    """
    holders = [found for found in present if found.replica.layers is not None]
    if not holders:
        planned = plan_layers(
            engine, [found.replica for found in present], pause_ms
        )
        if planned is None:
            return {}
        moves = planned.list_ranges()
        moves.update(_place_spares(engine, planned.spares, present, moves))
        return moves
    pipelines = extract_pipelines(engine, holders, now)
    used = {
        stage.replica.replica_id for stages in pipelines for stage in stages
    }
    free = [
        found.replica
        for found in present
        if found.replica.replica_id not in used
    ]
    return _use_free(engine, free, present, pause_ms)


def extract_pipelines(
    engine: EngineSpec, holders: Sequence[Known], now: float
) -> list[tuple[Stage, ...]]:
    """Return disjoint paths through what replicas hold, the best first."""
    left = list(holders)
    pipelines = []
    book = LoadBook()
    while stages := choose_path(engine, left, book, PathRequest(0), now):
        pipelines.append(stages)
        used = {stage.replica.replica_id for stage in stages}
        left = [found for found in left if found.replica.replica_id not in used]
    return pipelines


def _use_free(
    engine: EngineSpec,
    free: list[Replica],
    present: Sequence[Known],
    pause_ms: float,
) -> Moves:
    """Build one more pipeline of free replicas, or use them as doubles."""
    chain, gaps = find_gaps(engine, free)
    moves = _fill_gaps(engine, free, chain, gaps)
    if moves is not None:
        return moves
    planned = plan_layers(engine, free, pause_ms)
    if planned is not None and planned.pipelines:
        wanted = planned.list_ranges()
        return {
            replica.replica_id: wanted[replica.replica_id]
            for replica in free
            if wanted.get(replica.replica_id, replica.layers) != replica.layers
        }
    idle = [replica for replica in free if replica.layers is None]
    ranges = {
        found.replica.replica_id: found.replica.layers
        for found in present
        if found.replica.layers is not None
    }
    return _place_spares(engine, idle, present, ranges)


def find_gaps(
    engine: EngineSpec, free: list[Replica]
) -> tuple[list[Replica], list[LayerRange]]:
    """Return the free replicas that form most of a pipeline, and its gaps."""
    parts = sorted(
        (replica for replica in free if replica.layers is not None),
        key=lambda item: (item.layers.first, -item.layers.end),
    )
    chain: list[Replica] = []
    gaps: list[LayerRange] = []
    position = 0
    for replica in parts:
        if replica.layers.end <= position:
            continue
        if replica.layers.first > position:
            gaps.append(LayerRange(position, replica.layers.first))
        chain.append(replica)
        position = replica.layers.end
    if position < engine.layers:
        gaps.append(LayerRange(position, engine.layers))
    return chain, gaps


def _fill_gaps(
    engine: EngineSpec,
    free: list[Replica],
    chain: list[Replica],
    gaps: list[LayerRange],
) -> Moves | None:
    """Return the moves that close all gaps, or none if they can't be."""
    if not chain or not gaps:
        return None
    kept = {replica.replica_id for replica in chain}
    spares = [replica for replica in free if replica.replica_id not in kept]
    zones = [replica.data_centre for replica in chain]
    home = max(set(zones), key=zones.count)
    moves: Moves = {}
    for gap in gaps:
        taken = _fill_gap(engine, gap, spares, home)
        if taken is None:
            return None
        moves.update(taken)
        spares = [item for item in spares if item.replica_id not in taken]
    return moves


def _fill_gap(
    engine: EngineSpec, gap: LayerRange, spares: list[Replica], home: str
) -> Moves | None:
    """Cut a gap among spares: near ones first, then those that hold more."""
    for requests in (_WANTED_REQUESTS, _LEAST_REQUESTS):
        order = sorted(
            spares,
            key=lambda item: (
                item.data_centre != home,
                -_most_layers(engine, item, requests),
                item.replica_id,
            ),
        )
        moves: Moves = {}
        first = gap.first
        for replica in order:
            count = min(
                _most_layers(engine, replica, requests), gap.end - first
            )
            if count <= 0:
                continue
            moves[replica.replica_id] = LayerRange(first, first + count)
            first += count
            if first >= gap.end:
                return moves
    return None


def _place_spares(
    engine: EngineSpec,
    spares: Sequence[Replica],
    present: Sequence[Known],
    ranges: Moves,
) -> Moves:
    """Let each spare double what a near replica holds and the fewest hold.

    A part with a second holder survives its loss without a load.
    """
    zones = {
        found.replica.replica_id: found.replica.data_centre for found in present
    }
    held = dict(ranges)
    moves: Moves = {}
    for replica in spares:
        most = _most_layers(engine, replica, _LEAST_REQUESTS)
        options = {
            layers
            for replica_id, layers in ranges.items()
            if layers.count <= most
            and zones.get(replica_id) == replica.data_centre
        }
        if not options:
            continue
        chosen = min(
            options,
            key=lambda layers: (
                _count_holders(layers, held),
                -layers.count,
                layers.first,
            ),
        )
        moves[replica.replica_id] = chosen
        held[replica.replica_id] = chosen
    return moves


def _count_holders(layers: LayerRange, held: Moves) -> int:
    return sum(
        other.first <= layers.first and other.end >= layers.end
        for other in held.values()
    )


def _most_layers(engine: EngineSpec, replica: Replica, requests: float) -> int:
    """Return how many layers leave room for so many usual requests."""
    kind = engine.accelerators.get(replica.accelerator)
    if kind is None:
        return 0
    tokens = requests * (engine.usual_prompt + engine.usual_answer / 2)
    count = min(engine.layers, int(kind.size_mb / engine.layer_mb))
    while count > 0 and count_tokens(engine, kind, count) < tokens:
        count -= 1
    return count
