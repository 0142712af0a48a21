"""Assign backup copies of pipeline stages to spare replicas.

A stage with a backup survives the loss of its replica without a load: paths use
the backup at once. Without one, the whole pipeline is out of service until
another replica has loaded the layers. Backups stay in the data centre of their
pipeline, because a path over a remote backup would cross between data centres
twice.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.rates import (
    TARGET_REQUESTS,
    count_max_layers,
    predict_rate,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import EngineSpec, Replica
    from samphirerill.fleet.rates import Pipeline

# The share of time that a pipeline is out of service for each stage without a
# backup: a quarter of the replicas lost per half minute, times about three
# seconds to reload a stage.
OUTAGE_SHARE_WITHOUT_BACKUP = 0.022
Moves = dict[str, LayerRange]


@dataclass(slots=True, frozen=True)
class RatedStage:
    """The layers of one stage, and its pipeline's rate in answers per second."""

    layers: LayerRange
    rate: float


def list_rated_stages(
    engine: EngineSpec, pipelines: Iterable[Pipeline], pause_ms: float
) -> list[RatedStage]:
    """Return the stages of pipelines with their pipelines' predicted rates."""
    stages: list[RatedStage] = []
    for pipeline in pipelines:
        rate = predict_rate(engine, pipeline, pause_ms)
        stages.extend(
            RatedStage(stage.layers, rate) for stage in pipeline.list_stages()
        )
    return stages


def predict_repair_loss(
    stages: Iterable[RatedStage], backups: Sequence[LayerRange]
) -> float:
    """Return the answers per second lost while stages are reloaded."""
    return sum(
        stage.rate * OUTAGE_SHARE_WITHOUT_BACKUP
        for stage in stages
        if list_uncovered(stage.layers, backups)
    )


def assign_backups(
    engine: EngineSpec, stages: Iterable[RatedStage], spares: Sequence[Replica]
) -> Moves:
    """Return the layers that the spares of one data centre should hold.

    Parameters
    ----------
    engine : EngineSpec
        The service's figures.
    stages : iterable of RatedStage
        Of the pipelines in that data centre.
    spares : sequence of Replica
        Replicas that no pipeline needs. One that already is a backup keeps its
        layers.
    """
    ranked = sorted(stages, key=_rank_stage)
    held, free = _split_spares(ranked, spares)
    pool = _SparePool(engine, free)
    moves: Moves = {}
    for stage in ranked:
        for gap in list_uncovered(stage.layers, held):
            assigned = pool.cover(gap)
            held.extend(assigned.values())
            moves.update(assigned)
    return moves


class _SparePool:
    """Spares that back up nothing, ordered by the layers they can hold."""

    __slots__ = ('_free', '_layer_count', '_capacities')

    def __init__(self, engine: EngineSpec, spares: Iterable[Replica]) -> None:
        self._layer_count = engine.layers
        self._capacities = {
            item.replica_id: count_max_layers(engine, item, TARGET_REQUESTS)
            for item in spares
        }
        self._free = [
            item for item in spares if self._capacities[item.replica_id]
        ]
        self._free.sort(key=self._rank)

    def cover(self, gap: LayerRange) -> Moves:
        """Remove spares from the pool that together hold a gap's layers.

        The gap stays partly open if the pool runs out. Each spare holds as many
        layers as it can, also beyond the gap.
        """
        moves: Moves = {}
        first = gap.first
        while first < gap.end and self._free:
            chosen = self._choose(gap.end - first)
            end = min(
                first + self._capacities[chosen.replica_id], self._layer_count
            )
            moves[chosen.replica_id] = LayerRange(first, end)
            self._free.remove(chosen)
            first = end
        return moves

    def _choose(self, layer_count: int) -> Replica:
        """Return the smallest spare that holds so many layers, or the largest."""
        for spare in self._free:
            if self._capacities[spare.replica_id] >= layer_count:
                return spare
        return self._free[-1]

    def _rank(self, spare: Replica) -> tuple[int, str]:
        return self._capacities[spare.replica_id], spare.replica_id


def list_uncovered(
    stage: LayerRange, held: Iterable[LayerRange]
) -> list[LayerRange]:
    """Return the layers of a stage that no range covers, in order."""
    gaps = []
    position = stage.first
    for layers in sorted(held, key=_get_first_layer):
        if layers.end <= position:
            continue
        if layers.first >= stage.end:
            break
        if layers.first > position:
            gaps.append(LayerRange(position, layers.first))
        position = layers.end
    if position < stage.end:
        gaps.append(LayerRange(position, stage.end))
    return gaps


def _split_spares(
    stages: Sequence[RatedStage], spares: Sequence[Replica]
) -> tuple[list[LayerRange], list[Replica]]:
    """Return the ranges of useful backups, and the spares that are free.

    A spare whose layers belong to no stage, or have another backup already, is
    free.
    """
    held: list[LayerRange] = []
    free = []
    for spare in spares:
        layers = spare.layers
        if layers is None or not _backs_up_stage(layers, stages, held):
            free.append(spare)
        else:
            held.append(layers)
    return held, free


def _backs_up_stage(
    layers: LayerRange, stages: Sequence[RatedStage], held: list[LayerRange]
) -> bool:
    return any(
        gap.first < layers.end and layers.first < gap.end
        for stage in stages
        for gap in list_uncovered(stage.layers, held)
    )


def _rank_stage(stage: RatedStage) -> tuple[float, int]:
    """Rank small stages of fast pipelines first: they need the fewest spares."""
    return stage.layers.count / max(
        stage.rate, OUTAGE_SHARE_WITHOUT_BACKUP
    ), stage.layers.first


def _get_first_layer(layers: LayerRange) -> int:
    return layers.first
