"""Memory that responses of endpoints take up until clients have read them.

An endpoint may send a body without an end, and a client may not read its response.
The memory of one response and that of all together are limited. Beyond that, the
response that its client has not read for longest is given up, or else the largest
incomplete one is broken off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import ResponseTooLargeError

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from samphirerill.platform.settings import EdgeSettings

_LOG = get_logger('responses')
_BYTES_PER_MB = 1_048_576
# Ordinary responses are not broken off because others fill the memory.
_EXEMPT_BYTES = 65_536


class ResponseMemory:
    """The memory of all incomplete responses at a node.

    It has no limits until `apply_settings` is called.

    Attributes
    ----------
    used_bytes : int
        What incomplete and unread responses hold.
    broken_off : int
        How many incomplete responses exceeded a limit.
    given_up : int
        How many unread responses were given up for others.
    """

    def __init__(self) -> None:
        self.used_bytes = 0
        self.broken_off = 0
        self.given_up = 0
        # The longest unread first.
        self._unread: dict[UnreadResponse, None] = {}
        self._bodies: set[ResponseBody] = set()
        self._max_bytes = float('inf')
        self._max_used_bytes = float('inf')

    def apply_settings(self, settings: EdgeSettings) -> None:
        """Apply the limits of the settings to what is received from now on."""
        self._max_bytes = settings.max_response_mb * _BYTES_PER_MB
        self._max_used_bytes = settings.response_memory_mb * _BYTES_PER_MB

    def open(self, address: str) -> ResponseBody:
        """Return an empty body; use it as a context manager.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the endpoint.
        """
        body = ResponseBody(self, address)
        self._bodies.add(body)
        return body

    def record_growth(self, body: ResponseBody, size: int) -> None:
        """Record that a body has grown, and break off what is too large."""
        self.used_bytes += size
        if body.size > self._max_bytes:
            self._break_off(body, f'over {self._max_bytes:.0f} bytes')
        self._give_up_unread()
        while self.used_bytes > self._max_used_bytes:
            largest = max(self._bodies, key=_get_size, default=body)
            if largest.size <= _EXEMPT_BYTES:
                return
            self._break_off(
                largest,
                'the largest of all, which hold over '
                f'{self._max_used_bytes:.0f} bytes',
            )

    def open_unread(self, give_up: Callable[[], None]) -> UnreadResponse:
        """Return what a client does not read, which is nothing yet.

        Parameters
        ----------
        give_up : callable
            Ends the connection of the client.
        """
        return UnreadResponse(self, give_up)

    def record_unread(self, unread: UnreadResponse, growth: int) -> None:
        """Record that a client has read, or has more to read than before."""
        self.used_bytes += growth
        if unread.size:
            self._unread.setdefault(unread)
        else:
            self._unread.pop(unread, None)
        if growth > 0:
            self._give_up_unread()

    def close(self, body: ResponseBody) -> None:
        """Release what a body holds."""
        self.used_bytes -= body.size
        self._bodies.discard(body)

    def _give_up_unread(self) -> None:
        while self._unread and self.used_bytes > self._max_used_bytes:
            unread = next(iter(self._unread))
            self.given_up += 1
            _LOG.warning(
                'unread response given up',
                extra={'bytes': unread.size, 'used_bytes': self.used_bytes},
            )
            unread.give_up()

    def _break_off(self, body: ResponseBody, reason: str) -> None:
        self.broken_off += 1
        _LOG.warning(
            'response broken off',
            extra={
                'endpoint': body.address,
                'bytes': body.size,
                'reason': reason,
            },
        )
        self.used_bytes -= body.size
        body.break_off(reason)


class ResponseBody:
    """The body of one response, as far as it has been received."""

    __slots__ = ('_chunks', '_error', '_memory', 'address', 'size')

    def __init__(self, memory: ResponseMemory, address: str) -> None:
        self.address = address
        self.size = 0
        self._chunks: list[bytes] = []
        self._memory = memory
        self._error = ''

    def append(self, chunk: bytes) -> None:
        """Append a chunk.

        Raises
        ------
        ResponseTooLargeError
            The body was broken off, for this chunk or before.
        """
        if not self._error:
            self._chunks.append(chunk)
            self.size += len(chunk)
            self._memory.record_growth(self, len(chunk))
        if self._error:
            raise ResponseTooLargeError(f'{self.address}: {self._error}')

    def join(self) -> bytes:
        """Return the complete body; raises as `append` does."""
        self.append(b'')
        return b''.join(self._chunks)

    def break_off(self, reason: str) -> None:
        """Drop the body; its reader notices that at the next chunk."""
        self._chunks.clear()
        self.size = 0
        self._error = f'response is too large: {reason}'

    def __enter__(self) -> ResponseBody:
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._memory.close(self)


class UnreadResponse:
    """What a node has written for one client, and the client has not read.

    Attributes
    ----------
    size : int
        Bytes that are buffered for it.
    """

    __slots__ = ('_give_up', '_memory', 'size')

    def __init__(
        self, memory: ResponseMemory, give_up: Callable[[], None]
    ) -> None:
        self.size = 0
        self._memory = memory
        self._give_up = give_up

    def update(self, size: int) -> None:
        """Set how much is buffered."""
        growth = size - self.size
        self.size = size
        self._memory.record_unread(self, growth)

    def give_up(self) -> None:
        """End the connection, and release the response."""
        self.update(0)
        self._give_up()


def _get_size(body: ResponseBody) -> int:
    return body.size
