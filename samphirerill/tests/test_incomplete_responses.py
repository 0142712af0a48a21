"""Responses of endpoints that end early do not look complete to callers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.backends.framing import Framing
from samphirerill.relay.connection import serialize_request
from samphirerill.relay.server_sent_events import MAX_EVENT_BYTES
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
