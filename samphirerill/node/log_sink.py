"""A stream for log lines that never blocks and has a bounded volume."""

from __future__ import annotations

import os
from time import monotonic

# A node under its usual load writes some twenty lines a second; a storm of
# refusals some hundred. What comes beyond this is counted, not written.
LINES_PER_S = 400


class LogSink:
    """Writes lines to a descriptor, or drops and counts them.

    A pipe that nobody reads would block the loop, and with it every stream of
    the node; one would see all of them pause at once, with no cause in the log.

    Parameters
    ----------
    descriptor : int
        Where the lines go; it is made non-blocking.
    """

    __slots__ = ('_descriptor', '_dropped', '_left', '_window_until')

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._dropped = 0
        self._left = LINES_PER_S
        self._window_until = 0.0

    def write(self, text: str) -> int:
        """Write one line whole, or count it as dropped."""
        now = monotonic()
        if now >= self._window_until:
            self._window_until = now + 1
            self._left = LINES_PER_S
        self._left -= 1
        if self._left < 0:
            self._dropped += 1
        else:
            self._write(text)
        return len(text)

    def flush(self) -> None:
        """Nothing is kept back."""

    def _write(self, text: str) -> None:
        if self._dropped:
            text = f'{{"event": "lines dropped", "count": {self._dropped}}}\n{text}'
        try:
            os.write(self._descriptor, text.encode())
        except BlockingIOError:
            self._dropped += 1
        else:
            self._dropped = 0
