"""Requests and tokens in flight at each replica, over all nodes.

All nodes send to the same replicas. Each counts its own requests exactly and
receives the other nodes' counts about ten times a second. Without those, every
node would fill a replica's memory by itself, and streams would be preempted and
their prompts prefilled twice.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.fleet.model import Stage

# A silent node is considered gone, with its requests; must exceed the 1.3 s
# between reports in the largest fleets.
PEER_TIMEOUT_S = 4.0


@dataclass(slots=True)
class ReplicaLoad:
    """Requests in flight at one replica, and their tokens in its memory."""

    requests: int = 0
    tokens: float = 0.0


@dataclass(slots=True)
class PeerLoad:
    """Load reported under one name, by replica; valid until `until`.

    `nodes` is how many nodes the report covers: one, or all of a data centre.
    """

    held: dict[str, ReplicaLoad] = field(default_factory=dict)
    until: float = 0.0
    nodes: int = 1


class LoadTracker:
    """Requests and tokens at each replica, as far as this node knows.

    After a restart of all nodes none knows the others' load, and all would choose
    the same replicas. A node that has just started therefore assumes that each
    node it has not heard of sends as it does itself.

    Attributes
    ----------
    own_version : int
        Changes with this node's requests only; if reports of others counted too,
        nodes would echo each other's reports.
    expected_peers : int
        How many other nodes will report soon; 0 once they have had time to.
    """

    __slots__ = (
        '_own',
        '_peer_count',
        '_peers',
        '_peer_totals',
        'expected_peers',
        'own_version',
    )

    def __init__(self) -> None:
        self._own: defaultdict[str, ReplicaLoad] = defaultdict(ReplicaLoad)
        self._peers: dict[str, PeerLoad] = {}
        self._peer_totals: defaultdict[str, ReplicaLoad] = defaultdict(
            ReplicaLoad
        )
        self._peer_count = 0
        self.expected_peers = 0
        self.own_version = 0

    def add_request(self, replica_ids: Iterable[str], tokens: float) -> None:
        """Add one request at each replica of its path."""
        for replica_id in replica_ids:
            held = self._own[replica_id]
            held.requests += 1
            held.tokens += tokens
        self.own_version += 1

    def remove_request(self, replica_ids: Iterable[str], tokens: float) -> None:
        """Remove one request from each replica of its path."""
        for replica_id in replica_ids:
            held = self._own[replica_id]
            held.requests -= 1
            held.tokens -= tokens
            if held.requests <= 0:
                self._own.pop(replica_id)
        self.own_version += 1

    def update_peer(
        self,
        peer: str,
        held: dict[str, ReplicaLoad],
        now: float,
        nodes: int = 1,
    ) -> None:
        """Replace the last report of a node or of a whole data centre."""
        known = self._peers.get(peer)
        self._peer_count += nodes
        if known is not None:
            self._peer_count -= known.nodes
            known.until = now + PEER_TIMEOUT_S
            known.nodes = nodes
            if known.held == held:
                return
            self._add_to_totals(known.held, -1)
        self._peers[peer] = PeerLoad(held, now + PEER_TIMEOUT_S, nodes)
        self._add_to_totals(held, 1)

    def remove_peer(self, peer: str) -> None:
        """Drop a peer's report: its load is now reported under another name."""
        known = self._peers.pop(peer, None)
        if known is not None:
            self._peer_count -= known.nodes
            self._add_to_totals(known.held, -1)

    def expire_peers(self, now: float) -> None:
        """Drop the reports of nodes that have timed out."""
        expired = [
            name for name, peer in self._peers.items() if peer.until < now
        ]
        for name in expired:
            self.remove_peer(name)

    def count_peers(self) -> int:
        """Return how many other nodes the current reports cover."""
        return self._peer_count

    def count_silent_peers(self) -> int:
        """Return how many other nodes this one has still to hear of."""
        return max(0, self.expected_peers - self._peer_count)

    def get_own_load(self) -> dict[str, ReplicaLoad]:
        """Return this node's own counts by replica."""
        return self._own

    def count_requests(self, replica_id: str) -> int:
        """Return how many requests are in flight at a replica."""
        own = self._own.get(replica_id)
        others = self._peer_totals.get(replica_id)
        count = 0
        if own is not None:
            count = own.requests * (1 + self.count_silent_peers())
        return count if others is None else count + others.requests

    def count_own(self, replica_id: str) -> int:
        """Return how many requests of this node are in flight at a replica."""
        own = self._own.get(replica_id)
        return 0 if own is None else own.requests

    def count_tokens(self, replica_id: str) -> float:
        """Return how many tokens requests hold in a replica's memory."""
        own = self._own.get(replica_id)
        others = self._peer_totals.get(replica_id)
        held = 0.0
        if own is not None:
            held = own.tokens * (1 + self.count_silent_peers())
        return held if others is None else held + others.tokens

    def _add_to_totals(self, held: dict[str, ReplicaLoad], sign: int) -> None:
        for replica_id, load in held.items():
            total = self._peer_totals[replica_id]
            total.requests += sign * load.requests
            total.tokens += sign * load.tokens


def list_replica_ids(stages: tuple[Stage, ...]) -> tuple[str, ...]:
    """Return the replica ids of a path."""
    return tuple(stage.replica.replica_id for stage in stages)
