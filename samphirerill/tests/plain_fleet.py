"""Nodes before plain endpoints that report their load, without a network."""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from samphirerill.fleet.endpoint_offers import FleetKnowledge
from samphirerill.fleet.endpoints import choose_by_load
from samphirerill.fleet.load import LoadTracker
from samphirerill.fleet.reported_load import ReportedLoad, ReportedLoads
from samphirerill.fleet.view import ReplicaState
from samphirerill.tests.fleet_builders import build_replica

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 6
SERVICE_S = 0.05
# Within this, a response counts as in time.
OBJECTIVE_S = 0.4
_POLL_S = 0.05
_VARIATION = 0.2
_SEED = 20


@dataclass
class Endpoint:
    """An endpoint with slots and a queue; `most` is the longest queue seen."""

    name: str
    service_s: float = SERVICE_S
    running: int = 0
    queue: deque[Callable[[], None]] = field(default_factory=deque)

    def __post_init__(self) -> None:
        replica = replace(build_replica(self.name), slots=SLOTS)
        self.state = ReplicaState(replica, 1)

    @property
    def in_system(self) -> int:
        """Return the requests that run or wait."""
        return self.running + len(self.queue)

    def report(self) -> ReportedLoad:
        """Return what a response says."""
        return ReportedLoad(self.running, len(self.queue), SLOTS)


class _DelayedTracker(LoadTracker):
    """The own requests in flight, and those of others some time ago."""

    def __init__(self, fleet: PlainFleet) -> None:
        super().__init__()
        self.fleet = fleet
        self.own_before: Counter[str] = Counter()

    def count_requests(self, replica_id: str) -> int:
        """Return the requests in flight at an endpoint."""
        others = self.fleet.seen[replica_id] - self.own_before[replica_id]
        return self.count_own(replica_id) + max(0, others)


class PlainNode:
    """One node; waiting requests are served in the order of their arrival."""

    def __init__(self, fleet: PlainFleet, number: int) -> None:
        self.waiting: deque[float] = deque()
        self.is_polling = False
        self.tracker = _DelayedTracker(fleet)
        self.loads = ReportedLoads()
        self.fleet = fleet
        self.name = f'node-{number}'

    def build_knowledge(self) -> FleetKnowledge:
        """Return what the node knows now."""
        waiting = len(self.waiting) - 1
        return FleetKnowledge(
            self.loads,
            self.tracker,
            self.fleet.node_count,
            self.fleet.delay_s,
            self.name,
            self.fleet.random,
            waiting,
            waiting * self.fleet.node_count,
        )


class PlainFleet:
    """Nodes with Poisson demand before endpoints.

    Parameters
    ----------
    node_count : int
        Number of nodes.
    endpoints : list of Endpoint
        The endpoints.
    delay_s : float
        How old the nodes' reports of their requests in flight are.

    Attributes
    ----------
    overfilled : int
        Requests sent to a full endpoint while another had a free slot.
    durations_s : list of float
        From the arrival of each request to its response.
    """

    def __init__(
        self, node_count: int, endpoints: list[Endpoint], delay_s: float = 0
    ) -> None:
        self.node_count = node_count
        self.random = Random(_SEED)
        self.endpoints = {item.name: item for item in endpoints}
        self.delay_s = delay_s
        self.now = 1000.0
        self.seen: Counter[str] = Counter()
        self.overfilled = 0
        self.late = 0
        self.sent: Counter[str] = Counter()
        self.durations_s: list[float] = []
        self.nodes = [PlainNode(self, number) for number in range(node_count)]
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def call_in(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heappush(
            self._events, (self.now + delay_s, next(self._numbers), action)
        )

    def run(self, rate: float, duration_s: float) -> None:
        """Send requests for a time, and wait for all responses."""
        ends_at = self.now + duration_s

        def arrive() -> None:
            node = self.random.choice(self.nodes)
            node.waiting.append(self.now)
            self._send_waiting(node)
            if self.now < ends_at:
                self.call_in(self.random.expovariate(rate), arrive)

        arrive()
        while self._events:
            event = heappop(self._events)
            self.now = event[0]
            event[-1]()

    def compute_timely(self, since: int = 0) -> float:
        """Return the part of the responses that came in time."""
        durations = self.durations_s[since:]
        return sum(item <= OBJECTIVE_S for item in durations) / len(durations)

    def _send_waiting(self, node: PlainNode) -> None:
        while node.waiting:
            pool = [item.state for item in self.endpoints.values()]
            choice = choose_by_load(
                pool,
                node.build_knowledge(),
                node.waiting[0] + OBJECTIVE_S - self.now,
                self.now,
            )
            if choice.endpoint is None:
                self._poll(node)
                return
            name = choice.endpoint.replica.replica_id
            self._send(node, self.endpoints[name], node.waiting.popleft())

    def _poll(self, node: PlainNode) -> None:
        def poll() -> None:
            node.is_polling = False
            self._send_waiting(node)

        if not node.is_polling:
            node.is_polling = True
            self.call_in(_POLL_S, poll)

    def _send(
        self, node: PlainNode, endpoint: Endpoint, arrived_at: float
    ) -> None:
        is_other_free = any(
            item.in_system < SLOTS for item in self.endpoints.values()
        )
        queued_s = (endpoint.in_system + 1 - SLOTS) / SLOTS * endpoint.service_s
        starts_at = self.now + queued_s
        is_late = starts_at > arrived_at + OBJECTIVE_S - endpoint.service_s
        self.overfilled += is_other_free and endpoint.in_system >= SLOTS
        self.late += is_other_free and is_late and queued_s > 0
        self.sent[endpoint.name] += 1
        replica = endpoint.state.replica
        token = node.loads.note_sent(replica, self.now)
        self._count(node, endpoint.name, 1)
        sent_at = self.now

        def start() -> None:
            endpoint.running += 1
            factor = self.random.uniform(1 - _VARIATION, 1 + _VARIATION)
            self.call_in(endpoint.service_s * factor, respond)

        def respond() -> None:
            endpoint.running -= 1
            if endpoint.queue:
                endpoint.queue.popleft()()
            node.loads.note_response(replica, endpoint.report(), self.now)
            duration_s = self.now - sent_at
            node.loads.note_service_time(replica, duration_s, self.now)
            node.loads.note_ended(replica, token)
            self._count(node, endpoint.name, -1)
            self.durations_s.append(self.now - arrived_at)
            self._send_waiting(node)

        if endpoint.running < SLOTS:
            start()
        else:
            endpoint.queue.append(start)

    def _count(self, node: PlainNode, name: str, change: int) -> None:
        """Count a request in flight, which other nodes learn with a delay."""

        def tell() -> None:
            self.seen[name] += change
            node.tracker.own_before[name] += change

        if change > 0:
            node.tracker.add_request((name,), 0)
        else:
            node.tracker.remove_request((name,), 0)
        self.call_in(self.delay_s, tell)
