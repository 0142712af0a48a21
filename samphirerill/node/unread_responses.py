"""Close connections whose clients have not read their whole response yet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from samphirerill.node.log_rate import LogRate
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections import Counter

_LOG = get_logger('sessions')
# How long a client may go without reading any of what is buffered.
_READ_TIMEOUT_S = 10.0
_MAX_BYTES = 50_331_648
_MAX_LOG_LINES_PER_S = 5


class UnreadResponses:
    """The complete responses that clients have not read.

    A client that reads nothing for too long is disconnected, as is the one that
    has not finished for longest while all together hold too much.

    Parameters
    ----------
    counters : Counter
        Counts the responses that were not read in time.
    read_timeout_s : float
        How long a client may read nothing.
    max_bytes : int
        What all may hold.
    """

    def __init__(
        self,
        counters: Counter[str],
        read_timeout_s: float = _READ_TIMEOUT_S,
        max_bytes: int = _MAX_BYTES,
    ) -> None:
        self._counters = counters
        self._read_timeout_s = read_timeout_s
        self._max_bytes = max_bytes
        self._loop = asyncio.get_running_loop()
        # The longest closing first.
        self._transports: dict[Any, None] = {}
        self._log_rate = LogRate(_MAX_LOG_LINES_PER_S)

    def close(self, transport: Any) -> None:
        """Close a transport once its client has read the response."""
        transport.close()
        unread_bytes = transport.get_write_buffer_size()
        if unread_bytes:
            self._transports[transport] = None
            self._start_timer(transport, unread_bytes)
            self._give_up_longest()

    def discard(self, transport: Any) -> None:
        """Forget a transport, as its connection is closed."""
        self._transports.pop(transport, None)

    def count_bytes(self) -> int:
        """Return what clients have not read."""
        return sum(
            transport.get_write_buffer_size() for transport in self._transports
        )

    def _start_timer(self, transport: Any, unread_bytes: int) -> None:
        self._loop.call_later(
            self._read_timeout_s, self._check, transport, unread_bytes
        )

    def _check(self, transport: Any, unread_bytes: int) -> None:
        """Disconnect a client that has read nothing since the last check."""
        if transport not in self._transports:
            return
        remaining_bytes = transport.get_write_buffer_size()
        if remaining_bytes >= unread_bytes:
            self._give_up(transport)
        else:
            self._start_timer(transport, remaining_bytes)

    def _give_up_longest(self) -> None:
        while self.count_bytes() > self._max_bytes:
            self._give_up(next(iter(self._transports)))

    def _give_up(self, transport: Any) -> None:
        self._counters['responses.given_up'] += 1
        if self._log_rate.may_log(self._loop.time()):
            _LOG.warning(
                'unread response given up',
                extra={
                    'bytes': transport.get_write_buffer_size(),
                    'unread_bytes': self.count_bytes(),
                    'allowed_bytes': self._max_bytes,
                },
            )
        self.discard(transport)
        transport.abort()
