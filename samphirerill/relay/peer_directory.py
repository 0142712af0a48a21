"""The other nodes that this node knows, from announcements or datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.load_aggregation import (
    choose_aggregator,
    is_full_mesh,
    list_receivers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.node_announcements import NodeAnnouncement
    from samphirerill.relay.node_status import NodeStatus

# Nodes without an announcement expire this long after their last status.
_PEER_EXPIRY_S = 20.0
# Nodes with an older status cannot be the aggregator.
_STATUS_MAX_AGE_S = 1.5

# A node counts as heard lately for this long, which grows with the number of
# nodes in its data centre, as do the intervals between statuses.
_MIN_LIVE_AGE_S = 1.0
_LIVE_AGE_PER_NODE_S = 0.03


class Peer:
    """Another node, with its latest `status` and when it arrived."""

    __slots__ = (
        'announced',
        'data_centre',
        'datagram_address',
        'last_seen_at',
        'http_address',
        'status',
    )

    def __init__(
        self,
        datagram_address: str,
        http_address: str,
        data_centre: str,
        *,
        announced: bool,
    ) -> None:
        self.datagram_address = datagram_address
        self.http_address = http_address
        self.data_centre = data_centre
        self.announced = announced
        self.last_seen_at = float('-inf')
        self.status: NodeStatus | None = None

    def is_active(self, now: float) -> bool:
        """Return whether it is announced or was heard lately."""
        return self.announced or self.last_seen_at + _PEER_EXPIRY_S > now

    def is_fresh(self, now: float) -> bool:
        """Return whether its latest status is recent."""
        return self.last_seen_at + _STATUS_MAX_AGE_S > now


class PeerDirectory:
    """All other nodes, by name.

    Parameters
    ----------
    own : str
        This node's name.
    data_centre : str
        This node's data centre.
    """

    def __init__(self, own: str, data_centre: str) -> None:
        self._own = own
        self._data_centre = data_centre
        self._peers: dict[str, Peer] = {}

    def get(self, name: str) -> Peer | None:
        """Return a node, if it is known."""
        return self._peers.get(name)

    def add(self, name: str, peer: Peer) -> None:
        """Add a node, or replace it when its address has changed."""
        self._peers[name] = peer

    def add_announcement(
        self, name: str, announcement: NodeAnnouncement
    ) -> None:
        """Record a node's announcement in the store."""
        peer = self._peers.get(name)
        if peer is None or peer.datagram_address != announcement.exchange:
            peer = Peer(
                announcement.exchange,
                announcement.peers,
                announcement.data_centre,
                announced=True,
            )
            self._peers[name] = peer
        peer.announced = True
        peer.data_centre = announcement.data_centre

    def remove_announcement(self, name: str) -> None:
        """Record that a node was shut down, or its lease expired."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.announced = False

    def clear_announcements(self) -> None:
        """Mark all nodes as not announced, before a full read."""
        for peer in self._peers.values():
            peer.announced = False

    def list_announced(self) -> dict[str, str]:
        """Return the HTTP address of each announced node, by name."""
        return {
            name: peer.http_address
            for name, peer in self._peers.items()
            if peer.announced
        }

    def has_active(self, now: float) -> bool:
        """Return whether any other node is announced or was heard lately."""
        return any(peer.is_active(now) for peer in self._peers.values())

    def is_direct(self, now: float) -> bool:
        """Return whether every node sends its status to every other one."""
        return is_full_mesh(len(self._list_active(now)))

    def is_aggregator(self, now: float) -> bool:
        """Return whether this node aggregates for its data centre."""
        names = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre == self._data_centre and peer.is_fresh(now)
        ]
        return choose_aggregator([self._own, *names]) == self._own

    def list_local_addresses(self, now: float) -> set[str]:
        """Return the datagram addresses of nodes of the same data centre.

        Nodes whose data centre is unknown are included.
        """
        return {
            peer.datagram_address
            for peer in self._list_active(now).values()
            if peer.data_centre in {'', self._data_centre}
        }

    def list_remote_addresses(self, now: float) -> set[str]:
        """Return the datagram addresses of nodes elsewhere."""
        active = self._list_active(now).values()
        return {
            peer.datagram_address for peer in active
        } - self.list_local_addresses(now)

    def list_receivers(self, now: float) -> set[str]:
        """Return the nodes to which this data centre's aggregate is sent.

        These are a few nodes of each other data centre, by datagram address.
        """
        active = self._list_active(now)
        data_centres = {peer.data_centre for peer in active.values()}
        data_centres -= {'', self._data_centre}
        return {
            active[name].datagram_address
            for data_centre in data_centres
            for name in list_receivers(
                name
                for name, peer in active.items()
                if peer.data_centre == data_centre
            )
        }

    def list_local_statuses(self, now: float) -> Iterable[NodeStatus]:
        """Return the recent statuses of nodes of this data centre."""
        return [
            peer.status
            for peer in self._peers.values()
            if peer.data_centre == self._data_centre
            and peer.status is not None
            and peer.is_fresh(now)
        ]

    def list_data_centres(self, now: float) -> dict[str, str]:
        """Return the data centre of each active node, by name."""
        return {
            name: peer.data_centre
            for name, peer in self._list_active(now).items()
        }

    def list_live(self, now: float) -> set[str]:
        """Return the nodes of this data centre that were heard lately."""
        local = [
            (name, peer.last_seen_at)
            for name, peer in self._peers.items()
            if peer.data_centre == self._data_centre
        ]
        max_age_s = _MIN_LIVE_AGE_S + _LIVE_AGE_PER_NODE_S * len(local)
        return {name for name, seen_at in local if seen_at + max_age_s > now}

    def list_nodes_in(self, data_centre: str) -> list[str]:
        """Return the names of the nodes of a data centre."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.data_centre == data_centre
        ]

    def _list_active(self, now: float) -> dict[str, Peer]:
        return {
            name: peer
            for name, peer in self._peers.items()
            if peer.is_active(now)
        }
