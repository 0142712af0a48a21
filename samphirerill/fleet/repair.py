"""Decide the next moves of layers, given what replicas hold now.

Whole pipelines stay as they are. A replica outside them closes a gap where a
part was lost; what is left then forms further pipelines, and what can't even
do that doubles parts of others. Loads cost seconds, so what already holds
something useful is moved last.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.chains import CROSSING_LAYERS, extract_chains
from samphirerill.fleet.migration import plan_migration, predict_chain_rate
from samphirerill.fleet.model import LayerRange, count_tokens
from samphirerill.fleet.planner import (
    Pipeline,
    plan_layers,
    predict_total_rate,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica

# A part must leave room for this many usual requests, or it would throttle
# the pipeline it completes.
_LEAST_REQUESTS = 15
_WANTED_REQUESTS = 40
_REQUESTS = range(_WANTED_REQUESTS, _LEAST_REQUESTS - 1, -5)
# A slower pipeline is given up for a faster one only for this much more.
_GAIN = 1.3
Moves = dict[str, LayerRange]


def plan_moves(
    engine: EngineSpec,
    present: Sequence[Replica],
    pause_ms: float,
    settled: Collection[str],
    *,
    is_calm: bool = True,
) -> Moves:
    """Return the layers that replicas should hold other than now.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    present : sequence of Replica
        Those that live and are not leaving.
    pause_ms : float
        The pause between events that is still on time.
    settled : collection of str
        Replicas that may be given something to double; the others are kept
        free to take over from one that leaves.
    is_calm : bool
        No replica has come or gone for a while. Until then only gaps are
        closed; in a release the next newcomer fits better than any rebuilding.
    """
    if all(replica.layers is None for replica in present):
        return _plan_first(engine, present, pause_ms)
    chains = extract_chains(engine, present)
    spares = _list_spares(present, chains)
    moves = _mend_chains(engine, chains, spares, pause_ms, is_calm=is_calm)
    if is_calm:
        free = [
            item
            for item in spares
            if item.replica_id in settled and item.replica_id not in moves
        ]
        moves.update(_use_spares(engine, free, present, moves, pause_ms))
    moves = _drop_done(moves, present)
    if moves or not is_calm:
        return moves
    whole = [chain for chain in chains if not chain.gaps]
    return plan_migration(engine, present, whole, pause_ms)


def _mend_chains(
    engine: EngineSpec,
    chains: list[Chain],
    spares: list[Replica],
    pause_ms: float,
    *,
    is_calm: bool,
) -> Moves:
    """Return the moves that make broken chains whole, the fullest first."""
    whole = [chain for chain in chains if not chain.gaps]
    broken = [chain for chain in chains if chain.gaps]
    broken.sort(key=_count_missing)
    left = list(spares)
    moves: Moves = {}
    while broken:
        chain = broken.pop(0)
        taken = _close_gaps(engine, chain, left)
        if not taken and is_calm:
            # The parts of the chain that lacks most may complete others.
            taken = _cut_anew(engine, chain, left) or _sacrifice(
                engine, chain, broken, whole, left, pause_ms
            )
        moves.update(taken or {})
        left = [item for item in left if item.replica_id not in moves]
    return moves


def _list_spares(
    present: Sequence[Replica], chains: list[Chain]
) -> list[Replica]:
    used = {
        stage.replica.replica_id for chain in chains for stage in chain.stages
    }
    return [item for item in present if item.replica_id not in used]


def _drop_done(moves: Moves, present: Sequence[Replica]) -> Moves:
    """Leave out what replicas already hold.

    A gap that can only be closed from another data centre is seen as a gap
    again when it is closed.
    """
    held = {item.replica_id: item.layers for item in present}
    return {
        name: layers for name, layers in moves.items() if held[name] != layers
    }


def _plan_first(
    engine: EngineSpec, present: Sequence[Replica], pause_ms: float
) -> Moves:
    planned = plan_layers(engine, present, pause_ms)
    if planned is None:
        return {}
    moves = planned.list_ranges()
    moves.update(_double_parts(engine, planned.spares, present, moves))
    return moves


def _close_gaps(
    engine: EngineSpec, chain: Chain, spares: Sequence[Replica]
) -> Moves | None:
    """Return the moves that close a chain's gaps, or none if they can't be."""
    left = list(spares)
    moves: Moves = {}
    home = chain.find_home()
    zones = {stage.replica.data_centre for stage in chain.stages}
    for gap in chain.gaps:
        usable = left
        if gap.count <= CROSSING_LAYERS * 2:
            # From elsewhere it would cost two crossings, which is worse than
            # the gap.
            usable = [item for item in left if item.data_centre in zones]
        taken = _close_gap(engine, gap, usable, home)
        if taken is None:
            return None
        moves.update(taken)
        left = [item for item in left if item.replica_id not in taken]
    return moves


def _close_gap(
    engine: EngineSpec, gap: LayerRange, spares: list[Replica], home: str
) -> Moves | None:
    """Cut a gap among spares: near ones first, then empty ones."""
    for requests in (_WANTED_REQUESTS, _LEAST_REQUESTS):
        rank = partial(_rank_for_gap, engine, gap, home, requests)
        order = sorted(spares, key=rank)
        moves: Moves = {}
        first = gap.first
        for replica in order:
            most = _most_layers(engine, replica, requests)
            count = min(most, gap.end - first)
            if count <= 0:
                continue
            moves[replica.replica_id] = LayerRange(first, first + count)
            first += count
            if first >= gap.end:
                return moves
    return None


def _rank_for_gap(
    engine: EngineSpec,
    gap: LayerRange,
    home: str,
    requests: float,
    replica: Replica,
) -> tuple[bool, bool, int, int, str]:
    """Rank a replica for a gap: near, empty, not too small, not too large."""
    most = _most_layers(engine, replica, requests)
    return (
        replica.data_centre != home,
        replica.layers is not None,
        max(0, gap.count - most),
        max(0, most - gap.count),
        replica.replica_id,
    )


def _cut_anew(
    engine: EngineSpec, chain: Chain, spares: Sequence[Replica]
) -> Moves | None:
    """Let each part of a broken chain take on some of the missing layers.

    The parts keep their order, so that most of what they hold stays.
    """
    home = chain.find_home()
    near = [item for item in spares if item.data_centre == home]
    replicas = _join(chain, near)
    for requests in _REQUESTS:
        counts = [_most_layers(engine, item, requests) for item in replicas]
        if sum(counts) >= engine.layers:
            return _assign(engine, replicas, counts)
    return None


def _join(chain: Chain, joining: Sequence[Replica]) -> list[Replica]:
    """Return a chain's parts with others where its first gap is."""
    cards = [(stage.layers.first, stage.replica) for stage in chain.stages]
    cards.extend((chain.gaps[0].first, item) for item in joining)
    cards.sort(key=lambda pair: (pair[0], pair[1].replica_id))
    return [replica for _, replica in cards]


def _assign(
    engine: EngineSpec, replicas: list[Replica], counts: list[int]
) -> Moves:
    """Give out all layers in order, most to those that can hold most."""
    surplus = sum(counts) - engine.layers
    while surplus:
        largest = max(range(len(counts)), key=counts.__getitem__)
        counts[largest] -= 1
        surplus -= 1
    moves: Moves = {}
    first = 0
    for replica, count in zip(replicas, counts, strict=True):
        layers = LayerRange(first, first + count)
        first += count
        if count and layers != replica.layers:
            moves[replica.replica_id] = layers
    return moves


def _sacrifice(
    engine: EngineSpec,
    chain: Chain,
    broken: list[Chain],
    whole: list[Chain],
    spares: list[Replica],
    pause_ms: float,
) -> Moves | None:
    """Close gaps with the parts of a chain that is worth less.

    First another broken chain, then the slowest whole one, if the one that it
    completes is faster by far.
    """
    if broken:
        given = broken[-1]
        taken = _close_gaps(engine, chain, [*spares, *_list_replicas(given)])
        if taken is not None:
            broken.remove(given)
        return taken
    rates = [
        (predict_chain_rate(engine, item, pause_ms), item) for item in whole
    ]
    slow = min(rates, key=lambda pair: pair[0], default=None)
    if slow is None:
        return None
    given = slow[1]
    taken = _close_gaps(engine, chain, [*spares, *_list_replicas(given)])
    if taken is None:
        return None
    completed = _complete(chain, taken, given, spares)
    if predict_total_rate(engine, [completed], pause_ms) < slow[0] * _GAIN:
        return None
    whole.remove(given)
    return taken


def _complete(
    chain: Chain, taken: Moves, given: Chain, spares: list[Replica]
) -> Pipeline:
    """Return a chain's parts together with those that close its gaps."""
    replicas = {
        item.replica_id: item for item in (*spares, *_list_replicas(given))
    }
    parts = [
        (stage.layers.first, stage.replica, stage.layers.count)
        for stage in chain.stages
    ]
    parts.extend(
        (layers.first, replicas[name], layers.count)
        for name, layers in taken.items()
    )
    parts.sort(key=lambda part: part[0])
    return Pipeline([(replica, count) for _, replica, count in parts])


def _use_spares(
    engine: EngineSpec,
    spares: list[Replica],
    present: Sequence[Replica],
    moves: Moves,
    pause_ms: float,
) -> Moves:
    """Build another pipeline of spares, or let empty ones double parts."""
    planned = plan_layers(engine, spares, pause_ms)
    if planned is not None:
        return {
            name: layers
            for name, layers in planned.list_ranges().items()
            if layers != _find_layers(spares, name)
        }
    ranges = {
        item.replica_id: item.layers
        for item in present
        if item.layers is not None
    }
    ranges.update(moves)
    idle = [item for item in spares if item.layers is None]
    return _double_parts(engine, idle, present, ranges)


def _double_parts(
    engine: EngineSpec,
    spares: Sequence[Replica],
    present: Sequence[Replica],
    ranges: Moves,
) -> Moves:
    """Let each spare double what a near replica holds and the fewest hold.

    A part with a second holder survives its loss without a load.
    """
    zones = {item.replica_id: item.data_centre for item in present}
    held = dict(ranges)
    moves: Moves = {}
    for replica in spares:
        most = _most_layers(engine, replica, _LEAST_REQUESTS)
        options = {
            layers
            for name, layers in ranges.items()
            if layers.count <= most and zones.get(name) == replica.data_centre
        }
        if not options:
            continue
        moves[replica.replica_id] = min(options, key=partial(_rank_part, held))
        held[replica.replica_id] = moves[replica.replica_id]
    return moves


def _rank_part(held: Moves, layers: LayerRange) -> tuple[int, int, int]:
    """Rank a part to double: the fewest hold it, then it is large."""
    return _count_holders(layers, held), -layers.count, layers.first


def _count_holders(layers: LayerRange, held: Moves) -> int:
    return sum(
        other.first <= layers.first and other.end >= layers.end
        for other in held.values()
    )


def _most_layers(engine: EngineSpec, replica: Replica, requests: float) -> int:
    """Return how many layers leave room for so many usual requests."""
    kind = engine.accelerators.get(replica.accelerator)
    if kind is None:
        return 0
    tokens = requests * (engine.usual_prompt + engine.usual_answer / 2)
    count = min(engine.layers, int(kind.size_mb / engine.layer_mb))
    while count > 0 and count_tokens(engine, kind, count) < tokens:
        count -= 1
    return count


def _list_replicas(chain: Chain) -> list[Replica]:
    return [stage.replica for stage in chain.stages]


def _find_layers(replicas: list[Replica], name: str) -> LayerRange | None:
    for replica in replicas:
        if replica.replica_id == name:
            return replica.layers
    return None


def _count_missing(chain: Chain) -> int:
    return chain.count_missing()
