"""Handlers for endpoints that ask for rest.

An endpoint that asks for rest is alive and gets nothing from this node until
its rest ends; streams that it runs go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.commands import LogEndpoint
from samphirerill.core.endpoint_events import (
    EndpointAskedForRest,
    RetryAfterIgnored,
)
from samphirerill.core.handling import handle
from samphirerill.core.rests import MAX_JITTER_S, MAX_REST_S
from samphirerill.core.scheduling import refuse_hopeless, withdraw_attempts

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState

# Each node adds up to this share of a rest, so that not all return at once.
_JITTER = 0.1


@handle.register(EndpointAskedForRest)
def on_endpoint_asked_for_rest(
    event: EndpointAskedForRest, state: CoreState, now: float
) -> None:
    """Send an endpoint nothing until its rest ends."""
    rest_s = min(event.until - now, MAX_REST_S)
    if rest_s <= 0:
        return
    state.counters['rests.asked'] += 1
    is_resting = bool(state.rests.get_until(event.address, now))
    jitter_s = min(MAX_JITTER_S, _JITTER * rest_s) * state.random.random()
    until = now + rest_s + jitter_s
    if not state.rests.extend(event.address, until):
        return
    state.schedule_wake(until, 'rest', event.address)
    if not is_resting:
        state.counters['rests.started'] += 1
        _log_rest(event, state, until - now)
    withdraw_attempts(state, event.address, now)
    refuse_hopeless(state, now)


@handle.register(RetryAfterIgnored)
def on_retry_after_ignored(
    event: RetryAfterIgnored, state: CoreState, now: float
) -> None:
    """Count an invalid value; log each value of an endpoint once."""
    state.counters['rests.ignored'] += 1
    if state.rests.note_ignored_value(event.address, event.received):
        details: dict[str, object] = {
            'address': event.address,
            'received': event.received,
        }
        message = 'invalid Retry-After ignored'
        state.emit(LogEndpoint(message, event.endpoint, details))


def _log_rest(
    event: EndpointAskedForRest, state: CoreState, rest_s: float
) -> None:
    details: dict[str, object] = {
        'address': event.address,
        'received': event.received,
        'rest_s': round(rest_s, 3),
    }
    state.emit(LogEndpoint('endpoint asked for rest', event.endpoint, details))
