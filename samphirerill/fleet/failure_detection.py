"""Detection of correlated failures: who probes which replica.

When a rack or link fails, many replicas are lost at once. A stream notices only
the stage that it waits for, so finding the losses one by one takes seconds in
which streams are moved to replicas that are dead too. Therefore the first
silence makes all nodes probe, each its share of the fleet.
"""

from __future__ import annotations

from bisect import bisect_right
from hashlib import blake2b
from itertools import chain, islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import (
        Collection,
        Iterable,
        Iterator,
        Mapping,
        Sequence,
    )

# Two nodes have to agree that a replica is dead.
PROBERS_PER_REPLICA = 2
# Positions of each node on the hash ring: more make shares more even, but
# take longer to set up when a failure begins.
_VIRTUAL_NODES = 8
_HASH_BYTES = 8
# A failure is considered complete if no further loss is found for this long;
# probers wait at most 0.09 s for answers.
_QUIET_PERIOD_S = 0.12
# Callers wait meanwhile, so planning is not delayed longer than this.
_MAX_WAIT_S = 0.4
# Losses found later than this belong to another failure.
_FAILURE_WINDOW_S = 1.0
# Reports on two replicas within this time belong to one failure: streams notice
# silence up to this much apart.
_CORRELATION_WINDOW_S = 0.3
# A failure that continues triggers another round of probes, which takes 0.25 s.
_REPROBE_INTERVAL_S = 0.5


class ProberAssignment:
    """Assignment of replicas to the nodes that probe them.

    Nodes and replicas are placed on a consistent hash ring; the nodes that
    follow a replica probe it. Nodes with slightly different membership lists
    agree on nearly all assignments. Each node has several positions on the
    ring, which evens out the shares.

    Parameters
    ----------
    nodes : mapping of str to str
        The data centre of each node, by the node's name.
    """

    __slots__ = ('_hashes', '_is_single_data_centre', '_nodes', '_ring')

    def __init__(self, nodes: Mapping[str, str]) -> None:
        self._nodes = nodes
        self._is_single_data_centre = len(set(nodes.values())) == 1
        positions = sorted(
            (_hash(f'{name}/{position}'), name)
            for name in nodes
            for position in range(_VIRTUAL_NODES)
        )
        self._hashes = [position for position, _ in positions]
        self._ring = [name for _, name in positions]

    def list_assigned(
        self, node: str, replica_ids: Iterable[str], tier: int = 0
    ) -> list[str]:
        """Return the replicas that a node probes.

        Parameters
        ----------
        node : str
            The probing node.
        replica_ids : iterable of str
            The replicas to choose from.
        tier : int
            0 for the first two probers of a replica; 1 for the next two, who
            replace probers that are lost themselves.
        """
        start = PROBERS_PER_REPLICA * tier
        return [
            replica_id
            for replica_id in replica_ids
            if node
            in self.choose_probers(replica_id, start + PROBERS_PER_REPLICA)[
                start:
            ]
        ]

    def choose_probers(
        self, replica_id: str, count: int = PROBERS_PER_REPLICA
    ) -> Sequence[str]:
        """Return the nodes that probe a replica, in order of precedence.

        The first two are in different data centres where possible, since a
        network partition often separates whole data centres.
        """
        following = self._iterate_ring(replica_id)
        first = next(following, None)
        if first is None:
            return ()
        if self._is_single_data_centre:
            return (first, *islice(following, count - 1))
        first_data_centre = self._nodes[first]
        skipped: list[str] = []
        for name in following:
            if self._nodes[name] != first_data_centre:
                rest = chain(skipped, following)
                return (first, name, *islice(rest, count - PROBERS_PER_REPLICA))
            skipped.append(name)
        return (first, *skipped[: count - 1])

    def _iterate_ring(self, replica_id: str) -> Iterator[str]:
        """Yield all nodes once, in ring order from a replica's position."""
        first = bisect_right(self._hashes, _hash(replica_id))
        seen = set()
        ring = self._ring
        for name in chain(islice(ring, first, None), islice(ring, first)):
            if name not in seen:
                seen.add(name)
                yield name


class CorrelatedFailure:
    """One failure that affects several replicas.

    A single report on a single replica is common where links lose packets, and
    only its probers check it. Two reports close together, or a confirmed death,
    are treated as a failure: replicas that answered before it may be lost now.

    `last_extended_at` is when the failure was last seen to continue,
    `last_alive` when each replica is last known to have worked, and
    `unconfirmed` when each unconfirmed report arrived, by replica; times are on
    the loop's clock.
    """

    __slots__ = (
        '_first_at',
        '_last_at',
        'last_extended_at',
        'unconfirmed',
        'last_alive',
    )

    def __init__(self) -> None:
        self.last_extended_at = float('-inf')
        self.last_alive: dict[str, float] = {}
        self.unconfirmed: dict[str, float] = {}
        self._first_at = float('-inf')
        self._last_at = float('-inf')

    def note_silence(
        self, replica_id: str, now: float, *, is_confirmed: bool = False
    ) -> None:
        """Record that a replica was newly reported silent or confirmed dead."""
        self.unconfirmed = {
            reported_id: at
            for reported_id, at in self.unconfirmed.items()
            if at + _CORRELATION_WINDOW_S > now
        }
        self.unconfirmed[replica_id] = now
        if not is_confirmed and len(self.unconfirmed) == 1:
            return
        if now > self._last_at + _FAILURE_WINDOW_S:
            self._first_at = now
        self._last_at = now
        if now > self.last_extended_at + _REPROBE_INTERVAL_S:
            self.last_extended_at = now
            self.last_alive.clear()

    def note_alive(self, replica_id: str, at: float) -> None:
        """Record that a replica worked at the given time."""
        self.last_alive[replica_id] = max(
            at, self.last_alive.get(replica_id, at)
        )

    def is_in_progress(self, now: float) -> bool:
        """Return whether further losses of this failure may still be found."""
        until = min(
            self._last_at + _QUIET_PERIOD_S, self._first_at + _MAX_WAIT_S
        )
        return now < until

    def is_recent(self, now: float) -> bool:
        """Return whether replicas silent since the failure may be lost too."""
        return now < self.last_extended_at + _FAILURE_WINDOW_S

    def is_known_alive(self, replica_id: str) -> bool:
        """Return whether a replica has worked since the failure began."""
        return (
            self.last_alive.get(replica_id, float('-inf'))
            >= self.last_extended_at
        )


def is_local_fault(
    silent: Collection[str], responding: Collection[str]
) -> bool:
    """Return whether the probing node itself is cut off or stalled.

    A node with fewer responding than silent replicas reports none of them, as
    it would otherwise declare the whole fleet dead. One with as many is
    considered connected: half of a path may fail at once.
    """
    return len(silent) > max(1, len(responding))


def _hash(name: str) -> int:
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
