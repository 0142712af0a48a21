"""A client connection: HTTP/1.1 calls to one address, one at a time.

The parser is `httptools`; asyncio carries the bytes. What arrives is handed
on as typed parts. A connection that got bytes while no call waited, or whose
answer had no length, is never used again.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from httptools import HttpParserError, HttpResponseParser

from samphirerill.node.loop_lag import lag_aware_timeout_at
from samphirerill.relay.errors import (
    BrokenAnswerError,
    ConnectError,
    NobodyListensError,
    SilentEndpointError,
    UnreachableError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

# A connection to an address that is gone hangs; a live one within a region
# answers in milliseconds. Another one is tried sooner than a lost packet of the
# handshake is sent again, which takes a second.
CONNECT_TIMEOUT_S = 0.3
_HIGH_WATER = 262_144
_DEFAULT_IDLE_S = 4.0
# A connection is given up this long before its peer would close it, or a
# call could meet the close.
_IDLE_MARGIN_S = 0.6
_NO_BODY = frozenset((204, 304))
_CONTINUE_END = 200
_NEVER = float('inf')

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Head:
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value."""
        for known, text in self.headers:
            if known == name:
                return text
        return None


@dataclass(slots=True)
class Part:
    """Bytes of the body."""

    body: bytes


@dataclass(slots=True)
class Whole:
    """The answer ended as its framing says."""


@dataclass(slots=True)
class Lost:
    """The connection ended before the answer did."""

    reason: str


class HttpConnection(asyncio.Protocol):
    """One connection; `read` yields the parts of the answer under way.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the peer.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.calls = 0
        self.idle_until = 0.0
        self.is_reusable = True
        # Called once, when the connection has ended for this side.
        self.on_end: Callable[[], None] | None = None
        self._transport: Any = None
        self._parser = HttpResponseParser(self)
        self._parts: deque[Head | Part | Whole | Lost] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._head: Head | None = None
        self._answering = False
        self._bodiless = False
        self._buffered = 0

    async def open(self, deadline: float = _NEVER) -> None:
        """Connect; raise ``ConnectError`` if that fails or takes long.

        Parameters
        ----------
        deadline : float
            On the loop's clock, if it is sooner than the usual one.
        """
        until = min(
            deadline, asyncio.get_running_loop().time() + CONNECT_TIMEOUT_S
        )
        try:
            await self._connect(until)
        finally:
            # Also when whoever waits is cancelled: a connection whose end is
            # not told would be counted for good.
            if not self.is_open():
                self.close()

    def send(self, call: bytes) -> None:
        """Send a whole call; its answer is read with ``read``."""
        self.calls += 1
        self._answering = True
        self._bodiless = call.startswith(b'HEAD ')
        if self.is_open():
            self._transport.write(call)

    async def read(self, deadline: float) -> Head | Part | Whole:
        """Return the next part of the answer.

        Parameters
        ----------
        deadline : float
            On the loop's clock.

        Raises
        ------
        BrokenAnswerError
            The connection ended, or sent what is no answer.
        SilentEndpointError
            Nothing came before the deadline.
        """
        if not self._parts:
            await self._wait(deadline)
        part = self._parts.popleft()
        if isinstance(part, Lost):
            self._parts.append(part)
            raise BrokenAnswerError(f'{self.address}: {part.reason}')
        if isinstance(part, Part):
            self._drained(len(part.body))
        return part

    async def wait_for_part(self, deadline: float) -> None:
        """Wait until there is something to read; it stays to be read.

        Raises what `read` raises.
        """
        if not self._parts:
            await self._wait(deadline)
        part = self._parts[0]
        if isinstance(part, Lost):
            raise BrokenAnswerError(f'{self.address}: {part.reason}')

    def await_next_response(self) -> None:
        """Go on reading: the answer just read was to somebody else."""
        self._answering = True

    def is_open(self) -> bool:
        """Return whether calls can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def is_usable(self, now: float) -> bool:
        """Return whether another call may be sent.

        Bytes left over are an answer to nobody; they must not become the
        next caller's.
        """
        if self._parts or self._head is not None or self._answering:
            return False
        return self.is_reusable and self.is_open() and now < self.idle_until

    def close(self) -> None:
        """Close at once; an endpoint at work stops then."""
        self.is_reusable = False
        self._tell_end()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport; calls are small and must not wait."""
        self._transport = transport
        sock = transport.get_extra_info('socket')
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Feed the parser."""
        if not self._answering:
            # Nobody asked for these bytes: they may be a second answer to
            # a call that is over, and would be taken for the next one's.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            self._lose(f'got bytes that are no answer: {exc}')
            self.close()

    def eof_received(self) -> None:
        """End an answer without a length; any other one is cut."""
        if self._answering and self._head is not None and self._is_unframed():
            self._answering = False
            self.is_reusable = False
            self._push(Whole())

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell whoever reads."""
        self.is_reusable = False
        self._tell_end()
        self._lose('the connection closed' if exc is None else repr(exc))

    def on_header(self, name: bytes, text: bytes) -> None:
        """Parser: collect a header."""
        if self._head is None:
            self._head = Head(0)
        self._head.headers.append((name.lower(), text.strip()))

    def on_headers_complete(self) -> None:
        """Parser: the head is whole."""
        if self._head is None:
            self._head = Head(0)
        self._head.status = self._parser.get_status_code()
        if self._head.status < _CONTINUE_END:
            self._head = None
            return
        self._note_keep_alive(self._head)
        self._push(self._head)
        if self._bodiless:
            # The parser would wait for a body that never comes.
            self.is_reusable = False
            self._push(Whole())

    def on_body(self, body: bytes) -> None:
        """Parser: bytes of the body."""
        self._buffered += len(body)
        if self._buffered > _HIGH_WATER and self.is_open():
            self._transport.pause_reading()
        self._push(Part(body))

    def on_message_complete(self) -> None:
        """Parser: the answer is whole."""
        if self._head is None:
            return
        self._head = None
        self._answering = False
        self._push(Whole())

    async def _connect(self, until: float) -> None:
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            async with lag_aware_timeout_at(until):
                await loop.create_connection(lambda: self, host, int(port))
        except ConnectionRefusedError as exc:
            raise NobodyListensError(f'{self.address}: {exc!r}') from exc
        except TimeoutError as exc:
            raise UnreachableError(f'{self.address}: {exc!r}') from exc
        except (OSError, ValueError) as exc:
            raise ConnectError(f'{self.address}: {exc!r}') from exc

    def _tell_end(self) -> None:
        tell = self.on_end
        self.on_end = None
        if tell is not None:
            tell()

    async def _wait(self, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        try:
            async with asyncio.timeout_at(deadline):
                await self._waiter
        except TimeoutError as exc:
            # A loop that was blocked reads what has come just before its timers
            # fire.
            if not self._parts:
                raise SilentEndpointError(f'{self.address}: no answer') from exc
        finally:
            self._waiter = None

    def _push(self, part: Head | Part | Whole | Lost) -> None:
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _lose(self, reason: str) -> None:
        self._answering = False
        self._push(Lost(reason))

    def _drained(self, size: int) -> None:
        paused = self._buffered > _HIGH_WATER
        self._buffered -= size
        if paused and self._buffered <= _HIGH_WATER and self.is_open():
            self._transport.resume_reading()

    def _is_unframed(self) -> bool:
        if self._head is None or self._head.status in _NO_BODY:
            return False
        has_length = self._head.get(b'content-length') is not None
        return not has_length and self._head.get(b'transfer-encoding') is None

    def _note_keep_alive(self, head: Head) -> None:
        if (head.get(b'connection') or b'').lower() == b'close':
            self.is_reusable = False
        now = asyncio.get_running_loop().time()
        self.idle_until = now + _read_idle_s(head) - _IDLE_MARGIN_S


def build_call(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Return a whole HTTP/1.1 request."""
    lines = [b'%b %b HTTP/1.1' % (method, target)]
    lines.extend(b'%b: %b' % pair for pair in headers)
    if body or method not in (b'GET', b'HEAD', b'DELETE', b'OPTIONS'):
        lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join((*lines, b'', body))


def _read_idle_s(head: Head) -> float:
    for word in (head.get(b'keep-alive') or b'').split(b','):
        name, _, text = word.strip().partition(b'=')
        if name.lower() == b'timeout' and text.isdigit():
            return float(text)
    return _DEFAULT_IDLE_S
