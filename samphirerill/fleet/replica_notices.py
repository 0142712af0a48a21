"""What replicas have said about themselves in responses.

Kept for each process of a replica, apart from the announcements: an entry may
be withdrawn and announced again while the process runs on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import FleetView

# About five times the number of replicas in a large fleet.
_MAX_NOTICES = 4096
# Responses of requests in flight together extend a back-off by less.
_MIN_EXTENSION_S = 0.1


@dataclass(slots=True)
class ReplicaNotice:
    """What one process of a replica has said about itself.

    Attributes
    ----------
    replica : Replica
        The replica as announced when it sent the response.
    backoff_until : float
        Until when it wants no requests from this node.
    """

    replica: Replica
    backoff_until: float = 0.0

    def is_from(self, replica: Replica) -> bool:
        """Return whether it comes from the same process as `replica`.

        If a start time is unknown, processes are told apart by their address.
        """
        if self.replica.started_ms and replica.started_ms:
            return self.replica.started_ms == replica.started_ms
        return self.replica.address == replica.address


class ReplicaNotices:
    """The notices of the latest process of each replica, in a bounded number.

    Attributes
    ----------
    backoff_count : int
        How many back-offs have begun or were extended.
    """

    __slots__ = ('_notices', 'backoff_count')

    def __init__(self) -> None:
        self.backoff_count = 0
        self._notices: dict[str, ReplicaNotice] = {}

    def __len__(self) -> int:
        """Return the number of replicas with a notice."""
        return len(self._notices)

    def find(self, replica: Replica) -> ReplicaNotice | None:
        """Return the notice of this process of a replica, or ``None``."""
        notice = self._notices.get(replica.replica_id)
        return notice if notice and notice.is_from(replica) else None

    def get_backoff_end(self, replica: Replica) -> float:
        """Return until when a replica wants no requests; 0 for no limit."""
        notice = self.find(replica)
        return 0.0 if notice is None else notice.backoff_until

    def list_active(self, now: float) -> Iterable[ReplicaNotice]:
        """Return the notices that are in force."""
        return [
            notice
            for notice in self._notices.values()
            if notice.backoff_until > now
        ]

    def extend_backoff(self, replica: Replica, until: float) -> None:
        """Record until when a replica wants no requests; never shortens it."""
        notice = self._ensure(replica)
        self.backoff_count += until > notice.backoff_until + _MIN_EXTENSION_S
        notice.backoff_until = max(notice.backoff_until, until)

    def remove_expired(self, now: float) -> None:
        """Remove notices that are no longer in force."""
        active = self.list_active(now)
        self._notices = {notice.replica.replica_id: notice for notice in active}

    def _ensure(self, replica: Replica) -> ReplicaNotice:
        """Return the notice of this process, a new one if there is none."""
        notice = self.find(replica) or ReplicaNotice(replica)
        self._notices.pop(replica.replica_id, None)
        self._notices[replica.replica_id] = notice
        while len(self._notices) > _MAX_NOTICES:
            self._notices.pop(next(iter(self._notices)))
        return notice


def note_requested_backoff(
    view: FleetView, replica: Replica, until: float
) -> None:
    """Record until when a replica wants no requests from this node.

    Unlike after a refusal without that, the replica names the time itself. A
    response of an earlier process is ignored.
    """
    state = view.replicas.get(replica.replica_id)
    if state is not None and state.replica.is_different_process(
        replica.started_ms
    ):
        return
    view.notices.extend_backoff(replica, until)
    if state is not None:
        state.requested_backoff_until = view.notices.get_backoff_end(
            state.replica
        )
