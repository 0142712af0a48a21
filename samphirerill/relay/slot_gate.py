"""Let the nodes of a fleet share the last free slots of engines."""

from __future__ import annotations

import time
from collections import defaultdict
from functools import partial
from math import ldexp, log2
from typing import TYPE_CHECKING

from samphirerill.fleet.load_aggregation import is_full_mesh
from samphirerill.fleet.slot_shares import SlotShares
from samphirerill.relay.status_sender import find_report_age_s

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Mapping

    from samphirerill.fleet.model import Stage
    from samphirerill.fleet.paths import MayTakeSlot
    from samphirerill.relay.health import Alarms
    from samphirerill.relay.state import EdgeState

_REFRESH_INTERVAL_S = 0.25
# A node with fewer requests than this part of the average owns as many slots as
# one with this part, so that its next request finds some.
_MIN_PART = 0.25


class SlotGate:
    """Limits what this node takes of the free slots of engines.

    It is used where the settings ask for it, for services whose capacity is shared
    between ranks or accounts, in fleets whose nodes all report to each other; otherwise nodes take any free
    slot.

    Parameters
    ----------
    state : EdgeState
        The settings, and the requests of the other nodes.
    loop : AbstractEventLoop
        Its clock is that of the state.
    """

    __slots__ = (
        '_age_s',
        '_alarms',
        '_arrivals_per_s',
        '_loop',
        '_refresh_at',
        '_shares',
        '_state',
    )

    def __init__(
        self, state: EdgeState, loop: asyncio.AbstractEventLoop
    ) -> None:
        self._state = state
        self._loop = loop
        self._alarms: Alarms | None = None
        self._age_s = 0.0
        # For each service, the requests of the other nodes per second.
        self._arrivals_per_s: dict[str, float] = {}
        self._refresh_at: defaultdict[str, float] = defaultdict(float)
        self._shares: dict[str, SlotShares] = {}

    def bind(self, alarms: Alarms) -> None:
        """Set what knows the nodes."""
        self._alarms = alarms

    def find_check(self, service: str) -> MayTakeSlot | None:
        """Return what decides whether a new stream may take a free slot.

        Returns
        -------
        callable, optional
            Takes a replica and its free slots; none if each may be taken.
        """
        shared = self._state.rooms.get(service)
        if self._alarms is None or shared is None or not shared.settings.slots:
            return None
        nodes = self._alarms.list_nodes()
        if not is_full_mesh(len(nodes) - 1):
            # With aggregates, nodes do not know the same of each other, and
            # would not agree on the owners of slots.
            return None
        now = self._loop.time()
        if self._refresh_at[service] <= now:
            self._refresh_at[service] = now + _REFRESH_INTERVAL_S
            self._refresh(service, nodes)
        return partial(self._may_take, service)

    def note_taken(self, stages: tuple[Stage, ...]) -> None:
        """Record that a stream was reserved a path."""
        head = stages[0].replica
        shares = self._shares.get(head.service)
        if shares is not None:
            shares.note_taken(head.replica_id, self._age_s, time.time())

    def note_released(self, stages: tuple[Stage, ...]) -> None:
        """Record that a path was released; it may be empty."""
        for stage in stages[:1]:
            shares = self._shares.get(stage.replica.service)
            if shares is not None:
                shares.note_released(stage.replica.replica_id, time.time())

    def _may_take(self, service: str, replica_id: str, free: int) -> bool:
        return self._shares[service].may_take(
            replica_id,
            free,
            self._arrivals_per_s[service],
            self._age_s,
            time.time(),
        )

    def _refresh(self, service: str, nodes: Mapping[str, str]) -> None:
        """Update what is known of the other nodes."""
        settings = self._state.settings
        budget = self._state.get_retry_budget(service)
        now = self._loop.time()
        others = budget.peers.get_total(now).requests
        self._arrivals_per_s[service] = others / settings.retry_window_s
        self._age_s = find_report_age_s(nodes)
        shares = self._shares.get(service)
        if shares is None:
            shares = SlotShares(settings.name)
            self._shares[service] = shares
        shares.set_parts(self._find_parts(service, nodes))

    def _find_parts(
        self, service: str, nodes: Mapping[str, str]
    ) -> dict[str, float]:
        """Return the parts of the requests that arrive at each node."""
        budget = self._state.get_retry_budget(service)
        now = self._loop.time()
        requests: dict[str, float] = {
            name: budget.peers.find_requests(name, now) or 0 for name in nodes
        }
        requests[self._state.settings.name] = budget.get_usage(now).requests
        return _round_parts(requests)


def _round_parts(requests: Mapping[str, float]) -> dict[str, float]:
    """Return parts that nodes with slightly different reports compute alike."""
    mean = sum(requests.values()) / max(1, len(requests))
    if not mean:
        return dict.fromkeys(requests, 1.0)
    return {
        name: ldexp(1, round(log2(max(_MIN_PART, count / mean))))
        for name, count in requests.items()
    }
