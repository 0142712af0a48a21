"""Split a byte stream of server-sent events into complete events.

Only complete events are forwarded: after a partial one, a stream could not be
resumed at another replica without repeating that part to the client. Lines end
with LF, CR LF or CR, as the HTML standard allows.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from samphirerill.decoding.bounds import parse_ordinal

# Atomic groups: the two bytes of a CR LF must not be read as two line endings.
_EVENT_END = re.compile(rb'(?>\r\n?|\n)(?>\r\n?|\n)')
# Bytes of an event end that may be buffered before its last one arrives.
_MAX_PARTIAL_END = 3
_BLANK_LINE = b'\n\n'
_ID_LINE = re.compile(rb'(?:\A|[\n\r])id:([^\n\r]*)')
_COMMENT = b':'
_LF = b'\n'
_CR = b'\r'
# Bounds the buffer; a run with a longer event is broken off.
MAX_EVENT_BYTES = 1_048_576


@dataclass(slots=True)
class Event:
    """One complete event.

    Attributes
    ----------
    raw : bytes
        The event as received, with its terminating blank line.
    event_id : int
        The event's id; -1 if it has none or it is not a number.
    """

    raw: bytes
    event_id: int


@dataclass(slots=True)
class EventParser:
    """Buffers an incomplete event until the rest of it arrives."""

    buffer: bytes = field(default=b'')

    def feed(self, body: bytes) -> list[Event]:
        """Add received data; return the events completed by it."""
        received = self.buffer + body
        if _CR in received:
            raw_events, rest = _split_any(received, len(self.buffer))
        else:
            raw_events, rest = _split_lines(received)
        self.buffer = rest
        return [Event(raw, _read_id(raw)) for raw in raw_events]

    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended.

        Blank lines and comments belong to no event.
        """
        return any(
            not line.startswith(_COMMENT) or not line.endswith((_LF, _CR))
            for line in self.buffer.splitlines(keepends=True)
            if line.strip(b'\r\n')
        )

    def is_too_long(self) -> bool:
        """Return whether the incomplete event is longer than allowed."""
        return len(self.buffer) > MAX_EVENT_BYTES


def _split_lines(received: bytes) -> tuple[list[bytes], bytes]:
    """Return the complete events, whose lines end with LF, and the rest."""
    parts = received.split(_BLANK_LINE)
    rest = parts.pop()
    return [part + _BLANK_LINE for part in parts], rest


def _split_any(
    received: bytes, buffered_bytes: int
) -> tuple[list[bytes], bytes]:
    """Return the complete events, however their lines end, and the rest.

    The bytes that were buffered before contain no end of an event.
    """
    search_from = max(0, buffered_bytes - _MAX_PARTIAL_END)
    raw_events = []
    begin = 0
    for end in _EVENT_END.finditer(received, search_from):
        raw_events.append(received[begin : end.end()])
        begin = end.end()
    return raw_events, received[begin:]


def _read_id(raw: bytes) -> int:
    found = _ID_LINE.search(raw)
    if found is None:
        return -1
    number = parse_ordinal(found[1].strip())
    return -1 if number is None else number
