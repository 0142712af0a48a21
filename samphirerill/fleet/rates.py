"""Predict the rates at which pipelines answer on time.

A pipeline holds as many streams as its smallest stage has memory for, or fewer
where events would otherwise come too slowly. Rates are answers per second.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.model import (
    MS_PER_S,
    LayerRange,
    Stage,
    count_tokens,
)
from samphirerill.fleet.prediction import (
    STAGE_OVERHEAD_MS,
    count_events,
    predict_prefill_ms,
    predict_stage_ms,
    predict_transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import Accelerator, EngineSpec, Replica

# Above this utilisation of a link, prompts queue behind prompts and pauses
# triple.
_MAX_LINK_USE = 0.2
# Headroom, because answers differ in length.
_MAX_MEMORY_USE = 0.85
# The longest mean event interval, as a share of the target pause: the 99th
# percentile is about three times the mean.
_MEAN_INTERVAL_SHARE = 0.45
DEFAULT_PAUSE_MS = 200.0
# A stage with memory for fewer usual requests would limit its pipeline too
# much.
MIN_REQUESTS = 15
# Stages get memory for this many where possible, so that none limits a pipeline
# whose other stages hold more.
TARGET_REQUESTS = 40
_REDUCTION_FACTOR = 0.8
_MIN_PREFILL_MS = 0.001


@dataclass(slots=True)
class Pipeline:
    """Replicas in order, with the number of layers each runs."""

    members: list[tuple[Replica, int]] = field(default_factory=list)

    def list_stages(self) -> list[Stage]:
        """Return the stages with their layer ranges, in order."""
        stages = []
        first = 0
        for replica, count in self.members:
            stages.append(Stage(replica, LayerRange(first, first + count)))
            first += count
        return stages

    def count_crossings(self) -> int:
        """Return how often a prompt crosses between data centres."""
        return self.list_crossings().total()

    def list_crossings(self) -> Counter[frozenset[str]]:
        """Return how often a prompt crosses each link."""
        data_centres = [replica.data_centre for replica, _ in self.members]
        return Counter(
            frozenset(pair)
            for pair in pairwise(data_centres)
            if pair[0] != pair[1]
        )


def predict_rate(
    engine: EngineSpec, pipeline: Pipeline, pause_ms: float
) -> float:
    """Return the answers per second that a pipeline gives on time."""
    mean_tokens = engine.usual_prompt + engine.usual_answer / 2
    tokens = min(
        count_tokens(engine, get_accelerator(engine, replica), layers)
        for replica, layers in pipeline.members
    )
    running = min(engine.slots, tokens * _MAX_MEMORY_USE / mean_tokens)
    if running < 1:
        return 0.0
    event_ms = predict_event_ms(engine, pipeline, running)
    while event_ms > pause_ms * _MEAN_INTERVAL_SHARE and running > 1:
        running *= _REDUCTION_FACTOR
        event_ms = predict_event_ms(engine, pipeline, running)
    rate = running / (count_events(engine) * event_ms / MS_PER_S)
    return min(rate, *_list_prefill_rates(engine, pipeline))


def predict_total_rate(
    engine: EngineSpec, pipelines: Sequence[Pipeline], pause_ms: float
) -> float:
    """Return the answers per second that pipelines give together.

    Pipelines that cross share the links: each prompt occupies every link on its
    path, as often as it crosses there.
    """
    transfer_s = predict_transfer_ms(engine, engine.usual_prompt) / MS_PER_S
    max_rate = _MAX_LINK_USE / transfer_s if transfer_s > 0 else float('inf')
    remaining: dict[frozenset[str], float] = {}
    total = 0.0
    for pipeline in sorted(pipelines, key=Pipeline.count_crossings):
        rate = predict_rate(engine, pipeline, pause_ms)
        crossings = pipeline.list_crossings()
        for pair, times in crossings.items():
            rate = min(rate, remaining.get(pair, max_rate) / times)
        for pair, times in crossings.items():
            remaining[pair] = remaining.get(pair, max_rate) - rate * times
        total += rate
    return total


def predict_event_ms(
    engine: EngineSpec, pipeline: Pipeline, running: float
) -> float:
    """Return the predicted time between two events of a stream."""
    return sum(
        predict_stage_ms(
            engine, get_accelerator(engine, replica), layers, running
        )
        + STAGE_OVERHEAD_MS
        for replica, layers in pipeline.members
    )


def count_max_layers(
    engine: EngineSpec, replica: Replica, requests: float = MIN_REQUESTS
) -> int:
    """Return how many layers leave memory for so many usual requests."""
    accelerator = engine.accelerators.get(replica.accelerator)
    if accelerator is None:
        return 0
    tokens = requests * (engine.usual_prompt + engine.usual_answer / 2)
    count = min(engine.layers, int(accelerator.size_mb / engine.layer_mb))
    while count > 0 and count_tokens(engine, accelerator, count) < tokens:
        count -= 1
    return count


def get_accelerator(engine: EngineSpec, replica: Replica) -> Accelerator:
    """Return the figures of a replica's accelerator."""
    return engine.accelerators[replica.accelerator]


def _list_prefill_rates(
    engine: EngineSpec, pipeline: Pipeline
) -> Iterable[float]:
    """Yield, for each stage, the prompts per second it can prefill.

    Half of the stage's time is reserved for decoding.
    """
    for replica, layers in pipeline.members:
        prefill_ms = predict_prefill_ms(
            engine,
            get_accelerator(engine, replica),
            layers,
            engine.usual_prompt,
        )
        yield MS_PER_S / 2 / max(prefill_ms, _MIN_PREFILL_MS)
