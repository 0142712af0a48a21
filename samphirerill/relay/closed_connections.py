"""Why client connections were closed, and what that left unanswered."""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.relay.request import Request
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('callers')
# The most ids of queued requests in one log line.
_MAX_LOGGED_IDS = 8


class CloseReason(enum.Enum):
    """Why a client connection was closed.

    The values are part of the names of metrics.
    """

    CLIENT = 'client'
    IDLE = 'idle_timeout'
    SLOW_REQUEST = 'slow_request'
    SLOW_CLIENT = 'slow_client'
    MALFORMED_REQUEST = 'malformed_request'
    LAST_RESPONSE = 'last_response'
    CONNECTION_LIMIT = 'connection_limit'
    DRAINING = 'draining'
    SHUTDOWN = 'shutdown'
    RESPONSE_ABORTED = 'response_aborted'
    HANDLER_ERROR = 'handler_error'
    SERVER_ERROR = 'server_error'


@dataclass(slots=True)
class ClosedConnection:
    """A closed client connection.

    Attributes
    ----------
    reason : CloseReason
        Why it was closed.
    unanswered : tuple of Request
        The requests that were read and have no complete response: the one in
        progress, then those queued behind it.
    response_bytes, unsent_bytes : int
        Bytes of the last response that were written, and those of them that
        were still buffered.
    served : int
        The number of requests that were started on the connection.
    """

    reason: CloseReason
    unanswered: tuple[Request, ...]
    response_bytes: int
    unsent_bytes: int
    served: int


class ClosedConnectionLog:
    """Counts closed connections, and logs those with unanswered requests.

    Parameters
    ----------
    state : EdgeState
        Holds the counters.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()

    def record(self, closed: ClosedConnection) -> None:
        """Count a closed connection, and log it if a request is unanswered."""
        counters = self._state.counters
        reason = closed.reason.value
        counters[f'connections.closed.{reason}'] += 1
        if not closed.unanswered:
            return
        counters[f'requests.unanswered.{reason}'] += len(closed.unanswered)
        # A client that leaves is no failure of this node.
        log = _LOG.debug if closed.reason is CloseReason.CLIENT else _LOG.info
        log('request left unanswered', extra=self._describe(closed))

    def _describe(self, closed: ClosedConnection) -> dict[str, object]:
        first, *queued = closed.unanswered
        age_s = self._loop.time() - first.arrived_at
        return {
            'request': self._get_id(first),
            'reason': closed.reason.value,
            'age_ms': round(age_s * MS_PER_S),
            'response_bytes': closed.response_bytes,
            'unsent_bytes': closed.unsent_bytes,
            'served': closed.served,
            'draining': self._state.is_draining,
            'queued': [self._get_id(req) for req in queued[:_MAX_LOGGED_IDS]],
            'queued_count': len(queued),
        }

    def _get_id(self, req: Request) -> str:
        request_id = self._state.adapter.parse_request(req).request_id
        return request_id.decode('latin-1')
