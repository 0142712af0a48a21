"""Decide the next moves of layers, given what replicas hold now.

Data centres are planned one by one. Complete pipelines are kept; those that
lost a stage are repaired, first with spare replicas. Spares become backups. A
data centre without any complete pipeline is planned from scratch, and uses
other data centres' spares only if it cannot build a pipeline by itself. A fleet
without recent changes is rebalanced if that is a clear gain.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.data_centre_rebuild import (
    rebuild_data_centre,
    repair_across_data_centres,
)
from samphirerill.fleet.data_centre_state import (
    analyze_data_centre,
    index_replicas,
    list_held_ranges,
    list_used_ids,
)
from samphirerill.fleet.gap_filling import (
    build_repaired_pipeline,
    fill_gaps,
    repartition,
)
from samphirerill.fleet.model import NO_LAYERS, LayerRange
from samphirerill.fleet.planner import group_by_data_centre, plan_layers
from samphirerill.fleet.rates import (
    count_max_layers,
    predict_rate,
)
from samphirerill.fleet.rebalancing import plan_rebalance
from samphirerill.fleet.redundancy import (
    assign_backups,
    list_rated_stages,
    predict_repair_loss,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.data_centre_state import DataCentreState
    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import EngineSpec, Replica

# A slower pipeline is dismantled for a faster one only above this ratio of
# rates.
_MIN_GAIN = 1.3
# With at most this many replicas of its kind in pipelines, a newcomer can be
# assumed to replace one of them.
_MAX_HOLDERS_TO_PRELOAD = 2
# A pipeline beside complete ones is repaired with no more replicas that hold other
# layers while replicas come and go: these layers back up stages, and the repair is
# outdated before its layers are loaded.
_MAX_DISPLACED = 3
Moves = dict[str, LayerRange]


def plan_moves(
    engine: EngineSpec,
    present: Sequence[Replica],
    plan_targets: PlanTargets,
    settled: Collection[str],
    *,
    is_stable: bool = True,
    max_complete: Mapping[str, int] | None = None,
) -> Moves:
    """Return the layers of replicas that should hold others than now.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    present : sequence of Replica
        The live replicas that are not draining.
    plan_targets : PlanTargets
        The targets of the plan.
    settled : collection of str
        Replicas that may become backups; newer ones are kept free to replace
        replicas that drain.
    is_stable : bool
        No replica has joined or left for a while.
    max_complete : mapping of str to int, optional
        The most complete pipelines that each data centre has had.
    """
    known = [
        item for item in present if item.accelerator in engine.accelerators
    ]
    if all(replica.layers is None for replica in known):
        plan = plan_layers(engine, known, plan_targets)
        return {} if plan is None else plan.list_ranges()
    data_centres = [
        analyze_data_centre(
            engine,
            replicas,
            plan_targets,
            settled,
            (max_complete or {}).get(name, 0),
        )
        for name, replicas in group_by_data_centre(known).items()
    ]
    for data_centre in data_centres:
        _repair_data_centre(
            engine, data_centre, plan_targets, is_stable=is_stable
        )
        if not data_centre.complete:
            rebuild_data_centre(engine, data_centre, plan_targets)
    repair_across_data_centres(engine, data_centres)
    moves = _drop_unchanged(
        _merge_moves(item.moves for item in data_centres), known
    )
    if moves:
        return moves
    backups = [
        _assign_data_centre_backups(engine, item, plan_targets, settled)
        for item in data_centres
    ]
    moves = _drop_unchanged(_merge_moves(backups), known)
    if moves or not is_stable:
        return moves
    return _rebalance(engine, data_centres, plan_targets)


def count_complete(
    engine: EngineSpec, present: Sequence[Replica]
) -> dict[str, int]:
    """Return the number of complete pipelines in each data centre."""
    return {
        name: sum(not chain.gaps for chain in extract_chains(engine, replicas))
        for name, replicas in group_by_data_centre(present).items()
    }


def _repair_data_centre(
    engine: EngineSpec,
    data_centre: DataCentreState,
    plan_targets: PlanTargets,
    *,
    is_stable: bool,
) -> None:
    """Repair incomplete pipelines, the fastest first."""
    for chain in tuple(data_centre.incomplete):
        if chain not in data_centre.incomplete:
            # A faster pipeline has taken its replicas.
            continue
        moves = _find_moves(engine, data_centre, chain, plan_targets)
        may_move = is_stable or not _should_wait(data_centre, moves or {})
        if (
            moves
            and may_move
            and _is_net_gain(engine, data_centre, chain, moves, plan_targets)
        ):
            _apply_moves(data_centre, chain, moves)


def _should_wait(data_centre: DataCentreState, moves: Moves) -> bool:
    """Return whether a repair should wait until the fleet is stable."""
    displaced = _count_displaced(data_centre, moves)
    return bool(data_centre.complete) and displaced > _MAX_DISPLACED


def _count_displaced(data_centre: DataCentreState, moves: Moves) -> int:
    """Return how many replicas moves take from other layers."""
    return sum(
        item.layers not in {None, moves.get(item.replica_id, item.layers)}
        for item in data_centre.replicas
    )


def _find_moves(
    engine: EngineSpec,
    data_centre: DataCentreState,
    chain: Chain,
    plan_targets: PlanTargets,
) -> Moves | None:
    """Return the least disruptive moves that complete a pipeline."""
    return (
        fill_gaps(engine, chain, data_centre.spares)
        or _fill_from_slower(engine, data_centre, chain)
        or repartition(engine, chain, data_centre.spares, plan_targets.pause_ms)
        or _dismantle_slowest(engine, data_centre, chain, plan_targets)
    )


def _fill_from_slower(
    engine: EngineSpec, data_centre: DataCentreState, chain: Chain
) -> Moves | None:
    """Fill gaps with the stages of slower incomplete pipelines."""
    index = data_centre.incomplete.index(chain)
    slower = [
        stage.replica
        for other in data_centre.incomplete[index + 1 :]
        for stage in other.stages
    ]
    if not slower:
        return None
    return fill_gaps(engine, chain, [*data_centre.spares, *slower])


def _dismantle_slowest(
    engine: EngineSpec,
    data_centre: DataCentreState,
    chain: Chain,
    plan_targets: PlanTargets,
) -> Moves | None:
    """Fill gaps with the stages of the slowest complete pipeline."""
    slowest = min(
        data_centre.complete,
        key=lambda pipeline: predict_rate(
            engine, pipeline, plan_targets.pause_ms
        ),
        default=None,
    )
    if slowest is None:
        return None
    stages = [replica for replica, _ in slowest.members]
    moves = fill_gaps(engine, chain, [*data_centre.spares, *stages])
    if moves is None:
        return None
    gained_rate = predict_rate(
        engine,
        build_repaired_pipeline(chain, moves, index_replicas(data_centre)),
        plan_targets.pause_ms,
    )
    if (
        gained_rate
        < predict_rate(engine, slowest, plan_targets.pause_ms) * _MIN_GAIN
    ):
        return None
    data_centre.complete.remove(slowest)
    return moves


def _is_net_gain(
    engine: EngineSpec,
    data_centre: DataCentreState,
    chain: Chain,
    moves: Moves,
    plan_targets: PlanTargets,
) -> bool:
    """Return whether a pipeline outweighs the backups that it takes away."""
    gained_rate = predict_rate(
        engine,
        build_repaired_pipeline(chain, moves, index_replicas(data_centre)),
        plan_targets.pause_ms,
    )
    stages = list_rated_stages(
        engine, data_centre.complete, plan_targets.pause_ms
    )
    backups = list_held_ranges(data_centre.spares)
    before = predict_repair_loss(stages, backups)
    remaining = [
        item for item in data_centre.spares if item.replica_id not in moves
    ]
    return (
        gained_rate
        > predict_repair_loss(stages, list_held_ranges(remaining)) - before
    )


def _apply_moves(
    data_centre: DataCentreState, chain: Chain, moves: Moves
) -> None:
    """Update the data centre's state as if moves were done."""
    data_centre.complete.append(
        build_repaired_pipeline(chain, moves, index_replicas(data_centre))
    )
    data_centre.incomplete.remove(chain)
    data_centre.incomplete = [
        other
        for other in data_centre.incomplete
        if not any(stage.replica.replica_id in moves for stage in other.stages)
    ]
    data_centre.moves.update(moves)
    used = list_used_ids(data_centre)
    data_centre.spares = [
        item for item in data_centre.replicas if item.replica_id not in used
    ]


def _assign_data_centre_backups(
    engine: EngineSpec,
    data_centre: DataCentreState,
    plan_targets: PlanTargets,
    settled: Collection[str],
) -> Moves:
    """Assign backups to settled spares, and likely replacements to newcomers."""
    moves = _preload_replacements(engine, data_centre, settled)
    stages = list_rated_stages(
        engine, data_centre.complete, plan_targets.pause_ms
    )
    spares = [item for item in data_centre.spares if item.replica_id in settled]
    moves.update(assign_backups(engine, stages, spares))
    return moves


def _preload_replacements(
    engine: EngineSpec, data_centre: DataCentreState, settled: Collection[str]
) -> Moves:
    """Assign newcomers the layers of the replica they probably replace.

    In a release the new replica starts about a second before the old one
    drains. Where only one or two have its kind of accelerator, loading at once
    shortens the time that their pipeline is out of service.
    """
    moves: Moves = {}
    for replica in data_centre.spares:
        if replica.replica_id in settled or replica.layers is not None:
            continue
        held = _list_ranges_by_accelerator(data_centre, replica.accelerator)
        remaining = [item for item in held if item not in moves.values()]
        largest = max(remaining, key=_get_count, default=NO_LAYERS)
        fits = 0 < largest.count <= count_max_layers(engine, replica)
        if fits and len(held) <= _MAX_HOLDERS_TO_PRELOAD:
            moves[replica.replica_id] = largest
    return moves


def _list_ranges_by_accelerator(
    data_centre: DataCentreState, accelerator: str
) -> list[LayerRange]:
    """Return the pipelines' layer ranges on one kind of accelerator."""
    return [
        stage.layers
        for pipeline in data_centre.complete
        for stage in pipeline.list_stages()
        if stage.replica.accelerator == accelerator
    ]


def _rebalance(
    engine: EngineSpec,
    data_centres: list[DataCentreState],
    plan_targets: PlanTargets,
) -> Moves:
    """Return the moves that rebalance the first data centre that gains by it."""
    for data_centre in data_centres:
        if not data_centre.complete:
            continue
        moves = plan_rebalance(
            engine,
            data_centre.replicas,
            data_centre.complete,
            list_held_ranges(data_centre.spares),
            plan_targets,
        )
        if moves:
            return moves
    return {}


def _merge_moves(parts: Iterable[Moves]) -> Moves:
    return {
        replica_id: layers
        for part in parts
        for replica_id, layers in part.items()
    }


def _drop_unchanged(moves: Moves, present: Sequence[Replica]) -> Moves:
    """Omit moves whose replica already holds the layers."""
    held = {item.replica_id: item.layers for item in present}
    return {
        replica_id: layers
        for replica_id, layers in moves.items()
        if held[replica_id] != layers
    }


def _get_count(layers: LayerRange) -> int:
    return layers.count
