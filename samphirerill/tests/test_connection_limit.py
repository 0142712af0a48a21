"""Connections of clients at the limit of a node."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock

from samphirerill.fleet.model import ClientLimits
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.connection_limit import ConnectionLimit
from samphirerill.relay.listeners import listen

if TYPE_CHECKING:
    from samphirerill.relay.server import ClientConnection, Request

_MAX_CONNECTIONS = 3
_REQUEST = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_TIMEOUT_S = 5.0


class _Handler:
    """Responds at once, but for one target only when the test allows it."""

    def __init__(self) -> None:
        self.may_respond = asyncio.Event()

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        if req.target == b'/slow':
            await self.may_respond.wait()
        conn.respond(200, [], b'')

    def get_limits(self) -> ClientLimits:
        return ClientLimits()

    def is_draining(self) -> bool:
        return False


class TestConnectionLimit(IsolatedAsyncioTestCase):
    """A server that allows three connections."""

    async def asyncSetUp(self) -> None:
        self.handler = _Handler()
        settings = Mock(spec=EdgeSettings, max_connections=_MAX_CONNECTIONS)
        self.connections: set[ClientConnection] = set()
        self.limit = ConnectionLimit(lambda: settings, self.connections)
        server = await listen(
            '127.0.0.1:0', self.handler, self.connections, limit=self.limit
        )
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def send(
        self, raw: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send bytes on a new connection, and wait until it is accepted."""
        before = self.limit.closed + self.limit.refused + len(self.connections)
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        writer.write(raw)
        async with asyncio.timeout(_TIMEOUT_S):
            while before == (
                self.limit.closed + self.limit.refused + len(self.connections)
            ):
                await asyncio.sleep(0)
        return reader, writer

    async def ask(self, raw: bytes) -> asyncio.StreamReader:
        """Send a request, and read the head of its response."""
        reader, _ = await self.send(raw)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertIn(b' 200 ', await reader.readuntil(b'\r\n\r\n'))
        return reader

    async def test_longest_unused_gives_way(self) -> None:
        """Guards against clients that stop and keep out newcomers."""
        begun, _ = await self.send(_REQUEST[:-2])
        kept = [await self.ask(_REQUEST) for _ in range(3)]
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertIn(b' 408 ', await begun.read())
        self.assertFalse(any(reader.at_eof() for reader in kept))
        self.assertEqual(self.limit.closed, 1)

    async def test_requests_in_progress_stay(self) -> None:
        """Guards against newcomers that end what runs."""
        slow = b'GET /slow HTTP/1.1\r\nHost: x\r\n\r\n'
        running = [await self.send(slow) for _ in range(_MAX_CONNECTIONS)]
        async with asyncio.timeout(_TIMEOUT_S):
            while not all(conn.is_busy for conn in self.connections):
                await asyncio.sleep(0)
            refused, _ = await self.send(_REQUEST)
            self.assertEqual(await refused.read(), b'')
            self.handler.may_respond.set()
            for reader, _ in running:
                head = await reader.readuntil(b'\r\n\r\n')
                self.assertIn(b' 200 ', head)
        self.assertEqual(self.limit.refused, 1)
