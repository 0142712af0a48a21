"""Outages: layers that no replica holds, so that no request can be served.

Requests that arrive during an outage are refused at once with the time after
which to retry, instead of waiting for a path until they time out.
"""

from __future__ import annotations

from bisect import bisect_left
from operator import attrgetter
from typing import TYPE_CHECKING

from samphirerill.fleet.model import LayerRange

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from samphirerill.fleet.model import EngineSpec
    from samphirerill.fleet.view import ReplicaState

# From the loss of the last holder until its layers are assigned elsewhere,
# which includes detecting and planning for the whole failure.
_REASSIGNMENT_DELAY_S = 0.7
# Stages load in parallel, so the time is predicted for a large one: three in four
# are no larger.
_STAGE_QUANTILE = 0.75
# Loads that take longer than predicted may complete at any moment.
_MIN_WAIT_S = 0.7
# A service is observed whenever a request finds no path. After a longer
# interval without observation, this is a new outage.
_NEW_OUTAGE_AFTER_S = 1.0


class Outage:
    """The current outage of one service.

    `began_at` is on the loop's clock; 0 if all layers are held.
    """

    __slots__ = ('_engine', '_seen_at', 'began_at')

    def __init__(self, engine: EngineSpec) -> None:
        self.began_at = 0.0
        self._engine = engine
        self._seen_at = 0.0

    def observe(self, live: Sequence[ReplicaState], now: float) -> bool:
        """Update from the live replicas; return whether layers are missing."""
        is_covered = find_gap(self._engine, list_ranges(live)) is None
        if is_covered:
            self.began_at = 0.0
        elif not self.began_at or now > self._seen_at + _NEW_OUTAGE_AFTER_S:
            self.began_at = now
        self._seen_at = now
        return not is_covered

    def predict_wait_s(self, live: Sequence[ReplicaState], now: float) -> float:
        """Return the predicted time until the missing layers are loaded."""
        counts = sorted(layers.count for layers in list_ranges(live))
        stage_layers = (
            counts[int(_STAGE_QUANTILE * len(counts))] if counts else 0
        )
        engine = self._engine
        load_s = engine.load_s * stage_layers / max(1, engine.layers)
        return max(
            _MIN_WAIT_S, self.began_at + _REASSIGNMENT_DELAY_S + load_s - now
        )


def find_coverage_time(
    engine: EngineSpec,
    states: Sequence[ReplicaState],
    now: float,
    ahead: int = 0,
) -> float:
    """Return when the replicas that want a request cover all layers.

    Parameters
    ----------
    engine : EngineSpec
        The engine of the service.
    states : sequence of ReplicaState
        Its replicas; some back off on request or limit requests.
    now : float
        On the loop's clock.
    ahead : int
        How many requests come before this one; replicas that limit requests
        share them.

    Returns
    -------
    float
        `now` if nothing has to be awaited; infinity if even all of the replicas
        together lack some layers.
    """
    limited = [
        state
        for state in states
        if state.limit is not None and state.limit.is_in_force(now)
    ]
    share = ahead / max(1, len(limited))
    available = [
        (max(now, state.predict_available(now, share)), state)
        for state in states
    ]
    ends = sorted({now, *(at for at, _ in available)})
    # Replicas only return as time goes on, so that layers stay covered.
    first = bisect_left(
        ends,
        True,
        key=lambda end: _is_covered(
            engine, [state for at, state in available if at <= end]
        ),
    )
    return ends[first] if first < len(ends) else float('inf')


def _is_covered(engine: EngineSpec, states: Sequence[ReplicaState]) -> bool:
    """Return whether replicas hold all layers."""
    return find_gap(engine, list_ranges(states)) is None


def list_ranges(states: Iterable[ReplicaState]) -> list[LayerRange]:
    """Return the layer ranges that replicas hold."""
    return [
        state.replica.layers
        for state in states
        if state.replica.layers is not None
    ]


def find_gap(
    engine: EngineSpec, ranges: Iterable[LayerRange]
) -> LayerRange | None:
    """Return the first layers that no range covers, or ``None``.

    A path may switch to another replica after any layer, so that a path exists
    wherever all layers are covered.
    """
    position = 0
    for layers in sorted(ranges, key=attrgetter('first')):
        if layers.first > position:
            return LayerRange(position, layers.first)
        position = max(position, layers.end)
    if position >= engine.layers:
        return None
    return LayerRange(position, engine.layers)
