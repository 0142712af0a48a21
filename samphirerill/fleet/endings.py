"""Until when the parts of a path serve what has begun.

A replica that leaves, or gives up layers, serves its streams for some time; one
that is gone or dead serves nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.model import LayerRange, Stage
    from samphirerill.fleet.view import FleetView


def is_lost(view: FleetView, stage: Stage, now: float) -> bool:
    """Return whether a part of a path should be left at once.

    Its replica is gone or taken to be dead, or has waited long enough for
    streams to leave the layers that it gives up. One that leaves serves
    what it has begun until it breaks off.
    """
    if stage.replica.replica_id in view.leaving:
        return find_end(view, stage, now) <= 0
    return find_end(view, stage, now) <= now


def find_end(view: FleetView, stage: Stage, now: float) -> float:
    """Return until when a part serves what it has begun.

    Returns
    -------
    float
        On the loop's clock: 0 for a part that serves nothing any more,
        infinity if it does not end.
    """
    replica_id = stage.replica.replica_id
    found = view.known.get(replica_id)
    if found is None:
        return view.leaving.get(replica_id, 0.0)
    if found.replica.is_other_start(stage.replica.started_ms):
        return 0.0
    if found.suspicion.dead_until > now:
        return 0.0
    end = view.leaving.get(replica_id, float('inf'))
    if releases_layers(stage.layers, found.replica.layers):
        return min(end, found.release_until)
    return end


def releases_layers(held: LayerRange | None, layers: LayerRange | None) -> bool:
    """Return whether some of the layers held are no longer there."""
    if held is None:
        return False
    if layers is None:
        return True
    return layers.first > held.first or layers.end < held.end
