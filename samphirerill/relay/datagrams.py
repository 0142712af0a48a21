"""Interfaces for broadcasting datagrams between nodes, and deduplication."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping

# Recent datagrams remembered for each sender. Two nodes forward each datagram,
# and a forwarded one may arrive after later ones that came directly.
_MAX_SEEN = 32


class DatagramSender(Protocol):
    """Sends datagrams to other nodes."""

    def send_to_all(self, data: bytes) -> None:
        """Send to every other node.

        In a large fleet a few nodes of each other data centre forward it there.
        """

    def send_to_node(self, name: str, data: bytes) -> None:
        """Send to one node, if its address is known."""

    def forward_from(self, sender: str, data: bytes) -> None:
        """Forward a datagram from another data centre within this one."""

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centre of each node by name, this one included."""

    def list_live_nodes(self) -> set[str]:
        """Return the other nodes of this data centre that were heard lately."""


class DatagramHandler(Protocol):
    """Sends and receives datagrams that begin with its type prefix."""

    type_prefix: bytes

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Send through this sender from now on."""

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Process a datagram of another node."""


class DatagramDeduplicator:
    """Detects duplicates, so that each datagram is processed once."""

    __slots__ = ('_seen',)

    def __init__(self) -> None:
        # For each sender, its process run and sequence number per datagram.
        self._seen: dict[str, deque[tuple[int, int]]] = {}

    def record(self, node: str, started: int, number: int) -> bool:
        """Record a datagram; return whether it is not a duplicate.

        Parameters
        ----------
        node : str
            The sending node.
        started : int
            Identifies the process run of the sender.
        number : int
            Sequence number within that run.
        """
        seen = self._seen.setdefault(node, deque(maxlen=_MAX_SEEN))
        key = (started, number)
        if key in seen:
            return False
        seen.append(key)
        return True
