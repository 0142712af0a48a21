"""The state of the decision core: requests, attempts and endpoints.

Nothing here does I/O or reads a clock. Deadlines are points on the clock whose
time the node passes with each event.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from samphirerill.core.admission import FairQueue
from samphirerill.core.back_offs import BackOffs
from samphirerill.core.budget import RetryBudget
from samphirerill.core.commands import Command, Stage
from samphirerill.core.configuration import Configuration, Endpoint
from samphirerill.core.departures import Departures
from samphirerill.core.links import LinkLatencies
from samphirerill.core.prefixes import PrefixIndex
from samphirerill.core.request_limits import RequestLimits
from samphirerill.quarantine import Quarantine, RequestParts

if TYPE_CHECKING:
    from samphirerill.core.configuration import Route
    from samphirerill.quarantine import Crash

MAX_VM_LIST_LAG_S = 30.0


@dataclass(slots=True, frozen=True)
class SuspectedCrash:
    """A crash of an endpoint that a probe has to confirm.

    `parts` are the prompt parts of the request that had just started there.
    """

    crash: Crash
    parts: RequestParts


class Phase(Enum):
    """The phase of a request between its arrival and its end."""

    QUEUED = 'queued'
    CLAIMING = 'claiming'
    RUNNING = 'running'


class Health(Enum):
    """The health of an endpoint as this node knows it."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'


@dataclass(slots=True)
class RequestState:
    """One request without a final answer.

    `delivered` is the index of the next token to deliver. `ambiguous_attempts`
    counts attempts that may have run; `failures` counts those that failed
    since the last token. `holds_retry` means that a retry is reserved for the
    case that the attempt fails, `has_unspent_retry` that one was withdrawn and
    nothing has been sent for it yet.
    """

    request_id: str
    account: str
    route: Route
    priority: str
    deadline: float
    queue_deadline: float
    tokens: int
    key: str
    fingerprint: str
    arrived_at: float
    prefixes: tuple[str, ...] = ()
    identity: bytes = b''
    parts: RequestParts = field(default_factory=RequestParts)
    phase: Phase = Phase.QUEUED
    claimed: bool = False
    delivered: int = 0
    attempts: int = 0
    failures: int = 0
    ambiguous_attempts: int = 0
    holds_retry: bool = False
    has_unspent_retry: bool = False
    attempt_id: str = ''
    avoid: set[str] = field(default_factory=set)


@dataclass(slots=True)
class AttemptState:
    """One attempt of a request over one pipeline or plain service.

    `excess_ms` is the time that slow hops have cost since they were last
    reported to be fast; `last_slow_index` is the last token counted in it, or
    -1.
    """

    attempt_id: str
    request_id: str
    epoch: int
    stages: tuple[Stage, ...]
    progress_deadline: float
    sent: bool = False
    has_token: bool = False
    first_token_at: float = 0
    last_token_at: float = 0
    last_slow_index: int = -1
    excess_ms: float = 0


@dataclass(slots=True)
class EndpointState:
    """What this node knows of one endpoint.

    `running` and `waiting` are the endpoint's own, delayed figures;
    `in_flight_at_report` is what this node had in flight when they arrived.
    Until `slow_start_until` the endpoint is new and gets a growing share.
    `is_unresponsive` is whether its last probe failed, also if it is leaving.
    """

    endpoint: Endpoint
    health: Health = Health.LIVE
    in_flight: int = 0
    running: int = 0
    waiting: int = 0
    in_flight_at_report: int = 0
    next_probe_at: float = 0
    reported_at: float = 0
    slow_start_until: float = 0
    is_unresponsive: bool = False

    def count_other_load(self) -> int:
        """Return how many requests of other nodes the endpoint has."""
        return max(0, self.running + self.waiting - self.in_flight_at_report)


class CoreState:
    """Everything that the handlers read and change.

    Parameters
    ----------
    node : str
        This node's name; it makes attempt ids unique across nodes.
    seed : int
        Seed of the core's only random number generator.
    """

    __slots__ = (
        'attempts',
        'budgets',
        'by_model',
        'commands',
        'configuration',
        'counters',
        'deadlines',
        'departures',
        'draining',
        'endpoints',
        'last_attempt_number',
        'leaving',
        'links',
        'node',
        'node_count',
        'now',
        'queues',
        'prefixes',
        'quarantine',
        'random',
        'requests',
        'back_offs',
        'request_limits',
        'running_by_account',
        'suspected_crashes',
        'suspension_reason',
    )

    def __init__(self, node: str, seed: int) -> None:
        self.node = node
        self.random = random.Random(seed)  # noqa: S311
        self.configuration = Configuration(version=0)
        self.requests: dict[str, RequestState] = {}
        self.attempts: dict[str, AttemptState] = {}
        self.endpoints: dict[str, EndpointState] = {}
        self.by_model: dict[str, list[EndpointState]] = {}
        self.queues: dict[str, FairQueue] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.leaving: dict[str, float] = {}
        self.links = LinkLatencies()
        self.prefixes = PrefixIndex()
        self.back_offs = BackOffs()
        self.request_limits = RequestLimits()
        self.departures = Departures()
        self.quarantine = Quarantine()
        # By endpoint being probed, the requests whose attempts failed there.
        self.suspected_crashes: dict[str, dict[bytes, SuspectedCrash]] = {}
        self.running_by_account: Counter[str] = Counter()
        self.counters: Counter[str] = Counter()
        self.deadlines: list[tuple[float, str, str]] = []
        self.node_count = 1
        self.now = 0.0
        self.last_attempt_number = 0
        self.draining = False
        self.suspension_reason = ''
        self.commands: list[Command] = []

    def find_room(self, address: str, now: float) -> float:
        """Return when a request may be sent to an address; 0 for at once."""
        return max(
            self.back_offs.get_until(address, now),
            self.request_limits.find_room(address, self.node_count, now),
        )

    def emit(self, command: Command) -> None:
        """Add a command to those of the current event."""
        self.commands.append(command)

    def schedule_wake(self, deadline: float, kind: str, name: str) -> None:
        """Request a ``TimerFired`` event at a deadline."""
        heapq.heappush(self.deadlines, (deadline, kind, name))

    def mark_leaving(self, name: str, now: float) -> None:
        """Send an endpoint no new work until the VM list has caught up."""
        self.leaving[name] = now + MAX_VM_LIST_LAG_S
        replica = self.endpoints.get(name)
        if replica is not None:
            replica.health = Health.LEAVING

    def next_attempt_id(self) -> str:
        """Return an attempt id that no node has used."""
        self.last_attempt_number += 1
        return f'{self.node}-{self.last_attempt_number}'
