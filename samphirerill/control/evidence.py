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
class PeerReport:
    """The last thing a peer said; times are this node's clock."""

    heard_at: float
    store_read_at: float
    version: int


class Evidence:
    """Collects what is known and answers whether to serve."""

    __slots__ = ('_unconfirmed_since', '_own_read_at', '_peers', '_started_at')

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._own_read_at = float('-inf')
        self._unconfirmed_since = float('inf')
        self._peers: dict[str, PeerReport] = {}

    def note_store_read(self, now: float) -> None:
        """The service has just told this node the accepted version."""
        self._own_read_at = max(self._own_read_at, now)

    def note_peer(
        self, peer: str, now: float, fresh_age_s: float, version: int
    ) -> None:
        """A peer said how old its last read of the service is."""
        self._peers[peer] = PeerReport(now, now - fresh_age_s, version)

    def own_age_s(self, now: float) -> float:
        """Return how old this node's last read of the service is."""
        return now - self._own_read_at

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
        self._remove_silent_peers(now)
        reason = self._find_reason(now, version, known_nodes)
        if not reason:
            self._unconfirmed_since = float('inf')
            return ''
        self._unconfirmed_since = min(self._unconfirmed_since, now)
        if now - self._unconfirmed_since < GRACE_S:
            return ''
        return reason

    def _remove_silent_peers(self, now: float) -> None:
        for peer, report in tuple(self._peers.items()):
            if now - report.heard_at > FORGET_AFTER_S:
                self._peers.pop(peer)

    def _find_reason(self, now: float, version: int, known_nodes: int) -> str:
        if now - self._own_read_at <= FRESH_FOR_S:
            return ''
        heard = [
            report
            for report in self._peers.values()
            if now - report.heard_at <= FRESH_FOR_S
        ]
        fresh = [
            report
            for report in heard
            if now - report.store_read_at <= FRESH_FOR_S
        ]
        if fresh:
            newest = max(report.version for report in fresh)
            return '' if version >= newest else 'this node is behind its peers'
        if 2 * (len(heard) + 1) >= known_nodes:
            return ''
        return 'this node is cut off from the service and most other nodes'
