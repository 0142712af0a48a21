"""Plan which layers each replica should hold, from scratch.

A plan is a set of pipelines; each covers every layer once. A target number of
tokens determines how many layers each kind of accelerator can hold beside them.
Pipelines stay within one data centre, since a prompt that crosses a link delays
every other stream's next token there; only data centres that cannot build a
pipeline by themselves are combined. Spare replicas become backups.

For each data centre, plans are made for several token targets, and the one with
the highest goodput is chosen (see `predict_goodput`).
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from itertools import chain
from typing import TYPE_CHECKING

from samphirerill.fleet.goodput import predict_goodput
from samphirerill.fleet.model import MB, LayerRange, count_tokens
from samphirerill.fleet.rates import (
    TARGET_REQUESTS,
    Pipeline,
    get_accelerator,
    predict_total_rate,
)
from samphirerill.fleet.redundancy import assign_backups, list_rated_stages

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.goodput import PlanTargets
    from samphirerill.fleet.model import Accelerator, EngineSpec, Replica

# A pipeline with memory for fewer usual requests is not worth building.
_MIN_REQUESTS = 8
_MAX_REQUESTS = 160
_REQUESTS_STEP_FACTOR = 1.15
LayerAssignments = dict[str, LayerRange]


@dataclass(slots=True)
class PlacementPlan:
    """Pipelines, spare replicas, and the layers that spares hold as backups.

    `goodput` is the predicted rate of answers on time, less the cost of losses,
    and `peak_rate` the highest arrival rate that it was predicted for.
    """

    pipelines: list[Pipeline]
    spares: list[Replica]
    backups: LayerAssignments
    goodput: float
    peak_rate: float

    def list_ranges(self) -> LayerAssignments:
        """Return the planned layers by replica id."""
        ranges = {
            stage.replica.replica_id: stage.layers
            for pipeline in self.pipelines
            for stage in pipeline.list_stages()
        }
        ranges.update(self.backups)
        return ranges


def plan_layers(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    plan_targets: PlanTargets,
) -> PlacementPlan | None:
    """Return the best plan found, or ``None`` if no pipeline can be built.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    replicas : sequence of Replica
        The replicas of one service that may be assigned layers.
    plan_targets : PlanTargets
        The targets of the plan.
    """
    plans = []
    unplaced: list[Replica] = []
    for data_centre_replicas in group_by_data_centre(replicas).values():
        plan = plan_data_centre(engine, data_centre_replicas, plan_targets)
        if plan is None:
            unplaced.extend(data_centre_replicas)
        else:
            plans.append(plan)
    cross_data_centre = _plan_across_data_centres(
        engine, unplaced, plan_targets
    )
    if cross_data_centre is not None:
        plans.append(cross_data_centre)
    if not plans:
        return None
    return PlacementPlan(
        [pipeline for plan in plans for pipeline in plan.pipelines],
        [spare for plan in plans for spare in plan.spares],
        {key: held for plan in plans for key, held in plan.backups.items()},
        sum(plan.goodput for plan in plans),
        sum(plan.peak_rate for plan in plans),
    )


def plan_data_centre(
    engine: EngineSpec, replicas: Sequence[Replica], plan_targets: PlanTargets
) -> PlacementPlan | None:
    """Return the best plan of one data centre, or ``None``.

    The first pipeline carries most streams. Its token target is chosen first,
    then that of the others.
    """
    for targets in _list_token_targets(engine):
        best = _choose_targets(engine, replicas, plan_targets, targets)
        if best.pipelines:
            return best
    return None


def group_by_data_centre(
    replicas: Iterable[Replica],
) -> dict[str, list[Replica]]:
    """Return the replicas of each data centre, ordered by its name."""
    data_centres: dict[str, list[Replica]] = {}
    for replica in replicas:
        data_centres.setdefault(replica.data_centre, []).append(replica)
    return dict(sorted(data_centres.items()))


def _choose_targets(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    plan_targets: PlanTargets,
    targets: Sequence[float],
) -> PlacementPlan:
    """Return the best plan of one data centre for any of the token targets."""
    options = [
        _build_pipelines(engine, replicas, tokens, tokens) for tokens in targets
    ]
    peak_rate = _find_peak_rate(engine, options, plan_targets)
    rate_plan = partial(_rate_plan, engine, replicas, plan_targets, peak_rate)
    plans = [rate_plan(option) for option in options]
    best = max(plans, key=_get_goodput)
    first_tokens = targets[plans.index(best)]
    mixed = [
        rate_plan(_build_pipelines(engine, replicas, first_tokens, tokens))
        for tokens in targets
        if tokens != first_tokens
    ]
    return max(best, *mixed, key=_get_goodput)


def _choose_best(plans: list[PlacementPlan]) -> PlacementPlan | None:
    best = max(plans, key=_get_goodput, default=None)
    return best if best is not None and best.pipelines else None


def _build_pipelines(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    first_tokens: float,
    tokens: float,
) -> list[Pipeline]:
    """Build pipelines whose stages all have memory for so many tokens.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    replicas : sequence of Replica
        The replicas of one data centre.
    first_tokens, tokens : float
        Token targets of the first pipeline and of the others.
    """
    max_layers, free = _list_candidates(engine, replicas, first_tokens)
    first = _build_pipeline(engine, free, free, max_layers)
    if first is None:
        return []
    pipelines = [first]
    if tokens != first_tokens:
        unused = _list_unused(replicas, pipelines)
        max_layers, free = _list_candidates(engine, unused, tokens)
    while pipeline := _build_pipeline(engine, free, free, max_layers):
        pipelines.append(pipeline)
    return pipelines


def _find_peak_rate(
    engine: EngineSpec,
    options: Iterable[Sequence[Pipeline]],
    plan_targets: PlanTargets,
) -> float:
    """Return the highest rate that any of the options serves."""
    return max(
        predict_total_rate(engine, option, plan_targets.pause_ms)
        for option in options
    )


def _rate_plan(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    plan_targets: PlanTargets,
    peak_rate: float,
    pipelines: list[Pipeline],
) -> PlacementPlan:
    """Return a plan of pipelines and backups with its goodput."""
    spares = _list_unused(replicas, pipelines)
    stages = list_rated_stages(engine, pipelines, plan_targets.pause_ms)
    backups = assign_backups(
        engine, stages, [_without_layers(item) for item in spares]
    )
    goodput = predict_goodput(
        engine, pipelines, list(backups.values()), plan_targets, peak_rate
    )
    return PlacementPlan(pipelines, spares, backups, goodput, peak_rate)


def _plan_across_data_centres(
    engine: EngineSpec, replicas: Sequence[Replica], plan_targets: PlanTargets
) -> PlacementPlan | None:
    """Build pipelines across data centres that have too few replicas."""
    plans = []
    for tokens in chain.from_iterable(_list_token_targets(engine)):
        max_layers, free = _list_candidates(engine, replicas, tokens)
        pipelines = []
        while pipeline := _build_pipeline(
            engine, free, _order_by_data_centre(free, max_layers), max_layers
        ):
            pipelines.append(pipeline)
        rate = predict_total_rate(engine, pipelines, plan_targets.pause_ms)
        plans.append(
            PlacementPlan(
                pipelines, _list_unused(replicas, pipelines), {}, rate, rate
            )
        )
    return _choose_best(plans)


def _list_candidates(
    engine: EngineSpec, replicas: Sequence[Replica], tokens: float
) -> tuple[dict[str, int], list[Replica]]:
    """Return each accelerator's most layers, and the replicas, fastest first."""
    max_layers = {
        name: _find_max_layers(engine, accelerator, tokens)
        for name, accelerator in engine.accelerators.items()
    }
    free = [item for item in replicas if max_layers.get(item.accelerator)]
    free.sort(key=partial(_rank_by_speed, engine, max_layers))
    return max_layers, free


def _order_by_data_centre(
    free: list[Replica], max_layers: dict[str, int]
) -> list[Replica]:
    """Return replicas, those of the data centre with the most layers first."""
    layers: dict[str, int] = {}
    for replica in free:
        held = layers.get(replica.data_centre, 0)
        layers[replica.data_centre] = held + max_layers[replica.accelerator]
    order = sorted(layers, key=layers.__getitem__, reverse=True)
    return sorted(free, key=lambda item: order.index(item.data_centre))


def _list_unused(
    replicas: Sequence[Replica], pipelines: list[Pipeline]
) -> list[Replica]:
    used = {
        replica.replica_id
        for pipeline in pipelines
        for replica, _ in pipeline.members
    }
    return [item for item in replicas if item.replica_id not in used]


def _build_pipeline(
    engine: EngineSpec,
    free: list[Replica],
    order: Sequence[Replica],
    max_layers: dict[str, int],
) -> Pipeline | None:
    """Build a pipeline of the first replicas that can hold all layers."""
    members = []
    missing = engine.layers
    for replica in order:
        if missing <= 0:
            break
        members.append(replica)
        missing -= max_layers[replica.accelerator]
    if missing > 0:
        return None
    return _partition_layers(engine, free, members, max_layers)


def _partition_layers(
    engine: EngineSpec,
    free: list[Replica],
    members: list[Replica],
    max_layers: dict[str, int],
) -> Pipeline:
    """Partition the layers among members, and remove these from `free`.

    Surplus layers are taken from the members with the least memory left.
    """
    for replica in members:
        free.remove(replica)
    counts = [max_layers[member.accelerator] for member in members]
    while sum(counts) > engine.layers:
        ranks = [
            _rank_memory_pressure(engine, member, count)
            for member, count in zip(members, counts, strict=True)
        ]
        counts[ranks.index(max(ranks))] -= 1
    stages = list(zip(members, counts, strict=True))
    return Pipeline([part for part in stages if part[1] > 0])


def _rank_memory_pressure(
    engine: EngineSpec, replica: Replica, count: int
) -> float:
    """Rank a replica by how little memory its layers leave for tokens."""
    if count <= 1:
        return -1
    return 1 / (
        1 + count_tokens(engine, get_accelerator(engine, replica), count)
    )


def _list_token_targets(
    engine: EngineSpec,
) -> tuple[list[float], list[float]]:
    """Return the token targets to try first, and the fallbacks.

    A stage with memory for fewer than `TARGET_REQUESTS` requests limits its
    pipeline, so such targets are tried only if no other gives a pipeline.
    """
    mean_tokens = engine.usual_prompt + engine.usual_answer / 2
    preferred: list[float] = []
    fallback: list[float] = []
    requests = float(_MIN_REQUESTS)
    while requests < _MAX_REQUESTS:
        targets = fallback if requests < TARGET_REQUESTS else preferred
        targets.append(requests * mean_tokens)
        requests *= _REQUESTS_STEP_FACTOR
    return preferred, fallback


def _find_max_layers(
    engine: EngineSpec, accelerator: Accelerator, tokens: float
) -> int:
    per_layer = engine.layer_mb
    per_layer += tokens * engine.token_bytes / max(1, engine.layers) / MB
    return min(engine.layers, int(accelerator.size_mb / per_layer))


def _rank_by_speed(
    engine: EngineSpec, max_layers: dict[str, int], replica: Replica
) -> tuple[float, str]:
    accelerator = get_accelerator(engine, replica)
    return accelerator.step_factor / max_layers[
        replica.accelerator
    ], replica.replica_id


def _without_layers(replica: Replica) -> Replica:
    """Return a replica as if it held nothing."""
    return replace(replica, layers=None)


def _get_goodput(plan: PlacementPlan) -> float:
    return plan.goodput
