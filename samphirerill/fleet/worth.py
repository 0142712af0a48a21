"""What a data centre's pipelines are worth: answers a second, less what is lost.

Capacity beyond what is asked for is worth nothing; few parts and short streams
are, as every part that a stream passes through may be lost under it. Answers to:
a fleet with room to spare, of which a quarter is lost or replaced within half a
minute.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.doubling import (
    list_rated_stages,
    list_uncovered,
    predict_repair_loss,
)
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.prediction import count_events
from samphirerill.fleet.rates import (
    DEFAULT_PAUSE_MS,
    TARGET_REQUESTS,
    predict_event_ms,
    predict_total_rate,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import EngineSpec, LayerRange
    from samphirerill.fleet.rates import Pipeline

# On a bad day one replica in four is lost or replaced within half a minute.
_LOSS_RATE_PER_S = 0.0083
# Of the streams on a part that is lost, this share is late if somebody near
# holds its layers too, and all of them if nobody does.
_LATE_SHARE_IF_COVERED = 0.5
# Streams that a part is planned to have when times are predicted.
_ASSUMED_STREAMS = 20
# Answers beyond what is asked for count so much, to tell plans apart that all
# give enough.
_SURPLUS_WEIGHT = 0.02
_MIN_RATE = 0.001


@dataclass(slots=True, frozen=True)
class Aims:
    """What a plan is made for.

    `pause_ms` is the pause between two events that is still on time; `demand`
    the streams at a time that each data centre should have room for.
    """

    pause_ms: float = DEFAULT_PAUSE_MS
    demand: float = TARGET_REQUESTS
    policy: Policy = Policy()


def predict_goodput(
    engine: EngineSpec,
    pipelines: Sequence[Pipeline],
    backups: Sequence[LayerRange],
    aims: Aims,
) -> float:
    """Return the answers a second that are of use and in time.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    pipelines : sequence of Pipeline
        Those of one data centre.
    doubles : sequence of LayerRange
        What replicas hold that no pipeline needs.
    aims : Aims
        What is asked for.
    """
    if not pipelines:
        return 0.0
    rate = predict_total_rate(engine, pipelines, aims.pause_ms)
    stages = list_rated_stages(engine, pipelines, aims.pause_ms)
    repair_loss = predict_repair_loss(stages, backups)
    if not aims.policy.lean_plans:
        return rate - repair_loss
    answer_s = _predict_answer_s(engine, pipelines)
    useful = min(rate, aims.demand / answer_s)
    useful += _SURPLUS_WEIGHT * (rate - useful)
    exposed = _count_exposed_stages(pipelines, backups) / len(pipelines)
    on_time_share = 1 - min(1.0, _LOSS_RATE_PER_S * answer_s * exposed)
    return useful * (on_time_share - repair_loss / max(rate, _MIN_RATE))


def _predict_answer_s(
    engine: EngineSpec, pipelines: Sequence[Pipeline]
) -> float:
    """Return how long a usual answer takes, on average over pipelines."""
    events_ms = [
        predict_event_ms(engine, pipeline, _ASSUMED_STREAMS)
        for pipeline in pipelines
    ]
    mean_ms = sum(events_ms) / len(events_ms)
    return count_events(engine) * mean_ms / MS_PER_S


def _count_exposed_stages(
    pipelines: Sequence[Pipeline], backups: Sequence[LayerRange]
) -> float:
    """Return the parts whose loss makes streams late, over all pipelines.

    Pipelines cover each other: from any layer on, whoever holds it goes on.
    """
    held = [
        [stage.layers for stage in pipeline.list_stages()]
        for pipeline in pipelines
    ]
    exposed = 0.0
    for at, own in enumerate(held):
        others = list(backups)
        for other in (*held[:at], *held[at + 1 :]):
            others.extend(other)
        for layers in own:
            is_covered = not list_uncovered(layers, others)
            exposed += _LATE_SHARE_IF_COVERED if is_covered else 1.0
    return exposed
