"""Close a connection without cutting off responses that its client reads."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.client_output import ClientOutput

# A client may still be sending, and closing at once would reset the connection
# before it reads the last response.
_LINGER_S = 0.5


class LingeringClose:
    """Closes one transport.

    Parameters
    ----------
    output : ClientOutput
        Knows what the client has not read.
    on_overdue : callable
        Called when the client has read nothing for too long.
    """

    __slots__ = ('_loop', '_on_overdue', '_output', '_timer')

    def __init__(
        self, output: ClientOutput, on_overdue: Callable[[], None]
    ) -> None:
        self._output = output
        self._on_overdue = on_overdue
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None

    def end(self, transport: Any) -> None:
        """Send the end of the responses, and let the client close first.

        Raises
        ------
        OSError
            The client has left, which the loop has not read yet.
        """
        if transport.can_write_eof():
            transport.write_eof()
            self._timer = self._loop.call_later(
                _LINGER_S, self.close, transport
            )
        else:
            self.close(transport)

    def close(self, transport: Any) -> None:
        """Close once the client has read its responses, if it does read."""
        self.stop()
        transport.close()
        unsent_bytes = self._output.unsent_bytes
        if unsent_bytes:
            self._timer = self._loop.call_later(
                self._output.read_timeout_s,
                self._check,
                transport,
                unsent_bytes,
            )

    def stop(self) -> None:
        """Stop waiting, as the connection has closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self, transport: Any, unsent_bytes: int) -> None:
        if self._output.unsent_bytes >= unsent_bytes:
            self._on_overdue()
        else:
            self.close(transport)
