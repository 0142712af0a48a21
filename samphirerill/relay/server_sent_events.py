"""Split a byte stream of server-sent events into complete events.

Only complete events are forwarded: after a partial one, a stream could not be
resumed at another replica without repeating that part to the client.
"""

from __future__ import annotations

from dataclasses import dataclass, field

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
# An incomplete event that is longer is passed on as if it were complete.
_MAX_EVENT_BYTES = 1_048_576


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
        complete = (self.buffer + body).split(_EVENT_END)
        self.buffer = complete.pop()
        if len(self.buffer) > _MAX_EVENT_BYTES:
            complete.append(self.buffer)
            self.buffer = b''
        return [Event(raw + _EVENT_END, _read_id(raw)) for raw in complete]


def _read_id(raw: bytes) -> int:
    for line in raw.split(b'\n'):
        if line.startswith(_ID_FIELD):
            text = line[len(_ID_FIELD) :].strip()
            return int(text) if text.isdigit() else -1
    return -1
