"""Trailers of a response are not part of its head."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.relay.connection import HttpConnection, ResponseHead

_TRAILER_RESPONSE = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n0\r\nretry-after: 9\r\n\r\n'
)


class TestTrailers(IsolatedAsyncioTestCase):
    """Trailers are not headers."""

    async def test_trailer_does_not_count_as_header(self) -> None:
        """Guard against trailers that arrive together with the head."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(_TRAILER_RESPONSE)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        conn = HttpConnection(f'127.0.0.1:{port}')
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(b'GET / HTTP/1.1\r\n\r\n')
        head = await conn.read(asyncio.get_running_loop().time() + 5)
        assert isinstance(head, ResponseHead)
        self.assertIsNone(head.get(b'retry-after'))
