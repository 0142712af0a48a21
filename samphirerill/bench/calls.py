"""Callers of the benches: streamed requests on one loop, each timed.

A caller notes when each token came and what it was, so that the oracle can
tell whole answers from broken, doubled or foreign ones.
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
class Ask:
    """One request to send; `due_at` is when it arrives, whatever happens.

    `extra` is added to its body, for calls that go to an engine directly.
    """

    due_at: float
    prompt: str
    tokens: int
    key: str
    route: str = 'plans'
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Got:
    """What came of one request; times are of the monotonic clock."""

    ask: Ask
    status: int = 0
    outcome: str = ''
    code: str = ''
    texts: list[str] = field(default_factory=list)
    token_times: list[float] = field(default_factory=list)
    ended_at: float = 0
    broken: bool = False
    address: str = ''

    @property
    def first_token_s(self) -> float:
        """Seconds from when the request was due to its first token."""
        return self.token_times[0] - self.ask.due_at

    @property
    def is_answered(self) -> bool:
        """Whether the caller was told that the answer is whole."""
        return self.outcome == 'answered'


class CallerProtocol(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, got: Got, request: bytes) -> None:
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._got = got
        self._request = request
        self._parser = HttpResponseParser(self)
        self._rest = b''
        self._whole = False
        self._transport: Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        self._transport = transport
        self._transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        try:
            self._parser.feed_data(data)
        except HttpParserError:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self._got.ended_at = time.monotonic()
        self._got.broken = not self._whole
        if not self.ended.done():
            self.ended.set_result(None)

    def on_header(self, name: bytes, text: bytes) -> None:
        """Note the outcome of an answer that is not streamed."""
        if name.lower() == b'samphirerill-outcome':
            self._got.outcome = text.decode()

    def on_body(self, body: bytes) -> None:
        """Take tokens as they come."""
        self._got.status = self._parser.get_status_code()
        self._rest += body
        if self._got.status != _OK:
            return
        events = self._rest.split(b'\n\n')
        self._rest = events.pop()
        now = time.monotonic()
        for event in events:
            self._read_event(event, now)

    def on_message_complete(self) -> None:
        """Note that the answer came to its proper end."""
        self._whole = True
        if self._got.status != _OK and self._rest:
            document = json.loads(self._rest)
            self._got.code = document['title']
        self._transport.close()

    def _read_event(self, event: bytes, now: float) -> None:
        payload = event[len(_DATA) :]
        if not event.startswith(_DATA):
            return
        if payload == _DONE:
            self._got.outcome = self._got.outcome or 'answered'
            return
        document = json.loads(payload)
        failure = document.get('error')
        if failure:
            self._got.outcome = failure.get('outcome', '')
            self._got.code = failure.get('title', failure.get('code', ''))
        elif document['choices']:
            self._got.texts.append(document['choices'][0]['text'])
            self._got.token_times.append(now)
        else:
            self._got.outcome = document['samphirerill']['outcome']


async def send_ask(address: str, ask: Ask, got: Got, limit_s: float) -> bool:
    """Send one request and wait for its end.

    Returns
    -------
    bool
        Whether a connection was made; if not, nothing was sent.
    """
    host, _, port = address.rpartition(':')
    request = _build_request(ask)
    loop = asyncio.get_running_loop()
    try:
        transport, protocol = await loop.create_connection(
            lambda: CallerProtocol(got, request), host, int(port)
        )
    except OSError:
        return False
    try:
        await asyncio.wait_for(protocol.ended, limit_s)
    except TimeoutError:
        got.broken = True
        got.ended_at = time.monotonic()
        transport.abort()
    return True


def _build_request(ask: Ask) -> bytes:
    body = json.dumps(
        {
            'model': ask.route,
            'prompt': ask.prompt,
            'max_tokens': ask.tokens,
            'stream': True,
            **ask.extra,
        }
    ).encode()
    head = (
        'POST /v1/completions HTTP/1.1\r\n'
        'Host: bench\r\n'
        f'Authorization: Bearer {ask.key}\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
