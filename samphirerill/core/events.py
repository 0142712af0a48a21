"""What the outside tells the decision core.

Every event is a plain slotted class. Times are seconds of one monotonic clock,
handed to the core beside the event; deadlines inside events are points on that
clock, never durations.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.model import Configuration
    from samphirerill.core.prefixes import CacheNews
    from samphirerill.quarantine.messages import ToldRecord


@dataclass(slots=True)
class ConfigurationAccepted:
    """The platform's service holds this version; it is now in force."""

    configuration: Configuration


@dataclass(slots=True)
class RequestArrived:
    """A caller's request passed the edge's checks.

    `key` is the caller's idempotency key or ''. `fingerprint` tells two
    bodies under one key apart. `tokens` estimates the tokens to generate.
    `prefixes` are digests of the prompt's prefixes, the longest last.
    `identity` is what makes it the same request as another attempt.
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


@dataclass(slots=True)
class CallerLeft:
    """The caller closed its connection before the answer was whole."""

    request_id: str


@dataclass(slots=True)
class AttemptSent:
    """The first byte of an attempt is about to go to its endpoint."""

    attempt_id: str


@dataclass(slots=True)
class TokenArrived:
    """An endpoint produced token `index` of the attempt's answer."""

    attempt_id: str
    epoch: int
    index: int
    text: str
    finish: str = ''
    hops_ms: tuple[float, ...] = ()


@dataclass(slots=True)
class AttemptProgressed:
    """The endpoint showed that it is alive without producing a token."""

    attempt_id: str


@dataclass(slots=True)
class AttemptRefused:
    """The endpoint said that it ran nothing of the attempt."""

    attempt_id: str
    detail: str = ''


@dataclass(slots=True)
class AttemptBroke:
    """The attempt's connection failed or the engine reported a failure.

    `failed_stage` is the pipeline position the engine blames, or -1.
    `connected` is false when no connection could be made at all.
    """

    attempt_id: str
    detail: str
    failed_stage: int = -1
    connected: bool = True


@dataclass(slots=True)
class ServiceAnswered:
    """A plain service answered whole; the edge holds the answer's bytes."""

    attempt_id: str
    status: int


@dataclass(slots=True)
class ClaimWon:
    """The claim is in the platform's service under this request's name."""

    request_id: str


@dataclass(slots=True)
class ClaimTaken:
    """Another request holds the key.

    `state` is ``running``, ``answered``, ``may-have-run`` or ``mismatch``;
    `holder_alive` says whether the node that claimed it is still known.
    """

    request_id: str
    state: str
    holder_alive: bool = True


@dataclass(slots=True)
class ClaimFailed:
    """The claim could not be written and nothing was sent."""

    request_id: str


@dataclass(slots=True)
class ProbeAnswered:
    """An endpoint answered, or not, over a new connection.

    `has_ended` is whether nobody listens there; one that is only silent may
    live.
    """

    endpoint: str
    alive: bool
    has_ended: bool = False


@dataclass(slots=True)
class EvidenceTold:
    """Another node told what it knows against requests."""

    records: list[ToldRecord]


@dataclass(slots=True)
class LoadReported:
    """An endpoint's own figures, late by an unknown lag."""

    endpoint: str
    running: int
    waiting: int


@dataclass(slots=True)
class VmListRead:
    """The platform's lagging list; names are endpoints' names."""

    live: frozenset[str]
    leaving: frozenset[str]


@dataclass(slots=True)
class NodesSeen:
    """How many nodes share the endpoints with this one, itself included."""

    count: int


@dataclass(slots=True)
class CacheReported:
    """What an engine stored and evicted since it was last asked."""

    endpoint: str
    news: CacheNews


@dataclass(slots=True)
class DrainRequested:
    """Take no new work; finish what runs."""


@dataclass(slots=True)
class ServingForbidden:
    """The node can't tell whether its configuration is in force."""

    reason: str


@dataclass(slots=True)
class ServingAllowed:
    """The node's configuration is known to be in force again."""


@dataclass(slots=True)
class TimePassed:
    """A deadline that the core asked to be woken for may have come.

    `lag_s` is how long after that deadline the node's timer fired.
    """

    lag_s: float = 0.0
