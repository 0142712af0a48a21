"""Failure detection for one replica from the reports of several nodes.

Each node finds silent replicas by itself and reports them to the others. Its
report applies to its own streams at once; a death is confirmed for all nodes by
two reports. A report is discarded at a node that has since received a
message from the replica.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from samphirerill.fleet.load_aggregation import name_aggregate

# Votes of different nodes that confirm a death.
CONFIRMING_VOTES = 2
# Key of this node's own report.
_LOCAL_NODE = ''


@dataclass(slots=True, frozen=True)
class SilenceReport:
    """A report, by a node or a whole data centre, that a replica is silent.

    It is valid from `since`, when the silence was found, to `until`, both on
    the loop's clock. `votes` is the number of nodes behind it, or
    `CONFIRMING_VOTES` for a confirmed death. `node` is empty for this node.
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

    The replica is suspected until `suspected_until`, by this node's own report
    until `self_suspected_until`, and by confirmed reports until
    `confirmed_until`. `last_alive_at` is the latest time at which it is known to
    have worked.
    """

    suspected_until: float = 0.0
    self_suspected_until: float = 0.0
    confirmed_until: float = 0.0
    last_alive_at: float = float('-inf')
    reports: dict[str, SilenceReport] = field(default_factory=dict)

    def add_report(self, report: SilenceReport, now: float) -> bool:
        """Add a report; return whether it makes the replica newly suspected.

        Reports older than the last sign of life are rejected: nodes that are
        cut off or stalled find live replicas silent, and two of them would
        otherwise confirm their deaths for all nodes.
        """
        if report.since < self.last_alive_at:
            return False
        self.reports[report.node] = report
        is_confirmed = self.count_votes(now) >= CONFIRMING_VOTES
        if is_confirmed:
            self.confirmed_until = max(self.confirmed_until, report.until)
        if not is_confirmed and not report.is_own:
            return False
        is_newly_suspected = self.suspected_until <= now
        self.suspected_until = max(self.suspected_until, report.until)
        if report.is_own:
            self.self_suspected_until = max(
                self.self_suspected_until, report.until
            )
        return is_newly_suspected

    def note_alive(self, at: float) -> bool:
        """Record a sign of life; return whether it ends a suspicion.

        All reports of silence before `at` become void, including those of
        others.
        """
        if at <= self.last_alive_at:
            return False
        self.last_alive_at = at
        if any(report.since >= at for report in self.reports.values()):
            return False
        was_dead = bool(self.suspected_until)
        self.clear()
        return was_dead

    def clear(self) -> None:
        """Discard all evidence against the replica."""
        self.suspected_until = 0.0
        self.self_suspected_until = 0.0
        self.confirmed_until = 0.0
        self.reports.clear()

    def count_votes(self, now: float) -> int:
        """Return the number of votes for the replica's death.

        Nodes of another data centre first report individually and later as an
        aggregate; a node counted in both has one vote.
        """
        individual: Counter[str] = Counter()
        aggregated: Counter[str] = Counter()
        for report in self.reports.values():
            if report.until <= now:
                continue
            if report.node == name_aggregate(report.data_centre):
                aggregated[report.data_centre] = report.votes
            else:
                individual[report.data_centre] += report.votes
        return (individual | aggregated).total()

    def get_own_report(self) -> SilenceReport | None:
        """Return this node's own report, or ``None``."""
        return self.reports.get(_LOCAL_NODE)
