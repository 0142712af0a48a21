"""What replicas have said about themselves in responses.

Kept for each process of a replica, apart from the announcements: an entry may
be withdrawn and announced again while the process runs on.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit
    from samphirerill.fleet.view import FleetView, ReplicaState

# Longer back-offs are shortened to this; the replica can ask again.
MAX_BACKOFF_S = 60.0
# About five times the number of replicas in a large fleet.
_MAX_NOTICES = 4096
# Replicas may run for many seconds after they stopped serving their streams.
_UNKNOWN_START_RETENTION_S = 30.0
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
    leaving_deadline : float
        Until when it serves its active streams, if it is leaving; else 0.
    limit : RequestLimit, optional
        The request rate that it names, or named last.
    """

    replica: Replica
    backoff_until: float = 0.0
    leaving_deadline: float = 0.0
    limit: RequestLimit | None = None

    def is_in_force(self, now: float) -> bool:
        """Return whether the notice still matters.

        A process that is leaving never returns. Without its start time, another
        one at the same address looks the same, so that its notice lapses.
        """
        if self.backoff_until > now:
            return True
        if self.limit is not None and self.limit.lapses_at > now:
            return True
        if not self.leaving_deadline or self.replica.started_ms:
            return self.leaving_deadline > 0
        return self.leaving_deadline + _UNKNOWN_START_RETENTION_S > now

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
    obstacle_count : int
        How many back-offs and limits have begun or lasted longer than expected.
    last_obstacle_end : float
        When the last of them ends.
    """

    __slots__ = ('_notices', 'obstacle_count', 'last_obstacle_end')

    def __init__(self) -> None:
        self.obstacle_count = 0
        self.last_obstacle_end = 0.0
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

    def get_leaving_deadline(self, replica: Replica) -> float:
        """Return until when a leaving replica serves; 0 if it did not say so."""
        notice = self.find(replica)
        return 0.0 if notice is None else notice.leaving_deadline

    def find_limit(self, replica: Replica) -> RequestLimit | None:
        """Return what a replica has said about its limit; none for nothing."""
        notice = self.find(replica)
        return None if notice is None else notice.limit

    def list_in_force(self, now: float) -> list[ReplicaNotice]:
        """Return the notices that are in force."""
        return [
            notice
            for notice in self._notices.values()
            if notice.is_in_force(now)
        ]

    def extend_backoff(self, replica: Replica, until: float) -> None:
        """Record until when a replica wants no requests; never shortens it."""
        notice = self._ensure(replica)
        if until > notice.backoff_until + _MIN_EXTENSION_S:
            self.note_obstacle(until)
        notice.backoff_until = max(notice.backoff_until, until)

    def note_obstacle(self, until: float) -> None:
        """Record that some replica wants no requests, or fewer, for a while."""
        self.obstacle_count += 1
        self.last_obstacle_end = max(self.last_obstacle_end, until)

    def record_limit(self, replica: Replica, limit: RequestLimit) -> None:
        """Record what a replica has said about its limit."""
        self._ensure(replica).limit = limit

    def mark_leaving(self, replica: Replica, deadline: float) -> None:
        """Record that a replica is leaving; the first deadline is kept."""
        notice = self._ensure(replica)
        notice.leaving_deadline = notice.leaving_deadline or deadline

    def remove_expired(self, now: float) -> list[Replica]:
        """Remove notices out of force; return the replicas that were leaving."""
        expired = [
            notice.replica
            for notice in self._notices.values()
            if not notice.is_in_force(now)
        ]
        removed = [self._notices.pop(replica.replica_id) for replica in expired]
        return [item.replica for item in removed if item.leaving_deadline]

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
) -> bool:
    """Record until when a replica wants no requests from this node.

    Unlike after a refusal without that, the replica names the time itself. A
    response of an earlier process is ignored; return false then.
    """
    state = view.replicas.get(replica.replica_id)
    if _is_replaced(state, replica):
        return False
    view.notices.extend_backoff(replica, until)
    if state is not None:
        state.requested_backoff_until = view.notices.get_backoff_end(
            state.replica
        )
    return True


def note_reported_backoff(
    view: FleetView, replica_id: str, started_ms: int, until: float
) -> None:
    """Record until when a replica wants no requests from another node.

    It may have turned that node away for its share of the load, so that this
    one prefers other replicas and still uses it if there is no other.
    """
    state = view.replicas.get(replica_id)
    if state is None or state.replica.is_different_process(started_ms):
        return
    state.reported_backoff_until = max(state.reported_backoff_until, until)


def prefer_unreported(
    states: list[ReplicaState], now: float
) -> list[ReplicaState]:
    """Return the replicas that no other node has reported a back-off of."""
    return [state for state in states if state.reported_backoff_until <= now]


def note_leaving(view: FleetView, replica: Replica, deadline: float) -> bool:
    """Record that a replica says that it is leaving; return whether it is news.

    It gets no new work from now on, as if its announcement said so. A response
    of an earlier process is ignored.

    Parameters
    ----------
    view : FleetView
        The fleet.
    replica : Replica
        The replica that the response came from.
    deadline : float
        Until when it serves its active streams.
    """
    state = view.replicas.get(replica.replica_id)
    if _is_replaced(state, replica):
        return False
    is_news = not view.notices.get_leaving_deadline(replica)
    view.notices.mark_leaving(replica, deadline)
    if state is not None and not view.is_leaving(replica.replica_id):
        view.leaving_deadlines[replica.replica_id] = deadline
        view.loss_count += 1
    return is_news


def explain_withheld(view: FleetView, replica: Replica, now: float) -> str:
    """Return why a replica gets no new work; empty if it may get some."""
    if view.is_leaving(replica.replica_id):
        return f'{replica.replica_id} is leaving'
    if view.notices.get_backoff_end(replica) > now:
        return f'{replica.replica_id} asked for a back-off'
    return ''


def _is_replaced(state: ReplicaState | None, replica: Replica) -> bool:
    """Return whether a replica has been started again since."""
    return state is not None and state.replica.is_different_process(
        replica.started_ms
    )
