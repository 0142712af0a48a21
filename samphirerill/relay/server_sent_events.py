"""Split a byte stream of server-sent events into complete events.

Only complete events are forwarded: after a partial one, a stream could not be
resumed at another replica without repeating that part to the client. Lines end
with LF, CR LF or CR, as the HTML standard allows.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

# Atomic groups: the two bytes of a CR LF must not be read as two line endings.
_EVENT_END = re.compile(rb'(?>\r\n|\n|\r)(?>\r\n|\n|\r)')
# Bytes of an event end that may be buffered before its last one arrives.
_MAX_PARTIAL_END = 3
_ID_FIELD = b'id:'
_COMMENT = b':'
_LINE_ENDS = (b'\n', b'\r')
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
        search_from = max(0, len(self.buffer) - _MAX_PARTIAL_END)
        received = self.buffer + body
        events = []
        begin = 0
        for end in _EVENT_END.finditer(received, search_from):
            raw = received[begin : end.end()]
            events.append(Event(raw, _read_id(raw)))
            begin = end.end()
        self.buffer = received[begin:]
        return events

    def is_inside_event(self) -> bool:
        """Return whether an event has begun and not ended.

        Blank lines and comments belong to no event.
        """
        return any(
            not line.startswith(_COMMENT) or not line.endswith(_LINE_ENDS)
            for line in self.buffer.splitlines(keepends=True)
            if line.strip(b'\r\n')
        )

    def is_too_long(self) -> bool:
        """Return whether the incomplete event is longer than allowed."""
        return len(self.buffer) > MAX_EVENT_BYTES


def _read_id(raw: bytes) -> int:
    for line in raw.splitlines():
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else -1
    return -1
