"""Reject requests that would wait for a path in vain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.queued_request import (
    OutageChecks,
    explain_wait,
    find_backoff_error,
)

if TYPE_CHECKING:
    from samphirerill.relay.queued_request import QueuedRequest
    from samphirerill.relay.shared_admission import SharedAdmission
    from samphirerill.relay.state import EdgeState

# Requests with at most this many ahead of them are queued without comparing the
# expected wait with their deadline.
_MAX_UNCHECKED_QUEUE = 4


class ArrivalChecks:
    """Checks of requests for which no path is free on arrival.

    Parameters
    ----------
    state : EdgeState
        The known replicas and their load.
    shared : SharedAdmission
        Decides on requests for shared services.
    """

    __slots__ = ('_loop', '_outages', '_shared', '_state')

    def __init__(self, state: EdgeState, shared: SharedAdmission) -> None:
        self._state = state
        self._shared = shared
        self._loop = asyncio.get_running_loop()
        self._outages = OutageChecks(state)

    def check(
        self, queued: QueuedRequest, ahead_count: int, grant_interval_s: float
    ) -> None:
        """Raise ``NoPathError`` for a request that would wait in vain.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        ahead_count : int
            The number of requests that are ahead in this node's queue.
        grant_interval_s : float
            The interval between grants to queued requests.
        """
        if queued.share is None:
            self._check_queue(queued, ahead_count, grant_interval_s)
        if not queued.path_request.is_urgent:
            now = self._loop.time()
            self._outages.reject(queued, now)
            error = find_backoff_error(self._state, queued, now, ahead_count)
            if error is not None:
                raise error
        if queued.share is not None:
            self._shared.reject_late(queued, ahead_count, grant_interval_s)

    def build_timeout_error(
        self, queued: QueuedRequest, wait_s: float
    ) -> NoPathError:
        """Return the error for a request that has waited until its deadline.

        Parameters
        ----------
        queued : QueuedRequest
            The request.
        wait_s : float
            The expected time until the present queue is empty.
        """
        reason = explain_wait(self._state, queued, self._loop.time())
        if queued.share is None:
            return NoPathError(wait_s, reason)
        return self._shared.build_timeout_error(queued, reason, wait_s)

    def _check_queue(
        self, queued: QueuedRequest, ahead_count: int, grant_interval_s: float
    ) -> None:
        """Reject a request whose deadline the queue would exceed."""
        now = self._loop.time()
        expected_s = grant_interval_s * ahead_count
        is_late = now + expected_s > queued.deadline
        if ahead_count > _MAX_UNCHECKED_QUEUE and is_late:
            reason = explain_wait(self._state, queued, now)
            raise NoPathError(expected_s, reason)
