"""Tell all nodes at once what replicas say about their limits, and again later."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.limits.messages import (
    NO_RATE,
    encode_limit,
    encode_rate,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.limits.context import ExchangeContext
    from samphirerill.relay.limits.messages import LimitEntries

# Changes within this are sent together.
_BATCH_S = 0.01
_MAX_BROADCAST = 64
# The granter of a replica sends its limit again at this interval.
_REPEAT_INTERVAL_S = 2.5
# Smaller changes of a rate are not sent: it goes along with each request for
# permits.
_MIN_CHANGE = 0.1


class LimitBroadcaster:
    """Sends limits that differ from what all nodes were told last.

    Parameters
    ----------
    state : ExchangeContext
        The limits that replicas have named.
    send : callable
        Sends entries about limits to all nodes.
    """

    __slots__ = (
        '_changed',
        '_loop',
        '_repeats_at',
        '_send',
        '_state',
        '_told_rates',
    )

    def __init__(
        self, state: ExchangeContext, send: Callable[[LimitEntries], None]
    ) -> None:
        self._state = state
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._changed: dict[str, Replica] = {}
        self._told_rates: dict[str, float] = {}
        self._repeats_at = 0.0

    def add(self, replica: Replica) -> None:
        """Send what a replica has said, unless all nodes were told."""
        if self._is_news(replica):
            self._schedule(replica)

    def repeat(self, replicas: Iterable[Replica]) -> None:
        """Send again what some replicas have said, if it is time.

        Nodes may have started since, or missed a datagram.
        """
        now = self._loop.time()
        if now >= self._repeats_at:
            self._repeats_at = now + _REPEAT_INTERVAL_S
            for replica in replicas:
                self._schedule(replica)

    def note_told(self, replica: Replica, rate_per_s: float) -> None:
        """Record what another node has sent."""
        self._told_rates[replica.replica_id] = rate_per_s

    def remove_ended(self) -> None:
        """Forget replicas without a limit, so that the next one is sent."""
        limited = {
            replica.replica_id
            for replica, _ in self._state.request_limits.list_in_force()
        }
        for replica_id in self._told_rates.keys() - limited:
            self._told_rates.pop(replica_id)

    def _schedule(self, replica: Replica) -> None:
        if not self._changed:
            self._loop.call_later(_BATCH_S, self._send_changed)
        if len(self._changed) < _MAX_BROADCAST:
            self._changed[replica.replica_id] = replica

    def _is_news(self, replica: Replica) -> bool:
        limit = self._state.view.notices.find_limit(replica)
        if limit is None:
            return False
        told = self._told_rates.get(replica.replica_id, NO_RATE)
        rate = encode_rate(limit)
        if NO_RATE in {told, rate}:
            return told != rate
        return abs(told - rate) > _MIN_CHANGE * told

    def _send_changed(self) -> None:
        now = self._loop.time()
        limits: LimitEntries = {}
        for replica in self._changed.values():
            limit = self._state.view.notices.find_limit(replica)
            if limit is not None:
                self._told_rates[replica.replica_id] = encode_rate(limit)
                limits.update(encode_limit(replica, limit, now))
        self._changed.clear()
        if limits:
            self._send(limits)
