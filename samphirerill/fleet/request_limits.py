"""Request rates that replicas in need have named.

A replica names in its responses how many requests a second it takes from all
nodes together, for as long as that holds. The latest word of its process counts,
whichever node received it.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.permits import Permits

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import FleetView

# A limit that no response has confirmed for so long no longer counts.
LAPSE_S = 60.0
# A replica that names a lower rate is still asked this often whether that holds.
_MIN_RATE_PER_S = 0.2
# Upper bound of the time that a message takes between nodes, by which what it says
# seems more recent than it is.
_MAX_TRANSIT_S = 0.05
# Smaller differences are rounding in messages between nodes.
_MIN_CHANGE = 1e-6


class LimitChange(enum.Enum):
    """How a response changes what is known; values are used in the log."""

    NAMED = 'named'
    CHANGED = 'changed'
    DROPPED = 'no longer named'


@dataclass(slots=True)
class RequestLimit:
    """The request rate that one process of a replica has named.

    Attributes
    ----------
    rate_per_s : float, optional
        Requests a second from all nodes together; none once it is no longer
        named. Kept then, so that an older response does not restore it.
    said_at : float
        When the request was sent whose response this is.
    lapses_at : float
        When it no longer counts unless it is confirmed.
    source : str
        The node that received the response; empty for this one.
    permits : Permits
        What this node may send.
    withheld : int
        How many requests of this node found no permit.
    """

    rate_per_s: float | None
    said_at: float
    lapses_at: float
    source: str = ''
    permits: Permits = field(default_factory=Permits)
    withheld: int = 0

    @property
    def permitted_per_s(self) -> float:
        """Return how many permits a second all nodes together may use."""
        return max(_MIN_RATE_PER_S, self.rate_per_s or 0)

    def is_in_force(self, now: float) -> bool:
        """Return whether the replica limits requests."""
        return self.rate_per_s is not None and self.lapses_at > now

    def has_room(self, now: float) -> bool:
        """Return whether this node may send a request now."""
        return not self.is_in_force(now) or self.permits.count(now) > 0

    def predict_room(self, now: float, ahead: float = 0) -> float:
        """Return when this node may send a request that `ahead` others precede."""
        if not self.is_in_force(now):
            return now
        return self.permits.predict(now, ahead)


def note_limit(
    view: FleetView,
    replica: Replica,
    rate_per_s: float | None,
    said_at: float,
    now: float,
    source: str = '',
) -> LimitChange | None:
    """Record what a response says about the limit; return what it changes.

    A response to an earlier request than the one that counts is ignored, as is
    one of an earlier process.

    Parameters
    ----------
    view : FleetView
        The fleet.
    replica : Replica
        The replica that responded.
    rate_per_s : float, optional
        The rate that it names, if it names one.
    said_at : float
        When the request was sent, on the loop's clock.
    now : float
        On the loop's clock.
    source : str
        The node that received the response; empty for this one.
    """
    state = view.replicas.get(replica.replica_id)
    if state is not None and state.replica.is_different_process(
        replica.started_ms
    ):
        return None
    known = view.notices.find_limit(replica)
    if known is None and rate_per_s is None:
        return None
    if known is None:
        known = RequestLimit(None, said_at, said_at + LAPSE_S)
        view.notices.record_limit(replica, known)
        if state is not None:
            state.limit = known
    change = _find_change(known, rate_per_s, now)
    # Nodes that tell each other the same do not make it more recent.
    least_gain_s = _MAX_TRANSIT_S if source and change is None else 0
    if said_at < known.said_at + least_gain_s:
        return None
    known.rate_per_s = rate_per_s
    known.said_at = said_at
    known.lapses_at = said_at + LAPSE_S
    known.source = source
    if change is not None:
        view.notices.note_obstacle(known.lapses_at)
    return change


def _find_change(
    known: RequestLimit, rate_per_s: float | None, now: float
) -> LimitChange | None:
    before = known.rate_per_s if known.is_in_force(now) else None
    if rate_per_s is None:
        return None if before is None else LimitChange.DROPPED
    if before is None:
        return LimitChange.NAMED
    if abs(before - rate_per_s) <= _MIN_CHANGE * max(1, before):
        return None
    return LimitChange.CHANGED
