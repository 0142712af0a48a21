"""An event loop whose clock stands still while its thread waits for a processor.

For tests in which nodes, endpoints and clients share one loop: what they measure
then depends on the work of the loop and not on other processes of the machine.
"""

from __future__ import annotations

import asyncio
from selectors import DefaultSelector
from time import monotonic, thread_time
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

if TYPE_CHECKING:
    from selectors import SelectorKey

# Not 0, which some timestamps use for "never".
_START_TIME_S = 1000.0


class _IdleTimeSelector(DefaultSelector):
    """Selector that adds up how long it was asked to wait, and did."""

    def __init__(self) -> None:
        super().__init__()
        self.idle_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Wait for events; a return after the timeout counts as one in time."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        started_at = monotonic()
        ready = super().select(timeout)
        waited_s = monotonic() - started_at
        self.idle_s += waited_s if timeout is None else min(waited_s, timeout)
        return ready


class ProcessorTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on a clock of idle time and used processor time."""

    def __init__(self) -> None:
        self._idle_selector = _IdleTimeSelector()
        super().__init__(self._idle_selector)

    def time(self) -> float:
        """Return the time in seconds."""
        return _START_TIME_S + self._idle_selector.idle_s + thread_time()


class ProcessorTimePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates such loops, also for test cases."""

    def new_event_loop(self) -> ProcessorTimeLoop:
        """Return a new loop."""
        return ProcessorTimeLoop()


class ProcessorTimeCase(IsolatedAsyncioTestCase):
    """Tests whose loops have such a clock.

    A test that blocks its loop with `time.sleep` needs another clock: this one
    leaves that time out, too.
    """

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        asyncio.set_event_loop_policy(ProcessorTimePolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)
