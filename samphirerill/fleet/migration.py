"""Change over to a better plan, one data centre at a time.

After some losses and repairs the parts that are left may add up to far less
than the same replicas could do if they were cut anew. The change is made only
for a clear gain, and at once: done a pipeline at a time, each step was mended in
another way than the next one meant it, and the same replicas loaded for ever.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.planner import plan_zone
from samphirerill.fleet.rates import Pipeline
from samphirerill.fleet.worth import predict_worth

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.worth import Aims

# A change takes some seconds of a pipeline's work; it must be worth it.
_GAIN = 1.6
# What one move takes off a plan's predicted rate when plans are compared.
_MOVE_COST = 0.004
Moves = dict[str, LayerRange]


def plan_migration(
    engine: EngineSpec,
    cards: Sequence[Replica],
    whole: Sequence[Pipeline],
    doubles: Sequence[LayerRange],
    aims: Aims,
) -> Moves:
    """Return the moves to a clearly better plan, if there is one.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    cards : sequence of Replica
        Those of one data centre that live and are not leaving.
    whole : sequence of Pipeline
        The pipelines that work now.
    doubles : sequence of LayerRange
        What replicas hold that no pipeline needs.
    aims : Aims
        What is asked for.
    """
    planned = plan_zone(engine, cards, aims)
    if planned is None:
        return {}
    worth = predict_worth(engine, whole, doubles, aims)
    moves = assign_parts(planned.pipelines, cards)
    if planned.worth * (1 - _MOVE_COST * len(moves)) <= worth * _GAIN:
        return {}
    return moves


def build_pipeline(chain: Chain) -> Pipeline:
    """Return a whole chain as a pipeline."""
    return Pipeline(
        [(stage.replica, stage.layers.count) for stage in chain.stages]
    )


def assign_parts(
    pipelines: Sequence[Pipeline], cards: Sequence[Replica]
) -> Moves:
    """Return the moves that a plan needs.

    Parameters
    ----------
    pipelines : sequence of Pipeline
        What the plan wants.
    cards : sequence of Replica
        Those that it was made for.

    Notes
    -----
    Replicas of one kind are interchangeable: each part goes to the one that
    holds most of it already.
    """
    free: dict[str, list[Replica]] = {}
    for card in cards:
        free.setdefault(card.accelerator, []).append(card)
    moves: Moves = {}
    for kind, layers in _list_open_parts(pipelines, free):
        overlaps = [_overlap(item, layers) for item in free[kind]]
        chosen = free[kind].pop(overlaps.index(max(overlaps)))
        moves[chosen.replica_id] = layers
    return moves


def _list_open_parts(
    pipelines: Sequence[Pipeline], free: dict[str, list[Replica]]
) -> list[tuple[str, LayerRange]]:
    """Return the parts that nobody holds yet; who holds one is not free."""
    parts = []
    for pipeline in pipelines:
        for stage in pipeline.list_stages():
            kind = stage.replica.accelerator
            if not _keep(free[kind], stage.layers):
                parts.append((kind, stage.layers))
    return parts


def _keep(free: list[Replica], layers: LayerRange) -> bool:
    """Take out the replica that holds just these layers, if there is one."""
    for at, replica in enumerate(free):
        if replica.layers == layers:
            free.pop(at)
            return True
    return False


def _overlap(replica: Replica, layers: LayerRange) -> int:
    held = replica.layers
    if held is None:
        return 0
    return max(0, min(held.end, layers.end) - max(held.first, layers.first))
