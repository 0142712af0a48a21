"""Handlers for deadlines that have passed."""

from __future__ import annotations

import heapq
from http import HTTPStatus
from typing import TYPE_CHECKING

from samphirerill.core.availability import (
    compute_retry_after_s,
    find_back_off_end,
)
from samphirerill.core.commands import ProbeEndpoint
from samphirerill.core.completion import get_queue_name, refuse_request
from samphirerill.core.configuration import SERVICE_ROUTE
from samphirerill.core.events import AttemptFailed, TimerFired
from samphirerill.core.handling import handle
from samphirerill.core.on_attempts import (
    extend_progress,
    on_attempt_failed,
)
from samphirerill.core.on_crashes import evaluate_quarantine
from samphirerill.core.retries import has_retry
from samphirerill.core.scheduling import (
    dispatch_all_queues,
    dispatch_queue,
    may_start_again,
    schedule_room_wake,
)
from samphirerill.core.state import Health, Phase

if TYPE_CHECKING:
    from samphirerill.core.state import AttemptState, CoreState, RequestState

_QUEUE_TIMEOUT_RETRY_S = 1.0
# A timer that fires later than this means a blocked event loop.
_MIN_LAG_S = 0.1
# Upper limit of the extension, however long the loop was blocked.
_MAX_EXTENSION_S = 0.3


@handle.register(TimerFired)
def on_timer_fired(event: TimerFired, state: CoreState, now: float) -> None:
    """Act on every deadline that has passed."""
    if event.lag_s > _MIN_LAG_S:
        _extend_attempts(state, now + min(event.lag_s, _MAX_EXTENSION_S))
    while state.deadlines and state.deadlines[0][0] <= now:
        _, kind, name = heapq.heappop(state.deadlines)
        _CHECKS[kind](state, name, now)


def _extend_attempts(state: CoreState, until: float) -> None:
    """Extend progress deadlines after the node's event loop was blocked.

    Tokens that arrived meanwhile have not been read yet, and requests that
    were being sent have not reached their endpoints.
    """
    for attempt in state.attempts.values():
        attempt.progress_deadline = max(attempt.progress_deadline, until)


def _check_queue(state: CoreState, name: str, now: float) -> None:
    """Refuse a request whose queue deadline has passed."""
    req = state.requests.get(name)
    if req is None or req.phase is not Phase.QUEUED:
        return
    if req.queue_deadline > now:
        return
    retry_after_s = _QUEUE_TIMEOUT_RETRY_S
    back_off_end = find_back_off_end(state, req.route, now)
    if back_off_end:
        retry_after_s = compute_retry_after_s(state, back_off_end, now)
    refuse_request(
        state,
        req,
        HTTPStatus.SERVICE_UNAVAILABLE,
        'overloaded',
        'no room came in time',
        retry_after_s,
    )


def _check_request(state: CoreState, name: str, now: float) -> None:
    """End a request whose own deadline has passed."""
    req = state.requests.get(name)
    if req is None:
        return
    refuse_request(
        state,
        req,
        HTTPStatus.GATEWAY_TIMEOUT,
        'deadline-passed',
        'the deadline has passed',
    )
    dispatch_queue(state, get_queue_name(req), now)


def _check_attempt(state: CoreState, name: str, now: float) -> None:
    """Fail an attempt that has shown no progress.

    A connection may go silent without an error; without the progress deadline,
    the client would wait until its own timeout. A stream that cannot be sent
    again, or that no endpoint may take, stays while no probe has found one of
    its endpoints dead.
    """
    attempt = state.attempts.get(name)
    if attempt is None:
        return
    if attempt.progress_deadline > now:
        state.schedule_wake(attempt.progress_deadline, 'attempt', name)
        return
    req = state.requests[attempt.request_id]
    if not _can_replace(state, req, now) and _may_recover(state, attempt):
        state.counters['attempts.kept'] += 1
        _probe_silent_stages(state, attempt, now)
        extend_progress(state, attempt, now)
        state.schedule_wake(attempt.progress_deadline, 'attempt', name)
        return
    state.counters['attempts.silent'] += 1
    req.avoid.update(stage.endpoint for stage in attempt.stages)
    on_attempt_failed(
        AttemptFailed(name, 'the endpoint went silent'), state, now
    )


def _probe_silent_stages(
    state: CoreState, attempt: AttemptState, now: float
) -> None:
    """Probe the stages; one that backs off is alive and is probed once."""
    for stage in attempt.stages:
        if state.back_offs.try_probe(stage.address, now):
            state.emit(ProbeEndpoint(stage.endpoint, stage.address))


def _can_replace(state: CoreState, req: RequestState, now: float) -> bool:
    """Return whether another attempt may follow a silent one."""
    if req.route.kind == SERVICE_ROUTE:
        return True
    return has_retry(state, req, now) and may_start_again(state, req, now)


def _may_recover(state: CoreState, attempt: AttemptState) -> bool:
    """Return whether no endpoint of an attempt is known to be dead."""
    replicas = [state.endpoints.get(stage.endpoint) for stage in attempt.stages]
    return all(
        replica is not None
        and replica.health is not Health.SUSPECT
        and not replica.is_unresponsive
        for replica in replicas
    )


def _check_endpoint(state: CoreState, name: str, now: float) -> None:
    """Probe a suspect, departing or unresponsive endpoint again."""
    replica = state.endpoints.get(name)
    if replica is None:
        return
    is_departing = state.departures.is_leaving(replica.endpoint.address)
    is_suspect = replica.health is Health.SUSPECT or replica.is_unresponsive
    if not is_suspect and not is_departing:
        return
    back_off_end = state.back_offs.get_until(replica.endpoint.address, now)
    if back_off_end:
        replica.next_probe_at = back_off_end
        state.schedule_wake(back_off_end, 'endpoint', name)
    elif replica.next_probe_at <= now:
        state.emit(ProbeEndpoint(name, replica.endpoint.address))


def _check_back_off(state: CoreState, address: str, now: float) -> None:
    """Use an endpoint again whose back-off has ended."""
    if not state.back_offs.get_until(address, now):
        state.back_offs.remove(address)
        dispatch_all_queues(state, now)


def _check_room(state: CoreState, address: str, now: float) -> None:
    """Use an endpoint again that takes the next request of this node."""
    dispatch_all_queues(state, now)
    schedule_room_wake(state, address, now)


def _check_quarantine(state: CoreState, name: str, now: float) -> None:
    """Re-evaluate the quarantine."""
    evaluate_quarantine(state, now)


_CHECKS = {
    'quarantine': _check_quarantine,
    'queue': _check_queue,
    'request': _check_request,
    'back_off': _check_back_off,
    'room': _check_room,
    'attempt': _check_attempt,
    'endpoint': _check_endpoint,
}
