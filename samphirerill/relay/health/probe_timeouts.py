"""Timeouts and retry delays of probes, adapted to measured latency."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.smoothing import SmoothedDuration
from samphirerill.node.loop_lag import MIN_LAG_S

if TYPE_CHECKING:
    from collections.abc import Collection

# The timeout is the mean latency plus some deviations, within these bounds. Answers
# take 2 to 6 ms, longer at a busy node; 50 ms for all left streams 5 to 30 ms over
# the pause that is on time.
MIN_TIMEOUT_S = 0.03
MAX_TIMEOUT_S = 0.09
_INITIAL_TIMEOUT_S = 0.05
_TIMEOUT_DEVIATIONS = 6
# Probes are repeated after this delay, as packets may be lost; shorter delays
# would repeat probes that are about to be answered. With 7 ms for all, nodes of half
# a core probed two or three times for one answer.
_MIN_RETRY_DELAY_S = 0.007
_MAX_RETRY_DELAY_S = 0.02
_RETRY_DEVIATIONS = 2


class ProbeLatencies:
    """Smoothed latency of probes, and the delays derived from it."""

    __slots__ = ('_latency',)

    def __init__(self) -> None:
        self._latency = SmoothedDuration()

    def note(self, latency_s: float) -> None:
        """Record the latency of an answered probe."""
        self._latency.add_sample(latency_s)

    def note_slower(self, latency_s: float) -> None:
        """Record the latency of a probe that needed no connect, if it is long.

        Short ones would make the timeout too short for those that connect.
        """
        if 0 < self._latency.mean_s < latency_s:
            self._latency.add_sample(latency_s)

    def choose_timeout(self) -> float:
        """Return how long to wait for an answer."""
        if not self._latency.mean_s:
            return _INITIAL_TIMEOUT_S
        longest_s = self._latency.get_upper_bound(_TIMEOUT_DEVIATIONS)
        return min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, longest_s))

    def choose_retry_delay(self) -> float:
        """Return the delay after which to repeat a probe."""
        longest_s = self._latency.get_upper_bound(_RETRY_DEVIATIONS)
        return min(_MAX_RETRY_DELAY_S, max(_MIN_RETRY_DELAY_S, longest_s))


class ProbeDeadline:
    """Deadline of a probe, extended when the event loop of this node lags.

    `deadline` is when waiting ends, `lag_s` the lag observed so far.

    Parameters
    ----------
    latencies : ProbeLatencies
        Latency of earlier probes.
    """

    __slots__ = ('_retry_delay_s', '_started_at', '_loop', 'lag_s', 'deadline')

    def __init__(self, latencies: ProbeLatencies) -> None:
        self._loop = asyncio.get_running_loop()
        self._retry_delay_s = latencies.choose_retry_delay()
        self._started_at = self._loop.time()
        self.lag_s = 0.0
        self.deadline = self._started_at + latencies.choose_timeout()

    def get_elapsed_s(self) -> float:
        """Return the time since the first probe."""
        return self._loop.time() - self._started_at

    async def wait_for_retry(
        self, probes: Collection[asyncio.Task[object]]
    ) -> None:
        """Wait for an answer, at most until the next retry.

        The wait is repeated once if the event loop lagged: timers fire before
        what arrived meanwhile is handled.
        """
        lag_s = await self._wait(probes, self._retry_delay_s)
        if lag_s > MIN_LAG_S and not any(task.done() for task in probes):
            await self._wait(probes, self._retry_delay_s)

    async def wait_until_deadline(
        self, probes: Collection[asyncio.Task[object]]
    ) -> bool:
        """Wait for an answer; return false once the deadline passed."""
        left_s = self.deadline - self._loop.time()
        if left_s <= 0:
            return False
        await self._wait(probes, left_s)
        return True

    async def _wait(
        self, probes: Collection[asyncio.Task[object]], timeout_s: float
    ) -> float:
        """Wait for an answer, extend the deadline by the lag, and return it."""
        expected_at = self._loop.time() + timeout_s
        pending = {task for task in probes if not task.done()}
        if pending:
            await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(timeout_s)
        lag_s = self._loop.time() - expected_at
        if lag_s > MIN_LAG_S:
            self.deadline += lag_s + self._retry_delay_s
            self.lag_s += lag_s
        return lag_s
