"""Handlers for the results of claims on idempotency keys."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import (
    Outcome,
    Problem,
    RefuseRequest,
    ReplayAnswer,
    SettleClaim,
)
from samphirerill.core.completion import (
    get_queue_name,
    refuse_request,
    remove_request,
)
from samphirerill.core.events import ClaimAcquired, ClaimConflicted, ClaimFailed
from samphirerill.core.handling import handle
from samphirerill.core.scheduling import (
    dispatch_queue,
    requeue_at_front,
    start_attempt,
)

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState

_RUNNING_RETRY_S = 1.0
_OUTAGE_RETRY_S = 5.0


@handle.register(ClaimAcquired)
def on_claim_acquired(
    event: ClaimAcquired, state: CoreState, now: float
) -> None:
    """Start the request that now holds its key.

    If the request ended while its claim was being written, nothing ran and the
    claim is removed: otherwise retries would be told until it expires that the
    request may have run.
    """
    req = state.requests.get(event.request_id)
    if req is None:
        state.emit(SettleClaim(event.request_id, Outcome.NOT_RUN))
        return
    req.claimed = True
    if not start_attempt(state, req, now):
        requeue_at_front(state, req, now)


@handle.register(ClaimConflicted)
def on_claim_conflicted(
    event: ClaimConflicted, state: CoreState, now: float
) -> None:
    """Answer a retry with the outcome of the first request with its key."""
    req = state.requests.get(event.request_id)
    if req is None:
        return
    remove_request(state, req)
    if event.state == 'answered':
        state.emit(ReplayAnswer(req.request_id))
        state.counters['replayed'] += 1
    else:
        problem = _explain_conflict(event)
        state.emit(RefuseRequest(req.request_id, problem))
        state.counters[f'refused.{problem.code}'] += 1
    dispatch_queue(state, get_queue_name(req), now)


@handle.register(ClaimFailed)
def on_claim_failed(event: ClaimFailed, state: CoreState, now: float) -> None:
    """Refuse a request as not run, as nothing is sent without a claim."""
    req = state.requests.get(event.request_id)
    if req is None:
        return
    refuse_request(
        state,
        req,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'claim-unavailable',
        'the platform service cannot record the idempotency key now',
        _OUTAGE_RETRY_S,
    )
    dispatch_queue(state, get_queue_name(req), now)


def _explain_conflict(event: ClaimConflicted) -> Problem:
    if event.state == 'mismatch':
        return Problem(
            HTTPStatus.UNPROCESSABLE_ENTITY,
            'key-reused',
            'this Idempotency-Key belongs to a request with another body',
            Outcome.NOT_RUN,
        )
    if event.state == 'running' and event.holder_alive:
        return Problem(
            HTTPStatus.CONFLICT,
            'in-progress',
            'the first request with this Idempotency-Key still runs',
            Outcome.MAY_HAVE_RUN,
            _RUNNING_RETRY_S,
        )
    return Problem(
        HTTPStatus.CONFLICT,
        'may-have-run',
        'the first request with this Idempotency-Key may have run; '
        'its answer is lost and it will not be run again',
        Outcome.MAY_HAVE_RUN,
    )
