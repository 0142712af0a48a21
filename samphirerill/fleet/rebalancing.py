"""Change to a clearly better placement, one data centre at a time.

After losses and repairs, the pipelines may be far slower than a new placement
of the same replicas. A change is made only for a clear gain, and in one step:
when pipelines were changed one by one, repairs undid the steps in between and
the same replicas loaded layers over and over.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.goodput import predict_goodput
from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.planner import plan_data_centre
from samphirerill.fleet.rates import Pipeline

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import EngineSpec, Replica

# A change takes a pipeline out of service for some seconds.
_MIN_GAIN = 1.6
# Reduction of a plan's predicted goodput for each move.
_MOVE_PENALTY = 0.004
Moves = dict[str, LayerRange]


def plan_rebalance(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    current: Sequence[Pipeline],
    backups: Sequence[LayerRange],
    plan_targets: PlanTargets,
) -> Moves:
    """Return the moves to a clearly better placement, if there is one.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    replicas : sequence of Replica
        The live replicas of one data centre that are not draining.
    current : sequence of Pipeline
        The pipelines that are complete now.
    backups : sequence of LayerRange
        The layers of replicas that no pipeline needs.
    plan_targets : PlanTargets
        The targets of the plan.
    """
    plan = plan_data_centre(engine, replicas, plan_targets)
    if plan is None:
        return {}
    goodput = predict_goodput(
        engine, current, backups, plan_targets, plan.peak_rate
    )
    moves = assign_stages(plan.pipelines, replicas)
    if plan.goodput * (1 - _MOVE_PENALTY * len(moves)) <= goodput * _MIN_GAIN:
        return {}
    return moves


def build_pipeline(chain: Chain) -> Pipeline:
    """Return a chain without gaps as a pipeline."""
    return Pipeline(
        [(stage.replica, stage.layers.count) for stage in chain.stages]
    )


def assign_stages(
    pipelines: Sequence[Pipeline], replicas: Sequence[Replica]
) -> Moves:
    """Return the moves that turn the current placement into a plan.

    Parameters
    ----------
    pipelines : sequence of Pipeline
        The planned pipelines.
    replicas : sequence of Replica
        The replicas that the plan was made for.

    Notes
    -----
    Replicas with the same kind of accelerator are interchangeable: each stage
    goes to the one that already holds most of its layers.
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
    """Return the stages that no replica holds exactly.

    Replicas that hold a planned stage are removed from `free`.
    """
    stages = []
    for pipeline in pipelines:
        for stage in pipeline.list_stages():
            accelerator = stage.replica.accelerator
            if not _take_exact_holder(free[accelerator], stage.layers):
                stages.append((accelerator, stage.layers))
    return stages


def _take_exact_holder(free: list[Replica], layers: LayerRange) -> bool:
    """Remove the replica that holds exactly these layers, if there is one."""
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
