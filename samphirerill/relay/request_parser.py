"""Parse the requests of one client connection.

Whatever bytes a client sends, the result is a sequence of requests or an error.
Requests that two parsers could read differently are rejected, which prevents
request smuggling.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from samphirerill.relay.request import Request
from samphirerill.relay.request_validation import validate_head

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import ClientLimits
    from samphirerill.relay.connection import Headers

_MAX_HEADERS = 100
_MAX_TARGET_BYTES = 8192
# What the lines of a head take up beside names, values and target.
_HEAD_FRAMING_BYTES = 1024
# What each byte of a body may take up in addition, as a chunk of its own.
_CHUNK_FRAMING_BYTES = 16
# Limits are checked after each slice of what was received.
_SLICE_BYTES = 4096
# Headers that frame a body, and a request line to replay them to a parser.
_FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))
_REPLAY_REQUEST_LINE = b'POST / HTTP/1.1'
_OLD_VERSION = '1.0'


class RequestError(Exception):
    """A request is malformed or too large.

    Parameters
    ----------
    status : int
        The status to reject it with.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f'request rejected with status {status}')
        self.status = status


class RequestReceiver(Protocol):
    """Informed of the requests while they are being read."""

    def request_begun(self) -> None:
        """Handle the first bytes of a request."""

    def head_received(self) -> None:
        """Handle the end of a request head."""

    def request_received(self, req: Request) -> None:
        """Handle a complete request."""


class RequestParser:
    """Parses the requests of one connection.

    Parameters
    ----------
    receiver : RequestReceiver
        Informed of the requests.
    get_limits : callable
        Returns the limits on requests; called at the start of each.

    Attributes
    ----------
    limits : ClientLimits
        The limits on the request that is read, or was read last.
    is_reading : bool
        Whether a request has begun and is not complete.
    awaits_continue : bool
        Whether its client waits for an interim response to send the body.
    body_pieces : int
        In how many pieces bodies came, in all.
    """

    __slots__ = (
        '_get_limits',
        '_header_bytes',
        '_headers',
        '_http_parser',
        '_part_bytes',
        '_receiver',
        '_reject_status',
        '_replayed_request',
        '_request',
        '_target',
        '_unframed_bytes',
        '_upgrade_request',
        'awaits_continue',
        'body_pieces',
        'is_reading',
        'limits',
    )

    def __init__(
        self, receiver: RequestReceiver, get_limits: Callable[[], ClientLimits]
    ) -> None:
        self.limits = get_limits()
        self.is_reading = False
        self.awaits_continue = False
        self.body_pieces = 0
        self._receiver = receiver
        self._get_limits = get_limits
        self._http_parser = HttpRequestParser(self)
        # The request whose body is being read.
        self._request: Request | None = None
        # A request that offers a protocol upgrade, before and after the parser
        # is replaced.
        self._upgrade_request: Request | None = None
        self._replayed_request: Request | None = None
        self._target: list[bytes] = []
        self._headers: Headers = []
        self._header_bytes = 0
        # Bytes received for the current request, or before the next one. The
        # HTTP parser keeps an incomplete header field without a callback.
        self._unframed_bytes = 0
        # The size of the slice that is parsed.
        self._part_bytes = 0
        self._reject_status = 0

    @property
    def incomplete(self) -> Request | None:
        """Return the request whose body is being read, if any.

        It arrived, so far, when its head was complete.
        """
        return self._request

    @property
    def held_bytes(self) -> int:
        """Return the size of what is kept of an incomplete request."""
        if self._request is None:
            return self._unframed_bytes if self.is_reading else 0
        return self._request.size + len(self._request.received)

    def feed(self, data: bytes) -> None:
        """Parse bytes of the client.

        Raises
        ------
        RequestError
            A request is malformed or too large.
        """
        for start in range(0, len(data), _SLICE_BYTES):
            part = data[start : start + _SLICE_BYTES]
            self._part_bytes = len(part)
            try:
                self._parse(part)
            except HttpParserError as exc:
                status = self._reject_status or HTTPStatus.BAD_REQUEST
                raise RequestError(status) from exc
            self._limit_unframed()

    def discard(self) -> None:
        """Release what was read of a request that is rejected."""
        self._http_parser = HttpRequestParser(self)
        self._request = None
        self._target = []
        self._headers = []
        self._unframed_bytes = 0

    def on_message_begin(self) -> None:
        """Parser callback: a request starts."""
        if self._replayed_request is not None:
            return
        self._target = []
        self._headers = []
        self._header_bytes = 0
        self._skip_part()
        self.is_reading = True
        self.limits = self._get_limits()
        self._receiver.request_begun()

    def on_url(self, url: bytes) -> None:
        """Parser callback: a part of the request target."""
        if self._replayed_request is not None:
            return
        self._target.append(url)
        self._count_header(len(url), _MAX_TARGET_BYTES)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Parser callback: one header, or a trailer after the body."""
        if self._replayed_request is not None:
            return
        # Trailers are dropped: they could add to the headers after validation.
        if self._request is None:
            self._headers.append((name.lower(), text.strip()))
        self._count_header(len(name) + len(text), self.limits.max_header_bytes)
        if len(self._headers) > _MAX_HEADERS:
            self._abort(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def on_headers_complete(self) -> None:
        """Parser callback: the request head is complete."""
        if self._replayed_request is not None:
            self._request = self._replayed_request
            self._replayed_request = None
            return
        req = self._build_request()
        req.head_bytes = self._header_bytes
        status = validate_head(req, self.limits)
        if status:
            self._abort(status)
        expected = (req.get(b'expect') or b'').lower()
        self.awaits_continue = expected == b'100-continue'
        self._receiver.head_received()
        self._request = req
        if self._http_parser.should_upgrade():
            self._upgrade_request = req

    def on_body(self, body: bytes) -> None:
        """Parser callback: bytes of the body."""
        req = self._request
        if req is None:
            return
        self.body_pieces += 1
        req.received += body
        if len(req.received) > self.limits.max_body_bytes:
            self._abort(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete."""
        if self._upgrade_request is not None:
            # The parser stops here; its replacement reads the body.
            return
        req = self._request
        self._request = None
        self._skip_part()
        self.is_reading = False
        self.awaits_continue = False
        if req is None:
            return
        req.body = bytes(req.received)
        req.received = bytearray()
        req.arrived_at = asyncio.get_running_loop().time()
        self._receiver.request_received(req)

    def _skip_part(self) -> None:
        """Begin to count with the next slice, as this one has two requests."""
        self._unframed_bytes = -self._part_bytes

    def _limit_unframed(self) -> None:
        """Count a slice of received bytes; reject what has no end.

        That is a header field, a trailer, the extension of a chunk, or empty
        lines between requests.
        """
        self._unframed_bytes += self._part_bytes
        allowed = self.limits.max_header_bytes + _HEAD_FRAMING_BYTES
        if self._request is not None:
            framed = len(self._request.received)
            allowed += framed * (1 + _CHUNK_FRAMING_BYTES)
        if self._unframed_bytes > allowed:
            raise RequestError(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
                if self.is_reading
                else HTTPStatus.BAD_REQUEST
            )

    def _parse(self, data: bytes) -> None:
        while data:
            try:
                self._http_parser.feed_data(data)
            except HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                self._ignore_upgrade()
            else:
                return

    def _ignore_upgrade(self) -> None:
        """Ignore an offer to upgrade the protocol.

        The parser stops at the head of such a request. A new parser gets the
        framing headers again, so that the body is read as a body and not as
        another request.
        """
        req = self._upgrade_request
        self._upgrade_request = None
        if req is None:
            raise HttpParserError('upgrade without a request')
        framing = [
            b'%b: %b' % pair
            for pair in req.headers
            if pair[0] in _FRAMING_HEADERS
        ]
        self._http_parser = HttpRequestParser(self)
        self._replayed_request = req
        self._http_parser.feed_data(
            b'\r\n'.join((_REPLAY_REQUEST_LINE, *framing, b'', b''))
        )

    def _build_request(self) -> Request:
        return Request(
            self._http_parser.get_method(),
            b''.join(self._target),
            self._headers,
            asyncio.get_running_loop().time(),
            keeps_alive=self._http_parser.should_keep_alive(),
            accepts_chunks=(
                self._http_parser.get_http_version() != _OLD_VERSION
            ),
        )

    def _count_header(self, size: int, limit: int) -> None:
        self._header_bytes += size
        if self._header_bytes > limit:
            self._abort(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _abort(self, status: int) -> None:
        """Stop the parser; `feed` raises the error."""
        self._reject_status = self._reject_status or status
        raise ValueError(status)
