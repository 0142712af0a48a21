"""Layers that nobody holds: no request can be served until they are loaded.

Answers to: more replicas lost at once than are doubled. Requests that waited for a
path all the same were refused after 1.4 s, or began seconds late; those that are
told at once when it makes sense to come back are served then.
"""

from __future__ import annotations

from operator import attrgetter
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.view import Known

# From the loss of the last holder until layers are ordered elsewhere: the loss is
# found out and planned for as a whole.
_REASSIGNMENT_DELAY_S = 0.7
# Parts are loaded beside each other; three in four are no larger than the one by
# which the time is predicted.
_STAGE_QUANTILE = 0.75
# What takes longer than predicted may be over at any moment.
_MIN_WAIT_S = 0.7
# A service is looked at when a request finds no path. Not looked at for so long, it
# was whole meanwhile, and this is another outage.
_NEW_OUTAGE_AFTER_S = 1.0


class Outage:
    """Since when a service's layers have not all been held.

    `began_at` is on the loop's clock, 0 for a service that is whole.
    """

    __slots__ = ('_engine', '_seen_at', 'began_at')

    def __init__(self, engine: EngineSpec) -> None:
        self.began_at = 0.0
        self._engine = engine
        self._seen_at = 0.0

    def observe(self, live: Sequence[Known], now: float) -> bool:
        """Take the replicas that live; return whether layers are missing."""
        is_covered = find_gap(self._engine, list_ranges(live)) is None
        if is_covered:
            self.began_at = 0.0
        elif not self.began_at or now > self._seen_at + _NEW_OUTAGE_AFTER_S:
            self.began_at = now
        self._seen_at = now
        return not is_covered

    def predict_wait_s(self, live: Sequence[Known], now: float) -> float:
        """Return after how long the missing layers should be there."""
        counts = sorted(layers.count for layers in list_ranges(live))
        stage_layers = (
            counts[int(_STAGE_QUANTILE * len(counts))] if counts else 0
        )
        engine = self._engine
        load_s = engine.load_s * stage_layers / max(1, engine.layers)
        return max(
            _MIN_WAIT_S, self.began_at + _REASSIGNMENT_DELAY_S + load_s - now
        )


def list_ranges(known: Iterable[Known]) -> list[LayerRange]:
    """Return what replicas hold."""
    return [
        found.replica.layers
        for found in known
        if found.replica.layers is not None
    ]


def find_gap(
    engine: EngineSpec, ranges: Iterable[LayerRange]
) -> LayerRange | None:
    """Return the first layers that no range covers; none if all are covered.

    A path may change over to another holder after any layer, so that there is
    one wherever all layers are covered.
    """
    position = 0
    for layers in sorted(ranges, key=attrgetter('first')):
        if layers.first > position:
            return LayerRange(position, layers.first)
        position = max(position, layers.end)
    if position >= engine.layers:
        return None
    return LayerRange(position, engine.layers)
