"""Handlers for endpoints that name the request rate that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.commands import LogEndpoint
from samphirerill.core.endpoint_events import (
    EndpointNamedLimit,
    RequestLimitIgnored,
)
from samphirerill.core.handling import handle
from samphirerill.core.request_limits import LAPSE_S, RequestLimit
from samphirerill.core.scheduling import (
    dispatch_all_queues,
    refuse_hopeless,
    schedule_room_wake,
)

if TYPE_CHECKING:
    from samphirerill.core.state import CoreState


@handle.register(EndpointNamedLimit)
def on_endpoint_named_limit(
    event: EndpointNamedLimit, state: CoreState, now: float
) -> None:
    """Send an endpoint no more than this node's part of the rate it named."""
    if event.rate_per_s is None and not state.request_limits:
        return
    said = RequestLimit(
        event.rate_per_s, event.said_at, now + LAPSE_S, state.random.random()
    )
    if not state.request_limits.note(event.address, said):
        return
    state.counters['request_limits.changed'] += 1
    details: dict[str, object] = {
        'address': event.address,
        'rate_per_s': event.rate_per_s,
        'age_s': round(now - event.said_at, 3),
        'nodes': state.node_count,
    }
    message = 'endpoint changes its request limit'
    state.emit(LogEndpoint(message, event.endpoint, details))
    if event.rate_per_s is None:
        dispatch_all_queues(state, now)
        return
    schedule_room_wake(state, event.address, now)
    refuse_hopeless(state, now)


@handle.register(RequestLimitIgnored)
def on_request_limit_ignored(
    event: RequestLimitIgnored, state: CoreState, now: float
) -> None:
    """Count an invalid value; log each value of an endpoint once."""
    state.counters['request_limits.ignored'] += 1
    if state.back_offs.note_ignored_value(event.address, event.received):
        details: dict[str, object] = {
            'address': event.address,
            'received': event.received,
        }
        message = 'invalid request limit ignored'
        state.emit(LogEndpoint(message, event.endpoint, details))
