"""Short calls to endpoints, on the connections that requests also use.

A connection of its own for each report and order made most of the connections
of a calm day.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.connection import serialize_request
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.pool import check_surplus, read_whole_response

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.endpoint_dialer import Connect
    from samphirerill.relay.platform_adapter import ResponseMetadata
    from samphirerill.relay.state import EdgeState

# Reports and responses to orders and health checks are much smaller.
_MAX_RESPONSE_BYTES = 1_048_576


async def call_kept(
    state: EdgeState,
    replica: Replica,
    request: bytes,
    deadline: float,
    *,
    proven: bool = False,
) -> tuple[int, bytes] | None:
    """Call a replica on an idle connection; return none if there is none.

    No response says nothing about the replica: a connection may have fallen
    silent while new ones work.

    Parameters
    ----------
    state : EdgeState
        Has the pool of connections.
    replica : Replica
        The replica to call.
    request : bytes
        From `build_call`.
    deadline : float
        On the loop's clock.
    proven : bool
        Use only a connection that has just responded, as for a call that can't
        be repeated.

    Returns
    -------
    tuple of int and bytes, optional
        Status and body.

    Raises
    ------
    EndpointError
        No complete response was received.
    """
    conn = state.pool.take_idle(replica, proven=proven)
    if conn is None:
        return None
    response = await _exchange(state, conn, request, deadline)
    state.pool.release(replica, conn)
    if not conn.is_relayed:
        # Only connections on which nothing was called before report it.
        state.pool.dialer.paths.note_success(replica.address)
    return response


async def call_new(
    state: EdgeState,
    replica: Replica,
    request: bytes,
    deadline: float,
    connect: Connect,
) -> tuple[int, bytes]:
    """Call a replica on a new connection, which is kept after the response.

    Returns the status and the body, and raises as `call_kept`; `connect` opens
    the connection, directly or through another node.
    """
    conn = await connect(replica.address, deadline)
    state.counters['connections.made.calls'] += 1
    response = await _exchange(state, conn, request, deadline)
    state.pool.keep(replica, conn, _find_limit(state, replica))
    return response


def build_call(
    replica: Replica, method: bytes, path: bytes, body: bytes = b''
) -> bytes:
    """Return a serialized short request to a replica."""
    headers = [(b'host', replica.address.encode())]
    if body:
        headers.append((b'content-type', b'application/json'))
    return serialize_request(method, path, headers, body)


async def _exchange(
    state: EdgeState, conn: HttpConnection, request: bytes, deadline: float
) -> tuple[int, bytes]:
    """Return the response; close the connection if there is none."""
    is_complete = False
    try:
        conn.send(request)
        head, body = await read_whole_response(
            conn, deadline, _MAX_RESPONSE_BYTES
        )
        _check_response(conn, state.adapter.parse_response(head))
        is_complete = True
    finally:
        if not is_complete:
            conn.close()
    return head.status, body


def _check_response(conn: HttpConnection, metadata: ResponseMetadata) -> None:
    """Raise ``BrokenResponseError`` if a response is to another call.

    These calls have no request id, so a response with one answers an earlier
    request on the connection, and of two responses the first may answer the call
    before. After a rejection the connection is not reused, as a second copy would
    be taken for the rejection of a request.
    """
    check_surplus(conn)
    if metadata.request_id:
        raise BrokenResponseError(
            f'{conn.address}: got a response to request'
            f' {metadata.request_id.decode("latin-1")},'
            ' expected one without an id'
        )
    if metadata.is_not_run:
        conn.is_reusable = False


def _find_limit(state: EdgeState, replica: Replica) -> int:
    """Return the limit of connections to a replica; 0 for none."""
    service = state.cfg and state.cfg.services.get(replica.service)
    return state.get_connection_limit(service) if service else 0
