"""One HTTP call to an endpoint, on the loop.

Each attempt has a connection of its own, made for it and closed after it. A
kept-alive connection that the endpoint had closed would look like a refused
request although the request may have run; with a new connection, a failed
connect surely ran nothing, and everything after the first byte may have run.
"""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from typing import TYPE_CHECKING, Any, Protocol

from httptools import HttpParserError, HttpResponseParser

from samphirerill.core.events import AttemptBroke, AttemptSent

if TYPE_CHECKING:
    from samphirerill.core.commands import Stage

CONNECT_TIMEOUT_S = 0.5


class Sink(Protocol):
    """Whoever hears what becomes of a call."""

    def apply(self, event: object) -> None:
        """Take one event for the decision core."""


class Call(asyncio.Protocol):
    """The connection of one attempt.

    Parameters
    ----------
    attempt_id : str
        Named in every event.
    request : bytes
        The whole HTTP request.
    sink : Sink
        Hears the events.
    """

    def __init__(self, attempt_id: str, request: bytes, sink: Sink) -> None:
        self.attempt_id = attempt_id
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self._request = request
        self._sink = sink
        self._transport: Any = None
        self._parser = HttpResponseParser(self)
        self._ended = False
        self._paused = False

    async def open(self, address: str) -> None:
        """Connect and send; a failure to connect is told as an event."""
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.create_connection(lambda: self, host, int(port)),
                CONNECT_TIMEOUT_S,
            )
        except (OSError, TimeoutError) as exc:
            self._break(f'no connection: {exc}', connected=False)

    def close(self) -> None:
        """End the call without telling anybody; the endpoint stops work."""
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def pause(self) -> None:
        """Read nothing more until ``resume``; the caller is slow."""
        self._paused = True
        if self._transport is not None and not self._ended:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        self._paused = False
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request, and say so first."""
        self._transport = transport
        if self._ended:
            self._transport.abort()
            return
        self._sink.apply(AttemptSent(self.attempt_id))
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if self._ended:
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            self._break(f'got an answer that is not HTTP: {exc}')

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell that the connection ended before the answer did."""
        self._break('the connection closed before the answer was whole')

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take one header of the answer."""
        pair = (name.decode('latin-1'), text.decode('latin-1'))
        self.headers.append(pair)

    def on_headers_complete(self) -> None:
        """Take the status."""
        self.status = self._parser.get_status_code()

    @abstractmethod
    def on_body(self, body: bytes) -> None:
        """Take a part of the answer."""

    @abstractmethod
    def on_message_complete(self) -> None:
        """Take the end of the answer."""

    def _tell(self, event: object) -> None:
        if not self._ended:
            self._sink.apply(event)

    def _break(
        self, detail: str, *, connected: bool = True, stage: int = -1
    ) -> None:
        """Tell once that the attempt broke, and close its connection."""
        if self._ended:
            return
        event = AttemptBroke(self.attempt_id, detail, stage, connected)
        self._sink.apply(event)
        self.close()


def build_request(
    method: str,
    target: str,
    stage: Stage,
    headers: list[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Return an HTTP/1.1 request whose connection ends with its answer."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {stage.address}',
        'Connection: close',
        f'Content-Length: {len(body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in headers)
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
