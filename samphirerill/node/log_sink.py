"""Non-blocking, rate-limited output stream for log lines."""

from __future__ import annotations

import os
from time import monotonic

# Lines above this rate are counted, not written.
LINES_PER_S = 400


class LogSink:
    """Writes log lines to a file descriptor, or drops and counts them.

    A blocking write to a full pipe would block the event loop and thereby all
    streams of the node.

    Parameters
    ----------
    descriptor : int
        The file descriptor to write to; it is set to non-blocking mode.
    """

    __slots__ = ('_descriptor', '_dropped', '_remaining', '_window_end')

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = 0
        self._remaining = LINES_PER_S
        self._window_end = 0.0

    def write(self, text: str) -> int:
        """Write a complete line, or count it as dropped."""
        now = monotonic()
        if now >= self._window_end:
            self._window_end = now + 1
            self._remaining = LINES_PER_S
        self._remaining -= 1
        if self._remaining < 0:
            self._dropped += 1
        else:
            self._write(text)
        return len(text)

    def flush(self) -> None:
        """Do nothing, because lines are not buffered."""

    def _write(self, text: str) -> None:
        if self._dropped:
            text = f'{{"event": "lines dropped", "count": {self._dropped}}}\n{text}'
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self._dropped += 1
        else:
            self._dropped = 0
