"""Losses of many replicas: who asks after whom, and what silence proves.

Answers to: racks and links that fail take a third of the replicas at one moment. A
stream finds only the part that it waits for; one by one, the loss of nine of 29 took
three seconds to be known, while streams went round among the dead and plans counted
them. So the first silence makes all nodes ask, each its share of the fleet.
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

# Nodes that ask after each replica: a death is sure by the word of two.
PROBERS_PER_REPLICA = 2
# Places of each node among the replicas; more make shares more even, and cost 1 us
# each when a loss begins.
_VIRTUAL_NODES = 8
_HASH_BYTES = 8
# A loss is taken to be whole if nothing more was found for so long: an asker hears
# of the first silence at once, and answers are waited for 0.09 s at the most.
_QUIET_PERIOD_S = 0.12
# Nobody waits longer than this for a loss to be whole: callers do.
_MAX_WAIT_S = 0.4
# What is found later than this belongs to another loss.
_EVENT_WINDOW_S = 1.0
# Words of two replicas within this time are of one loss: silences of streams differ
# by about so much.
_CORRELATION_WINDOW_S = 0.3
# A loss that goes on is asked after anew; a survey takes a quarter of a second.
_RESURVEY_INTERVAL_S = 0.5


class Askers:
    """Which nodes ask after which replicas.

    Nodes and replicas lie on a ring by the hashes of their names; the nodes
    that follow a replica ask after it. Nodes that know of slightly different
    others still agree on nearly all, and a node's share is found without
    looking at the shares of the others. Each node lies there at several places:
    with one, a node of 22 had 14 of 29 replicas to ask after and ten had none.

    Parameters
    ----------
    nodes : mapping of str to str
        The data centre of each node, by the node's name.
    """

    __slots__ = ('_hashes', '_is_one_zone', '_nodes', '_ring')

    def __init__(self, nodes: Mapping[str, str]) -> None:
        self._nodes = nodes
        self._is_one_zone = len(set(nodes.values())) == 1
        positions = sorted(
            (_hash(f'{name}/{position}'), name)
            for name in nodes
            for position in range(_VIRTUAL_NODES)
        )
        self._hashes = [position for position, _ in positions]
        self._ring = [name for _, name in positions]

    def list_share(
        self, node: str, replica_ids: Iterable[str], turn: int = 0
    ) -> list[str]:
        """Return the replicas that a node asks after.

        Parameters
        ----------
        node : str
            Which node.
        replica_ids : iterable of str
            Of these replicas.
        turn : int
            0 for the first two askers of a replica; 1 for the two after them,
            who ask in the place of askers that are lost themselves.
        """
        start = PROBERS_PER_REPLICA * turn
        return [
            name
            for name in replica_ids
            if node in self.choose(name, start + PROBERS_PER_REPLICA)[start:]
        ]

    def choose(
        self, replica_id: str, count: int = PROBERS_PER_REPLICA
    ) -> Sequence[str]:
        """Return who asks after a replica, the first ones first.

        A cut often separates whole data centres; the first two askers are in
        two, if there are two.
        """
        following = self._iterate_ring(replica_id)
        first = next(following, None)
        if first is None:
            return ()
        if self._is_one_zone:
            return (first, *islice(following, count - 1))
        home = self._nodes[first]
        skipped: list[str] = []
        for name in following:
            if self._nodes[name] != home:
                rest = chain(skipped, following)
                return (first, name, *islice(rest, count - PROBERS_PER_REPLICA))
            skipped.append(name)
        return (first, *skipped[: count - 1])

    def _iterate_ring(self, replica_id: str) -> Iterator[str]:
        """Yield all nodes, each once, as they follow a replica."""
        first = bisect_right(self._hashes, _hash(replica_id))
        seen = set()
        ring = self._ring
        for name in chain(islice(ring, first, None), islice(ring, first)):
            if name not in seen:
                seen.add(name)
                yield name


class LossRound:
    """One loss of more than one replica; points on the loop's clock.

    Where links lose packets there is always one node's word of one replica, and
    two others look after that one. Two such words close to each other, or a death
    that is sure, are a loss: whoever answered before may be lost since.

    `began_at` is when the loss was last seen to go on, `heard` when each
    replica was last known to work, as others tell; `doubted` are replicas of
    which there is only a word, with when it came.
    """

    __slots__ = ('_first_at', '_last_at', 'began_at', 'doubted', 'heard')

    def __init__(self) -> None:
        self.began_at = float('-inf')
        self.heard: dict[str, float] = {}
        self.doubted: dict[str, float] = {}
        self._first_at = float('-inf')
        self._last_at = float('-inf')

    def note_silence(
        self, replica_id: str, now: float, *, is_sure: bool = False
    ) -> None:
        """A replica is said to be silent, or dead for sure, that was not."""
        self.doubted = {
            name: at
            for name, at in self.doubted.items()
            if at + _CORRELATION_WINDOW_S > now
        }
        self.doubted[replica_id] = now
        if not is_sure and len(self.doubted) == 1:
            return
        if now > self._last_at + _EVENT_WINDOW_S:
            self._first_at = now
        self._last_at = now
        if now > self.began_at + _RESURVEY_INTERVAL_S:
            self.began_at = now
            self.heard.clear()

    def note_heard(self, replica_id: str, at: float) -> None:
        """A replica worked at a moment."""
        self.heard[replica_id] = max(at, self.heard.get(replica_id, at))

    def is_under_way(self, now: float) -> bool:
        """Return whether more of the loss may still come to light."""
        until = min(
            self._last_at + _QUIET_PERIOD_S, self._first_at + _MAX_WAIT_S
        )
        return now < until

    def is_recent(self, now: float) -> bool:
        """Return whether who has not been heard from since may be lost too."""
        return now < self.began_at + _EVENT_WINDOW_S

    def has_heard(self, replica_id: str) -> bool:
        """Return whether a replica has worked since the loss began."""
        return self.heard.get(replica_id, float('-inf')) >= self.began_at


def is_own_fault(silent: Collection[str], heard: Collection[str]) -> bool:
    """Return whether it is the asking node that is cut off or held up.

    A node that hears from fewer replicas than are silent to it says nothing of
    these: it would leave the whole fleet for nothing. One that hears from as
    many is not cut off, however many parts of one path are silent. With a
    third of a path as the bound, the loss of nine of 29 replicas was taken for
    the node's own fault wherever two of six parts were gone.
    """
    return len(silent) > max(1, len(heard))


def _hash(name: str) -> int:
    digest = blake2b(name.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')
