"""Failure detection for one replica from the reports of several nodes.

Each node finds silent replicas by itself and reports them to the others. Its
report applies to its own streams at once; a death is confirmed for all nodes by
two reports. A report is discarded at a node that has heard from the replica
since.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from samphirerill.fleet.gathering import name_aggregate

# Votes of different nodes that confirm a death.
SURE_VOTES = 2
# Key of this node's own report.
_LOCAL_NODE = ''


@dataclass(slots=True, frozen=True)
class Word:
    """A report, by a node or a whole data centre, that a replica is silent.

    It is valid from `since`, when the silence was found, to `until`, both on
    the loop's clock. `votes` is the number of nodes behind it, or `SURE_VOTES`
    for a confirmed death. `node` is empty for this node.
    """

    since: float
    until: float
    votes: int = 1
    node: str = _LOCAL_NODE
    data_centre: str = ''

    @property
    def is_own(self) -> bool:
        """Return whether this node found the silence itself."""
        return self.node == _LOCAL_NODE


@dataclass(slots=True)
class Suspicion:
    """Evidence that a replica is dead or alive.

    The replica is suspected until `dead_until`, by this node's own report until
    `found_until`, and by confirmed reports until `sure_until`. `has_ended`
    means that nothing listens at its address. `heard_at` is the latest time at
    which it is known to have worked.
    """

    dead_until: float = 0.0
    found_until: float = 0.0
    sure_until: float = 0.0
    has_ended: bool = False
    heard_at: float = float('-inf')
    words: dict[str, Word] = field(default_factory=dict)

    def take(self, report: Word, now: float) -> bool:
        """Add a report; return whether it makes the replica newly suspected.

        Reports older than the last sign of life are rejected: nodes that are
        cut off or stalled find live replicas silent, and two of them would
        otherwise confirm their deaths for all nodes.
        """
        if report.since < self.heard_at:
            return False
        self.words[report.node] = report
        is_confirmed = self.count_votes(now) >= SURE_VOTES
        if is_confirmed:
            self.sure_until = max(self.sure_until, report.until)
        if not is_confirmed and not report.is_own:
            return False
        is_newly_suspected = self.dead_until <= now
        self.dead_until = max(self.dead_until, report.until)
        if report.is_own:
            self.found_until = max(self.found_until, report.until)
        return is_newly_suspected

    def hear(self, at: float) -> bool:
        """Record a sign of life; return whether it ends a suspicion.

        All reports of silence before `at` become void, including those of
        others.
        """
        if at <= self.heard_at:
            return False
        self.heard_at = at
        if any(report.since >= at for report in self.words.values()):
            return False
        was_dead = bool(self.dead_until)
        self.clear()
        return was_dead

    def clear(self) -> None:
        """Discard all evidence against the replica."""
        self.dead_until = 0.0
        self.found_until = 0.0
        self.sure_until = 0.0
        self.has_ended = False
        self.words.clear()

    def count_votes(self, now: float) -> int:
        """Return the number of votes for the replica's death.

        Nodes of another data centre first report individually and later as an
        aggregate; a node counted in both has one vote.
        """
        individual: Counter[str] = Counter()
        aggregated: Counter[str] = Counter()
        for report in self.words.values():
            if report.until <= now:
                continue
            if report.node == name_aggregate(report.data_centre):
                aggregated[report.data_centre] = report.votes
            else:
                individual[report.data_centre] += report.votes
        return (individual | aggregated).total()

    def get_own(self) -> Word | None:
        """Return this node's own report, or ``None``."""
        return self.words.get(_LOCAL_NODE)
