"""HTTP/1.1 server for client connections, on the asyncio loop.

A connection serves one request at a time. Whatever bytes a client sends, it
gets a well-formed response or a close.
"""

from __future__ import annotations

import asyncio
from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from samphirerill.node.logs import get_logger
from samphirerill.relay.client_intake import ClientIntake
from samphirerill.relay.client_output import ClientOutput
from samphirerill.relay.client_wait import ClientWait
from samphirerill.relay.closed_connections import (
    ClosedConnection,
    CloseReason,
)
from samphirerill.relay.lingering_close import LingeringClose
from samphirerill.relay.request import Request
from samphirerill.relay.request_parser import RequestError, RequestParser
from samphirerill.relay.sockets import RECEIVE_BUFFER_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import ClientLimits
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.connection_limit import ConnectionLimit

__all__ = ('ClientConnection', 'Request', 'RequestHandler')
_LOG = get_logger('callers')
# Reading pauses while this many requests are queued on a connection.
_MAX_PIPELINED = 8
_READ_BYTES = 16_384
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))
# Input in more pieces than this in one read takes long to parse.
_MAX_BODY_PIECES = 64
# How long a draining node waits for the first request of a new connection.
_FIRST_REQUEST_TIMEOUT_S = 1.0
# For clients whose requests were rejected for their memory.
_RETRY_AFTER_S = b'1'
_REASONS = {
    status.value: status.phrase.encode('latin-1') for status in HTTPStatus
}


class RequestHandler(Protocol):
    """Serves requests; cancelled if the client disconnects."""

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Serve one request."""

    def get_limits(self) -> ClientLimits:
        """Return the limits on client requests."""

    def is_draining(self) -> bool:
        """Return whether connections should close after their response."""


class ClientConnection(asyncio.BufferedProtocol):
    """The connection of one client.

    Parameters
    ----------
    handler : RequestHandler
        Serves the requests.
    connections : set
        All open connections; this one adds and removes itself.
    record_close : callable, optional
        Called once when this node or the client has closed the connection.
    intake : ClientIntake, optional
        Bounds the input of all connections.
    limit : ConnectionLimit, optional
        Limits the number of connections.

    Attributes
    ----------
    is_busy : bool
        Whether a request is in progress.
    response_started : bool
        Whether the response to the current request has started.
    """

    # Fakes of endpoints have an output of their own.
    build_output = ClientOutput

    def __init__(
        self,
        handler: RequestHandler,
        connections: set[ClientConnection],
        record_close: Callable[[ClosedConnection], None] | None = None,
        intake: ClientIntake | None = None,
        limit: ConnectionLimit | None = None,
    ) -> None:
        self.is_busy = False
        self.response_started = False
        self._handler = handler
        self._connections = connections
        self._record_close = record_close
        self._limit = limit
        self._close_reason: CloseReason | None = None
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._parser = RequestParser(self, handler.get_limits)
        self._queue: deque[Request] = deque()
        self._queued_bytes = 0
        self._is_deferred = False
        # Whether the transport does not read.
        self._is_paused = False
        self._intake = intake or ClientIntake()
        self._share = self._intake.memory.open(self._reject_unserved)
        self._output = self.build_output(
            self._intake.responses.open_unread(self._abort_slow_client),
            self._abort_slow_client,
        )
        self._closer = LingeringClose(self._output, self._abort_slow_client)
        self._wait = ClientWait(
            self._parser,
            self._output,
            handler.get_limits,
            self._intake.get_body_time_s,
            self._end_wait,
        )
        # The request that is served, or was served last.
        self._served: Request | None = None
        self._served_count = 0
        # The status of a request that was rejected, if any.
        self._reject_status = 0
        self._task: asyncio.Task[None] | None = None
        self._keeps_alive = True
        self._is_input_ignored = False
        self._closing = False

    @property
    def has_pending_work(self) -> bool:
        """Return whether a request is in progress or its response unsent.

        A response may still be buffered for a client with a slow link; closing
        the connection would truncate it.
        """
        return self.is_busy or self._output.unsent_bytes > 0

    @property
    def unused_since(self) -> float:
        """Return since when no request was served, on the loop's clock.

        It is the smallest for a connection that waits for its client's close.
        """
        return float('-inf') if self._closing else self._wait.idle_since

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start waiting for the first request."""
        self._transport = transport
        self._output.open(transport)
        self._wait.start()
        is_admitted = self._limit is None or self._limit.admit()
        self._connections.add(self)
        if not is_admitted:
            self._close(CloseReason.CONNECTION_LIMIT)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, as the client has disconnected."""
        self._connections.discard(self)
        self._share.close()
        self._wait.stop()
        self._closer.stop()
        is_own_error = exc is not None and not isinstance(exc, OSError)
        self._note_close(
            CloseReason.SERVER_ERROR if is_own_error else CloseReason.CLIENT
        )
        self._report_close()
        self._output.discard()
        if self._task is not None:
            self._task.cancel()
        # The connection and its parser refer to each other, so that they may
        # stay in memory for long.
        self._parser.discard()
        self._queue.clear()
        self._served = None
        self._task = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which is parsed at once."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Handle a read."""
        self.data_received(bytes(_READ_BUFFER[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._is_input_ignored or self._closing:
            return
        pieces = self._parser.body_pieces
        started_at = self._loop.time()
        try:
            self._parser.feed(data)
        except RequestError as exc:
            self._reject(exc.status)
            return
        finally:
            self._record_unserved()
        self._share.enforce(self._parser.limits)
        if self._parser.body_pieces - pieces > _MAX_BODY_PIECES:
            self._defer_reading(self._loop.time() - started_at)
        if self._may_limit_request():
            self._wait.start_for_body()

    def eof_received(self) -> bool:
        """Treat a half-closed connection as disconnected.

        A closed connection looks the same until something is written to it, and
        the work for a client that has left should stop at once.
        """
        self._note_close(CloseReason.CLIENT)
        return False

    def pause_writing(self) -> None:
        """Stop writing: the client reads slowly."""
        self._output.pause()

    def resume_writing(self) -> None:
        """Continue writing: the write buffer has drained."""
        self._output.resume()
        self._start_next()
        self._record_unserved()

    def request_begun(self) -> None:
        """Limit the time that the request head may take."""
        if self._may_limit_request():
            self._wait.start_for_head()

    def head_received(self) -> None:
        """Let the client send the body."""
        if not self.is_busy:
            self._send_continue()

    def request_received(self, req: Request) -> None:
        """Serve the request after those before it."""
        self._queue.append(req)
        self._queued_bytes += req.size
        self._update_reading()
        self._start_next()

    def start_response(
        self, status: int, headers: Headers, length: int | None
    ) -> None:
        """Write a response head; `length` is ``None`` if it is not known.

        The body is then sent in chunks, or ends with the connection for clients of
        HTTP/1.0.
        """
        self.response_started = True
        accepts_chunks = self._served is None or self._served.accepts_chunks
        if length is None and not accepts_chunks:
            self._keeps_alive = False
        if self._handler.is_draining() and not self._has_next():
            # Requests that were already begun are served before the close.
            self._keeps_alive = False
        lines = [b'HTTP/1.1 %d %b' % (status, _REASONS.get(status, b'Other'))]
        lines.extend(b'%b: %b' % pair for pair in headers)
        lines.extend(
            self._output.frame_body(length, accepts_chunks=accepts_chunks)
        )
        if self._keeps_alive:
            idle_timeout_s = self._handler.get_limits().idle_timeout_s
            self._wait.told_timeout_s = idle_timeout_s
            lines.append(b'keep-alive: timeout=%d' % int(idle_timeout_s))
        else:
            lines.append(b'connection: close')
            self._is_input_ignored = True
        self._output.write(b'\r\n'.join((*lines, b'', b'')))

    def write_body(self, body: bytes) -> None:
        """Write bytes of the response body."""
        if body:
            self._output.write_body(body)

    def finish_response(self) -> None:
        """Complete the response."""
        self._output.finish_response()

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Write a complete response."""
        self._output.hold()
        self.start_response(status, headers, len(body))
        self._output.release(body)

    def abort(self, reason: CloseReason = CloseReason.RESPONSE_ABORTED) -> None:
        """Abort the connection so that the response is seen as incomplete.

        By default, the handler could not complete the response.
        """
        self._keeps_alive = False
        self._note_close(reason)
        self._report_close()
        self._output.abort()

    def shut_down(self) -> None:
        """Close the connection because the node ends.

        A request in progress gets status 502, as it may have been executed; one
        that was not started gets 503, and one that is being read 408. A response
        that has started is aborted.
        """
        if self.is_busy and self.response_started:
            self.abort(CloseReason.SHUTDOWN)
            return
        if not self._closing:
            self._respond_to_all()
            self._close(CloseReason.SHUTDOWN)
        # The process may end before the transport has closed.
        self._report_close()

    def close_idle(self) -> None:
        """Close the connection if no request is in progress or being read.

        The first request of a new connection may be on its way.
        """
        if self.is_busy or self._has_next():
            return
        idle_s = self._loop.time() - self._wait.idle_since
        if self._served_count or idle_s >= _FIRST_REQUEST_TIMEOUT_S:
            self._close(CloseReason.DRAINING)

    def make_room(self) -> None:
        """Close the connection for a new one; no request is in progress."""
        if self._parser.is_reading and not self._closing:
            self._keeps_alive = False
            self.respond(HTTPStatus.REQUEST_TIMEOUT, [], b'')
        self._closing = True
        self._is_input_ignored = True
        # It does not count any more, although the transport closes later.
        self._connections.discard(self)
        self._note_close(CloseReason.CONNECTION_LIMIT)
        self._wait.stop()
        self._closer.close(self._transport)

    async def drain(self) -> None:
        """Wait until a slow client has read some of its response."""
        if self._output.is_blocked:
            await self._output.drain()

    def _abort_slow_client(self) -> None:
        _LOG.info(
            'client reads too slowly; closing its connection',
            extra={'unread_bytes': self._output.unsent_bytes},
        )
        self.abort(CloseReason.SLOW_CLIENT)

    def _send_continue(self) -> None:
        """Send the interim response that a client may wait for.

        It must not be sent within the response to an earlier request.
        """
        if self._parser.awaits_continue:
            self._parser.awaits_continue = False
            self._transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def _start_next(self) -> None:
        if self.is_busy or not self._queue or self._closing:
            return
        if self._output.is_blocked:
            # `resume_writing` continues when earlier responses have been read.
            self._wait.start_for_responses()
            return
        self.is_busy = True
        self._wait.stop()
        req = self._queue.popleft()
        size = req.size
        self._queued_bytes -= size
        self._share.set_served(size)
        self._update_reading()
        self._served = req
        self._served_count += 1
        self._output.begin_response()
        self._keeps_alive = req.keeps_alive
        self.response_started = False
        self._task = self._loop.create_task(self._serve(req))

    async def _serve(self, req: Request) -> None:
        await self._run_handler(req)
        if not (self._output.is_complete or self._transport.is_closing()):
            self._respond_failed()
        self.is_busy = False
        self._task = None
        self._served = req.without_body()
        self._share.set_served(0)
        if self._keeps_alive:
            self._continue_reading()
        elif self._handler.is_draining():
            self._close(CloseReason.DRAINING)
        else:
            self._close(CloseReason.LAST_RESPONSE)

    def _continue_reading(self) -> None:
        """Go on after a complete response."""
        if self._queue:
            self._start_next()
            self._record_unserved()
        elif self._reject_status:
            self._respond_rejection()
        else:
            self._send_continue()
            self._wait.start()

    def _may_limit_request(self) -> bool:
        """Return whether the timer is free for the request that is read.

        A response in progress has none, and one that is not read keeps it.
        """
        return not (self.is_busy or self._wait.is_for_responses)

    def _end_wait(self, reason: CloseReason) -> None:
        """Give up a client that was too slow, or that sends no request."""
        if reason is CloseReason.SLOW_REQUEST:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)
        elif reason is CloseReason.SLOW_CLIENT:
            self._abort_slow_client()
        else:
            self._close(reason)

    async def _run_handler(self, req: Request) -> None:
        """Run the handler; its errors must not affect other requests."""
        try:
            await self._handler.handle(req, self)
        except asyncio.CancelledError as exc:
            if self._task is None or self._task.cancelling():
                raise
            # Not this task was cancelled, but something that it waited for.
            _LOG.error('request failed', extra={'error': repr(exc)})
        except Exception as exc:  # noqa: BLE001
            _LOG.error('request failed', extra={'error': repr(exc)})

    def _respond_failed(self) -> None:
        """Complete a response that the handler left incomplete."""
        _LOG.error(
            'response was not completed',
            extra={'response_bytes': self._output.response_bytes},
        )
        if self.response_started:
            self.abort(CloseReason.HANDLER_ERROR)
        else:
            self.respond(HTTPStatus.BAD_GATEWAY, [], b'')

    def _reject(self, status: int) -> None:
        """Reject a malformed request, after the requests before it."""
        self._is_input_ignored = True
        self._reject_status = status
        self._parser.discard()
        if not (self.is_busy or self._queue):
            self._respond_rejection()

    def _reject_unserved(self) -> None:
        """Reject what is not being served, as it holds too much memory."""
        self._queue.clear()
        self._queued_bytes = 0
        self._update_reading()
        if self._reject_status:
            # The status was for what came after these requests.
            self._reject_status = HTTPStatus.SERVICE_UNAVAILABLE
        elif self._is_input_ignored or self._closing:
            self._parser.discard()
        else:
            self._reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def _defer_reading(self, cost_s: float) -> None:
        """Let others be read before what takes long to parse."""
        self._is_deferred = True
        self._update_reading()
        self._intake.pacing.defer(self._resume_deferred, cost_s)

    def _resume_deferred(self) -> None:
        self._is_deferred = False
        self._update_reading()

    def _update_reading(self) -> None:
        is_paused = self._is_deferred or len(self._queue) >= _MAX_PIPELINED
        if is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _record_unserved(self) -> None:
        size = self._queued_bytes + self._parser.held_bytes
        if self._is_paused:
            size += RECEIVE_BUFFER_BYTES
        self._share.set_unserved(size, self._loop.time())

    def _respond_rejection(self) -> None:
        status = self._reject_status
        self._keeps_alive = False
        headers = (
            [(b'retry-after', _RETRY_AFTER_S)]
            if status == HTTPStatus.SERVICE_UNAVAILABLE
            else []
        )
        self.respond(status, headers, b'')
        self._close(
            CloseReason.SLOW_REQUEST
            if status == HTTPStatus.REQUEST_TIMEOUT
            else CloseReason.MALFORMED_REQUEST
        )

    def _respond_to_all(self) -> None:
        """Respond to the requests that will not be served."""
        if self._task is not None:
            self._task.cancel()
            self.is_busy = False
            self._respond_unserved(
                HTTPStatus.BAD_GATEWAY, has_next=self._has_next()
            )
        while self._queue:
            self._queue.popleft()
            self._respond_unserved(
                HTTPStatus.SERVICE_UNAVAILABLE, has_next=self._has_next()
            )
        if self._parser.is_reading:
            self._respond_unserved(HTTPStatus.REQUEST_TIMEOUT, has_next=False)

    def _respond_unserved(self, status: int, *, has_next: bool) -> None:
        self._keeps_alive = has_next
        self.respond(status, [], b'')

    def _has_next(self) -> bool:
        """Return whether further requests are queued or being read."""
        return self._parser.is_reading or bool(self._queue)

    def _close(self, reason: CloseReason) -> None:
        if self._closing:
            return
        self._closing = True
        self._note_close(reason)
        self._wait.stop()
        if self._transport is None or self._transport.is_closing():
            return
        if self._keeps_alive:
            self._closer.close(self._transport)
        else:
            self._end_output()

    def _end_output(self) -> None:
        try:
            self._closer.end(self._transport)
        except OSError:
            # The client has left, which the loop has not read yet.
            self._close_reason = CloseReason.CLIENT
            self._transport.abort()

    def _note_close(self, reason: CloseReason) -> None:
        """Note why the connection is closed; the first reason counts."""
        self._close_reason = self._close_reason or reason

    def _report_close(self) -> None:
        """Report the closed connection, once."""
        record_close = self._record_close
        self._record_close = None
        if record_close is None or self._close_reason is None:
            return
        unsent_bytes = self._output.unsent_bytes
        unanswered = tuple(self._queue)
        if self._served is not None and (self.is_busy or unsent_bytes):
            unanswered = (self._served, *unanswered)
        record_close(
            ClosedConnection(
                self._close_reason,
                unanswered,
                self._output.response_bytes,
                unsent_bytes,
                self._served_count,
            )
        )
