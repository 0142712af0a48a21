"""State of one data centre during planning: its pipelines and spares."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.planner import plan_data_centre
from samphirerill.fleet.prediction import predict_stage_ms
from samphirerill.fleet.rates import get_accelerator
from samphirerill.fleet.rebalancing import build_pipeline

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.rates import Pipeline

Moves = dict[str, LayerRange]


@dataclass(slots=True)
class DataCentreState:
    """The pipelines, spares and planned moves of one data centre.

    `complete` pipelines work, or will after `moves`; `incomplete` ones are to
    be repaired.
    """

    replicas: list[Replica]
    complete: list[Pipeline] = field(default_factory=list)
    incomplete: list[Chain] = field(default_factory=list)
    spares: list[Replica] = field(default_factory=list)
    moves: Moves = field(default_factory=dict)


def analyze_data_centre(
    engine: EngineSpec,
    replicas: list[Replica],
    plan_targets: PlanTargets,
    settled: Collection[str],
    previous_count: int,
) -> DataCentreState:
    """Return the pipelines and spares of a data centre.

    The number of incomplete pipelines to repair is limited to what a plan of
    the settled replicas contains, or to the previous number: newcomers give no
    reason for another pipeline, as the replicas they replace are about to
    drain.
    """
    chains = extract_chains(engine, replicas)
    complete = [build_pipeline(chain) for chain in chains if not chain.gaps]
    incomplete = [chain for chain in chains if chain.gaps]
    if incomplete:
        settled_replicas = [
            item for item in replicas if item.replica_id in settled
        ]
        plan = plan_data_centre(engine, settled_replicas, plan_targets)
        target_count = 0 if plan is None else len(plan.pipelines)
        incomplete.sort(key=lambda chain: _predict_layer_ms(engine, chain))
        incomplete = incomplete[
            : max(0, max(target_count, previous_count) - len(complete))
        ]
    data_centre = DataCentreState(replicas, complete, incomplete)
    used = list_used_ids(data_centre)
    data_centre.spares = [
        item for item in replicas if item.replica_id not in used
    ]
    return data_centre


def list_used_ids(data_centre: DataCentreState) -> set[str]:
    """Return the ids of replicas that any pipeline needs, complete or not."""
    used = {
        replica.replica_id
        for pipeline in data_centre.complete
        for replica, _ in pipeline.members
    }
    used.update(
        stage.replica.replica_id
        for chain in data_centre.incomplete
        for stage in chain.stages
    )
    return used


def list_held_ranges(replicas: Sequence[Replica]) -> list[LayerRange]:
    """Return the layer ranges of replicas that hold any."""
    return [item.layers for item in replicas if item.layers is not None]


def index_replicas(data_centre: DataCentreState) -> dict[str, Replica]:
    """Return the replicas of a data centre by id."""
    return {item.replica_id: item for item in data_centre.replicas}


def _predict_layer_ms(engine: EngineSpec, chain: Chain) -> float:
    """Return the predicted milliseconds per layer of a chain."""
    total_ms = sum(
        predict_stage_ms(
            engine,
            get_accelerator(engine, stage.replica),
            stage.layers.count,
            1,
        )
        for stage in chain.stages
    )
    return total_ms / max(1, engine.layers - chain.count_missing())
