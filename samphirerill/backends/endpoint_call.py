"""HTTP calls to endpoints on the event loop.

Each attempt opens its own connection and closes it afterwards. On a reused
connection that the endpoint has closed in the meantime, it is unknown whether
the request was executed. With a new connection, a failed connect means that
the request was not executed; after the first byte is sent, it may have been.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING, Any, Protocol

from httptools import HttpParserError, HttpResponseParser

from samphirerill.backends.endpoint_headers import (
    emit_endpoint_events,
    emit_request_limit,
)
from samphirerill.backends.framing import Framing, find_framing
from samphirerill.backends.response_heads import (
    HeadChecker,
    ends_with_response,
)
from samphirerill.core.events import AttemptFailed, AttemptSent
from samphirerill.decoding.addresses import CONNECT_ERRORS

if TYPE_CHECKING:
    from samphirerill.core.commands import Stage

CONNECT_TIMEOUT_S = 0.5
_FIRST_FINAL_STATUS = 200
# The most bytes that a response may have in a row without any of its body: its
# head, the size of a chunk, or trailers.
MAX_HEAD_BYTES = 65_536


class EventSink(Protocol):
    """Receiver of the events of a call."""

    def apply(self, event: object) -> None:
        """Pass an event to the decision core."""


class EndpointCall(HeadChecker, asyncio.Protocol):
    """The connection of one attempt.

    Parameters
    ----------
    attempt_id : str
        Identifies the attempt in every event.
    stage : Stage
        The endpoint that is called.
    request : bytes
        The serialized HTTP request.
    sink : EventSink
        Receives the events.
    """

    def __init__(
        self, attempt_id: str, stage: Stage, request: bytes, sink: EventSink
    ) -> None:
        super().__init__()
        self.attempt_id = attempt_id
        self.stage = stage
        self.wants_no_requests = False
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self._request = request
        self._sink = sink
        self._transport: Any = None
        self._parser = HttpResponseParser(self)
        self._sent_at = 0.0
        # Whether the head, and whether the response is complete.
        self._has_head = False
        self._is_complete = False
        # The last bytes of the body.
        self._last_bytes = b''
        self._closed = False
        self._paused = False
        # Bytes received since the last ones of a body.
        self._head_bytes = 0

    async def open(self) -> None:
        """Connect and send; emits an event if the connection fails."""
        host, _, port = self.stage.address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.create_connection(lambda: self, host, int(port)),
                CONNECT_TIMEOUT_S,
            )
        except CONNECT_ERRORS as exc:
            self._fail(f'no connection: {exc}', connected=False)

    def close(self) -> None:
        """Abort the connection without an event; the endpoint stops work."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Stop reading until ``resume``, because the client reads slowly."""
        self._paused = True
        if self._transport is not None and not self._closed:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        self._paused = False
        if self._transport is not None and not self._closed:
            self._transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Emit ``AttemptSent``, then send the request."""
        self._transport = transport
        if self._closed:
            self._transport.abort()
            return
        self._sink.apply(AttemptSent(self.attempt_id))
        self._sent_at = asyncio.get_running_loop().time()
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        if self._closed:
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            # Bytes behind a complete response do no harm, unless the beginning
            # of another response has completed its body.
            if not self._is_complete or ends_with_response(self._last_bytes):
                self._fail(
                    self.defect or f'got an answer that is not HTTP: {exc}'
                )
        if self._is_complete:
            self.handle_end()
        if self._head_bytes > MAX_HEAD_BYTES:
            self._fail(
                f'got {self._head_bytes} bytes without a body, expected '
                f'{MAX_HEAD_BYTES} at most; it may have run'
            )

    def eof_received(self) -> None:
        """Complete a response that is delimited by the connection's end."""
        names = [name.lower().encode('latin-1') for name, _ in self.headers]
        framing = find_framing(self.status, names)
        if self._has_head and framing is Framing.CONNECTION:
            self.handle_end()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the attempt if the response was incomplete."""
        self._fail('the connection closed before the answer was whole')

    def on_header(self, name: bytes, header_value: bytes) -> None:
        """Store a response header; trailers are dropped."""
        if self._has_head:
            return
        header = (name.decode('latin-1'), header_value.decode('latin-1'))
        self.headers.append(header)

    def on_headers_complete(self) -> None:
        """Parser callback: a head is complete, which may be an interim one."""
        if self._has_head:
            # A second response.
            return
        self.check_head(
            (name.encode('latin-1'), text.encode('latin-1'))
            for name, text in self.headers
        )
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS:
            self.headers.clear()
            return
        self.status = status
        self._has_head = True
        if not self._closed:
            self.handle_head()

    def on_message_complete(self) -> None:
        """Parser callback: a response is complete, unless an interim one."""
        self._is_complete = self._has_head

    def handle_head(self) -> None:
        """Emit what the headers say of the endpoint."""
        self.wants_no_requests = emit_endpoint_events(
            self.stage.endpoint,
            self.stage.address,
            self.status,
            self.headers,
            self._sink,
        )
        emit_request_limit(
            self.stage.endpoint,
            self.stage.address,
            self.headers,
            self._sent_at,
            self._sink,
        )

    def on_body(self, body: bytes) -> None:
        """Parser callback: bytes of the body."""
        self._head_bytes = 0
        if not self._is_complete:
            self._last_bytes = body
            self.handle_body(body)

    @abstractmethod
    def handle_body(self, body: bytes) -> None:
        """Handle a chunk of the response body."""

    @abstractmethod
    def handle_end(self) -> None:
        """Handle the end of the response."""

    def _emit(self, event: object) -> None:
        if not self._closed:
            self._sink.apply(event)

    def _fail(
        self,
        detail: str,
        *,
        connected: bool = True,
        stage: int = -1,
        is_alive: bool = False,
    ) -> None:
        """Emit ``AttemptFailed`` once and close the connection."""
        if self._closed:
            return
        event = AttemptFailed(
            self.attempt_id, detail, stage, connected, is_alive
        )
        self._sink.apply(event)
        self.close()


def build_request(
    method: str,
    target: str,
    stage: Stage,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Serialize an HTTP/1.1 request for a non-persistent connection."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {stage.address}',
        'Connection: close',
        f'Content-Length: {len(body)}',
    ]
    lines.extend(f'{name}: {header_value}' for name, header_value in headers)
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
