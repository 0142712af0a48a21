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
    STAGE_COST_MS,
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
# A transfer holds up the next event of every stream behind it, not only of its
# own: with weight 0.5, paths through three data centres were chosen to save
# 13 ms an event, and pauses of seconds came of it.
TRANSFER_WEIGHT = 4.0


@dataclass(slots=True)
class _Partial:
    """A path up to some layer and its predicted milliseconds per event."""

    cost: float
    known: Known
    layers: LayerRange
    before: _Partial | None
    stages: int

    def visits(self, replica_id: str) -> bool:
        """Return whether a replica is on the path."""
        step: _Partial | None = self
        while step is not None:
            if step.known.replica.replica_id == replica_id:
                return True
            step = step.before
        return False


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
        if found.replica.replica_id not in wanted.avoid
        and has_room(engine, found, book, wanted)
    ]
    return _PathSearch(engine, holders, book, wanted, now).find()


class _PathSearch:
    """The cheapest partial paths to every layer where a part may end."""

    __slots__ = (
        '_best',
        '_book',
        '_cuts',
        '_engine',
        '_holders',
        '_now',
        '_transfer_ms',
        '_wanted',
    )

    def __init__(
        self,
        engine: EngineSpec,
        holders: Sequence[Known],
        book: LoadBook,
        wanted: PathRequest,
        now: float,
    ) -> None:
        self._engine = engine
        self._holders = holders
        self._book = book
        self._wanted = wanted
        self._now = now
        self._cuts = _list_cuts(engine, holders)
        self._best: dict[int, list[_Partial]] = {cut: [] for cut in self._cuts}
        tokens = wanted.tokens or engine.usual_prompt
        self._transfer_ms = predict_transfer_ms(engine, tokens)

    def find(self) -> tuple[Stage, ...]:
        """Return the cheapest whole path, or an empty tuple."""
        for found in self._holders:
            if self._may_begin(found):
                self._begin(found)
        for cut in self._cuts[:-1]:
            for found in self._holders:
                held = found.replica.held
                if held.first <= cut < held.end:
                    self._extend_best(cut, found)
        return _collect(self._best[self._engine.layers])

    def _may_begin(self, found: Known) -> bool:
        replica = found.replica
        if self._wanted.heads and replica.replica_id not in self._wanted.heads:
            return False
        if replica.held.first or not replica.held.end:
            return False
        return self._book.requests(replica.replica_id) < self._engine.slots

    def _begin(self, found: Known) -> None:
        cuts = self._cuts
        if self._wanted.first_end:
            cuts = [cut for cut in cuts if cut == self._wanted.first_end]
        for cut in cuts:
            if cut <= found.replica.held.end:
                self._add(None, found, LayerRange(0, cut), 0.0)

    def _extend_best(self, cut: int, found: Known) -> None:
        """Extend the cheapest partial path at a cut by one replica."""
        options = [
            (partial.cost + hop, hop, partial)
            for partial in self._best[cut]
            if (hop := self._find_hop_ms(partial, found)) is not None
        ]
        if not options:
            return
        _, hop, chosen = min(options, key=_first)
        for end in self._cuts:
            if cut < end <= found.replica.held.end:
                self._add(chosen, found, LayerRange(cut, end), hop)

    def _find_hop_ms(self, partial: _Partial, found: Known) -> float | None:
        """Return what the way to a replica costs; none if it can't be."""
        replica = found.replica
        if partial.stages >= MOST_STAGES:
            return None
        if partial.visits(replica.replica_id):
            return None
        here = partial.known.replica.data_centre
        there = replica.data_centre
        if here == there:
            return 0.0
        transfer_ms = self._transfer_ms * TRANSFER_WEIGHT
        pipes = self._wanted.pipes
        if pipes is None:
            return transfer_ms
        if not self._wanted.is_urgent and not pipes.is_open(
            here, there, self._now
        ):
            return None
        return transfer_ms + pipes.backlog_ms(here, there, self._now)

    def _add(
        self,
        before: _Partial | None,
        found: Known,
        layers: LayerRange,
        hop_ms: float,
    ) -> None:
        visit_ms = _visit_ms(
            self._engine, found, layers.count, self._book, self._now
        )
        cost = hop_ms + visit_ms + STAGE_COST_MS
        count = 1
        if before is not None:
            cost += before.cost
            count += before.stages
        partial = _Partial(cost, found, layers, before, count)
        self._best[layers.end].append(partial)


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


def _list_cuts(engine: EngineSpec, holders: Sequence[Known]) -> list[int]:
    """Return where parts may end, in order."""
    cuts = {engine.layers}
    for found in holders:
        cuts.update((found.replica.held.first, found.replica.held.end))
    return sorted(cut for cut in cuts if 0 < cut <= engine.layers)


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


def _collect(ends: list[_Partial]) -> tuple[Stage, ...]:
    step: _Partial | None = min(ends, key=_cost, default=None)
    stages: list[Stage] = []
    while step is not None:
        stages.append(Stage(step.known.replica, step.layers))
        step = step.before
    return tuple(reversed(stages))


def _cost(partial: _Partial) -> float:
    return partial.cost


def _first(option: tuple[float, float, _Partial]) -> float:
    return option[0]
