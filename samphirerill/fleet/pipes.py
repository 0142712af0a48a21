"""How much of the pipes between data centres is in use.

Transfers queue in a pipe one after another: a prompt that crosses holds up
every other stream's next token there. All nodes keep the same estimate of each
pipe's backlog: every node counts what it has sent in all, tells the others,
and adds what they have sent since it last heard.
"""

from __future__ import annotations

from samphirerill.fleet.model import MS_PER_S

# Above this use, prompts wait for prompts and pauses triple; it also covers
# the tokens, which cross beside the prompts.
_MAX_USE = 0.65
# Further prompts wait at the node rather than in the pipe: behind so much,
# the next token of a stream is still on time.
MAX_BACKLOG_MS = 160.0
# A stream that has begun may wait behind more; its client gives up after a pause of
# two seconds, and it still has to be read. When a third of a fleet was lost, all
# streams under way went over the same pipes, and hardly any came through in time.
MAX_URGENT_BACKLOG_MS = 800.0
Pair = frozenset[str]


class PipeUse:
    """The estimated backlog of every pipe, in milliseconds of transfer."""

    __slots__ = ('_free_at', '_peer_totals', 'near_sent', 'own_version', 'sent')

    def __init__(self) -> None:
        self._free_at: dict[Pair, float] = {}
        self._peer_totals: dict[tuple[str, Pair], float] = {}
        # What this node has sent through each pipe since it started.
        self.sent: dict[Pair, float] = {}
        # The same with what the nodes of its data centre have sent since it
        # heard of them; this only ever grows.
        self.near_sent: dict[Pair, float] = {}
        self.own_version = 0

    def backlog_ms(self, one: str, other: str, now: float) -> float:
        """Return how long a prompt would wait for those before it."""
        free_at = self._free_at.get(frozenset((one, other)), 0.0)
        return max(0.0, free_at - now) * MS_PER_S

    def is_open(
        self, one: str, other: str, now: float, *, is_urgent: bool = False
    ) -> bool:
        """Return whether another prompt, or a stream under way, may cross."""
        max_ms = MAX_URGENT_BACKLOG_MS if is_urgent else MAX_BACKLOG_MS
        return self.backlog_ms(one, other, now) < max_ms

    def note(
        self, one: str, other: str, transfer_ms: float, now: float
    ) -> None:
        """Count one prompt of this node that crosses."""
        pair = frozenset((one, other))
        self.sent[pair] = self.sent.get(pair, 0.0) + transfer_ms
        self.own_version += 1
        self._add(pair, transfer_ms, now)
        self._add_near(pair, transfer_ms)

    def hear(
        self,
        node: str,
        pair: Pair,
        sent_ms: float,
        now: float,
        *,
        is_near: bool = False,
    ) -> None:
        """Take what another node has sent through a pipe in all.

        Parameters
        ----------
        node : str
            Which start of which node.
        pair : frozenset of str
            The data centres.
        sent_ms : float
            Its total since it started.
        now : float
            On the loop's clock.
        is_near : bool
            The node is in the same data centre.
        """
        key = (node, pair)
        previous = self._peer_totals.get(key, sent_ms)
        self._peer_totals[key] = max(previous, sent_ms)
        if sent_ms > previous:
            self._add(pair, sent_ms - previous, now)
            if is_near:
                self._add_near(pair, sent_ms - previous)

    def _add_near(self, pair: Pair, transfer_ms: float) -> None:
        self.near_sent[pair] = self.near_sent.get(pair, 0.0) + transfer_ms

    def _add(self, pair: Pair, transfer_ms: float, now: float) -> None:
        busy_s = transfer_ms / MS_PER_S / _MAX_USE
        self._free_at[pair] = max(now, self._free_at.get(pair, 0.0)) + busy_s
