"""A small HTTP/1.1 server for fakes, on asyncio and httptools.

Nodes do not use it.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from httptools import HttpParserError, HttpRequestParser

LEAVING_HEADERS = {'Server-Leaving': '1'}


@dataclass(slots=True)
class Request:
    """A complete request; header names are lower-case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    connection: Connection = field(repr=False)

    def read_json(self) -> Any:
        """Return the body as JSON, an empty body as an empty object."""
        return json.loads(self.body or b'{}')


Handler = Callable[[Request], Awaitable[None]]


class Connection(asyncio.Protocol):
    """A server connection that handles its requests sequentially.

    Parameters
    ----------
    handler : callable
        Awaited with each request; responds through the connection's methods.

    Attributes
    ----------
    common_headers : dict of str
        Headers of all responses.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.common_headers: dict[str, str] = {}
        self.transport: Any = None
        self.closed = False
        self.on_close: Callable[[], None] | None = None
        self._parser = HttpRequestParser(self)
        self._queue: asyncio.Queue[Request] = asyncio.Queue()
        self._reset()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start handling requests."""
        self.transport = transport
        self._task = asyncio.ensure_future(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop handling requests and call `on_close`."""
        self.closed = True
        self._task.cancel()
        if self.on_close is not None:
            self.on_close()

    def data_received(self, data: bytes) -> None:
        """Feed the parser; close the connection on invalid input."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._url += url.decode()

    def on_header(self, name: bytes, text: bytes) -> None:
        """Add a header."""
        self._headers[name.decode().lower()] = text.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        method = self._parser.get_method().decode()
        request = Request(
            method, self._url, self._headers, bytes(self._body), self
        )
        self._reset()
        self._queue.put_nowait(request)

    def answer(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response."""
        lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
        lines.extend(_format_headers(self.common_headers))
        lines.extend(_format_headers(headers))
        head = '\r\n'.join([*lines, '', '']).encode()
        if not self.closed:
            self.transport.write(head + body)

    def answer_json(
        self,
        document: Any,
        status: int = 200,
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a complete JSON response."""
        body = json.dumps(document).encode()
        content_type = {'Content-Type': 'application/json'}
        self.answer(status, body, {**content_type, **(headers or {})})

    def start_chunks(self, headers: dict[str, str] | None = None) -> None:
        """Send the head of a chunked response."""
        lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        lines.extend(_format_headers(self.common_headers))
        lines.extend(_format_headers(headers))
        if not self.closed:
            self.transport.write('\r\n'.join([*lines, '', '']).encode())

    def send_chunk(self, body: bytes) -> None:
        """Send one chunk; an empty chunk ends the response."""
        if not self.closed:
            self.transport.write(b'%x\r\n%b\r\n' % (len(body), body))

    def abort(self) -> None:
        """Abort the connection without a response."""
        if self.transport is not None:
            self.transport.abort()

    def _reset(self) -> None:
        self._url = ''
        self._headers: dict[str, str] = {}
        self._body = bytearray()

    async def _serve(self) -> None:
        while True:
            await self.handler(await self._queue.get())


def _format_headers(headers: dict[str, str] | None) -> list[str]:
    return [f'{name}: {text}' for name, text in (headers or {}).items()]
