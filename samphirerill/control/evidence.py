"""Whether this node may believe that its configuration is in force.

A node that reaches neither the service nor anyone who does can't tell an
outage, when nothing can be accepted, from being cut off while others accept.
It decides by what it hears:

1. Its own read of the service succeeded lately: in force.
2. A peer's read succeeded lately and this node has the peer's version: in
   force.
3. Nobody it hears reaches the service, and it hears at least half of the
   nodes it knows, itself included: an outage. It serves on.
4. Else it takes itself for cut off. After a grace it takes no new work.
"""

from __future__ import annotations

from dataclasses import dataclass

FRESH_FOR_S = 4.0
GRACE_S = 6.0
FORGET_AFTER_S = 60.0


@dataclass(slots=True)
class PeerWord:
    """The last thing a peer said; times are this node's clock."""

    heard_at: float
    fresh_at: float
    version: int


class Evidence:
    """Collects what is known and answers whether to serve."""

    __slots__ = ('_doubt_since', '_own_fresh_at', '_peers', '_started_at')

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._own_fresh_at = float('-inf')
        self._doubt_since = float('inf')
        self._peers: dict[str, PeerWord] = {}

    def note_store_read(self, now: float) -> None:
        """The service has just told this node the accepted version."""
        self._own_fresh_at = max(self._own_fresh_at, now)

    def note_peer(
        self, peer: str, now: float, fresh_age_s: float, version: int
    ) -> None:
        """A peer said how old its last read of the service is."""
        self._peers[peer] = PeerWord(now, now - fresh_age_s, version)

    def own_age_s(self, now: float) -> float:
        """Return how old this node's last read of the service is."""
        return now - self._own_fresh_at

    def find_doubt(self, now: float, version: int, known_nodes: int) -> str:
        """Return why new work may not be taken, or an empty text.

        Parameters
        ----------
        now : float
            Seconds on the node's clock.
        version : int
            The version in force here.
        known_nodes : int
            How many nodes were last known, this one included.
        """
        self._forget_silent(now)
        reason = self._find_reason(now, version, known_nodes)
        if not reason:
            self._doubt_since = float('inf')
            return ''
        self._doubt_since = min(self._doubt_since, now)
        if now - self._doubt_since < GRACE_S:
            return ''
        return reason

    def _forget_silent(self, now: float) -> None:
        for peer, word in tuple(self._peers.items()):
            if now - word.heard_at > FORGET_AFTER_S:
                self._peers.pop(peer)

    def _find_reason(self, now: float, version: int, known_nodes: int) -> str:
        if now - self._own_fresh_at <= FRESH_FOR_S:
            return ''
        heard = [
            word
            for word in self._peers.values()
            if now - word.heard_at <= FRESH_FOR_S
        ]
        fresh = [word for word in heard if now - word.fresh_at <= FRESH_FOR_S]
        if fresh:
            newest = max(word.version for word in fresh)
            return '' if version >= newest else 'this node is behind its peers'
        if 2 * (len(heard) + 1) >= known_nodes:
            return ''
        return 'this node is cut off from the service and most other nodes'
