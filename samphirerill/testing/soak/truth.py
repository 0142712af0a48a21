"""What really happened, and every promise that was broken.

Stand-ins and clients write here what they saw; nothing in it comes from the
nodes themselves.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field


@dataclass(slots=True)
class Fault:
    """A fault from `since` until `until`; ``inf`` while it lasts."""

    name: str
    since: float
    until: float = float('inf')


@dataclass(slots=True)
class Truth:
    """Runs, refusals, faults and broken promises.

    `runs` holds, for each request, the replicas that ran it. `refused` holds
    requests whose client was told that nothing ran.
    """

    runs: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    accounts: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    once_only: set[str] = field(default_factory=set)
    broken: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def note_run(self, request_id: str, replica_id: str, account: str) -> None:
        """A replica begins to run a request."""
        runs = self.runs[request_id]
        runs.append(replica_id)
        if request_id not in self.accounts:
            self.break_promise(f'{request_id}: nobody sent it')
        elif self.accounts[request_id] != account:
            self.break_promise(f'{request_id}: run for account {account!r}')
        if request_id in self.refused:
            self.break_promise(f'{request_id}: ran after "not run"')
        if len(runs) > 1 and request_id in self.once_only:
            self.break_promise(f'{request_id}: ran more than once on {runs}')

    def note_refused(self, request_id: str) -> None:
        """A client was told that nothing ran."""
        self.refused.add(request_id)
        if self.runs.get(request_id):
            self.break_promise(f'{request_id}: "not run", but it has')

    def break_promise(self, text: str) -> None:
        """Keep what was broken."""
        self.broken.append(text)

    def is_calm(self, since: float, until: float) -> bool:
        """Return whether no fault touched a span."""
        return not any(
            fault.since <= until and fault.until >= since
            for fault in self.faults
        )
