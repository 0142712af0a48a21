"""Commands that the decision core returns for the node to carry out.

They are carried out in the order in which they are returned. The core never
waits for a command; its result arrives as an event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a request ended, as reported to the client."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'


@dataclass(slots=True, frozen=True)
class Stage:
    """One stage of a pipeline: an endpoint and its inclusive layer range."""

    endpoint: str
    address: str
    first: int
    last: int


@dataclass(slots=True, frozen=True)
class Problem:
    """Why a request got no complete answer.

    `retry_after_s` is 0 if a retry would not help.
    """

    status: int
    code: str
    detail: str
    outcome: Outcome
    retry_after_s: float = 0


@dataclass(slots=True)
class OpenAttempt:
    """Connect to the first stage and send the request with this plan.

    `resume_at` is the index of the first token that is still to be generated.
    """

    attempt_id: str
    request_id: str
    epoch: int
    stages: tuple[Stage, ...]
    resume_at: int
    is_service: bool


@dataclass(slots=True)
class CancelAttempt:
    """Close the attempt's connection, which stops the engine's work."""

    attempt_id: str


@dataclass(slots=True)
class DeliverToken:
    """Send one token to the client."""

    request_id: str
    index: int
    text: str
    finish: str


@dataclass(slots=True)
class DeliverServiceResponse:
    """Send a plain service's complete answer to the client."""

    request_id: str
    attempt_id: str


@dataclass(slots=True)
class ReplayAnswer:
    """Send the stored answer of an earlier request with the same key."""

    request_id: str


@dataclass(slots=True)
class FinishAnswer:
    """Report to the client that the answer is complete."""

    request_id: str


@dataclass(slots=True)
class RefuseRequest:
    """End the request with a problem document."""

    request_id: str
    problem: Problem


@dataclass(slots=True)
class WriteClaim:
    """Claim an idempotency key in the platform's key-value store."""

    request_id: str
    account: str
    route: str
    key: str
    fingerprint: str


@dataclass(slots=True)
class SettleClaim:
    """Replace a claim by its outcome, which later retries will read."""

    request_id: str
    outcome: Outcome


@dataclass(slots=True)
class ProbeEndpoint:
    """Check over a new connection whether an endpoint is reachable."""

    endpoint: str
    address: str


@dataclass(slots=True)
class LogEndpoint:
    """Write a decision on an endpoint to the log."""

    message: str
    endpoint: str
    details: dict[str, object]


Command = (
    OpenAttempt
    | CancelAttempt
    | DeliverToken
    | DeliverServiceResponse
    | ReplayAnswer
    | FinishAnswer
    | RefuseRequest
    | WriteClaim
    | SettleClaim
    | ProbeEndpoint
    | LogEndpoint
)
