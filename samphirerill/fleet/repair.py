"""Decide the next moves of layers, given what replicas hold now.

Data centres are planned one by one. Whole pipelines stay as they are; one that
lost a part is made whole, first by replicas that no pipeline needs. What is left
doubles parts. A data centre without any whole pipeline is planned from nothing; only
one that can't have a pipeline of its own takes replicas of others. A calm fleet changes over to a clearly better plan.

Answers to: losses, releases and newcomers, several at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.doubling import (
    double_parts,
    list_parts,
    predict_outage,
)
from samphirerill.fleet.mending import close_gaps, complete, cut_anew
from samphirerill.fleet.migration import plan_migration
from samphirerill.fleet.model import NO_LAYERS, LayerRange
from samphirerill.fleet.planner import group_by_zone, plan_layers
from samphirerill.fleet.rates import (
    count_most_layers,
    predict_rate,
)
from samphirerill.fleet.stranded import build_anew, mend_across
from samphirerill.fleet.zone_state import (
    by_id,
    list_held,
    list_used,
    read_zone,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.worth import Aims
    from samphirerill.fleet.zone_state import Zone

# A slower pipeline is given up for a faster one only for this much more.
_GAIN = 1.3
# A newcomer of a kind that so few others have will take over from one of them.
_FEW_HOLDERS = 2
Moves = dict[str, LayerRange]


def plan_moves(
    engine: EngineSpec,
    present: Sequence[Replica],
    aims: Aims,
    settled: Collection[str],
    *,
    is_calm: bool = True,
    had: Mapping[str, int] | None = None,
) -> Moves:
    """Return the layers that replicas should hold other than now.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    present : sequence of Replica
        Those that live and are not leaving.
    aims : Aims
        What is asked for.
    settled : collection of str
        Replicas that may be given something to double; the others are kept
        free to take over from one that leaves.
    is_calm : bool
        No replica has come or gone for a while.
    had : mapping of str to int, optional
        How many whole pipelines each data centre had.
    """
    known = [
        item for item in present if item.accelerator in engine.accelerators
    ]
    if all(replica.layers is None for replica in known):
        planned = plan_layers(engine, known, aims)
        return {} if planned is None else planned.list_ranges()
    zones = [
        read_zone(engine, cards, aims, settled, (had or {}).get(name, 0))
        for name, cards in group_by_zone(known).items()
    ]
    for zone in zones:
        _mend_zone(engine, zone, aims)
        if not zone.whole:
            build_anew(engine, zone, aims)
    mend_across(engine, zones)
    moves = _drop_done(_join_moves(item.moves for item in zones), known)
    if moves:
        return moves
    doubles = [_double(engine, item, aims, settled) for item in zones]
    moves = _drop_done(_join_moves(doubles), known)
    if moves or not is_calm:
        return moves
    return _migrate(engine, zones, aims)


def count_whole(
    engine: EngineSpec, present: Sequence[Replica]
) -> dict[str, int]:
    """Return how many whole pipelines each data centre has."""
    return {
        name: sum(not chain.gaps for chain in extract_chains(engine, cards))
        for name, cards in group_by_zone(present).items()
    }


def _mend_zone(engine: EngineSpec, zone: Zone, aims: Aims) -> None:
    """Make broken pipelines whole, the fastest first."""
    for chain in tuple(zone.broken):
        if chain not in zone.broken:
            # A faster one has taken its parts.
            continue
        moves = _find_moves(engine, zone, chain, aims)
        if moves and _is_worth_it(engine, zone, chain, moves, aims):
            _accept(zone, chain, moves)


def _find_moves(
    engine: EngineSpec, zone: Zone, chain: Chain, aims: Aims
) -> Moves | None:
    """Return the moves that make a pipeline whole, the gentlest that do."""
    return (
        close_gaps(engine, chain, zone.spares)
        or _use_slower(engine, zone, chain)
        or cut_anew(engine, chain, zone.spares, aims.pause_ms)
        or _sacrifice(engine, zone, chain, aims)
    )


def _use_slower(engine: EngineSpec, zone: Zone, chain: Chain) -> Moves | None:
    """Close gaps with the parts of broken pipelines that are slower."""
    at = zone.broken.index(chain)
    slower = [
        stage.replica
        for other in zone.broken[at + 1 :]
        for stage in other.stages
    ]
    if not slower:
        return None
    return close_gaps(engine, chain, [*zone.spares, *slower])


def _sacrifice(
    engine: EngineSpec, zone: Zone, chain: Chain, aims: Aims
) -> Moves | None:
    """Close gaps with the parts of a whole pipeline that is worth less."""
    slow = min(
        zone.whole,
        key=lambda pipeline: predict_rate(engine, pipeline, aims.pause_ms),
        default=None,
    )
    if slow is None:
        return None
    parts = [replica for replica, _ in slow.parts]
    moves = close_gaps(engine, chain, [*zone.spares, *parts])
    if moves is None:
        return None
    gained = predict_rate(
        engine, complete(chain, moves, by_id(zone)), aims.pause_ms
    )
    if gained < predict_rate(engine, slow, aims.pause_ms) * _GAIN:
        return None
    zone.whole.remove(slow)
    return moves


def _is_worth_it(
    engine: EngineSpec,
    zone: Zone,
    chain: Chain,
    moves: Moves,
    aims: Aims,
) -> bool:
    """Return whether a pipeline is worth the doubles that it takes away."""
    gained = predict_rate(
        engine, complete(chain, moves, by_id(zone)), aims.pause_ms
    )
    parts = list_parts(engine, zone.whole, aims.pause_ms)
    doubles = list_held(zone.spares)
    before = predict_outage(parts, doubles)
    left = [item for item in zone.spares if item.replica_id not in moves]
    return gained > predict_outage(parts, list_held(left)) - before


def _accept(zone: Zone, chain: Chain, moves: Moves) -> None:
    """Take moves as done."""
    zone.whole.append(complete(chain, moves, by_id(zone)))
    zone.broken.remove(chain)
    zone.broken = [
        other
        for other in zone.broken
        if not any(stage.replica.replica_id in moves for stage in other.stages)
    ]
    zone.moves.update(moves)
    used = list_used(zone)
    zone.spares = [item for item in zone.cards if item.replica_id not in used]


def _double(
    engine: EngineSpec,
    zone: Zone,
    aims: Aims,
    settled: Collection[str],
) -> Moves:
    """Let spares double parts; newcomers only where that is no guess."""
    moves = _expect_leavers(engine, zone, settled)
    parts = list_parts(engine, zone.whole, aims.pause_ms)
    spares = [item for item in zone.spares if item.replica_id in settled]
    moves.update(double_parts(engine, parts, spares))
    return moves


def _expect_leavers(
    engine: EngineSpec, zone: Zone, settled: Collection[str]
) -> Moves:
    """Load a newcomer with what the only other one of its kind holds.

    In a release the new replica starts just before the old one leaves. Where
    it can only be one or two, loading at once takes that second off the time
    that their pipeline is out of work, which for the largest ones is five.
    """
    moves: Moves = {}
    for card in zone.spares:
        if card.replica_id in settled or card.layers is not None:
            continue
        held = _list_held_by(zone, card.accelerator)
        left = [item for item in held if item not in moves.values()]
        largest = max(left, key=_count, default=NO_LAYERS)
        fits = 0 < largest.count <= count_most_layers(engine, card)
        if fits and len(held) <= _FEW_HOLDERS:
            moves[card.replica_id] = largest
    return moves


def _list_held_by(zone: Zone, accelerator: str) -> list[LayerRange]:
    """Return the parts of pipelines on accelerators of one kind."""
    return [
        stage.layers
        for pipeline in zone.whole
        for stage in pipeline.list_stages()
        if stage.replica.accelerator == accelerator
    ]


def _migrate(engine: EngineSpec, zones: list[Zone], aims: Aims) -> Moves:
    """Return the moves of one data centre to a better plan."""
    for zone in zones:
        if not zone.whole:
            continue
        moves = plan_migration(
            engine, zone.cards, zone.whole, list_held(zone.spares), aims
        )
        if moves:
            return moves
    return {}


def _join_moves(steps: Iterable[Moves]) -> Moves:
    return {name: layers for step in steps for name, layers in step.items()}


def _drop_done(moves: Moves, present: Sequence[Replica]) -> Moves:
    """Leave out what replicas already hold."""
    held = {item.replica_id: item.layers for item in present}
    return {
        name: layers for name, layers in moves.items() if held[name] != layers
    }


def _count(layers: LayerRange) -> int:
    return layers.count
