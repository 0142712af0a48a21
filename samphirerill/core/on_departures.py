"""Handlers for endpoints that say that they leave.

From its first such answer on, an endpoint gets no new work from this node. It
is probed, so that the process that takes its place is found.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.commands import LogEndpoint
from samphirerill.core.endpoint_events import EndpointLeaving
from samphirerill.core.handling import handle
from samphirerill.core.on_attempts import PROBE_INTERVAL_S
from samphirerill.core.placement import SLOW_START_S
from samphirerill.core.scheduling import dispatch_all_queues, withdraw_attempts
from samphirerill.core.state import Health

if TYPE_CHECKING:
    from samphirerill.core.events import ProbeFinished
    from samphirerill.core.state import CoreState, EndpointState


@handle.register(EndpointLeaving)
def on_endpoint_leaving(
    event: EndpointLeaving, state: CoreState, now: float
) -> None:
    """Send a process that leaves no new work; its streams go on."""
    if not state.departures.note(event.address):
        return
    state.counters['departures.announced'] += 1
    _log(state, 'endpoint says it is leaving', event.endpoint, event.address)
    for replica in _list_replicas(state, event.address):
        mark_departing(state, replica, now)
    withdraw_attempts(state, event.address, now)


def mark_departing(
    state: CoreState, replica: EndpointState, now: float
) -> None:
    """Send an endpoint no new work, and probe it until it is replaced."""
    replica.health = Health.LEAVING
    replica.next_probe_at = now + PROBE_INTERVAL_S
    state.schedule_wake(
        replica.next_probe_at, 'endpoint', replica.endpoint.name
    )


def follow_departure(
    state: CoreState, event: ProbeFinished, replica: EndpointState, now: float
) -> None:
    """Use an address again once another process answers there."""
    address = replica.endpoint.address
    if not event.alive:
        state.departures.note_out_of_sight(address)
    elif state.departures.note_silent_answer(address):
        _end_departure(state, event.endpoint, address, now)
        return
    mark_departing(state, replica, now)


def _end_departure(
    state: CoreState, name: str, address: str, now: float
) -> None:
    state.counters['departures.ended'] += 1
    _log(state, 'another process in place of a leaving one', name, address)
    state.back_offs.remove(address)
    state.request_limits.remove(address)
    for replica in _list_replicas(state, address):
        if replica.endpoint.name not in state.leaving:
            replica.health = Health.LIVE
            replica.slow_start_until = now + SLOW_START_S
    dispatch_all_queues(state, now)


def _list_replicas(state: CoreState, address: str) -> list[EndpointState]:
    return [
        replica
        for replica in state.endpoints.values()
        if replica.endpoint.address == address
    ]


def _log(state: CoreState, message: str, name: str, address: str) -> None:
    state.emit(LogEndpoint(message, name, {'address': address}))
