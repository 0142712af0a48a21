"""What is sent to one client, and what the client has not read of it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from samphirerill.relay.sockets import disable_nagle, reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.response_memory import UnreadResponse

_HIGH_WATER_BYTES = 131_072


class ClientOutput:
    """Frames responses, and writes them to the transport of a connection.

    Parameters
    ----------
    unread : UnreadResponse
        Counts what the transport buffers.
    on_overdue : callable
        Called when the client has read nothing for too long.

    Attributes
    ----------
    response_bytes : int
        Bytes of the current response that were written.
    is_complete : bool
        Whether the current response is complete.
    """

    # How long a client may go without reading any of what is buffered.
    read_timeout_s = 10.0

    __slots__ = (
        '_ends_with_connection',
        '_held',
        '_is_chunked',
        '_loop',
        '_on_overdue',
        '_transport',
        '_unread',
        '_writable',
        'is_complete',
        'response_bytes',
    )

    def __init__(
        self, unread: UnreadResponse, on_overdue: Callable[[], None]
    ) -> None:
        self.response_bytes = 0
        self.is_complete = False
        self._unread = unread
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._transport: Any = None
        self._writable: asyncio.Future[None] | None = None
        # The head that is written together with the body; none to write at once.
        self._held: list[bytes] | None = None
        self._is_chunked = False
        self._ends_with_connection = False

    @property
    def unsent_bytes(self) -> int:
        """Return what the transport buffers."""
        return int(self._transport.get_write_buffer_size())

    @property
    def is_blocked(self) -> bool:
        """Return whether the client has to read before more is written."""
        return self._writable is not None

    def open(self, transport: asyncio.BaseTransport) -> None:
        """Write to this transport from now on."""
        self._transport = transport
        self._transport.set_write_buffer_limits(high=_HIGH_WATER_BYTES)
        disable_nagle(transport)

    def begin_response(self) -> None:
        """Begin the response to the next request."""
        self.response_bytes = 0
        self.is_complete = False
        self._is_chunked = False
        self._ends_with_connection = False

    def frame_body(
        self, length: int | None, *, accepts_chunks: bool
    ) -> list[bytes]:
        """Return the header fields that say where the body ends.

        Without them it ends with the connection.

        Parameters
        ----------
        length : int, optional
            Its length in bytes, if that is known.
        accepts_chunks : bool
            Whether the client reads chunks.
        """
        self._is_chunked = length is None and accepts_chunks
        self._ends_with_connection = length is None and not accepts_chunks
        if self._is_chunked:
            return [b'transfer-encoding: chunked']
        return [] if length is None else [b'content-length: %d' % length]

    def write_body(self, body: bytes) -> None:
        """Write bytes of the response body."""
        if self._is_chunked:
            body = b'%x\r\n%b\r\n' % (len(body), body)
        self.write(body)

    def finish_response(self) -> None:
        """Complete the response."""
        if self._is_chunked:
            self.write(b'0\r\n\r\n')
        self.is_complete = True

    def hold(self) -> None:
        """Keep what is written until `release`.

        One write takes less time than a call of the system for each part.
        """
        self._held = []

    def release(self, body: bytes) -> None:
        """Write what was kept, and the whole body."""
        held = self._held or []
        self._held = None
        self.write(b''.join((*held, body)))
        self.is_complete = True

    def write(self, data: bytes) -> None:
        """Write bytes of a response, unless the transport is closing."""
        if self._held is not None:
            self._held.append(data)
        elif self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)
            self.response_bytes += len(data)
            if self._writable is not None:
                self.record_unread()

    def record_unread(self) -> None:
        """Record what the transport buffers; little is not worth counting."""
        self._unread.update(self.unsent_bytes)

    def pause(self) -> None:
        """Let `drain` wait: the client reads slowly."""
        self._writable = self._loop.create_future()

    def resume(self) -> None:
        """Let `drain` return: the client has read most of the responses."""
        self._release_writer()
        self._writable = None
        self._unread.update(0)

    async def drain(self) -> None:
        """Wait until a slow client has read some of its response."""
        writable = self._writable
        while writable is not None and not writable.done():
            unsent_bytes = self.unsent_bytes
            await asyncio.wait((writable,), timeout=self.read_timeout_s)
            if writable.done():
                return
            if self.unsent_bytes >= unsent_bytes:
                self._on_overdue()
                return

    def abort(self) -> None:
        """Close the transport so that the response is seen as incomplete."""
        if self._transport is None:
            return
        if self._ends_with_connection:
            reset_connection(self._transport)
        else:
            self._transport.abort()

    def discard(self) -> None:
        """Forget what is unsent, as the connection has closed."""
        self._unread.update(0)
        self._release_writer()

    def _release_writer(self) -> None:
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
