"""Request limits that endpoints named, by address.

An endpoint names the rate that it takes from all nodes together. Each node sends
at an even part of it, at times of its own: once in each interval, within a short
time after the beginning of the interval. Without that bound, nodes that were idle
could all send at the same moment.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from math import floor

MAX_LIMITS = 4096
# An endpoint that names a lower rate is still asked this often whether that holds.
MIN_RATE_PER_S = 0.2
# A rate that no answer has confirmed for so long no longer counts.
LAPSE_S = 60.0
# How long after the beginning of an interval its request may be sent.
_VALIDITY_S = 0.5
# Lets time pass where rounding puts the next interval at the present time.
_MIN_WAKE_S = 0.002


@dataclass(slots=True)
class RequestLimit:
    """The rate that one endpoint has named; 0 or more requests a second.

    `said_at` is when the request was sent that was answered. It is kept after the
    rate was dropped, so that an older answer does not restore it. `phase` is the
    part of an interval by which this node's intervals are shifted, `used_until` the
    end of the interval in which it sent last. `wakes_at` is when the queues are
    looked at next.
    """

    rate_per_s: float | None
    said_at: float
    lapses_at: float
    phase: float
    used_until: float = 0.0
    wakes_at: float = 0.0

    def find_interval_s(self, nodes: int) -> float:
        """Return the time between two requests of this node."""
        rate_per_s = max(MIN_RATE_PER_S, self.rate_per_s or 0)
        return max(1, nodes) / rate_per_s

    def find_interval_start(self, now: float, interval_s: float) -> float:
        """Return when the present interval of this node began."""
        return (floor(now / interval_s - self.phase) + self.phase) * interval_s


class RequestLimits:
    """The limits in force; beyond `MAX_LIMITS` the oldest is dropped."""

    __slots__ = ('_limits',)

    def __init__(self) -> None:
        self._limits: OrderedDict[str, RequestLimit] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of rates, including dropped ones."""
        return len(self._limits)

    def note(self, address: str, said: RequestLimit) -> bool:
        """Record what an endpoint has said; return whether that is a change.

        An answer to an earlier request than the one that counts is ignored.
        """
        known = self._limits.get(address)
        if known is None:
            if said.rate_per_s is None:
                return False
            self._limits[address] = said
            if len(self._limits) > MAX_LIMITS:
                self._limits.popitem(last=False)
            return True
        if said.said_at < known.said_at:
            return False
        is_change = known.rate_per_s != said.rate_per_s
        known.rate_per_s = said.rate_per_s
        known.said_at = said.said_at
        known.lapses_at = said.lapses_at
        if is_change:
            known.used_until = 0.0
        return is_change

    def find_rate(self, address: str, now: float) -> float | None:
        """Return the rate in force at an address, or None."""
        known = self._limits.get(address)
        if known is None or known.lapses_at <= now:
            return None
        return known.rate_per_s

    def find_room(self, address: str, nodes: int, now: float) -> float:
        """Return when a request may be sent to an address; 0 for at once."""
        known = self._limits.get(address)
        if known is None or self.find_rate(address, now) is None:
            return 0
        interval_s = known.find_interval_s(nodes)
        begun_at = known.find_interval_start(now, interval_s)
        if now >= known.used_until and now - begun_at < _VALIDITY_S:
            return 0
        # Another number of nodes changes the intervals since the last request.
        after = max(now, known.used_until - interval_s)
        return known.find_interval_start(after, interval_s) + interval_s

    def plan_wake(self, address: str, nodes: int, now: float) -> float:
        """Return when the next interval begins; 0 if that is planned already."""
        known = self._limits.get(address)
        if known is None or self.find_rate(address, now) is None:
            return 0
        if known.wakes_at > now:
            return 0
        interval_s = known.find_interval_s(nodes)
        begun_at = known.find_interval_start(now, interval_s)
        known.wakes_at = max(begun_at + interval_s, now + _MIN_WAKE_S)
        return known.wakes_at

    def use(self, address: str, nodes: int, now: float) -> None:
        """Record that a request is sent to an address."""
        known = self._limits.get(address)
        if known is not None:
            interval_s = known.find_interval_s(nodes)
            begun_at = known.find_interval_start(now, interval_s)
            known.used_until = begun_at + interval_s

    def remove(self, address: str) -> None:
        """Remove the rate of a process that has ended."""
        self._limits.pop(address, None)
