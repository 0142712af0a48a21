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
from samphirerill.fleet.worth import predict_goodput

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.worth import Aims

# A change takes some seconds of a pipeline's work; it must be worth it.
_MIN_GAIN = 1.6
# What one move takes off a plan's predicted rate when plans are compared.
_MOVE_PENALTY = 0.004
Moves = dict[str, LayerRange]


def plan_rebalance(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    current: Sequence[Pipeline],
    backups: Sequence[LayerRange],
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
    plan = plan_zone(engine, replicas, aims)
    if plan is None:
        return {}
    goodput = predict_goodput(engine, current, backups, aims)
    moves = assign_stages(plan.pipelines, replicas)
    if plan.goodput * (1 - _MOVE_PENALTY * len(moves)) <= goodput * _MIN_GAIN:
        return {}
    return moves


def build_pipeline(chain: Chain) -> Pipeline:
    """Return a whole chain as a pipeline."""
    return Pipeline(
        [(stage.replica, stage.layers.count) for stage in chain.stages]
    )


def assign_stages(
    pipelines: Sequence[Pipeline], replicas: Sequence[Replica]
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
    for replica in replicas:
        free.setdefault(replica.accelerator, []).append(replica)
    moves: Moves = {}
    for accelerator, layers in _list_unassigned_stages(pipelines, free):
        overlaps = [_count_overlap(item, layers) for item in free[accelerator]]
        chosen = free[accelerator].pop(overlaps.index(max(overlaps)))
        moves[chosen.replica_id] = layers
    return moves


def _list_unassigned_stages(
    pipelines: Sequence[Pipeline], free: dict[str, list[Replica]]
) -> list[tuple[str, LayerRange]]:
    """Return the parts that nobody holds yet; who holds one is not free."""
    stages = []
    for pipeline in pipelines:
        for stage in pipeline.list_stages():
            accelerator = stage.replica.accelerator
            if not _take_exact_holder(free[accelerator], stage.layers):
                stages.append((accelerator, stage.layers))
    return stages


def _take_exact_holder(free: list[Replica], layers: LayerRange) -> bool:
    """Take out the replica that holds just these layers, if there is one."""
    for index, replica in enumerate(free):
        if replica.layers == layers:
            free.pop(index)
            return True
    return False


def _count_overlap(replica: Replica, layers: LayerRange) -> int:
    held = replica.layers
    if held is None:
        return 0
    return max(0, min(held.end, layers.end) - max(held.first, layers.first))
