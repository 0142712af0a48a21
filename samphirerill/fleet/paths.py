"""Choose the path of one request over what replicas hold.

A path runs every layer once, in order. From a position, any replica that holds
the next layer may run up to the end of its part, wherever that part began. Of
all paths with room, the one with the least predicted time between events is
chosen; a change of data centre costs what the prompt's transfer holds up.
"""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange, Stage, count_tokens
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.prediction import (
    STAGE_COST_MS,
    predict_reading_ms,
    predict_transfer_ms,
    predict_visit_ms,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.load import LoadBook
    from samphirerill.fleet.model import EngineSpec, Replica
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
# When a replica is lost, its streams are read elsewhere one after another. Where
# 45 of them passed through one head, most paused for 210 to 340 ms; 15 need a
# third of that. For every stream that is there already a replica counts as
# slower by this share of the time to read a usual prompt.
CROWD_WEIGHT = 0.02
# Bytes between data centres are paid for, and a loss should not meet the streams
# of all data centres: a head elsewhere has to save so much between two events.
AWAY_MS = 6.0


@dataclass(slots=True)
class _Partial:
    """A path up to some layer and its predicted milliseconds per event."""

    cost: float
    replica: Replica
    layers: LayerRange
    before: _Partial | None
    stages: int


@dataclass(slots=True)
class _Holder:
    """A replica with room, and what a layer costs there per event."""

    replica: Replica
    layer_ms: float


@dataclass(slots=True)
class PathRequest:
    """What is asked: room for `tokens`, without the replicas of `avoid`.

    `heads` names the replicas that a path may begin with, if not any;
    `first_end` is where its first part must end, if not anywhere. Replicas in
    `held` already hold the tokens. An urgent request, one that has begun, may
    use the last of the memory, and pipes that are busier. `home` is the data
    centre of who asks.
    """

    tokens: float
    avoid: Collection[str] = ()
    heads: frozenset[str] = frozenset()
    first_end: int = 0
    pipes: PipeUse | None = None
    is_urgent: bool = False
    held: frozenset[str] = frozenset()
    home: str = ''
    policy: Policy = Policy()


def choose_path(
    engine: EngineSpec,
    usable: Sequence[Known],
    book: LoadBook,
    wanted: PathRequest,
    now: float,
) -> tuple[Stage, ...]:
    """Return the stages of the best path with room, or an empty tuple."""
    holders = [
        _Holder(found.replica, _weigh_layer(engine, found, book, wanted, now))
        for found in usable
        if found.replica.replica_id not in wanted.avoid
        and has_room(engine, found, book, wanted)
    ]
    return _PathSearch(engine, holders, book, wanted, now).find()


class _PathSearch:
    """The cheapest partial paths, by where they end and in which data centre.

    Every part runs up to its replica's end, so that no replica comes twice and
    each is looked at once for each end before it. Ending parts at all places
    where another one begins, too, saved no time between events and took ten
    times as long: 23 ms instead of 1 at 98 replicas.
    """

    __slots__ = (
        '_best',
        '_book',
        '_engine',
        '_holders',
        '_now',
        '_transfer_ms',
        '_wanted',
    )

    def __init__(
        self,
        engine: EngineSpec,
        holders: Sequence[_Holder],
        book: LoadBook,
        wanted: PathRequest,
        now: float,
    ) -> None:
        self._engine = engine
        self._holders = holders
        self._book = book
        self._wanted = wanted
        self._now = now
        # For each end, the cheapest partial path in each data centre.
        self._best: dict[int, dict[str, _Partial]] = {}
        tokens = wanted.tokens or engine.usual_prompt
        self._transfer_ms = predict_transfer_ms(engine, tokens)
        self._transfer_ms *= TRANSFER_WEIGHT

    def find(self) -> tuple[Stage, ...]:
        """Return the cheapest whole path, or an empty tuple."""
        cuts = self._list_cuts()
        covering = self._list_covering(cuts)
        for holder in self._holders:
            if self._may_begin(holder.replica):
                self._begin(holder)
        for cut in cuts:
            if cut in self._best:
                self._extend(cut, covering[cut])
        return _collect(self._best.get(self._engine.layers, {}))

    def _list_cuts(self) -> list[int]:
        """Return where parts may end short of the last layer, in order."""
        cuts = {holder.replica.held.end for holder in self._holders}
        cuts.add(self._wanted.first_end)
        return sorted(cut for cut in cuts if 0 < cut < self._engine.layers)

    def _list_covering(self, cuts: Sequence[int]) -> dict[int, list[_Holder]]:
        """Return, for each place to end, who may go on from there."""
        covering: dict[int, list[_Holder]] = {cut: [] for cut in cuts}
        holders = [
            holder
            for holder in self._holders
            if not self._is_fixed_head(holder.replica)
        ]
        for holder in holders:
            held = holder.replica.held
            for cut in cuts[bisect_left(cuts, held.first) :]:
                if cut >= held.end:
                    break
                covering[cut].append(holder)
        return covering

    def _is_fixed_head(self, replica: Replica) -> bool:
        """Return whether a replica's part ends short of what it holds.

        A stream that moves keeps its first part as it was; its replica may
        hold more by now, but comes only once on a path.
        """
        wanted = self._wanted
        return bool(wanted.first_end) and replica.replica_id in wanted.heads

    def _may_begin(self, replica: Replica) -> bool:
        if self._wanted.heads and replica.replica_id not in self._wanted.heads:
            return False
        if replica.held.first or not replica.held.end:
            return False
        return self._book.requests(replica.replica_id) < self._engine.slots

    def _begin(self, holder: _Holder) -> None:
        held = holder.replica.held
        end = self._wanted.first_end or held.end
        if end <= held.end:
            away_ms = self._find_away_ms(holder.replica)
            self._add(None, holder, LayerRange(0, end), away_ms)

    def _find_away_ms(self, head: Replica) -> float:
        """Return what it costs that events come from another data centre."""
        wanted = self._wanted
        is_home = not wanted.home or head.data_centre == wanted.home
        return 0.0 if is_home or not wanted.policy.near_heads else AWAY_MS

    def _extend(self, cut: int, holders: Sequence[_Holder]) -> None:
        """Go on from the cheapest partial paths at a cut."""
        entries: dict[str, tuple[float, _Partial] | None] = {}
        for holder in holders:
            zone = holder.replica.data_centre
            if zone not in entries:
                entries[zone] = self._find_entry(cut, zone)
            entry = entries[zone]
            if entry is not None:
                layers = LayerRange(cut, holder.replica.held.end)
                self._add(entry[1], holder, layers, entry[0])

    def _find_entry(self, cut: int, zone: str) -> tuple[float, _Partial] | None:
        """Return the cheapest way into a data centre, and its hop's cost."""
        options = []
        for here, partial in self._best[cut].items():
            hop_ms = self._find_hop_ms(here, zone)
            if hop_ms is not None and partial.stages < MOST_STAGES:
                options.append((partial.cost + hop_ms, hop_ms, partial))
        if not options:
            return None
        cheapest = min(options, key=_first)
        return cheapest[1], cheapest[2]

    def _find_hop_ms(self, here: str, there: str) -> float | None:
        """Return what the way between data centres costs; none if it's shut."""
        if here == there:
            return 0.0
        pipes = self._wanted.pipes
        if pipes is None:
            return self._transfer_ms
        if not pipes.is_open(
            here, there, self._now, is_urgent=self._wanted.is_urgent
        ):
            return None
        return self._transfer_ms + pipes.backlog_ms(here, there, self._now)

    def _add(
        self,
        before: _Partial | None,
        holder: _Holder,
        layers: LayerRange,
        hop_ms: float,
    ) -> None:
        cost = hop_ms + holder.layer_ms * layers.count + STAGE_COST_MS
        count = 1
        if before is not None:
            cost += before.cost
            count += before.stages
        zone = holder.replica.data_centre
        best = self._best.setdefault(layers.end, {})
        known = best.get(zone)
        if known is None or cost < known.cost:
            best[zone] = _Partial(cost, holder.replica, layers, before, count)


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
            layer_ms = _layer_ms(engine, found, book, now)
            total += layer_ms * stage.layers.count
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


def _layer_ms(
    engine: EngineSpec, found: Known, book: LoadBook, now: float
) -> float:
    """Return what one layer adds to the time between two events."""
    replica = found.replica
    kind = engine.accelerators.get(replica.accelerator)
    if kind is None:
        return float('inf')
    running = book.requests(replica.replica_id) + 1
    slowness = found.slowness if found.slow_until > now else 1.0
    return predict_visit_ms(engine, kind, 1, running, slowness)


def _weigh_layer(
    engine: EngineSpec,
    found: Known,
    book: LoadBook,
    wanted: PathRequest,
    now: float,
) -> float:
    """Return what one layer costs a stream that may choose among replicas."""
    layer_ms = _layer_ms(engine, found, book, now)
    kind = engine.accelerators.get(found.replica.accelerator)
    if kind is None or not wanted.policy.spread:
        return layer_ms
    crowd = book.requests(found.replica.replica_id)
    reading_ms = predict_reading_ms(engine, kind, 1, engine.usual_prompt)
    return layer_ms + CROWD_WEIGHT * crowd * reading_ms


def _collect(ends: dict[str, _Partial]) -> tuple[Stage, ...]:
    step: _Partial | None = min(ends.values(), key=_cost, default=None)
    stages: list[Stage] = []
    while step is not None:
        stages.append(Stage(step.replica, step.layers))
        step = step.before
    return tuple(reversed(stages))


def _cost(partial: _Partial) -> float:
    return partial.cost


def _first(option: tuple[float, float, _Partial]) -> float:
    return option[0]
