"""Find a free slot among the endpoints of one plain service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.endpoint_offers import MIN_LATENCY_S, FleetKnowledge
from samphirerill.fleet.endpoints import (
    EndpointChoice,
    choose_by_load,
    list_preferred,
    reports_load,
)
from samphirerill.relay.grant_rate import GrantRate
from samphirerill.relay.plain_order import may_take_slot
from samphirerill.relay.plain_request import PlainSlot

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.plain_request import PlainRequest
    from samphirerill.relay.state import EdgeState

# How long the answer is kept whether a service reports its load.
_ACTIVITY_CHECK_S = 0.02
# Statuses of other nodes are about so old; they are sent less often in large
# fleets.
_MIN_STATUS_AGE_S = 0.08
_STATUS_AGE_S_PER_NODE = 0.006
_MAX_STATUS_AGE_S = 1.3


class SlotFinder:
    """Finds slots for requests to one service.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    service : str
        The service.

    Attributes
    ----------
    service_s : float
        The least time that an endpoint takes for a request.
    rate : GrantRate
        How fast the queue of this node moves.
    """

    __slots__ = (
        '_checked_at',
        '_is_active',
        '_loop',
        '_service',
        '_state',
        'rate',
        'service_s',
    )

    def __init__(self, state: EdgeState, service: str) -> None:
        self._state = state
        self._service = service
        self._loop = asyncio.get_running_loop()
        self._is_active = False
        self._checked_at = float('-inf')
        self.service_s = MIN_LATENCY_S
        self.rate = GrantRate()

    def is_active(self) -> bool:
        """Return whether the endpoints report their load."""
        if not self._state.settings.reported_load:
            return False
        now = self._loop.time()
        if now >= self._checked_at + _ACTIVITY_CHECK_S:
            self._checked_at = now
            self._is_active = reports_load(
                self._state.view,
                self._service,
                self._state.response_notices.loads,
            )
        return self._is_active

    def is_obstructed(self, request: PlainRequest) -> bool:
        """Return whether no endpoint may be used, even with connections."""
        return not self._list_pool(request, bool)

    def choose(self, request: PlainRequest) -> EndpointChoice | None:
        """Return the choice; none without an endpoint with a connection."""
        pool = self._list_pool(request, request.may_call)
        if not pool:
            return None
        choice = self._choose_from(pool, request)
        self.service_s = choice.service_s
        request.endpoint_rate = choice.rate
        return choice

    def has_alternative(self, request: PlainRequest, replica_id: str) -> bool:
        """Return whether an endpoint other than this one may be called.

        One that is suspected may fail too, so it does not count. One that is
        full does: a retry precedes new requests at its next free slot.
        """
        now = self._loop.time()
        return any(
            state.replica.replica_id != replica_id
            and state.suspicion.suspected_until <= now
            for state in self._list_pool(request, request.may_call)
        )

    def take(
        self, request: PlainRequest, choice: EndpointChoice
    ) -> PlainSlot | None:
        """Take the chosen slot unless it is left to other nodes."""
        endpoint = choice.endpoint
        now = self._loop.time()
        if endpoint is None:
            return None
        if not may_take_slot(request, choice.free_room, now):
            self._state.counters['sharing.held_back'] += 1
            return None
        request.note_start(now)
        return PlainSlot(
            endpoint, self._state.response_notices.loads, now, request
        )

    def _list_pool(
        self, request: PlainRequest, may_call: Callable[[str], bool]
    ) -> list[ReplicaState]:
        return list_preferred(
            self._state.view,
            self._service,
            request.tried,
            self._loop.time(),
            may_call,
        )

    def _choose_from(
        self, pool: list[ReplicaState], request: PlainRequest
    ) -> EndpointChoice:
        now = self._loop.time()
        until = request.due if request.due > now else request.deadline
        return choose_by_load(
            pool, self._build_knowledge(request, now), until - now, now
        )

    def _build_knowledge(
        self, request: PlainRequest, now: float
    ) -> FleetKnowledge:
        state = self._state
        fleet_room = request.shared.fleet_room
        level = request.find_level(now)
        waiting = fleet_room.count_ahead(level, now).count
        elsewhere = fleet_room.count_waiting_before(
            level + 1, now, elsewhere_only=True
        )
        own_waiting = max(0, waiting - elsewhere.count)
        node_count = state.count_nodes()
        return FleetKnowledge(
            state.response_notices.loads,
            state.load_tracker,
            node_count,
            min(
                _MAX_STATUS_AGE_S,
                _MIN_STATUS_AGE_S + _STATUS_AGE_S_PER_NODE * node_count,
            ),
            state.settings.name,
            state.random,
            own_waiting,
            waiting,
            own_waiting * self.rate.interval_s,
        )
