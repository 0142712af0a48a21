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
from samphirerill.core.on_attempts import suspect_endpoint
from samphirerill.core.starting import dispatch_all, dispatch_pool
from samphirerill.core.state import EndpointState, Health

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
    if configuration.version <= state.configuration.version:
        state.counters['configuration.stale'] += 1
        return
    state.configuration = configuration
    kept = {}
    for name, endpoint in configuration.endpoints.items():
        found = state.endpoints.get(name)
        if found is None or found.endpoint.address != endpoint.address:
            found = _build_endpoint_state(state, endpoint, now)
        found.endpoint = endpoint
        kept[name] = found
    state.endpoints = kept
    state.link_ms = {
        pair: known
        for pair, known in state.link_ms.items()
        if pair[0] in kept and pair[1] in kept
    }
    dispatch_all(state, now)


@handle.register(VmListRead)
def on_vm_list_read(event: VmListRead, state: CoreState, now: float) -> None:
    """Send nothing new to endpoints that are leaving.

    The list lags, so an endpoint that said itself that it leaves stays
    leaving while the list still calls it live. Only one that the list itself
    has called leaving, and now calls live, has come back.
    """
    back = state.leaving & event.live
    state.leaving = (state.leaving | event.leaving) - back
    for name, found in state.endpoints.items():
        if name in event.leaving:
            found.health = Health.LEAVING
        elif name in back:
            found.health = Health.LIVE
    dispatch_all(state, now)


def _build_endpoint_state(
    state: CoreState, endpoint: Endpoint, now: float
) -> EndpointState:
    """Return the state of an endpoint that the configuration brings.

    One that is known to be leaving stays so, even if operators took it out
    and put it back meanwhile.
    """
    found = EndpointState(endpoint, first_used_at=now)
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
        dispatch_pool(state, found.endpoint.model, now)


@handle.register(ProbeAnswered)
def on_probe_answered(
    event: ProbeAnswered, state: CoreState, now: float
) -> None:
    """Trust an endpoint again, or keep it suspect and ask again later."""
    found = state.endpoints.get(event.endpoint)
    if found is None or found.health is Health.LEAVING:
        return
    if not event.alive:
        suspect_endpoint(state, event.endpoint, now)
        return
    if found.health is Health.SUSPECT:
        found.health = Health.LIVE
        dispatch_all(state, now)


@handle.register(NodesSeen)
def on_nodes_seen(event: NodesSeen, state: CoreState, now: float) -> None:
    """Share limits and endpoints with this many nodes."""
    state.node_count = max(1, event.count)


@handle.register(CacheReported)
def on_cache_reported(
    event: CacheReported, state: CoreState, now: float
) -> None:
    """Remember which engines hold a client account's prompt prefixes."""
    for digest in event.digests:
        place = (event.account, digest)
        held = state.cached_prefixes.get(place, frozenset())
        state.cached_prefixes[place] = held | {event.endpoint}
