"""Plans for data centres without a complete pipeline.

This covers a data centre whose replicas have all restarted, a first plan made
before all replicas were known, and more losses than the data centre's own
replicas can make up for.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.gap_filling import fill_gaps
from samphirerill.fleet.migration import assign_stages
from samphirerill.fleet.planner import plan_zone
from samphirerill.fleet.zone_state import list_used_ids

if TYPE_CHECKING:
    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.worth import PlanTargets
    from samphirerill.fleet.zone_state import Zone


def rebuild_zone(engine: EngineSpec, zone: Zone, aims: PlanTargets) -> None:
    """Plan a data centre from scratch if none of its pipelines is repairable.

    Its replicas restarted empty, or hold layers that do not fit together. These
    could serve only paths that cross to other data centres, which the links
    limit. Without this, a data centre whose replicas had all restarted would
    never serve again, as there is no incomplete pipeline to repair.
    """
    plan = plan_zone(engine, zone.replicas, aims)
    if plan is None:
        return
    zone.moves.update(assign_stages(plan.pipelines, zone.replicas))
    zone.complete.extend(plan.pipelines)
    zone.incomplete.clear()
    used = list_used_ids(zone)
    used.update(zone.moves)
    zone.spares = [
        item for item in zone.replicas if item.replica_id not in used
    ]


def repair_across_zones(engine: EngineSpec, zones: list[Zone]) -> None:
    """Complete a pipeline from data centres without one and others' spares."""
    unserved = [zone for zone in zones if not zone.complete]
    if not unserved:
        return
    data_centres = {
        replica.data_centre for zone in unserved for replica in zone.replicas
    }
    replicas = [replica for zone in unserved for replica in zone.replicas]
    replicas.extend(
        replica for zone in zones if zone.complete for replica in zone.spares
    )
    chains = [
        chain
        for chain in extract_chains(engine, replicas)
        if any(
            stage.replica.data_centre in data_centres for stage in chain.stages
        )
    ]
    if not chains:
        return
    if all(chain.gaps for chain in chains):
        best = chains[0]
        held = {stage.replica.replica_id for stage in best.stages}
        free = [
            replica for replica in replicas if replica.replica_id not in held
        ]
        unserved[0].moves.update(fill_gaps(engine, best, free) or {})
    _reserve_spares(zones, chains)


def _reserve_spares(zones: list[Zone], chains: list[Chain]) -> None:
    """Remove the spares that a pipeline across data centres uses."""
    used = {
        stage.replica.replica_id
        for chain in chains
        if not chain.gaps
        for stage in chain.stages
    }
    used.update(name for zone in zones for name in zone.moves)
    for zone in zones:
        zone.spares = [
            replica for replica in zone.spares if replica.replica_id not in used
        ]
