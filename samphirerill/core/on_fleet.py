"""Handlers for what is learned of configuration, endpoints and nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core.events import (
    CacheReported,
    ConfigurationAccepted,
    LoadReported,
    NodesSeen,
    ProbeAnswered,
    VmListRead,
)
from samphirerill.core.handling import handle
from samphirerill.core.on_attempts import mark_suspect
from samphirerill.core.on_endings import record_probe
from samphirerill.core.placement import GENTLE_S
from samphirerill.core.starting import dispatch_all_queues, dispatch_queue
from samphirerill.core.state import EndpointState, Health
from samphirerill.core.subsets import group_by_model

if TYPE_CHECKING:
    from samphirerill.core.model import Endpoint
    from samphirerill.core.state import CoreState


@handle.register(ConfigurationAccepted)
def on_configuration_accepted(
    event: ConfigurationAccepted, state: CoreState, now: float
) -> None:
    """Put a newer version in force; an older or equal one changes nothing.

    Versions can come late and out of order, from the service or a peer.
    Only a rising number keeps an accepted configuration from reverting.
    """
    configuration = event.configuration
    is_first = not state.configuration.version
    if configuration.version <= state.configuration.version:
        state.counters['configuration.stale'] += 1
        return
    state.configuration = configuration
    kept = {}
    for name, endpoint in configuration.endpoints.items():
        found = state.endpoints.get(name)
        if found is None or found.endpoint.address != endpoint.address:
            gentle_until = now if is_first else now + GENTLE_S
            found = _build_endpoint_state(state, endpoint, gentle_until)
        found.endpoint = endpoint
        kept[name] = found
    state.endpoints = kept
    state.by_model = group_by_model(state.node, kept)
    state.links.retain(kept)
    dispatch_all_queues(state, now)


@handle.register(VmListRead)
def on_vm_list_read(event: VmListRead, state: CoreState, now: float) -> None:
    """Send nothing new to endpoints that are leaving.

    The list lags, and two reads of it may lag differently. Whoever has been
    called leaving is therefore only believed to be back once the list still
    calls it live after longer than any lag; else work would go to a VM that
    is about to vanish.
    """
    for name in event.leaving:
        state.mark_leaving(name, now)
    for name in event.live:
        if state.leaving.get(name, now) < now:
            state.leaving.pop(name)
            _revive(state, name)
    dispatch_all_queues(state, now)


def _revive(state: CoreState, name: str) -> None:
    found = state.endpoints.get(name)
    if found is not None:
        found.health = Health.LIVE


def _build_endpoint_state(
    state: CoreState, endpoint: Endpoint, gentle_until: float
) -> EndpointState:
    """Return the state of an endpoint that the configuration brings.

    One that is known to be leaving stays so, even if operators took it out
    and put it back meanwhile.
    """
    found = EndpointState(endpoint, gentle_until=gentle_until)
    if endpoint.name in state.leaving:
        found.health = Health.LEAVING
    return found


@handle.register(LoadReported)
def on_load_reported(event: LoadReported, state: CoreState, now: float) -> None:
    """Remember an endpoint's late figures beside this node's own share."""
    found = state.endpoints.get(event.endpoint)
    if found is None:
        return
    found.running = event.running
    found.waiting = event.waiting
    found.own_at_report = found.in_flight
    found.reported_at = now
    if found.endpoint.model:
        dispatch_queue(state, found.endpoint.model, now)


@handle.register(ProbeAnswered)
def on_probe_answered(
    event: ProbeAnswered, state: CoreState, now: float
) -> None:
    """Trust an endpoint again, or keep it suspect and ask again later."""
    record_probe(state, event, now)
    found = state.endpoints.get(event.endpoint)
    if found is None or found.health is Health.LEAVING:
        return
    if not event.alive:
        mark_suspect(state, event.endpoint, now)
        return
    if found.health is Health.SUSPECT:
        found.health = Health.LIVE
        dispatch_all_queues(state, now)


@handle.register(NodesSeen)
def on_nodes_seen(event: NodesSeen, state: CoreState, now: float) -> None:
    """Share limits and endpoints with this many nodes."""
    state.node_count = max(1, event.count)


@handle.register(CacheReported)
def on_cache_reported(
    event: CacheReported, state: CoreState, now: float
) -> None:
    """Remember which engines hold which prompt prefixes."""
    state.prefixes.take_news(event.endpoint, event.news)
