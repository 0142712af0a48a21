"""Ground truth of a soak run, and the guarantees that were violated.

Fake replicas and clients record here what they observed. Nothing is taken
from the nodes under test.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.testing.soak.replica_notices import ReplicaNoticeChecks

if TYPE_CHECKING:
    from collections.abc import Collection


@dataclass(slots=True)
class Fault:
    """An injected fault; `until` is ``inf`` while it is active.

    `targets` are the names of the nodes and the addresses of the replicas whose
    process or connections it affects; a fault of the store has none.
    """

    name: str
    since: float
    until: float = float('inf')
    targets: frozenset[str] = frozenset()


@dataclass(slots=True)
class GroundTruth:
    """Executions, refusals, injected faults and violated guarantees.

    `runs` maps a request to the replicas that executed it. `refused` contains
    the requests whose client was told that they were not executed. `arrivals`
    maps a request to the addresses of the replicas that it reached, on any stage
    of its path; `broken_off` contains the requests that a replica broke off.
    `events` is the log of the run, with times on the loop's clock;
    `notice_checks` check that nodes honour what replicas say about themselves.
    """

    runs: dict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    accounts: dict[str, str] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    arrivals: dict[str, set[str]] = field(
        default_factory=lambda: defaultdict(set)
    )
    broken_off: set[str] = field(default_factory=set)
    non_idempotent: set[str] = field(default_factory=set)
    violations: list[str] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    counts: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    events: list[tuple[float, str]] = field(default_factory=list)
    notice_checks: ReplicaNoticeChecks = field(init=False)

    def __post_init__(self) -> None:
        """Create the checks that record here."""
        self.notice_checks = ReplicaNoticeChecks(self)

    def record_run(
        self, request_id: str, replica_id: str, account: str
    ) -> None:
        """Record that a replica starts to execute a request."""
        runs = self.runs[request_id]
        runs.append(replica_id)
        if request_id not in self.accounts:
            self.record_violation(
                f'{request_id}: executed, but sent by no client'
            )
        elif self.accounts[request_id] != account:
            self.record_violation(
                f'{request_id}: executed for account {account!r}'
            )
        if request_id in self.refused:
            self.record_violation(
                f'{request_id}: executed after "not executed"'
            )
        if len(runs) > 1 and request_id in self.non_idempotent:
            self.record_violation(
                f'{request_id}: executed more than once, on {runs}'
            )

    def record_refusal(self, request_id: str) -> None:
        """Record that a client was told "not executed"."""
        self.refused.add(request_id)
        if self.runs.get(request_id):
            self.record_violation(f'{request_id}: "not executed", but it was')

    def log(self, now: float, description: str) -> None:
        """Add an event to the log of the run."""
        self.events.append((now, description))

    def record_violation(self, description: str) -> None:
        """Add a description of a violated guarantee."""
        self.violations.append(description)

    def is_fault_free(self, since: float, until: float) -> bool:
        """Return whether no fault was active within an interval."""
        return not any(
            fault.since <= until and fault.until >= since
            for fault in self.faults
        )

    def is_in_touch(self, node: str, since: float, until: float) -> bool:
        """Return whether no fault affected a node or the store."""
        return not any(
            fault.since <= until
            and fault.until >= since
            and (not fault.targets or node in fault.targets)
            for fault in self.faults
        )

    def is_untouched(
        self, targets: Collection[str], since: float, until: float
    ) -> bool:
        """Return whether no fault affected nodes or replicas in an interval."""
        return not any(
            fault.since <= until
            and fault.until >= since
            and not fault.targets.isdisjoint(targets)
            for fault in self.faults
        )
