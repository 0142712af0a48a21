"""Whether a stream may be sent, and how long it may wait for that."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.relay.send_budget import SendBudget
from samphirerill.relay.stream_call import get_stall_timeout_s

if TYPE_CHECKING:
    from samphirerill.relay.quarantine import Witness
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_sender import StreamProgress
    from samphirerill.relay.stream_times import StreamTimes
    from samphirerill.relay.task import Task

# Clients give a stream up after a gap of two seconds, also before its first
# event; a request that has waited so long for a path is refused instead.
_ADMISSION_S = 1.4
# How often a stream may be sent before it has begun.
_MOST_SENDS = 6
# So many sends that brought nothing may follow each other at once; then a stream
# waits, longer each time. Nodes hear of each other's repeats after 0.4 s; streams
# that are reset again and again would use up those of all nodes sooner.
_QUICK_SENDS = 2
_FIRST_REST_S = 0.1
_MOST_REST_S = 0.4


@dataclass(slots=True, frozen=True)
class Obstacle:
    """Why a stream may not be sent; `wait_s` is when it may, 0 if unknown."""

    reason: str
    wait_s: float = 0.0


class StreamLimits:
    """What one stream may still do.

    Parameters
    ----------
    state : EdgeState
        Budgets and nodes.
    task : Task
        The request.
    progress : StreamProgress
        How far it has come.
    times : StreamTimes
        When its events came.
    quarantine : Witness
        Knows whether it may run at all.
    """

    __slots__ = (
        '_budget',
        '_loop',
        '_progress',
        '_state',
        '_task',
        '_times',
        '_quarantine',
    )

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        progress: StreamProgress,
        times: StreamTimes,
        quarantine: Witness,
    ) -> None:
        self._state = state
        self._task = task
        self._progress = progress
        self._times = times
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._budget = SendBudget(state, task)

    def is_held(self) -> bool:
        """Return whether the request ends replicas, and may not run."""
        return self._quarantine.find_held_until(self._task) > 0

    def take_send(self) -> Obstacle | None:
        """Take a repeat for one more send; return why there is none, if so."""
        now = self._loop.time()
        held_until = self._quarantine.find_held_until(self._task)
        if held_until:
            reason = self._quarantine.explain(self._task)
            return Obstacle(reason, held_until - now)
        over = self._find_end_reason(now)
        if over:
            return Obstacle(over)
        is_urgent = self._is_urgent()
        if self._budget.pay(now, self._progress.sends, is_urgent=is_urgent):
            return None
        return Obstacle('no repeat is left')

    def give_back_send(self) -> None:
        """Nothing was sent after all."""
        self._budget.give_back()

    def may_resend(self) -> bool:
        """Return whether the stream could be sent again, if it were broken.

        A path that may recover is better than one left for nothing.
        """
        budget = self._state.get_budget(self._task.service.name)
        return budget.has_left(
            self._loop.time(),
            self._state.count_nodes(),
            is_urgent=self._is_urgent(),
        )

    def limit_admission(self) -> float:
        """Return until when it may wait for a path."""
        until = self._task.req.arrived_at + _ADMISSION_S
        if self._progress.has_begun:
            # A path may break before its first event.
            since = max(self._progress.begun_at, self._times.last_at)
            until = since + get_stall_timeout_s(self._task.route)
        return min(self._task.deadline, until)

    def choose_rest_s(self) -> float:
        """Return how long it waits after a send, if several were in vain."""
        fruitless = self._progress.note_sent()
        if fruitless < _QUICK_SENDS:
            return 0.0
        doubled_s = _FIRST_REST_S * 2 ** (fruitless - _QUICK_SENDS)
        return min(_MOST_REST_S, doubled_s)

    def _is_urgent(self) -> bool:
        """Return whether it may use the repeats kept for running streams.

        A stream that was refused can come back later. One whose run broke off
        ends with a failure, whether or not its first event had come.
        """
        return self._progress.has_begun or self._progress.has_lost_run

    def _find_end_reason(self, now: float) -> str:
        """Return why it may not be sent any more, whatever is left."""
        progress = self._progress
        if now >= self._task.deadline:
            return 'its time is over'
        if progress.sends >= _MOST_SENDS and not progress.has_begun:
            return f'sent {progress.sends} times'
        if progress.sends and progress.may_have_run:
            return '' if self._task.is_retryable else 'it may have run'
        return ''
