"""What requests of clients hold at a node, and which of them give way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

from hypothesis import given, settings, strategies
from msgspec.structs import replace

from samphirerill.fleet.model import ClientLimits
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.client_intake import ClientIntake
from samphirerill.relay.listeners import listen
from samphirerill.relay.request_memory import RequestMemory, RequestShare
from samphirerill.relay.request_parser import RequestError, RequestParser

if TYPE_CHECKING:
    from samphirerill.relay.server import ClientConnection, Request

_MB = 1_048_576
_KB = 1024
_LIMITS = ClientLimits(max_header_bytes=2 * _KB, max_body_bytes=64 * _KB)
_SETTINGS = EdgeSettings(
    name='n',
    data_centre='a',
    host='127.0.0.1',
    callers='127.0.0.1:0',
    readiness='127.0.0.1:0',
    peers='127.0.0.1:0',
    store='127.0.0.1:0',
    exchange_port=0,
    metrics_port=0,
    request_memory_mb=1,
)
# What the parser reads at once, and what it keeps of a head beside its bytes.
_SLICE_BYTES = 4 * _KB
_OBJECT_BYTES = 2 * _KB
# Empty lines, and then a head, each with its framing.
_MAX_UNREAD_BYTES = 2 * (_LIMITS.max_header_bytes + _KB + _SLICE_BYTES)
_HEAD = b'POST /a HTTP/1.1\r\nHost: x\r\n'
_TIMEOUT_S = 5.0
# What has been held for so long gives way before what has just come.
_SETTLE_S = 0.1
_PIECES = strategies.sampled_from(
    (
        _HEAD,
        b'Content-Length: 9\r\n\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'\r\n',
        b'\r\n' * 900,
        b'x' * 1500,
        b'X: ' + b'y' * 1500,
        b'X: y\r\n',
        b'1\r\nx\r\n',
        b'1;' + b'z' * 1500,
        b'800\r\n' + b'x' * 2048 + b'\r\n',
        b'0\r\n',
        b'GET / HTTP/1.1\r\nHost: x\r\n\r\n',
    )
)


class TestShares(IsolatedAsyncioTestCase):
    """The shares of several connections."""

    async def asyncSetUp(self) -> None:
        self.memory = RequestMemory(lambda: _SETTINGS)

    def open(self, size: int, held_since: float) -> tuple[RequestShare, Mock]:
        """Return a share with unserved bytes, and what rejects them."""
        reject = Mock()
        share = self.memory.open(reject)
        share.set_unserved(size, held_since)
        return share, reject

    async def test_what_has_stopped_gives_way(self) -> None:
        """Guards against clients that stop and keep out all others."""
        now = asyncio.get_running_loop().time()
        _, stopped = self.open(600 * _KB, now - 2)
        newcomer, active = self.open(600 * _KB, now)
        newcomer.enforce(_LIMITS)
        stopped.assert_called_once_with()
        active.assert_not_called()
        self.assertEqual(self.memory.used_bytes, 600 * _KB)
        self.assertEqual(self.memory.rejected, 1)

    async def test_small_requests_stay(self) -> None:
        """Guards against rejecting ordinary requests beside large ones."""
        now = asyncio.get_running_loop().time()
        _, small = self.open(2 * _KB, now - 9)
        large, rejected = self.open(2 * _MB, now)
        large.enforce(_LIMITS)
        rejected.assert_called_once_with()
        small.assert_not_called()

    async def test_served_requests_stay(self) -> None:
        """Guards against rejecting a request that may have run."""
        share, rejected = self.open(0, 0)
        share.set_served(_MB)
        share.enforce(_LIMITS)
        rejected.assert_not_called()
        share.close()
        self.assertEqual(self.memory.used_bytes, 0)

    async def test_one_legal_request_fits(self) -> None:
        """Guards against a limit below that of a single request."""
        limits = ClientLimits(max_body_bytes=3 * _MB)
        share, rejected = self.open(3 * _MB, 0)
        share.enforce(limits)
        share.set_unserved(0, 0)
        share.set_served(3 * _MB)
        share.enforce(limits)
        rejected.assert_not_called()


class _SlowHandler:
    """Responds when the test allows it."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        await self.may_respond.wait()
        conn.respond(200, [], b'')

    def get_limits(self) -> ClientLimits:
        return _LIMITS

    def is_draining(self) -> bool:
        return False


class TestConnections(IsolatedAsyncioTestCase):
    """Connections whose unserved requests are rejected."""

    async def asyncSetUp(self) -> None:
        self.handler = _SlowHandler()
        connections: set[ClientConnection] = set()
        least = replace(_SETTINGS, request_memory_mb=0)
        intake = ClientIntake(lambda: least)
        self.memory = intake.memory
        server = await listen(
            '127.0.0.1:0', self.handler, connections, intake=intake
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def send(self, raw: bytes) -> asyncio.StreamReader:
        """Send bytes on a new connection."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(raw)
        await writer.drain()
        return reader

    async def test_request_in_progress_is_answered_first(self) -> None:
        """Guards against rejecting what runs with what waits behind it."""
        whole = b'%bContent-Length: 3\r\n\r\nabc' % _HEAD
        begun = b'%bContent-Length: 60000\r\n\r\n' % _HEAD + b'x' * 59_000
        first = await self.send(whole + begun)
        for _ in range(2):
            await self.send(begun)
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.memory.rejected:
                await asyncio.sleep(0)
            self.handler.may_respond.set()
            answer = await first.read()
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 1)
        self.assertEqual(answer.count(b'HTTP/1.1 503'), 1)
        self.assertIn(b'retry-after: ', answer)

    async def test_status_for_later_input_is_not_that_of_the_rejected(
        self,
    ) -> None:
        """Guards against telling a proper request that it was malformed."""
        whole = b'%bContent-Length: 50000\r\n\r\n' % _HEAD + b'x' * 50_000
        small = b'%bContent-Length: 0\r\n\r\n' % _HEAD
        first = await self.send(small + whole + b'malformed\r\n\r\n')
        await asyncio.sleep(_SETTLE_S)
        for _ in range(2):
            await self.send(whole[:-1])
        async with asyncio.timeout(_TIMEOUT_S):
            while not self.memory.rejected:
                await asyncio.sleep(0)
            self.handler.may_respond.set()
            answer = await first.read()
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 1)
        self.assertEqual(answer.count(b'HTTP/1.1 503'), 1)
        self.assertNotIn(b'HTTP/1.1 400', answer)

    async def test_rejected_requests_hold_nothing(self) -> None:
        """Guards against rejections that make others give way."""
        reader = await self.send(
            b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
            + b'4000\r\n%b\r\n' % (b'x' * 0x4000) * 5
        )
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertIn(b' 413 ', await reader.readuntil(b'\r\n\r\n'))
        self.assertEqual(self.memory.used_bytes, 0)

    async def test_memory_is_released_with_the_response(self) -> None:
        """Guards against idle connections that hold their last request."""
        self.handler.may_respond.set()
        body = b'x' * 30_000
        reader = await self.send(
            b'%bContent-Length: %d\r\n\r\n%b' % (_HEAD, len(body), body)
        )
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b'\r\n\r\n')
        self.assertEqual(self.memory.used_bytes, 0)


class TestParser(IsolatedAsyncioTestCase):
    """What the parser holds of incomplete requests."""

    @settings(max_examples=300, deadline=None)
    @given(pieces=strategies.lists(_PIECES, max_size=60))
    def test_any_pieces_are_bounded(self, pieces: list[bytes]) -> None:
        """Guards against input that is kept and not counted."""
        asyncio.run(self._feed(pieces))

    async def _feed(self, pieces: list[bytes]) -> None:
        receiver = Mock()
        parser = RequestParser(receiver, lambda: _LIMITS)
        largest = _LIMITS.max_header_bytes + _LIMITS.max_body_bytes
        fed = 0
        for piece in pieces:
            fed += len(piece)
            try:
                parser.feed(piece)
            except RequestError:
                return
            self.assertLess(
                parser.held_bytes, largest + _SLICE_BYTES + _OBJECT_BYTES
            )
            if not receiver.head_received.called:
                self.assertLess(fed, _MAX_UNREAD_BYTES)
