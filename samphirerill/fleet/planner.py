"""Decide which layers each engine should hold.

A plan is a set of pipelines; each covers every layer once. For a wanted number
of tokens each accelerator kind has a number of layers that leaves room for
them. Pipelines are first built within one data centre, since a prompt that
crosses a pipe holds up every other stream's next token there; what is left in
the data centres is joined into pipelines that cross as seldom as possible, and
what can't even do that doubles parts of others.

The plan with the highest predicted answers a second, over a ladder of wanted
tokens, wins. Answers to: the usual load of a day, and any one accelerator lost.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MB, MS_PER_S, LayerRange, count_tokens
from samphirerill.fleet.prediction import (
    STAGE_COST_MS,
    count_events,
    predict_reading_ms,
    predict_transfer_ms,
    predict_visit_ms,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import Accelerator, EngineSpec, Replica

# Fewer tokens than this many usual requests a pipeline is not worth building.
_LEAST_REQUESTS = 8
_MOST_REQUESTS = 160
_LADDER = 1.15
# Above this use of a pipe, prompts wait for prompts and pauses triple.
_PIPE_USE = 0.2
# Memory is never filled to the last token: answers differ in length.
_MEMORY_USE = 0.85
# The share of the wanted pause that the predicted mean may take; pauses at
# one in a hundred are some three times the mean.
_PAUSE_USE = 0.45
DEFAULT_PAUSE_MS = 200.0
_FEWER = 0.8
_LEAST_MS = 0.001
Plan = dict[str, LayerRange]


@dataclass(slots=True)
class Pipeline:
    """Replicas in order, with the layers each would hold."""

    parts: list[tuple[Replica, int]] = field(default_factory=list)

    def count_crossings(self) -> int:
        """Return how often a prompt changes data centres."""
        return self.list_crossings().total()

    def list_crossings(self) -> Counter[frozenset[str]]:
        """Return how often a prompt passes through each pipe."""
        zones = [replica.data_centre for replica, _ in self.parts]
        return Counter(
            frozenset(pair) for pair in pairwise(zones) if pair[0] != pair[1]
        )


@dataclass(slots=True)
class Planned:
    """A plan with what is predicted of it; rates are answers a second."""

    pipelines: list[Pipeline]
    spares: list[Replica]
    rate: float
    tokens: float

    def list_ranges(self) -> Plan:
        """Return the layers of each replica that is in a pipeline."""
        ranges = {}
        for pipeline in self.pipelines:
            first = 0
            for replica, count in pipeline.parts:
                ranges[replica.replica_id] = LayerRange(first, first + count)
                first += count
        return ranges


def plan_layers(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    pause_ms: float = DEFAULT_PAUSE_MS,
) -> Planned | None:
    """Return the best plan found, or none if no pipeline can be built.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    replicas : sequence of Replica
        Those that may be ordered, of one service.
    pause_ms : float
        The pause between events that is still on time.
    """
    plans = list_plans(engine, replicas, pause_ms)
    return max(plans, key=lambda planned: planned.rate, default=None)


def list_plans(
    engine: EngineSpec, replicas: Sequence[Replica], pause_ms: float
) -> list[Planned]:
    """Return a plan for each step of the ladder that gives any pipeline."""
    known = [
        replica
        for replica in replicas
        if replica.accelerator in engine.accelerators
    ]
    plans = [
        _plan_for(engine, known, tokens, pause_ms, fast_first=fast_first)
        for tokens in _list_token_goals(engine)
        for fast_first in (False, True)
    ]
    return [planned for planned in plans if planned.pipelines]


def predict_rate(
    engine: EngineSpec, pipeline: Pipeline, pause_ms: float
) -> float:
    """Return the answers a second that a pipeline gives in good time."""
    usual = engine.usual_prompt + engine.usual_answer / 2
    tokens = min(
        count_tokens(engine, _kind(engine, replica), layers)
        for replica, layers in pipeline.parts
    )
    running = min(engine.slots, tokens * _MEMORY_USE / usual)
    if running < 1:
        return 0.0
    event_ms = predict_event_ms(engine, pipeline, running)
    while event_ms > pause_ms * _PAUSE_USE and running > 1:
        running *= _FEWER
        event_ms = predict_event_ms(engine, pipeline, running)
    rate = running / (count_events(engine) * event_ms / MS_PER_S)
    return min(rate, *_list_reading_rates(engine, pipeline))


def predict_total_rate(
    engine: EngineSpec, pipelines: Sequence[Pipeline], pause_ms: float
) -> float:
    """Return the answers a second that pipelines give together.

    Those that cross share the pipes: each prompt occupies every pipe on its
    path, as often as it crosses there.
    """
    transfer_s = predict_transfer_ms(engine, engine.usual_prompt) / MS_PER_S
    most = _PIPE_USE / transfer_s if transfer_s > 0 else float('inf')
    left: dict[frozenset[str], float] = {}
    total = 0.0
    for pipeline in sorted(pipelines, key=Pipeline.count_crossings):
        rate = predict_rate(engine, pipeline, pause_ms)
        crossings = pipeline.list_crossings()
        for pair, times in crossings.items():
            rate = min(rate, left.get(pair, most) / times)
        for pair, times in crossings.items():
            left[pair] = left.get(pair, most) - rate * times
        total += rate
    return total


def predict_event_ms(
    engine: EngineSpec, pipeline: Pipeline, running: float
) -> float:
    """Return the predicted time between two events of a stream."""
    return sum(
        predict_visit_ms(engine, _kind(engine, replica), layers, running)
        + STAGE_COST_MS
        for replica, layers in pipeline.parts
    )


def _list_reading_rates(
    engine: EngineSpec, pipeline: Pipeline
) -> Iterable[float]:
    """Yield, for each stage, the prompts it can read with half its time."""
    for replica, layers in pipeline.parts:
        reading_ms = predict_reading_ms(
            engine, _kind(engine, replica), layers, engine.usual_prompt
        )
        yield MS_PER_S / 2 / max(reading_ms, _LEAST_MS)


def _list_token_goals(engine: EngineSpec) -> Iterable[float]:
    usual = engine.usual_prompt + engine.usual_answer / 2
    requests = float(_LEAST_REQUESTS)
    while requests < _MOST_REQUESTS:
        yield requests * usual
        requests *= _LADDER


def _plan_for(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    tokens: float,
    pause_ms: float,
    *,
    fast_first: bool,
) -> Planned:
    """Build a plan whose stages all have room for so many tokens."""
    most = {
        name: _most_layers(engine, accelerator, tokens)
        for name, accelerator in engine.accelerators.items()
    }
    free = [replica for replica in replicas if most[replica.accelerator]]
    free.sort(key=partial(_rank, engine, most))
    pipelines = _take_fastest(engine, free, most) if fast_first else []
    pipelines.extend(_take_local(engine, free, most))
    while taken := _take_across(engine, free, most):
        pipelines.append(taken)
    rate = predict_total_rate(engine, pipelines, pause_ms)
    return Planned(pipelines, _list_rest(replicas, pipelines), rate, tokens)


def _list_rest(
    replicas: Sequence[Replica], pipelines: list[Pipeline]
) -> list[Replica]:
    used = {
        replica.replica_id
        for pipeline in pipelines
        for replica, _ in pipeline.parts
    }
    return [item for item in replicas if item.replica_id not in used]


def _take_local(
    engine: EngineSpec, free: list[Replica], most: dict[str, int]
) -> list[Pipeline]:
    """Build pipelines that stay within one data centre."""
    pipelines = []
    for zone in sorted({replica.data_centre for replica in free}):
        while taken := _take(engine, free, most, zone):
            pipelines.append(taken)
    return pipelines


def _take_fastest(
    engine: EngineSpec, free: list[Replica], most: dict[str, int]
) -> list[Pipeline]:
    """Build one pipeline of the fastest accelerators of two data centres."""
    best: list[Replica] = []
    for zones in _list_zone_pairs(free):
        cards = [item for item in free if item.data_centre in zones]
        needed = _take_enough(cards, engine.layers, most)
        if needed and (not best or len(needed) < len(best)):
            best = needed
    if not best:
        return []
    return [_close_pipeline(engine, free, best, most)]


def _list_zone_pairs(free: list[Replica]) -> list[tuple[str, str]]:
    zones = sorted({replica.data_centre for replica in free})
    return [(one, other) for one in zones for other in zones if one < other]


def _take(
    engine: EngineSpec, free: list[Replica], most: dict[str, int], zone: str
) -> Pipeline | None:
    cards = [item for item in free if item.data_centre == zone]
    needed = _take_enough(cards, engine.layers, most)
    if not needed:
        return None
    return _close_pipeline(engine, free, needed, most)


def _take_across(
    engine: EngineSpec, free: list[Replica], most: dict[str, int]
) -> Pipeline | None:
    """Join what is left, the data centre with the most layers first."""
    layers: dict[str, int] = {}
    for replica in free:
        held = layers.get(replica.data_centre, 0)
        layers[replica.data_centre] = held + most[replica.accelerator]
    order = sorted(layers, key=layers.__getitem__, reverse=True)
    cards = sorted(free, key=lambda item: order.index(item.data_centre))
    needed = _take_enough(cards, engine.layers, most)
    if not needed:
        return None
    return _close_pipeline(engine, free, needed, most)


def _take_enough(
    cards: list[Replica], layers: int, most: dict[str, int]
) -> list[Replica]:
    """Return the first cards that together hold all layers, or none."""
    needed = []
    left = layers
    for card in cards:
        if left <= 0:
            break
        needed.append(card)
        left -= most[card.accelerator]
    return needed if left <= 0 else []


def _close_pipeline(
    engine: EngineSpec,
    free: list[Replica],
    needed: list[Replica],
    most: dict[str, int],
) -> Pipeline:
    """Take cards out of the free ones and cut the layers among them.

    What they could hold beyond all layers is taken off those whose last layer
    costs them most time, which also leaves them the most memory.
    """
    for replica in needed:
        free.remove(replica)
    counts = [most[card.accelerator] for card in needed]
    while sum(counts) > engine.layers:
        ranks = [
            _rank_room(engine, card, count)
            for card, count in zip(needed, counts, strict=True)
        ]
        counts[ranks.index(max(ranks))] -= 1
    parts = list(zip(needed, counts, strict=True))
    return Pipeline([part for part in parts if part[1] > 0])


def _rank_room(engine: EngineSpec, card: Replica, count: int) -> float:
    """Rank a card by how little room for tokens its layers leave it."""
    if count <= 1:
        return -1
    return 1 / (1 + count_tokens(engine, _kind(engine, card), count))


def _most_layers(
    engine: EngineSpec, accelerator: Accelerator, tokens: float
) -> int:
    per_layer = engine.layer_mb
    per_layer += tokens * engine.token_bytes / max(1, engine.layers) / MB
    return min(engine.layers, int(accelerator.size_mb / per_layer))


def _rank(
    engine: EngineSpec, most: dict[str, int], replica: Replica
) -> tuple[float, str]:
    kind = _kind(engine, replica)
    return kind.pace / most[replica.accelerator], replica.replica_id


def _kind(engine: EngineSpec, replica: Replica) -> Accelerator:
    return engine.accelerators[replica.accelerator]
