"""When the store last confirmed that a node's copy of it is complete.

Nodes that pass changes on to others also pass on the age of that confirmation.
Otherwise a node that has lost the store without noticing would report that nothing
has changed.
"""

from __future__ import annotations

from samphirerill.platform.store import WATCH_MARGIN_S, WATCH_TIMEOUT_S

# A watch of the store has been answered or has failed by then.
MAX_CONFIRMATION_AGE_S = WATCH_TIMEOUT_S + WATCH_MARGIN_S
_MS_PER_S = 1000


class Confirmation:
    """The time of the latest confirmation.

    Attributes
    ----------
    at : float
        On the loop's clock; minus infinity if there was none.
    """

    __slots__ = ('at',)

    def __init__(self) -> None:
        self.at = float('-inf')

    @property
    def expires_at(self) -> float:
        """Return until when the copy counts as complete."""
        return self.at + MAX_CONFIRMATION_AGE_S

    def is_valid(self, now: float) -> bool:
        """Return whether the copy counts as complete."""
        return is_recent(self.at, now)

    def get_renewal_time(self, now: float) -> float:
        """Return when the store is to be asked again; infinity if expired."""
        if self.is_valid(now):
            return self.at + WATCH_TIMEOUT_S
        return float('inf')

    def renew(self, at: float) -> bool:
        """Record a confirmation; return whether it is a later one."""
        if at <= self.at:
            return False
        self.at = at
        return True

    def get_age_ms(self, now: float) -> int | None:
        """Return the age of the latest confirmation; none without one."""
        if self.at == float('-inf'):
            return None
        return int((now - self.at) * _MS_PER_S)


def is_recent(confirmed_at: float, now: float) -> bool:
    """Return whether a copy confirmed at a time still counts as complete."""
    return now < confirmed_at + MAX_CONFIRMATION_AGE_S


def parse_confirmation(age_ms: int | None, now: float) -> float:
    """Return the time of a confirmation that has an age; see `get_age_ms`."""
    if age_ms is None:
        return float('-inf')
    return now - max(0, age_ms) / _MS_PER_S
