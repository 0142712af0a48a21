"""End requests, each exactly once and with the correct outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.commands import (
    CancelAttempt,
    FinishAnswer,
    Outcome,
    Problem,
    RefuseRequest,
    SettleClaim,
)
from samphirerill.core.state import Phase

if TYPE_CHECKING:
    from samphirerill.core.state import AttemptState, CoreState, RequestState


def determine_outcome(req: RequestState) -> Outcome:
    """Return the outcome of a request that ends without a complete answer.

    It is "not run" only if no attempt may have run: each was either never sent
    or explicitly refused by its endpoint.
    """
    if req.ambiguous_attempts or req.delivered:
        return Outcome.MAY_HAVE_RUN
    return Outcome.NOT_RUN


def finish_request(state: CoreState, req: RequestState) -> None:
    """End a request whose answer is complete."""
    _settle_claim(state, req, Outcome.ANSWERED)
    state.emit(FinishAnswer(req.request_id))
    remove_request(state, req)
    state.counters['answered'] += 1


def refuse_request(
    state: CoreState,
    req: RequestState,
    status: int,
    code: str,
    detail: str,
    retry_after_s: float = 0,
) -> None:
    """End a request without a complete answer, with its outcome."""
    outcome = determine_outcome(req)
    problem = Problem(status, code, detail, outcome, retry_after_s)
    _settle_claim(state, req, outcome)
    remove_request(state, req)
    state.emit(RefuseRequest(req.request_id, problem))
    state.counters[f'refused.{code}'] += 1


def remove_request(state: CoreState, req: RequestState) -> None:
    """Remove a request, its queue entry and its running attempt."""
    if req.phase is Phase.QUEUED:
        queue = state.queues.get(get_queue_name(req))
        if queue is not None:
            queue.remove(req.request_id, req.account, req.priority)
    else:
        release_account_slot(state, req)
    attempt = state.attempts.get(req.attempt_id)
    if attempt is not None:
        remove_attempt(state, attempt)
        state.emit(CancelAttempt(attempt.attempt_id))
    return_retry(state, req)
    state.requests.pop(req.request_id, None)


def return_retry(state: CoreState, req: RequestState) -> None:
    """Return the retries that a request has withdrawn and not used."""
    for _ in range(req.holds_retry + req.has_unspent_retry):
        state.budgets[req.route.name].refund()
    req.holds_retry = False
    req.has_unspent_retry = False


def remove_attempt(state: CoreState, attempt: AttemptState) -> None:
    """Remove an attempt and free the slots it used at its endpoints."""
    state.attempts.pop(attempt.attempt_id, None)
    for stage in attempt.stages:
        replica = state.endpoints.get(stage.endpoint)
        if replica is not None and replica.in_flight:
            replica.in_flight -= 1
    req = state.requests.get(attempt.request_id)
    if req is not None and req.attempt_id == attempt.attempt_id:
        req.attempt_id = ''


def release_account_slot(state: CoreState, req: RequestState) -> None:
    """Release the request's slot of its account's concurrency limit."""
    state.running_by_account[req.account] -= 1
    if state.running_by_account[req.account] <= 0:
        state.running_by_account.pop(req.account)


def get_queue_name(req: RequestState) -> str:
    """Return the name of a request's queue, by model or by route."""
    return req.route.model or f'route {req.route.name}'


def _settle_claim(
    state: CoreState, req: RequestState, outcome: Outcome
) -> None:
    if req.claimed:
        state.emit(SettleClaim(req.request_id, outcome))
