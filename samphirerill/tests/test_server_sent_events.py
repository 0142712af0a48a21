"""Events are found in a byte stream, however lines end and data arrives."""

from __future__ import annotations

from itertools import pairwise
from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from samphirerill.relay.server_sent_events import EventParser

_LINE_ENDS = (b'\n', b'\r\n', b'\r')
_EVENTS = 6
_MAX_BYTES = 40
_SETTINGS = settings(max_examples=400, deadline=None, derandomize=True)


def _build_event(number: int, line_end: bytes) -> bytes:
    lines = (b'id: %d' % number, b'data: token%d' % number, b'', b'')
    return line_end.join(lines)


def _feed(parser: EventParser, body: bytes, cuts: list[int]) -> list[int]:
    """Feed a body in pieces; return the ids of its events."""
    offsets = sorted(cut % (len(body) + 1) for cut in cuts)
    bounds = [0, *offsets, len(body)]
    events = []
    for begin, end in pairwise(bounds):
        events += parser.feed(body[begin:end])
    return [event.event_id for event in events if event.raw.strip()]


class TestEvents(TestCase):
    """Complete events."""

    @_SETTINGS
    @given(
        st.lists(st.sampled_from(_LINE_ENDS), min_size=1, max_size=_EVENTS),
        st.lists(st.integers(0, _MAX_BYTES * _EVENTS)),
    )
    def test_events_are_found_at_any_boundary(
        self, line_ends: list[bytes], cuts: list[int]
    ) -> None:
        """Guards against events that are held back to the end of a stream."""
        body = b''.join(
            _build_event(number, line_end)
            for number, line_end in enumerate(line_ends)
        )
        parser = EventParser()
        self.assertEqual(_feed(parser, body, cuts), list(range(len(line_ends))))
        self.assertFalse(parser.is_inside_event())

    @_SETTINGS
    @given(
        st.sampled_from(_LINE_ENDS),
        st.integers(1, _MAX_BYTES),
        st.lists(st.integers(0, _MAX_BYTES * _EVENTS)),
    )
    def test_a_cut_event_is_noticed(
        self, line_end: bytes, kept_bytes: int, cuts: list[int]
    ) -> None:
        """Guards against a truncated event that counts as complete."""
        event = _build_event(2, line_end)
        # The last line ending is whole, or the event is not complete.
        size = min(kept_bytes, len(event) - len(line_end))
        parser = EventParser()
        body = _build_event(1, line_end) + event[:size]
        self.assertEqual(_feed(parser, body, cuts), [1])
        self.assertTrue(parser.is_inside_event())

    def test_bytes_are_passed_on_unchanged(self) -> None:
        body = b'id: 1\r\n\r\n: note\n\nid: 2\rdata: x\r\rid: 3\n'
        parser = EventParser()
        raw = b''.join(
            event.raw
            for index in range(len(body))
            for event in parser.feed(body[index : index + 1])
        )
        self.assertEqual(raw + parser.buffer, body)

    def test_what_is_no_event_may_follow_the_last_one(self) -> None:
        for rest in (b'', b'\n', b'\r\n', b': bye\n', b'\n: bye\r\n'):
            with self.subTest(rest):
                parser = EventParser()
                parser.feed(_build_event(1, b'\n') + rest)
                self.assertFalse(parser.is_inside_event())

    def test_what_is_not_complete_is_inside_an_event(self) -> None:
        for rest in (b'i', b': by', b': bye\nid: 2\n', b'data:\n'):
            with self.subTest(rest):
                parser = EventParser()
                parser.feed(_build_event(1, b'\n') + rest)
                self.assertTrue(parser.is_inside_event())
