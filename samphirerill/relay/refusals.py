"""Reject a request with an HTTP error of this node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.platform_adapter import RequestMetadata
    from samphirerill.relay.server import ClientConnection
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('refusals')
UNKNOWN_KEY = 401
NOT_FOUND = 404
FAILED = 502
UNAVAILABLE = 503
TIMED_OUT = 504
# Random share added to Retry-After, so that clients that were rejected together
# do not retry together.
_RETRY_JITTER = 0.5
_MIN_RETRY_S = 0.1


@dataclass(slots=True)
class Refusal:
    """An error response of this node.

    Status 503 guarantees that the request was not executed; 502 and 504 do not.
    `retry_s` is the time after which the client should retry; it is sent as it
    is if it `is_spread` over clients already.
    """

    status: int
    reason: str
    retry_s: float = 0.0
    is_spread: bool = False


def send_refusal(
    state: EdgeState,
    conn: ClientConnection,
    facts: RequestMetadata,
    refusal: Refusal,
) -> None:
    """Send an error response and log the reason."""
    state.counters[f'refused.{refusal.status}'] += 1
    headers: Headers = []
    if refusal.status == UNAVAILABLE:
        retry_s = max(_MIN_RETRY_S, refusal.retry_s)
        if not refusal.is_spread:
            retry_s *= 1 + _RETRY_JITTER * state.random.random()
        headers.append((b'retry-after', b'%.2f' % retry_s))
    _LOG.info(
        'refused',
        extra={
            'request': facts.request_id.decode('latin-1'),
            'status': refusal.status,
            'reason': refusal.reason,
            'configuration': state.version,
        },
    )
    conn.respond(refusal.status, headers, b'')
