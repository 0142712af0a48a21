"""Quarantine of requests that crash the endpoints that run them.

A failed attempt counts against its request if it failed before or soon after
its first token and its endpoint's process has ended, which a refused
connection shows.
:mod:`samphirerill.quarantine` decides, from the records of all nodes, which
requests are quarantined.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.commands import Outcome, Problem
from samphirerill.core.completion import (
    determine_outcome,
    get_queue_name,
    refuse_request,
)
from samphirerill.core.events import EvidenceReceived
from samphirerill.core.handling import handle
from samphirerill.core.scheduling import dispatch_queue
from samphirerill.quarantine import Crash
from samphirerill.quarantine.decision import SETTLE_S, SURVIVAL_S
from samphirerill.quarantine.messages import apply_messages

if TYPE_CHECKING:
    from samphirerill.core.events import ProbeFinished
    from samphirerill.core.state import AttemptState, CoreState, RequestState

QUARANTINE_DETAIL = 'endpoints end when they run this request'
# Timers may fire slightly early.
_TIMER_SLACK_S = 0.005


@handle.register(EvidenceReceived)
def on_evidence_received(
    event: EvidenceReceived, state: CoreState, now: float
) -> None:
    """Merge another node's crash records."""
    if apply_messages(state.quarantine, event.records, now):
        _schedule_evaluation(state, now)


def find_quarantine_problem(
    state: CoreState, identity: bytes, now: float
) -> Problem | None:
    """Return the refusal of a quarantined request, or None."""
    until = state.quarantine.get_held_until(identity, now)
    if not until:
        return None
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'quarantined',
        QUARANTINE_DETAIL,
        Outcome.NOT_RUN,
        until - now,
    )


def record_failure(
    state: CoreState, attempt: AttemptState, req: RequestState, now: float
) -> bool:
    """Record a failed attempt.

    Returns whether its endpoints may have crashed because of it.
    """
    if not req.identity or not attempt.sent:
        return False
    if _has_survived_start(attempt):
        record_survival(state, req, now)
        return False
    for stage in attempt.stages:
        crash = Crash(stage.endpoint, req.request_id, now)
        crashes = state.suspected_crashes.setdefault(stage.endpoint, {})
        crashes[req.identity] = crash
    return True


def record_probe(state: CoreState, event: ProbeFinished, now: float) -> None:
    """Count the suspected crashes of an endpoint if it has ended."""
    crashes = state.suspected_crashes.pop(event.endpoint, {})
    if not event.is_refused:
        return
    for identity, crash in crashes.items():
        state.quarantine.note_crash(identity, crash, now)
        _schedule_evaluation(state, now)


def record_token(
    state: CoreState, attempt: AttemptState, req: RequestState, now: float
) -> None:
    """Record a token; a stream that lasts long enough clears its request."""
    attempt.first_token_at = attempt.first_token_at or now
    attempt.last_token_at = now
    if _has_survived_start(attempt):
        record_survival(state, req, now)


def record_survival(state: CoreState, req: RequestState, now: float) -> None:
    """Record that a request ran without crashing its endpoint."""
    if state.quarantine.note_survival(req.identity, now):
        state.counters['quarantine.refuted'] += 1
        _schedule_evaluation(state, now)


def evaluate_quarantine(state: CoreState, now: float) -> None:
    """Update the quarantine and refuse requests that entered it."""
    for decision in state.quarantine.update_holds(now):
        kind = 'held' if decision.until else 'released'
        state.counters[f'quarantine.{kind}'] += 1
        if decision.until:
            _refuse_affected(state, decision.request, now)


def refuse_quarantined(state: CoreState, req: RequestState, now: float) -> bool:
    """Refuse a request if it is quarantined; return whether it was."""
    problem = find_quarantine_problem(state, req.identity, now)
    if problem is None:
        return False
    status = problem.status
    if determine_outcome(req) is Outcome.MAY_HAVE_RUN:
        # A 503 would state that nothing ran.
        status = HTTPStatus.BAD_GATEWAY
    refuse_request(
        state,
        req,
        status,
        problem.code,
        problem.detail,
        problem.retry_after_s,
    )
    return True


def _refuse_affected(state: CoreState, identity: bytes, now: float) -> None:
    affected = [
        req for req in state.requests.values() if req.identity == identity
    ]
    for req in affected:
        attempt = state.attempts.get(req.attempt_id)
        if attempt is not None and _has_survived_start(attempt):
            continue
        refuse_quarantined(state, req, now)
        dispatch_queue(state, get_queue_name(req), now)


def _has_survived_start(attempt: AttemptState) -> bool:
    return attempt.last_token_at - attempt.first_token_at >= SURVIVAL_S


def _schedule_evaluation(state: CoreState, now: float) -> None:
    state.schedule_wake(now + SETTLE_S + _TIMER_SLACK_S, 'quarantine', '')
