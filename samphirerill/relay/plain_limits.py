"""Limits on the attempts of one request to a plain service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.attempt_budget import AttemptBudget

if TYPE_CHECKING:
    from samphirerill.relay.endpoint_finder import EndpointFinder
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

# Endpoints to try, including those to which no connection could be opened.
_MAX_CONNECTS = 4


class PlainLimits:
    """Decides which further attempts one request may make.

    Parameters
    ----------
    state : EdgeState
        Retry budgets and the number of nodes.
    context : RequestContext
        The request.
    crash_detector : CrashDetector
        Knows whether the request is quarantined.
    finder : EndpointFinder
        Knows which endpoints may be called.

    Attributes
    ----------
    attempts : int
        How many attempts were sent.
    connects : int
        How many endpoints were tried.
    has_broken_run : bool
        Whether an attempt broke off.
    quarantined_until : float
        Until when the request is rejected; 0 if it may run.
    """

    __slots__ = (
        '_budget',
        '_context',
        '_crash_detector',
        '_finder',
        '_has_reserved',
        '_loop',
        '_paths',
        'attempts',
        'connects',
        'has_broken_run',
        'quarantined_until',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        crash_detector: CrashDetector,
        finder: EndpointFinder,
    ) -> None:
        self.attempts = 0
        self.connects = 0
        self.has_broken_run = False
        self.quarantined_until = 0.0
        self._context = context
        self._crash_detector = crash_detector
        self._finder = finder
        self._budget = AttemptBudget(state, context)
        self._paths = state.pool.dialer.paths
        self._loop = asyncio.get_running_loop()
        # Whether a retry is reserved for the end of the present attempt.
        self._has_reserved = False

    def acquire_attempt(self) -> bool:
        """Reserve another attempt; return whether it is allowed."""
        self.quarantined_until = self._crash_detector.find_held_until(
            self._context
        )
        if self.quarantined_until or not self._has_attempt_left():
            return False
        if self._has_reserved:
            self._has_reserved = False
            return True
        return self._budget.reserve(
            self._loop.time(), self.attempts, is_urgent=self.has_broken_run
        )

    def may_resend(self) -> bool:
        """Return whether another attempt may follow one that was sent."""
        return self._context.is_retryable and self._has_attempt_left()

    def reserve_successor(self, replica_id: str) -> bool:
        """Reserve the attempt that follows the present one.

        Parameters
        ----------
        replica_id : str
            The endpoint of the present attempt.

        Returns
        -------
        bool
            Whether another endpoint may be called now and a retry is reserved.
        """
        if self._crash_detector.find_held_until(self._context):
            return False
        if not self._finder.has_alternative(replica_id):
            return False
        self._has_reserved = self._budget.reserve(
            self._loop.time(), self.attempts, is_urgent=True
        )
        return self._has_reserved

    def return_reserved(self) -> None:
        """Return a reserved successor that is not needed."""
        if self._has_reserved:
            self._has_reserved = False
            self._budget.refund()

    def return_attempt(self) -> None:
        """Return a reserved attempt for which nothing was sent."""
        self._budget.refund()

    def _has_attempt_left(self) -> bool:
        return (
            not self._paths.is_isolated
            and self._loop.time() < self._context.deadline
            and self.connects < _MAX_CONNECTS
            and self.attempts < self._context.route.max_attempts
        )
