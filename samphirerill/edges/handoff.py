"""A CherryPy server whose requests can be handed to the loop, socket and all.

CherryPy keeps one thread for each request until its answer is whole. For
streams that last a minute this costs ten times the processor time of a loop.
So threads only read and check a request; the connection then leaves the
server, and everything else happens on the loop.
"""

from __future__ import annotations

import json
import os
import socket
import time
from typing import TYPE_CHECKING, Any

from cheroot.server import HeaderReader, HTTPConnection, HTTPRequest
from cheroot.wsgi import Gateway_10, Server

from samphirerill.core.commands import Outcome, Problem
from samphirerill.node.answers import OUTCOME_HEADER, describe_problem
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = get_logger('http')
TAKERS = 'samphirerill.takers'
_IDLE_CONNECTIONS = 1000
# Thousands of small headers cost a thread as much as a large body.
_MOST_HEADERS = 100
# For so long what a refused caller still sends is read.
_LINGER_S = 0.5
_LEAST_WAIT_S = 0.001
_READ_BYTES = 65_536
_SINGLE = frozenset(
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
_TOKEN_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~0123456789"
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ'
)


class StrictHeaderReader(HeaderReader):
    """Refuses headers that two parties could read in two ways.

    With two lengths, or a length and a transfer coding, a balancer and this
    server may disagree on where a request ends; a stranger's bytes then
    become the start of the next caller's request.
    """

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read all headers; raise ``ValueError`` on an ambiguous one."""
        self._seen: set[bytes] = set()
        self._count = 0
        found: dict[bytes, bytes] = super().__call__(rfile, hdict)
        if b'Content-Length' in found and b'Transfer-Encoding' in found:
            raise ValueError('Both a length and a transfer coding.')
        length = found.get(b'Content-Length', b'0')
        if not length.isdigit():
            raise ValueError('The content length is no number.')
        return found

    def _transform_key(self, key_name: bytes) -> bytes:
        self._count += 1
        if self._count > _MOST_HEADERS:
            raise ValueError('There are too many headers.')
        if not key_name or not _TOKEN_BYTES.issuperset(key_name):
            raise ValueError('A header name has a forbidden character.')
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        if key_name in _SINGLE:
            if key_name in self._seen:
                raise ValueError('A header that may stand once stands twice.')
            self._seen.add(key_name)
        return b'_' not in key_name


class StrictRequest(HTTPRequest):
    """A request read with :class:`StrictHeaderReader`."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        # One reader a request: it remembers which headers it has seen.
        self.header_reader = StrictHeaderReader()

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Answer a request the server itself refuses by a problem document."""
        number, _, phrase = str(status).partition(' ')
        code = phrase.lower().replace(' ', '-') or 'refused'
        problem = Problem(int(number), code, msg or phrase, Outcome.NOT_RUN)
        body = json.dumps(describe_problem(problem, '')).encode()
        lines = (
            f'{self.server.protocol} {number} {phrase}',
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
            _read_rest(self.conn.socket)
        except OSError as exc:
            _LOG.info('caller left', extra={'error': repr(exc)})


def _read_rest(sock: socket.socket) -> None:
    """Read and drop what a caller still sends after its final answer.

    Closed with bytes unread, a connection is reset, and the answer is lost.
    """
    sock.shutdown(socket.SHUT_WR)
    deadline = time.monotonic() + _LINGER_S
    is_open = True
    while is_open and time.monotonic() < deadline:
        sock.settimeout(max(_LEAST_WAIT_S, deadline - time.monotonic()))
        try:
            is_open = bool(sock.recv(_READ_BYTES))
        except TimeoutError:
            return


class HandoffGateway(Gateway_10):
    """Calls the application, then hands the connection off if it asks to."""

    def get_environ(self) -> dict[str, Any]:  # type: ignore[override]
        """Add the list that the application may put a taker into.

        A list, because CherryPy works on a copy of the environment.
        """
        return {**super().get_environ(), TAKERS: []}

    def respond(self) -> None:
        """Answer as usual, or give the socket to the application's taker."""
        wsgi_app = self.req.server.wsgi_app
        response = wsgi_app(self.env, self.start_response)
        try:
            takers = self.env[TAKERS]
            if takers:
                self._hand_off(takers[0])
                return
            for chunk in filter(None, response):
                self.write(chunk)
        finally:
            if hasattr(response, 'close'):
                response.close()
        self.req.ensure_headers_sent()

    def _hand_off(self, taker: Callable[[socket.socket], None]) -> None:
        """Give away a duplicate and make the server forget the original.

        ``linger`` keeps the server from shutting the connection down when
        it drops its own descriptor; ``ready`` keeps it from sending headers.
        """
        conn = self.req.conn
        duplicate = socket.socket(fileno=os.dup(conn.socket.fileno()))
        duplicate.setblocking(False)  # noqa: FBT003
        self.req.close_connection = True
        self.req.ready = False
        self.req.chunked_write = False
        conn.linger = True
        conn.socket.close()
        taker(duplicate)


class StrictConnection(HTTPConnection):
    """A connection whose requests are strict ones."""

    RequestHandlerClass = StrictRequest


class HandoffServer(Server):
    """The server behind callers' and operators' interfaces."""

    ConnectionClass = StrictConnection
    keep_alive_conn_limit = _IDLE_CONNECTIONS

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.gateway = HandoffGateway

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Log the server's own messages like any other event."""
        _LOG.warning('server error', extra={'error': msg})
