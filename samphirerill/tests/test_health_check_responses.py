"""Health checks and load polls read responses however they are delimited."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.node.health_checks import try_fetch

_BODY = b'{"ok": true}'
_LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
_CONNECTION = b'HTTP/1.1 200 OK\r\n\r\n%b'
_CHUNKS = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'c;name=x\r\n{"ok": true}\r\n%b'
)


class TestResponses(IsolatedAsyncioTestCase):
    """Responses of an endpoint that then ends its connection in order."""

    async def fetch(self, response: bytes) -> bytes | None:
        """Return what is read of a response."""

        async def respond(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(response)
            writer.close()

        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            return await try_fetch(f'127.0.0.1:{port}', '/health')

    async def test_complete_responses(self) -> None:
        """Guards against a living endpoint that is taken for dead."""
        for response in (
            _LENGTH % (len(_BODY), _BODY),
            _CONNECTION % _BODY,
            _CHUNKS % b'0\r\n\r\n',
        ):
            with self.subTest(response):
                self.assertEqual(await self.fetch(response), _BODY)
        self.assertEqual(await self.fetch(b'HTTP/1.1 204 No\r\n\r\n'), b'')

    async def test_incomplete_responses(self) -> None:
        """Guards against a truncated response that counts as complete."""
        for response in (
            b'',
            b'HTTP/1.1 200 OK\r\n',
            _LENGTH % (len(_BODY) + 1, _BODY),
            _CHUNKS % b'',
            _CHUNKS % b'4\r\n',
        ):
            with self.subTest(response):
                self.assertIsNone(await self.fetch(response))

    async def test_long_responses(self) -> None:
        """Guards against a body that fills the memory."""
        body = bytes(100_000)
        for response in (
            _LENGTH % (len(body), body),
            _CONNECTION % body,
            b'HTTP/1.1 200 OK\r\nX: ' + body,
        ):
            self.assertIsNone(await self.fetch(response))
