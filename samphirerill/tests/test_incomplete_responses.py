"""Responses of endpoints that end early do not look complete to callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from samphirerill.backends.framing import Framing
from samphirerill.relay.connection import (
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.pool import read_response
from samphirerill.relay.responses import check_stream_end
from samphirerill.relay.server_sent_events import MAX_EVENT_BYTES, EventParser
from samphirerill.relay.sockets import reset_connection
from samphirerill.testing.fake_connection import BreakKind, StreamBreak
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    EVENTS,
    OK,
    RESPONSE_TIMEOUT_S,
    TwoEnginesCase,
    build_headers,
)

if TYPE_CHECKING:
    from samphirerill.testing.platform_replicas import FakeReplica

_EVENT_INTERVAL_S = 0.005
_BREAK_AFTER = 12
# The start of an event, up to within its last line ending.
_PARTS = (b'id', b'id: 13\ndata: tok', b'id: 13\ndata: token13\n')
# Framing and end of responses that are complete by their framing alone.
_COMPLETE_FRAMINGS = (
    (Framing.CONNECTION, BreakKind.ORDERLY),
    (Framing.CHUNKS, BreakKind.FRAMED),
    (Framing.LENGTH, BreakKind.FRAMED),
)
_NO_RESPONSE = 0
# So many that the connection pauses reading.
_PAUSING_BYTES = 600_000


class BreakingEnginesCase(TwoEnginesCase):
    """Two engines, one of which breaks off a stream."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for engine in self.list_engines():
            engine.event_interval_s = _EVENT_INTERVAL_S

    def break_next_stream(
        self,
        framing: Framing,
        kind: BreakKind,
        part: bytes,
        after_event: int = _BREAK_AFTER,
        remaining: int = 1,
    ) -> None:
        """Let the engine that gets the next stream break it off."""
        shared = StreamBreak(after_event, part, kind, remaining)
        for engine in self.list_engines():
            engine.received_requests.clear()
            engine.delivery.framing = framing
            engine.delivery.stream_break = shared

    def list_engines(self) -> list[FakeReplica]:
        """Return both engines."""
        return [
            self.harness.replicas[name] for name in ('engine-1', 'engine-2')
        ]


class TestStreams(BreakingEnginesCase):
    """Streams that an engine breaks off."""

    async def test_end_inside_an_event_is_not_the_end_of_a_stream(
        self,
    ) -> None:
        """Guards against a truncated stream that is framed as complete."""
        cases = [
            (framing, kind, part)
            for framing, kind in _COMPLETE_FRAMINGS
            for part in _PARTS
        ]
        for number, case in enumerate(cases):
            with self.subTest(case=case):
                self.break_next_stream(*case)
                response = await self.request(b'/notes/x', f'r{number}')
                self.assert_complete(response)
                self.assertEqual(len(self.list_used_engines()), 2)
        await self.configure(build_configuration(8, resumable=False))
        for number, part in enumerate(_PARTS):
            with self.subTest('may run once', part=part):
                self.break_next_stream(
                    Framing.CONNECTION, BreakKind.ORDERLY, part
                )
                status, _ = await self.request(b'/notes/x', f'once{number}')
                self.assertEqual(status, _NO_RESPONSE)
                self.assertEqual(len(self.list_used_engines()), 1)

    async def test_reset_is_not_the_end_of_a_stream(self) -> None:
        """Guards against a reset that is read as an orderly end."""
        for number, part in enumerate((b'', *_PARTS)):
            with self.subTest(part=part):
                self.break_next_stream(
                    Framing.CONNECTION, BreakKind.RESET, part
                )
                response = await self.request(b'/notes/x', f'r{number}')
                self.assert_complete(response)
                self.assertEqual(len(self.list_used_engines()), 2)

    async def test_head_alone_is_not_a_stream(self) -> None:
        """Guards against an empty stream of an engine that has crashed."""
        self.break_next_stream(
            Framing.CONNECTION, BreakKind.ORDERLY, b'', after_event=0
        )
        response = await self.request(b'/notes/x')
        self.assert_complete(response)
        self.assertEqual(len(self.list_used_engines()), 2)

    async def test_broken_resumption_is_not_the_end_of_a_stream(self) -> None:
        """Guards against a second run that ends before its first event."""
        for number, part in enumerate((b'id', b': note\nid')):
            with self.subTest(part=part):
                self.break_next_stream(
                    Framing.CONNECTION, BreakKind.ORDERLY, part, remaining=2
                )
                response = await self.request(b'/notes/x', f'r{number}')
                self.assert_complete(response)
                self.assertEqual(len(self.list_used_engines()), 3)

    async def test_event_that_is_too_long_is_not_passed_on(self) -> None:
        """Guards against line endings that the engine has never sent."""
        part = b'data: '.ljust(MAX_EVENT_BYTES + 1, b'x')
        self.break_next_stream(Framing.CHUNKS, BreakKind.STALL, part)
        response = await self.request(b'/notes/x')
        self.assert_complete(response)
        self.assertEqual(len(self.list_used_engines()), 2)

    async def test_lines_may_end_with_cr_lf(self) -> None:
        """Guards against events that are held back, and breaks not seen."""
        for engine in self.list_engines():
            engine.delivery.line_end = b'\r\n'
        for number, part in enumerate((b'id', b'id: 13\r\ndata: token13\r\n')):
            with self.subTest(part=part):
                self.break_next_stream(
                    Framing.CONNECTION, BreakKind.ORDERLY, part
                )
                status, body = await self.request(b'/notes/x', f'r{number}')
                whole = self.build_events(EVENTS).replace(b'\n', b'\r\n')
                self.assertEqual((status, body), (OK, whole))
                self.assertEqual(len(self.list_used_engines()), 2)

    async def test_whole_streams_run_once(self) -> None:
        for number, framing in enumerate(
            (Framing.CONNECTION, Framing.CHUNKS, Framing.LENGTH)
        ):
            with self.subTest(framing):
                for engine in self.list_engines():
                    engine.received_requests.clear()
                    engine.delivery.framing = framing
                response = await self.request(b'/notes/x', f'r{number}')
                self.assert_complete(response)
                self.assertEqual(len(self.list_used_engines()), 1)
        self.assertEqual(response[0], OK)


class TestCheck(IsolatedAsyncioTestCase):
    """What counts as the end of a stream."""

    async def test_only_events_must_be_complete(self) -> None:
        """Guards against another content type that counts as a broken event."""
        conn = HttpConnection('127.0.0.1:9')
        parser = EventParser()
        parser.feed(b'{"choices": []}')
        other = ResponseHead(OK, [(b'content-type', b'application/json')])
        check_stream_end(conn, other, parser, 0)
        for headers in ([], [(b'content-type', b'Text/Event-Stream; x=y')]):
            with self.assertRaises(BrokenResponseError):
                check_stream_end(conn, ResponseHead(OK, headers), parser, 0)


class TestOldClients(BreakingEnginesCase):
    """Clients of HTTP/1.0, which know no chunks."""

    async def test_stream_ends_with_the_connection(self) -> None:
        """Guards against sizes of chunks within the events."""
        head, body = await self.request_as_old_client()
        self.assertNotIn(b'transfer-encoding', head)
        self.assertEqual(body, self.build_events(EVENTS))

    async def test_aborted_stream_is_reset(self) -> None:
        """Guards against a truncated stream that ends in order."""
        await self.configure(build_configuration(8, resumable=False))
        self.break_next_stream(Framing.CONNECTION, BreakKind.ORDERLY, _PARTS[0])
        with self.assertRaises(ConnectionResetError):
            await self.request_as_old_client()

    async def request_as_old_client(self) -> tuple[bytes, bytes]:
        """Send a stream; return head and body once the connection has ended."""
        port = self.process.get_port()
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        req = serialize_request(b'POST', b'/notes/x', build_headers('old'), b'')
        writer.write(req.replace(b'HTTP/1.1', b'HTTP/1.0', 1))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                head, _, body = (await reader.read(-1)).partition(b'\r\n\r\n')
        finally:
            writer.close()
        return head, body


class _Ending:
    """A server that ends its connection after an unframed response."""

    def __init__(self, body: bytes, *, is_reset: bool) -> None:
        self.has_ended = asyncio.Event()
        self._body = body
        self._is_reset = is_reset

    async def respond(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to one request."""
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n' + self._body)
        await writer.drain()
        await asyncio.sleep(_EVENT_INTERVAL_S)
        if self._is_reset:
            reset_connection(writer.transport)
        else:
            writer.close()
        self.has_ended.set()


class TestConnectionEnds(IsolatedAsyncioTestCase):
    """How the end of a connection is read, on real sockets."""

    async def exchange(
        self, body: bytes, *, is_reset: bool, writes_later: bool = False
    ) -> tuple[int, bytes]:
        """Return a response without framing that its server ends in some way."""
        ending = _Ending(body, is_reset=is_reset)
        server = await asyncio.start_server(ending.respond, '127.0.0.1', 0)
        async with server:
            port = server.sockets[0].getsockname()[1]
            conn = HttpConnection(f'127.0.0.1:{port}')
            await conn.open()
            conn.send(serialize_request(b'GET', b'/', [], b''))
            await ending.has_ended.wait()
            if writes_later:
                conn.send(serialize_request(b'GET', b'/', [], b''))
            deadline = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
            try:
                return await read_response(conn, deadline)
            finally:
                conn.close()

    async def test_orderly_end_completes_a_response(self) -> None:
        for body in (b'', b'whole', bytes(_PAUSING_BYTES)):
            response = await self.exchange(body, is_reset=False)
            self.assertEqual(response, (OK, body))

    async def test_reset_completes_nothing(self) -> None:
        """Guards against a reset that is read as an orderly end."""
        for body in (b'', b'part', bytes(_PAUSING_BYTES)):
            for writes_later in (False, True):
                with (
                    self.subTest(size=len(body), writes_later=writes_later),
                    self.assertRaises(BrokenResponseError),
                ):
                    await self.exchange(
                        body, is_reset=True, writes_later=writes_later
                    )
