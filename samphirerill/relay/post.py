"""Datagrams that are sent at once to all nodes: how they go, and which have come."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

# Datagrams of one sender that are known to have come; two nodes pass on each, and
# one that is passed on may come after a later one that came straight.
_MOST_SEEN = 32


class Post(Protocol):
    """Sends datagrams to other nodes."""

    def send_to_all(self, data: bytes) -> None:
        """Send to every other node; in a large fleet some pass it on."""

    def send_to_node(self, name: str, data: bytes) -> None:
        """Send to one node, if its address is known."""

    def pass_on_from(self, sender: str, data: bytes) -> None:
        """Pass on at home what came from another data centre."""

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centres of all nodes, by name, with this one."""


class Talk(Protocol):
    """Tells and hears datagrams that begin with its mark."""

    mark: bytes

    def begin(self, post: Post) -> None:
        """Tell by these ways from now on."""

    def take(self, data: bytes, sender: str) -> None:
        """Take a datagram of another node."""


class Arrivals:
    """Which datagrams have come: each is taken, and passed on, once."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        # Of each sender, the numbers of its start and of its latest datagrams.
        self._seen: dict[str, deque[tuple[int, int]]] = {}

    def note(self, node: str, started: int, number: int) -> bool:
        """Return whether a datagram has not come before.

        Parameters
        ----------
        node : str
            Its sender.
        started : int
            Which start of the sender.
        number : int
            Grows with each datagram of one start.
        """
        seen = self._seen.setdefault(node, deque(maxlen=_MOST_SEEN))
        key = (started, number)
        if key in seen:
            return False
        seen.append(key)
        return True
