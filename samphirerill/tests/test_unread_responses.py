"""Clients that do not read their responses."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import Mock, patch

from samphirerill.fleet.model import ClientLimits
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.client_output import ClientOutput
from samphirerill.relay.listeners import listen
from samphirerill.relay.response_memory import ResponseMemory

if TYPE_CHECKING:
    from samphirerill.relay.server import ClientConnection, Request

_MB = 1_048_576
_TIMEOUT_S = 10.0
_SLOW_CLIENT_TIMEOUT_S = 0.2
_KEPT = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
_LAST = b'GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'


class _LargeHandler:
    """Responds with more than the system buffers."""

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        conn.respond(200, [], bytes(16 * _MB))

    def get_limits(self) -> ClientLimits:
        return ClientLimits(idle_timeout_s=0.1, header_timeout_s=0.1)

    def is_draining(self) -> bool:
        return False


class TestMemory(IsolatedAsyncioTestCase):
    """Several clients that do not read."""

    async def test_longest_unread_is_given_up(self) -> None:
        """Guards against clients that fill the memory together."""
        memory = ResponseMemory()
        memory.apply_settings(
            Mock(spec=EdgeSettings, max_response_mb=4, response_memory_mb=4)
        )
        give_up = [Mock(), Mock()]
        earlier, later = map(memory.open_unread, give_up)
        earlier.update(2 * _MB)
        later.update(2 * _MB)
        with memory.open('endpoint') as body:
            body.append(bytes(_MB))
            self.assertEqual(len(body.join()), _MB)
        give_up[0].assert_called_once_with()
        give_up[1].assert_not_called()
        self.assertEqual(memory.used_bytes, 2 * _MB)
        self.assertEqual((memory.given_up, memory.broken_off), (1, 0))

    async def test_reading_releases(self) -> None:
        memory = ResponseMemory()
        unread = memory.open_unread(Mock())
        unread.update(2 * _MB)
        unread.update(_MB)
        self.assertEqual(memory.used_bytes, _MB)
        unread.update(0)
        self.assertEqual(memory.used_bytes, 0)


class TestUnreadResponses(IsolatedAsyncioTestCase):
    """Complete responses that stay in the node's write buffer."""

    async def asyncSetUp(self) -> None:
        timeout = patch.object(
            ClientOutput, 'read_timeout_s', _SLOW_CLIENT_TIMEOUT_S
        )
        timeout.start()
        self.addCleanup(timeout.stop)
        self.connections: set[ClientConnection] = set()
        server = await listen('127.0.0.1:0', _LargeHandler(), self.connections)
        self.addCleanup(server.close)
        self.address = server.sockets[0].getsockname()

    async def assert_disconnected(
        self, request: bytes, later: bytes = b''
    ) -> None:
        with socket.create_connection(self.address) as client:
            client.sendall(request)
            async with asyncio.timeout(_TIMEOUT_S):
                while not self.connections:
                    await asyncio.sleep(0)
                await asyncio.sleep(_SLOW_CLIENT_TIMEOUT_S / 2)
                client.sendall(later)
                while self.connections:
                    await asyncio.sleep(0)

    async def test_kept_connection_is_closed(self) -> None:
        """Guards against an idle timeout that waits for the client to read."""
        await self.assert_disconnected(_KEPT)

    async def test_last_response_is_given_up(self) -> None:
        """Guards against closed connections that keep their last response."""
        await self.assert_disconnected(_LAST)

    async def test_begun_request_does_not_prolong_it(self) -> None:
        """Guards against timers of requests that replace that of a response."""
        await self.assert_disconnected(_KEPT + _KEPT, later=_KEPT[:-2])

    async def test_slow_client_gets_a_last_response(self) -> None:
        """Guards against giving up on a client that reads slowly."""
        reader, writer = await asyncio.open_connection(*self.address)
        self.addCleanup(writer.close)
        writer.write(_LAST)
        received = 0
        async with asyncio.timeout(_TIMEOUT_S):
            while chunk := await reader.read(_MB):
                received += len(chunk)
                await asyncio.sleep(0.01)
        self.assertGreater(received, 16 * _MB)
