"""A Cheroot HTTP server that can hand connections to the event loop.

Cheroot occupies one thread per request until its response is complete, which
is expensive for long streams. Here a thread only parses and validates the
request; the application can then detach the socket from the server, and the
event loop sends the response.
"""

from __future__ import annotations

import json
import os
import socket
import threading
import time
from collections import OrderedDict
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from samphirerill.core.commands import Outcome, Problem
from samphirerill.edges.chunked_body import ChunkedBody
from samphirerill.edges.timed_socket import TimedSocket
from samphirerill.node.log_rate import LogRate
from samphirerill.node.logs import get_logger
from samphirerill.node.responses import OUTCOME_HEADER, build_problem_document

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = get_logger('http')
SOCKET_HANDLERS = 'samphirerill.socket_handlers'
_MAX_KEEP_ALIVE_CONNECTIONS = 1000
_MAX_LOG_LINES_PER_S = 5
_DEFAULT_MAX_CONNECTIONS = 1000
# Bounds the CPU time spent on requests with many small headers.
_MAX_HEADERS = 100
_LINGERING_CLOSE_S = 0.5
_MIN_RECV_TIMEOUT_S = 0.001
_RECV_BYTES = 65_536
_SINGLE_VALUE_HEADERS = frozenset(
    (
        b'Authorization',
        b'Content-Length',
        b'Content-Type',
        b'Host',
        b'Idempotency-Key',
        b'Request-Timeout',
        b'Transfer-Encoding',
    )
)
_TOKEN_CHARACTERS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
)


class StrictHeaderReader(HeaderReader):
    """Rejects ambiguous headers, to prevent request smuggling.

    With two lengths, or a length and a transfer coding, a proxy and this
    server may disagree on where a request ends; bytes of one client could
    then be taken for the start of another client's request.
    """

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read all headers; raise ``ValueError`` if one is ambiguous."""
        self._seen_names: set[bytes] = set()
        self._header_count = 0
        headers: dict[bytes, bytes] = super().__call__(rfile, hdict)
        if b'Content-Length' in headers and b'Transfer-Encoding' in headers:
            raise ValueError('Both a length and a transfer coding.')
        declared_length = headers.get(b'Content-Length', b'0')
        if not declared_length.isdigit():
            raise ValueError('The content length is no number.')
        return headers

    def _transform_key(self, key_name: bytes) -> bytes:
        self._header_count += 1
        if self._header_count > _MAX_HEADERS:
            raise ValueError('There are too many headers.')
        if not key_name or not _TOKEN_CHARACTERS.issuperset(key_name):
            raise ValueError('A header name has a forbidden character.')
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in _SINGLE_VALUE_HEADERS:
            if key_name in self._seen_names:
                raise ValueError('A header that may stand once stands twice.')
            self._seen_names.add(key_name)
        return b'_' not in key_name


class StrictRequest(HTTPRequest):
    """A request whose headers :class:`StrictHeaderReader` reads."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # The reader keeps state per request, so it must not be shared.
        self.header_reader = StrictHeaderReader()

    def respond(self) -> None:
        """Call the application; as in cheroot, but for chunked bodies."""
        if not self.chunked_read:
            super().respond()
            return
        self.rfile = ChunkedBody(
            self.conn.rfile, self.server.max_request_body_size
        )
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Reject a request with a problem document (RFC 9457)."""
        status_code, _, reason = str(status).partition(' ')
        code = reason.lower().replace(' ', '-') or 'refused'
        problem = Problem(
            int(status_code), code, msg or reason, Outcome.NOT_RUN
        )
        body = json.dumps(build_problem_document(problem, '')).encode()
        lines = (
            f'{self.server.protocol} {status_code} {reason}',
            f'Content-Length: {len(body)}',
            'Content-Type: application/problem+json',
            f'{OUTCOME_HEADER}: {Outcome.NOT_RUN.value}',
            'Connection: close',
            '',
            '',
        )
        self.close_connection = True
        try:
            self.conn.wfile.write('\r\n'.join(lines).encode() + body)
            _discard_unread_input(self.conn.socket)
        except OSError as exc:
            _LOG.info(
                'caller closed the connection', extra={'error': repr(exc)}
            )


def _discard_unread_input(sock: socket.socket) -> None:
    """Discard what a client still sends after its final response.

    Closing a socket with unread input resets the connection, and the client
    may then lose the response.
    """
    sock.shutdown(socket.SHUT_WR)
    deadline = time.monotonic() + _LINGERING_CLOSE_S
    is_open = True
    while is_open and time.monotonic() < deadline:
        sock.settimeout(max(_MIN_RECV_TIMEOUT_S, deadline - time.monotonic()))
        try:
            is_open = bool(sock.recv(_RECV_BYTES))
        except TimeoutError:
            return


class HandoffGateway(Gateway_10):
    """Calls the application and detaches the socket if it asks for that."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Add the list to which the application may append a handler.

        A list, because CherryPy copies the environment.
        """
        return {**super().get_environ(), SOCKET_HANDLERS: []}

    def respond(self) -> None:
        """Send the response, or pass the socket to the appended handler."""
        wsgi_app = self.req.server.wsgi_app
        response = wsgi_app(self.env, self.start_response)
        try:
            socket_handlers = self.env[SOCKET_HANDLERS]
            if socket_handlers:
                self._hand_off(socket_handlers[0])
                return
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            if hasattr(response, 'close'):
                response.close()
        self.req.ensure_headers_sent()

    def _hand_off(
        self, socket_handler: Callable[[socket.socket], None]
    ) -> None:
        """Pass on a duplicate of the socket and detach the original.

        Setting ``linger`` keeps the server from shutting the connection down
        when it closes its own descriptor; clearing ``ready`` keeps it from
        sending headers.
        """
        conn = self.req.conn
        self.req.server.forget(conn)
        duplicate = socket.socket(fileno=os.dup(conn.socket.fileno()))
        duplicate.setblocking(False)  # noqa: FBT003
        self.req.close_connection = True
        self.req.ready = False
        self.req.chunked_write = False
        conn.linger = True
        conn.socket.close()
        socket_handler(duplicate)


class StrictConnection(HTTPConnection):
    """A connection whose requests are read by :class:`StrictRequest`.

    A client has `timeout` of the server for each request, and less while others
    wait for a thread.
    """

    RequestHandlerClass = StrictRequest

    def __init__(
        self, server: HandoffServer, sock: socket.socket, makefile: Any
    ) -> None:
        super().__init__(server, sock, makefile)
        self._timed_socket = TimedSocket(
            sock, server.timeout, server.has_waiting
        )
        self.rfile = makefile(self._timed_socket, 'rb', self.rbufsize)
        # Whether it has been handed to a thread before.
        self.is_known = False

    def communicate(self) -> bool:
        """Read a request and respond; return whether to keep the connection."""
        self.server.note_thread_found(self)
        self._timed_socket.start_request()
        return bool(super().communicate())

    def close(self) -> None:
        """Close the connection."""
        self.server.forget(self)
        super().close()


class HandoffServer(Server):
    """The HTTP server of the client and operator APIs."""

    ConnectionClass = StrictConnection
    keep_alive_conn_limit = _MAX_KEEP_ALIVE_CONNECTIONS

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = HandoffGateway
        self.max_connections = _DEFAULT_MAX_CONNECTIONS
        # Connections without a complete request, the longest unused first.
        self._unread: OrderedDict[StrictConnection, None] = OrderedDict()
        self._log_rate = LogRate(_MAX_LOG_LINES_PER_S)
        self._waiting = 0
        self._lock = threading.Lock()

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Send the server's own messages to the structured log."""
        _LOG.warning('server error', extra={'error': msg})

    def process_conn(self, conn: StrictConnection) -> None:
        """Let a thread read from a connection once there is something to read.

        cheroot hands a new connection to a thread at once, which would wait for
        its first byte.
        """
        if not conn.is_known:
            conn.is_known = True
            self._admit(conn)
            self.put_conn(conn)
            return
        with self._lock:
            self._waiting += 1
        super().process_conn(conn)

    def note_thread_found(self, conn: StrictConnection) -> None:
        """Count a connection as read that had waited for a thread."""
        with self._lock:
            self._waiting -= 1
            if conn in self._unread:
                self._unread.move_to_end(conn)

    def forget(self, conn: StrictConnection) -> None:
        """Stop counting a connection: it has ended or was handed off."""
        with self._lock:
            self._unread.pop(conn, None)

    def has_waiting(self) -> bool:
        """Return whether connections wait for a thread."""
        return self._waiting > 0

    def _admit(self, conn: StrictConnection) -> None:
        """Count a new connection; the longest unused one gives way."""
        with self._lock:
            self._unread[conn] = None
            if len(self._unread) <= self.max_connections:
                return
            unused, _ = self._unread.popitem(last=False)
        if self._log_rate.may_log(time.monotonic()):
            _LOG.warning(
                'connection closed for a new one',
                extra={'allowed': self.max_connections},
            )
        # The thread that reads from it, or will, closes it.
        with suppress(OSError):
            unused.socket.shutdown(socket.SHUT_RD)
