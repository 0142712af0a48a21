"""Which replicas exist, and which of them may get new work.

Announcements carry the revision of the store that wrote them; an older one
never replaces a newer one. A store that was restored from a copy has later
revisions but may hold older entries, which are merged with what is known.
Findings of this node, such as that a replica is silent, slow or failing, are
kept separately for a limited time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.fleet.ended_processes import EndedProcesses
from samphirerill.fleet.failure_detection import CorrelatedFailure
from samphirerill.fleet.removed_replicas import (
    RemovedReplicas,
    merge_copied,
)
from samphirerill.fleet.replica_notices import ReplicaNotices
from samphirerill.fleet.revisions import get_era
from samphirerill.fleet.stage_lifetime import releases_layers
from samphirerill.fleet.suspicion import (
    CONFIRMING_VOTES,
    SilenceReport,
    Suspicion,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit

# After an outage of the store, replicas rewrite their expired entries within 2
# s of its return; the rest covers the propagation of these changes.
LAPSE_GRACE_S = 2.2
# A replica that refused is not used for this long, doubled with each further
# refusal in the window.
_REFUSAL_BACKOFF_S = 0.25
_MAX_BACKOFF_EXPONENT = 4
_REFUSAL_WINDOW_S = 5.0
# Replicas that are slower by less are not reported to other nodes.
MIN_SLOWNESS = 1.5
# How long a replica's own report of its slowness is valid.
_SLOWNESS_TTL_S = 5.0
# Replicas that were withdrawn while draining are kept this much longer than
# announced, as some keep serving.
_DRAINING_RETENTION_S = 30.0


@dataclass(slots=True)
class ReplicaState:
    """An announced replica, and what this node has found out about it.

    It gets no new work until `backoff_until` after refusals, nor until
    `requested_backoff_until` if it asked this node for that; others are
    preferred until `reported_backoff_until` if it asked another node. Its
    missing announcement may still return until `lapsed_until`. `slowness` above 1
    multiplies its predicted times. Streams may use layers that it is to release
    until `release_until`. `limit` is what it has said about its request rate.
    """

    replica: Replica
    revision: int
    backoff_until: float = 0.0
    requested_backoff_until: float = 0.0
    reported_backoff_until: float = 0.0
    refusals: int = 0
    refused_at: float = float('-inf')
    lapsed_until: float = 0.0
    slowness: float = 1.0
    slow_until: float = 0.0
    release_until: float = 0.0
    suspicion: Suspicion = field(default_factory=Suspicion)
    failures: float = 0.0
    latency_s: float = 0.0
    limit: RequestLimit | None = None

    def has_room(self, now: float) -> bool:
        """Return whether its request limit lets this node send one more."""
        return self.limit is None or self.limit.has_room(now)

    def predict_available(self, now: float, ahead: float = 0) -> float:
        """Return when it wants a request that `ahead` others precede.

        It is `now` or earlier if it wants one at once.
        """
        if self.limit is None:
            return self.requested_backoff_until
        return max(
            self.requested_backoff_until, self.limit.predict_room(now, ahead)
        )

    def forget_refusals(self) -> None:
        """End the back-off after refusals that were not the replica's."""
        self.refusals = 0
        self.backoff_until = 0.0

    def note_reported_slowness(self, slowness: float, until: float) -> None:
        """Record what another node knows; the later report wins."""
        if until > self.slow_until:
            self.slowness = max(1.0, slowness)
            self.slow_until = until


@dataclass(slots=True)
class FleetView:
    """All announced replicas, by id."""

    replicas: dict[str, ReplicaState] = field(default_factory=dict)
    revision: int = 0
    # Incremented with the set of replicas, and with this node's own suspicions.
    membership_version: int = 0
    own_suspicions_version: int = 0
    # Counts replicas that began to drain, released layers or were found dead.
    loss_count: int = 0
    # Counts replicas that were suspected dead and have worked since.
    false_suspicions: int = 0
    # The current correlated failure, or the last one.
    current_failure: CorrelatedFailure = field(
        default_factory=CorrelatedFailure
    )
    # Replicas found to be slow that other nodes were not told of yet.
    newly_slow: set[str] = field(default_factory=set)
    # Until when each draining replica serves its active streams; includes
    # replicas that are no longer announced.
    leaving_deadlines: dict[str, float] = field(default_factory=dict)
    # What replicas have said in responses; outlives their announcements.
    notices: ReplicaNotices = field(default_factory=ReplicaNotices)
    # The configured services; empty if not known yet. An entry of any other
    # service does not replace a replica at its address.
    services: frozenset[str] = frozenset()
    removed: RemovedReplicas = field(default_factory=RemovedReplicas)
    ended: EndedProcesses = field(default_factory=EndedProcesses)

    def apply_announcement(
        self, replica: Replica, revision: int, leaving_deadline: float = 0.0
    ) -> bool:
        """Apply an announcement; return whether it is newer than the known one.

        Parameters
        ----------
        replica : Replica
            The replica as announced.
        revision : int
            Revision of the store that wrote it.
        leaving_deadline : float
            Until when it serves its active streams, if it drains or releases
            layers.
        """
        replica_id = replica.replica_id
        if self.removed.is_outdated(replica_id, revision):
            return False
        state = self.replicas.get(replica_id)
        if state is not None and revision <= state.revision:
            state.lapsed_until = 0.0
            return False
        if get_era(revision) > get_era(self.revision):
            if state is not None:
                replica = merge_copied(state.replica, replica)
            elif self.removed.withhold_copied(replica, revision):
                return False
        self.removed.drop_entry(replica_id)
        is_new = state is None or replica.is_different_process(
            state.replica.started_ms
        )
        if state is None or is_new:
            self._register(replica, revision)
        else:
            _update_state(self, state, replica, leaving_deadline)
            state.revision = revision
        _update_leaving(self, replica, leaving_deadline, is_new=is_new)
        return True

    def remove_announcement(
        self,
        replica_id: str,
        revision: int,
        grace_until: float,
        leaving_deadline: float = 0.0,
    ) -> None:
        """Remove an announcement, at once or after a grace period.

        Parameters
        ----------
        replica_id : str
            The replica whose announcement was deleted.
        revision : int
            Revision of the deletion; ignored if older than the announcement.
        grace_until : float
            Until when the replica is still used, as its announcement may
            return; 0 if it is gone for sure.
        leaving_deadline : float
            Until when it serves its active streams. Some replicas drain without
            announcing it, or only say so in responses; one that was suspected
            dead, or has announced that it drains, serves nothing any more.
        """
        self.removed.drop_entry(replica_id)
        state = self.replicas.get(replica_id)
        if state is None or revision < state.revision:
            return
        if grace_until and replica_id not in self.leaving_deadlines:
            state.lapsed_until = state.lapsed_until or grace_until
            return
        has_announced = state.replica.is_leaving or (
            replica_id in self.leaving_deadlines
            and not self.notices.get_leaving_deadline(state.replica)
        )
        may_serve = not has_announced and not state.suspicion.suspected_until
        self._remove(replica_id, revision)
        if may_serve and leaving_deadline:
            self.leaving_deadlines[replica_id] = leaving_deadline

    def apply_snapshot(
        self,
        replicas: Iterable[tuple[Replica, int]],
        revision: int,
        grace_until: float,
        leaving_deadline: float = 0.0,
    ) -> None:
        """Apply a full list; replicas missing from it are withdrawn."""
        present = set()
        for replica, announced_revision in replicas:
            present.add(replica.replica_id)
            self.apply_announcement(
                replica, announced_revision, leaving_deadline
            )
        for replica_id in set(self.replicas) - present:
            self.remove_announcement(
                replica_id, revision, grace_until, leaving_deadline
            )
        self.revision = max(self.revision, revision)

    def advance_revision(self, revision: int) -> None:
        """Record that all changes up to a revision have been applied."""
        self.revision = max(self.revision, revision)

    def remove_lapsed(self, now: float) -> list[str]:
        """Remove replicas whose announcements did not return in time."""
        removed = [
            replica_id
            for replica_id, state in self.replicas.items()
            if state.lapsed_until and state.lapsed_until < now
        ]
        for replica_id in removed:
            self._remove(replica_id, self.replicas[replica_id].revision)
        for entry in self.removed.pop_confirmed(now):
            self.apply_announcement(entry.replica, entry.revision)
        for replica_id in set(self.leaving_deadlines) - set(self.replicas):
            if self.leaving_deadlines[replica_id] + _DRAINING_RETENTION_S < now:
                self.leaving_deadlines.pop(replica_id)
        for replica in self.notices.remove_expired(now):
            state = self.replicas.get(replica.replica_id)
            if state is not None and not state.replica.is_leaving:
                self.leaving_deadlines.pop(replica.replica_id, None)
        return removed

    def add_silence_report(
        self,
        replica_id: str,
        until: float,
        now: float,
        *,
        reporter: str = '',
        votes: int = 1,
        since: float | None = None,
        data_centre: str = '',
    ) -> bool:
        """Record a report of silence; return whether it starts a suspicion.

        The report of one other node does not make a replica suspected: a node
        that was stalled itself finds live replicas silent, and replanning
        around them would reload the layers of whole data centres.

        Parameters
        ----------
        replica_id : str
            The silent replica.
        until, now : float
            On the loop's clock.
        reporter : str
            The reporting node; empty for this one.
        votes : int
            The weight of the report; `CONFIRMING_VOTES` if the death is confirmed.
        since : float, optional
            When the replica was found silent; `now` by default.
        data_centre : str
            The data centre of the reporting node; empty if not known.
        """
        state = self.replicas.get(replica_id)
        if state is None:
            return False
        silent_since = now if since is None else since
        report = SilenceReport(
            silent_since, until, votes, reporter, data_centre
        )
        votes_before = state.suspicion.count_votes(now)
        is_newly_suspected = state.suspicion.add_report(report, now)
        self.loss_count += is_newly_suspected
        votes_after = state.suspicion.count_votes(now)
        # Many nodes may find the same silence by themselves at the same time.
        is_news = is_newly_suspected or (
            _rank_votes(votes_after) > _rank_votes(votes_before)
        )
        if is_news and _is_serving(self, state.replica):
            is_confirmed = votes_after >= CONFIRMING_VOTES
            self.current_failure.note_silence(
                replica_id, now, is_confirmed=is_confirmed
            )
        if report.is_own:
            self.own_suspicions_version += is_newly_suspected
        return is_newly_suspected

    def has_ended(self, replica: Replica) -> bool:
        """Return whether a process has ended for sure.

        One that is silent, or no longer announced, may still run requests.
        """
        state = self.replicas.get(replica.replica_id)
        if state is not None and replica.is_different_process(
            state.replica.started_ms
        ):
            return True
        return self.ended.has_ended(replica)

    def note_refusal(self, replica_id: str, now: float) -> None:
        """Record that a replica refused a stage, and back off.

        The pause doubles with each refusal, as each request sent in vain
        consumes the retry budget of all nodes. The replica is not suspected
        dead, since it also refuses while it changes its layers.
        """
        state = self.replicas.get(replica_id)
        if state is None:
            return
        if now - state.refused_at > _REFUSAL_WINDOW_S:
            state.refusals = 0
        state.refusals += 1
        state.refused_at = now
        pause_s = _REFUSAL_BACKOFF_S * 2 ** min(
            state.refusals - 1, _MAX_BACKOFF_EXPONENT
        )
        state.backoff_until = max(state.backoff_until, now + pause_s)

    def note_slowness(
        self, replica_id: str, slowness: float, now: float
    ) -> None:
        """Record a replica's own report of its slowness."""
        state = self.replicas.get(replica_id)
        if state is None:
            return
        was_known = state.slow_until > now and state.slowness >= MIN_SLOWNESS
        state.slowness = max(1.0, slowness)
        state.slow_until = now + _SLOWNESS_TTL_S
        if slowness >= MIN_SLOWNESS and not was_known:
            self.newly_slow.add(replica_id)

    def note_alive(self, replica_id: str, at: float | None = None) -> None:
        """Record that a replica has worked, and discard suspicions.

        Parameters
        ----------
        replica_id : str
            The replica.
        at : float, optional
            When it worked, on the loop's clock; later evidence is kept. By
            default all evidence and refusals are discarded.
        """
        self.ended.refute(replica_id, at)
        state = self.replicas.get(replica_id)
        if state is None:
            return
        if at is not None:
            self.false_suspicions += state.suspicion.note_alive(at)
            return
        state.refusals = 0
        self.false_suspicions += bool(state.suspicion.suspected_until)
        state.suspicion.clear()

    def is_leaving(self, replica_id: str) -> bool:
        """Return whether a replica drains."""
        return replica_id in self.leaving_deadlines

    def list_service(self, service: str) -> list[ReplicaState]:
        """Return the replicas of a service that are not draining."""
        return [
            state
            for state in self.replicas.values()
            if state.replica.service == service
            and state.replica.replica_id not in self.leaving_deadlines
        ]

    def list_unconfirmed(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas of a service whose death is not confirmed."""
        return [
            state
            for state in self.list_service(service)
            if state.suspicion.confirmed_until <= now
        ]

    def list_live(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas of a service that are not suspected dead."""
        return [
            state
            for state in self.list_service(service)
            if state.suspicion.suspected_until <= now
        ]

    def list_usable(self, service: str, now: float) -> list[ReplicaState]:
        """Return the replicas of a service that may get new work now."""
        return [
            state
            for state in self.list_live(service, now)
            if state.backoff_until <= now
            and state.requested_backoff_until <= now
            and state.has_room(now)
        ]

    def find_by_address(self, address: str) -> ReplicaState | None:
        """Return the replica that announced an address last."""
        best: ReplicaState | None = None
        for state in self.replicas.values():
            if state.replica.address != address:
                continue
            if best is None or state.revision > best.revision:
                best = state
        return best

    def _register(self, replica: Replica, revision: int) -> None:
        """Add a new replica, or replace one that has restarted.

        Findings about the previous process are dropped, and streams through it
        have lost their stage. Replicas announced earlier at the same address
        are removed: paths that named them were refused by the new replica, over
        and over.
        """
        is_configured = replica.service in self.services or not self.services
        removed = [
            replica_id
            for replica_id, state in self.replicas.items()
            if state.replica.address == replica.address
            and state.revision < revision
            and is_configured
        ]
        for replica_id in removed:
            self.ended.note_replaced(self.replicas[replica_id].replica)
            self._remove(replica_id, self.replicas[replica_id].revision)
        previous = self.replicas.get(replica.replica_id)
        if previous is not None:
            self.ended.note_replaced(previous.replica)
            self.loss_count += 1
        self.replicas[replica.replica_id] = ReplicaState(
            replica,
            revision,
            requested_backoff_until=self.notices.get_backoff_end(replica),
            limit=self.notices.find_limit(replica),
        )
        self.membership_version += 1

    def _remove(self, replica_id: str, revision: int) -> None:
        state = self.replicas.pop(replica_id, None)
        self.leaving_deadlines.pop(replica_id, None)
        announced = revision if state is None else state.revision
        self.removed.note_removal(replica_id, revision, announced)
        self.membership_version += 1
        self.loss_count += 1


def is_suspected(view: FleetView, replica_id: str, now: float) -> bool:
    """Return whether a replica is suspected dead."""
    state = view.replicas.get(replica_id)
    return state is not None and state.suspicion.suspected_until > now


def _is_serving(view: FleetView, replica: Replica) -> bool:
    """Return whether paths use a replica for new work."""
    return (
        replica.layers is not None
        and replica.replica_id not in view.leaving_deadlines
    )


def _rank_votes(votes: int) -> int:
    """Return 0 for no report, 1 for an unconfirmed and 2 for a confirmed one."""
    return min(votes, CONFIRMING_VOTES)


def _update_state(
    view: FleetView, state: ReplicaState, replica: Replica, deadline: float
) -> None:
    """Update a replica to its latest entry."""
    if releases_layers(state.replica.layers, replica.layers):
        view.loss_count += 1
        state.release_until = deadline
    state.replica = replica
    state.requested_backoff_until = view.notices.get_backoff_end(replica)
    state.limit = view.notices.find_limit(replica)
    state.lapsed_until = 0.0


def _update_leaving(
    view: FleetView, replica: Replica, deadline: float, *, is_new: bool
) -> None:
    """Update whether a replica is leaving.

    What it has said itself is newer than its announcement.
    """
    replica_id = replica.replica_id
    said_deadline = view.notices.get_leaving_deadline(replica)
    if replica.is_leaving or said_deadline:
        if replica_id not in view.leaving_deadlines:
            view.leaving_deadlines[replica_id] = said_deadline or deadline
            view.loss_count += 1
    elif is_new:
        view.leaving_deadlines.pop(replica_id, None)
