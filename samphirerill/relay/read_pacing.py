"""Turns of connections whose input takes long to parse.

Chunks of a few bytes cost far more processor time than others. Connections that
send them are read one after another, with pauses, so that the loop has time for all
other work.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# The pause after a turn, as a multiple of the time that it took.
_PAUSE_FACTOR = 2
_MIN_PAUSE_S = 0.001


class ReadPacing:
    """The connections that wait for their turn to be read.

    Attributes
    ----------
    deferred : int
        How often a connection had to wait.
    """

    def __init__(self) -> None:
        self.deferred = 0
        self._loop = asyncio.get_running_loop()
        self._waiting: deque[Callable[[], None]] = deque()
        self._timer: asyncio.TimerHandle | None = None

    def defer(self, resume: Callable[[], None], cost_s: float) -> None:
        """Read a connection again when its turn comes.

        Parameters
        ----------
        resume : callable
            Resumes reading.
        cost_s : float
            How long the last read took to parse.
        """
        self.deferred += 1
        self._waiting.append(resume)
        if self._timer is None:
            self._schedule(cost_s)

    def _schedule(self, cost_s: float) -> None:
        pause_s = max(_MIN_PAUSE_S, cost_s * _PAUSE_FACTOR)
        self._timer = self._loop.call_later(pause_s, self._resume_next, cost_s)

    def _resume_next(self, cost_s: float) -> None:
        self._timer = None
        if self._waiting:
            self._waiting.popleft()()
            self._schedule(cost_s)
