"""What the decision core tells the outside to do.

Commands are carried out in the order they are returned. The core never waits
for one: what comes of it returns as an event.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Outcome(Enum):
    """How a request ended, as the caller is told."""

    ANSWERED = 'answered'
    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'


@dataclass(slots=True, frozen=True)
class Stage:
    """One step of a pipeline: an endpoint and the inclusive layers it runs."""

    endpoint: str
    address: str
    first: int
    last: int


@dataclass(slots=True, frozen=True)
class Problem:
    """Why a request has no whole answer.

    `retry_after_s` is 0 when trying again can't help.
    """

    status: int
    code: str
    detail: str
    outcome: Outcome
    retry_after_s: float = 0


@dataclass(slots=True)
class OpenAttempt:
    """Connect to the first stage and send the request with this plan.

    `resume_at` is the index of the first token still wanted.
    """

    attempt_id: str
    request_id: str
    epoch: int
    stages: tuple[Stage, ...]
    resume_at: int
    is_service: bool


@dataclass(slots=True)
class CancelAttempt:
    """Close the attempt's connection; the engine stops its work."""

    attempt_id: str


@dataclass(slots=True)
class DeliverToken:
    """Send one token to the caller."""

    request_id: str
    index: int
    text: str
    finish: str


@dataclass(slots=True)
class DeliverService:
    """Send a plain service's whole answer to the caller."""

    request_id: str
    attempt_id: str


@dataclass(slots=True)
class ReplayAnswer:
    """Send the answer that an earlier request with the same key got."""

    request_id: str


@dataclass(slots=True)
class FinishAnswer:
    """The answer is whole; tell the caller so."""

    request_id: str


@dataclass(slots=True)
class RefuseRequest:
    """End the request with a problem document."""

    request_id: str
    problem: Problem


@dataclass(slots=True)
class WriteClaim:
    """Write the claim for a key to the platform's service."""

    request_id: str
    account: str
    route: str
    key: str
    fingerprint: str


@dataclass(slots=True)
class SettleClaim:
    """Replace the claim by its outcome, so that a retry learns the truth."""

    request_id: str
    outcome: Outcome


@dataclass(slots=True)
class ProbeEndpoint:
    """Ask an endpoint over a new connection whether it is there."""

    endpoint: str
    address: str


Command = (
    OpenAttempt
    | CancelAttempt
    | DeliverToken
    | DeliverService
    | ReplayAnswer
    | FinishAnswer
    | RefuseRequest
    | WriteClaim
    | SettleClaim
    | ProbeEndpoint
)
