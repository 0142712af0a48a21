"""Read requests from a socket within a time for each whole request."""

from __future__ import annotations

import time
from contextlib import suppress
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

# How long a request may take while others wait for a thread.
_CROWDED_TIMEOUT_S = 0.25
# How often to check whether others wait.
_CHECK_INTERVAL_S = 0.05


class TimedSocket:
    """A socket whose reads fail once a request has taken too long.

    Parameters
    ----------
    sock : socket
        The connection; all other calls are passed on to it.
    timeout_s : float
        How long the client may take to send a request.
    is_crowded : callable
        Returns whether other connections wait for a thread.
    """

    def __init__(
        self,
        sock: socket.socket,
        timeout_s: float,
        is_crowded: Callable[[], bool],
    ) -> None:
        self._sock = sock
        self._timeout_s = timeout_s
        self._is_crowded = is_crowded
        self._deadline = 0.0
        self._crowded_deadline = 0.0

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the socket."""
        return getattr(self._sock, name)

    def start_request(self) -> None:
        """Begin to read the next request."""
        now = time.monotonic()
        self._deadline = now + self._timeout_s
        self._crowded_deadline = now + min(self._timeout_s, _CROWDED_TIMEOUT_S)

    def recv_into(self, buffer: memoryview) -> int:
        """Receive bytes.

        Raises
        ------
        TimeoutError
            The request has taken too long.
        """
        # The timeout of the socket itself is that of its writes.
        write_timeout_s = self._sock.gettimeout()
        try:
            return self._receive(buffer)
        finally:
            self._sock.settimeout(write_timeout_s)

    def _receive(self, buffer: memoryview) -> int:
        remaining_s = self._get_remaining_s()
        while remaining_s > 0:
            self._sock.settimeout(min(remaining_s, _CHECK_INTERVAL_S))
            with suppress(TimeoutError):
                return self._sock.recv_into(buffer)
            remaining_s = self._get_remaining_s()
        # cheroot recognizes a timeout by this text.
        raise TimeoutError('timed out')

    def _get_remaining_s(self) -> float:
        deadline = (
            self._crowded_deadline if self._is_crowded() else self._deadline
        )
        return deadline - time.monotonic()
