"""Tests of a complete node against stand-ins for the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec.structs import replace

from samphirerill.platform import wire_names
from samphirerill.relay.connection import (
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.pool import read_response
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    API_KEY,
    build_announcement,
    build_configuration,
)

if TYPE_CHECKING:
    from samphirerill.relay.process import EdgeProcess

_OK = 200
_HOST = (b'host', b'bridal.example')
_ID = (b'x-samphirerill-request-id', b'r1')
_KEY = (b'authorization', b'Bearer ' + API_KEY.encode())
_TOKENS = (b'x-samphirerill-token-count', b'800,80')
_HEADERS = [_HOST, _ID, _KEY, _TOKENS]
_EVENT = 'id: {0}\ndata: token{0}\n\n'


# A node listens by then.
_START_S = 0.2
_RESPONSE_TIMEOUT_S = 20.0


class EdgeCase(IsolatedAsyncioTestCase):
    """Two engines that hold all layers, and a plain service."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        for name in ('engine-1', 'engine-2'):
            replica = await self.harness.add_replica(name)
            replica.layers = (0, 80)
            await self.announce(name, layers=(0, 80))
        await self.harness.add_replica('desk-1')
        await self.announce('desk-1', 'desk', kind='')
        await self.harness.wait_for_replica_count(3)

    async def announce(
        self,
        name: str,
        service: str = 'llm',
        kind: str = 'vast',
        layers: tuple[int, int] | None = None,
        state: str = 'ready',
    ) -> None:
        """Write a replica's announcement to the store."""
        entry = build_announcement(
            service, self.harness.addresses[name], kind, layers, state
        )
        await self.harness.store.put(f'servers/{name}', entry)

    async def add_third_engine(self) -> EdgeProcess:
        """Add a third engine and enough retries for any test."""
        process = await self.harness.wait_until_ready()
        await self.harness.add_replica('engine-3')
        self.harness.replicas['engine-3'].layers = (0, 80)
        await self.announce('engine-3', layers=(0, 80))
        await self.harness.wait_for_replica_count(4)
        settings = replace(process.state.settings, retry_slack=80)
        process.state.apply_settings(settings)
        return process

    async def stream(
        self, headers: list[tuple[bytes, bytes]] = _HEADERS
    ) -> bytes:
        """Return the complete body of one stream."""
        status, body = await self.harness.send_request(b'/notes/x', headers)
        self.assertEqual(status, _OK)
        return body

    def build_events(self, count: int) -> bytes:
        """Return the events of a complete stream."""
        return ''.join(map(_EVENT.format, range(1, count + 1))).encode()

    def list_used_engines(self) -> list[str]:
        """Return the engines that got a stream, once for each request."""
        return [
            name
            for name, replica in self.harness.replicas.items()
            for _ in replica.received_requests
            if name.startswith('engine')
        ]


class TestServing(EdgeCase):
    """Requests without failures."""

    async def test_streams_and_plain_responses_are_complete(self) -> None:
        self.assertEqual(await self.stream(), self.build_events(5))
        status, body = await self.harness.send_request(
            b'/pickup/x', _HEADERS, b'gown'
        )
        self.assertEqual((status, body), (_OK, b'plain gown'))
        received = self.harness.replicas['desk-1'].received_requests[0]
        self.assertIsNone(received.get(b'authorization'))
        self.assertEqual(received.get(b'x-samphirerill-tenant'), b'suva')

    async def test_rejections_have_the_right_status(self) -> None:
        expected = {
            b'/nowhere/': (_HEADERS, 404),
            b'/notes/y': ([_HOST, _ID], 401),
            b'/notes/z': ([_HOST, (b'authorization', b'Bearer no')], 401),
        }
        for target, (headers, status) in expected.items():
            with self.subTest(target):
                actual_status, _ = await self.harness.send_request(
                    target, headers
                )
                self.assertEqual(actual_status, status)
        self.assertEqual(self.list_used_engines(), [])

    async def test_node_without_configuration_is_unavailable(self) -> None:
        process = await self.harness.wait_until_ready()
        process.state.cfg = None
        conn = HttpConnection(f'127.0.0.1:{process.get_port()}')
        await conn.open()
        conn.send(serialize_request(b'POST', b'/notes/x', [_HOST, _ID], b''))
        deadline = asyncio.get_running_loop().time() + 2
        status, _ = await read_response(conn, deadline)
        conn.close()
        self.assertEqual(status, 503)

    async def test_client_disconnect_cancels_the_run(self) -> None:
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].event_interval_s = 1.0
        conn = await self.harness.connect()
        conn.send(serialize_request(b'POST', b'/notes/x', _HEADERS, b''))
        await asyncio.sleep(0.1)
        conn.close()
        await asyncio.sleep(0.1)
        stopped = sum(item.cancelled for item in self.harness.replicas.values())
        self.assertEqual(stopped, 1)


class TestFirstConfiguration(IsolatedAsyncioTestCase):
    """Requests that arrive before the first configuration."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.add_replica('desk-1')
        entry = build_announcement('desk', self.harness.addresses['desk-1'], '')
        await self.harness.store.put('servers/desk-1', entry)

    async def send_early(self, headers: list[tuple[bytes, bytes]]) -> int:
        """Send a request to a node that is not ready; return the status."""
        process = self.harness.require_first_node()
        await asyncio.sleep(_START_S)
        conn = HttpConnection(f'127.0.0.1:{process.get_port()}')
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(serialize_request(b'POST', b'/pickup/x', headers, b''))
        deadline = asyncio.get_running_loop().time() + _RESPONSE_TIMEOUT_S
        status, _ = await read_response(conn, deadline)
        return status

    async def test_request_is_served_once_there_is_one(self) -> None:
        """Guard against refusing all clients after a restart of all nodes."""
        request = asyncio.create_task(self.send_early(_HEADERS))
        await asyncio.sleep(0.3)
        await self.harness.store.put('op/config', build_configuration())
        self.assertEqual(await request, _OK)

    async def test_request_is_refused_at_its_deadline(self) -> None:
        """Guard against a client that gives up before it hears anything."""
        patience = (wire_names.DEADLINE_MS, b'200')
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        status = await self.send_early([*_HEADERS, patience])
        self.assertEqual(status, 503)
        self.assertLess(loop.time(), sent_at + 1.2)


class TestResuming(EdgeCase):
    """Streams whose path breaks."""

    async def test_each_event_comes_once_after_a_break(self) -> None:
        """Events were lost or repeated after a break within an event.

        A partial event was passed on, or the last event id was not kept.
        """
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].close_after_event = 2
        stream = asyncio.create_task(self.stream())
        while not self.list_used_engines():
            await asyncio.sleep(0.005)
        first = self.list_used_engines()[0]
        other = 'engine-2' if first == 'engine-1' else 'engine-1'
        self.harness.replicas[other].close_after_event = 0
        self.assertEqual(await stream, self.build_events(5))
        resumed = self.harness.replicas[other].received_requests[0]
        self.assertEqual(resumed.get(b'last-event-id'), b'2')

    async def test_break_before_first_event_sends_no_last_event_id(
        self,
    ) -> None:
        """A stream broken before its first event began with an event 0.

        It was resumed after event -1.
        """
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].stall_after_event = 0
            self.harness.replicas[name].cut_after_head = True
        stream = asyncio.create_task(self.stream())
        while not self.list_used_engines():
            await asyncio.sleep(0.005)
        first = self.list_used_engines()[0]
        other = 'engine-2' if first == 'engine-1' else 'engine-1'
        self.harness.replicas[other].cut_after_head = False
        self.assertEqual(await stream, self.build_events(5))
        resumed = self.harness.replicas[other].received_requests[0]
        self.assertIsNone(resumed.get(b'last-event-id'))

    async def test_stream_that_is_not_resumable_is_aborted(self) -> None:
        await self.harness.store.put(
            'op/config', build_configuration(8, resumable=False)
        )
        process = await self.harness.wait_until_ready()
        while process.state.version != 8:
            await asyncio.sleep(0.01)
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].close_after_event = 2
        with self.assertRaises(BrokenResponseError):
            await self.stream()
        self.assertEqual(len(self.list_used_engines()), 1)

    async def test_no_more_replicas_are_used_than_the_route_allows(
        self,
    ) -> None:
        """A request ran on three replicas where two are allowed.

        Replicas that broke off the connection did not count.
        """
        await self.harness.add_replica('engine-3')
        await self.announce('engine-3', layers=(0, 80))
        await self.harness.wait_for_replica_count(4)
        for name in ('engine-1', 'engine-2', 'engine-3'):
            self.harness.replicas[name].close_after_event = 1
        with self.assertRaises(BrokenResponseError):
            await self.stream()
        self.assertLessEqual(len(set(self.list_used_engines())), 2)

    async def test_replica_that_ran_and_then_rejects_counts_as_used(
        self,
    ) -> None:
        """A request ran on three replicas where two are allowed.

        A later rejection made a replica that had run it count as unused.
        """
        await self.add_third_engine()
        for name in ('engine-1', 'engine-2', 'engine-3'):
            self.harness.replicas[name].close_after_event = 2
            self.harness.replicas[name].refusal.after_requests = 1
        with self.assertRaises(BrokenResponseError):
            await self.stream()
        self.assertEqual(len(set(self.list_used_engines())), 2)

    async def test_unresponsive_replica_counts_as_used(self) -> None:
        """A request ran on three replicas where two are allowed.

        Unresponsive replicas did not count.
        """
        process = await self.add_third_engine()
        now = asyncio.get_running_loop().time()
        for replica in self.harness.replicas.values():
            replica.close_after_event = 2
        stream = asyncio.create_task(self.stream())
        while not self.list_used_engines():
            await asyncio.sleep(0.005)
        process.state.view.add_silence_report(
            self.list_used_engines()[0], now + 9, now
        )
        with self.assertRaises(BrokenResponseError):
            await stream
        self.assertLessEqual(len(set(self.list_used_engines())), 2)

    async def test_rejection_is_retried_on_another_replica(self) -> None:
        self.harness.replicas['engine-1'].refuses = True
        for _ in range(3):
            self.assertEqual(await self.stream(), self.build_events(5))


class TestPlain(EdgeCase):
    """Requests that may be executed only once."""

    async def test_server_error_is_passed_on_and_not_retried(self) -> None:
        await self.harness.add_replica('desk-2')
        await self.announce('desk-2', 'desk', kind='')
        await self.harness.wait_for_replica_count(4)
        for name in ('desk-1', 'desk-2'):
            self.harness.replicas[name].failures_left = 1
        status, body = await self.harness.send_request(
            b'/pickup/x', _HEADERS, b'gown'
        )
        self.assertEqual((status, body), (500, b'failed'))
        runs = [
            len(self.harness.replicas[name].received_requests)
            for name in ('desk-1', 'desk-2')
        ]
        self.assertEqual(sum(runs), 1)

    async def test_rejection_is_unavailable_with_retry_after(self) -> None:
        self.harness.replicas['desk-1'].refuses = True
        conn = await self.harness.connect()
        conn.send(serialize_request(b'POST', b'/pickup/x', _HEADERS, b''))
        head = await conn.read(asyncio.get_running_loop().time() + 2)
        conn.close()
        assert isinstance(head, ResponseHead)
        self.assertEqual(head.status, 503)
        self.assertIsNotNone(head.get(b'retry-after'))


class TestStoreUpdates(EdgeCase):
    """Updates from the store, and requests while it is unavailable."""

    async def test_draining_replica_gets_no_new_requests(self) -> None:
        await self.announce('engine-1', layers=(0, 80), state='draining')
        process = await self.harness.wait_until_ready()
        while not process.state.view.is_leaving('engine-1'):
            await asyncio.sleep(0.01)
        for _ in range(4):
            await self.stream()
        self.assertEqual(set(self.list_used_engines()), {'engine-2'})

    async def test_older_configuration_is_ignored(self) -> None:
        process = await self.harness.wait_until_ready()
        await self.harness.store.put('op/config', build_configuration(9))
        await self.harness.store.put('op/config', build_configuration(8))
        await asyncio.sleep(0.2)
        self.assertEqual(process.state.version, 9)

    async def test_state_is_read_again_after_lost_history(self) -> None:
        process = await self.harness.wait_until_ready()
        self.harness.store.withholds_changes = True
        await self.harness.store.put('op/config', build_configuration(9))
        self.harness.store.compact_history()
        self.harness.store.withholds_changes = False
        async with asyncio.timeout(4):
            while process.state.version != 9:
                await asyncio.sleep(0.02)

    async def test_replica_removed_in_a_watch_gap_is_dropped(self) -> None:
        """Requests were still sent to a crashed engine.

        Its entry was removed during a gap of the watch, and kept for seconds
        instead of milliseconds.
        """
        process = await self.harness.wait_until_ready()
        self.harness.store.withholds_changes = True
        await self.harness.store.delete('servers/engine-1')
        self.harness.store.compact_history()
        self.harness.store.is_unavailable = True
        await asyncio.sleep(0.5)
        self.harness.store.is_unavailable = False
        self.harness.store.withholds_changes = False
        async with asyncio.timeout(5):
            while 'engine-1' in process.state.view.replicas:
                await asyncio.sleep(0.05)

    async def test_requests_are_served_while_the_store_is_unavailable(
        self,
    ) -> None:
        self.harness.store.is_unavailable = True
        await asyncio.sleep(0.3)
        self.assertEqual(await self.stream(), self.build_events(5))

    async def test_unreadable_entries_are_ignored(self) -> None:
        await self.harness.store.put('servers/odd', b'{"service": 5')
        await self.harness.store.put('op/config', b'nonsense')
        await asyncio.sleep(0.1)
        self.assertEqual(await self.stream(), self.build_events(5))


class TestShutdown(EdgeCase):
    """Graceful shutdown."""

    async def test_drain_completes_streams_and_closes_connections(self) -> None:
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].event_interval_s = 0.2
        stream = asyncio.create_task(self.stream())
        while not self.list_used_engines():
            await asyncio.sleep(0.01)
        process = await self.harness.wait_until_ready()
        process.start_draining()
        self.assertFalse(process.is_ready())
        self.assertEqual(await stream, self.build_events(5))
        conn = HttpConnection(f'127.0.0.1:{process.get_port()}')
        await conn.open()
        conn.send(serialize_request(b'POST', b'/pickup/x', _HEADERS, b''))
        head = await conn.read(asyncio.get_running_loop().time() + 2)
        conn.close()
        assert isinstance(head, ResponseHead)
        self.assertEqual(head.status, _OK)
        self.assertEqual(head.get(b'connection'), b'close')
