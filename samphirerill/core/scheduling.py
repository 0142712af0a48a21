"""Start attempts: from the queue, after a claim, or as a retry."""

from __future__ import annotations

from http import HTTPStatus
from math import ceil
from typing import TYPE_CHECKING

from samphirerill.core.admission import FairQueue, QueueEntry
from samphirerill.core.availability import (
    BACKING_OFF_CODE,
    BACKING_OFF_DETAIL,
    compute_retry_after_s,
    find_back_off_end,
    is_available_by,
    is_too_late,
)
from samphirerill.core.commands import (
    CancelAttempt,
    OpenAttempt,
    Outcome,
    Stage,
    WriteClaim,
)
from samphirerill.core.completion import (
    determine_outcome,
    get_queue_name,
    refuse_request,
    release_account_slot,
    remove_attempt,
)
from samphirerill.core.configuration import SERVICE_ROUTE
from samphirerill.core.placement import choose_pipeline, choose_service
from samphirerill.core.retries import may_retry, withdraw_retry
from samphirerill.core.state import AttemptState, Phase

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState, RequestState

_RETRY_AFTER_S = 1.0


def get_queue(state: CoreState, name: str) -> FairQueue:
    """Return the queue with a name, created on first use."""
    if name not in state.queues:
        state.queues[name] = FairQueue()
    return state.queues[name]


def dispatch_all_queues(state: CoreState, now: float) -> None:
    """Start queued requests of every queue."""
    for name in tuple(state.queues):
        dispatch_queue(state, name, now)


def dispatch_queue(state: CoreState, name: str, now: float) -> None:
    """Start queued requests of one queue while endpoints have free slots."""
    queue = get_queue(state, name)
    started = True
    while started:
        started = _start_next(state, queue, now)


def start_attempt(state: CoreState, req: RequestState, now: float) -> bool:
    """Open an attempt if slots are free; return whether it was opened."""
    stages = choose_stages(state, req)
    if not stages:
        return False
    open_attempt(state, req, stages, now)
    return True


def open_attempt(
    state: CoreState, req: RequestState, stages: tuple[Stage, ...], now: float
) -> None:
    """Open an attempt over stages that have free slots."""
    is_service = req.route.kind == SERVICE_ROUTE
    attempt = AttemptState(
        state.next_attempt_id(),
        req.request_id,
        epoch=req.attempts,
        stages=stages,
        progress_deadline=_compute_first_deadline(state, req, now),
    )
    req.attempts += 1
    req.attempt_id = attempt.attempt_id
    req.phase = Phase.RUNNING
    state.attempts[attempt.attempt_id] = attempt
    for stage in stages:
        state.endpoints[stage.endpoint].in_flight += 1
        _use_rate(state, stage.address, now)
    state.schedule_wake(
        attempt.progress_deadline, 'attempt', attempt.attempt_id
    )
    state.emit(
        OpenAttempt(
            attempt.attempt_id,
            req.request_id,
            attempt.epoch,
            stages,
            req.delivered,
            is_service,
        ),
    )


def choose_stages(state: CoreState, req: RequestState) -> tuple[Stage, ...]:
    """Return stages with free slots for a request, or an empty tuple."""
    if req.route.kind == SERVICE_ROUTE:
        return choose_service(state, req.route.endpoints, req.avoid)
    cached = state.prefixes.find_endpoints(req.prefixes)
    return choose_pipeline(state, req.route.model, req.avoid, cached)


def may_start_again(state: CoreState, req: RequestState, now: float) -> bool:
    """Return whether endpoints may take another attempt of a request in time."""
    deadline = _compute_queue_deadline(req, now)
    return is_available_by(state, req.route, deadline, now)


def retry_or_refuse(
    state: CoreState,
    req: RequestState,
    now: float,
    status: int,
    code: str,
    detail: str,
) -> None:
    """Retry a failed request if that is safe and affordable, else end it.

    A request that may have run on a route that is not idempotent must not run
    again: its effects would happen twice.
    """
    if now >= req.deadline:
        refuse_request(
            state,
            req,
            HTTPStatus.GATEWAY_TIMEOUT,
            'deadline-passed',
            'the deadline has passed',
        )
        return
    if not may_retry(req):
        refuse_request(state, req, status, code, detail)
        return
    back_off_end = find_back_off_end(state, req.route, now)
    req.failures += 1
    if _is_hopeless(req, back_off_end, now) or not withdraw_retry(state, req):
        retry_after_s = _RETRY_AFTER_S
        if back_off_end:
            retry_after_s = compute_retry_after_s(state, back_off_end, now)
        refuse_request(state, req, status, code, detail, retry_after_s)
        return
    state.counters['retries'] += 1
    if not start_attempt(state, req, now):
        requeue_at_front(state, req, now)


def requeue_at_front(state: CoreState, req: RequestState, now: float) -> None:
    """Queue a request that already ran ahead of those that have not.

    It is refused instead if a back-off outlasts its queue deadline.
    """
    req.phase = Phase.QUEUED
    release_account_slot(state, req)
    req.queue_deadline = _compute_queue_deadline(req, now)
    state.schedule_wake(req.queue_deadline, 'queue', req.request_id)
    entry = QueueEntry(req.request_id, req.account, req.priority, 0)
    get_queue(state, get_queue_name(req)).add(entry, at_front=True)
    back_off_end = find_back_off_end(state, req.route, now)
    if _is_hopeless(req, back_off_end, now):
        _refuse_backing_off(state, req, back_off_end, now)


def withdraw_attempts(state: CoreState, address: str, now: float) -> None:
    """Place the requests anew whose attempts would use an address.

    Only attempts of which nothing was sent are withdrawn.
    """
    for attempt in tuple(state.attempts.values()):
        addresses = {stage.address for stage in attempt.stages}
        if attempt.sent or address not in addresses:
            continue
        req = state.requests[attempt.request_id]
        remove_attempt(state, attempt)
        state.emit(CancelAttempt(attempt.attempt_id))
        state.counters['attempts.withdrawn'] += 1
        if not start_attempt(state, req, now):
            requeue_at_front(state, req, now)


def refuse_hopeless(state: CoreState, now: float) -> None:
    """Refuse queued requests whose deadline passes before a back-off ends.

    A stream that has started waits, as any change may still save it.
    """
    back_off_ends: dict[str, float] = {}
    for req in tuple(state.requests.values()):
        if req.phase is not Phase.QUEUED or req.delivered:
            continue
        name = req.route.name
        if name not in back_off_ends:
            back_off_ends[name] = find_back_off_end(state, req.route, now)
        if is_too_late(back_off_ends[name], req.queue_deadline):
            _refuse_backing_off(state, req, back_off_ends[name], now)


def schedule_room_wake(state: CoreState, address: str, now: float) -> None:
    """Look at the queues as an endpoint that names its rate takes a request."""
    wakes_at = state.request_limits.plan_wake(address, state.node_count, now)
    if wakes_at:
        state.schedule_wake(wakes_at, 'room', address)


def _start_next(state: CoreState, queue: FairQueue, now: float) -> bool:
    """Start the next request that may start; return whether one did."""
    for entry in queue.candidates():
        req = state.requests[entry.request_id]
        if _is_at_limit(state, req):
            continue
        stages = choose_stages(state, req)
        if not stages:
            return False
        queue.dequeue(entry, now)
        state.running_by_account[req.account] += 1
        _claim_or_open(state, req, stages, now)
        return True
    return False


def _claim_or_open(
    state: CoreState, req: RequestState, stages: tuple[Stage, ...], now: float
) -> None:
    if req.key and not req.claimed:
        req.phase = Phase.CLAIMING
        state.emit(
            WriteClaim(
                req.request_id,
                req.account,
                req.route.name,
                req.key,
                req.fingerprint,
            ),
        )
        return
    open_attempt(state, req, stages, now)


def _is_at_limit(state: CoreState, req: RequestState) -> bool:
    """Return whether the account is at its concurrency limit on this node.

    The limit applies to the whole fleet. Each node enforces an equal share of
    it, which needs no coordination for each request.
    """
    account = state.configuration.accounts.get(req.account)
    if account is None or not account.max_concurrent:
        return False
    share = ceil(account.max_concurrent / max(1, state.node_count))
    return state.running_by_account[req.account] >= share


def _use_rate(state: CoreState, address: str, now: float) -> None:
    """Record a request to an endpoint that names its rate, if it does."""
    if state.request_limits.find_rate(address, now) is not None:
        state.request_limits.use(address, state.node_count, now)


def _compute_first_deadline(
    state: CoreState, req: RequestState, now: float
) -> float:
    limits = state.configuration.limits
    if req.route.kind == SERVICE_ROUTE:
        return min(req.deadline, now + limits.service_timeout_s)
    return min(req.deadline, now + limits.answer_timeout_s)


def _refuse_backing_off(
    state: CoreState, req: RequestState, back_off_end: float, now: float
) -> None:
    # A 503 would state that nothing ran.
    status = HTTPStatus.SERVICE_UNAVAILABLE
    if determine_outcome(req) is Outcome.MAY_HAVE_RUN:
        status = HTTPStatus.BAD_GATEWAY
    retry_after_s = compute_retry_after_s(state, back_off_end, now)
    refuse_request(
        state, req, status, BACKING_OFF_CODE, BACKING_OFF_DETAIL, retry_after_s
    )


def _is_hopeless(req: RequestState, back_off_end: float, now: float) -> bool:
    """Return whether a retry could not start in time because of a back-off."""
    if req.delivered:
        return False
    return is_too_late(back_off_end, _compute_queue_deadline(req, now))


def _compute_queue_deadline(req: RequestState, now: float) -> float:
    return min(req.deadline, now + req.route.queue_timeout_s)
