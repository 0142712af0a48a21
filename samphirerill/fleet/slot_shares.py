"""Which free slots of an engine or endpoint this node may take now.

Nodes know each other's use of a replica only from reports that are up to a
second old. Nodes with the same old reports would all take the same last slots.
So while few slots are free, each of these belongs to one node for a period. All
nodes compute the same owners, in proportion to their parts of the arrivals.
Nothing is held back while more slots are free than the other nodes are expected
to take before their next reports.
"""

from __future__ import annotations

from itertools import accumulate
from math import ceil, floor, log2, modf, sqrt
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Mapping

# Nodes that measure slightly different ages must use the same periods.
_MIN_PERIOD_S = 0.1
# What was taken at the end of a period is known to the owners of the next one
# after the age of the reports, so a period has to be longer.
_PERIOD_AGES = 2.0
# The clocks of nodes differ by less.
_MAX_CLOCK_SKEW_S = 0.01
# Other nodes take more than this many deviations above the mean in one of
# 30,000 periods.
_SAFETY_DEVIATIONS = 4.0
# A slot that this node has released this recently is not yet reported as free.
_UNREPORTED_S = 0.02
# Consecutive multiples of it, modulo 1, are spread evenly.
# A header may name millions; further ones belong to no node.
_MAX_SLOTS = 4096
_GOLDEN_RATIO = 0.618033988749895
_CHECKSUM_RANGE = 4_294_967_296


class _Period(NamedTuple):
    """The number of a period, and the time since it began."""

    number: int
    elapsed_s: float


class SlotShares:
    """The slots that one node may take.

    All times are in seconds, on a clock that the nodes have in common.

    Parameters
    ----------
    name : str
        The name of this node.
    """

    __slots__ = ('_end', '_name', '_released', '_start', '_taken')

    def __init__(self, name: str) -> None:
        self._name = name
        # The part of the interval from 0 to 1 that belongs to this node.
        self._start = 0.0
        self._end = 1.0
        # The period in which this node took slots last and how many, by replica.
        self._taken: dict[str, tuple[int, int]] = {}
        # When this node last released a slot, by replica.
        self._released: dict[str, float] = {}

    def set_parts(self, parts: Mapping[str, float]) -> None:
        """Set the recent part of the arrivals at each node, this one included.

        A node that is not listed owns nothing, but may use what it releases.
        """
        total = sum(parts.values())
        self._start = 0.0
        self._end = 0.0
        names = sorted(parts)
        ends = accumulate(parts[name] for name in names)
        for name, end in zip(names, ends, strict=True):
            if name == self._name and total > 0:
                self._start = (end - parts[name]) / total
                self._end = end / total

    def note_taken(self, replica_id: str, age_s: float, now: float) -> None:
        """Record that this node has taken a slot that `may_take` allowed."""
        is_unreported = self._has_unreported(replica_id, age_s, now)
        self._released.pop(replica_id, None)
        if not is_unreported:
            period = _find_period(replica_id, age_s, now)
            taken = self._count_taken(replica_id, period.number)
            self._taken[replica_id] = (period.number, taken + 1)

    def note_released(self, replica_id: str, now: float) -> None:
        """Record that this node has released a slot."""
        self._released[replica_id] = now

    def may_take(
        self,
        replica_id: str,
        free: int,
        arrivals_per_s: float,
        age_s: float,
        now: float,
    ) -> bool:
        """Return whether this node may take a slot of a replica now.

        Parameters
        ----------
        replica_id : str
            The replica.
        free : int
            Its slots that are free as far as this node knows.
        arrivals_per_s : float
            The requests of its service at the other nodes. All may choose the
            same replica, as nodes with the same reports do.
        age_s : float
            How old the reports of the other nodes may be.
        now : float
            The present time.
        """
        if free < 1:
            return False
        if self._has_unreported(replica_id, age_s, now):
            return True
        if free > _find_most_taken(arrivals_per_s * age_s):
            return True
        return self._owns_next(replica_id, free, age_s, now)

    def _has_unreported(
        self, replica_id: str, age_s: float, now: float
    ) -> bool:
        """Return whether the others count a slot that this node released."""
        released_at = self._released.get(replica_id, float('-inf'))
        # The clock may have been set back since.
        return 0 <= now - released_at <= min(_UNREPORTED_S, age_s)

    def _owns_next(
        self, replica_id: str, free: int, age_s: float, now: float
    ) -> bool:
        """Return whether this node owns a free slot that it has not taken."""
        period = _find_period(replica_id, age_s, now)
        if period.elapsed_s < age_s + _MAX_CLOCK_SKEW_S:
            return False
        number = period.number
        taken = self._count_taken(replica_id, number)
        owned = self._count_owned(f'{replica_id}/{number}', free + taken)
        return owned > taken

    def _count_taken(self, replica_id: str, number: int) -> int:
        """Return how many slots were taken in a period."""
        known_number, taken = self._taken.get(replica_id, (number, 0))
        return taken if known_number == number else 0

    def _count_owned(self, key: str, slots: int) -> int:
        """Return how many of the first slots belong to this node."""
        first = _hash(key)
        points = (
            modf(first + number * _GOLDEN_RATIO)[0]
            for number in range(min(slots, _MAX_SLOTS))
        )
        return sum(self._start <= point < self._end for point in points)


def _hash(key: str) -> float:
    """Return a number from 0 to 1 that all nodes compute alike."""
    return crc32(key.encode()) / _CHECKSUM_RANGE


def _find_period(replica_id: str, age_s: float, now: float) -> _Period:
    """Return the present period of a replica.

    Those of replicas begin at different times, so that a node always owns slots
    of some.
    """
    length_s = _choose_period_s(age_s)
    elapsed = now / length_s + _hash(replica_id)
    number = floor(elapsed)
    return _Period(number, (elapsed - number) * length_s)


def _find_most_taken(mean: float) -> float:
    """Return how many slots the others take at most, given the mean."""
    return mean + _SAFETY_DEVIATIONS * sqrt(mean)


def _choose_period_s(age_s: float) -> float:
    """Return the length of a period, the same for similar ages."""
    needed = _PERIOD_AGES * (age_s + _MAX_CLOCK_SKEW_S) / _MIN_PERIOD_S
    return _MIN_PERIOD_S * 2 ** max(0, ceil(log2(needed)))
