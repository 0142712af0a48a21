"""Limits on the attempts of one stream and on its wait for a path."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.prediction import count_events
from samphirerill.relay.attempt_budget import AttemptBudget
from samphirerill.relay.path_tracker import ISOLATED, ISOLATED_RETRY_S
from samphirerill.relay.stream_request import (
    estimate_answer_tokens,
    get_stall_timeout_s,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_sender import StreamProgress
    from samphirerill.relay.stream_times import StreamTimes

# Clients give up after two seconds without an event, also before the first one;
# a request that waits longer for a path is rejected instead.
_MAX_ADMISSION_WAIT_S = 1.4
# Attempts of a stream that has not started.
_MAX_ATTEMPTS = 6
# Attempts without an event that may follow each other without a pause; after
# that the pause doubles each time. Nodes learn of the retries of other nodes
# with a delay of 0.4 s, so streams that are reset repeatedly could otherwise
# use up the shared retry budget.
_IMMEDIATE_ATTEMPTS = 2
# Interval at which a started stream without a run asks for a retry.
_RETRY_POLL_S = 0.05
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.4
# Factor on the time left from which a stream counts as too long for a node that
# shuts down, as clients' estimates of the length are often far off.
_MIN_OVERRUN = 1.5


@dataclass(slots=True, frozen=True)
class AttemptDenial:
    """Why an attempt is denied.

    `wait_s` is when one may succeed, 0 if unknown. `is_temporary` means that
    one may be allowed at any time.
    """

    reason: str
    wait_s: float = 0.0
    is_temporary: bool = False


class StreamLimits:
    """Decides which further attempts one stream may make.

    Parameters
    ----------
    state : EdgeState
        Retry budgets and the number of nodes.
    context : RequestContext
        The request.
    progress : StreamProgress
        The progress of the stream.
    times : StreamTimes
        The times of its events.
    crash_detector : CrashDetector
        Knows whether the request is quarantined.

    Attributes
    ----------
    has_reserved : bool
        Whether the next attempt is reserved.
    """

    __slots__ = (
        '_budget',
        '_loop',
        '_progress',
        '_state',
        '_context',
        '_times',
        '_crash_detector',
        'has_reserved',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        progress: StreamProgress,
        times: StreamTimes,
        crash_detector: CrashDetector,
    ) -> None:
        self._state = state
        self._context = context
        self._progress = progress
        self._times = times
        self._crash_detector = crash_detector
        self._loop = asyncio.get_running_loop()
        self._budget = AttemptBudget(state, context)
        self.has_reserved = False

    @property
    def has_started(self) -> bool:
        """Return whether the client has received the response head."""
        return self._progress.has_started

    def is_quarantined(self) -> bool:
        """Return whether the request is quarantined for crashing replicas."""
        return self._crash_detector.find_held_until(self._context) > 0

    def reserve_attempt(self) -> bool:
        """Reserve the next attempt while the present run goes on.

        `acquire_attempt` uses it. Returns whether it is reserved.
        """
        if not self.has_reserved:
            self.has_reserved = self.acquire_attempt() is None
        return self.has_reserved

    def acquire_attempt(self) -> AttemptDenial | None:
        """Reserve one attempt; return why it is denied, or none."""
        was_reserved = self.has_reserved
        denial = self._find_denial()
        if denial is not None:
            self.return_reserved()
            return denial
        self.has_reserved = False
        if was_reserved or self._budget.reserve(
            self._loop.time(),
            self._progress.attempts,
            is_urgent=self._is_urgent(),
        ):
            return None
        return AttemptDenial('the retry budget is exhausted', is_temporary=True)

    async def wait_for_attempt(self) -> AttemptDenial | None:
        """Reserve one attempt; a stream that has started waits for a retry.

        New requests earn retries, and others are returned. Returns why the
        attempt is denied, or none.
        """
        until = self.get_admission_deadline() - _RETRY_POLL_S
        while True:
            denial = self.acquire_attempt()
            if denial is None or not denial.is_temporary:
                return denial
            if not self._progress.has_started or self._loop.time() >= until:
                return denial
            await asyncio.sleep(_RETRY_POLL_S)

    def find_shutdown_denial(
        self, engine: EngineSpec, gap_s: float
    ) -> AttemptDenial | None:
        """Return why a new stream can't end before this node does, or none.

        Its client can still retry it at another node; an answer that the end of
        the node cuts off can only be resumed.

        Parameters
        ----------
        engine : EngineSpec
            Performance figures of the service's engine.
        gap_s : float
            The predicted time between two events.
        """
        if self._progress.attempts:
            return None
        answer_tokens = estimate_answer_tokens(engine, self._context.facts)
        duration_s = count_events(engine, answer_tokens) * gap_s
        left_s = self._state.finish_by - self._loop.time()
        if duration_s <= _MIN_OVERRUN * left_s:
            return None
        return AttemptDenial(
            'the node is shutting down and the stream is expected to take '
            f'{duration_s:.1f} s'
        )

    def return_reserved(self) -> None:
        """Return an attempt that was reserved and is not needed."""
        if self.has_reserved:
            self.has_reserved = False
            self._budget.refund()

    def return_attempt(self) -> None:
        """Return a reserved attempt for which nothing was sent."""
        self._budget.refund()

    def may_retry(self) -> bool:
        """Return whether the budget has a retry for this stream.

        Without one, a path that may recover is kept.
        """
        budget = self._state.get_retry_budget(self._context.service.name)
        return budget.has_remaining(
            self._loop.time(),
            self._state.count_nodes(),
            is_urgent=self._is_urgent(),
        )

    def count_retries_left(self) -> int:
        """Return how many retries are left of this node's share."""
        budget = self._state.get_retry_budget(self._context.service.name)
        return budget.count_remaining(
            self._loop.time(), self._state.count_nodes()
        )

    def get_admission_deadline(self) -> float:
        """Return until when the stream may wait for a path."""
        until = self._context.req.arrived_at + _MAX_ADMISSION_WAIT_S
        if self._progress.has_started:
            # A run may break off before its first event.
            since = max(self._progress.response_started_at, self._times.last_at)
            until = since + get_stall_timeout_s(self._context.route)
        return min(self._context.deadline, until)

    def is_admission_over(self) -> bool:
        """Return whether the stream would not wait for a path any more."""
        return self._loop.time() >= self.get_admission_deadline()

    def limit_silence_s(self, silence_s: float) -> float:
        """Return a silence limit that ends by the admission deadline.

        A stream that is hopeless then is refused before its client gives up.
        """
        left_s = self.get_admission_deadline() - self._loop.time()
        return min(silence_s, left_s) if left_s > 0 else silence_s

    def compute_backoff_s(self) -> float:
        """Record the end of an attempt; return the pause before the next."""
        fruitless_attempts = self._progress.record_attempt_end()
        if fruitless_attempts < _IMMEDIATE_ATTEMPTS:
            return 0.0
        doubled_s = _INITIAL_BACKOFF_S * 2 ** (
            fruitless_attempts - _IMMEDIATE_ATTEMPTS
        )
        return min(_MAX_BACKOFF_S, doubled_s)

    def _is_urgent(self) -> bool:
        """Return whether retries reserved for started streams may be used.

        A client can retry a stream that was rejected. A stream whose run broke
        off fails permanently, whether or not it has returned an event.
        """
        return self._progress.has_started or self._progress.has_broken_run

    def _find_denial(self) -> AttemptDenial | None:
        """Return why no further attempt is allowed, apart from the budget."""
        now = self._loop.time()
        quarantined_until = self._crash_detector.find_held_until(self._context)
        if quarantined_until:
            reason = self._crash_detector.describe_hold(self._context)
            return AttemptDenial(reason, quarantined_until - now)
        is_new = not self._progress.has_started
        if is_new and self._state.pool.dialer.paths.is_isolated:
            return AttemptDenial(ISOLATED, ISOLATED_RETRY_S)
        denial = self._find_final_denial(now)
        return AttemptDenial(denial) if denial else None

    def _find_final_denial(self, now: float) -> str:
        """Return why no further attempt is possible; empty if one is."""
        progress = self._progress
        if now >= self._context.deadline:
            return 'its deadline has passed'
        if progress.attempts >= _MAX_ATTEMPTS and not progress.has_started:
            return f'sent {progress.attempts} times, the maximum'
        if progress.attempts and progress.may_have_run:
            return (
                ''
                if self._context.is_retryable
                else 'it may have run and is not retryable'
            )
        return ''
