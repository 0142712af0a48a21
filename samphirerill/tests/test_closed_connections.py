"""Closed client connections are counted, and logged with unanswered requests."""

from __future__ import annotations

import asyncio
from typing import Any

from logbook import INFO, TestHandler
from msgspec import json

from samphirerill.relay.connection import serialize_request
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import TwoEnginesCase, build_headers


class TestClosedConnections(TwoEnginesCase):
    """Counters and log records of closed connections."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.log = TestHandler(level=INFO)
        self.log.push_application()
        self.addCleanup(self.log.pop_application)
        self.counters = self.process.state.counters
        self.plain_endpoint = self.harness.replicas['desk-1']

    async def open_with(
        self, *targets: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send requests with the ids r0, r1 and so on."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        self.addCleanup(writer.close)
        for number, target in enumerate(targets):
            headers = build_headers(f'r{number}')
            writer.write(serialize_request(b'POST', target, headers, b''))
        return reader, writer

    def list_unanswered(self) -> list[dict[str, Any]]:
        """Return the log records of unanswered requests."""
        return [
            record.extra
            for record in self.log.records
            if record.message == 'request left unanswered'
        ]

    def get_unanswered(self) -> dict[str, Any]:
        """Return the only log record of an unanswered request."""
        records = self.list_unanswered()
        self.assertEqual(len(records), 1, records)
        return records[0]

    async def test_client_that_leaves_is_counted_apart(self) -> None:
        self.plain_endpoint.responding.clear()
        _, writer = await self.open_with(b'/pickup/x')
        await self.wait_until(lambda: self.plain_endpoint.received_requests)
        writer.close()
        await self.wait_until(
            lambda: self.counters['connections.closed.client']
        )
        self.plain_endpoint.responding.set()
        self.assertEqual(self.counters['requests.unanswered.client'], 1)
        self.assertEqual(self.list_unanswered(), [])

    async def test_aborted_stream_names_the_requests_behind_it(self) -> None:
        """A stream that can't be resumed takes the requests behind it along."""
        await self.configure(build_configuration(8, resumable=False))
        reader, _ = await self.open_with(b'/notes/x', b'/pickup/x')
        await reader.readuntil(b'token1\n\n')
        self.harness.crash_replica(self.list_used_engines()[0])
        await self.wait_until(self.list_unanswered)
        record = self.get_unanswered()
        self.assertEqual(record['request'], 'r0')
        self.assertEqual(record['reason'], 'response_aborted')
        self.assertEqual(record['queued'], ['r1'])
        self.assertGreater(record['response_bytes'], 0)
        counted = self.counters['requests.unanswered.response_aborted']
        self.assertEqual(counted, 2)

    async def test_response_that_is_cut_by_the_shutdown_is_logged(self) -> None:
        reader, _ = await self.open_with(b'/notes/x')
        await reader.readuntil(b'token1\n\n')
        self.process.close()
        record = self.get_unanswered()
        self.assertEqual(record['reason'], 'shutdown')
        self.assertEqual(self.counters['connections.closed.shutdown'], 1)

    async def test_idle_connection_leaves_nothing_unanswered(self) -> None:
        document = json.decode(build_configuration(8))
        document['limits']['idleTimeoutMs'] = 50
        await self.configure(json.encode(document))
        reader, _ = await self.open_with(b'/pickup/x')
        self.assertIn(b'200 OK', await reader.read())
        self.assertEqual(self.counters['connections.closed.idle_timeout'], 1)
        self.assertEqual(self.list_unanswered(), [])
