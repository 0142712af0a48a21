"""Predict the goodput of a data centre's pipelines.

Goodput is the rate of answers on time, less the cost of losses. Capacity beyond
the demand adds almost nothing, whereas few stages and short streams do: every
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
    TARGET_REQUESTS,
    predict_event_ms,
    predict_total_rate,
)
from samphirerill.fleet.redundancy import (
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
# Streams per stage for which times are predicted.
_ASSUMED_STREAMS = 20
# Weight of answers beyond the demand, to rank plans that all meet it.
_SURPLUS_WEIGHT = 0.02
_MIN_RATE = 0.001


@dataclass(slots=True, frozen=True)
class PlanTargets:
    """Targets of a plan.

    `pause_ms` is the longest pause between two events that counts as on time;
    `demand` is how many concurrent streams each data centre should hold.
    """

    pause_ms: float = DEFAULT_PAUSE_MS
    demand: float = TARGET_REQUESTS
    policy: Policy = Policy()


def predict_goodput(
    engine: EngineSpec,
    pipelines: Sequence[Pipeline],
    backups: Sequence[LayerRange],
    plan_targets: PlanTargets,
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
    """
    if not pipelines:
        return 0.0
    rate = predict_total_rate(engine, pipelines, plan_targets.pause_ms)
    stages = list_rated_stages(engine, pipelines, plan_targets.pause_ms)
    repair_loss = predict_repair_loss(stages, backups)
    if not plan_targets.policy.lean_plans:
        return rate - repair_loss
    answer_s = _predict_answer_s(engine, pipelines)
    useful = min(rate, plan_targets.demand / answer_s)
    useful += _SURPLUS_WEIGHT * (rate - useful)
    exposed = _count_exposed_stages(pipelines, backups) / len(pipelines)
    on_time_share = 1 - min(1.0, _LOSS_RATE_PER_S * answer_s * exposed)
    return useful * (on_time_share - repair_loss / max(rate, _MIN_RATE))


def _predict_answer_s(
    engine: EngineSpec, pipelines: Sequence[Pipeline]
) -> float:
    """Return how long a usual answer takes, averaged over pipelines."""
    events_ms = [
        predict_event_ms(engine, pipeline, _ASSUMED_STREAMS)
        for pipeline in pipelines
    ]
    mean_ms = sum(events_ms) / len(events_ms)
    return count_events(engine) * mean_ms / MS_PER_S


def _count_exposed_stages(
    pipelines: Sequence[Pipeline], backups: Sequence[LayerRange]
) -> float:
    """Return the stages whose loss makes streams late, over all pipelines.

    A stage with a copy elsewhere counts partly. Pipelines back up each other,
    since paths may switch replicas after any layer.
    """
    held = [
        [stage.layers for stage in pipeline.list_stages()]
        for pipeline in pipelines
    ]
    exposed = 0.0
    for index, own in enumerate(held):
        others = list(backups)
        for other in (*held[:index], *held[index + 1 :]):
            others.extend(other)
        for layers in own:
            is_covered = not list_uncovered(layers, others)
            exposed += _LATE_SHARE_IF_COVERED if is_covered else 1.0
    return exposed
