"""Quarantine of requests that crash the endpoints that run them.

A failed attempt counts against its request if it failed before or soon after
its first token and its endpoint's process has ended, which a refused
connection shows.
:mod:`samphirerill.quarantine` decides, from the records of all nodes, which
requests are quarantined.
"""

from __future__ import annotations

from dataclasses import replace
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
from samphirerill.core.state import SuspectedCrash
from samphirerill.quarantine import Crash
from samphirerill.quarantine.decision import SETTLE_S, SURVIVAL_S
from samphirerill.quarantine.messages import apply_messages

if TYPE_CHECKING:
    from samphirerill.core.events import ProbeFinished
    from samphirerill.core.state import AttemptState, CoreState, RequestState
    from samphirerill.quarantine import HoldChange, RequestParts

QUARANTINE_DETAIL = 'endpoints end when they run this request'
PART_QUARANTINE_DETAIL = 'endpoints end when they run a part of this prompt'
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
    state: CoreState, identity: bytes, parts: RequestParts, now: float
) -> Problem | None:
    """Return the refusal of a quarantined request, or None.

    A part of its prompt may be quarantined, too.
    """
    part_until = state.quarantine.parts.get_held_until(parts, now)
    until = max(state.quarantine.get_held_until(identity, now), part_until)
    if not until:
        return None
    return Problem(
        HTTPStatus.SERVICE_UNAVAILABLE,
        'quarantined',
        PART_QUARANTINE_DETAIL if part_until else QUARANTINE_DETAIL,
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
        crashes[req.identity] = SuspectedCrash(crash, req.parts)
    return True


def record_probe(state: CoreState, event: ProbeFinished, now: float) -> None:
    """Count the suspected crashes of an endpoint if it has ended."""
    crashes = state.suspected_crashes.pop(event.endpoint, {})
    if not event.is_refused:
        return
    for identity, suspected in crashes.items():
        state.quarantine.note_crash(identity, suspected.crash, now)
        _note_parts_crash(state, suspected, now)
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
    if not len(state.quarantine.parts):
        return
    for digest in req.parts.digests:
        if state.quarantine.parts.note_survival(digest, now):
            state.counters['quarantine.parts.refuted'] += 1
            _schedule_evaluation(state, now)


def evaluate_quarantine(state: CoreState, now: float) -> None:
    """Update the quarantine and refuse requests that entered it."""
    changes = state.quarantine.update_holds(now)
    suspects = state.quarantine.list_suspects()
    part_changes = state.quarantine.parts.update_holds(now, suspects)
    _count_changes(state, 'quarantine', changes)
    _count_changes(state, 'quarantine.parts', part_changes)
    if any(change.until for change in (*changes, *part_changes)):
        _refuse_affected(state, now)


def refuse_quarantined(state: CoreState, req: RequestState, now: float) -> bool:
    """Refuse a request if it is quarantined; return whether it was."""
    problem = find_quarantine_problem(state, req.identity, req.parts, now)
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


def _note_parts_crash(
    state: CoreState, suspected: SuspectedCrash, now: float
) -> None:
    """Count a crash against the prompt parts of a request."""
    parts = suspected.parts
    crash = replace(suspected.crash, account=parts.account)
    for digest in parts.digests:
        state.quarantine.parts.note_crash(digest, crash, now)


def _count_changes(
    state: CoreState, name: str, changes: list[HoldChange]
) -> None:
    for change in changes:
        kind = 'held' if change.until else 'released'
        state.counters[f'{name}.{kind}'] += 1


def _refuse_affected(state: CoreState, now: float) -> None:
    affected = [
        req
        for req in state.requests.values()
        if find_quarantine_problem(state, req.identity, req.parts, now)
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
