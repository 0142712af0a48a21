"""Endpoints that send a head or a body without an end."""

from __future__ import annotations

import asyncio
import re
from collections import Counter
from functools import partial
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import Mock, patch

from msgspec.structs import replace

from samphirerill.backends.endpoint_call import EndpointCall
from samphirerill.backends.engine_call import EngineCall
from samphirerill.backends.service_call import ServiceCall
from samphirerill.core.commands import OpenAttempt, Stage
from samphirerill.core.events import AttemptFailed
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.errors import BrokenResponseError, ResponseTooLargeError
from samphirerill.relay.pool import call_once
from samphirerill.relay.response_memory import ResponseMemory
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.raw_server import RawServer
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable

_MB = 1_048_576
_BLOCK = b'x' * 65_536
_FIELDS = b'x-field: 1\r\n' * 4096
_SEALED = (
    b'HTTP/1.1 200 OK\r\nx-samphirerill-request-id: %b\r\n'
    b'x-samphirerill-response-seal: s1\r\n'
)
_CHUNKED = _SEALED + b'transfer-encoding: chunked\r\n\r\n'
# What comes first, with the request id to be filled in, and then without an end.
_ENDLESS = {
    'header line': (b'HTTP/1.1 200 OK\r\nx-id: %b', _BLOCK),
    'header fields': (_SEALED, _FIELDS),
    'interim responses': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2048),
    'body without length': (_SEALED + b'\r\n', _BLOCK),
    'body with a huge length': (
        _SEALED + b'content-length: 900000000000\r\n\r\n',
        _BLOCK,
    ),
    'chunks': (_CHUNKED, b'10000\r\n%b\r\n' % _BLOCK),
    'size of a chunk': (_CHUNKED + b'5;', _BLOCK),
    'trailers': (_CHUNKED + b'1\r\nx\r\n0\r\n', _FIELDS),
}
_MAX_RESPONSE_MB = 1
# Limits of short calls, of responses to earlier requests, and of calls of the own
# interface.
_MAX_SHORT_MB = 8
_MAX_SKIPPED_MB = 16
_MAX_OWN_MB = 4
_CALL = b'GET / HTTP/1.1\r\n\r\n'
_REQUEST_ID = re.compile(rb'(?i)x-samphirerill-request-id: (\S+)')
# What a connection may have received before its reader is told.
_READ_AHEAD_MB = 1
_FAILURES = {502, 504}
_TIMEOUT_S = 5.0


class EndlessServer(RawServer):
    """Answers each request with the same kind of response.

    It sends `first`, with the request id filled in, and then `repeated` until the
    connection is closed, or `repeats` times.
    """

    def __init__(self) -> None:
        super().__init__()
        self.first = b''
        self.repeated = b''
        self.repeats = float('inf')

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        head = await reader.readuntil(b'\r\n\r\n')
        found = _REQUEST_ID.search(head)
        request_id = found[1] if found else b''
        writer.write(self.first.replace(b'%b', request_id))
        sent = 0
        while sent < self.repeats:
            sent += 1
            writer.write(self.repeated)
            await writer.drain()


class EndlessCase(IsolatedAsyncioTestCase):
    """A server whose responses do not end."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        # Bytes received, by connection.
        self.taken: Counter[asyncio.Protocol] = Counter()
        self._count_taken(HttpConnection)
        self._count_taken(EndpointCall)
        self.server = EndlessServer()
        listening = await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.addCleanup(listening.close)

    def send_endlessly(self, kind: str) -> None:
        """Let the server send one kind of response."""
        first, repeated = _ENDLESS[kind]
        self.server.first = first
        self.server.repeated = repeated
        self.taken.clear()

    def assert_taken(self, limit_mb: float) -> None:
        """Assert how much was taken from each connection at most."""
        allowed = (limit_mb + _READ_AHEAD_MB) * _MB
        self.assertLess(max(self.taken.values()), allowed)

    def _count_taken(self, connection_type: type[asyncio.Protocol]) -> None:
        """Count the bytes that connections of a type receive."""
        receive = connection_type.data_received

        def count_and_receive(conn: asyncio.Protocol, data: bytes) -> None:
            self.taken[conn] += len(data)
            receive(conn, data)

        patcher = patch.object(
            connection_type, 'data_received', count_and_receive
        )
        patcher.start()
        self.addCleanup(patcher.stop)


class TestPlainServices(EndlessCase):
    """A node in front of such an endpoint."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        await self.harness.store.put(
            'servers/desk-1', build_announcement('desk', self.server.address)
        )
        await self.harness.wait_for_replica_count(1)
        self.state = self.harness.require_first_node().state
        self.state.apply_settings(
            replace(self.state.settings, max_response_mb=_MAX_RESPONSE_MB)
        )

    async def test_memory_is_limited(self) -> None:
        """Guards against a node that is killed for its memory."""
        for kind in _ENDLESS:
            with self.subTest(kind):
                self.send_endlessly(kind)
                self.state.view.note_alive('desk-1')
                status, _ = await self.harness.send_request(
                    b'/pickup/x', build_headers(f'r-{kind.replace(" ", "-")}')
                )
                self.assertIn(status, _FAILURES)
                self.assert_taken(_MAX_RESPONSE_MB)
                self.assertEqual(self.state.pool.response_memory.used_bytes, 0)

    async def test_response_to_an_earlier_request_is_not_read_for_long(
        self,
    ) -> None:
        """Guards against reading at full speed what is discarded."""
        self.send_endlessly('body without length')
        self.server.first = self.server.first.replace(b'%b', b'earlier')
        status, _ = await self.harness.send_request(
            b'/pickup/x', build_headers('r-later')
        )
        self.assertIn(status, _FAILURES)
        self.assert_taken(_MAX_SKIPPED_MB)

    async def test_a_large_response_is_whole(self) -> None:
        """Guards against a limit that fails what an endpoint has completed."""
        size = _MAX_RESPONSE_MB * _MB
        self.server.first = _SEALED + b'content-length: %d\r\n\r\n' % size
        self.server.repeated = _BLOCK
        self.server.repeats = size // len(_BLOCK)
        status, body = await self.harness.send_request(
            b'/pickup/x', build_headers('r-large')
        )
        self.assertEqual((status, len(body)), (200, size))


class TestShortCalls(EndlessCase):
    """Calls to the store, to other nodes, and to engines for their reports."""

    async def test_memory_is_limited(self) -> None:
        for kind in _ENDLESS:
            with self.subTest(kind):
                self.send_endlessly(kind)
                deadline = asyncio.get_running_loop().time() + _TIMEOUT_S
                with self.assertRaises(BrokenResponseError):
                    await call_once(
                        self.server.address, b'GET', b'/', b'', deadline
                    )
                self.assert_taken(_MAX_SHORT_MB)


class TestOwnInterface(EndlessCase):
    """Calls of the own interface, to plain services and engines."""

    async def test_memory_of_service_calls_is_limited(self) -> None:
        for kind in _ENDLESS:
            with self.subTest(kind):
                await self._check(kind, self._build_service_call)

    async def test_memory_of_engine_calls_is_limited(self) -> None:
        for kind in _ENDLESS:
            with self.subTest(kind):
                await self._check(kind, self._build_engine_call)

    async def _check(
        self, kind: str, build_call: Callable[[Mock], EndpointCall]
    ) -> None:
        self.send_endlessly(kind)
        failed = asyncio.Event()
        sink = Mock()
        sink.apply = partial(_note_failure, failed)
        await build_call(sink).open()
        async with asyncio.timeout(_TIMEOUT_S):
            await failed.wait()
        self.assert_taken(_MAX_OWN_MB)

    def _build_stage(self) -> Mock:
        return Mock(spec=Stage, address=self.server.address, endpoint='e1')

    def _build_service_call(self, sink: Mock) -> EndpointCall:
        return ServiceCall('a1', self._build_stage(), _CALL, sink)

    def _build_engine_call(self, sink: Mock) -> EndpointCall:
        stages = [self._build_stage()]
        command = Mock(spec=OpenAttempt, attempt_id='a1', stages=stages)
        return EngineCall(command, _CALL, sink)


def _note_failure(failed: asyncio.Event, event: object) -> None:
    if isinstance(event, AttemptFailed):
        failed.set()


class TestResponseMemory(TestCase):
    """The memory of all responses together."""

    def setUp(self) -> None:
        settings = Mock(
            spec=EdgeSettings, max_response_mb=16, response_memory_mb=4
        )
        self.memory = ResponseMemory()
        self.memory.apply_settings(settings)

    def test_the_largest_response_is_broken_off(self) -> None:
        """Guards against one endpoint that fails the responses of others."""
        small, large = self.memory.open('a'), self.memory.open('b')
        with large:
            large.append(bytes(3 * _MB))
            with small:
                small.append(bytes(2 * _MB))
                self.assertEqual(len(small.join()), 2 * _MB)
            with self.assertRaises(ResponseTooLargeError):
                large.append(b'x')
        self.assertEqual(
            (self.memory.used_bytes, self.memory.broken_off), (0, 1)
        )

    def test_ordinary_responses_are_kept(self) -> None:
        bodies = [self.memory.open(f'e{number}') for number in range(200)]
        for body in bodies:
            body.append(bytes(40_000))
        self.assertEqual(self.memory.broken_off, 0)
