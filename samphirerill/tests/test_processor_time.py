"""The clock of tests that must not depend on other load of the machine."""

from __future__ import annotations

import asyncio
import time
from unittest import TestCase

from samphirerill.testing.processor_time import ProcessorTimeLoop

_STALL_S = 0.3
_WORK_S = 0.05
_SLEEP_S = 0.05
_STEPS = 1000


def _work() -> None:
    until = time.thread_time() + _WORK_S
    while time.thread_time() < until:
        sum(range(_STEPS))


class TestProcessorTime(TestCase):
    """What advances the clock."""

    def setUp(self) -> None:
        self.loop = ProcessorTimeLoop()
        self.addCleanup(self.loop.close)

    def test_stalls_do_not_count(self) -> None:
        """Targets were missed while other processes held the processors."""
        self.loop.call_soon(time.sleep, _STALL_S)
        self.assertLess(self.measure_sleep(), _SLEEP_S + _STALL_S / 2)

    def test_work_and_waiting_count(self) -> None:
        """Guard against a clock that hides slow code."""
        self.loop.call_soon(_work)
        self.assertGreaterEqual(self.measure_sleep(), _SLEEP_S + _WORK_S)

    def measure_sleep(self) -> float:
        """Return how far a sleep behind the scheduled calls advances the clock."""
        since = self.loop.time()
        self.loop.run_until_complete(self._sleep())
        return self.loop.time() - since

    async def _sleep(self) -> None:
        await asyncio.sleep(_SLEEP_S)
