"""Refuse a request: truthfully, at once, and with when to come back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.dialect import RequestFacts
    from samphirerill.relay.server import CallerConnection
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('refusals')
UNKNOWN_KEY = 401
NOT_FOUND = 404
FAILED = 502
UNAVAILABLE = 503
TIMED_OUT = 504
# Callers that were refused together must not come back together.
_SPREAD = 0.5
_LEAST_RETRY_S = 0.1


@dataclass(slots=True)
class Refusal:
    """An answer of our own.

    Status 503 promises that nothing ran; 502 and 504 promise nothing.
    `retry_s` is when it makes sense to come back.
    """

    status: int
    reason: str
    retry_s: float = 0.0


def refuse(
    state: EdgeState,
    conn: CallerConnection,
    facts: RequestFacts,
    refusal: Refusal,
) -> None:
    """Answer with a refusal and log why."""
    state.counters[f'refused.{refusal.status}'] += 1
    headers: Headers = []
    if refusal.status == UNAVAILABLE:
        spread = 1 + _SPREAD * state.random.random()
        retry_s = max(_LEAST_RETRY_S, refusal.retry_s) * spread
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
    conn.answer(refusal.status, headers, b'')
