"""Handlers for arriving requests, disconnects and drains."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.admission import QueueEntry
from samphirerill.core.availability import find_back_off_problem
from samphirerill.core.commands import Outcome, Problem, RefuseRequest
from samphirerill.core.completion import (
    determine_outcome,
    get_queue_name,
    refuse_request,
    remove_request,
)
from samphirerill.core.configuration import choose_priority
from samphirerill.core.events import (
    ClientDisconnected,
    DrainRequested,
    RequestArrived,
    ServingResumed,
    ServingSuspended,
)
from samphirerill.core.handling import handle
from samphirerill.core.on_crashes import find_quarantine_problem
from samphirerill.core.retries import deposit_retry
from samphirerill.core.scheduling import (
    dispatch_queue,
    get_queue,
)
from samphirerill.core.state import Phase, RequestState

if TYPE_CHECKING:
    from samphirerill.core.configuration import Account, Route
    from samphirerill.core.state import CoreState

_DRAIN_CODE = 'draining'
_DRAIN_DETAIL = 'this node is leaving'
_DRAIN_RETRY_S = 1.0
_UNCONFIRMED_RETRY_S = 2.0
_QUEUE_FULL_RETRY_S = 1.0


@handle.register(RequestArrived)
def on_request_arrived(
    event: RequestArrived, state: CoreState, now: float
) -> None:
    """Queue a request, or refuse it at once if it cannot be served."""
    problem = _find_refusal(event, state, now)
    if problem is not None:
        state.emit(RefuseRequest(event.request_id, problem))
        state.counters[f'refused.{problem.code}'] += 1
        return
    req = _build_request(event, state, now)
    state.requests[req.request_id] = req
    state.counters['arrived'] += 1
    deposit_retry(state, req)
    account = state.configuration.accounts[req.account]
    cost = req.tokens / account.weight
    queue_name = get_queue_name(req)
    get_queue(state, queue_name).add(
        QueueEntry(req.request_id, req.account, req.priority, cost),
    )
    state.schedule_wake(req.queue_deadline, 'queue', req.request_id)
    state.schedule_wake(req.deadline, 'request', req.request_id)
    dispatch_queue(state, queue_name, now)


@handle.register(ClientDisconnected)
def on_client_disconnected(
    event: ClientDisconnected, state: CoreState, now: float
) -> None:
    """Stop the request, unless a retry may ask for its answer.

    A request with a claimed key runs on: its client may return with the same
    key and must get the first answer, and stopping would leave its outcome
    unknown.
    """
    req = state.requests.get(event.request_id)
    if req is None:
        return
    state.counters['callers_left'] += 1
    if req.claimed or req.phase is Phase.CLAIMING:
        return
    outcome = determine_outcome(req)
    remove_request(state, req)
    state.counters[f'left.{outcome.value}'] += 1
    dispatch_queue(state, get_queue_name(req), now)


@handle.register(DrainRequested)
def on_drain_requested(
    event: DrainRequested, state: CoreState, now: float
) -> None:
    """Accept no new requests from now on, and refuse those to abort."""
    state.draining = True
    for request_id in event.aborted:
        req = state.requests.get(request_id)
        if req is not None:
            _abort_request(state, req)


@handle.register(ServingSuspended)
def on_serving_suspended(
    event: ServingSuspended, state: CoreState, now: float
) -> None:
    """Accept no new requests while the configuration is unconfirmed."""
    state.suspension_reason = event.reason


@handle.register(ServingResumed)
def on_serving_resumed(
    event: ServingResumed, state: CoreState, now: float
) -> None:
    """Accept new requests again."""
    state.suspension_reason = ''


def _abort_request(state: CoreState, req: RequestState) -> None:
    """Refuse a request as the node ends; no other one gets its place."""
    if determine_outcome(req) is Outcome.NOT_RUN:
        refuse_request(
            state,
            req,
            HTTPStatus.SERVICE_UNAVAILABLE,
            _DRAIN_CODE,
            _DRAIN_DETAIL,
            _DRAIN_RETRY_S,
        )
        return
    refuse_request(
        state,
        req,
        HTTPStatus.BAD_GATEWAY,
        'node-ended',
        'this node ended before the response was complete',
    )


def _find_refusal(
    event: RequestArrived, state: CoreState, now: float
) -> Problem | None:
    """Return why a new request cannot be accepted, or None."""
    if state.draining:
        return _build_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            _DRAIN_CODE,
            _DRAIN_DETAIL,
            _DRAIN_RETRY_S,
        )
    if state.suspension_reason:
        return _build_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'not-in-force',
            state.suspension_reason,
            _UNCONFIRMED_RETRY_S,
        )
    route = state.configuration.routes.get(event.route)
    account = state.configuration.accounts.get(event.account)
    if route is None or account is None or event.route not in account.routes:
        return _build_refusal(
            HTTPStatus.NOT_FOUND,
            'unknown-route',
            f'no route {event.route!r}',
            0,
        )
    if event.deadline <= now:
        return _build_refusal(
            HTTPStatus.GATEWAY_TIMEOUT,
            'deadline-passed',
            'the deadline has passed',
            0,
        )
    quarantine_problem = find_quarantine_problem(
        state, event.identity, event.parts, now
    )
    return quarantine_problem or _find_overload(
        event, state, now, route, account
    )


def _find_overload(
    event: RequestArrived,
    state: CoreState,
    now: float,
    route: Route,
    account: Account,
) -> Problem | None:
    """Refuse a request that could not start before its queue deadline.

    The client then learns of the overload now instead of at the deadline.
    """
    queue = get_queue(state, route.model or f'route {route.name}')
    length = queue.size()
    if length >= state.configuration.limits.max_queue:
        return _build_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'overloaded',
            'the queue is full',
            _QUEUE_FULL_RETRY_S,
        )
    queue_deadline = _compute_queue_deadline(event, route, now)
    problem = find_back_off_problem(state, route, queue_deadline, now)
    if problem is not None:
        return problem
    ahead = queue.estimate_ahead(account.name, choose_priority(route, account))
    wait_s = ahead * queue.dequeue_interval_s
    if length and now + wait_s > queue_deadline:
        detail = f'about {wait_s:.1f} s of work wait ahead of this request'
        return _build_refusal(
            HTTPStatus.SERVICE_UNAVAILABLE,
            'overloaded',
            detail,
            max(1, wait_s / 2),
        )
    return None


def _build_request(
    event: RequestArrived, state: CoreState, now: float
) -> RequestState:
    route = state.configuration.routes[event.route]
    account = state.configuration.accounts[event.account]
    return RequestState(
        request_id=event.request_id,
        account=event.account,
        route=route,
        priority=choose_priority(route, account),
        deadline=event.deadline,
        queue_deadline=_compute_queue_deadline(event, route, now),
        tokens=max(1, event.tokens),
        key=event.key,
        fingerprint=event.fingerprint,
        arrived_at=now,
        prefixes=event.prefixes,
        identity=event.identity,
        parts=event.parts,
    )


def _compute_queue_deadline(
    event: RequestArrived, route: Route, now: float
) -> float:
    return min(event.deadline, now + route.queue_timeout_s)


def _build_refusal(
    status: int, code: str, detail: str, retry_after_s: float
) -> Problem:
    return Problem(status, code, detail, Outcome.NOT_RUN, retry_after_s)
