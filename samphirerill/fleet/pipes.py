"""How much of the pipes between data centres this node uses.

Transfers queue in a pipe one after another: a prompt that crosses holds up
every other stream's next token there. Each node may use its share; what it has
sent beyond that has to drain before it sends more.
"""

from __future__ import annotations

# Above this use, prompts wait for prompts and pauses triple.
_USE = 0.6
# A node may be this far ahead of its share: prompts come in clumps.
MOST_BACKLOG_MS = 1200.0
_MS_PER_S = 1000


class PipeUse:
    """This node's transfers through each pipe, as a backlog that drains."""

    __slots__ = ('_free_at',)

    def __init__(self) -> None:
        self._free_at: dict[frozenset[str], float] = {}

    def backlog_ms(self, one: str, other: str, now: float) -> float:
        """Return how far this node is ahead of its share of a pipe."""
        free_at = self._free_at.get(frozenset((one, other)), 0.0)
        return max(0.0, free_at - now) * _MS_PER_S

    def is_open(self, one: str, other: str, now: float) -> bool:
        """Return whether another prompt may cross."""
        return self.backlog_ms(one, other, now) < MOST_BACKLOG_MS

    def note(
        self, one: str, other: str, transfer_ms: float, nodes: int, now: float
    ) -> None:
        """Count one prompt that crosses.

        Parameters
        ----------
        one, other : str
            The data centres.
        transfer_ms : float
            How long it occupies the pipe.
        nodes : int
            How many nodes share the pipe.
        now : float
            On the loop's clock.
        """
        pair = frozenset((one, other))
        spent_s = transfer_ms / _MS_PER_S * nodes / _USE
        self._free_at[pair] = max(now, self._free_at.get(pair, 0.0)) + spent_s
