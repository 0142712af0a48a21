"""Decide which layers each engine should hold, from nothing.

A plan is a set of pipelines; each covers every layer once. For a wanted number
of tokens each accelerator kind has a number of layers that leaves room for
them. Pipelines are built within one data centre, since a prompt that crosses
a pipe holds up every other stream's next token there; only data centres that
can't build one of their own are joined. What is left doubles parts.

Of a ladder of wanted tokens the step wins, for each data centre, that is worth
the most (see `predict_worth`). Answers to: the usual load of a day, and replicas
that are lost one after another.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import partial
from itertools import chain
from typing import TYPE_CHECKING

from samphirerill.fleet.doubling import double_parts, list_parts
from samphirerill.fleet.model import MB, LayerRange, count_tokens
from samphirerill.fleet.rates import (
    WANTED_REQUESTS,
    Pipeline,
    get_kind,
    predict_total_rate,
)
from samphirerill.fleet.worth import predict_worth

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import Accelerator, EngineSpec, Replica
    from samphirerill.fleet.worth import Aims

# Fewer tokens than this many usual requests a pipeline is not worth building.
_LEAST_REQUESTS = 8
_MOST_REQUESTS = 160
_LADDER = 1.15
Plan = dict[str, LayerRange]


@dataclass(slots=True)
class Planned:
    """Pipelines, what is left over, and doubles that the latter may hold.

    `worth` is the predicted answers a second, less what losses will cost.
    """

    pipelines: list[Pipeline]
    spares: list[Replica]
    doubles: Plan
    worth: float

    def list_ranges(self) -> Plan:
        """Return the layers of each replica that should hold any."""
        ranges = {
            stage.replica.replica_id: stage.layers
            for pipeline in self.pipelines
            for stage in pipeline.list_stages()
        }
        ranges.update(self.doubles)
        return ranges


def plan_layers(
    engine: EngineSpec,
    replicas: Sequence[Replica],
    aims: Aims,
) -> Planned | None:
    """Return the best plan found, or none if no pipeline can be built.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    replicas : sequence of Replica
        Those that may be ordered, of one service.
    aims : Aims
        What is asked for.
    """
    plans = []
    homeless: list[Replica] = []
    for cards in group_by_zone(replicas).values():
        planned = plan_zone(engine, cards, aims)
        if planned is None:
            homeless.extend(cards)
        else:
            plans.append(planned)
    joined = _plan_across(engine, homeless, aims)
    if joined is not None:
        plans.append(joined)
    if not plans:
        return None
    return Planned(
        [pipeline for planned in plans for pipeline in planned.pipelines],
        [spare for planned in plans for spare in planned.spares],
        {
            key: held
            for planned in plans
            for key, held in planned.doubles.items()
        },
        sum(planned.worth for planned in plans),
    )


def plan_zone(
    engine: EngineSpec, cards: Sequence[Replica], aims: Aims
) -> Planned | None:
    """Return the best plan of one data centre, if it can have any."""
    for goals in _list_token_goals(engine):
        plans = [_plan_local(engine, cards, tokens, aims) for tokens in goals]
        best = _choose(plans)
        if best is not None:
            return best
    return None


def group_by_zone(replicas: Iterable[Replica]) -> dict[str, list[Replica]]:
    """Return the replicas of each data centre, in order of its name."""
    zones: dict[str, list[Replica]] = {}
    for replica in replicas:
        zones.setdefault(replica.data_centre, []).append(replica)
    return dict(sorted(zones.items()))


def _choose(plans: list[Planned]) -> Planned | None:
    best = max(plans, key=lambda planned: planned.worth, default=None)
    return best if best is not None and best.pipelines else None


def _plan_local(
    engine: EngineSpec,
    cards: Sequence[Replica],
    tokens: float,
    aims: Aims,
) -> Planned:
    """Build pipelines whose parts all have room for so many tokens."""
    most, free = _list_free(engine, cards, tokens)
    pipelines = []
    while taken := _take(engine, free, free, most):
        pipelines.append(taken)
    spares = _list_rest(cards, pipelines)
    parts = list_parts(engine, pipelines, aims.pause_ms)
    doubles = double_parts(engine, parts, [_empty(item) for item in spares])
    worth = predict_worth(engine, pipelines, list(doubles.values()), aims)
    return Planned(pipelines, spares, doubles, worth)


def _plan_across(
    engine: EngineSpec, cards: Sequence[Replica], aims: Aims
) -> Planned | None:
    """Join data centres that can't build a pipeline of their own."""
    plans = []
    for tokens in chain.from_iterable(_list_token_goals(engine)):
        most, free = _list_free(engine, cards, tokens)
        pipelines = []
        while taken := _take(engine, free, _order_zones(free, most), most):
            pipelines.append(taken)
        rate = predict_total_rate(engine, pipelines, aims.pause_ms)
        plans.append(Planned(pipelines, _list_rest(cards, pipelines), {}, rate))
    return _choose(plans)


def _list_free(
    engine: EngineSpec, cards: Sequence[Replica], tokens: float
) -> tuple[dict[str, int], list[Replica]]:
    """Return the layers each kind may hold, and the cards, fast ones first."""
    most = {
        name: _most_layers(engine, accelerator, tokens)
        for name, accelerator in engine.accelerators.items()
    }
    free = [item for item in cards if most.get(item.accelerator)]
    free.sort(key=partial(_rank, engine, most))
    return most, free


def _order_zones(free: list[Replica], most: dict[str, int]) -> list[Replica]:
    """Return cards of the data centre with the most layers first."""
    layers: dict[str, int] = {}
    for replica in free:
        held = layers.get(replica.data_centre, 0)
        layers[replica.data_centre] = held + most[replica.accelerator]
    order = sorted(layers, key=layers.__getitem__, reverse=True)
    return sorted(free, key=lambda item: order.index(item.data_centre))


def _list_rest(
    cards: Sequence[Replica], pipelines: list[Pipeline]
) -> list[Replica]:
    used = {
        replica.replica_id
        for pipeline in pipelines
        for replica, _ in pipeline.parts
    }
    return [item for item in cards if item.replica_id not in used]


def _take(
    engine: EngineSpec,
    free: list[Replica],
    order: Sequence[Replica],
    most: dict[str, int],
) -> Pipeline | None:
    """Build a pipeline of the first cards that together hold all layers."""
    needed = []
    left = engine.layers
    for card in order:
        if left <= 0:
            break
        needed.append(card)
        left -= most[card.accelerator]
    if left > 0:
        return None
    return _close_pipeline(engine, free, needed, most)


def _close_pipeline(
    engine: EngineSpec,
    free: list[Replica],
    needed: list[Replica],
    most: dict[str, int],
) -> Pipeline:
    """Take cards out of the free ones and cut the layers among them.

    What they could hold beyond all layers is taken off those whose last layer
    leaves them the least memory.
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
    return 1 / (1 + count_tokens(engine, get_kind(engine, card), count))


def _list_token_goals(
    engine: EngineSpec,
) -> tuple[list[float], list[float]]:
    """Return the steps of the ladder: those to try first, and the others.

    A part with room for fewer requests than others are given room for would
    hold up its pipeline; it is better than none.
    """
    usual = engine.usual_prompt + engine.usual_answer / 2
    roomy: list[float] = []
    narrow: list[float] = []
    requests = float(_LEAST_REQUESTS)
    while requests < _MOST_REQUESTS:
        goals = narrow if requests < WANTED_REQUESTS else roomy
        goals.append(requests * usual)
        requests *= _LADDER
    return roomy, narrow


def _most_layers(
    engine: EngineSpec, accelerator: Accelerator, tokens: float
) -> int:
    per_layer = engine.layer_mb
    per_layer += tokens * engine.token_bytes / max(1, engine.layers) / MB
    return min(engine.layers, int(accelerator.size_mb / per_layer))


def _rank(
    engine: EngineSpec, most: dict[str, int], replica: Replica
) -> tuple[float, str]:
    kind = get_kind(engine, replica)
    return kind.pace / most[replica.accelerator], replica.replica_id


def _empty(replica: Replica) -> Replica:
    """Return a replica as if it held nothing."""
    return replace(replica, layers=None)
