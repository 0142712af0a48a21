"""Bytes behind a response, and state of a parser that outlives a response."""

from __future__ import annotations

import asyncio
import re
import tracemalloc
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock

from samphirerill.backends.service_call import ServiceCall
from samphirerill.backends.store import StoreUnreachableError
from samphirerill.core.commands import Stage
from samphirerill.core.events import ServiceAnswered
from samphirerill.node.endpoint_responses import read_response
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.store import LeaseNotFoundError, PlatformStore
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import BrokenResponseError, EndpointError
from samphirerill.relay.health import fetch_report
from samphirerill.relay.orders import send_order
from samphirerill.relay.pool import read_whole_response
from samphirerill.relay.responses import read_head
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable

_OK = 200
_NO_CONTENT = 204
_REQUEST_ID = re.compile(rb'(?i)x-samphirerill-request-id: (\S+)')
_SIGNED = (
    b'x-samphirerill-request-id: %b\r\nx-samphirerill-response-seal: s-%b\r\n'
)
_WHOLE = b'HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone'
_LAST = b'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\ndone'
_OLD = b'HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\ndone'
_CHUNKED = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'4\r\ndone\r\n0\r\n\r\n'
)
_EMPTY = b'HTTP/1.1 204 No Content\r\n\r\n'
_GARBAGE = b'\x00\x01 no response'
_EVENT = b'id: 0\ndata: x\n\n'
_PICKUP = b'/pickup/x'
_STREAM = b'/notes/x'
_DEADLINE = b'x-samphirerill-deadline-ms'
_TIMEOUT_S = 1.0
_MAX_ID_BYTES = 65_536


def _connect(transport: Mock | None = None) -> HttpConnection:
    """Return a connection with a request in progress."""
    conn = HttpConnection('127.0.0.1:1')
    conn.connection_made(transport or Mock(is_closing=Mock(return_value=False)))
    conn.send(b'GET / HTTP/1.1\r\n\r\n')
    return conn


async def _read(conn: HttpConnection) -> tuple[int, bytes]:
    """Return status and body; the status is 0 if there is no response."""
    deadline = asyncio.get_running_loop().time() + _TIMEOUT_S
    try:
        head, body = await read_whole_response(conn, deadline)
    except EndpointError as exc:
        return 0, str(exc).encode()
    return head.status, body


class TestCompleteResponses(IsolatedAsyncioTestCase):
    """A response that can't have been completed by what follows it."""

    async def check(self, *reads: bytes) -> None:
        """Assert that the response counts, and the connection is not reused."""
        conn = _connect()
        for received in reads:
            conn.data_received(received)
        self.assertIn(await _read(conn), ((_OK, b'done'), (_NO_CONTENT, b'')))
        self.assertFalse(conn.is_usable(asyncio.get_running_loop().time()))

    async def test_whole_second_response_behind_the_last_one(self) -> None:
        """Guards against losing a response of an endpoint that closes."""
        for response in (_LAST, _OLD):
            with self.subTest(response):
                await self.check(response + response)

    async def test_second_response_in_a_later_read(self) -> None:
        """Guards against losing a response whose reader has not run yet."""
        await self.check(_LAST, _LAST)

    async def test_joined_responses_behind_it(self) -> None:
        """Guards against losing a response to a fault of further ones."""
        await self.check(_WHOLE + b'HTTP/1.1 200 O' + _WHOLE)

    async def test_other_bytes_behind_it(self) -> None:
        """Guards against losing a response whose end is beyond doubt.

        The end of a chunked or empty response is not a count of bytes, and a
        body without any part of a status line was not completed with one.
        """
        for response in (_CHUNKED, _EMPTY, _WHOLE):
            with self.subTest(response):
                await self.check(response + _GARBAGE)

    async def test_other_bytes_in_a_later_read(self) -> None:
        """Guards against losing a response that a slow client holds up."""
        await self.check(_WHOLE, _GARBAGE)


class TestState(IsolatedAsyncioTestCase):
    """What a connection keeps."""

    async def test_unread_responses_are_bounded(self) -> None:
        """Guards against memory that grows while a slow client is served."""
        transport = Mock(is_closing=Mock(return_value=False))
        conn = _connect(transport)
        conn.data_received(_WHOLE)
        for _ in range(100):
            conn.data_received(_EMPTY * 1000)
        is_stopped = transport.abort.called or transport.pause_reading.called
        self.assertTrue(is_stopped)

    async def test_no_reuse_after_the_last_response(self) -> None:
        """Guards against a parser that rejects the response to the next request."""
        for head in (
            b'HTTP/1.1 200 OK\r\nconnection: close, x\r\n',
            b'HTTP/1.1 200 OK\r\nconnection: x\r\nconnection: close\r\n',
            b'HTTP/1.0 200 OK\r\n',
        ):
            with self.subTest(head):
                conn = _connect()
                conn.data_received(head + b'content-length: 4\r\n\r\ndone')
                self.assertEqual(await _read(conn), (_OK, b'done'))
                if conn.is_usable(asyncio.get_running_loop().time()):
                    conn.send(b'GET / HTTP/1.1\r\n\r\n')
                    conn.data_received(_WHOLE)
                    self.assertEqual(await _read(conn), (_OK, b'done'))

    async def test_long_request_ids_are_not_kept(self) -> None:
        """Guards against memory that clients fill with the ids of requests."""
        conn = _connect(Mock(is_closing=Mock(return_value=True)))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(32):
            conn.send(b'', bytes((number,)) * _MAX_ID_BYTES)
        kept_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept_bytes, 4 * _MAX_ID_BYTES)


class TestHeads(IsolatedAsyncioTestCase):
    """Heads of two responses, the second of which lacks its status line."""

    async def test_two_signatures_in_a_head(self) -> None:
        """Guards against the status of one response with the body of another."""
        conn = _connect()
        conn.data_received(
            b'HTTP/1.1 200 OK\r\nx-samphirerill-response-seal: s-r1\r\n'
            b'x-samphirerill-request-id: r2\r\n'
            b'x-samphirerill-response-seal: s-r2\r\n'
            b'content-length: 6\r\n\r\nfailed'
        )
        deadline = asyncio.get_running_loop().time() + _TIMEOUT_S
        with self.assertRaises(BrokenResponseError):
            await read_head(conn, HttpPlatformAdapter(), b'r2', deadline)


class TestOwnInterface(TestCase):
    """Attempts of the own interface."""

    def call(self, response: bytes) -> tuple[ServiceCall, bool]:
        """Return a call that got a response, and whether it has succeeded."""
        sink = Mock()
        call = ServiceCall('a1', Mock(spec=Stage, address='h:1'), b'', sink)
        call.data_received(response)
        events = [type(entry.args[0]) for entry in sink.apply.call_args_list]
        return call, ServiceAnswered in events

    def test_next_response_does_not_complete_a_body(self) -> None:
        """Guards against bytes of a second response at the end of a body."""
        response = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nthe body.'
        for cut in range(1, 9):
            with self.subTest(cut=cut):
                call, has_answered = self.call(response[:-cut] + response)
                self.assertFalse(has_answered, call.body)

    def test_trailers_are_not_headers(self) -> None:
        """Guards against headers of another response in a trailer section."""
        call, _ = self.call(
            b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
            b'4\r\ndone\r\n0\r\nx-sum: aHTTP/1.1 403 Forbidden\r\n'
            b'set-cookie: of-another-client\r\n\r\n'
        )
        names = [name.lower() for name, _ in call.list_end_to_end_headers()]
        self.assertNotIn('set-cookie', names)


class TestShortResponses(IsolatedAsyncioTestCase):
    """Health checks, load polls and orders of the own interface."""

    async def test_joined_heads_are_rejected(self) -> None:
        """Guards against the status of one response with the body of another."""
        reader = asyncio.StreamReader()
        reader.feed_data(
            b'HTTP/1.1 200 OHTTP/1.1 503 Busy\r\ncontent-length: 2\r\n\r\n{}'
        )
        with self.assertRaises(ValueError):
            await read_response(reader)


class _Endpoint:
    """Responds as `respond` says, which takes the request and its number.

    The number counts the requests of the connection. The connection is closed
    after an empty response, or after one with `is_last`.
    """

    def __init__(self) -> None:
        self.respond: Callable[[bytes, int], bytes] = _respond_never
        self.is_last = False
        self.runs: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve a connection."""
        number = 0
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                number += 1
                if _REQUEST_ID.search(head):
                    self.runs.append(head)
                response = self.respond(head, number)
                writer.write(response)
                if self.is_last or not response:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


def _respond_never(head: bytes, number: int) -> bytes:
    return b''


class TestNode(IsolatedAsyncioTestCase):
    """A node in front of one plain endpoint and one engine."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        self.desk = await self.add('desk-1', 'desk')
        self.engine = await self.add('engine-1', 'llm', 'vast', (0, 80))
        await self.harness.wait_for_replica_count(2)
        self.state = self.harness.require_first_node().state

    async def add(
        self,
        name: str,
        service: str,
        kind: str = '',
        layers: tuple[int, int] | None = None,
    ) -> _Endpoint:
        """Start and announce an endpoint."""
        endpoint = _Endpoint()
        server = await asyncio.start_server(endpoint.serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        await self.harness.store.put(
            f'servers/{name}',
            build_announcement(service, f'{host}:{port}', kind, layers),
        )
        return endpoint

    async def send(self, target: bytes) -> tuple[int, bytes]:
        """Send a request."""
        for name in ('desk-1', 'engine-1'):
            self.state.view.note_alive(name)
        headers = [*build_headers('r1'), (_DEADLINE, b'1500')]
        try:
            return await self.harness.send_request(target, headers)
        except EndpointError as exc:
            return 0, str(exc).encode()

    async def test_plain_request_with_a_second_response(self) -> None:
        """Guards against 502 for a request that ran once and was answered."""
        response = _build_response(b'text/plain', b'done', b'connection: close')
        self.desk.respond = Mock(return_value=response * 2)
        self.assertEqual(await self.send(_PICKUP), (_OK, b'done'))
        self.assertEqual(len(self.desk.runs), 1)

    async def test_stream_with_a_second_response(self) -> None:
        """Guards against a complete stream that runs again or is cut."""
        response = _build_response(
            b'text/event-stream', _EVENT, b'connection: close'
        )
        self.engine.respond = Mock(return_value=response * 2)
        self.assertEqual(await self.send(_STREAM), (_OK, _EVENT))
        self.assertEqual(len(self.engine.runs), 1)

    async def test_stream_with_other_bytes_behind_its_last_chunk(self) -> None:
        """Guards against a complete stream that runs again or is cut."""
        response = _build_response(
            b'text/event-stream',
            b'%x\r\n%b\r\n0\r\n\r\n' % (len(_EVENT), _EVENT),
        ).replace(b'OK\r\n', b'OK\r\ntransfer-encoding: chunked\r\n')
        self.engine.respond = Mock(return_value=response + _GARBAGE)
        self.assertEqual(await self.send(_STREAM), (_OK, _EVENT))
        self.assertEqual(len(self.engine.runs), 1)

    async def test_second_response_behind_a_body_without_length(self) -> None:
        """Guards against a status line inside a body that has no length."""
        response = _build_response(b'text/plain', b'done')
        self.desk.is_last = True
        self.desk.respond = Mock(return_value=response * 2)
        _, body = await self.send(_PICKUP)
        self.assertNotIn(b'HTTP/1.1', body)

    async def test_second_response_behind_a_stream_without_length(self) -> None:
        """Guards against the head of a response as an event of a stream."""
        response = _build_response(b'text/event-stream', _EVENT)
        self.engine.is_last = True
        self.engine.respond = Mock(return_value=response * 2)
        _, body = await self.send(_STREAM)
        self.assertNotIn(b'HTTP/1.1', body)

    async def test_second_report_is_not_the_response_to_an_order(self) -> None:
        """Guards against an order that counts as accepted and was rejected."""
        report = _build_short(b'200 OK', b'{"busy": false, "sequence": 0}')
        rejection = _build_short(b'409 Conflict', b'')

        def respond(head: bytes, number: int) -> bytes:
            if head.startswith(b'GET'):
                return report
            return report + rejection if number > 1 else rejection

        self.engine.respond = respond
        replica = self.state.view.replicas['engine-1'].replica
        self.assertIsNotNone(await fetch_report(self.state, replica))
        status = await send_order(self.state, replica, b'{}')
        self.assertNotEqual(status, _OK)


def _build_response(kind: bytes, body: bytes, *lines: bytes) -> bytes:
    """Return a signed response; it has a length if there are further lines."""
    framing = b'content-length: %d\r\n' % len(body) if lines else b''
    further = b''.join(b'%b\r\n' % line for line in lines)
    head = b'HTTP/1.1 200 OK\r\ncontent-type: %b\r\n' % kind
    return head + _SIGNED % (b'r1', b'r1') + framing + further + b'\r\n' + body


def _build_short(status: bytes, body: bytes) -> bytes:
    return (
        b'HTTP/1.1 %b\r\nkeep-alive: timeout=5\r\ncontent-length: %d\r\n\r\n%b'
        % (status, len(body), body)
    )


class TestStore(IsolatedAsyncioTestCase):
    """A store that sends the response to a call twice, the second time late."""

    async def test_second_response_is_not_that_to_the_next_call(self) -> None:
        """Guards against a write that counts as done and was rejected."""
        first = _build_short(b'200 OK', b'{"lease": 1, "ttlMs": 9000}')
        second = _build_short(b'404 Not Found', b'{}')

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            await reader.readexactly(len(b'{"ttlMs":9000}'))
            writer.write(first)
            await reader.readuntil(b'\r\n\r\n')
            writer.write(first + second)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        store = PlatformStore(f'{host}:{port}')
        self.addCleanup(store.close)
        self.assertEqual(await store.grant_lease(9), 1)
        with self.assertRaises((LeaseNotFoundError, StoreUnreachableError)):
            await store.renew_lease(1)
