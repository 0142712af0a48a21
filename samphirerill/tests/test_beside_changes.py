"""Requests under way while configurations, settings and connections change."""

from __future__ import annotations

import asyncio

from msgspec import json

from samphirerill.relay.connection import HttpConnection, build_call
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import read_answer
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    EVENTS,
    GAP_S,
    OK,
    PATIENCE_S,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)


class TestChanges(TwoEnginesCase):
    """Configurations and settings that change beside requests."""

    async def test_what_has_begun_outlives_its_route_and_service(self) -> None:
        waiting, head, _ = await self.start_stream()
        document = json.decode(build_configuration(8))
        document['routes'] = document['routes'][1:]
        document['services'] = document['services'][1:]
        document['tenants'] = [{'name': 'other', 'apiKeys': ['other']}]
        await self.configure(json.encode(document))
        self.world.replicas[head].stop_after = 1
        self.assert_whole(await waiting)
        self.assertEqual(len(set(self.sent())), 2)

    async def test_what_has_begun_keeps_its_service_and_time(self) -> None:
        waiting, head, _ = await self.start_stream()
        shares = [{'service': 'other', 'weight': 1}]
        text = build_configuration(
            8, trafficSplit=shares, timeoutMs=100, maxAttempts=1
        )
        await self.configure(text)
        self.world.replicas[head].stop_after = 1
        self.assert_whole(await waiting)
        self.assertEqual(len(set(self.sent())), 2)

    async def test_other_settings_end_nothing(self) -> None:
        desk = self.world.replicas['desk-1']
        desk.free.clear()
        waiting, _, _ = await self.start_stream()
        plain = self.start(b'/pickup/x')
        await self.until(lambda: desk.seen)
        self.change(retry_ratio=0, retry_slack=0, finish_s=0.1, leaving_ms=1)
        self.world.service.busy = True
        await asyncio.sleep(SETTLE_S)
        desk.free.set()
        status, _ = await plain
        self.assertEqual(status, OK)
        self.assert_whole(await waiting)


class TestEndpoints(TwoEnginesCase):
    """Endpoints that reset a connection as a call is written."""

    async def test_a_reset_is_answered_or_made_good(self) -> None:
        for replica in self.world.replicas.values():
            replica.gap_s = GAP_S / EVENTS
        for target in (b'/notes/x', b'/pickup/x'):
            status, _ = await self.request(target)
            self.assertEqual(status, OK)
        for replica in self.world.replicas.values():
            replica.resets = 1
        self.assert_whole(await self.request(b'/notes/x'))
        status, _ = await self.request(b'/pickup/x')
        self.assertEqual(status, 502)

    async def test_one_that_may_not_resume_is_answered_too(self) -> None:
        await self.configure(build_configuration(8, resumable=False))
        for name in ('engine-1', 'engine-2'):
            self.world.replicas[name].resets = 1
        status, _ = await self.request(b'/notes/x')
        self.assertEqual(status, 502)


class TestCallers(TwoEnginesCase):
    """What a caller may send gets an answer."""

    async def test_an_offer_of_another_protocol_is_answered(self) -> None:
        """Symptom: a proper request ends with a closed connection.

        Sequence: a client offers to go on in another protocol, as some do with
        their first request. Cause: the parser's word on that was taken for a
        fault of the node, and its loop closed the connection.
        """
        headers = [
            *build_headers('r1'),
            (b'connection', b'Upgrade'),
            (b'upgrade', b'h2c'),
        ]
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        writer.write(build_call(b'POST', b'/pickup/x', headers, b'gown'))
        async with asyncio.timeout(2):
            head = await reader.readline()
        writer.close()
        self.assertEqual(head, b'HTTP/1.1 200 OK\r\n')


class TestKept(TwoEnginesCase):
    """Requests one after another on a caller's connection."""

    async def test_what_is_passed_on_as_idle_time_runs_out_is_answered(
        self,
    ) -> None:
        document = json.decode(build_configuration(8))
        document['limits']['idleTimeoutMs'] = 100
        await self.configure(json.encode(document))
        desk = self.world.replicas['desk-1']
        answered = 0
        for number in range(12):
            conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
            await conn.open()
            answered += await self.try_send(conn)
            await asyncio.sleep(0.097 + number * 0.0005)
            answered += await self.try_send(conn)
            conn.close()
        self.assertEqual(answered, len(desk.seen))

    async def try_send(self, conn: HttpConnection) -> bool:
        """Send a request; return whether it was answered."""
        call = build_call(b'POST', b'/pickup/x', build_headers('r1'), b'')
        conn.send(call)
        until = asyncio.get_running_loop().time() + PATIENCE_S
        try:
            status, _ = await read_answer(conn, until)
        except EndpointError:
            return False
        return status == OK
