"""Choose the node that relays a connection to an endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping
    from random import Random

# Connections are spread over a few nodes, not over all of a large fleet.
_MAX_RELAYS = 4
# How long a node that opened no tunnel is avoided.
_AVOIDANCE_S = 1.0
# Partitioned nodes that show, without one that helps, that all are.
_MIN_PARTITIONED = 8


class RelayChoice:
    """The nodes that were asked for tunnels, and how it went.

    Nodes of the same data centre are preferred, as bytes between data centres are
    billed. If one of them is partitioned, the data centre may be as a whole, and
    nodes elsewhere are asked as well for a while.

    Parameters
    ----------
    data_centre : str
        The data centre of this node.
    random : Random
        Spreads the connections.
    """

    __slots__ = (
        '_data_centre',
        '_helped_at',
        '_partitioned',
        '_random',
        '_slow',
        'relays',
    )

    def __init__(self, data_centre: str, random: Random) -> None:
        self._data_centre = data_centre
        self._random = random
        # Until when nodes are known to be partitioned or avoided, by name.
        self._partitioned: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        self._helped_at = float('-inf')
        # Nodes that opened the latest tunnels; the oldest first.
        self.relays: list[str] = []

    def choose(
        self, nodes: Mapping[str, str], asked: Collection[str], now: float
    ) -> str:
        """Return the node to ask next; empty if there is none.

        A node that did not answer in time is asked again if there is no other
        one; one that is partitioned is not.

        Parameters
        ----------
        nodes : mapping of str to str
            The data centre of each other node, by name.
        asked : collection of str
            Nodes that were asked for this connection already.
        now : float
            On the loop's clock.
        """
        usable = [
            name
            for name in nodes
            if name not in asked and self._partitioned.get(name, now) <= now
        ]
        quick = [name for name in usable if self._slow.get(name, now) <= now]
        candidates = quick or usable
        relays = [name for name in self.relays if name in candidates]
        if len(relays) < _MAX_RELAYS:
            relays.extend(self._list_new(nodes, candidates, now))
        return self._random.choice(relays or [''])

    def note_help(self, name: str, now: float) -> None:
        """Record that a node opened a tunnel, or judged an endpoint."""
        self._helped_at = now
        self._slow.pop(name, None)
        if name not in self.relays:
            self.relays = [*self.relays[1 - _MAX_RELAYS :], name]

    def note_partitioned(self, name: str, now: float) -> None:
        """Record that a node reaches no endpoint itself."""
        self._partitioned = _keep_current(self._partitioned, now)
        self._partitioned[name] = now + _AVOIDANCE_S
        self._forget_relay(name)

    def note_slow(self, name: str, now: float) -> None:
        """Record that a node did not answer in time, or can't help now."""
        self._slow = _keep_current(self._slow, now)
        self._slow[name] = now + _AVOIDANCE_S
        self._forget_relay(name)

    def are_all_partitioned(self, nodes: Mapping[str, str], now: float) -> bool:
        """Return whether no node seems to reach an endpoint."""
        partitioned = sum(
            self._partitioned.get(name, now) > now for name in nodes
        )
        has_helped = self._helped_at + _AVOIDANCE_S > now
        needed = min(_MIN_PARTITIONED, len(nodes))
        return not has_helped and 0 < needed <= partitioned

    def _list_new(
        self, nodes: Mapping[str, str], candidates: list[str], now: float
    ) -> list[str]:
        """Return further nodes, preferably near ones."""
        new = [name for name in candidates if name not in self.relays]
        is_partitioned = any(
            until > now and nodes.get(name) == self._data_centre
            for name, until in self._partitioned.items()
        )
        if is_partitioned:
            return new
        return [name for name in new if nodes[name] == self._data_centre] or new

    def _forget_relay(self, name: str) -> None:
        if name in self.relays:
            self.relays.remove(name)


def _keep_current(avoided: dict[str, float], now: float) -> dict[str, float]:
    return {name: until for name, until in avoided.items() if until > now}
