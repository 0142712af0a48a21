"""Make a broken pipeline whole again with few loads.

Gaps are closed by replicas that no pipeline needs, near and empty ones first.
Where they don't suffice, the parts that are left take on more layers each.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.rates import (
    LEAST_REQUESTS,
    WANTED_REQUESTS,
    Pipeline,
    count_most_layers,
    predict_rate,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica

_REQUESTS = range(WANTED_REQUESTS, LEAST_REQUESTS - 1, -5)
# What one move takes off a predicted rate: it costs a load, and a spare that
# joins doubles nothing any more.
_MOVE_COST = 0.01
Moves = dict[str, LayerRange]


def close_gaps(
    engine: EngineSpec, chain: Chain, spares: Sequence[Replica]
) -> Moves | None:
    """Return the moves that close a chain's gaps, or none if they can't be."""
    left = list(spares)
    moves: Moves = {}
    home = chain.find_home()
    for gap in chain.gaps:
        taken = _close_gap(engine, gap, left, home)
        if taken is None:
            return None
        moves.update(taken)
        left = [item for item in left if item.replica_id not in taken]
    return moves


def cut_anew(
    engine: EngineSpec,
    chain: Chain,
    spares: Sequence[Replica],
    pause_ms: float,
) -> Moves | None:
    """Let each part of a broken chain take on some of the missing layers.

    The parts keep their order, so that most of what they hold stays. Spares
    of the chain's data centre join them where the first gap is, as many as
    give the highest rate.
    """
    home = chain.find_home()
    near = [item for item in spares if item.data_centre == home]
    near.sort(key=lambda item: _rank_joining(engine, item))
    options = [
        _cut(engine, _join(chain, near[:joining]), pause_ms)
        for joining in range(len(near) + 1)
    ]
    _, best = max(options, key=_rate, default=(0.0, None))
    return best


def _cut(
    engine: EngineSpec, replicas: list[Replica], pause_ms: float
) -> tuple[float, Moves | None]:
    """Cut the layers among replicas in order; return the rate and the moves."""
    for requests in _REQUESTS:
        counts = [
            count_most_layers(engine, item, requests) for item in replicas
        ]
        if sum(counts) >= engine.layers:
            moves = _assign(engine, replicas, counts)
            held = {item.replica_id: item for item in replicas}
            pipeline = Pipeline(
                [(held[name], layers.count) for name, layers in moves.items()]
            )
            changed = sum(
                held[name].layers != layers for name, layers in moves.items()
            )
            rate = predict_rate(engine, pipeline, pause_ms)
            return rate * (1 - _MOVE_COST * changed), moves
    return 0.0, None


def _rate(option: tuple[float, Moves | None]) -> float:
    return option[0]


def _rank_joining(
    engine: EngineSpec, replica: Replica
) -> tuple[bool, int, str]:
    """Rank empty replicas first, then those that can hold the most."""
    most = count_most_layers(engine, replica)
    return replica.layers is not None, -most, replica.replica_id


def complete(
    chain: Chain, moves: Moves, replicas: dict[str, Replica]
) -> Pipeline:
    """Return the pipeline that a chain becomes by moves.

    Parameters
    ----------
    chain : Chain
        With gaps, or not.
    moves : dict of str to LayerRange
        As `close_gaps` and `cut_anew` return them.
    replicas : dict of str to Replica
        All that the moves may name.
    """
    ranges = {
        stage.replica.replica_id: (stage.replica, stage.layers)
        for stage in chain.stages
    }
    ranges.update(
        {name: (replicas[name], layers) for name, layers in moves.items()}
    )
    parts = sorted(ranges.values(), key=_first_layer)
    return Pipeline([(replica, layers.count) for replica, layers in parts])


def _close_gap(
    engine: EngineSpec, gap: LayerRange, spares: list[Replica], home: str
) -> Moves | None:
    """Cut a gap among spares: near ones first, then empty ones."""
    for requests in (WANTED_REQUESTS, LEAST_REQUESTS):
        rank = partial(_rank_for_gap, engine, gap, home, requests)
        moves: Moves = {}
        first = gap.first
        for replica in sorted(spares, key=rank):
            most = count_most_layers(engine, replica, requests)
            count = min(most, gap.end - first)
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
    home: str,
    requests: float,
    replica: Replica,
) -> tuple[tuple[bool, str], bool, int, int, str]:
    """Rank a replica for a gap: near, empty, not too small, not too large.

    Those of one other data centre come together, so that few pipes are
    crossed.
    """
    most = count_most_layers(engine, replica, requests)
    return (
        (replica.data_centre != home, replica.data_centre),
        replica.layers is not None,
        max(0, gap.count - most),
        max(0, most - gap.count),
        replica.replica_id,
    )


def _join(chain: Chain, joining: Sequence[Replica]) -> list[Replica]:
    """Return a chain's parts with others where its first gap is."""
    cards = [(stage.layers.first, stage.replica) for stage in chain.stages]
    cards.extend((chain.gaps[0].first, item) for item in joining)
    cards.sort(key=lambda pair: (pair[0], pair[1].replica_id))
    return [replica for _, replica in cards]


def _assign(
    engine: EngineSpec, replicas: list[Replica], counts: list[int]
) -> Moves:
    """Give out all layers in order, most to those that can hold most.

    Parts that get none are left out.
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


def _first_layer(part: tuple[Replica, LayerRange]) -> int:
    return part[1].first
