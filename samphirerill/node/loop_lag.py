"""Timeouts that are extended by the lag of the event loop.

After the event loop was blocked, by a long callback or by other load on the VM,
it fires timers before it handles data that arrived in the meantime. Without the
extension, endpoints that did respond would be regarded as unresponsive.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Smaller delays of a timer are not regarded as lag.
MIN_LAG_S = 0.003
# Limit of the extension of a timeout.
MAX_EXTENSION_S = 0.3


class _LagAwareTimer:
    """Expires a timeout scope at its deadline, extended by the loop's lag.

    Parameters
    ----------
    scope : asyncio.Timeout
        The scope to expire.
    deadline : float
        Time on the event loop's clock.
    """

    __slots__ = ('_deadline', '_handle', '_final_deadline', '_loop', '_scope')

    def __init__(self, scope: asyncio.Timeout, deadline: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._scope = scope
        self._deadline = deadline
        # Limit of all extensions; set by the first lag.
        self._final_deadline = 0.0
        self._handle = self._loop.call_at(deadline, self._expire)

    def cancel(self) -> None:
        """Cancel the timer."""
        self._handle.cancel()

    def _expire(self) -> None:
        now = self._loop.time()
        lag_s = now - self._deadline
        self._final_deadline = self._final_deadline or now + MAX_EXTENSION_S
        if lag_s <= MIN_LAG_S or now >= self._final_deadline:
            self._scope.reschedule(now)
            return
        self._deadline = min(now + lag_s, self._final_deadline)
        self._handle = self._loop.call_at(self._deadline, self._expire)


@asynccontextmanager
async def lag_aware_timeout_at(deadline: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` in the body at a deadline on the loop's clock.

    The deadline is extended by the loop's lag, by up to `MAX_EXTENSION_S`.
    """
    async with asyncio.timeout(None) as scope:
        timer = _LagAwareTimer(scope, deadline)
        try:
            yield
        finally:
            timer.cancel()
