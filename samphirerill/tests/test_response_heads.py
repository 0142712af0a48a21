"""Headers that are not part of the head of the response to a request."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.relay.connection import HttpConnection, ResponseHead
from samphirerill.relay.responses import read_head

_UNAVAILABLE = 503
_TRAILER_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n0\r\nretry-after: 9\r\n\r\n'
)
_EARLIER_RESPONSE = (
    b'HTTP/1.1 503 Busy\r\nx-samphirerill-request-id: earlier\r\n'
    b'x-samphirerill-not-executed: 1\r\nretry-after: 9\r\n'
    b'server-leaving: 1\r\ncontent-length: 0\r\n\r\n'
)
_INTERIM_RESPONSE = (
    b'HTTP/1.1 103 Early Hints\r\nretry-after: 9\r\nserver-leaving: 1\r\n\r\n'
)
_OWN_RESPONSE = (
    b'HTTP/1.1 503 Busy\r\nx-samphirerill-request-id: own\r\n'
    b'x-samphirerill-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)


class TestOtherHeaders(IsolatedAsyncioTestCase):
    """A server that responds with given bytes."""

    async def request(self, response: bytes) -> HttpConnection:
        """Return a connection with a request, to which a response comes."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        conn = HttpConnection(f'127.0.0.1:{port}')
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(b'GET / HTTP/1.1\r\n\r\n')
        return conn

    async def test_trailer_does_not_count_as_header(self) -> None:
        """Guard against trailers that arrive together with the head."""
        conn = await self.request(_TRAILER_RESPONSE)
        head = await conn.read(asyncio.get_running_loop().time() + 5)
        assert isinstance(head, ResponseHead)
        self.assertIsNone(head.get(b'retry-after'))

    async def test_headers_of_other_responses_do_not_count(self) -> None:
        """Guard against notices in interim responses and to other requests."""
        for other in (_EARLIER_RESPONSE, _INTERIM_RESPONSE):
            with self.subTest(other):
                conn = await self.request(other + _OWN_RESPONSE)
                deadline = asyncio.get_running_loop().time() + 5
                head, metadata = await read_head(
                    conn, HttpPlatformAdapter(), b'own', deadline
                )
                self.assertEqual(head.status, _UNAVAILABLE)
                self.assertIsNone(metadata.retry_after)
                self.assertFalse(metadata.is_leaving)
