"""Availability of the store, and what an outage implies for missing entries.

Entries whose leases expire during an outage disappear although their owners
are alive; these write them again soon after the store is back.
"""

from __future__ import annotations

from samphirerill.fleet.view import LAPSE_GRACE_S
from samphirerill.node.logs import get_logger

_LOG = get_logger('follower')
# Missing entries stop counting as present one by one; this is how long before
# that the view is no longer taken to be complete.
_PRESENCE_MARGIN_S = 0.2
# A shorter failure is not an outage, as leases do not expire in it.
_MIN_OUTAGE_S = 0.4


class StoreHealth:
    """Tracks whether the store answers this node, and since when.

    Parameters
    ----------
    now : float
        When this node started, on the loop's clock. The time before counts as
        an outage, as there may have been one.

    Attributes
    ----------
    is_up : bool
        Whether the last call to the store succeeded.
    """

    __slots__ = ('_down_since', '_first_success_at', '_regained_at', 'is_up')

    def __init__(self, now: float) -> None:
        self.is_up = False
        self._down_since = now - _MIN_OUTAGE_S
        self._regained_at = float('-inf')
        self._first_success_at = float('inf')

    def record_success(self, now: float) -> None:
        """Record that a call succeeded."""
        if self.is_up:
            return
        _LOG.info('store is reachable again')
        self.is_up = True
        self._first_success_at = min(now, self._first_success_at)
        if now - self._down_since >= _MIN_OUTAGE_S:
            self._regained_at = now

    def record_failure(self, exc: Exception, now: float) -> None:
        """Record that a call was refused or not answered."""
        if self.is_up:
            _LOG.warning('store is unreachable', extra={'error': str(exc)})
            self._down_since = now
        self.is_up = False

    def record_restore(self, now: float) -> None:
        """Record that the store was restored from a copy.

        Entries written since the copy are missing until their owners write
        them again, as after an outage.
        """
        self._regained_at = now

    def may_have_expired(self, now: float) -> bool:
        """Return whether a missing entry may only have expired.

        Its owner then writes it again within the grace period.
        """
        return not self.is_up or now < self._regained_at + LAPSE_GRACE_S

    def is_view_complete(self, now: float, presence_s: float) -> bool:
        """Return whether the known replicas are complete enough to plan layers.

        Right after an outage, entries may be missing that have only expired. A
        node that knew them before counts them as present for `presence_s`, and
        afterwards waits until the live ones have been written again. A node
        that has just started does not know what is missing and always waits.

        Parameters
        ----------
        now : float
            The time, on the loop's clock.
        presence_s : float
            How long a missing entry counts as present.
        """
        if not self.is_up or now < self._first_success_at + LAPSE_GRACE_S:
            return False
        since_s = now - self._regained_at
        return not presence_s - _PRESENCE_MARGIN_S <= since_s < LAPSE_GRACE_S

    def compute_grace_deadline(self, now: float, serving_s: float) -> float:
        """Return until when a missing entry may come back; 0 for never.

        Expired entries come back within the grace period after an outage. A
        replica whose entry disappears later, or stays missing for longer, has
        left.

        Parameters
        ----------
        now : float
            The time, on the loop's clock.
        serving_s : float
            How long a replica that has left may still get work.

        Returns
        -------
        float
            On the loop's clock.
        """
        if not self.may_have_expired(now):
            return 0.0
        until = now + serving_s
        if self.is_up:
            until = min(until, self._regained_at + LAPSE_GRACE_S)
        return until
