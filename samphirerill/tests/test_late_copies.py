"""Endpoints that send a second copy of a rejection in place of a response."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from unittest import IsolatedAsyncioTestCase

from samphirerill.relay.health import fetch_report
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

_REQUEST_ID = re.compile(rb'(?i)x-samphirerill-request-id: (\S+)')
_LENGTH = re.compile(rb'(?i)content-length: (\d+)')
_REJECTION = (
    b'HTTP/1.1 503 Busy\r\nx-samphirerill-not-executed: 1\r\n'
    b'keep-alive: timeout=10\r\ncontent-length: 0\r\n\r\n'
)
_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nx-samphirerill-request-id: %b\r\n'
    b'x-samphirerill-response-seal: s1\r\n'
    b'keep-alive: timeout=10\r\ncontent-length: 2\r\n\r\nok'
)


class TestRejections(IsolatedAsyncioTestCase):
    """One endpoint, full at first, that repeats its rejections."""

    async def asyncSetUp(self) -> None:
        self.is_full = True
        self.runs: Counter[bytes] = Counter()
        self.writers: set[asyncio.StreamWriter] = set()
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.addCleanup(self._close_all)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        await self.harness.store.put(
            'servers/desk-1', build_announcement('desk', f'{host}:{port}')
        )
        await self.harness.wait_for_replica_count(1)

    async def send(self, name: str) -> int:
        """Send a request that may run once; return the status."""
        status, _ = await self.harness.send_request(
            b'/pickup/x', build_headers(name)
        )
        return status

    async def test_copy_does_not_reject_the_next_request(self) -> None:
        """Guards against "not run" for a request that has run."""
        self.assertEqual(await self.send('r1'), 503)
        self.is_full = False
        self.assertEqual(await self.send('r2'), 200)
        self.assertEqual(self.runs, {b'r2': 1})

    async def test_copy_after_a_report_does_not_reject_a_request(self) -> None:
        """Guards against connections that calls without an id share."""
        state = self.harness.require_first_node().state
        replica = state.view.replicas['desk-1'].replica
        await fetch_report(state, replica)
        self.is_full = False
        self.assertEqual(await self.send('r1'), 200)
        self.assertEqual(self.runs, {b'r1': 1})

    def _close_all(self) -> None:
        for writer in self.writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        was_rejected = False
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = _LENGTH.search(head)
                await reader.readexactly(int(length[1]) if length else 0)
                if was_rejected:
                    writer.write(_REJECTION)
                was_rejected = self.is_full
                writer.write(_REJECTION if self.is_full else self._run(head))
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.close()

    def _run(self, head: bytes) -> bytes:
        found = _REQUEST_ID.search(head)
        request_id = found[1] if found else b''
        self.runs[request_id] += 1
        return _RESPONSE % request_id
