"""The other nodes as this one knows them: announced, or heard of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.fleet.gathering import (
    choose_gatherer,
    is_direct,
    list_receivers,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.relay.messages import Announced, Told

# A peer not heard of for so long is no longer told.
_FORGET_S = 20.0
# One that has not told anything for so long does not sum up any more.
_FRESH_S = 1.5


class Peer:
    """Another node; `told` is what it told last, at `heard_at`."""

    __slots__ = (
        'announced',
        'data_centre',
        'exchange',
        'heard_at',
        'peers',
        'told',
    )

    def __init__(
        self,
        exchange: str,
        peers: str,
        data_centre: str,
        *,
        announced: bool,
    ) -> None:
        self.exchange = exchange
        self.peers = peers
        self.data_centre = data_centre
        self.announced = announced
        self.heard_at = float('-inf')
        self.told: Told | None = None

    def is_fresh(self, now: float) -> bool:
        """Return whether it has told something lately."""
        return self.heard_at + _FRESH_S > now


class Roster:
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
        self._home = data_centre
        self._peers: dict[str, Peer] = {}

    def get(self, name: str) -> Peer | None:
        """Return a node, if it is known."""
        return self._peers.get(name)

    def add(self, name: str, peer: Peer) -> None:
        """Take a node that was not known, or is elsewhere now."""
        self._peers[name] = peer

    def note_announced(self, name: str, found: Announced) -> None:
        """Take an announcement."""
        peer = self._peers.get(name)
        if peer is None or peer.exchange != found.exchange:
            peer = Peer(
                found.exchange,
                found.peers,
                found.data_centre,
                announced=True,
            )
            self._peers[name] = peer
        peer.announced = True
        peer.data_centre = found.data_centre

    def note_gone(self, name: str) -> None:
        """A node has left, or its lease has lapsed."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.announced = False

    def forget_announced(self) -> None:
        """All announcements are read anew."""
        for peer in self._peers.values():
            peer.announced = False

    def list_announced(self) -> dict[str, str]:
        """Return the nodes that are announced, and where they take calls."""
        return {
            name: peer.peers
            for name, peer in self._peers.items()
            if peer.announced
        }

    def is_direct(self, now: float) -> bool:
        """Return whether each node tells each other one."""
        return is_direct(len(self._list_live(now)))

    def is_gatherer(self, now: float) -> bool:
        """Return whether this node sums up its data centre."""
        names = [
            name
            for name, peer in self._peers.items()
            if peer.data_centre == self._home and peer.is_fresh(now)
        ]
        return choose_gatherer([self._own, *names]) == self._own

    def list_near(self, now: float) -> set[str]:
        """Return the addresses of nodes of the same data centre.

        Where it is not known which one a node is in, it counts as near.
        """
        return {
            peer.exchange
            for peer in self._list_live(now).values()
            if peer.data_centre in {'', self._home}
        }

    def list_far(self, now: float) -> set[str]:
        """Return the addresses of all nodes of other data centres."""
        live = self._list_live(now).values()
        return {peer.exchange for peer in live} - self.list_near(now)

    def list_receivers(self, now: float) -> set[str]:
        """Return, for each other data centre, who gets this one's sum."""
        live = self._list_live(now)
        zones = {peer.data_centre for peer in live.values()}
        zones -= {'', self._home}
        return {
            live[name].exchange
            for zone in zones
            for name in list_receivers(
                name for name, peer in live.items() if peer.data_centre == zone
            )
        }

    def list_told(self, now: float) -> Iterable[Told]:
        """Return what the nodes of the same data centre told last."""
        return [
            peer.told
            for peer in self._peers.values()
            if peer.data_centre == self._home
            and peer.told is not None
            and peer.is_fresh(now)
        ]

    def list_data_centres(self, now: float) -> dict[str, str]:
        """Return where each node is, by name."""
        return {
            name: peer.data_centre
            for name, peer in self._list_live(now).items()
        }

    def list_names(self, data_centre: str) -> list[str]:
        """Return the nodes of a data centre."""
        return [
            name
            for name, peer in self._peers.items()
            if peer.data_centre == data_centre
        ]

    def _list_live(self, now: float) -> dict[str, Peer]:
        return {
            name: peer
            for name, peer in self._peers.items()
            if peer.announced or peer.heard_at + _FORGET_S > now
        }
