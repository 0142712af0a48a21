"""Interface between the router and a platform's wire format.

A platform adapter implements :class:`PlatformAdapter`; the router only sees the types
defined here and never the platform's header or field names.
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
    from samphirerill.fleet.reported_load import ReportedLoad
    from samphirerill.relay.connection import Headers, ResponseHead
    from samphirerill.relay.request import Request


@dataclass(slots=True)
class RequestMetadata:
    """Metadata that a client sent with its request.

    Attributes
    ----------
    request_id : bytes
        The client's id of the request; empty if it has none.
    api_key : str
        The bearer token; empty if there is none.
    deadline_s : float
        The time until the client gives up; 0 if it did not say.
    prompt_tokens : float
        Length of the prompt; 0 if unknown.
    max_answer_tokens : float
        The most tokens that the answer may have; 0 if unknown.
    expected_answer_tokens : float
        The client's estimate of the length of the answer; 0 if unknown.
    resume_after : bytes
        The id of the last event received, if the client resumes a stream.
    prompt_parts : tuple of bytes
        Ids of the parts of the prompt that other requests may share, in order;
        a bounded number.
    """

    request_id: bytes = b''
    api_key: str = ''
    deadline_s: float = 0.0
    prompt_tokens: float = 0.0
    max_answer_tokens: float = 0.0
    expected_answer_tokens: float = 0.0
    resume_after: bytes = b''
    prompt_parts: tuple[bytes, ...] = ()


@dataclass(slots=True)
class Attempt:
    """One attempt to send a request to an endpoint.

    Attributes
    ----------
    replica : Replica
        The endpoint; the first replica of the path.
    account : str
        The client account that the request is made for; empty if none.
    remaining_s : float
        The time left until the client's deadline.
    strips_api_key : bool
        Whether to remove the API key from the forwarded headers. Set whenever
        API keys are configured, for public routes too.
    stages : tuple of Stage
        The path through the pipeline; empty for a single endpoint.
    priority : int, optional
        The priority that the endpoint should give to the request.
    resume_after : bytes
        The id of the last event received, if a stream is resumed.
    """

    replica: Replica
    account: str
    remaining_s: float
    strips_api_key: bool
    stages: tuple[Stage, ...] = ()
    priority: int | None = None
    resume_after: bytes = b''


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """A ``Retry-After`` header: `text` as received, which may be shortened.

    `delay_s` is the time that it asks for; none if it is invalid.
    """

    text: str
    delay_s: float | None


@dataclass(slots=True, frozen=True)
class NamedLimit:
    """The limit that a response names: `text` as received, maybe shortened.

    `rate_per_s` is how many requests a second the endpoint takes from all nodes
    together; none if the value is invalid.
    """

    text: str
    rate_per_s: float | None


@dataclass(slots=True, frozen=True)
class NamedLoad:
    """The load that a response names: `text` as received, maybe shortened.

    `load` is none if the value is malformed or impossible.
    """

    text: str
    load: ReportedLoad | None


@dataclass(slots=True)
class ResponseMetadata:
    """Metadata in the headers of an endpoint's response.

    Attributes
    ----------
    request_id : bytes
        The id of the request that is answered.
    has_repeats : bool
        Whether the head has a field twice that an endpoint sends once.
    is_signed : bool
        Whether the response carries the endpoint's signature, so that it was
        not made by anything in between.
    is_not_run : bool
        Whether the endpoint guarantees that it did not execute the request,
        which is then safe to retry.
    is_encoded : bool
        Whether the body has a content encoding, such as gzip.
    failed_address : str
        The address of the replica on the path that failed; empty if unknown.
    replica_id : str
        The replica that responded; empty if it did not say.
    is_leaving : bool
        Whether it says that it is leaving.
    retry_after : RetryAfter, optional
        The time for which it wants no requests, if it named one.
    request_limit : NamedLimit, optional
        The request rate that it takes, if it named one.
    server_load : NamedLoad, optional
        The requests that it runs and queues, if it named them.
    """

    request_id: bytes = b''
    has_repeats: bool = False
    is_signed: bool = False
    is_not_run: bool = False
    is_encoded: bool = False
    failed_address: str = ''
    replica_id: str = ''
    is_leaving: bool = False
    retry_after: RetryAfter | None = None
    request_limit: NamedLimit | None = None
    server_load: NamedLoad | None = None


@dataclass(slots=True)
class ReplicaReport:
    """An engine's status report, which may be some hundred ms old.

    Attributes
    ----------
    layers : LayerRange, optional
        The layers that it holds.
    is_busy : bool
        Whether it is loading or unloading layers.
    order_count : int
        How many orders it has accepted since it started.
    time_factor : float
        Factor on its nominal processing times; 1 is nominal.
    stalled : dict
        For each request id, the address of the replica that it waits for.
    started_ms : int
        When the engine started, in Unix milliseconds; 0 if unknown.
    """

    layers: LayerRange | None
    is_busy: bool
    order_count: int
    time_factor: float
    stalled: dict[str, str]
    started_ms: int = 0


class PlatformAdapter(Protocol):
    """The platform's wire format towards clients, endpoints and the store.

    Attributes
    ----------
    ready_path : bytes
        Path of the router's readiness check.
    report_path : bytes
        Path of an engine's status report.
    order_path : bytes
        Path at which an engine takes orders.
    configuration_key : str
        The store's key of the configuration.
    replicas_prefix : str
        Prefix of the store's keys at which replicas announce themselves.
    """

    ready_path: bytes
    report_path: bytes
    order_path: bytes
    configuration_key: str
    replicas_prefix: str

    def parse_request(self, req: Request) -> RequestMetadata:
        """Return the metadata of a request."""

    def build_headers(
        self, req: Request, facts: RequestMetadata, attempt: Attempt
    ) -> Headers:
        """Return the headers to send to the endpoint."""

    def parse_response(self, head: ResponseHead) -> ResponseMetadata:
        """Return the metadata of a response."""

    def decode_configuration(self, text: bytes) -> FleetConfiguration:
        """Decode a stored configuration; raise ``DocumentError``."""

    def decode_replica(self, replica_id: str, text: bytes) -> Replica:
        """Decode a replica's announcement; raise ``DocumentError``."""

    def decode_report(self, text: bytes) -> ReplicaReport:
        """Decode an engine's status report; raise ``DocumentError``."""

    def encode_load_order(
        self, layers: LayerRange, expected_orders: int, token: int
    ) -> bytes:
        """Encode the order to hold exactly these layers.

        Parameters
        ----------
        layers : LayerRange
            The layers.
        expected_orders : int
            The engine's order count; it rejects the order if it differs.
        token : int
            Fencing token of the leader's lease.
        """

    def encode_reroute_order(
        self, request_id: bytes, stages: tuple[Stage, ...], token: int
    ) -> bytes:
        """Encode the order to reroute a stream to another path.

        Parameters
        ----------
        request_id : bytes
            The request that the stream answers.
        stages : tuple of Stage
            The new path.
        token : int
            Fencing token; 0 for none.
        """


class DocumentError(Exception):
    """A stored document or a report is malformed or has invalid values."""
