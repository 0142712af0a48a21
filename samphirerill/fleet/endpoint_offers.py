"""Compare the endpoints of a service that report their load.

Each endpoint offers a response time: its time for one request, and its queue.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp, log
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from samphirerill.fleet.load import LoadTracker
    from samphirerill.fleet.reported_load import LoadEstimate, ReportedLoads
    from samphirerill.fleet.view import ReplicaState

# The wait of an endpoint that fails every request is multiplied by 1 plus this.
FAILURE_WEIGHT = 12.0
# Also the assumed latency of an endpoint that has not answered yet, so that it
# is tried.
MIN_LATENCY_S = 0.005
# Times within this factor count as equal, so that nodes do not all prefer the
# endpoint with the lowest of many estimates.
_EQUAL_FACTOR = 1.25
# An endpoint is slow if it takes so many times longer than the fastest.
SLOW_FACTOR = 2.0
# Slow endpoints are tried again, by all nodes together about twice a second.
_RETEST_S_PER_NODE = 0.5
# Knowledge that is older than this is not used to prefer an endpoint to others:
# nodes with the same old knowledge would prefer the same one.
_FRESH_S = 0.2
# Knowledge this many service times old is outdated: it says nothing about
# single endpoints, and a request need not wait for it to improve.
_OUTDATED_FACTOR = 3.0
# With outdated knowledge, an endpoint of unknown speed is avoided only if it
# held so many times its slots; less may be an endpoint of usual speed.
_OUTDATED_LIMIT = 2.0
# How long a request may queue at an endpoint, as a share of the time by which
# it has to start there, if this node would learn of a free slot too late.
_MAX_QUEUED_SHARE = 0.5
_MIN_DRAW_INTERVAL_S = 0.1
_CHECKSUMS = 0x100000000


@dataclass(slots=True, frozen=True)
class FleetKnowledge:
    """What a node knows when it chooses an endpoint.

    Attributes
    ----------
    loads : ReportedLoads
        What the endpoints have reported.
    tracker : LoadTracker
        The requests in flight from all nodes.
    node_count : int
        How many nodes share the endpoints.
    status_age_s : float
        How old the other nodes' counts of requests in flight are.
    node : str
        The name of this node.
    random : Random
        Source of randomness.
    own_waiting : int
        How many requests wait at this node.
    waiting : int
        How many requests wait at all nodes.
    own_wait_s : float
        How long a request would wait at this node behind these.
    """

    loads: ReportedLoads
    tracker: LoadTracker
    node_count: int
    status_age_s: float
    node: str
    random: Random
    own_waiting: int = 0
    waiting: int = 0
    own_wait_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Offer:
    """What one endpoint offers.

    `service_s` is its time for one request, `wait_s` the expected response time
    with queueing and failures, and `queued_s` the queueing alone; `in_system` is
    the expected number of its requests, and `may_send` whether this node may
    send it another one as far as its slots allow.
    """

    state: ReplicaState
    load: LoadEstimate
    in_system: float
    service_s: float
    queued_s: float
    wait_s: float
    may_send: bool

    @property
    def rate(self) -> float:
        """Return the requests that it serves per second."""
        return self.load.slots / self.service_s

    def is_open(self, left_s: float) -> bool:
        """Return whether it may get a request that is due in `left_s`.

        Without a free slot, it may if a request that waits at the node would
        not learn of one sooner than it starts here.
        """
        if not self.may_send or not self.load.slots:
            return False
        if not self.queued_s:
            return True
        is_outdated = self.load.age_s > _OUTDATED_FACTOR * self.service_s
        return is_outdated and self.queued_s <= min(
            self.load.age_s, _MAX_QUEUED_SHARE * (left_s - self.service_s)
        )


def build_offers(
    pool: Iterable[ReplicaState], knowledge: FleetKnowledge, now: float
) -> list[Offer]:
    """Return the offers of endpoints."""
    estimates = [
        (
            state,
            knowledge.loads.estimate(
                state.replica, knowledge.tracker, knowledge.status_age_s, now
            ),
        )
        for state in pool
    ]
    loads = [load for _, load in estimates]
    builder = _OfferBuilder(loads, knowledge, now)
    return [builder.build(state, load) for state, load in estimates]


def choose_offer(
    offers: list[Offer], knowledge: FleetKnowledge, left_s: float
) -> Offer | None:
    """Return the offer to take now; none if the request should wait.

    Parameters
    ----------
    offers : list of Offer
        The offers of all endpoints that may be used.
    knowledge : FleetKnowledge
        What this node knows.
    left_s : float
        The time until the response is due.
    """
    random = knowledge.random
    available = [offer for offer in offers if offer.is_open(left_s)]
    timely = [offer for offer in available if offer.wait_s <= left_s]
    full = [offer for offer in offers if not offer.is_open(left_s)]
    if not timely and _predict_first(full, knowledge) <= left_s:
        # An endpoint that is full now responds sooner than the free ones.
        return None
    available = timely or available
    if not available:
        return None
    best = min(available, key=lambda offer: _rank(offer, random))
    if best.load.age_s > _FRESH_S:
        drawn = random.choices(
            available, [offer.rate for offer in available], k=2
        )
        best = min(drawn, key=lambda offer: _rank(offer, random))
    if best.wait_s > _predict_faster(best, offers, knowledge, left_s):
        return None
    return best


class _OfferBuilder:
    """Builds the offers of the endpoints of one service.

    Parameters
    ----------
    loads : list of LoadEstimate
        The load of all of them.
    knowledge : FleetKnowledge
        What this node knows.
    now : float
        The time.
    """

    __slots__ = (
        '_has_known',
        '_knowledge',
        '_leaves_slots',
        '_mean_fill',
        '_now',
        '_own_part',
        '_usual_s',
    )

    def __init__(
        self, loads: list[LoadEstimate], knowledge: FleetKnowledge, now: float
    ) -> None:
        known = [load.service_s for load in loads if load.is_known]
        self._usual_s = max(MIN_LATENCY_S, min(known, default=MIN_LATENCY_S))
        slots = sum(load.slots for load in loads)
        in_system = sum(load.in_system for load in loads)
        self._mean_fill = in_system / max(1, slots)
        own = sum(load.own for load in loads)
        # Free slots are left to other nodes by their part of the requests.
        own_demand = own + 1 + knowledge.own_waiting
        demand = 1 + in_system + knowledge.waiting
        self._own_part = own_demand / max(own_demand, demand)
        # Without this, the node that used a slot would always use it again,
        # while more requests wait at others.
        is_waiting_elsewhere = knowledge.waiting > knowledge.own_waiting
        self._leaves_slots = is_waiting_elsewhere and (
            own > 1 + self._own_part * slots
        )
        self._has_known = bool(known)
        self._knowledge = knowledge
        self._now = now

    def build(self, state: ReplicaState, load: LoadEstimate) -> Offer:
        """Return the offer of one endpoint."""
        service_s = max(MIN_LATENCY_S, load.service_s or self._usual_s)
        if load.is_known and self._is_retest_due(load):
            service_s = self._usual_s
        in_system = self._estimate_in_system(load, service_s)
        excess = max(0.0, 1 + in_system - load.slots)
        queued_s = service_s * excess / max(1, load.slots)
        failing = 1 + FAILURE_WEIGHT * state.failures
        return Offer(
            state,
            load,
            in_system,
            service_s,
            queued_s,
            (service_s + queued_s) * failing,
            self._may_send(state.replica.replica_id, load, service_s),
        )

    def _estimate_in_system(
        self, load: LoadEstimate, service_s: float
    ) -> float:
        """Return the expected requests; the mean of all if this is outdated."""
        if load.age_s <= _FRESH_S:
            return load.in_system
        weight = exp(-load.age_s / (_OUTDATED_FACTOR * service_s))
        expected = self._mean_fill * load.slots
        return max(load.own, expected + weight * (load.in_system - expected))

    def _may_send(
        self, replica_id: str, load: LoadEstimate, service_s: float
    ) -> bool:
        """Return whether this node may send another request by its share.

        One slot that is free by its own knowledge may always be taken, and its
        part of the others: each response frees one slot, so that less would not
        use the others.
        """
        if not load.is_known:
            return self._may_try(replica_id, load)
        if load.age_s > _OUTDATED_FACTOR * service_s:
            return True
        if self._leaves_slots:
            return False
        others = load.free + load.taken - 1
        share = others * self._own_part + self._knowledge.random.random()
        return load.taken < 1 + int(share)

    def _may_try(self, replica_id: str, load: LoadEstimate) -> bool:
        """Return whether an endpoint of unknown speed may get a request.

        It gets none beyond its slots, so that a slow one does not keep many
        requests waiting before its speed is known.
        """
        is_outdated = load.age_s > _OUTDATED_FACTOR * self._usual_s
        limit = _OUTDATED_LIMIT if is_outdated else 1
        if load.in_system >= load.slots * limit:
            return False
        return load.own < self._count_allowed(replica_id, load)

    def _count_allowed(self, replica_id: str, load: LoadEstimate) -> int:
        """Return this node's part of the slots of an unknown endpoint.

        The parts of all nodes add up to its slots at most. If there are more
        nodes than slots, about so many are drawn to try a new endpoint, and
        anew when the others know of their requests.
        """
        node_count = self._knowledge.node_count
        if node_count <= load.slots:
            return load.slots // node_count
        if not load.is_new or not self._has_known:
            return 1
        interval_s = max(_MIN_DRAW_INTERVAL_S, self._knowledge.status_age_s)
        interval = int(self._now / interval_s)
        text = f'{interval}/{replica_id}/{self._knowledge.node}'
        drawn = crc32(text.encode()) / _CHECKSUMS
        return int(drawn < load.slots / node_count)

    def _is_retest_due(self, load: LoadEstimate) -> bool:
        """Return whether a slow endpoint may be fast again."""
        if load.own or load.service_s < SLOW_FACTOR * self._usual_s:
            return False
        interval_s = _RETEST_S_PER_NODE * self._knowledge.node_count
        return self._now - load.responded_at > interval_s


def _rank(offer: Offer, random: Random) -> tuple[int, float, float]:
    """Return the key by which the best offer is the least."""
    return (
        round(log(offer.wait_s, _EQUAL_FACTOR)),
        round(offer.in_system) / offer.load.slots,
        random.random(),
    )


def _predict_faster(
    best: Offer,
    offers: list[Offer],
    knowledge: FleetKnowledge,
    left_s: float,
) -> float:
    """Return the response time of a request that waits for a faster endpoint.

    Infinite if there is none.
    """
    faster = [
        offer
        for offer in offers
        if not offer.is_open(left_s)
        and offer.load.is_known
        and offer.wait_s * _EQUAL_FACTOR < best.wait_s
    ]
    return _predict_first(faster, knowledge)


def _predict_first(offers: list[Offer], knowledge: FleetKnowledge) -> float:
    """Return the response time of a request that waits for any free slot.

    Infinite if there are no endpoints.
    """
    if not offers:
        return float('inf')
    rate = sum(offer.rate for offer in offers)
    wait_s = max((1 + knowledge.waiting) / rate, knowledge.own_wait_s)
    return wait_s + min(offer.service_s for offer in offers)
