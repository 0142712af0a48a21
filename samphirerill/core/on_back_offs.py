"""Handlers for endpoints that ask for a back-off.

An endpoint that asks for a back-off is alive and gets nothing from this node until
its back-off ends; streams that it runs go on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.back_offs import MAX_BACK_OFF_S, MAX_JITTER_S
from samphirerill.core.commands import LogEndpoint
from samphirerill.core.endpoint_events import (
    EndpointRequestedBackOff,
    RetryAfterIgnored,
)
from samphirerill.core.handling import handle
from samphirerill.core.scheduling import refuse_hopeless, withdraw_attempts

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState

# Each node adds up to this share of a back-off, so that not all return at once.
_JITTER = 0.1


@handle.register(EndpointRequestedBackOff)
def on_endpoint_requested_back_off(
    event: EndpointRequestedBackOff, state: CoreState, now: float
) -> None:
    """Send an endpoint nothing until its back-off ends."""
    back_off_s = min(event.until - now, MAX_BACK_OFF_S)
    if back_off_s <= 0:
        return
    state.counters['back_offs.requested'] += 1
    is_backing_off = bool(state.back_offs.get_until(event.address, now))
    jitter_s = min(MAX_JITTER_S, _JITTER * back_off_s) * state.random.random()
    until = now + back_off_s + jitter_s
    if not state.back_offs.extend(event.address, until):
        return
    state.schedule_wake(until, 'back_off', event.address)
    if not is_backing_off:
        state.counters['back_offs.started'] += 1
        _log_back_off(event, state, until - now)
    withdraw_attempts(state, event.address, now)
    refuse_hopeless(state, now)


@handle.register(RetryAfterIgnored)
def on_retry_after_ignored(
    event: RetryAfterIgnored, state: CoreState, now: float
) -> None:
    """Count an invalid value; log each value of an endpoint once."""
    state.counters['back_offs.ignored'] += 1
    if state.back_offs.note_ignored_value(event.address, event.received):
        details: dict[str, object] = {
            'address': event.address,
            'received': event.received,
        }
        message = 'invalid Retry-After ignored'
        state.emit(LogEndpoint(message, event.endpoint, details))


def _log_back_off(
    event: EndpointRequestedBackOff, state: CoreState, back_off_s: float
) -> None:
    details: dict[str, object] = {
        'address': event.address,
        'received': event.received,
        'back_off_s': round(back_off_s, 3),
    }
    state.emit(
        LogEndpoint('endpoint asked for a back-off', event.endpoint, details)
    )
