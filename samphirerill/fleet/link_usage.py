"""Estimated backlog of the links between data centres.

Transfers queue on a link: a prompt that crosses delays the next token of every
other stream there. All nodes keep the same estimate of each link's backlog:
every node reports the total it has sent, and adds what others have sent since
their previous report.
"""

from __future__ import annotations

from samphirerill.fleet.model import MS_PER_S

# Above this utilisation prompts queue behind prompts and pauses triple; the
# rest also covers the tokens that cross beside the prompts.
_MAX_USE = 0.65
# Further prompts wait at the node instead: behind this backlog, the next token
# of a stream is still on time.
MAX_BACKLOG_MS = 160.0
# For streams that have begun. Their clients give up after a pause of 2 s, which
# must also cover the prefill. After the loss of a third of a fleet all its streams
# crossed the same links, and hardly any continued in time.
MAX_URGENT_BACKLOG_MS = 800.0
LinkKey = frozenset[str]


class LinkUsage:
    """The backlog of every link, in milliseconds of transfer time."""

    __slots__ = (
        '_free_at',
        '_peer_totals',
        'data_centre_sent',
        'own_version',
        'own_sent',
    )

    def __init__(self) -> None:
        self._free_at: dict[LinkKey, float] = {}
        self._peer_totals: dict[tuple[str, LinkKey], float] = {}
        # Total sent by this node on each link since it started.
        self.own_sent: dict[LinkKey, float] = {}
        # The same plus what the other nodes of its data centre have sent since
        # their first report; never decreases.
        self.data_centre_sent: dict[LinkKey, float] = {}
        self.own_version = 0

    def backlog_ms(self, one: str, other: str, now: float) -> float:
        """Return how long a prompt would wait for earlier transfers."""
        free_at = self._free_at.get(frozenset((one, other)), 0.0)
        return max(0.0, free_at - now) * MS_PER_S

    def is_open(
        self, one: str, other: str, now: float, *, is_urgent: bool = False
    ) -> bool:
        """Return whether a prompt, or an urgent stream's, may cross now."""
        max_ms = MAX_URGENT_BACKLOG_MS if is_urgent else MAX_BACKLOG_MS
        return self.backlog_ms(one, other, now) < max_ms

    def note_transfer(
        self, one: str, other: str, transfer_ms: float, now: float
    ) -> None:
        """Count a prompt of this node that crosses a link."""
        pair = frozenset((one, other))
        self.own_sent[pair] = self.own_sent.get(pair, 0.0) + transfer_ms
        self.own_version += 1
        self._add(pair, transfer_ms, now)
        self._add_to_data_centre(pair, transfer_ms)

    def update_peer(
        self,
        node: str,
        pair: LinkKey,
        sent_ms: float,
        now: float,
        *,
        is_near: bool = False,
    ) -> None:
        """Update from another node's report of its total on a link.

        Parameters
        ----------
        node : str
            The sender, including which of its processes.
        pair : frozenset of str
            The data centres.
        sent_ms : float
            Its total since it started.
        now : float
            On the loop's clock.
        is_near : bool
            The sender is in the same data centre.
        """
        key = (node, pair)
        previous = self._peer_totals.get(key, sent_ms)
        self._peer_totals[key] = max(previous, sent_ms)
        if sent_ms > previous:
            self._add(pair, sent_ms - previous, now)
            if is_near:
                self._add_to_data_centre(pair, sent_ms - previous)

    def _add_to_data_centre(self, pair: LinkKey, transfer_ms: float) -> None:
        self.data_centre_sent[pair] = (
            self.data_centre_sent.get(pair, 0.0) + transfer_ms
        )

    def _add(self, pair: LinkKey, transfer_ms: float, now: float) -> None:
        busy_s = transfer_ms / MS_PER_S / _MAX_USE
        self._free_at[pair] = max(now, self._free_at.get(pair, 0.0)) + busy_s
