"""Choose the path of one request through the replicas.

A path runs every layer once, in order. From any position, a replica that holds
the next layer may run all layers up to the end of its range, even if the range
began earlier. Of all paths with enough memory, the one with the least predicted
time between events is chosen; a crossing between data centres adds the delay
that the prompt's transfer causes on the link.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange, Stage, count_tokens
from samphirerill.fleet.policy import Policy
from samphirerill.fleet.prediction import (
    STAGE_OVERHEAD_MS,
    predict_prefill_ms,
    predict_stage_ms,
    predict_transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from samphirerill.fleet.link_usage import LinkUsage
    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.view import ReplicaState

# Takes a replica and how many of its slots are free; returns whether this node
# may take one.
MayTakeSlot = Callable[[str, int], bool]
# Load reports of other nodes lag, and answers may be longer than announced. The
# rest is reserved for streams that lost their path.
MAX_MEMORY_USE = 0.92
MAX_URGENT_MEMORY_USE = 1.0
# Engines refuse longer paths.
MAX_STAGES = 32
# A transfer delays the next event of every stream behind it on the link, not
# only of its own. With a weight of 0.5, paths through three data centres were
# chosen to save 13 ms an event, and streams paused for seconds.
TRANSFER_WEIGHT = 4.0
# When a replica is lost, its streams are prefilled elsewhere one after another,
# so streams should not concentrate on few replicas. Each stream already there
# makes a replica count as slower by this share of the time to prefill a usual
# prompt. Of 45 streams with the same first replica most paused for 210 to 340 ms
# on its loss; 15 need a third of that.
COLOCATION_WEIGHT = 0.02
# Traffic between data centres is paid for, and a failure should not affect the
# streams of all data centres: a remote first stage has to save this much per
# event.
REMOTE_ENTRY_PENALTY_MS = 6.0
# A stream goes to a first replica to which its node has an idle connection if
# that costs less than this per event, 2% of the usual interval. A new connection
# costs an engine 1 ms; where each of 69 nodes reached each engine once in some
# seconds, idle connections were closed before they were used again.
NEW_CONNECTION_PENALTY_MS = 0.4
# Replicas count as slower by a random factor up to this where the load of other
# nodes is not known.
MAX_BLIND_FACTOR = 1.25


@dataclass(slots=True)
class _PartialPath:
    """A path up to some layer and its predicted milliseconds per event."""

    cost: float
    replica: Replica
    layers: LayerRange
    previous: _PartialPath | None
    stages: int


@dataclass(slots=True)
class _Candidate:
    """A replica with enough memory, and its cost per layer and event."""

    replica: Replica
    layer_ms: float


@dataclass(slots=True)
class PathRequest:
    """Requirements of a path: memory for `tokens` without replicas in `excluded`.

    `first_replicas` limits the replicas that may run the first stage; empty
    means any. `first_stage_end` is where the first stage must end; 0 means
    anywhere. Replicas in `prefilled_on` already run the request. An urgent
    request, whose stream has begun, may use the reserved memory and links with
    a longer queue. `data_centre` is the data centre of the requesting node.
    `jitter` is given where other nodes may choose at the same moment, without
    knowing of each other; it makes their choices differ. `connected` are
    replicas to which the requesting node has an idle connection.
    `may_take_slot` is given where the nodes share the free slots.
    """

    tokens: float
    excluded: Collection[str] = ()
    first_replicas: frozenset[str] = frozenset()
    first_stage_end: int = 0
    links: LinkUsage | None = None
    is_urgent: bool = False
    prefilled_on: frozenset[str] = frozenset()
    data_centre: str = ''
    policy: Policy = Policy()
    jitter: Random | None = None
    connected: Collection[str] = ()
    may_take_slot: MayTakeSlot | None = None


def choose_path(
    engine: EngineSpec,
    usable: Sequence[ReplicaState],
    load_tracker: LoadTracker,
    request: PathRequest,
    now: float,
) -> tuple[Stage, ...]:
    """Return the stages of the cheapest feasible path, or an empty tuple."""
    scores = _LayerScores(engine, load_tracker, request, now)
    candidates = [
        _Candidate(state.replica, scores.score(state))
        for state in usable
        if state.replica.replica_id not in request.excluded
        and scores.has_memory(state)
    ]
    return _PathSearch(engine, candidates, load_tracker, request, now).find()


class _LayerScores:
    """Costs of replicas for one search.

    What replicas of one kind have in common is computed once: it took half of
    the time of a search among 98.
    """

    __slots__ = (
        '_capacities',
        '_engine',
        '_load_tracker',
        '_max_use',
        '_now',
        '_prefills_ms',
        '_request',
        '_stages_ms',
    )

    def __init__(
        self,
        engine: EngineSpec,
        load_tracker: LoadTracker,
        request: PathRequest,
        now: float,
    ) -> None:
        self._engine = engine
        self._load_tracker = load_tracker
        self._request = request
        self._now = now
        self._max_use = _get_max_memory_use(request)
        # By accelerator and number of layers.
        self._capacities: dict[tuple[str, int], float] = {}
        # By accelerator, running streams and slowness.
        self._stages_ms: dict[tuple[str, int, float], float] = {}
        self._prefills_ms: dict[str, float] = {}

    def has_memory(self, state: ReplicaState) -> bool:
        """Return the same as `has_memory`."""
        replica = state.replica
        if replica.layers is None:
            return False
        if replica.replica_id in self._request.prefilled_on:
            return True
        key = (replica.accelerator, replica.layers.count)
        capacity = self._capacities.get(key)
        if capacity is None:
            capacity = count_token_capacity(self._engine, state, replica.layers)
            capacity *= self._max_use
            self._capacities[key] = capacity
        held = self._load_tracker.count_tokens(replica.replica_id)
        return held + self._request.tokens <= capacity

    def score(self, state: ReplicaState) -> float:
        """Return the cost of one layer, with the penalty for co-location."""
        kind = state.replica.accelerator
        request = self._request
        count = self._load_tracker.count_requests(state.replica.replica_id)
        slowness = state.slowness if state.slow_until > self._now else 1.0
        key = (kind, count, slowness)
        layer_ms = self._stages_ms.get(key)
        if layer_ms is None:
            layer_ms = _predict_layer_ms(
                self._engine, state, self._load_tracker, self._now
            )
            self._stages_ms[key] = layer_ms
        if request.jitter is not None:
            layer_ms *= request.jitter.uniform(1, MAX_BLIND_FACTOR)
        if not count or not request.policy.spread:
            return layer_ms
        return layer_ms + COLOCATION_WEIGHT * count * self._find_prefill_ms(
            kind
        )

    def _find_prefill_ms(self, kind: str) -> float:
        """Return the time to prefill one layer; 0 for an unknown kind."""
        prefill_ms = self._prefills_ms.get(kind)
        if prefill_ms is None:
            engine = self._engine
            accelerator = engine.accelerators.get(kind)
            prefill_ms = (
                0.0
                if accelerator is None
                else predict_prefill_ms(
                    engine, accelerator, 1, engine.usual_prompt
                )
            )
            self._prefills_ms[kind] = prefill_ms
        return prefill_ms


class _PathSearch:
    """Search over partial paths, by the layer and data centre where they end.

    Every stage runs up to the end of its replica's range, so that no replica
    occurs twice. Also ending stages wherever another range begins would
    multiply the search time without shortening the time between events.
    """

    __slots__ = (
        '_best',
        '_load_tracker',
        '_engine',
        '_candidates',
        '_now',
        '_transfer_ms',
        '_request',
    )

    def __init__(
        self,
        engine: EngineSpec,
        candidates: Sequence[_Candidate],
        load_tracker: LoadTracker,
        request: PathRequest,
        now: float,
    ) -> None:
        self._engine = engine
        self._candidates = candidates
        self._load_tracker = load_tracker
        self._request = request
        self._now = now
        # For each end, the cheapest partial path in each data centre.
        self._best: dict[int, dict[str, _PartialPath]] = {}
        tokens = request.tokens or engine.usual_prompt
        self._transfer_ms = predict_transfer_ms(engine, tokens)
        self._transfer_ms *= TRANSFER_WEIGHT

    def find(self) -> tuple[Stage, ...]:
        """Return the cheapest complete path, or an empty tuple."""
        boundaries = self._list_boundaries()
        candidates_by_boundary = self._group_candidates(boundaries)
        for candidate in self._candidates:
            if self._can_start(candidate.replica):
                self._start_path(candidate)
        for boundary in boundaries:
            if boundary in self._best:
                self._extend(boundary, candidates_by_boundary[boundary])
        return _build_stages(self._best.get(self._engine.layers, {}))

    def _list_boundaries(self) -> list[int]:
        """Return where stages may end before the last layer, in order."""
        boundaries = {
            candidate.replica.held.end for candidate in self._candidates
        }
        boundaries.add(self._request.first_stage_end)
        return sorted(
            boundary
            for boundary in boundaries
            if 0 < boundary < self._engine.layers
        )

    def _group_candidates(
        self, boundaries: Sequence[int]
    ) -> dict[int, list[_Candidate]]:
        """Return, for each boundary, the candidates that hold the next layer."""
        candidates_by_boundary: dict[int, list[_Candidate]] = {
            boundary: [] for boundary in boundaries
        }
        candidates = [
            candidate
            for candidate in self._candidates
            if not self._is_pinned_first_stage(candidate.replica)
        ]
        for candidate in candidates:
            held = candidate.replica.held
            for boundary in boundaries[bisect_left(boundaries, held.first) :]:
                if boundary >= held.end:
                    break
                candidates_by_boundary[boundary].append(candidate)
        return candidates_by_boundary

    def _is_pinned_first_stage(self, replica: Replica) -> bool:
        """Return whether a replica's stage ends at `first_stage_end`.

        A stream that moves keeps its first stage unchanged. Its replica may
        hold more layers by now, but must not occur on the path again.
        """
        request = self._request
        return (
            bool(request.first_stage_end)
            and replica.replica_id in request.first_replicas
        )

    def _can_start(self, replica: Replica) -> bool:
        if (
            self._request.first_replicas
            and replica.replica_id not in self._request.first_replicas
        ):
            return False
        if replica.held.first or not replica.held.end:
            return False
        if replica.replica_id in self._request.prefilled_on:
            # The stream keeps the slot that it has there.
            return True
        used = self._load_tracker.count_requests(replica.replica_id)
        free = self._engine.slots - used
        may_take = self._request.may_take_slot
        if may_take is None:
            return free > 0
        return may_take(replica.replica_id, free)

    def _start_path(self, candidate: _Candidate) -> None:
        held = candidate.replica.held
        end = self._request.first_stage_end or held.end
        if end <= held.end:
            penalty_ms = self._find_remote_entry_ms(candidate.replica)
            connected = self._request.connected
            if connected and candidate.replica.replica_id not in connected:
                penalty_ms += NEW_CONNECTION_PENALTY_MS
            self._add(None, candidate, LayerRange(0, end), penalty_ms)

    def _find_remote_entry_ms(self, replica: Replica) -> float:
        """Return the penalty for a first stage in another data centre."""
        request = self._request
        is_local = (
            not request.data_centre
            or replica.data_centre == request.data_centre
        )
        return (
            0.0
            if is_local or not request.policy.near_heads
            else REMOTE_ENTRY_PENALTY_MS
        )

    def _extend(self, boundary: int, candidates: Sequence[_Candidate]) -> None:
        """Extend the cheapest partial paths that end at a boundary."""
        entries: dict[str, tuple[float, _PartialPath] | None] = {}
        for candidate in candidates:
            data_centre = candidate.replica.data_centre
            if data_centre not in entries:
                entries[data_centre] = self._find_cheapest_entry(
                    boundary, data_centre
                )
            entry = entries[data_centre]
            if entry is not None:
                layers = LayerRange(boundary, candidate.replica.held.end)
                self._add(entry[1], candidate, layers, entry[0])

    def _find_cheapest_entry(
        self, boundary: int, data_centre: str
    ) -> tuple[float, _PartialPath] | None:
        """Return the cost and start of the cheapest way into a data centre."""
        options = []
        for origin, partial in self._best[boundary].items():
            hop_ms = self._find_hop_ms(origin, data_centre)
            if hop_ms is not None and partial.stages < MAX_STAGES:
                options.append((partial.cost + hop_ms, hop_ms, partial))
        if not options:
            return None
        cheapest = min(options, key=_get_first)
        return cheapest[1], cheapest[2]

    def _find_hop_ms(self, origin: str, destination: str) -> float | None:
        """Return the cost of a crossing, or ``None`` if the link is full."""
        if origin == destination:
            return 0.0
        links = self._request.links
        if links is None:
            return self._transfer_ms
        if not links.is_open(
            origin, destination, self._now, is_urgent=self._request.is_urgent
        ):
            return None
        return self._transfer_ms + links.backlog_ms(
            origin, destination, self._now
        )

    def _add(
        self,
        previous: _PartialPath | None,
        candidate: _Candidate,
        layers: LayerRange,
        hop_ms: float,
    ) -> None:
        cost = hop_ms + candidate.layer_ms * layers.count + STAGE_OVERHEAD_MS
        count = 1
        if previous is not None:
            cost += previous.cost
            count += previous.stages
        data_centre = candidate.replica.data_centre
        best = self._best.setdefault(layers.end, {})
        known = best.get(data_centre)
        if known is None or cost < known.cost:
            best[data_centre] = _PartialPath(
                cost, candidate.replica, layers, previous, count
            )


def predict_event_interval_ms(
    engine: EngineSpec,
    states: dict[str, ReplicaState],
    stages: tuple[Stage, ...],
    load_tracker: LoadTracker,
    now: float,
) -> float:
    """Return the predicted time between two events on a path."""
    total = 0.0
    for stage in stages:
        state = states.get(stage.replica.replica_id)
        if state is not None:
            layer_ms = _predict_layer_ms(engine, state, load_tracker, now)
            total += layer_ms * stage.layers.count
    return total


def count_token_capacity(
    engine: EngineSpec, state: ReplicaState, layers: LayerRange
) -> float:
    """Return how many tokens fit in a replica's memory beside its layers."""
    accelerator = engine.accelerators.get(state.replica.accelerator)
    if accelerator is None:
        return 0.0
    return count_tokens(engine, accelerator, layers.count)


def has_memory(
    engine: EngineSpec,
    state: ReplicaState,
    load_tracker: LoadTracker,
    request: PathRequest,
) -> bool:
    """Return whether a replica holds layers and has memory for a request."""
    replica = state.replica
    if replica.layers is None:
        return False
    if replica.replica_id in request.prefilled_on:
        return True
    capacity = count_token_capacity(engine, state, replica.layers)
    capacity *= _get_max_memory_use(request)
    return (
        load_tracker.count_tokens(replica.replica_id) + request.tokens
        <= capacity
    )


def _get_max_memory_use(request: PathRequest) -> float:
    return MAX_URGENT_MEMORY_USE if request.is_urgent else MAX_MEMORY_USE


def _predict_layer_ms(
    engine: EngineSpec,
    state: ReplicaState,
    load_tracker: LoadTracker,
    now: float,
) -> float:
    """Return what one layer adds to the time between two events."""
    replica = state.replica
    accelerator = engine.accelerators.get(replica.accelerator)
    if accelerator is None:
        return float('inf')
    running = load_tracker.count_requests(replica.replica_id) + 1
    slowness = state.slowness if state.slow_until > now else 1.0
    return predict_stage_ms(engine, accelerator, 1, running, slowness)


def _build_stages(ends: dict[str, _PartialPath]) -> tuple[Stage, ...]:
    partial: _PartialPath | None = min(
        ends.values(), key=_get_cost, default=None
    )
    stages: list[Stage] = []
    while partial is not None:
        stages.append(Stage(partial.replica, partial.layers))
        partial = partial.previous
    return tuple(reversed(stages))


def _get_cost(partial: _PartialPath) -> float:
    return partial.cost


def _get_first(option: tuple[float, float, _PartialPath]) -> float:
    return option[0]
