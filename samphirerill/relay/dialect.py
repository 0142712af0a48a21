"""What the edge needs to know of the words spoken with callers and endpoints.

An adapter implements :class:`Dialect`; the edge sees typed facts only.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        FleetConfiguration,
        LayerRange,
        Replica,
        Stage,
    )
    from samphirerill.relay.connection import Head, Headers
    from samphirerill.relay.server import Request


@dataclass(slots=True)
class RequestFacts:
    """What a request says of itself.

    `deadline_s` is how long the client waits from now on, 0 if it does not
    say; `resume_after` is the id of the last event that the client has.
    """

    request_id: bytes = b''
    api_key: str = ''
    deadline_s: float = 0.0
    prompt_tokens: float = 0.0
    most_tokens: float = 0.0
    hinted_tokens: float = 0.0
    resume_after: bytes = b''


@dataclass(slots=True)
class Attempt:
    """One send of a request: to whom, for whom and until when.

    `left_s` is what is left of the client's time. `hides_key` is set where
    clients have keys: a key is never passed on, also not on a public route.
    """

    replica: Replica
    account: str
    left_s: float
    hides_key: bool
    stages: tuple[Stage, ...] = ()
    priority: int | None = None
    resume_after: bytes = b''


@dataclass(slots=True)
class AnswerFacts:
    """What an endpoint's answer says of itself.

    `is_not_run` is the endpoint's promise that it ran nothing. `at_fault` is
    the address of the replica on a path that could not do its part.
    """

    request_id: bytes = b''
    is_signed: bool = False
    is_not_run: bool = False
    is_encoded: bool = False
    at_fault: str = ''


@dataclass(slots=True)
class ReplicaReport:
    """What an engine says of itself on request, some hundred ms old.

    `slowness` above 1 multiplies its usual times. `stalled` maps the ids of
    requests that wait to the address of the replica they wait for.
    `started_ms` is when it started, in Unix milliseconds; 0 if unsaid.
    """

    layers: LayerRange | None
    is_busy: bool
    orders_taken: int
    slowness: float
    stalled: dict[str, str]
    started_ms: int = 0


class Dialect(Protocol):
    """The words spoken with callers, endpoints and the store."""

    ready_path: bytes
    report_path: bytes
    order_path: bytes
    configuration_key: str
    replicas_prefix: str

    def read_request(self, req: Request) -> RequestFacts:
        """Return what a request says of itself."""

    def build_headers(
        self, req: Request, facts: RequestFacts, attempt: Attempt
    ) -> Headers:
        """Return the headers of one send."""

    def read_answer(self, head: Head) -> AnswerFacts:
        """Return what an answer says of itself."""

    def decode_configuration(self, text: bytes) -> FleetConfiguration:
        """Return the configuration in a stored text."""

    def decode_replica(self, replica_id: str, text: bytes) -> Replica:
        """Return the replica announced in a stored text."""

    def decode_report(self, text: bytes) -> ReplicaReport:
        """Return an engine's report."""

    def encode_place(
        self, layers: LayerRange, expected_orders: int, token: int
    ) -> bytes:
        """Return the order to hold these layers and no others."""

    def encode_repath(
        self, request_id: bytes, stages: tuple[Stage, ...], token: int
    ) -> bytes:
        """Return the order to move a stream onto another path."""


class DocumentError(Exception):
    """A document that does not hold what it should."""
