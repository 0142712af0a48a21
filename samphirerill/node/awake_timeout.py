"""A timeout that leaves out the time for which this process did not run.

A process that is held up, by other work on its VM or by a long step of its own,
finds its timers due before it has read what came meanwhile. Counted against a
peer, that delay made living endpoints unreachable or dead.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# A timer that is later than this shows that the process was held up.
HELD_UP_S = 0.003
# However long it was held up, waiting goes on for so long at the most.
MOST_GRACE_S = 0.3


class _AwakeTimer:
    """Ends a scope at its deadline, later if the timer itself is late.

    Parameters
    ----------
    scope : asyncio.Timeout
        Ended when the time is over.
    deadline : float
        On the loop's clock.
    """

    __slots__ = ('_deadline', '_grace_s', '_handle', '_loop', '_scope')

    def __init__(self, scope: asyncio.Timeout, deadline: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._scope = scope
        self._deadline = deadline
        self._grace_s = MOST_GRACE_S
        self._handle = self._loop.call_at(deadline, self._expire)

    def cancel(self) -> None:
        """The scope has been left."""
        self._handle.cancel()

    def _expire(self) -> None:
        now = self._loop.time()
        late_s = now - self._deadline
        if late_s <= HELD_UP_S or self._grace_s <= 0:
            self._scope.reschedule(now)
            return
        extra_s = min(late_s, self._grace_s)
        self._grace_s -= extra_s
        self._deadline = now + extra_s
        self._handle = self._loop.call_at(self._deadline, self._expire)


@asynccontextmanager
async def awake_timeout_at(deadline: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` in the body at a deadline on the loop's clock.

    Time that the process loses around the deadline is added, up to
    `MOST_GRACE_S`.
    """
    async with asyncio.timeout(None) as scope:
        timer = _AwakeTimer(scope, deadline)
        try:
            yield
        finally:
            timer.cancel()
