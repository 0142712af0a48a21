"""Records of crashes by digest, bounded in number, and the resulting holds."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from samphirerill.quarantine.records import EvidenceRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from samphirerill.quarantine.records import Crash

# Crashes until something is held, if it was the only suspect at the last.
MIN_CRASHES = 3
# Something at this many crashes is not evicted for the sake of others.
CERTAIN_CRASHES = 6
# Crashes of other endpoints within this time show how likely a coincidence is;
# beyond each of the two numbers, one more crash is needed as evidence.
_RECENT_S = 10.0
_FEW_OTHER_ENDPOINTS = 1
_SEVERAL_OTHER_ENDPOINTS = 5
# Reports of one crash arrive from all nodes within this time. Decided earlier,
# the first one reported would seem to have been the only suspect.
SETTLE_S = 0.1
# How long something is held after `MIN_CRASHES`; doubled with each further
# one. Then one run decides, as the engine may have been fixed.
_HOLD_S = 600.0
_MAX_HOLD_S = 7200.0
# Evidence is kept longer than the hold, to recognise what still crashes
# endpoints.
_RETENTION_FACTOR = 2.0


@dataclass(slots=True, frozen=True)
class HoldChange:
    """A change of a hold: held until `until`, or released if that is 0."""

    digest: bytes
    crashes: tuple[Crash, ...]
    until: float


@dataclass(slots=True, frozen=True)
class Hold:
    """Until when something is held, and the crashes that decided it.

    A request that holds the digest is affected only if it holds all
    `companions` as well, and is of the `account`, if there is one.
    """

    until: float
    crashes: tuple[Crash, ...]
    companions: frozenset[bytes] = frozenset()
    account: bytes = b''


class EvidenceStore:
    """Records of crashes, by digest.

    Parameters
    ----------
    max_records : int
        Beyond that, the oldest record with the least evidence is evicted.
    candidate_crashes : int
        Distinct crashes that make something a candidate for a hold.
    """

    __slots__ = (
        '_candidate_crashes',
        '_candidates',
        '_held',
        '_max_records',
        '_records',
    )

    def __init__(self, max_records: int, candidate_crashes: int) -> None:
        self._max_records = max_records
        self._candidate_crashes = candidate_crashes
        self._records: dict[bytes, EvidenceRecord] = {}
        self._candidates: set[bytes] = set()
        self._held: dict[bytes, Hold] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def note_crash(self, digest: bytes, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new evidence.

        Parameters
        ----------
        digest : bytes
            Digest of what a run had that had just started there.
        crash : Crash
            Which endpoint crashed, and when.
        now : float
            On the loop's clock.
        """
        if crash.at + _RETENTION_FACTOR * _MAX_HOLD_S < now:
            return False
        record = self._records.get(digest)
        if record is None:
            self._evict_record()
            record = EvidenceRecord()
            self._records[digest] = record
        if not record.add(crash):
            return False
        if len(record.list_distinct_crashes()) >= self._candidate_crashes:
            self._candidates.add(digest)
        return True

    def note_survival(self, digest: bytes, at: float) -> bool:
        """Record a survived run; return whether it cleared any crashes.

        Crashes before it are dropped from the record. Nothing is stored without
        a record.
        """
        record = self._records.get(digest)
        if record is None or not record.note_survival(at):
            return False
        if len(record.list_distinct_crashes()) < self._candidate_crashes:
            self._candidates.discard(digest)
        return True

    def find_hold_end(self, digest: bytes, now: float) -> float:
        """Return until when a digest is held; 0 if it is not."""
        hold = self._held.get(digest)
        if hold is None or hold.until <= now:
            return 0.0
        return hold.until

    def count_crashes(self, digest: bytes) -> int:
        """Return at how many distinct crashes a run with this was starting."""
        record = self._records.get(digest)
        return 0 if record is None else len(record.list_distinct_crashes())

    def list_held(self, now: float) -> list[bytes]:
        """Return the digests that are held."""
        return [
            digest for digest, hold in self._held.items() if hold.until > now
        ]

    def list_records(self) -> Iterator[tuple[bytes, EvidenceRecord]]:
        """Yield all records, those of held digests first."""
        for digest in self._held:
            yield digest, self._records[digest]
        for other in reversed(self._records):
            if other not in self._held:
                yield other, self._records[other]

    def get_record(self, digest: bytes) -> EvidenceRecord | None:
        """Return the record of a digest, or ``None``."""
        return self._records.get(digest)

    def drop_expired(self, now: float) -> None:
        """Drop expired records."""
        expired = [
            digest
            for digest, record in self._records.items()
            if _find_expiry(record) < now
        ]
        for digest in expired:
            self._drop(digest)

    def _list_settled(self, digest: bytes, now: float) -> list[Crash]:
        """Return the distinct crashes of which all reports have arrived."""
        cutoff = now - SETTLE_S
        return [
            crash
            for crash in self._records[digest].list_distinct_crashes()
            if crash.at <= cutoff
        ]

    def _count_coincidences(
        self, digest: bytes, until: float, explaining: Iterable[bytes] = ()
    ) -> int:
        """Return how many crashes may be coincidence.

        Endpoints that crash frequently for other reasons make it more likely
        that runs were just starting there.

        Parameters
        ----------
        digest : bytes
            Whose crashes may be coincidence.
        until : float
            The end of the time to look at, on the loop's clock.
        explaining : iterable of bytes
            Known causes of crashes; these are no other reasons.
        """
        own_endpoints = {
            crash.endpoint
            for known in (digest, *explaining)
            for crash in self._records[known].crashes
        }
        recent_endpoints = {
            crash.endpoint
            for record in self._records.values()
            for crash in record.crashes
            if until - _RECENT_S <= crash.at <= until
        }
        other_endpoint_count = len(recent_endpoints - own_endpoints)
        return (other_endpoint_count > _FEW_OTHER_ENDPOINTS) + (
            other_endpoint_count > _SEVERAL_OTHER_ENDPOINTS
        )

    def _list_changes(self, previous: dict[bytes, Hold]) -> list[HoldChange]:
        changes = []
        for digest, hold in self._held.items():
            if previous.get(digest) != hold:
                changes.append(HoldChange(digest, hold.crashes, hold.until))
        for released in previous.keys() - self._held.keys():
            crashes = previous[released].crashes
            changes.append(HoldChange(released, crashes, 0.0))
        return changes

    def _evict_record(self) -> None:
        """Evict the oldest record with the least evidence if there is no room.

        A client that sends many bodies must not evict the evidence against
        others: of a hundred requests that a crash interrupts, only one is the
        cause.
        """
        if len(self._records) < self._max_records:
            return
        for max_crashes in range(1, CERTAIN_CRASHES):
            evictable = (
                digest
                for digest, record in self._records.items()
                if len(record.crashes) <= max_crashes
                and digest not in self._held
            )
            found = list(islice(evictable, 1))
            if found:
                self._drop(found[0])
                return
        self._drop(next(iter(self._records)))

    def _drop(self, digest: bytes) -> None:
        self._records.pop(digest)
        self._candidates.discard(digest)
        self._held.pop(digest, None)


def find_hold_s(crashes: int) -> float:
    """Return how long to hold something after this many crashes, in s."""
    factor = 2 ** (crashes - MIN_CRASHES)
    return min(_MAX_HOLD_S, _HOLD_S * factor)


def _find_expiry(record: EvidenceRecord) -> float:
    """Return until when a record is kept."""
    if not record.crashes:
        return record.survived_at + _HOLD_S
    hold_s = find_hold_s(max(MIN_CRASHES, len(record.crashes)))
    return record.crashes[-1].at + _RETENTION_FACTOR * hold_s
