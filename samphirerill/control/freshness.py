"""Decide whether this node's configuration may still be taken as in force.

A node that reaches neither the key-value store nor any peer that does cannot
distinguish an outage of the store, in which no change can be accepted, from a
network partition, in which others may accept changes. It decides by what it
receives:

1. Its own read of the store succeeded recently: in force.
2. A peer's read succeeded recently and this node has at least that peer's
   version: in force.
3. No peer whose messages it receives reaches the store, and it receives
   messages from at least half of the known nodes, itself included: an outage.
   It keeps serving.
4. Otherwise it is considered partitioned. After a grace period it accepts no
   new requests.
"""

from __future__ import annotations

from dataclasses import dataclass

FRESH_FOR_S = 4.0
GRACE_S = 6.0
PEER_EXPIRY_S = 60.0


@dataclass(slots=True)
class PeerReport:
    """A peer's latest report; times are on this node's clock."""

    received_at: float
    store_read_at: float
    version: int


class ConfigurationFreshness:
    """Tracks recent reads of the store, own and reported by peers."""

    __slots__ = ('_own_read_at', '_peers', '_started_at', '_unconfirmed_since')

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._own_read_at = float('-inf')
        self._unconfirmed_since = float('inf')
        self._peers: dict[str, PeerReport] = {}

    def record_store_read(self, now: float) -> None:
        """Record that this node has read the accepted version."""
        self._own_read_at = max(self._own_read_at, now)

    def record_peer_report(
        self, peer: str, now: float, read_age_s: float, version: int
    ) -> None:
        """Record a peer's version and the age of its last read."""
        self._peers[peer] = PeerReport(now, now - read_age_s, version)

    def get_read_age_s(self, now: float) -> float:
        """Return the age of this node's last read of the store."""
        return now - self._own_read_at

    def find_suspension_reason(
        self, now: float, version: int, known_nodes: int
    ) -> str:
        """Return why no new work may be accepted, or an empty string.

        Parameters
        ----------
        now : float
            Seconds on the node's clock.
        version : int
            The version in force at this node.
        known_nodes : int
            The last known number of nodes, this one included.
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
            if now - report.received_at > PEER_EXPIRY_S:
                self._peers.pop(peer)

    def _find_reason(self, now: float, version: int, known_nodes: int) -> str:
        if now - self._own_read_at <= FRESH_FOR_S:
            return ''
        recent = [
            report
            for report in self._peers.values()
            if now - report.received_at <= FRESH_FOR_S
        ]
        fresh_reports = [
            report
            for report in recent
            if now - report.store_read_at <= FRESH_FOR_S
        ]
        if fresh_reports:
            newest = max(report.version for report in fresh_reports)
            return '' if version >= newest else 'this node is behind its peers'
        if 2 * (len(recent) + 1) >= known_nodes:
            return ''
        return 'this node is cut off from the service and most other nodes'
