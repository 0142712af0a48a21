"""Handlers for changes of the configuration, endpoints and nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.events import (
    CacheReported,
    ConfigurationAccepted,
    LoadReported,
    NodeCountReported,
    ProbeFinished,
    VmListRead,
)
from samphirerill.core.handling import handle
from samphirerill.core.on_attempts import mark_suspect, schedule_probe
from samphirerill.core.on_crashes import record_probe
from samphirerill.core.on_departures import follow_departure, mark_departing
from samphirerill.core.placement import SLOW_START_S
from samphirerill.core.scheduling import dispatch_all_queues, dispatch_queue
from samphirerill.core.state import EndpointState, Health
from samphirerill.core.subsets import group_by_model

if TYPE_CHECKING:
    from samphirerill.core.configuration import Endpoint
    from samphirerill.core.state import CoreState


@handle.register(ConfigurationAccepted)
def on_configuration_accepted(
    event: ConfigurationAccepted, state: CoreState, now: float
) -> None:
    """Put a newer version in force; ignore an older or equal one.

    Versions from the key-value store and from peers may arrive late and out
    of order. Accepting only higher numbers keeps the configuration from
    reverting.
    """
    configuration = event.configuration
    is_first = not state.configuration.version
    if configuration.version <= state.configuration.version:
        state.counters['configuration.stale'] += 1
        return
    state.configuration = configuration
    replicas = {}
    for name, endpoint in configuration.endpoints.items():
        replica = state.endpoints.get(name)
        if replica is None or replica.endpoint.address != endpoint.address:
            slow_start_until = now if is_first else now + SLOW_START_S
            replica = _build_endpoint_state(
                state, endpoint, slow_start_until, now
            )
        replica.endpoint = endpoint
        replicas[name] = replica
    _note_removed(state, replicas)
    state.endpoints = replicas
    state.by_model = group_by_model(state.node, replicas)
    state.links.retain(replicas)
    dispatch_all_queues(state, now)


@handle.register(VmListRead)
def on_vm_list_read(event: VmListRead, state: CoreState, now: float) -> None:
    """Send no new work to endpoints that are leaving.

    The list lags behind, and consecutive reads may lag differently. An
    endpoint listed as leaving is therefore used again only if it is listed as
    live after the longest possible lag; otherwise work could go to a VM that
    is about to stop.
    """
    for name in event.leaving:
        state.mark_leaving(name, now)
    for name in event.live:
        if state.leaving.get(name, now) < now:
            state.leaving.pop(name)
            _mark_live(state, name)
    dispatch_all_queues(state, now)


def _mark_live(state: CoreState, name: str) -> None:
    """Use an endpoint again unless its process itself said that it leaves."""
    replica = state.endpoints.get(name)
    if replica is None:
        return
    if not state.departures.is_leaving(replica.endpoint.address):
        replica.health = Health.LIVE


def _build_endpoint_state(
    state: CoreState,
    endpoint: Endpoint,
    slow_start_until: float,
    now: float,
) -> EndpointState:
    """Return the state of a newly configured endpoint.

    An endpoint known to be leaving stays so, even if operators removed it and
    added it again in the meantime.
    """
    replica = EndpointState(endpoint, slow_start_until=slow_start_until)
    if endpoint.name in state.leaving:
        replica.health = Health.LEAVING
    if state.departures.is_leaving(endpoint.address):
        mark_departing(state, replica, now)
    return replica


def _note_removed(state: CoreState, replicas: dict[str, EndpointState]) -> None:
    """Note the addresses that the next configuration no longer contains."""
    kept = {replica.endpoint.address for replica in replicas.values()}
    for replica in state.endpoints.values():
        address = replica.endpoint.address
        if address not in kept:
            state.departures.note_out_of_sight(address)


@handle.register(LoadReported)
def on_load_reported(event: LoadReported, state: CoreState, now: float) -> None:
    """Record an endpoint's load and what this node had in flight."""
    replica = state.endpoints.get(event.endpoint)
    if replica is None:
        return
    replica.running = event.running
    replica.waiting = event.waiting
    replica.in_flight_at_report = replica.in_flight
    replica.reported_at = now
    if replica.endpoint.model:
        dispatch_queue(state, replica.endpoint.model, now)


def _probe_again(state: CoreState, replica: EndpointState, now: float) -> None:
    """Probe an endpoint that failed a probe; a leaving one stays so."""
    if replica.health is Health.LEAVING:
        schedule_probe(state, replica, now)
    else:
        mark_suspect(state, replica.endpoint.name, now)


@handle.register(ProbeFinished)
def on_probe_finished(
    event: ProbeFinished, state: CoreState, now: float
) -> None:
    """Use an endpoint again, or keep it suspect and probe again later."""
    record_probe(state, event, now)
    replica = state.endpoints.get(event.endpoint)
    if replica is None:
        return
    replica.is_unresponsive = not event.alive
    if event.is_refused:
        # Whatever listens there later is another process.
        state.back_offs.remove(replica.endpoint.address)
        state.request_limits.remove(replica.endpoint.address)
    if state.departures.is_leaving(replica.endpoint.address):
        follow_departure(state, event, replica, now)
        return
    if not event.alive:
        _probe_again(state, replica, now)
    elif replica.health is Health.SUSPECT:
        replica.health = Health.LIVE
        dispatch_all_queues(state, now)


@handle.register(NodeCountReported)
def on_node_count_reported(
    event: NodeCountReported, state: CoreState, now: float
) -> None:
    """Record the number of nodes that share limits and endpoints."""
    state.node_count = max(1, event.count)


@handle.register(CacheReported)
def on_cache_reported(
    event: CacheReported, state: CoreState, now: float
) -> None:
    """Record which prompt prefixes an engine stored and evicted."""
    state.prefixes.apply_events(event.endpoint, event.events)
