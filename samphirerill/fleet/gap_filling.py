"""Complete a pipeline that lost stages, with few loads.

Gaps are filled by replicas that no pipeline needs, local and empty ones first.
Where those do not suffice, the layers are partitioned again among the remaining
stages.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.rates import (
    MIN_REQUESTS,
    TARGET_REQUESTS,
    Pipeline,
    count_max_layers,
    predict_rate,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica

_REQUEST_TARGETS = range(TARGET_REQUESTS, MIN_REQUESTS - 1, -5)
# Reduction of the predicted rate for each move: a move costs a load, and a
# spare that joins the pipeline is no backup any more.
_MOVE_PENALTY = 0.01
Moves = dict[str, LayerRange]


def fill_gaps(
    engine: EngineSpec, chain: Chain, spares: Sequence[Replica]
) -> Moves | None:
    """Return the moves that fill a chain's gaps, or ``None`` if none do."""
    remaining = list(spares)
    moves: Moves = {}
    main_data_centre = chain.find_main_data_centre()
    for gap in chain.gaps:
        assigned = _fill_gap(engine, gap, remaining, main_data_centre)
        if assigned is None:
            return None
        moves.update(assigned)
        remaining = [
            item for item in remaining if item.replica_id not in assigned
        ]
    return moves


def repartition(
    engine: EngineSpec,
    chain: Chain,
    spares: Sequence[Replica],
    pause_ms: float,
) -> Moves | None:
    """Partition all layers again among a chain's stages and local spares.

    The stages keep their order, so that most of what they hold stays. Spares of
    the chain's main data centre are inserted at the first gap, as many as give
    the highest predicted rate.
    """
    main_data_centre = chain.find_main_data_centre()
    local = [item for item in spares if item.data_centre == main_data_centre]
    local.sort(key=lambda item: _rank_for_joining(engine, item))
    options = [
        _partition(engine, _insert_replicas(chain, local[:joining]), pause_ms)
        for joining in range(len(local) + 1)
    ]
    _, best = max(options, key=_get_rate, default=(0.0, None))
    return best


def _partition(
    engine: EngineSpec, replicas: list[Replica], pause_ms: float
) -> tuple[float, Moves | None]:
    """Partition the layers among replicas in order; return rate and moves."""
    for requests in _REQUEST_TARGETS:
        counts = [count_max_layers(engine, item, requests) for item in replicas]
        if sum(counts) >= engine.layers:
            moves = _assign_layers(engine, replicas, counts)
            by_id = {item.replica_id: item for item in replicas}
            pipeline = Pipeline(
                [
                    (by_id[replica_id], layers.count)
                    for replica_id, layers in moves.items()
                ]
            )
            changed = sum(
                by_id[replica_id].layers != layers
                for replica_id, layers in moves.items()
            )
            rate = predict_rate(engine, pipeline, pause_ms)
            return rate * (1 - _MOVE_PENALTY * changed), moves
    return 0.0, None


def _get_rate(option: tuple[float, Moves | None]) -> float:
    return option[0]


def _rank_for_joining(
    engine: EngineSpec, replica: Replica
) -> tuple[bool, int, str]:
    """Rank empty replicas first, then those that can hold the most."""
    max_count = count_max_layers(engine, replica)
    return replica.layers is not None, -max_count, replica.replica_id


def build_repaired_pipeline(
    chain: Chain, moves: Moves, replicas: dict[str, Replica]
) -> Pipeline:
    """Return the pipeline that results from a chain and moves.

    Parameters
    ----------
    chain : Chain
        With or without gaps.
    moves : dict of str to LayerRange
        As `fill_gaps` and `repartition` return them.
    replicas : dict of str to Replica
        All replicas that the moves may name.
    """
    ranges = {
        stage.replica.replica_id: (stage.replica, stage.layers)
        for stage in chain.stages
    }
    ranges.update(
        {
            replica_id: (replicas[replica_id], layers)
            for replica_id, layers in moves.items()
        }
    )
    parts = sorted(ranges.values(), key=_get_first_layer)
    return Pipeline([(replica, layers.count) for replica, layers in parts])


def _fill_gap(
    engine: EngineSpec,
    gap: LayerRange,
    spares: list[Replica],
    main_data_centre: str,
) -> Moves | None:
    """Partition a gap among spares: local ones first, then empty ones."""
    for requests in (TARGET_REQUESTS, MIN_REQUESTS):
        rank = partial(_rank_for_gap, engine, gap, main_data_centre, requests)
        moves: Moves = {}
        first = gap.first
        for replica in sorted(spares, key=rank):
            max_count = count_max_layers(engine, replica, requests)
            count = min(max_count, gap.end - first)
            if count <= 0:
                continue
            moves[replica.replica_id] = LayerRange(first, first + count)
            first += count
            if first >= gap.end:
                return moves
    return None


def _rank_for_gap(
    engine: EngineSpec,
    gap: LayerRange,
    main_data_centre: str,
    requests: float,
    replica: Replica,
) -> tuple[tuple[bool, str], bool, int, int, str]:
    """Rank a replica for a gap: local, empty, large enough, least oversized.

    Replicas of one remote data centre rank next to each other, so that the
    pipeline crosses few links.
    """
    max_count = count_max_layers(engine, replica, requests)
    return (
        (replica.data_centre != main_data_centre, replica.data_centre),
        replica.layers is not None,
        max(0, gap.count - max_count),
        max(0, max_count - gap.count),
        replica.replica_id,
    )


def _insert_replicas(chain: Chain, joining: Sequence[Replica]) -> list[Replica]:
    """Return a chain's replicas with others inserted at its first gap."""
    positioned = [(stage.layers.first, stage.replica) for stage in chain.stages]
    positioned.extend((chain.gaps[0].first, item) for item in joining)
    positioned.sort(key=lambda pair: (pair[0], pair[1].replica_id))
    return [replica for _, replica in positioned]


def _assign_layers(
    engine: EngineSpec, replicas: list[Replica], counts: list[int]
) -> Moves:
    """Assign all layers in order, at most `counts` to each replica.

    The surplus is taken from the largest counts; replicas that are left without
    layers are omitted.
    """
    surplus = sum(counts) - engine.layers
    while surplus:
        largest = max(range(len(counts)), key=counts.__getitem__)
        counts[largest] -= 1
        surplus -= 1
    moves: Moves = {}
    first = 0
    for replica, count in zip(replicas, counts, strict=True):
        layers = LayerRange(first, first + count)
        first += count
        if count:
            moves[replica.replica_id] = layers
    return moves


def _get_first_layer(part: tuple[Replica, LayerRange]) -> int:
    return part[1].first
