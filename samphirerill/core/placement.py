"""Choose pipelines that run each layer exactly once, in order.

A pipeline is a path over layer positions: from position ``p`` an endpoint
that holds layer ``p`` runs up to some position ``q`` inside what it holds. The
cheapest path by predicted time per token wins. The prediction adds, for each
stage, the time its layers take under its present use, and for each hop the
time of that link, measured or, until there are enough reports, configured: a link
that degrades without warning loses its work.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.core.commands import Stage
from samphirerill.core.prefixes import NOBODY
from samphirerill.core.state import EndpointState, Health

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.core.state import CoreState

_CANDIDATES = 6
_HEADS = 3
_JITTER = 0.1
_CACHE_GAIN = 0.5
_LEAST_HOP_MS = 0.3
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
    preferred: frozenset[str] = NOBODY,
) -> tuple[Stage, ...]:
    """Return the cheapest pipeline with room, or an empty tuple.

    Parameters
    ----------
    state : CoreState
        Read only, but for its source of chance.
    model_name : str
        The model whose layers have to be covered.
    avoid : set of str
        Endpoints that failed this request; used only if nothing else covers.
    preferred : frozenset of str
        Endpoints that hold the prompt's prefix for this client account.

    Returns
    -------
    tuple of Stage
        Stages whose layers are ``0..layers-1``, each once, in order.
    """
    for shunned in (avoid, set()):
        usable = _find_usable(state, model_name, shunned)
        path = _find_path(state, model_name, usable, preferred)
        if path is not None:
            return path.stages
    return ()


def choose_service(
    state: CoreState, names: tuple[str, ...], avoid: set[str]
) -> tuple[Stage, ...]:
    """Return the plain service with the least in flight, as one stage."""
    usable = [
        found
        for name in names
        if (found := state.endpoints.get(name)) and _is_usable(state, found)
    ]
    fresh = [found for found in usable if found.endpoint.name not in avoid]
    pool = fresh or usable
    if not pool:
        return ()
    pool = state.random.sample(pool, min(2, len(pool)))
    best = min(pool, key=lambda found: found.in_flight + found.others())
    return (_build_stage(best, 0, 0),)


def observe_hops(
    state: CoreState, stages: tuple[Stage, ...], hops_ms: tuple[float, ...]
) -> None:
    """Take the reported time of each hop."""
    targets = stages[1:] + stages[:1]
    for source, target, hop_ms in zip(stages, targets, hops_ms, strict=False):
        link = (source.endpoint, target.endpoint)
        state.links.observe(link, hop_ms, state.now)


def predict_ms(state: CoreState, stages: tuple[Stage, ...]) -> float:
    """Return the predicted milliseconds per token of a whole pipeline."""
    following = stages[1:] + stages[:1]
    hops_ms = [
        _hop_ms(state, stage.endpoint, target.endpoint)
        for stage, target in zip(stages, following, strict=True)
        if stage is not target
    ]
    return measure_ms(state, stages, hops_ms)


def measure_ms(
    state: CoreState, stages: tuple[Stage, ...], hops_ms: Iterable[float]
) -> float:
    """Return the milliseconds per token if hops take as long as given."""
    total = sum(hops_ms)
    for stage in stages:
        found = state.endpoints.get(stage.endpoint)
        if found is None:
            return float('inf')
        total += _stage_ms(state, found, stage.last - stage.first + 1)
    return total


def count_free_slots(state: CoreState, found: EndpointState) -> int:
    """Return how many more requests this node may send to an endpoint.

    Reports are late and all nodes read the same ones, so a node may always
    use its fair share; above that it uses only what others seem to leave.
    One that has just joined gets work little by little, as all nodes hear of
    it at once and would fill it before its first report.
    """
    slots = found.endpoint.slots
    share = max(1, slots // max(1, state.node_count))
    allowed = max(share, slots - found.others())
    if state.now < found.slow_start_until:
        grown = 1 - (found.slow_start_until - state.now) / SLOW_START_S
        allowed = min(allowed, max(1, int(slots * grown)))
    return allowed - found.in_flight


def _is_usable(state: CoreState, found: EndpointState) -> bool:
    return found.health is Health.LIVE and count_free_slots(state, found) > 0


def _find_usable(
    state: CoreState, model_name: str, avoid: set[str]
) -> list[EndpointState]:
    return [
        found
        for found in state.by_model.get(model_name, ())
        if found.endpoint.name not in avoid and _is_usable(state, found)
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
    marks = _list_marks(usable, model.layers)
    heads = [found for found in usable if found.endpoint.first == 0]
    best: _Path | None = None
    for head in _pick_few(state, heads, _HEADS, preferred):
        path = _extend_head(state, head, usable, marks)
        if path is None:
            continue
        if head.endpoint.name in preferred:
            path.cost *= _CACHE_GAIN
        if best is None or path.cost < best.cost:
            best = path
    return best


def _list_marks(usable: list[EndpointState], layers: int) -> list[int]:
    """Return the positions where one stage may hand over to the next."""
    marks = {layers}
    for found in usable:
        marks.add(found.endpoint.first)
        marks.add(found.endpoint.last + 1)
    return sorted(mark for mark in marks if 0 < mark <= layers)


def _extend_head(
    state: CoreState,
    head: EndpointState,
    usable: list[EndpointState],
    marks: list[int],
) -> _Path | None:
    """Find the cheapest way from a given first stage to the last layer."""
    reached: dict[int, dict[str, _Path]] = {mark: {} for mark in marks}
    _relax(state, reached, _Path(0, ()), head, 0)
    for mark in marks[:-1]:
        if not reached[mark]:
            continue
        holders = [
            found
            for found in usable
            if found.endpoint.first <= mark <= found.endpoint.last
        ]
        following = _pick_few(state, holders, _CANDIDATES, NOBODY)
        for path in tuple(reached[mark].values()):
            for found in following:
                _relax(state, reached, path, found, mark)
    return _close_paths(state, head, reached[marks[-1]])


def _relax(
    state: CoreState,
    reached: dict[int, dict[str, _Path]],
    path: _Path,
    found: EndpointState,
    start: int,
) -> None:
    """Extend a path by one endpoint to every position it can run up to."""
    name = found.endpoint.name
    if any(stage.endpoint == name for stage in path.stages):
        return
    hop_ms = 0.0
    if path.stages:
        hop_ms = _hop_ms(state, path.stages[-1].endpoint, name)
    jitter = 1 + _JITTER * state.random.random()
    for mark, known in reached.items():
        if not start < mark <= found.endpoint.last + 1:
            continue
        step = _stage_ms(state, found, mark - start) * jitter
        cost = path.cost + hop_ms + step
        if name not in known or cost < known[name].cost:
            stage = _build_stage(found, start, mark - 1)
            known[name] = _Path(cost, (*path.stages, stage))


def _close_paths(
    state: CoreState, head: EndpointState, ends: dict[str, _Path]
) -> _Path | None:
    """Add the way back to the head, where the next token starts."""
    best: _Path | None = None
    for name, path in ends.items():
        if name != head.endpoint.name:
            path.cost += _hop_ms(state, name, head.endpoint.name)
        if best is None or path.cost < best.cost:
            best = path
    return best


def _pick_few(
    state: CoreState,
    found: list[EndpointState],
    count: int,
    preferred: frozenset[str],
) -> list[EndpointState]:
    """Sample candidates, so that nodes with equal views spread out."""
    if len(found) <= count:
        return found
    wanted = [item for item in found if item.endpoint.name in preferred]
    sample = state.random.sample(found, min(len(found), 2 * count))
    sample.sort(key=_use)
    return (wanted + sample)[:count]


def _use(found: EndpointState) -> float:
    return (found.in_flight + found.others()) / found.endpoint.slots


def _stage_ms(state: CoreState, found: EndpointState, layers: int) -> float:
    return layers * found.endpoint.layer_ms * (1 + _use(found))


def _hop_ms(state: CoreState, source: str, target: str) -> float:
    measured = state.links.estimate_ms((source, target), state.now)
    if measured is not None:
        return measured
    ends = state.endpoints.get(source), state.endpoints.get(target)
    if ends[0] is None or ends[1] is None:
        return 0
    configured = state.configuration.link_ms(
        ends[0].endpoint.data_centre, ends[1].endpoint.data_centre
    )
    return max(_LEAST_HOP_MS, configured)


def _build_stage(found: EndpointState, first: int, last: int) -> Stage:
    endpoint = found.endpoint
    return Stage(endpoint.name, endpoint.address, first, last)
