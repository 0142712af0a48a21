"""The free room of each service, computed only as often as it is needed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.free_room import FreeRoom, compute_free_room

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.state import EdgeState

# The estimate takes up to 1 ms in the largest fleets.
MAX_AGE_S = 0.02


@dataclass(slots=True)
class _Estimate:
    """An estimate, with what this node has taken since; used `until`."""

    tokens: float
    slots: float
    until: float


class FreeRoomCache:
    """Estimates of the free room for new streams.

    Parameters
    ----------
    state : EdgeState
        The replicas and their load.
    """

    __slots__ = ('_estimates', '_state')

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._estimates: dict[str, _Estimate] = {}

    def estimate(
        self, service: str, engine: EngineSpec, now: float
    ) -> FreeRoom:
        """Return the free room of a service."""
        found = self._estimates.get(service)
        if found is None or found.until <= now:
            free = compute_free_room(
                engine,
                self._state.view.list_usable(service, now),
                self._state.load_tracker,
            )
            found = _Estimate(free.tokens, free.slots, now + MAX_AGE_S)
            self._estimates[service] = found
        return FreeRoom(found.tokens, found.slots)

    def get_end(self, service: str) -> float:
        """Return until when the present estimate is used."""
        return self._estimates[service].until

    def note_change(
        self, stages: tuple[Stage, ...], tokens: float, slots: int
    ) -> None:
        """Record room that this node has reserved or, if negative, released."""
        service = stages[0].replica.service if stages else ''
        found = self._estimates.get(service)
        if found is not None:
            found.tokens -= tokens
            found.slots -= slots
