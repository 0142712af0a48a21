"""Predict the goodput of a data centre's pipelines.

Goodput is the rate of answers on time, less the cost of losses. Requests take the
fastest pipeline first and the next one when it is full, so that a slow pipeline
costs only what it carries. Few stages and short answers add to the goodput: every
stage on a stream's path may be lost while it runs.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.prediction import count_events
from samphirerill.fleet.rates import (
    DEFAULT_PAUSE_MS,
    predict_event_ms,
    predict_rate,
    predict_total_rate,
)
from samphirerill.fleet.redundancy import (
    RatedStage,
    list_rated_stages,
    list_uncovered,
    predict_repair_loss,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import EngineSpec, LayerRange
    from samphirerill.fleet.rates import Pipeline

# Losses per replica: a quarter of all replicas lost or replaced in 30 s.
_LOSS_RATE_PER_S = 0.0083
# Share of a lost stage's streams that are late if another replica in the data
# centre holds its layers; without one, all are.
_LATE_SHARE_IF_COVERED = 0.5
# Fleets are sized for their peak demand.
_DEMAND_SHARES = (0.3, 0.6, 1.0)


@dataclass(slots=True, frozen=True)
class PlanTargets:
    """Targets of a plan.

    `pause_ms` is the longest pause between two events that counts as on time;
    `demand_shares` are the arrival rates for which plans are rated, as shares of
    the highest rate that any plan of the replicas serves.
    """

    pause_ms: float = DEFAULT_PAUSE_MS
    demand_shares: tuple[float, ...] = _DEMAND_SHARES
    policy: Policy = Policy()


@dataclass(slots=True, frozen=True)
class _CarriedLoad:
    """The answers per second that a pipeline gives, and the time of each."""

    pipeline: Pipeline
    rate: float
    answer_s: float


def predict_goodput(
    engine: EngineSpec,
    pipelines: Sequence[Pipeline],
    backups: Sequence[LayerRange],
    plan_targets: PlanTargets,
    peak_rate: float,
) -> float:
    """Return the predicted rate of useful answers on time, per second.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    pipelines : sequence of Pipeline
        The pipelines of one data centre.
    backups : sequence of LayerRange
        The layers of replicas that no pipeline needs.
    plan_targets : PlanTargets
        The targets of the plan.
    peak_rate : float
        The highest arrival rate to expect, per second.
    """
    if not pipelines:
        return 0.0
    if not plan_targets.policy.lean_plans:
        rate = predict_total_rate(engine, pipelines, plan_targets.pause_ms)
        stages = list_rated_stages(engine, pipelines, plan_targets.pause_ms)
        return rate - predict_repair_loss(stages, backups)
    exposed = _count_exposed_stages(pipelines, backups)
    goodputs = [
        _sum_on_time(
            _distribute(
                engine, pipelines, plan_targets.pause_ms, share * peak_rate
            ),
            exposed,
            backups,
        )
        for share in plan_targets.demand_shares
    ]
    return sum(goodputs) / len(goodputs)


def _sum_on_time(
    loads: Sequence[_CarriedLoad],
    exposed: Sequence[float],
    backups: Sequence[LayerRange],
) -> float:
    """Return the rate of answers on time, less what repairs cost."""
    total = 0.0
    for load, stage_count in zip(loads, exposed, strict=True):
        late_share = _LOSS_RATE_PER_S * load.answer_s * stage_count
        stages = [
            RatedStage(stage.layers, load.rate)
            for stage in load.pipeline.list_stages()
        ]
        total += load.rate * (1 - min(1.0, late_share))
        total -= predict_repair_loss(stages, backups)
    return total


def _distribute(
    engine: EngineSpec,
    pipelines: Sequence[Pipeline],
    pause_ms: float,
    arriving: float,
) -> list[_CarriedLoad]:
    """Return what each pipeline carries if the fastest is filled first."""
    loads: dict[int, _CarriedLoad] = {}
    order = sorted(
        enumerate(pipelines),
        key=lambda item: predict_event_ms(engine, item[1], 0),
    )
    for index, pipeline in order:
        rate = min(arriving, predict_rate(engine, pipeline, pause_ms))
        arriving -= rate
        answer_s = _predict_answer_s(engine, pipeline, rate)
        loads[index] = _CarriedLoad(pipeline, rate, answer_s)
    return [load for _, load in sorted(loads.items())]


def _predict_answer_s(
    engine: EngineSpec, pipeline: Pipeline, rate: float
) -> float:
    """Return how long a usual answer takes at a rate that can be served.

    The time of an event grows linearly with the number of streams, which by
    Little's law is the rate times the time of an answer.
    """
    events = count_events(engine)
    idle_ms = predict_event_ms(engine, pipeline, 0)
    ms_per_stream = predict_event_ms(engine, pipeline, 1) - idle_ms
    idle_s = events * idle_ms / MS_PER_S
    return idle_s / (1 - rate * events * ms_per_stream / MS_PER_S)


def _count_exposed_stages(
    pipelines: Sequence[Pipeline], backups: Sequence[LayerRange]
) -> list[float]:
    """Return, for each pipeline, the stages whose loss makes streams late.

    A stage with a copy elsewhere counts partly. Pipelines back up each other,
    since paths may switch replicas after any layer.
    """
    held = [
        [stage.layers for stage in pipeline.list_stages()]
        for pipeline in pipelines
    ]
    exposed = []
    for index, own in enumerate(held):
        others = list(backups)
        for other in (*held[:index], *held[index + 1 :]):
            others.extend(other)
        exposed.append(
            sum(
                1.0
                if list_uncovered(layers, others)
                else _LATE_SHARE_IF_COVERED
                for layers in own
            )
        )
    return exposed
