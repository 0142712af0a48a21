"""How long answers to questions are waited for."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.smoothing import Smoothed
from samphirerill.node.loop_lag import LEAST_LAG_S

if TYPE_CHECKING:
    from collections.abc import Collection

# Answers take 2 to 6 ms, longer at a busy node or over a slow link; who has not
# answered in the usual time and six deviations, within these bounds, won't. Fifty
# milliseconds for all left streams 5 to 30 ms over the pause that is on time.
LEAST_PROBE_S = 0.03
MOST_PROBE_S = 0.09
_FIRST_PROBE_S = 0.05
_DEVIATIONS = 6
# A replica is asked again after so long, as packets may be lost; where answers
# usually take longer, after that. With 7 ms for all, nodes of half a core asked
# two or three times for an answer that was on its way.
_LEAST_AGAIN_S = 0.007
_MOST_AGAIN_S = 0.02
_AGAIN_DEVIATIONS = 2


class AnswerTimes:
    """How long this node's questions usually take to be answered."""

    __slots__ = ('_answers',)

    def __init__(self) -> None:
        self._answers = Smoothed()

    def note(self, took_s: float) -> None:
        """An answer has come."""
        self._answers.note(took_s)

    def choose_patience(self) -> float:
        """Return how long to wait for an answer."""
        if not self._answers.mean_s:
            return _FIRST_PROBE_S
        usual_s = self._answers.find_longest(_DEVIATIONS)
        return min(MOST_PROBE_S, max(LEAST_PROBE_S, usual_s))

    def choose_again(self) -> float:
        """Return after how long to ask once more."""
        usual_s = self._answers.find_longest(_AGAIN_DEVIATIONS)
        return min(_MOST_AGAIN_S, max(_LEAST_AGAIN_S, usual_s))


class Patience:
    """Until when answers are waited for; longer if the node is held up.

    Parameters
    ----------
    times : AnswerTimes
        What is usual.

    `until` is when waiting ends; `lag_s` is the lag of the event loop meanwhile.
    """

    __slots__ = ('_again_s', '_began_at', '_loop', 'lag_s', 'until')

    def __init__(self, times: AnswerTimes) -> None:
        self._loop = asyncio.get_running_loop()
        self._again_s = times.choose_again()
        self._began_at = self._loop.time()
        self.lag_s = 0.0
        self.until = self._began_at + times.choose_patience()

    def find_spent_s(self) -> float:
        """Return how long has been waited."""
        return self._loop.time() - self._began_at

    async def wait_to_ask_again(
        self, asked: Collection[asyncio.Task[object]]
    ) -> None:
        """Wait for an answer until it is time to ask once more."""
        await self._wait(asked, self._again_s)

    async def wait_on(self, asked: Collection[asyncio.Task[object]]) -> bool:
        """Wait for an answer; return false if the time is over."""
        left_s = self.until - self._loop.time()
        if left_s <= 0:
            return False
        await self._wait(asked, left_s)
        return True

    async def _wait(
        self, asked: Collection[asyncio.Task[object]], most_s: float
    ) -> None:
        """Wait for an answer, and note how much too long that took."""
        planned = self._loop.time() + most_s
        left = {task for task in asked if not task.done()}
        if left:
            await asyncio.wait(
                left, timeout=most_s, return_when=asyncio.FIRST_COMPLETED
            )
        else:
            await asyncio.sleep(most_s)
        over_s = self._loop.time() - planned
        if over_s > LEAST_LAG_S:
            self.until += over_s + self._again_s
            self.lag_s += over_s
