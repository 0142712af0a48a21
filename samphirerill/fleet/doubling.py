"""Let replicas that no pipeline needs hold parts of pipelines a second time.

A part with a second holder survives its loss without a load: paths go over the
other holder at once, while one that is not doubled is out of work, with its
whole pipeline, until somebody has loaded its layers. Doubles stay within one
data centre, since a path that leaves it and returns crosses twice.

Answers to: losses of single replicas, one after another, on a fleet whose
pipelines carry the load.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.rates import (
    WANTED_REQUESTS,
    count_most_layers,
    predict_rate,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.rates import Pipeline

# The share of its time that a pipeline is out of work for each part that
# nobody doubles: on a bad day one replica in four is lost within half a
# minute, and closing a gap takes some three seconds.
OUTAGE_SHARE = 0.022
Moves = dict[str, LayerRange]


@dataclass(slots=True, frozen=True)
class Part:
    """Layers of a pipeline that answers `rate` requests a second."""

    layers: LayerRange
    rate: float


def list_parts(
    engine: EngineSpec, pipelines: Iterable[Pipeline], pause_ms: float
) -> list[Part]:
    """Return the parts of pipelines."""
    parts: list[Part] = []
    for pipeline in pipelines:
        rate = predict_rate(engine, pipeline, pause_ms)
        parts.extend(
            Part(stage.layers, rate) for stage in pipeline.list_stages()
        )
    return parts


def predict_outage(
    parts: Iterable[Part], doubles: Sequence[LayerRange]
) -> float:
    """Return the answers a second that are lost to repairs."""
    return sum(
        part.rate * OUTAGE_SHARE
        for part in parts
        if list_uncovered(part.layers, doubles)
    )


def double_parts(
    engine: EngineSpec, parts: Iterable[Part], spares: Sequence[Replica]
) -> Moves:
    """Return the layers that spares of one data centre should hold.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    parts : iterable of Part
        Of the pipelines in that data centre.
    spares : sequence of Replica
        Replicas that no pipeline needs. One that doubles something keeps it.
    """
    order = sorted(parts, key=_rank_part)
    held, free = _split_spares(order, spares)
    pool = _Pool(engine, free)
    moves: Moves = {}
    for part in order:
        for gap in list_uncovered(part.layers, held):
            taken = pool.cover(gap)
            held.extend(taken.values())
            moves.update(taken)
    return moves


class _Pool:
    """Spares that hold nothing of use, those that can hold least first."""

    __slots__ = ('_free', '_last', '_limits')

    def __init__(self, engine: EngineSpec, spares: Iterable[Replica]) -> None:
        self._last = engine.layers
        self._limits = {
            item.replica_id: count_most_layers(engine, item, WANTED_REQUESTS)
            for item in spares
        }
        self._free = [item for item in spares if self._limits[item.replica_id]]
        self._free.sort(key=self._rank)

    def cover(self, gap: LayerRange) -> Moves:
        """Take spares out that hold a gap's layers, as far as there are any.

        Each holds as much as it can, also beyond the gap.
        """
        moves: Moves = {}
        first = gap.first
        while first < gap.end and self._free:
            chosen = self._choose(gap.end - first)
            end = min(first + self._limits[chosen.replica_id], self._last)
            moves[chosen.replica_id] = LayerRange(first, end)
            self._free.remove(chosen)
            first = end
        return moves

    def _choose(self, wanted: int) -> Replica:
        """Return the smallest that holds so many layers, or the largest."""
        for spare in self._free:
            if self._limits[spare.replica_id] >= wanted:
                return spare
        return self._free[-1]

    def _rank(self, spare: Replica) -> tuple[int, str]:
        return self._limits[spare.replica_id], spare.replica_id


def list_uncovered(
    part: LayerRange, held: Iterable[LayerRange]
) -> list[LayerRange]:
    """Return the layers of a part that no range covers, in order."""
    gaps = []
    position = part.first
    for layers in sorted(held, key=_first):
        if layers.end <= position:
            continue
        if layers.first >= part.end:
            break
        if layers.first > position:
            gaps.append(LayerRange(position, layers.first))
        position = layers.end
    if position < part.end:
        gaps.append(LayerRange(position, part.end))
    return gaps


def _split_spares(
    parts: Sequence[Part], spares: Sequence[Replica]
) -> tuple[list[LayerRange], list[Replica]]:
    """Return what spares hold of use, and the spares that are free.

    One that holds nothing of any part, or only what others hold already, may
    as well hold something else.
    """
    held: list[LayerRange] = []
    free = []
    for spare in spares:
        layers = spare.layers
        if layers is None or not _is_useful(layers, parts, held):
            free.append(spare)
        else:
            held.append(layers)
    return held, free


def _is_useful(
    layers: LayerRange, parts: Sequence[Part], held: list[LayerRange]
) -> bool:
    return any(
        gap.first < layers.end and layers.first < gap.end
        for part in parts
        for gap in list_uncovered(part.layers, held)
    )


def _rank_part(part: Part) -> tuple[float, int]:
    """Rank small parts of busy pipelines first: they need the fewest spares."""
    return part.layers.count / max(part.rate, OUTAGE_SHARE), part.layers.first


def _first(layers: LayerRange) -> int:
    return layers.first
