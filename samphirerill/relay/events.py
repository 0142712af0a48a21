"""Cut a stream of server-sent events into whole events.

Only whole events are passed on: after half of one, a stream could not be
resumed at another replica without the client seeing the half twice.
"""

from __future__ import annotations

from dataclasses import dataclass, field

_END = b'\n\n'
_ID = b'id:'
# An event beyond this is no event of ours; it is passed on as it comes.
_MOST_BYTES = 1_048_576


@dataclass(slots=True)
class Event:
    """One whole event with its id, -1 if it has none."""

    raw: bytes
    number: int


@dataclass(slots=True)
class EventSplitter:
    """Keeps the beginning of an event until its end has come."""

    rest: bytes = field(default=b'')

    def feed(self, body: bytes) -> list[Event]:
        """Return the events that are now whole."""
        whole = (self.rest + body).split(_END)
        self.rest = whole.pop()
        if len(self.rest) > _MOST_BYTES:
            whole.append(self.rest)
            self.rest = b''
        return [Event(raw + _END, _read_id(raw)) for raw in whole]


def _read_id(raw: bytes) -> int:
    for line in raw.split(b'\n'):
        if line.startswith(_ID):
            text = line[len(_ID) :].strip()
            return int(text) if text.isdigit() else -1
    return -1
