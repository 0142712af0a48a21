"""Choose the node that grants the permits of a replica."""

from __future__ import annotations

import asyncio
from hashlib import blake2b
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.limits.context import ExchangeContext

# A node that does not answer is not asked for this long.
_UNREACHABLE_S = 3.0
# A choice is kept for this long, as it takes time where there are many nodes.
_CHOICE_TTL_S = 0.5
# A node that has just started does not know the others yet, and grants nothing.
_MIN_UPTIME_S = 2.0
_DIGEST_BYTES = 8


class NodeList(Protocol):
    """The nodes of the fleet."""

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centre of each node by name, this one included."""

    def list_live_nodes(self) -> set[str]:
        """Return the other nodes of this data centre that were heard lately."""


class GranterChoice:
    """Chooses granters; nodes that see the same others choose the same.

    Parameters
    ----------
    state : ExchangeContext
        The settings of this node.
    """

    __slots__ = (
        '_choices',
        '_loop',
        '_nodes',
        '_started_at',
        '_state',
        '_unreachable',
    )

    def __init__(self, state: ExchangeContext) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._started_at = self._loop.time()
        self._nodes: NodeList | None = None
        # For each replica, until when a choice is kept, and the node.
        self._choices: dict[str, tuple[float, str]] = {}
        # Until when nodes are not asked, as they did not answer.
        self._unreachable: dict[str, float] = {}

    def bind(self, nodes: NodeList) -> None:
        """Choose among these nodes from now on."""
        self._nodes = nodes

    def choose(self, replica: Replica) -> str:
        """Return the node that grants the permits of a replica.

        It is a node of the replica's data centre if there is one, because the
        nodes there see which of them are alive. It is empty if none is
        reachable, or if it is this node shortly after its start.
        """
        now = self._loop.time()
        until, node = self._choices.get(replica.replica_id, (0.0, ''))
        if until <= now:
            node = self._find_first(replica, now)
            self._choices[replica.replica_id] = (now + _CHOICE_TTL_S, node)
        return node

    def is_own(self, replica: Replica) -> bool:
        """Return whether this node grants the permits of a replica."""
        return self.choose(replica) == self._state.settings.name

    def note_unreachable(self, node: str) -> None:
        """Record that a node does not answer."""
        self._unreachable[node] = self._loop.time() + _UNREACHABLE_S
        self._choices.clear()

    def note_reachable(self, node: str) -> None:
        """Record that a node was heard."""
        if self._unreachable.pop(node, 0):
            self._choices.clear()

    def remove_ended(self) -> None:
        """Forget choices that are not kept any more."""
        now = self._loop.time()
        self._choices = {
            replica_id: choice
            for replica_id, choice in self._choices.items()
            if choice[0] > now
        }

    def list_unreachable(self) -> list[str]:
        """Return the nodes that do not answer."""
        now = self._loop.time()
        return sorted(
            node for node, until in self._unreachable.items() if until > now
        )

    def count_nodes(self) -> int:
        """Return how many nodes there are, this one included."""
        return len(self._list_nodes())

    def find_reachable_share(self) -> float:
        """Return the share of this data centre's nodes that were heard lately.

        Parts of it that are cut off from each other grant such shares of a
        rate, so that together they keep it.
        """
        own = self._state.settings.data_centre
        known = sum(place == own for place in self._list_nodes().values())
        reachable = self._list_live_nodes() - set(self.list_unreachable())
        return min(1, len(reachable) / max(1, known))

    def _find_first(self, replica: Replica, now: float) -> str:
        candidates = [
            node
            for node in self._list_candidates(replica)
            if self._unreachable.get(node, 0) <= now
        ]
        if not candidates:
            return ''
        first = _rank_nodes(candidates, replica.replica_id)[0]
        is_own = first == self._state.settings.name
        is_new = now - self._started_at < _MIN_UPTIME_S
        return '' if is_own and is_new else first

    def _list_candidates(self, replica: Replica) -> set[str]:
        nodes = self._list_nodes()
        data_centres = set(nodes.values())
        chosen = replica.data_centre
        if chosen not in data_centres:
            chosen = _rank_nodes(data_centres, replica.replica_id)[0]
        candidates = {name for name, place in nodes.items() if place == chosen}
        if chosen == self._state.settings.data_centre:
            return candidates & self._list_live_nodes()
        return candidates

    def _list_nodes(self) -> Mapping[str, str]:
        settings = self._state.settings
        if self._nodes is None:
            return {settings.name: settings.data_centre}
        return self._nodes.list_nodes()

    def _list_live_nodes(self) -> set[str]:
        name = self._state.settings.name
        if self._nodes is None:
            return {name}
        return {name} | self._nodes.list_live_nodes()


def _rank_nodes(names: Iterable[str], replica_id: str) -> list[str]:
    """Order names in a way that differs from replica to replica."""
    return sorted(
        names,
        key=lambda name: blake2b(
            f'{replica_id} {name}'.encode(), digest_size=_DIGEST_BYTES
        ).digest(),
    )
