"""Clients that send a body slowly, but never pause for long."""

from __future__ import annotations

import asyncio

from samphirerill.tests.platform_documents import API_KEY
from samphirerill.tests.test_edge import EdgeCase

_TRICKLE_INTERVAL_S = 0.02
_TIMEOUT_S = 10.0
_DEADLINE_MS = 400
_HEAD = (
    b'POST /pickup/x HTTP/1.1\r\nHost: bridal.example\r\n'
    b'X-Samphirerill-Request-Id: r1\r\n'
    b'Authorization: Bearer %b\r\n'
    b'X-Samphirerill-Deadline-Ms: %d\r\nContent-Length: 60000\r\n\r\n'
) % (API_KEY.encode(), _DEADLINE_MS)


class TestSlowBodies(EdgeCase):
    """A client that names a deadline."""

    async def test_body_ends_with_the_deadline(self) -> None:
        """Guards against a time limit that begins again with each byte."""
        process = await self.harness.wait_until_ready()
        reader, writer = await asyncio.open_connection(
            process.state.settings.host, process.get_port()
        )
        self.addCleanup(writer.close)
        writer.write(_HEAD)
        response = asyncio.create_task(reader.readuntil(b'\r\n\r\n'))
        async with asyncio.timeout(_TIMEOUT_S):
            while not response.done():
                writer.write(b'x')
                await asyncio.sleep(_TRICKLE_INTERVAL_S)
        self.assertIn(b' 408 ', await response)
        desk = self.harness.replicas['desk-1']
        self.assertEqual(desk.received_requests, [])
