"""Timeouts that don't count the lag of this process's event loop.

A loop that was blocked, by other work on its VM or by a long callback, fires its
timers before it has acted on what arrived meanwhile. Counted against a peer, the
lag makes endpoints unreachable or silent that are neither.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# A timer that fires later than this shows that the loop was blocked.
LEAST_LAG_S = 0.003
# However long the loop was blocked, a timeout is extended by no more.
MOST_EXTENSION_S = 0.3


class _LagAwareTimer:
    """Ends a scope at its deadline, later if the timer itself is late.

    Parameters
    ----------
    scope : asyncio.Timeout
        Ended when the time is over.
    deadline : float
        On the loop's clock.
    """

    __slots__ = ('_deadline', '_handle', '_latest', '_loop', '_scope')

    def __init__(self, scope: asyncio.Timeout, deadline: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._scope = scope
        self._deadline = deadline
        # Set by the first lag: when the scope ends, however often more lag comes.
        self._latest = 0.0
        self._handle = self._loop.call_at(deadline, self._expire)

    def cancel(self) -> None:
        """The scope has been left."""
        self._handle.cancel()

    def _expire(self) -> None:
        now = self._loop.time()
        lag_s = now - self._deadline
        self._latest = self._latest or now + MOST_EXTENSION_S
        if lag_s <= LEAST_LAG_S or now >= self._latest:
            self._scope.reschedule(now)
            return
        self._deadline = min(now + lag_s, self._latest)
        self._handle = self._loop.call_at(self._deadline, self._expire)


@asynccontextmanager
async def lag_aware_timeout_at(deadline: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` in the body at a deadline on the loop's clock.

    The lag of the loop at the deadline is added, up to `MOST_EXTENSION_S`.
    """
    async with asyncio.timeout(None) as scope:
        timer = _LagAwareTimer(scope, deadline)
        try:
            yield
        finally:
            timer.cancel()
