"""Whether the store answers, and what that says of entries that are missing."""

from __future__ import annotations

from samphirerill.fleet.view import LAPSE_GRACE_S
from samphirerill.node.logs import get_logger

_LOG = get_logger('follower')
# Missing entries stop to count one by one; so long before the first may.
_COUNTED_MARGIN_S = 0.2
# A call that fails once is no outage in which leases lapse.
_OUTAGE_S = 0.4


class StoreHealth:
    """Whether the store answers this node, and since when it does again.

    Parameters
    ----------
    now : float
        The start of this node: what came before may have been an outage.
    """

    __slots__ = ('_down_since', '_first_at', '_regained_at', 'is_up')

    def __init__(self, now: float) -> None:
        self.is_up = False
        self._down_since = now - _OUTAGE_S
        self._regained_at = float('-inf')
        self._first_at = float('inf')

    def note_success(self, now: float) -> None:
        """A call was answered."""
        if self.is_up:
            return
        _LOG.info('store regained')
        self.is_up = True
        self._first_at = min(now, self._first_at)
        if now - self._down_since >= _OUTAGE_S:
            self._regained_at = now

    def note_failure(self, exc: Exception, now: float) -> None:
        """A call was refused or not answered."""
        if self.is_up:
            _LOG.warning('store lost', extra={'error': str(exc)})
            self._down_since = now
        self.is_up = False

    def may_lapse(self, now: float) -> bool:
        """Return whether a missing entry may come back by itself."""
        return not self.is_up or now < self._regained_at + LAPSE_GRACE_S

    def knows_fleet(self, now: float, most_s: float) -> bool:
        """Return whether layers may be planned by the replicas that are known.

        Right after an outage entries may be missing that have only lapsed. A
        node that knew them before counts them as there for a while, and then
        waits until those that live are back; one that has just started does
        not know what is missing. To wait in any case left two data centres
        without a pipeline for 3.7 s after an outage in which replicas had been
        replaced; planned by who knew them, it takes 1.5 s less.

        Parameters
        ----------
        now : float
            On the loop's clock.
        most_s : float
            How long a missing entry counts as there.
        """
        if not self.is_up or now < self._first_at + LAPSE_GRACE_S:
            return False
        since_s = now - self._regained_at
        return not most_s - _COUNTED_MARGIN_S <= since_s < LAPSE_GRACE_S

    def find_grace(self, now: float, most_s: float) -> float:
        """Return until when a missing entry may come back; 0 for never.

        Entries that lapsed are back so soon after the store's return; one
        that goes later than that, or stays away longer, has left.

        Parameters
        ----------
        now : float
            On the loop's clock.
        most_s : float
            How long a replica that has left may still get work.
        """
        if not self.may_lapse(now):
            return 0.0
        until = now + most_s
        if self.is_up:
            until = min(until, self._regained_at + LAPSE_GRACE_S)
        return until
