"""What the endpoints of plain services have reported about their load.

An endpoint names in each response how many requests it runs and queues for all
nodes, and how many it runs at once. Between two responses, a node adds the
requests that it has sent since, and those of which other nodes have told. Each
node also learns from the responses how long an endpoint takes for one request.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.model import Replica

# Older reports are ignored; the requests in flight are counted instead.
MAX_REPORT_AGE_S = 1.0
# An endpoint that appears later than this after the first is new. Those that
# were there before are in use by other nodes, too.
_START_S = 1.0
# A new endpoint has been tried by some nodes after this time.
_NEW_S = 10.0
# So many responses in a row without the header end the reports of an endpoint;
# single ones may be made by a proxy in front of it.
_MISSING_RESPONSES = 3
# Weights of a response that took longer, or less long, than the estimate of the
# service time. An endpoint that turns slow is known after two or three.
_SLOWER_WEIGHT = 0.5
_FASTER_WEIGHT = 0.2
# A request in flight for longer than this factor of the estimate raises it.
_OVERDUE_FACTOR = 2.0
_MAX_ENDPOINTS = 4096
_NEVER = float('-inf')


@dataclass(slots=True, frozen=True)
class ReportedLoad:
    """The requests at one endpoint, over all nodes: running and queued.

    `slots` is how many it runs at once.
    """

    running: int
    waiting: int
    slots: int

    def count(self) -> int:
        """Return the requests that it runs and queues."""
        return self.running + self.waiting

    def is_possible(self) -> bool:
        """Return whether an endpoint can be in this state."""
        return self.slots > 0 and self.running <= self.slots


@dataclass(slots=True, frozen=True)
class LoadEstimate:
    """The assumed load of an endpoint.

    Attributes
    ----------
    in_system : float
        The requests that it runs and queues.
    own : int
        Those of this node that are in flight.
    taken : int
        Those of this node that other nodes may not know yet.
    slots : int
        How many it runs at once.
    service_s : float
        Time for one request without queueing; 0 if not known.
    age_s : float
        How old this knowledge is.
    is_new : bool
        Whether it started a short time ago, so that no node may know it yet.
    responded_at : float
        When the last response of this process came; minus infinity for never.
    """

    in_system: float
    own: int
    taken: int
    slots: int
    service_s: float
    age_s: float
    is_new: bool
    responded_at: float

    @property
    def is_known(self) -> bool:
        """Return whether the endpoint has shown how fast it is."""
        return self.service_s > 0

    @property
    def free(self) -> float:
        """Return the number of free slots."""
        return max(0.0, self.slots - self.in_system)


@dataclass(slots=True)
class _EndpointRecord:
    """What one process of an endpoint has reported and is known to run.

    `sent` holds when each request of this node that is still in flight was
    sent, in that order. `others_before` is how many requests of other nodes
    were in flight at the report, as those nodes told later.
    """

    replica: Replica
    found_at: float
    load: ReportedLoad | None = None
    others_before: int | None = None
    reported_at: float = _NEVER
    responded_at: float = _NEVER
    missing: int = 0
    service_s: float = 0.0
    sent: dict[int, float] = field(default_factory=dict)

    def is_from(self, replica: Replica) -> bool:
        """Return whether it is about the same process as `replica`.

        If a start time is unknown, processes are told apart by their address.
        """
        if self.replica.started_ms and replica.started_ms:
            return self.replica.started_ms == replica.started_ms
        return self.replica.address == replica.address

    def estimate_in_system(
        self, others: int, *, may_count_answered: bool
    ) -> int:
        """Return the requests that it runs and queues, if it has reported.

        Parameters
        ----------
        others : int
            Requests of other nodes that are in flight now.
        may_count_answered : bool
            Whether the report may count the request that it came with.
        """
        own = len(self.sent)
        if self.load is None:
            return own + others
        reported = self.load.count()
        if reported == self.load.slots and may_count_answered:
            # The slot of the request that it answered is free; without this, a
            # full endpoint would be left one slot short.
            reported -= 1
        known = reported + self.count_sent_since(self.reported_at)
        if self.others_before is None:
            return max(own, known)
        return max(own + others, known + others - self.others_before)

    def count_sent_since(self, since: float) -> int:
        """Return how many requests in flight were sent from a time on."""
        count = 0
        for sent_at in reversed(self.sent.values()):
            if sent_at < since:
                break
            count += 1
        return count

    def count_queued_per_slot(self) -> float:
        """Return how many requests were queued when it reported."""
        return 0.0 if self.load is None else self.load.waiting / self.load.slots

    def estimate_service_s(self, now: float) -> float:
        """Return the time for one request; 0 if not known.

        Requests that are overdue show that an endpoint has turned slow before
        its next response does.
        """
        if not self.service_s or not self.sent:
            return self.service_s
        # About the same queue is before it as was at the report.
        age_s = now - next(iter(self.sent.values()))
        age_s /= 1 + self.count_queued_per_slot()
        is_overdue = age_s > _OVERDUE_FACTOR * self.service_s
        return age_s if is_overdue else self.service_s


class ReportedLoads:
    """The load of the endpoints, as far as this node knows.

    Times are on one monotonic clock.
    """

    __slots__ = (
        '_first_found_at',
        '_last_token',
        '_records',
        '_without_answered',
    )

    def __init__(self) -> None:
        self._first_found_at: float | None = None
        self._records: dict[str, _EndpointRecord] = {}
        self._last_token = 0
        # Services whose endpoints do not count the request that they answer:
        # one of them has reported none.
        self._without_answered: set[str] = set()

    def note_sent(self, replica: Replica, now: float) -> int:
        """Record a request that is sent now; return a token for its end."""
        self._last_token += 1
        self._ensure(replica, now).sent[self._last_token] = now
        return self._last_token

    def note_ended(self, replica: Replica, token: int) -> None:
        """Record that a request has ended, or was not sent after all."""
        record = self._find(replica)
        if record is not None:
            record.sent.pop(token, None)

    def note_response(
        self, replica: Replica, load: ReportedLoad | None, now: float
    ) -> None:
        """Record what a response says; `load` is none without the header."""
        record = self._find(replica)
        if record is None:
            # The request was sent to an earlier process.
            return
        if load is None:
            record.missing += 1
            return
        if not load.count():
            self._without_answered.add(replica.service)
        record.missing = 0
        record.load = load
        record.others_before = None
        record.reported_at = now

    def note_service_time(
        self, replica: Replica, duration_s: float, now: float
    ) -> None:
        """Record how long an endpoint took for a request, with queueing.

        About as many requests were queued before it as are queued behind it
        when its response comes.
        """
        record = self._find(replica)
        if record is None:
            return
        record.responded_at = now
        service_s = duration_s / (1 + record.count_queued_per_slot())
        if not record.service_s:
            record.service_s = service_s
            return
        is_slower = service_s > record.service_s
        weight = _SLOWER_WEIGHT if is_slower else _FASTER_WEIGHT
        record.service_s += weight * (service_s - record.service_s)

    def reports(self, replica: Replica) -> bool | None:
        """Return whether an endpoint reports its load; none if not known."""
        record = self._find(replica)
        if record is None or not (record.load or record.missing):
            return None
        allowed = 0 if record.load is None else _MISSING_RESPONSES - 1
        return record.missing <= allowed

    def estimate(
        self,
        replica: Replica,
        tracker: LoadTracker,
        status_age_s: float,
        now: float,
    ) -> LoadEstimate:
        """Return the load to expect at an endpoint.

        Parameters
        ----------
        replica : Replica
            The endpoint as announced now.
        tracker : LoadTracker
            The requests in flight from all nodes.
        status_age_s : float
            How old the other nodes' counts of these are.
        now : float
            The time.
        """
        record = self._ensure(replica, now)
        replica_id = replica.replica_id
        others = tracker.count_requests(replica_id) - tracker.count_own(
            replica_id
        )
        age_s = now - record.reported_at
        if age_s > MAX_REPORT_AGE_S:
            in_system = len(record.sent) + others
        else:
            if age_s >= status_age_s and record.others_before is None:
                record.others_before = others
            in_system = record.estimate_in_system(
                others,
                may_count_answered=replica.service
                not in self._without_answered,
            )
        return LoadEstimate(
            in_system,
            len(record.sent),
            record.count_sent_since(
                max(record.reported_at, now - status_age_s)
            ),
            max(1, replica.slots) if record.load is None else record.load.slots,
            record.estimate_service_s(now),
            min(age_s, status_age_s),
            self._is_new(record, now),
            record.responded_at,
        )

    def remove_absent(self, present: set[str]) -> None:
        """Drop endpoints that are no longer announced."""
        for replica_id in set(self._records) - present:
            if not self._records[replica_id].sent:
                self._records.pop(replica_id)

    def _find(self, replica: Replica) -> _EndpointRecord | None:
        record = self._records.get(replica.replica_id)
        if record is None or not record.is_from(replica):
            return None
        return record

    def _is_new(self, record: _EndpointRecord, now: float) -> bool:
        started_at = self._first_found_at or 0.0
        found_at = record.found_at
        return found_at > started_at + _START_S and now - found_at < _NEW_S

    def _ensure(self, replica: Replica, now: float) -> _EndpointRecord:
        """Return the record of this process, a new one if there is none."""
        record = self._find(replica)
        if record is None:
            if self._first_found_at is None:
                self._first_found_at = now
            record = _EndpointRecord(replica, now)
            self._records[replica.replica_id] = record
            while len(self._records) > _MAX_ENDPOINTS:
                self._records.pop(next(iter(self._records)))
        return record
