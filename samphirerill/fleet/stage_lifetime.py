"""How long the stages of a path keep serving active streams.

A replica that drains or releases layers serves its active streams for a limited
time; one that is gone or suspected dead serves nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.model import LayerRange, Stage
    from samphirerill.fleet.view import FleetView


def is_stage_lost(view: FleetView, stage: Stage, now: float) -> bool:
    """Return whether streams should leave a stage at once.

    That is the case if its replica is gone or suspected dead, or if the
    deadline for streams to leave its released layers has passed. A draining
    replica serves its active streams until it disconnects them.
    """
    if stage.replica.replica_id in view.leaving_deadlines:
        return find_stage_end(view, stage, now) <= 0
    return find_stage_end(view, stage, now) <= now


def find_stage_end(view: FleetView, stage: Stage, now: float) -> float:
    """Return until when a stage serves its active streams.

    Returns
    -------
    float
        On the loop's clock: 0 for a stage that no longer serves, infinity if no
        end is known.
    """
    replica_id = stage.replica.replica_id
    state = view.replicas.get(replica_id)
    if state is None:
        return view.leaving_deadlines.get(replica_id, 0.0)
    if state.replica.is_different_process(stage.replica.started_ms):
        return 0.0
    if state.suspicion.suspected_until > now:
        return 0.0
    end = view.leaving_deadlines.get(replica_id, float('inf'))
    if releases_layers(stage.layers, state.replica.layers):
        return min(end, state.release_until)
    return end


def releases_layers(held: LayerRange | None, layers: LayerRange | None) -> bool:
    """Return whether some of the layers in `held` are missing from `layers`."""
    if held is None:
        return False
    if layers is None:
        return True
    return layers.first > held.first or layers.end < held.end
