"""Events that the node passes to the decision core.

Every event is a plain slotted class. Times are seconds of one monotonic clock,
passed to the core beside the event; deadlines in events are points on that
clock, not durations.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.quarantine import RequestParts

if TYPE_CHECKING:
    from samphirerill.core.configuration import Configuration
    from samphirerill.core.prefixes import CacheEvents
    from samphirerill.quarantine.messages import EvidenceMessage


@dataclass(slots=True)
class ConfigurationAccepted:
    """The key-value store holds this version; put it in force."""

    configuration: Configuration


@dataclass(slots=True)
class RequestArrived:
    """A client's request passed the checks of the HTTP server.

    `key` is the client's idempotency key or ''. `fingerprint` differs between
    different bodies sent under one key. `tokens` estimates the tokens to
    generate. `prefixes` are digests of the prompt's prefixes, the longest
    last. `identity` is equal for repeats of a request under other ids, so that
    quarantine recognises them; `parts` are what its prompt shares with others.
    """

    request_id: str
    account: str
    route: str
    deadline: float
    tokens: int = 1
    key: str = ''
    fingerprint: str = ''
    prefixes: tuple[str, ...] = ()
    identity: bytes = b''
    parts: RequestParts = field(default_factory=RequestParts)


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected before its answer was complete."""

    request_id: str


@dataclass(slots=True)
class AttemptSent:
    """The first byte of an attempt is about to be sent."""

    attempt_id: str


@dataclass(slots=True)
class TokenArrived:
    """An endpoint produced token `index` of an attempt's answer."""

    attempt_id: str
    epoch: int
    index: int
    text: str
    finish: str = ''
    hops_ms: tuple[float, ...] = ()


@dataclass(slots=True)
class AttemptProgressed:
    """The endpoint reported that it is alive, without a token."""

    attempt_id: str


@dataclass(slots=True)
class AttemptRefused:
    """The endpoint refused an attempt and ran nothing of it."""

    attempt_id: str
    detail: str = ''


@dataclass(slots=True)
class AttemptFailed:
    """The attempt's connection failed or the engine reported an error.

    `failed_stage` is the position of the pipeline stage that failed according
    to the engine, or -1. `connected` is false if no connection could be made.
    `is_alive` is whether the endpoint answered that it cannot run the attempt
    now, so that it needs no probe.
    """

    attempt_id: str
    detail: str
    failed_stage: int = -1
    connected: bool = True
    is_alive: bool = False


@dataclass(slots=True)
class ServiceAnswered:
    """A plain service answered completely.

    The HTTP server holds the answer's bytes.
    """

    attempt_id: str
    status: int


@dataclass(slots=True)
class ClaimAcquired:
    """The idempotency key is claimed for this request."""

    request_id: str


@dataclass(slots=True)
class ClaimConflicted:
    """Another request has claimed the idempotency key.

    `state` is ``running``, ``answered``, ``may-have-run`` or ``mismatch``;
    `holder_alive` is whether the node that claimed it is still known.
    """

    request_id: str
    state: str
    holder_alive: bool = True


@dataclass(slots=True)
class ClaimFailed:
    """The claim could not be written, so nothing was sent."""

    request_id: str


@dataclass(slots=True)
class ProbeFinished:
    """A probe of an endpoint over a new connection has finished.

    `is_refused` is whether the connection was refused, so that the process has
    ended; one that only does not answer may still be running.
    """

    endpoint: str
    alive: bool
    is_refused: bool = False


@dataclass(slots=True)
class EvidenceReceived:
    """Another node sent its crash records of requests."""

    records: list[EvidenceMessage]


@dataclass(slots=True)
class LoadReported:
    """An endpoint's own load figures, delayed by an unknown time."""

    endpoint: str
    running: int
    waiting: int


@dataclass(slots=True)
class VmListRead:
    """The platform's list of VMs, by endpoint name; it lags behind."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(slots=True)
class NodeCountReported:
    """The number of nodes that share the endpoints, this one included."""

    count: int


@dataclass(slots=True)
class CacheReported:
    """What an engine stored and evicted since the last report."""

    endpoint: str
    events: CacheEvents


@dataclass(slots=True)
class DrainRequested:
    """Accept no new requests; finish those that run.

    `aborted` are refused instead, as the node ends before it could finish them.
    """

    aborted: tuple[str, ...] = ()


@dataclass(slots=True)
class ServingSuspended:
    """The node cannot confirm that its configuration is in force."""

    reason: str


@dataclass(slots=True)
class ServingResumed:
    """The configuration is confirmed to be in force again."""


@dataclass(slots=True)
class TimerFired:
    """The node's timer fired for the core's next deadline.

    `lag_s` is the delay between that deadline and the timer.
    """

    lag_s: float = 0.0
