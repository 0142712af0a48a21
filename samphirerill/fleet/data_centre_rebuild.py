"""Plans for data centres without a complete pipeline.

This covers a data centre whose replicas have all restarted, a first plan made
before all replicas were known, and more losses than the data centre's own
replicas can make up for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.data_centre_state import list_used_ids
from samphirerill.fleet.gap_filling import fill_gaps
from samphirerill.fleet.planner import plan_data_centre
from samphirerill.fleet.rebalancing import assign_stages

if TYPE_CHECKING:
    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.data_centre_state import DataCentreState
    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import EngineSpec


def rebuild_data_centre(
    engine: EngineSpec, data_centre: DataCentreState, plan_targets: PlanTargets
) -> None:
    """Plan a data centre from scratch if none of its pipelines is repairable.

    Its replicas restarted empty, or hold layers that do not fit together. These
    could serve only paths that cross to other data centres, which the links
    limit. Without this, a data centre whose replicas had all restarted would
    never serve again, as there is no incomplete pipeline to repair.
    """
    plan = plan_data_centre(engine, data_centre.replicas, plan_targets)
    if plan is None:
        return
    data_centre.moves.update(
        assign_stages(plan.pipelines, data_centre.replicas)
    )
    data_centre.complete.extend(plan.pipelines)
    data_centre.incomplete.clear()
    used = list_used_ids(data_centre)
    used.update(data_centre.moves)
    data_centre.spares = [
        item for item in data_centre.replicas if item.replica_id not in used
    ]


def repair_across_data_centres(
    engine: EngineSpec, data_centres: list[DataCentreState]
) -> None:
    """Complete a pipeline from data centres without one and others' spares."""
    unserved = [
        data_centre for data_centre in data_centres if not data_centre.complete
    ]
    if not unserved:
        return
    unserved_names = {
        replica.data_centre
        for data_centre in unserved
        for replica in data_centre.replicas
    }
    replicas = [
        replica for data_centre in unserved for replica in data_centre.replicas
    ]
    replicas.extend(
        replica
        for data_centre in data_centres
        if data_centre.complete
        for replica in data_centre.spares
    )
    chains = [
        chain
        for chain in extract_chains(engine, replicas)
        if any(
            stage.replica.data_centre in unserved_names
            for stage in chain.stages
        )
    ]
    if not chains:
        return
    if all(chain.gaps for chain in chains):
        best = chains[0]
        used = {stage.replica.replica_id for stage in best.stages}
        free = [
            replica for replica in replicas if replica.replica_id not in used
        ]
        unserved[0].moves.update(fill_gaps(engine, best, free) or {})
    _reserve_spares(data_centres, chains)


def _reserve_spares(
    data_centres: list[DataCentreState], chains: list[Chain]
) -> None:
    """Remove the spares that a pipeline across data centres uses."""
    used = {
        stage.replica.replica_id
        for chain in chains
        if not chain.gaps
        for stage in chain.stages
    }
    used.update(
        replica_id
        for data_centre in data_centres
        for replica_id in data_centre.moves
    )
    for data_centre in data_centres:
        data_centre.spares = [
            replica
            for replica in data_centre.spares
            if replica.replica_id not in used
        ]
