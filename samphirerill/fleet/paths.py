"""Choose the path of one request over what replicas hold.

A path runs every layer once, in order. From a position, any replica that holds
the next layer may run up to where another one begins or its own part ends. Of
all paths with room, the one with the least predicted time between events is
chosen; a change of data centre costs what the prompt's transfer holds up.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange, Stage, count_tokens
from samphirerill.fleet.prediction import (
    predict_transfer_ms,
    predict_visit_ms,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.load import LoadBook
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.pipes import PipeUse
    from samphirerill.fleet.view import Known

# Reports of others are a little late, and answers may be longer than said. The
# rest is kept for streams that lost their path.
MEMORY_USE = 0.92
URGENT_USE = 1.0
# Engines refuse a path of more parts.
MOST_STAGES = 32
_STAGE_COST_MS = 0.5
# A transfer holds up the next event of every stream behind it, not only of its
# own: with weight 0.5, paths through three data centres were chosen to save
# 13 ms an event, and pauses of seconds came of it.
TRANSFER_WEIGHT = 4.0


@dataclass(slots=True)
class _Partial:
    """A path up to some layer and its predicted milliseconds per event."""

    cost: float
    known: Known | None
    layers: LayerRange | None
    before: _Partial | None
    stages: int


@dataclass(slots=True)
class PathRequest:
    """What is asked: room for `tokens`, without the replicas of `avoid`.

    `heads` names the replicas that a path may begin with, if not any;
    `first_end` is where its first part must end, if not anywhere. Replicas in
    `held` already hold the tokens. An urgent request, one that has begun, may
    use the last of the memory, and pipes that are busy.
    """

    tokens: float
    avoid: Collection[str] = ()
    heads: frozenset[str] = frozenset()
    first_end: int = 0
    pipes: PipeUse | None = None
    is_urgent: bool = False
    held: frozenset[str] = frozenset()


def choose_path(
    engine: EngineSpec,
    usable: Sequence[Known],
    book: LoadBook,
    wanted: PathRequest,
    now: float,
) -> tuple[Stage, ...]:
    """Return the stages of the best path with room, or an empty tuple."""
    holders = [
        found
        for found in usable
        if found.replica.layers is not None
        and found.replica.replica_id not in wanted.avoid
        and has_room(engine, found, book, wanted)
    ]
    cuts = _list_cuts(engine, holders)
    best: dict[int, list[_Partial]] = {cut: [] for cut in cuts}
    start = _Partial(0, None, None, None, 0)
    tokens = wanted.tokens or engine.usual_prompt
    transfer_ms = predict_transfer_ms(engine, tokens) * TRANSFER_WEIGHT
    for found in holders:
        if wanted.heads and found.replica.replica_id not in wanted.heads:
            continue
        if found.replica.layers.first == 0:
            _extend(
                engine,
                best,
                _limit_cuts(cuts, wanted),
                start,
                found,
                book,
                0.0,
                now,
            )
    for cut in cuts[:-1]:
        for found in holders:
            layers = found.replica.layers
            if layers.first <= cut < layers.end:
                _extend_best(
                    engine,
                    best,
                    cuts,
                    cut,
                    found,
                    book,
                    transfer_ms,
                    wanted,
                    now,
                )
    return _collect(best[engine.layers]) if cuts else ()


def predict_gap_ms(
    engine: EngineSpec,
    known: dict[str, Known],
    stages: tuple[Stage, ...],
    book: LoadBook,
    now: float,
) -> float:
    """Return the predicted time between two events on a path."""
    total = 0.0
    for stage in stages:
        found = known.get(stage.replica.replica_id)
        if found is not None:
            total += _visit_ms(engine, found, stage.layers.count, book, now)
    return total


def count_capacity(
    engine: EngineSpec, found: Known, layers: LayerRange
) -> float:
    """Return how many tokens fit at a replica."""
    kind = engine.accelerators.get(found.replica.accelerator)
    if kind is None:
        return 0.0
    return count_tokens(engine, kind, layers.count)


def _wait_ms(wanted: PathRequest, one: str, other: str, now: float) -> float:
    if wanted.pipes is None:
        return 0.0
    return wanted.pipes.backlog_ms(one, other, now)


def has_room(
    engine: EngineSpec, found: Known, book: LoadBook, wanted: PathRequest
) -> bool:
    """Return whether a replica holds layers and has memory for a request."""
    replica = found.replica
    if replica.layers is None:
        return False
    if replica.replica_id in wanted.held:
        return True
    use = URGENT_USE if wanted.is_urgent else MEMORY_USE
    fits = count_capacity(engine, found, replica.layers) * use
    return book.tokens(replica.replica_id) + wanted.tokens <= fits


def _may_cross(wanted: PathRequest, one: str, other: str, now: float) -> bool:
    if wanted.pipes is None or wanted.is_urgent:
        return True
    return wanted.pipes.is_open(one, other, now)


def _limit_cuts(cuts: list[int], wanted: PathRequest) -> list[int]:
    """Return where the first part may end."""
    if not wanted.first_end:
        return cuts
    return [cut for cut in cuts if cut == wanted.first_end]


def _list_cuts(engine: EngineSpec, holders: Sequence[Known]) -> list[int]:
    """Return where parts may end, in order."""
    cuts = {engine.layers}
    for found in holders:
        cuts.update((found.replica.layers.first, found.replica.layers.end))
    return sorted(cut for cut in cuts if 0 < cut <= engine.layers)


def _extend_best(
    engine: EngineSpec,
    best: dict[int, list[_Partial]],
    cuts: list[int],
    cut: int,
    found: Known,
    book: LoadBook,
    transfer_ms: float,
    wanted: PathRequest,
    now: float,
) -> None:
    """Extend the cheapest partial path at a cut by one replica."""
    replica = found.replica
    chosen: _Partial | None = None
    chosen_hop = 0.0
    for partial in best[cut]:
        if partial.stages >= MOST_STAGES or _visits(
            partial, replica.replica_id
        ):
            continue
        here = partial.known.replica.data_centre
        hop = 0.0
        if here != replica.data_centre:
            if not _may_cross(wanted, here, replica.data_centre, now):
                continue
            hop = transfer_ms + _wait_ms(wanted, here, replica.data_centre, now)
        if chosen is None or partial.cost + hop < chosen.cost + chosen_hop:
            chosen = partial
            chosen_hop = hop
    if chosen is not None:
        _extend(engine, best, cuts, chosen, found, book, chosen_hop, now)


def _extend(
    engine: EngineSpec,
    best: dict[int, list[_Partial]],
    cuts: list[int],
    partial: _Partial,
    found: Known,
    book: LoadBook,
    hop: float,
    now: float,
) -> None:
    """Let one replica run from where a partial path ends to each cut."""
    layers = found.replica.layers
    first = partial.layers.end if partial.layers is not None else 0
    if (
        partial.known is None
        and book.requests(found.replica.replica_id) >= engine.slots
    ):
        return
    for cut in cuts:
        if not first < cut <= layers.end:
            continue
        part = LayerRange(first, cut)
        cost = partial.cost + hop + _STAGE_COST_MS
        cost += _visit_ms(engine, found, part.count, book, now)
        best[cut].append(
            _Partial(cost, found, part, partial, partial.stages + 1)
        )


def _visit_ms(
    engine: EngineSpec, found: Known, layers: int, book: LoadBook, now: float
) -> float:
    replica = found.replica
    kind = engine.accelerators.get(replica.accelerator)
    if kind is None:
        return float('inf')
    running = book.requests(replica.replica_id) + 1
    slowness = found.slowness if found.slow_until > now else 1.0
    return predict_visit_ms(engine, kind, layers, running, slowness)


def _visits(partial: _Partial, replica_id: str) -> bool:
    step: _Partial | None = partial
    while step is not None and step.known is not None:
        if step.known.replica.replica_id == replica_id:
            return True
        step = step.before
    return False


def _collect(ends: list[_Partial]) -> tuple[Stage, ...]:
    if not ends:
        return ()
    step: _Partial | None = min(ends, key=_cost)
    stages: list[Stage] = []
    while step is not None and step.known is not None:
        stages.append(Stage(step.known.replica, step.layers))
        step = step.before
    return tuple(reversed(stages))


def _cost(partial: _Partial) -> float:
    return partial.cost
