"""Tests of requests in progress while settings and connections change."""

from __future__ import annotations

import asyncio

from msgspec import json

from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import read_response
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    EVENTS,
    GAP_S,
    OK,
    RESPONSE_TIMEOUT_S,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)


class TestChanges(TwoEnginesCase):
    """Configurations and settings that change during requests."""

    async def test_stream_outlives_its_route_and_service(self) -> None:
        stream, head, _ = await self.start_stream()
        document = json.decode(build_configuration(8))
        document['routes'] = document['routes'][1:]
        document['services'] = document['services'][1:]
        document['tenants'] = [{'name': 'other', 'apiKeys': ['other']}]
        await self.configure(json.encode(document))
        self.harness.replicas[head].close_after_event = 1
        self.assert_complete(await stream)
        self.assertEqual(len(set(self.list_used_engines())), 2)

    async def test_stream_keeps_its_service_and_timeout(self) -> None:
        stream, head, _ = await self.start_stream()
        shares = [{'service': 'other', 'weight': 1}]
        text = build_configuration(
            8, trafficSplit=shares, timeoutMs=100, maxAttempts=1
        )
        await self.configure(text)
        self.harness.replicas[head].close_after_event = 1
        self.assert_complete(await stream)
        self.assertEqual(len(set(self.list_used_engines())), 2)

    async def test_changed_settings_interrupt_nothing(self) -> None:
        plain_replica = self.harness.replicas['desk-1']
        plain_replica.responding.clear()
        stream, _, _ = await self.start_stream()
        plain_request = self.start_request(b'/pickup/x')
        await self.wait_until(lambda: plain_replica.received_requests)
        self.change_settings(
            retry_ratio=0, retry_slack=0, finish_s=0.1, leaving_ms=1
        )
        self.harness.store.is_unavailable = True
        await asyncio.sleep(SETTLE_S)
        plain_replica.responding.set()
        status, _ = await plain_request
        self.assertEqual(status, OK)
        self.assert_complete(await stream)


class TestEndpoints(TwoEnginesCase):
    """Endpoints that reset a connection while a request is written."""

    async def test_reset_is_retried_or_answered_as_bad_gateway(self) -> None:
        for replica in self.harness.replicas.values():
            replica.event_interval_s = GAP_S / EVENTS
        for target in (b'/notes/x', b'/pickup/x'):
            status, _ = await self.request(target)
            self.assertEqual(status, OK)
        for replica in self.harness.replicas.values():
            replica.resets_left = 1
        self.assert_complete(await self.request(b'/notes/x'))
        status, _ = await self.request(b'/pickup/x')
        self.assertEqual(status, 502)

    async def test_reset_of_non_resumable_stream_is_bad_gateway(
        self,
    ) -> None:
        await self.configure(build_configuration(8, resumable=False))
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].resets_left = 1
        status, _ = await self.request(b'/notes/x')
        self.assertEqual(status, 502)


class TestClients(TwoEnginesCase):
    """Valid client requests get a response."""

    async def test_upgrade_offer_is_answered(self) -> None:
        """A request that offered a protocol upgrade got a closed connection.

        The parser's upgrade signal was handled as an error.
        """
        headers = [
            *build_headers('r1'),
            (b'connection', b'Upgrade'),
            (b'upgrade', b'h2c'),
        ]
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        writer.write(serialize_request(b'POST', b'/pickup/x', headers, b'gown'))
        async with asyncio.timeout(2):
            head = await reader.readline()
        writer.close()
        self.assertEqual(head, b'HTTP/1.1 200 OK\r\n')


class TestKeepAlive(TwoEnginesCase):
    """Consecutive requests on one client connection."""

    async def test_forwarded_requests_are_answered_at_idle_timeout(
        self,
    ) -> None:
        document = json.decode(build_configuration(8))
        document['limits']['idleTimeoutMs'] = 100
        await self.configure(json.encode(document))
        plain_replica = self.harness.replicas['desk-1']
        answered = 0
        for number in range(12):
            conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
            await conn.open()
            answered += await self.try_send(conn)
            await asyncio.sleep(0.097 + number * 0.0005)
            answered += await self.try_send(conn)
            conn.close()
        self.assertEqual(answered, len(plain_replica.received_requests))

    async def try_send(self, conn: HttpConnection) -> bool:
        """Send a request; return whether it got a response."""
        call = serialize_request(
            b'POST', b'/pickup/x', build_headers('r1'), b''
        )
        conn.send(call)
        until = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
        try:
            status, _ = await read_response(conn, until)
        except EndpointError:
            return False
        return status == OK
