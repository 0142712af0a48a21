"""HTTP client of the benchmarks: streamed requests on one event loop.

It records the text and the arrival time of every token, so that the oracle can
distinguish complete answers from truncated, duplicated or mixed-up ones.
"""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from httptools import HttpParserError, HttpResponseParser

_DATA = b'data: '
_DONE = b'[DONE]'
_OK = 200


@dataclass(slots=True)
class ClientRequest:
    """A request to send at the time `due_at`, whether or not others have ended.

    `extra` is added to the body, for requests sent to an engine directly.
    """

    due_at: float
    prompt: str
    token_count: int
    api_key: str
    route: str = 'plans'
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class RequestResult:
    """Response to a request; times are of the monotonic clock."""

    request: ClientRequest
    status: int = 0
    outcome: str = ''
    code: str = ''
    texts: list[str] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)
    ended_at: float = 0
    is_broken: bool = False
    address: str = ''

    @property
    def first_token_s(self) -> float:
        """Seconds from the time the request was due to its first token."""
        return self.token_times[0] - self.request.due_at

    @property
    def is_answered(self) -> bool:
        """Whether the response states that it is complete."""
        return self.outcome == 'answered'


class ClientProtocol(asyncio.Protocol):
    """Client connection for one request."""

    def __init__(self, result: RequestResult, payload: bytes) -> None:
        self.closed: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._result = result
        self._payload = payload
        self._parser = HttpResponseParser(self)
        self._buffer = b''
        self._is_complete = False
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = transport
        self._transport.write(self._payload)

    def data_received(self, data: bytes) -> None:
        """Feed received bytes to the parser."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        self._result.ended_at = time.monotonic()
        self._result.is_broken = not self._is_complete
        if not self.closed.done():
            self.closed.set_result(None)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Record the outcome of a response that is not streamed."""
        if name.lower() == b'samphirerill-outcome':
            self._result.outcome = text.decode()

    def on_body(self, body: bytes) -> None:
        """Record the tokens in a chunk of the body."""
        self._result.status = self._parser.get_status_code()
        self._buffer += body
        if self._result.status != _OK:
            return
        events = self._buffer.split(b'\n\n')
        self._buffer = events.pop()
        now = time.monotonic()
        for event in events:
            self._read_event(event, now)

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self._is_complete = True
        if self._result.status != _OK and self._buffer:
            document = json.loads(self._buffer)
            self._result.code = document['title']
        self._transport.close()

    def _read_event(self, event: bytes, now: float) -> None:
        payload = event[len(_DATA) :]
        if not event.startswith(_DATA):
            return
        if payload == _DONE:
            self._result.outcome = self._result.outcome or 'answered'
            return
        document = json.loads(payload)
        failure = document.get('error')
        if failure:
            self._result.outcome = failure.get('outcome', '')
            self._result.code = failure.get('title', failure.get('code', ''))
        elif document['choices']:
            self._result.texts.append(document['choices'][0]['text'])
            self._result.token_times.append(now)
        else:
            self._result.outcome = document['samphirerill']['outcome']


async def send_request(
    address: str,
    request: ClientRequest,
    result: RequestResult,
    timeout_s: float,
) -> bool:
    """Send one request and wait until its response has ended.

    Returns
    -------
    bool
        Whether the connection was established; if not, nothing was sent.
    """
    host, _, port = address.rpartition(':')
    payload = _serialize_request(request)
    loop = asyncio.get_running_loop()
    try:
        transport, protocol = await loop.create_connection(
            lambda: ClientProtocol(result, payload), host, int(port)
        )
    except OSError:
        return False
    try:
        await asyncio.wait_for(protocol.closed, timeout_s)
    except TimeoutError:
        result.is_broken = True
        result.ended_at = time.monotonic()
        transport.abort()
    return True


def _serialize_request(request: ClientRequest) -> bytes:
    body = json.dumps(
        {
            'model': request.route,
            'prompt': request.prompt,
            'max_tokens': request.token_count,
            'stream': True,
            **request.extra,
        }
    ).encode()
    head = (
        'POST /v1/completions HTTP/1.1\r\n'
        'Host: bench\r\n'
        f'Authorization: Bearer {request.api_key}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
