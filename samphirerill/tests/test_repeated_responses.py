"""Endpoints that send a response again, whole or cut short."""

from __future__ import annotations

import asyncio
import re
from functools import partial
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from msgspec.structs import replace

from samphirerill.backends.response_heads import has_joined_heads
from samphirerill.backends.service_call import ServiceCall
from samphirerill.core.commands import Stage
from samphirerill.core.events import AttemptFailed, ServiceAnswered
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.pool import read_whole_response
from samphirerill.relay.response_memory import ResponseMemory
from samphirerill.relay.responses import read_body, read_head
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.raw_server import RawServer
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable

_REQUEST_ID = re.compile(rb'(?i)x-samphirerill-request-id: (\S+)')
_KEPT = (
    b'keep-alive: timeout=5\r\nx-samphirerill-request-id: %b\r\n'
    b'x-samphirerill-response-seal: s-%b\r\n'
)
_REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
_NOTE = b'id: 0\ndata: x\n\n'
_PICKUP = b'/pickup/x'
_STREAM = b'/notes/x'
# Ends an attempt whose response is taken for the rest of another body.
_DEADLINE_MS = 150
_AMPLE_MS = 5000
_DEADLINE = b'x-samphirerill-deadline-ms'
_OK = 200
_FAILURES = {500, 502, 504}
_AMPLE_RETRIES = 10_000
# Within the only event.
_CUT_BYTES = 12
_ENDS = (AttemptFailed, ServiceAnswered)


def _build_success(request_id: bytes, body: bytes, kind: bytes) -> bytes:
    return _build_response(b'200 OK', request_id, body, kind)


def _build_failure(request_id: bytes) -> bytes:
    return _build_response(
        b'500 Internal Server Error', request_id, b'failed', b'text/plain'
    )


def _build_response(
    status: bytes, request_id: bytes, body: bytes, kind: bytes
) -> bytes:
    return (
        b'HTTP/1.1 %b\r\ncontent-type: %b\r\n%bcontent-length: %d\r\n\r\n%b'
        % (
            status,
            kind,
            _KEPT % (request_id, request_id),
            len(body),
            body,
        )
    )


class _Endpoint(RawServer):
    """Responds to the requests of each connection as `respond` says.

    `respond` takes the ids of the requests so far, and returns the bytes to send.
    """

    def __init__(self) -> None:
        super().__init__()
        self.respond: Callable[[list[bytes]], bytes] = _respond_well

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        received: list[bytes] = []
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            found = _REQUEST_ID.search(head)
            if found is None:
                writer.write(_REPORT)
                continue
            received.append(found[1])
            writer.write(self.respond(received))


def _respond_well(received: list[bytes]) -> bytes:
    return _build_success(received[-1], b'done', b'text/plain')


class RepeatedResponsesCase(IsolatedAsyncioTestCase):
    """A node in front of one plain endpoint and one engine."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.desk = await self.start_endpoint()
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        await self.harness.store.put(
            'servers/desk-1', build_announcement('desk', self.desk.address)
        )
        self.engine = await self.add_engine('engine-1')
        self.state = self.harness.require_first_node().state
        self.state.apply_settings(
            replace(self.state.settings, retry_slack=_AMPLE_RETRIES)
        )

    async def start_endpoint(self) -> _Endpoint:
        """Start an endpoint that responds well."""
        endpoint = _Endpoint()
        listening = await endpoint.start()
        self.addAsyncCleanup(endpoint.stop)
        self.addCleanup(listening.close)
        return endpoint

    async def add_engine(self, name: str) -> _Endpoint:
        """Start an engine that holds all layers, and announce it."""
        engine = await self.start_endpoint()
        await self.harness.store.put(
            f'servers/{name}',
            build_announcement('llm', engine.address, 'vast', (0, 80)),
        )
        count = 1 + int(name[-1])
        await self.harness.wait_for_replica_count(count)
        return engine

    async def send(
        self, target: bytes, request_id: str, deadline_ms: int = _DEADLINE_MS
    ) -> tuple[int, bytes]:
        """Send a request; the endpoints count as working before."""
        for name in ('desk-1', 'engine-1'):
            self.state.view.note_alive(name)
            self.state.view.replicas[name].backoff_until = 0
        headers = build_headers(request_id)
        headers.append((_DEADLINE, b'%d' % deadline_ms))
        return await self.harness.send_request(target, headers)


class TestCopiesCutShort(RepeatedResponsesCase):
    """A part of the first response precedes the second one, a failure."""

    async def check_target(self, target: bytes, first: bytes) -> None:
        """Assert that no request gets a success that was a failure."""
        sizes = range(1, len(first))
        for size in sizes:
            self.desk.respond = _build_glued(first, size)
            self.engine.respond = self.desk.respond
            self.state.pool.close_stale(set())
            status, _ = await self.send(target, f'first-{size}')
            self.assertEqual(status, _OK)
            with self.subTest(target=target, size=size):
                status, _ = await self.send(target, f'later-{size}')
                self.assertIn(status, _FAILURES)

    async def test_plain_failure_is_not_a_success(self) -> None:
        """Guards against the status of one response with the body of another."""
        first = _build_success(b'%b', b'done', b'text/plain')
        await self.check_target(_PICKUP, first)

    async def test_stream_failure_is_not_a_success(self) -> None:
        """Guards against the text of a failure as a complete stream."""
        first = _build_success(b'%b', _NOTE, b'text/event-stream')
        await self.check_target(_STREAM, first)


def _build_glued(first: bytes, size: int) -> Callable[[list[bytes]], bytes]:
    def respond(received: list[bytes]) -> bytes:
        whole = first.replace(b'%b', received[0])
        if received[-1].startswith(b'first'):
            return whole
        copy = whole[:size] if len(received) > 1 else b''
        return copy + _build_failure(received[-1])

    return respond


class TestCopiesForTheSameRequest(RepeatedResponsesCase):
    """A copy of the first response to a request precedes that to its next send."""

    async def test_copy_of_a_failure_does_not_end_the_next_run(self) -> None:
        """Guards against a run that nobody reads, and that runs once more."""
        # A stream that has failed on as many replicas as allowed goes back to
        # one of them.
        other = await self.add_engine('engine-2')
        runs: list[bytes] = []
        self.engine.respond = _build_stuttering(_build_failure, runs)
        other.respond = _build_stuttering(_build_failure, runs)
        status, body = await self.send(_STREAM, 'r1', _AMPLE_MS)
        self.assertEqual((status, body), (_OK, _NOTE))
        self.assertEqual(runs, [b'r1'])

    async def test_client_that_sends_an_id_again_gets_the_new_response(
        self,
    ) -> None:
        """Guards against the failure of one attempt as that of the next one."""
        await self.send(_PICKUP, 'earlier')
        runs: list[bytes] = []
        self.desk.respond = _build_stuttering(_build_failure, runs)
        await self.send(_PICKUP, 'r1')
        status, body = await self.send(_PICKUP, 'r1')
        self.assertEqual((status, body), (_OK, _NOTE))
        self.assertEqual(runs, [b'r1'])


def _build_stuttering(
    build_first: Callable[[bytes], bytes], runs: list[bytes]
) -> Callable[[list[bytes]], bytes]:
    """Return how an endpoint responds that succeeds from the second time on.

    A request that comes again on a connection gets a copy of the first response
    before its own.
    """
    seen: set[bytes] = set()

    def respond(received: list[bytes]) -> bytes:
        request_id = received[-1]
        if request_id not in seen:
            seen.add(request_id)
            return build_first(request_id)
        runs.append(request_id)
        copy = build_first(request_id) if request_id in received[:-1] else b''
        return copy + _build_success(request_id, _NOTE, b'text/event-stream')

    return respond


class TestJoinedHeads(TestCase):
    """Heads that the parser accepts and that come from two responses."""

    def test_status_lines_inside_a_head_are_found(self) -> None:
        for reason, text in (
            (b'OHTTP/1.1 500 Internal Server Error', b''),
            (b'OK', b'text/plHTTP/1.1 503 Busy'),
            (b'OK', b'HTTP/1.0 500'),
        ):
            with self.subTest(reason=reason, text=text):
                self.assertTrue(has_joined_heads(reason, [(b'x', text)]))

    def test_ordinary_heads_are_accepted(self) -> None:
        """Guards against failing endpoints behind a proxy."""
        headers = [
            (b'via', b'HTTP/1.1 proxy.example, HTTP/1.1 200.0.0.7'),
            (b'upgrade', b'HTTP/2.0'),
            (b'server', b'x HTTP/1.1'),
        ]
        self.assertFalse(has_joined_heads(b'OK', headers))

    def test_own_interface_fails_the_attempt(self) -> None:
        """Guards against the status of one response with the body of another."""
        sink = Mock()
        call = ServiceCall('a1', Mock(spec=Stage, address='h:1'), b'', sink)
        call.data_received(b'HTTP/1.1 200 O' + _build_failure(b'r1'))
        events = [type(entry.args[0]) for entry in sink.apply.call_args_list]
        self.assertEqual(events, [AttemptFailed])


class TestOwnInterface(TestCase):
    """Further bytes in the read that ends a response, on a call of its own."""

    def receive(self, data: bytes) -> tuple[ServiceCall, list[type]]:
        """Return a call that has received some data, and its events."""
        sink = Mock()
        call = ServiceCall('a1', Mock(spec=Stage, address='h:1'), b'', sink)
        call.data_received(data)
        events = [type(entry.args[0]) for entry in sink.apply.call_args_list]
        return call, [event for event in events if event in _ENDS]

    def test_next_response_does_not_complete_a_body(self) -> None:
        """Guards against bytes of a second response at the end of a body."""
        whole = _respond_well([b'r1'])
        sizes = range(1, len(whole))
        for size in sizes:
            with self.subTest(size=size):
                _, events = self.receive(whole[:size] + whole)
                self.assertEqual(events, [AttemptFailed])

    def test_second_response_changes_nothing(self) -> None:
        """Guards against the status of one response with the body of another."""
        call, events = self.receive(
            _respond_well([b'r1']) + _build_failure(b'r2')
        )
        self.assertEqual(events, [ServiceAnswered])
        self.assertEqual((call.status, call.body), (_OK, b'done'))
        self.assertNotIn(('x-samphirerill-request-id', 'r2'), call.headers)

    def test_trailers_are_no_headers(self) -> None:
        """Guards against headers of a second response among those of the first."""
        call, _ = self.receive(
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'2\r\nok\r\n0\r\ncontent-type: text/html\r\n\r\n'
        )
        self.assertEqual(call.headers, [('transfer-encoding', 'chunked')])


class TestReuse(IsolatedAsyncioTestCase):
    """What a connection may still be used for."""

    def connect(self) -> HttpConnection:
        """Return a connection with a request in progress."""
        conn = HttpConnection('127.0.0.1:1')
        conn.connection_made(Mock(is_closing=Mock(return_value=False)))
        conn.send(b'GET / HTTP/1.1\r\n\r\n', b'own')
        return conn

    async def test_no_reuse_after_the_start_of_a_further_response(self) -> None:
        """Guards against a head whose start came before the request."""
        response = _respond_well([b'r1'])
        sizes = range(len(response))
        for size in sizes:
            with self.subTest(size=size):
                conn = self.connect()
                conn.data_received(response + response[:size])
                now = asyncio.get_running_loop().time()
                head, _ = await read_whole_response(conn, now + 1)
                self.assertEqual(head.status, _OK)
                self.assertEqual(conn.is_usable(now), size == 0)

    async def test_response_may_follow_a_dropped_one_at_once(self) -> None:
        """Guards against losing a response that comes in the next read."""
        conn = self.connect()
        conn.data_received(_respond_well([b'earlier']))
        conn.data_received(_respond_well([b'own']))
        deadline = asyncio.get_running_loop().time() + 1
        head, metadata = await read_head(
            conn, HttpPlatformAdapter(), b'own', deadline
        )
        self.assertEqual((head.status, metadata.request_id), (_OK, b'own'))
        self.assertEqual(
            await read_body(conn, deadline, ResponseMemory()), b'done'
        )

    async def test_response_inside_a_dropped_one_is_noticed(self) -> None:
        """Guards against waiting until the deadline for what has come."""
        conn = self.connect()
        earlier = _build_success(b'earlier', bytes(900), b'text/plain')
        conn.data_received(earlier[:-500] + _respond_well([b'own']))
        deadline = asyncio.get_running_loop().time() + 1
        with self.assertRaisesRegex(BrokenResponseError, 'contains'):
            await read_head(conn, HttpPlatformAdapter(), b'own', deadline)


class TestResponsesCutShort(RepeatedResponsesCase):
    """A response breaks off, and another one follows at once."""

    async def test_next_response_does_not_complete_it(self) -> None:
        """Guards against bytes of a second response at the end of a body."""
        sizes = range(1, len(_respond_well([b'r-000'])))
        for size in sizes:
            self.state.pool.close_stale(set())
            self.desk.respond = partial(_respond_cut, size)
            with self.subTest(size=size):
                status, body = await self.send(_PICKUP, f'r-{size:03d}')
                self.assertIn(status, _FAILURES, body)

    async def test_event_does_not_go_on_with_another_response(self) -> None:
        """Guards against a head within an event, and the loss of that event."""
        self.engine.respond = _build_joined()
        status, body = await self.send(_STREAM, 'r1', _AMPLE_MS)
        self.assertEqual((status, body), (_OK, _NOTE))

    async def test_body_does_not_contain_the_next_response(self) -> None:
        """Guards against two responses as one body, completed to the byte."""
        self.desk.respond = _build_joined()
        status, body = await self.send(_PICKUP, 'r1', _AMPLE_MS)
        self.assertIn(status, _FAILURES, body)


def _build_joined() -> Callable[[list[bytes]], bytes]:
    """Return how an endpoint responds whose first body another response ends."""
    runs: list[bytes] = []

    def respond(received: list[bytes]) -> bytes:
        runs.append(received[-1])
        body = _NOTE
        if len(runs) == 1:
            body = _NOTE[:_CUT_BYTES] + _build_failure(received[-1])
        return _build_success(received[-1], body, b'text/event-stream')

    return respond


def _respond_cut(size: int, received: list[bytes]) -> bytes:
    whole = _respond_well(received)
    return whole[:size] + whole
