"""Handlers for the events of attempts at endpoints."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import (
    CancelAttempt,
    DeliverServiceResponse,
    DeliverToken,
    ProbeEndpoint,
)
from samphirerill.core.completion import (
    finish_request,
    get_queue_name,
    remove_attempt,
    return_retry,
)
from samphirerill.core.events import (
    AttemptFailed,
    AttemptProgressed,
    AttemptRefused,
    AttemptSent,
    ServiceAnswered,
    TokenArrived,
)
from samphirerill.core.handling import handle
from samphirerill.core.on_crashes import (
    record_failure,
    record_survival,
    record_token,
    refuse_quarantined,
)
from samphirerill.core.placement import (
    choose_pipeline,
    compute_token_ms,
    observe_hops,
    predict_token_ms,
)
from samphirerill.core.retries import reserve_retry
from samphirerill.core.scheduling import (
    dispatch_queue,
    requeue_at_front,
    retry_or_refuse,
    start_attempt,
)
from samphirerill.core.state import Health

if TYPE_CHECKING:
    from samphirerill.core.state import (
        AttemptState,
        CoreState,
        EndpointState,
        RequestState,
    )

LEAVING_DETAIL = 'leaving'
PROBE_INTERVAL_S = 2.0
# An alternative must be predicted to take at most this share of the time.
_MAX_MIGRATION_RATIO = 0.6
_MIN_SLOW_HOP_MS = 5.0
_MIN_REMAINING_TOKENS = 4
# Approximate time to prefill a typical prompt on another pipeline.
_MIGRATION_COST_MS = 300.0


@handle.register(AttemptSent)
def on_attempt_sent(event: AttemptSent, state: CoreState, now: float) -> None:
    """Record that the attempt may have run from now on."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None or attempt.sent:
        return
    attempt.sent = True
    req = state.requests[attempt.request_id]
    req.ambiguous_attempts += 1
    req.has_unspent_retry = False


@handle.register(TokenArrived)
def on_token_arrived(event: TokenArrived, state: CoreState, now: float) -> None:
    """Deliver a token if it is the next one of the current attempt.

    Late, repeated or misdirected tokens belong to an attempt that has ended,
    or to another epoch or index. Delivering one would show the client a token
    twice or another client's token, so they are dropped; except for repeated
    ones, their attempt is ended too.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        state.counters['dropped.late'] += 1
        state.emit(CancelAttempt(event.attempt_id))
        return
    if attempt.epoch != event.epoch:
        state.counters['dropped.epoch'] += 1
        failure = AttemptFailed(event.attempt_id, 'a token of another epoch')
        on_attempt_failed(failure, state, now)
        return
    req = state.requests[attempt.request_id]
    if event.index < req.delivered:
        state.counters['dropped.repeated'] += 1
        return
    if event.index > req.delivered:
        state.counters['dropped.gap'] += 1
        failure = AttemptFailed(event.attempt_id, 'a token is missing')
        on_attempt_failed(failure, state, now)
        return
    req.delivered += 1
    attempt.has_token = True
    record_token(state, attempt, req, now)
    req.failures = 0
    return_retry(state, req)
    extend_progress(state, attempt, now)
    state.emit(
        DeliverToken(req.request_id, event.index, event.text, event.finish),
    )
    if event.finish:
        _finish_attempt(state, attempt, req, now)
    elif event.hops_ms:
        observe_hops(state, attempt.stages, event.hops_ms)
        _migrate_from_slow_link(state, attempt, req, event, now)


@handle.register(AttemptProgressed)
def on_attempt_progressed(
    event: AttemptProgressed, state: CoreState, now: float
) -> None:
    """Extend the progress deadline of an engine that reports progress."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is not None:
        extend_progress(state, attempt, now)


@handle.register(AttemptRefused)
def on_attempt_refused(
    event: AttemptRefused, state: CoreState, now: float
) -> None:
    """Try another endpoint, also on routes that are not idempotent.

    The endpoint ran nothing of the attempt.
    """
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    req = state.requests[attempt.request_id]
    head = attempt.stages[0].endpoint
    if attempt.sent:
        req.ambiguous_attempts -= 1
    remove_attempt(state, attempt)
    state.emit(CancelAttempt(attempt.attempt_id))
    req.avoid.add(head)
    if event.detail == LEAVING_DETAIL:
        state.mark_leaving(head, now)
    state.counters['attempts.refused'] += 1
    detail = f'the endpoint refused: {event.detail}'
    retry_or_refuse(
        state,
        req,
        now,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'endpoint-refused',
        detail,
    )
    dispatch_queue(state, get_queue_name(req), now)


@handle.register(AttemptFailed)
def on_attempt_failed(
    event: AttemptFailed, state: CoreState, now: float
) -> None:
    """Exclude the failed stage, then retry elsewhere or end the request."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        return
    req = state.requests[attempt.request_id]
    remove_attempt(state, attempt)
    state.emit(CancelAttempt(attempt.attempt_id))
    # A connection that failed has spent its retry.
    req.has_unspent_retry = False
    if event.is_alive:
        req.avoid.add(attempt.stages[0].endpoint)
    else:
        _search_failed_stage(state, attempt, event, req, now)
    state.counters['attempts.broke'] += 1
    if refuse_quarantined(state, req, now):
        dispatch_queue(state, get_queue_name(req), now)
        return
    retry_or_refuse(
        state, req, now, HTTPStatus.BAD_GATEWAY, 'attempt-broke', event.detail
    )
    dispatch_queue(state, get_queue_name(req), now)


@handle.register(ServiceAnswered)
def on_service_answered(
    event: ServiceAnswered, state: CoreState, now: float
) -> None:
    """Deliver a plain service's complete answer."""
    attempt = state.attempts.get(event.attempt_id)
    if attempt is None:
        state.counters['dropped.late'] += 1
        return
    req = state.requests[attempt.request_id]
    state.emit(DeliverServiceResponse(req.request_id, event.attempt_id))
    _finish_attempt(state, attempt, req, now)


def mark_suspect(state: CoreState, name: str, now: float) -> None:
    """Send an endpoint nothing until a probe finds it alive."""
    replica = state.endpoints.get(name)
    if replica is None or replica.health is Health.LEAVING:
        return
    replica.health = Health.SUSPECT
    schedule_probe(state, replica, now)


def schedule_probe(
    state: CoreState, replica: EndpointState, now: float
) -> None:
    """Probe an endpoint again after the probe interval."""
    replica.next_probe_at = now + PROBE_INTERVAL_S
    state.schedule_wake(
        replica.next_probe_at, 'endpoint', replica.endpoint.name
    )


def probe_stages(state: CoreState, attempt: AttemptState, now: float) -> None:
    """Probe all stages, to distinguish a failed endpoint from a failed link.

    One that was already probed during its back-off is probed when it ends.
    """
    for stage in attempt.stages:
        if state.back_offs.try_probe(stage.address, now):
            state.emit(ProbeEndpoint(stage.endpoint, stage.address))
        else:
            mark_suspect(state, stage.endpoint, now)


def _search_failed_stage(
    state: CoreState,
    attempt: AttemptState,
    event: AttemptFailed,
    req: RequestState,
    now: float,
) -> None:
    is_stage_unknown = not _exclude_failed_stage(
        state, attempt, event, req, now
    )
    may_have_crashed = record_failure(state, attempt, req, now)
    if is_stage_unknown or may_have_crashed:
        probe_stages(state, attempt, now)


def extend_progress(
    state: CoreState, attempt: AttemptState, now: float
) -> None:
    """Extend the time that an attempt has for its next progress."""
    limits = state.configuration.limits
    timeout_s = limits.first_token_timeout_s
    if attempt.has_token:
        timeout_s = limits.progress_timeout_s
    previous_deadline = attempt.progress_deadline
    attempt.progress_deadline = now + timeout_s
    if attempt.progress_deadline < previous_deadline:
        state.schedule_wake(
            attempt.progress_deadline, 'attempt', attempt.attempt_id
        )


def _exclude_failed_stage(
    state: CoreState,
    attempt: AttemptState,
    event: AttemptFailed,
    req: RequestState,
    now: float,
) -> bool:
    """Avoid the failed stage; return whether the engine named it."""
    if 0 <= event.failed_stage < len(attempt.stages):
        name = attempt.stages[event.failed_stage].endpoint
        req.avoid.add(name)
        mark_suspect(state, name, now)
        return True
    if not event.connected:
        mark_suspect(state, attempt.stages[0].endpoint, now)
    req.avoid.add(attempt.stages[0].endpoint)
    return False


def _finish_attempt(
    state: CoreState, attempt: AttemptState, req: RequestState, now: float
) -> None:
    record_survival(state, req, now)
    remove_attempt(state, attempt)
    finish_request(state, req)
    state.emit(CancelAttempt(attempt.attempt_id))
    dispatch_queue(state, get_queue_name(req), now)


def _migrate(
    state: CoreState, attempt: AttemptState, req: RequestState, now: float
) -> None:
    remove_attempt(state, attempt)
    state.emit(CancelAttempt(attempt.attempt_id))
    state.counters['moved.slow_link'] += 1
    if not start_attempt(state, req, now):
        requeue_at_front(state, req, now)


def _migrate_from_slow_link(
    state: CoreState,
    attempt: AttemptState,
    req: RequestState,
    event: TokenArrived,
    now: float,
) -> None:
    """Migrate a stream to another pipeline when one of its links is slow.

    If only new requests avoided a degraded link, long streams that already use
    it would stay slow to their end. A hop that is only briefly slow, because
    its target is busy, costs less than a migration. The new attempt may be
    rejected, so a retry is reserved until its first token.
    """
    hops_ms = event.hops_ms
    if not req.route.idempotent or max(hops_ms) < _MIN_SLOW_HOP_MS:
        attempt.last_slow_index = -1
        attempt.excess_ms = 0
        return
    if 0 < req.tokens - req.delivered < _MIN_REMAINING_TOKENS:
        # Too few tokens are left to repay a second prefill. An estimate that
        # is used up says nothing about how many are left.
        return
    worst = hops_ms.index(max(hops_ms))
    # Avoid the target of the slowest hop; if that hop leads back to the first
    # stage, its source.
    target = attempt.stages[(worst + 1) % len(attempt.stages)].endpoint
    if worst + 1 == len(attempt.stages):
        target = attempt.stages[worst].endpoint
    current_ms = compute_token_ms(state, attempt.stages, hops_ms)
    avoid = req.avoid | {target}
    alternative = choose_pipeline(state, req.route.model, avoid)
    alternative_ms = (
        predict_token_ms(state, alternative) if alternative else float('inf')
    )
    if alternative_ms > _MAX_MIGRATION_RATIO * current_ms:
        return
    _add_excess_ms(attempt, event.index, current_ms - alternative_ms)
    is_worthwhile = attempt.excess_ms >= _MIGRATION_COST_MS
    if is_worthwhile and reserve_retry(state, req, now):
        req.avoid.add(target)
        _migrate(state, attempt, req, now)


def _add_excess_ms(attempt: AttemptState, index: int, excess_ms: float) -> None:
    """Add the time that slow hops have cost since the last fast report."""
    tokens = (
        1 if attempt.last_slow_index < 0 else index - attempt.last_slow_index
    )
    attempt.last_slow_index = index
    attempt.excess_ms += tokens * excess_ms
