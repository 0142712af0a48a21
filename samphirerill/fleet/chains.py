"""Find the pipelines, complete or with gaps, in what replicas hold.

A chain covers the layers from the first to the last; layers that no replica
holds form gaps. The cheapest chain is extracted first, then the next from the
remaining replicas, so that complete and fast chains precede those with gaps.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.prediction import (
    STAGE_OVERHEAD_MS,
    predict_stage_ms,
    predict_transfer_ms,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import EngineSpec, Replica

# A missing layer costs more than any detour over layers that are held.
_MISSING_LAYER_COST_MS = 1000.0
# Added for each gap: one gap of two layers is easier to fill than two of one.
_GAP_COST_MS = 300.0
# Each crossing between data centres costs a pipeline this many prompt
# transfers.
_TRANSFERS_PER_CROSSING = 4.0
# A chain with a smaller share of the layers is not worth repairing.
_MIN_COVERAGE = 0.5


@dataclass(slots=True)
class Chain:
    """A sequence of stages, and the gaps between them that no replica holds."""

    stages: list[Stage] = field(default_factory=list)
    gaps: list[LayerRange] = field(default_factory=list)

    def count_missing(self) -> int:
        """Return how many layers are missing."""
        return sum(gap.count for gap in self.gaps)

    def crosses_data_centres(self) -> bool:
        """Return whether the stages are in more than one data centre."""
        data_centres = {stage.replica.data_centre for stage in self.stages}
        return len(data_centres) > 1

    def find_main_data_centre(self) -> str:
        """Return the data centre that holds the most layers."""
        layers: dict[str, int] = {}
        for stage in self.stages:
            data_centre = stage.replica.data_centre
            layers[data_centre] = (
                layers.get(data_centre, 0) + stage.layers.count
            )
        return max(sorted(layers), key=layers.__getitem__, default='')


@dataclass(slots=True)
class _Step:
    """The last step of the cheapest way to a layer within one data centre."""

    cost: float
    previous: _Step | None
    stage: Stage | None
    gap: LayerRange | None


def extract_chains(
    engine: EngineSpec, replicas: Sequence[Replica]
) -> list[Chain]:
    """Return disjoint chains, the cheapest first.

    The search ends at the first chain that covers less than `_MIN_COVERAGE` of
    the layers.
    """
    remaining = [replica for replica in replicas if replica.layers is not None]
    chains = []
    while remaining:
        chain = _find_chain(engine, remaining)
        covered = engine.layers - chain.count_missing()
        if covered < engine.layers * _MIN_COVERAGE:
            break
        chains.append(chain)
        used = {stage.replica.replica_id for stage in chain.stages}
        remaining = [item for item in remaining if item.replica_id not in used]
    return chains


def _find_chain(engine: EngineSpec, replicas: list[Replica]) -> Chain:
    boundaries = _list_boundaries(engine, replicas)
    crossing_ms = predict_transfer_ms(engine, engine.usual_prompt)
    crossing_ms *= _TRANSFERS_PER_CROSSING
    best: dict[int, dict[str, _Step]] = {
        boundary: {} for boundary in boundaries
    }
    best[0][''] = _Step(0, None, None, None)
    for index, boundary in enumerate(boundaries[:-1]):
        for data_centre, step in tuple(best[boundary].items()):
            _extend_over_gap(best, boundaries, index, data_centre, step)
            for replica in replicas:
                if replica.held.first <= boundary < replica.held.end:
                    _extend_over_replica(
                        engine,
                        best,
                        boundary,
                        data_centre,
                        step,
                        replica,
                        crossing_ms,
                    )
    return _build_chain(min(best[engine.layers].values(), key=_get_cost))


def _list_boundaries(engine: EngineSpec, replicas: list[Replica]) -> list[int]:
    boundaries = {0, engine.layers}
    for replica in replicas:
        boundaries.update((replica.held.first, replica.held.end))
    return sorted(
        boundary for boundary in boundaries if 0 <= boundary <= engine.layers
    )


def _extend_over_gap(
    best: dict[int, dict[str, _Step]],
    boundaries: list[int],
    index: int,
    data_centre: str,
    step: _Step,
) -> None:
    """Extend a partial chain over missing layers, up to the next boundary."""
    gap = LayerRange(boundaries[index], boundaries[index + 1])
    cost = step.cost + gap.count * _MISSING_LAYER_COST_MS
    if step.gap is None:
        cost += _GAP_COST_MS
    _relax(best, gap.end, data_centre, _Step(cost, step, None, gap))


def _extend_over_replica(
    engine: EngineSpec,
    best: dict[int, dict[str, _Step]],
    boundary: int,
    data_centre: str,
    step: _Step,
    replica: Replica,
    crossing_ms: float,
) -> None:
    accelerator = engine.accelerators.get(replica.accelerator)
    if accelerator is None or replica.held.end not in best:
        return
    layers = LayerRange(boundary, replica.held.end)
    cost = step.cost + STAGE_OVERHEAD_MS
    cost += predict_stage_ms(engine, accelerator, layers.count, 1)
    if data_centre and data_centre != replica.data_centre:
        cost += crossing_ms
    extended = _Step(cost, step, Stage(replica, layers), None)
    _relax(best, layers.end, replica.data_centre, extended)


def _relax(
    best: dict[int, dict[str, _Step]],
    boundary: int,
    data_centre: str,
    step: _Step,
) -> None:
    known = best[boundary].get(data_centre)
    if known is None or step.cost < known.cost:
        best[boundary][data_centre] = step


def _build_chain(step: _Step | None) -> Chain:
    chain = Chain()
    while step is not None:
        if step.stage is not None:
            chain.stages.append(step.stage)
        if step.gap is not None:
            _add_gap(chain, step.gap)
        step = step.previous
    chain.stages.reverse()
    chain.gaps.reverse()
    return chain


def _add_gap(chain: Chain, gap: LayerRange) -> None:
    """Append a gap; gaps arrive last to first, and adjacent ones are merged."""
    if chain.gaps and chain.gaps[-1].first == gap.end:
        chain.gaps[-1] = LayerRange(gap.first, chain.gaps[-1].end)
    else:
        chain.gaps.append(gap)


def _get_cost(step: _Step) -> float:
    return step.cost
