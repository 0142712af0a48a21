"""Choose pipelines that run each layer exactly once, in order.

A pipeline is a path over layer positions: from position ``p``, a replica that
holds layer ``p`` runs up to some position ``q`` within the layers it holds.
The path with the lowest predicted time per token is chosen. The prediction
adds the time of each stage's layers at its present utilization and the latency
of each hop, measured or, until there are enough reports, configured. Links
that degrade therefore lose their traffic.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.core.commands import Stage
from samphirerill.core.prefixes import NO_ENDPOINTS
from samphirerill.core.state import EndpointState, Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.core.state import CoreState

_MAX_CANDIDATES = 6
_MAX_HEADS = 3
# Random increase of predicted stage times, so that nodes spread out.
_JITTER = 0.1
# Factor on the predicted time of pipelines that start at a cached prefix.
_CACHE_HIT_FACTOR = 0.5
_MIN_HOP_MS = 0.3
SLOW_START_S = 5.0


@dataclass(slots=True)
class _Path:
    """A partial pipeline and its predicted milliseconds per token."""

    cost: float
    stages: tuple[Stage, ...]


def choose_pipeline(
    state: CoreState,
    model_name: str,
    avoid: set[str],
    preferred: frozenset[str] = NO_ENDPOINTS,
) -> tuple[Stage, ...]:
    """Return the cheapest pipeline with free slots, or an empty tuple.

    Parameters
    ----------
    state : CoreState
        Read only, except for its random number generator.
    model_name : str
        The model whose layers have to be covered.
    avoid : set of str
        Endpoints that failed this request; used only as a last resort.
    preferred : frozenset of str
        Endpoints that have the prompt's prefix cached for this client account.

    Returns
    -------
    tuple of Stage
        Stages whose layers are ``0..layers-1``, each once, in order.
    """
    for excluded in (avoid, set()):
        usable = _find_usable(state, model_name, excluded)
        path = _find_path(state, model_name, usable, preferred)
        if path is not None:
            return path.stages
    return ()


def choose_service(
    state: CoreState, names: tuple[str, ...], avoid: set[str]
) -> tuple[Stage, ...]:
    """Return a plain service as one stage, or an empty tuple.

    The less loaded of two random candidates is chosen.
    """
    usable = [
        replica
        for name in names
        if (replica := state.endpoints.get(name)) and _is_usable(state, replica)
    ]
    untried = [
        replica for replica in usable if replica.endpoint.name not in avoid
    ]
    candidates = untried or usable
    if not candidates:
        return ()
    candidates = state.random.sample(candidates, min(2, len(candidates)))
    best = min(
        candidates,
        key=lambda replica: replica.in_flight + replica.count_other_load(),
    )
    return (_build_stage(best, 0, 0),)


def observe_hops(
    state: CoreState, stages: tuple[Stage, ...], hops_ms: tuple[float, ...]
) -> None:
    """Record the reported time of each hop."""
    targets = stages[1:] + stages[:1]
    for source, target, hop_ms in zip(stages, targets, hops_ms, strict=False):
        link = (source.endpoint, target.endpoint)
        state.links.observe(link, hop_ms, state.now)


def predict_token_ms(state: CoreState, stages: tuple[Stage, ...]) -> float:
    """Return the predicted milliseconds per token of a pipeline."""
    following = stages[1:] + stages[:1]
    hops_ms = [
        _predict_hop_ms(state, stage.endpoint, target.endpoint)
        for stage, target in zip(stages, following, strict=True)
        if stage is not target
    ]
    return compute_token_ms(state, stages, hops_ms)


def compute_token_ms(
    state: CoreState, stages: tuple[Stage, ...], hops_ms: Iterable[float]
) -> float:
    """Return the milliseconds per token for given hop times."""
    total = sum(hops_ms)
    for stage in stages:
        replica = state.endpoints.get(stage.endpoint)
        if replica is None:
            return float('inf')
        total += _predict_stage_ms(state, replica, stage.last - stage.first + 1)
    return total


def count_free_slots(state: CoreState, replica: EndpointState) -> int:
    """Return how many more requests this node may send to a replica.

    Load reports are late and all nodes read the same ones, so a node may
    always use its fair share of the slots, and more only if other nodes seem
    to leave them free. A replica that has just joined is subject to slow
    start: all nodes see it at once and would fill it before its first report.
    """
    slots = replica.endpoint.slots
    share = max(1, slots // max(1, state.node_count))
    allowed = max(share, slots - replica.count_other_load())
    if state.now < replica.slow_start_until:
        fraction = 1 - (replica.slow_start_until - state.now) / SLOW_START_S
        allowed = min(allowed, max(1, int(slots * fraction)))
    return allowed - replica.in_flight


def _is_usable(state: CoreState, replica: EndpointState) -> bool:
    return (
        replica.health is Health.LIVE
        and not state.find_room(replica.endpoint.address, state.now)
        and count_free_slots(state, replica) > 0
    )


def _find_usable(
    state: CoreState, model_name: str, avoid: set[str]
) -> list[EndpointState]:
    return [
        replica
        for replica in state.by_model.get(model_name, ())
        if replica.endpoint.name not in avoid and _is_usable(state, replica)
    ]


def _find_path(
    state: CoreState,
    model_name: str,
    usable: list[EndpointState],
    preferred: frozenset[str],
) -> _Path | None:
    model = state.configuration.models.get(model_name)
    if model is None:
        return None
    boundaries = _list_boundaries(usable, model.layers)
    heads = [replica for replica in usable if replica.endpoint.first == 0]
    best: _Path | None = None
    for head in _sample_candidates(state, heads, _MAX_HEADS, preferred):
        path = _find_path_from(state, head, usable, boundaries)
        if path is None:
            continue
        if head.endpoint.name in preferred:
            path.cost *= _CACHE_HIT_FACTOR
        if best is None or path.cost < best.cost:
            best = path
    return best


def _list_boundaries(usable: list[EndpointState], layers: int) -> list[int]:
    """Return the positions at which one stage may end and the next begin."""
    boundaries = {layers}
    for replica in usable:
        boundaries.add(replica.endpoint.first)
        boundaries.add(replica.endpoint.last + 1)
    return sorted(boundary for boundary in boundaries if 0 < boundary <= layers)


def _find_path_from(
    state: CoreState,
    head: EndpointState,
    usable: list[EndpointState],
    boundaries: list[int],
) -> _Path | None:
    """Find the cheapest path from a given first stage to the last layer."""
    paths_to: dict[int, dict[str, _Path]] = {
        boundary: {} for boundary in boundaries
    }
    _relax(state, paths_to, _Path(0, ()), head, 0)
    for boundary in boundaries[:-1]:
        if not paths_to[boundary]:
            continue
        holders = [
            replica
            for replica in usable
            if replica.endpoint.first <= boundary <= replica.endpoint.last
        ]
        following = _sample_candidates(
            state, holders, _MAX_CANDIDATES, NO_ENDPOINTS
        )
        for path in tuple(paths_to[boundary].values()):
            for replica in following:
                _relax(state, paths_to, path, replica, boundary)
    return _close_cycle(state, head, paths_to[boundaries[-1]])


def _relax(
    state: CoreState,
    paths_to: dict[int, dict[str, _Path]],
    path: _Path,
    replica: EndpointState,
    start: int,
) -> None:
    """Extend a path by one replica to every position it can run up to."""
    name = replica.endpoint.name
    if any(stage.endpoint == name for stage in path.stages):
        return
    hop_ms = 0.0
    if path.stages:
        hop_ms = _predict_hop_ms(state, path.stages[-1].endpoint, name)
    jitter = 1 + _JITTER * state.random.random()
    for boundary, paths in paths_to.items():
        if not start < boundary <= replica.endpoint.last + 1:
            continue
        stage_ms = _predict_stage_ms(state, replica, boundary - start) * jitter
        cost = path.cost + hop_ms + stage_ms
        if name not in paths or cost < paths[name].cost:
            stage = _build_stage(replica, start, boundary - 1)
            paths[name] = _Path(cost, (*path.stages, stage))


def _close_cycle(
    state: CoreState, head: EndpointState, paths: dict[str, _Path]
) -> _Path | None:
    """Add the hop back to the first stage, where the next token starts."""
    best: _Path | None = None
    for name, path in paths.items():
        if name != head.endpoint.name:
            path.cost += _predict_hop_ms(state, name, head.endpoint.name)
        if best is None or path.cost < best.cost:
            best = path
    return best


def _sample_candidates(
    state: CoreState,
    replicas: list[EndpointState],
    count: int,
    preferred: frozenset[str],
) -> list[EndpointState]:
    """Sample candidates, so that nodes with equal state choose differently."""
    if len(replicas) <= count:
        return replicas
    matching = [item for item in replicas if item.endpoint.name in preferred]
    sample = state.random.sample(replicas, min(len(replicas), 2 * count))
    sample.sort(key=_compute_utilization)
    return (matching + sample)[:count]


def _compute_utilization(replica: EndpointState) -> float:
    return (
        replica.in_flight + replica.count_other_load()
    ) / replica.endpoint.slots


def _predict_stage_ms(
    state: CoreState, replica: EndpointState, layers: int
) -> float:
    return (
        layers * replica.endpoint.layer_ms * (1 + _compute_utilization(replica))
    )


def _predict_hop_ms(state: CoreState, source: str, target: str) -> float:
    measured = state.links.estimate_ms((source, target), state.now)
    if measured is not None:
        return measured
    pair = state.endpoints.get(source), state.endpoints.get(target)
    if pair[0] is None or pair[1] is None:
        return 0
    configured = state.configuration.link_ms(
        pair[0].endpoint.data_centre, pair[1].endpoint.data_centre
    )
    return max(_MIN_HOP_MS, configured)


def _build_stage(replica: EndpointState, first: int, last: int) -> Stage:
    endpoint = replica.endpoint
    return Stage(endpoint.name, endpoint.address, first, last)
