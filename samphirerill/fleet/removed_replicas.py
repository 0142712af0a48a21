"""Replicas that were removed, and entries of them that a restored store has.

A store that is restored from a copy holds entries again that were removed since
the copy. Their owners may have gone.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from samphirerill.fleet.revisions import get_number

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

# Removals are kept to reject older announcements.
_MAX_REMOVALS = 4096
# The store removes the entry of a replica that has gone before that.
_CONFIRMATION_S = 5.0


@dataclass(slots=True)
class _Removal:
    """Revisions of a removal and of the last announcement before it."""

    revision: int
    announced: int


@dataclass(slots=True)
class UnconfirmedEntry:
    """An entry that may only be in the copy.

    It is used once it has stayed until `confirmed_at`; 0 if not known yet.
    """

    replica: Replica
    revision: int
    confirmed_at: float = 0.0


class RemovedReplicas:
    """Decides whether an announcement of a removed replica counts."""

    __slots__ = ('_removals', '_unconfirmed')

    def __init__(self) -> None:
        self._removals: dict[str, _Removal] = {}
        self._unconfirmed: dict[str, UnconfirmedEntry] = {}

    def note_removal(
        self, replica_id: str, revision: int, announced: int
    ) -> None:
        """Record that a replica was removed.

        Parameters
        ----------
        replica_id : str
            The replica.
        revision : int
            Revision of the removal.
        announced : int
            Revision of its last announcement.
        """
        self._removals[replica_id] = _Removal(revision, announced)
        while len(self._removals) > _MAX_REMOVALS:
            oldest = next(iter(self._removals))
            self._removals.pop(oldest)
            self._unconfirmed.pop(oldest, None)

    def is_outdated(self, replica_id: str, revision: int) -> bool:
        """Return whether an announcement is older than what is known."""
        removal = self._removals.get(replica_id)
        if removal is not None and revision <= removal.revision:
            return True
        entry = self._unconfirmed.get(replica_id)
        return entry is not None and revision <= entry.revision

    def withhold_copied(self, replica: Replica, revision: int) -> bool:
        """Withhold an entry that may only be in the copy, as before a removal.

        It is withheld until it is confirmed, written again or removed.

        Parameters
        ----------
        replica : Replica
            The entry.
        revision : int
            Its revision, found on entering a later era.

        Returns
        -------
        bool
            Whether it is withheld.
        """
        replica_id = replica.replica_id
        removal = self._removals.get(replica_id)
        if removal is None:
            return False
        if get_number(revision) > get_number(removal.announced):
            return False
        self._unconfirmed[replica_id] = UnconfirmedEntry(replica, revision)
        return True

    def drop_entry(self, replica_id: str) -> None:
        """Forget an entry that was not confirmed."""
        self._unconfirmed.pop(replica_id, None)

    def pop_confirmed(self, now: float) -> list[UnconfirmedEntry]:
        """Return the entries that have stayed, and forget them."""
        confirmed = []
        for entry in tuple(self._unconfirmed.values()):
            if not entry.confirmed_at:
                entry.confirmed_at = now + _CONFIRMATION_S
            elif entry.confirmed_at <= now:
                self._unconfirmed.pop(entry.replica.replica_id)
                confirmed.append(entry)
        return confirmed

    def list_unconfirmed(self) -> list[str]:
        """Return the ids of the replicas whose entries are withheld."""
        return sorted(self._unconfirmed)


def merge_copied(known: Replica, found: Replica) -> Replica:
    """Return the later of what is known of a replica and what a copy holds.

    Parameters
    ----------
    known : Replica
        What the replica has announced before the store was restored.
    found : Replica
        Its entry in the restored store, which may be older.
    """
    if known.is_different_process(found.started_ms):
        return found
    is_leaving = known.is_leaving or found.is_leaving
    later = known if found.order_count < known.order_count else found
    return replace(later, is_leaving=is_leaving)
