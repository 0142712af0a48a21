"""Turns of connections whose input takes long to parse."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.client_intake import ClientIntake
from samphirerill.relay.listeners import listen
from samphirerill.relay.read_pacing import ReadPacing

if TYPE_CHECKING:
    from samphirerill.relay.server import ClientConnection, Request

_TIMEOUT_S = 5.0
_HEAD = b'POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n'
_END = b'0\r\n\r\n'
_BODY_BYTES = 20_000


class TestReadPacing(IsolatedAsyncioTestCase):
    """Several connections that wait for their turn."""

    async def test_one_is_read_at_a_time(self) -> None:
        """Guards against a loop that has no time for other work."""
        pacing = ReadPacing()
        resumed: list[int] = []
        for number in range(3):
            pacing.defer(partial(resumed.append, number), 0)
        async with asyncio.timeout(_TIMEOUT_S):
            for count in range(1, 4):
                while len(resumed) < count:
                    await asyncio.sleep(0)
                self.assertEqual(resumed, list(range(count)))


class _EchoHandler:
    """Responds with the request body."""

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        conn.respond(200, [], req.body)

    def get_limits(self) -> ClientLimits:
        return ClientLimits()

    def is_draining(self) -> bool:
        return False


class TestConnections(IsolatedAsyncioTestCase):
    """A server whose clients send chunked bodies."""

    async def asyncSetUp(self) -> None:
        self.intake = ClientIntake()
        connections: set[ClientConnection] = set()
        server = await listen(
            '127.0.0.1:0', _EchoHandler(), connections, intake=self.intake
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def exchange(self, chunk: bytes, count: int) -> bytes:
        """Send a body in equal chunks; return the response."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        framed = b'%x\r\n%b\r\n' % (len(chunk), chunk)
        writer.write(_HEAD + framed * count + _END)
        async with asyncio.timeout(_TIMEOUT_S):
            await reader.readuntil(b'\r\n\r\n')
            return await reader.readexactly(len(chunk) * count)

    async def test_small_chunks_are_read_in_turns(self) -> None:
        """Guards against deferred connections that are never resumed."""
        body = await self.exchange(b'x', _BODY_BYTES)
        self.assertEqual(body, b'x' * _BODY_BYTES)
        self.assertGreater(self.intake.pacing.deferred, 1)

    async def test_ordinary_chunks_are_not_deferred(self) -> None:
        await self.exchange(b'x' * 1000, 20)
        self.assertEqual(self.intake.pacing.deferred, 0)
