"""HTTP upgrade requests: the offer of another protocol is ignored."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.listeners import listen
from samphirerill.relay.server import ClientConnection, Request

_UPGRADE_HEADERS = b'Connection: Upgrade\r\nUpgrade: h2c\r\n'
_SMUGGLED_REQUEST = b'GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n'
_NEXT_REQUEST = b'GET /next HTTP/1.1\r\nHost: h\r\n\r\n'


class _RecordingHandler:
    """Answers and records all requests."""

    def __init__(self) -> None:
        self.requests: list[tuple[bytes, bytes, bytes]] = []

    def get_limits(self) -> ClientLimits:
        """Return the default limits."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return that the node is not shutting down."""
        return False

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Record a request."""
        self.requests.append((req.method, req.target, req.body))
        conn.respond(200, [], b'')


class TestUpgradeRequests(IsolatedAsyncioTestCase):
    """A request with an Upgrade header is served as one without it."""

    async def asyncSetUp(self) -> None:
        self.handler = _RecordingHandler()
        connections: set[ClientConnection] = set()
        server = await listen('127.0.0.1:0', self.handler, connections)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]

    async def send(self, *parts: bytes) -> bytes:
        """Send parts one after another; return the responses."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.05)
        responses = await reader.read(65_536)
        writer.close()
        return responses

    async def test_body_is_not_parsed_as_request(self) -> None:
        """Guard against request smuggling in the body of an upgrade request.

        The HTTP parser stops before such a body, which was then parsed as the
        next request.
        """
        head = (
            b'POST /a HTTP/1.1\r\nHost: h\r\n'
            + _UPGRADE_HEADERS
            + b'Content-Length: %d\r\n\r\n' % len(_SMUGGLED_REQUEST)
        )
        expected = [
            (b'POST', b'/a', _SMUGGLED_REQUEST),
            (b'GET', b'/next', b''),
        ]
        for parts in (
            (head + _SMUGGLED_REQUEST + _NEXT_REQUEST,),
            (head, _SMUGGLED_REQUEST, _NEXT_REQUEST),
            (
                head + _SMUGGLED_REQUEST[:9],
                _SMUGGLED_REQUEST[9:] + _NEXT_REQUEST,
            ),
        ):
            with self.subTest(parts=len(parts)):
                self.handler.requests.clear()
                responses = await self.send(*parts)
                self.assertEqual(self.handler.requests, expected)
                self.assertEqual(responses.count(b'HTTP/1.1 200'), 2)

    async def test_chunked_body_is_read(self) -> None:
        head = (
            b'POST /a HTTP/1.1\r\nHost: h\r\n'
            + _UPGRADE_HEADERS
            + b'Transfer-Encoding: chunked\r\n\r\n'
        )
        await self.send(head, b'4\r\ngo', b'wn\r\n0\r\n\r\n' + _NEXT_REQUEST)
        self.assertEqual(
            self.handler.requests,
            [(b'POST', b'/a', b'gown'), (b'GET', b'/next', b'')],
        )

    async def test_upgrade_request_without_body_is_answered(self) -> None:
        head = b'GET /a HTTP/1.1\r\nHost: h\r\n' + _UPGRADE_HEADERS + b'\r\n'
        await self.send(head + _NEXT_REQUEST)
        self.assertEqual(
            self.handler.requests,
            [(b'GET', b'/a', b''), (b'GET', b'/next', b'')],
        )

    async def test_connect_request_is_refused(self) -> None:
        head = (
            b'CONNECT /a HTTP/1.1\r\nHost: h\r\n'
            + b'Content-Length: %d\r\n\r\n' % len(_SMUGGLED_REQUEST)
        )
        responses = await self.send(head + _SMUGGLED_REQUEST)
        self.assertEqual(self.handler.requests, [])
        self.assertIn(b'HTTP/1.1 405', responses)
