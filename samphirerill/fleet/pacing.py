"""Which layers to load first, when many are to be loaded.

Weights come from a shared store: beyond some loads at a time each takes longer by
as much, and a pipeline serves only with its last part. Answers to: a third of a
fleet lost at once, where three data centres load anew beside each other, and none
serves for eight seconds though one would after three.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import NO_LAYERS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import EngineSpec, LayerRange, Replica


@dataclass(slots=True, frozen=True)
class WantedLayers:
    """Layers that a replica should hold and is not ordered to yet."""

    replica: Replica
    layers: LayerRange

    def count_new(self) -> int:
        """Return how many layers it has to load."""
        held = self.replica.layers or NO_LAYERS
        kept = min(held.end, self.layers.end) - max(
            held.first, self.layers.first
        )
        return self.layers.count - max(0, kept)


def choose_orders(
    engine: EngineSpec, wanted: Iterable[WantedLayers], loading: int
) -> list[WantedLayers]:
    """Return what to order now; the rest waits until loads are done.

    Data centres come one after another, that with the least to load first.

    Parameters
    ----------
    engine : EngineSpec
        How many loads may run at a time without taking longer; 0 if any
        number may.
    wanted : iterable of WantedLayers
        Not ordered yet.
    loading : int
        Loads that are under way.
    """
    if not engine.loads_at_once:
        return list(wanted)
    chosen: list[WantedLayers] = []
    for group in _group(wanted):
        loads = _count_loads(group)
        running = loading + _count_loads(chosen)
        if running and running + loads > engine.loads_at_once:
            break
        chosen.extend(group)
    return chosen


def _group(wanted: Iterable[WantedLayers]) -> list[list[WantedLayers]]:
    """Return what is wanted by data centre, the least to load first."""
    groups: dict[str, list[WantedLayers]] = {}
    for item in wanted:
        groups.setdefault(item.replica.data_centre, []).append(item)
    return sorted(groups.values(), key=_count_new)


def _count_new(group: Sequence[WantedLayers]) -> int:
    return sum(item.count_new() for item in group)


def _count_loads(group: Sequence[WantedLayers]) -> int:
    return sum(bool(item.count_new()) for item in group)
