"""Evidence on one request or prompt part: endpoints that crashed under its runs."""

from __future__ import annotations

from bisect import insort
from dataclasses import dataclass, field
from operator import attrgetter
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes this close together count as one, as when a rack loses power.
_SAME_CAUSE_S = 0.05
# Times that two nodes report for the same crash differ by less.
_SAME_CRASH_S = 1.0
# Enough to rank suspects by their crashes when many endpoints crash.
MAX_CRASHES = 24
_NEVER = float('-inf')
_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Crash:
    """The crash of an endpoint's process just as it started to run a request.

    Parameters
    ----------
    endpoint : str
        Which endpoint, including which of its processes.
    request_id : str
        The client's id of the attempt, as it appears in the logs.
    at : float
        When, on the loop's clock.
    account : bytes
        Tells apart client accounts; only set in evidence on prompt parts, which
        several of them share.
    """

    endpoint: str
    request_id: str
    at: float
    account: bytes = b''

    def is_same_crash(self, other: Crash) -> bool:
        """Return whether both describe the same crash of one endpoint."""
        is_close = abs(self.at - other.at) < _SAME_CRASH_S
        return self.endpoint == other.endpoint and is_close


@dataclass(slots=True)
class EvidenceRecord:
    """The crashes that affected one request or prompt part, ordered by time.

    A run that continues or completes shows that it is harmless;
    crashes before `survived_at` are dropped.
    """

    crashes: list[Crash] = field(default_factory=list)
    survived_at: float = _NEVER

    def add(self, crash: Crash) -> bool:
        """Add a crash; return whether it is new and not refuted."""
        if crash.at <= self.survived_at or self.has_crash(crash):
            return False
        if len(self.crashes) == MAX_CRASHES:
            self.crashes.pop(0)
        insort(self.crashes, crash, key=attrgetter('at'))
        return True

    def note_survival(self, at: float) -> bool:
        """Drop crashes up to a survived run; return whether there were any."""
        self.survived_at = max(self.survived_at, at)
        previous_count = len(self.crashes)
        self.crashes = [crash for crash in self.crashes if crash.at > at]
        return len(self.crashes) < previous_count

    def list_distinct_crashes(self) -> list[Crash]:
        """Return the crashes, one for each group with a common cause."""
        distinct: list[Crash] = []
        for crash in self.crashes:
            if not distinct or crash.at - distinct[-1].at >= _SAME_CAUSE_S:
                distinct.append(crash)
        return distinct

    def has_crash(self, crash: Crash) -> bool:
        """Return whether a crash is among those recorded."""
        return any(map(crash.is_same_crash, self.crashes))

    def was_suspect(self, crash: Crash, min_crashes: int) -> bool:
        """Return whether the request was a suspect at a crash.

        It was one if it was just starting at that crash and at no fewer than
        `min_crashes` earlier ones.
        """
        if len(self.crashes) <= min_crashes:
            return False
        if not self.has_crash(crash):
            return False
        cutoff = crash.at - _SAME_CAUSE_S
        earlier = [known.at < cutoff for known in self.list_distinct_crashes()]
        return sum(earlier) >= min_crashes


def describe_record(
    record: EvidenceRecord, until: float, now: float
) -> dict[str, Any]:
    """Return a record for operators; attempts are named, never the digest.

    Parameters
    ----------
    record : EvidenceRecord
        With at least one crash.
    until : float
        Until when the request is held; 0 if it is not.
    now : float
        On the loop's clock.
    """
    return {
        'first_request': record.crashes[0].request_id,
        'left_ms': max(0, round((until - now) * _MS_PER_S)) if until else 0,
        'deaths': describe_crashes(record.crashes, now),
    }


def describe_crashes(
    crashes: Iterable[Crash], now: float
) -> list[dict[str, Any]]:
    """Return crashes for operators, each with its age."""
    return [
        {
            'endpoint': crash.endpoint,
            'request': crash.request_id,
            'ago_ms': round((now - crash.at) * _MS_PER_S),
        }
        for crash in crashes
    ]
