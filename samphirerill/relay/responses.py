"""Read and check the response of an endpoint to one attempt."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.backends.framing import Framing
from samphirerill.backends.response_heads import contains_response
from samphirerill.node.logs import get_logger
from samphirerill.relay.connection import BodyChunk, EndOfResponse, ResponseHead
from samphirerill.relay.errors import BrokenResponseError, ResponseTooLargeError

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers, HttpConnection
    from samphirerill.relay.platform_adapter import (
        PlatformAdapter,
        ResponseMetadata,
    )
    from samphirerill.relay.response_memory import ResponseMemory
    from samphirerill.relay.server_sent_events import EventParser

_LOG = get_logger('responses')
_SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)
# Hop-by-hop headers, and the length, which this node sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
    )
)
_MAX_STALE_RESPONSES = 8
_MAX_SKIPPED_BYTES = 16_777_216
_EVENT_STREAM = b'text/event-stream'


async def read_head(
    conn: HttpConnection,
    adapter: PlatformAdapter,
    request_id: bytes,
    deadline: float,
) -> tuple[ResponseHead, ResponseMetadata]:
    """Return the head of the response to this request.

    On a reused connection, responses to earlier requests may come first. They
    are recognised by their request id and discarded. A rejection may lack the
    id; its connection is not reused, as a second copy of it could not be told
    from the rejection of a later request.
    """
    for _ in range(_MAX_STALE_RESPONSES):
        head, metadata = await _read_next_head(conn, adapter, deadline)
        if not _is_stale(metadata, request_id):
            if not metadata.request_id:
                conn.is_reusable = False
            check_success(head, metadata)
            return head, metadata
        conn.has_surplus = True
        skipped_bytes = await skip_body(conn, deadline)
        _LOG.info(
            'response dropped',
            extra={
                'request': request_id.decode('latin-1'),
                'responds_to': metadata.request_id.decode('latin-1'),
                'status': head.status,
                'body_bytes': skipped_bytes,
                'endpoint': conn.address,
                'connection': conn.number,
            },
        )
        conn.await_next_response()
    raise BrokenResponseError('too many responses to earlier requests')


async def _read_next_head(
    conn: HttpConnection, adapter: PlatformAdapter, deadline: float
) -> tuple[ResponseHead, ResponseMetadata]:
    head = await conn.read(deadline)
    if not isinstance(head, ResponseHead):
        raise BrokenResponseError('expected a response head, got body bytes')
    metadata = adapter.parse_response(head)
    if metadata.has_repeats:
        raise BrokenResponseError(
            f'{conn.address}: the response head has the fields of two'
        )
    return head, metadata


async def skip_body(conn: HttpConnection, deadline: float) -> int:
    """Read a response to another request to its end.

    Parameters
    ----------
    conn : HttpConnection
        The connection.
    deadline : float
        On the loop's clock.

    Returns
    -------
    int
        The size of its body.

    Raises
    ------
    BrokenResponseError
        The awaited response came inside the body, as the other one was cut short.
    ResponseTooLargeError
        The body is too large.
    """
    skipped = 0
    part: object = None
    while not isinstance(part, EndOfResponse):
        part = await conn.read(deadline)
        if isinstance(part, BodyChunk):
            skipped += len(part.body)
            check_body(conn, part.body)
        if skipped > _MAX_SKIPPED_BYTES:
            raise ResponseTooLargeError(
                f'{conn.address}: got over {_MAX_SKIPPED_BYTES} bytes of a '
                'response to an earlier request'
            )
    return skipped


async def read_body(
    conn: HttpConnection, deadline: float, memory: ResponseMemory
) -> bytes:
    """Return the rest of a response body.

    Raises
    ------
    BrokenResponseError
        It contains the head of a further response.
    ResponseTooLargeError
        It exceeds a limit of `memory`.
    """
    with memory.open(conn.address) as body:
        while True:
            part = await conn.read(deadline)
            if isinstance(part, EndOfResponse):
                whole = body.join()
                check_body(conn, whole)
                return whole
            if isinstance(part, BodyChunk):
                body.append(part.body)


def check_body(conn: HttpConnection, body: bytes) -> None:
    """Raise ``BrokenResponseError`` if another response is in a body."""
    if contains_response(body, conn.request_id):
        conn.has_surplus = True
        raise BrokenResponseError(
            f'{conn.address}: the body contains another response'
        )


def check_success(head: ResponseHead, metadata: ResponseMetadata) -> None:
    """Reject a success without a signature or with an encoded body."""
    if head.status not in _SUCCESS_STATUSES:
        return
    if not metadata.is_signed:
        raise BrokenResponseError('successful response has no signature')
    if metadata.is_encoded:
        raise BrokenResponseError('response body has a content encoding')


def check_stream_end(
    conn: HttpConnection,
    head: ResponseHead,
    event_parser: EventParser,
    run_events: int,
) -> None:
    """Raise ``BrokenResponseError`` unless a stream has ended as complete.

    The framing of a response says that no more bytes follow. That alone is no
    proof: a process that is killed ends its connections in order, and a proxy may
    complete the framing of what an engine has broken off.

    Parameters
    ----------
    conn : HttpConnection
        The connection whose response has ended.
    head : ResponseHead
        The head of the response.
    event_parser : EventParser
        Has received the whole body.
    run_events : int
        Number of complete events in it.
    """
    if not _has_events(head):
        return
    if event_parser.is_inside_event():
        raise BrokenResponseError(
            f'{conn.address}: stream ended inside an event'
        )
    if not run_events and conn.framing is Framing.CONNECTION:
        raise BrokenResponseError(
            f'{conn.address}: connection ended before the first event'
        )


def is_success(status: int) -> bool:
    """Return whether a status is a success."""
    return status in _SUCCESS_STATUSES


def filter_headers(head: ResponseHead) -> Headers:
    """Return the headers that are passed on to the client."""
    return [pair for pair in head.headers if pair[0] not in _HOP_BY_HOP_HEADERS]


def _has_events(head: ResponseHead) -> bool:
    """Return whether the body is a series of events, as if nothing is said."""
    content_type = head.get(b'content-type') or _EVENT_STREAM
    return content_type.lower().startswith(_EVENT_STREAM)


def _is_stale(metadata: ResponseMetadata, request_id: bytes) -> bool:
    if metadata.request_id:
        return metadata.request_id != request_id
    # Only a rejection may lack a request id; any other response without one
    # belongs to another request.
    return not metadata.is_not_run
