"""Responses of endpoints that end early do not look complete to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.framing import Framing
from samphirerill.testing.fake_connection import BreakKind, StreamBreak
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import OK, TwoEnginesCase

if TYPE_CHECKING:
    from samphirerill.testing.platform_replicas import FakeReplica

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

    def break_next_stream(
        self, framing: Framing, kind: BreakKind, part: bytes
    ) -> None:
        """Let the engine that gets the next stream break it off."""
        shared = StreamBreak(_BREAK_AFTER, part, kind)
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
