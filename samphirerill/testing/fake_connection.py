"""Server connections of fakes, which choose how responses are delimited."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, cast

from samphirerill.backends.framing import Framing
from samphirerill.relay.client_output import ClientOutput
from samphirerill.relay.closed_connections import CloseReason
from samphirerill.relay.server import ClientConnection
from samphirerill.relay.sockets import reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.connection import Headers
    from samphirerill.relay.response_memory import UnreadResponse
    from samphirerill.relay.server import RequestHandler

_EVENT_PART = b'id: '


class BreakKind(Enum):
    """How a response ends that was broken off.

    `ORDERLY`: the connection ends as if the process was killed, without a last
    chunk. `RESET`: it is reset. `FRAMED`: the framing is completed, as by a proxy
    in front of an engine that has failed. `STALL`: nothing follows.
    """

    ORDERLY = 'orderly'
    RESET = 'reset'
    FRAMED = 'framed'
    STALL = 'stall'


@dataclass(slots=True)
class StreamBreak:
    """Where and how streams are broken off.

    Attributes
    ----------
    after_event : int
        Id of the last complete event.
    part : bytes
        What is sent of the next event.
    kind : BreakKind
        How the response ends.
    remaining : int
        Number of streams that are broken off.
    """

    after_event: int
    part: bytes
    kind: BreakKind = BreakKind.ORDERLY
    remaining: int = 1


@dataclass(slots=True)
class Delivery:
    """How responses are delimited and broken off.

    Attributes
    ----------
    framing : Framing
        `CONNECTION` for responses without a length or chunks; `LENGTH` to buffer
        a stream and send it with its length.
    line_end : bytes
        End of a line of an event.
    stream_break : StreamBreak, optional
        Where streams are broken off.
    copied_bytes : int
        How much of the last response, and of a copy before it, is sent once
        more before the next one.
    """

    framing: Framing = Framing.CHUNKS
    line_end: bytes = b'\n'
    stream_break: StreamBreak | None = None
    copied_bytes: int = 0

    def build_event(self, number: int) -> bytes:
        """Return an event."""
        lines = (b'id: %d' % number, b'data: token%d' % number, b'', b'')
        return self.line_end.join(lines)


class _RecordingOutput(ClientOutput):
    """Keeps the last response, which `FakeConnection` may send once more."""

    def __init__(
        self, unread: UnreadResponse, on_overdue: Callable[[], None]
    ) -> None:
        super().__init__(unread, on_overdue)
        self.last_response = b''

    def write(self, data: bytes) -> None:
        """Write bytes, and record them when they are sent."""
        if self._held is None:
            self.last_response += data
        super().write(data)


class FakeConnection(ClientConnection):
    """The connection of one caller of a fake.

    Parameters
    ----------
    handler : RequestHandler
        The fake.
    connections : set
        All open connections.
    delivery : Delivery
        Read for each response.
    """

    build_output = _RecordingOutput
    _output: _RecordingOutput

    def __init__(
        self,
        handler: RequestHandler,
        connections: set[FakeConnection],
        delivery: Delivery,
    ) -> None:
        super().__init__(handler, cast('set[ClientConnection]', connections))
        self.delivery = delivery
        self._is_response_unframed = False
        # The head and the body of a stream that is sent with its length.
        self._buffered: tuple[int, Headers, list[bytes]] | None = None

    def start_response(
        self, status: int, headers: Headers, length: int | None
    ) -> None:
        """Write a response head with or without framing."""
        self._write_copy()
        if self.delivery.framing is Framing.CONNECTION:
            self._start_unframed(status, headers)
        elif self.delivery.framing is Framing.LENGTH and length is None:
            self._buffered = (status, headers, [])
        else:
            super().start_response(status, headers, length)

    def write_body(self, body: bytes) -> None:
        """Write or buffer bytes of the response body."""
        if self._buffered is None:
            super().write_body(body)
        else:
            self._buffered[2].append(body)

    def finish_response(self) -> None:
        """Complete the response."""
        if self._buffered is None:
            super().finish_response()
            return
        status, headers, chunks = self._buffered
        self._buffered = None
        self.respond(status, headers, b''.join(chunks))

    def break_stream(self, number: int) -> bool:
        """Break off a stream before an event if planned; return whether it was."""
        planned = self.delivery.stream_break
        if planned is None or number <= planned.after_event:
            return False
        if not planned.remaining:
            return False
        planned.remaining -= 1
        self.write_body(planned.part)
        self._break_off(planned.kind)
        return True

    def crash(self, *, is_reset: bool) -> None:
        """End the connection as the process of the fake does when it crashes.

        An unframed response that it breaks off in order ends inside an event.
        """
        if self._is_response_unframed and is_reset:
            reset_connection(self._transport)
            return
        if self._is_response_unframed and not self._output.is_complete:
            self.write_body(_EVENT_PART)
        self.abort()

    def _write_copy(self) -> None:
        last = self._output.last_response
        self._output.last_response = b''
        if self.delivery.copied_bytes:
            self._output.write(last[: self.delivery.copied_bytes])
            self._output.last_response = b''

    def _start_unframed(self, status: int, headers: Headers) -> None:
        self.response_started = True
        self._is_response_unframed = True
        self._keeps_alive = False
        self._is_input_ignored = True
        lines = [b'HTTP/1.1 %d Fake' % status]
        lines.extend(b'%b: %b' % pair for pair in headers)
        self._output.write(b'\r\n'.join((*lines, b'', b'')))

    def _break_off(self, kind: BreakKind) -> None:
        if kind is BreakKind.FRAMED:
            self.finish_response()
            return
        self._output.is_complete = True
        if kind is BreakKind.RESET:
            reset_connection(self._transport)
        elif kind is BreakKind.ORDERLY:
            self._close(CloseReason.LAST_RESPONSE)
