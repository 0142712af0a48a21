"""Decide which requests crash the endpoints that run them.

A crash interrupts up to a hundred requests. All of them are sent again, so the
next crash affects some of them too. A request that was just starting at two
crashes is a suspect, and should run where no other suspect does. If an endpoint
crashes with a single suspect, that is the cause; if the run continues, the
request is cleared. Where endpoints crash frequently for other reasons, more
evidence is required.

The decision is a function of the evidence, whatever its order: nodes with the
same evidence decide the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from samphirerill.quarantine.records import EvidenceRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.quarantine.records import Crash

# A run that has sent events for this long has survived: poison requests crash
# endpoints with their first tokens.
SURVIVAL_S = 0.5
# One crash is no evidence against any of the interrupted requests.
SUSPECT_CRASHES = 2
# Crashes until a request is held, if it was the only suspect at the last.
_MIN_CRASHES = 3
# A request at this many crashes is held whatever other suspects there were.
_CERTAIN_CRASHES = 6
# Crashes of other endpoints within this time show how likely a coincidence is;
# beyond each of the two numbers, the request must have been the only suspect
# once more.
_RECENT_S = 10.0
_FEW_OTHER_ENDPOINTS = 1
_SEVERAL_OTHER_ENDPOINTS = 5
# Reports of one crash arrive from all nodes within this time. Decided earlier,
# the first request reported would seem to have been the only suspect.
SETTLE_S = 0.1
# How long a request is held after `_MIN_CRASHES`; doubled with each further
# one. Then one run decides, as the engine may have been fixed.
_HOLD_S = 600.0
_MAX_HOLD_S = 7200.0
# Evidence is kept longer than the hold, to recognise a request that still
# crashes endpoints.
_RETENTION_FACTOR = 2.0
# A record takes about 0.5 KB.
MAX_RECORDS = 1024


@dataclass(slots=True, frozen=True)
class HoldChange:
    """A change of a hold: held until `until`, or released if that is 0."""

    request: bytes
    crashes: tuple[Crash, ...]
    until: float


@dataclass(slots=True, frozen=True)
class _Hold:
    """Until when a request is held, and the crashes that decided it."""

    until: float
    crashes: tuple[Crash, ...]


class Quarantine:
    """Evidence against requests, by their digests, and the resulting holds.

    Parameters
    ----------
    max_records : int
        Beyond that, the oldest record with the least evidence is evicted.
    """

    __slots__ = ('_held', '_candidates', '_max_records', '_records')

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: dict[bytes, EvidenceRecord] = {}
        # Requests with `_MIN_CRASHES`, whether or not they are held.
        self._candidates: set[bytes] = set()
        self._held: dict[bytes, _Hold] = {}

    def __len__(self) -> int:
        """Return the number of requests with a record."""
        return len(self._records)

    def note_crash(self, request: bytes, crash: Crash, now: float) -> bool:
        """Record a crash; return whether it is new evidence.

        Parameters
        ----------
        request : bytes
            Digest of a request whose run had just started there.
        crash : Crash
            Which endpoint crashed, and when.
        now : float
            On the loop's clock.
        """
        if crash.at + _RETENTION_FACTOR * _MAX_HOLD_S < now:
            return False
        record = self._records.get(request)
        if record is None:
            self._evict_record()
            record = EvidenceRecord()
            self._records[request] = record
        if not record.add(crash):
            return False
        if len(record.list_distinct_crashes()) >= _MIN_CRASHES:
            self._candidates.add(request)
        return True

    def note_survival(self, request: bytes, at: float) -> bool:
        """Record a survived run; return whether it cleared any crashes.

        Crashes before it are dropped from the request's record. Nothing is
        stored for requests without a record.
        """
        record = self._records.get(request)
        if record is None or not record.note_survival(at):
            return False
        if len(record.list_distinct_crashes()) < _MIN_CRASHES:
            self._candidates.discard(request)
        return True

    def update_holds(self, now: float) -> list[HoldChange]:
        """Update all holds from the evidence; return what has changed.

        Crashes of the last `SETTLE_S` are ignored, as reports of other requests
        that were running may still arrive.
        """
        previous = self._held
        self._held = {}
        cutoff = now - SETTLE_S
        for request in self._candidates:
            crashes = [
                crash
                for crash in self._records[request].list_distinct_crashes()
                if crash.at <= cutoff
            ]
            if self._is_culprit(request, crashes):
                until = crashes[-1].at + _find_hold_s(len(crashes))
                self._held[request] = _Hold(until, tuple(crashes))
        return list(self._list_changes(previous))

    def get_held_until(self, request: bytes, now: float) -> float:
        """Return until when a request is held; 0 if it may run."""
        hold = self._held.get(request)
        if hold is None or hold.until <= now:
            return 0.0
        return hold.until

    def count_crashes(self, request: bytes) -> int:
        """Return at how many distinct crashes a request was just starting."""
        record = self._records.get(request)
        return 0 if record is None else len(record.list_distinct_crashes())

    def list_records(self) -> Iterator[tuple[bytes, EvidenceRecord]]:
        """Yield all records, those of held requests first."""
        for request in self._held:
            yield request, self._records[request]
        for other in reversed(self._records):
            if other not in self._held:
                yield other, self._records[other]

    def get_record(self, request: bytes) -> EvidenceRecord | None:
        """Return the record of a request, or ``None``."""
        return self._records.get(request)

    def drop_expired(self, now: float) -> None:
        """Drop expired records."""
        expired = [
            request
            for request, record in self._records.items()
            if _find_expiry(record) < now
        ]
        for request in expired:
            self._drop(request)

    def _is_culprit(self, request: bytes, crashes: list[Crash]) -> bool:
        if len(crashes) < _MIN_CRASHES:
            return False
        if len(crashes) >= _CERTAIN_CRASHES:
            return True
        sole_suspect_count = sum(
            self._was_only_suspect(request, crash)
            for crash in crashes[SUSPECT_CRASHES:]
        )
        return sole_suspect_count >= self._count_required(
            request, crashes[-1].at
        )

    def _was_only_suspect(self, request: bytes, crash: Crash) -> bool:
        """Return whether no other suspect was just starting at a crash."""
        return not any(
            record.was_suspect(crash, SUSPECT_CRASHES)
            for other, record in self._records.items()
            if other != request
        )

    def _count_required(self, request: bytes, until: float) -> int:
        """Return how often a request must have been the only suspect."""
        own_endpoints = {
            crash.endpoint for crash in self._records[request].crashes
        }
        recent_endpoints = {
            crash.endpoint
            for record in self._records.values()
            for crash in record.crashes
            if until - _RECENT_S <= crash.at <= until
        }
        other_endpoint_count = len(recent_endpoints - own_endpoints)
        return (
            1
            + (other_endpoint_count > _FEW_OTHER_ENDPOINTS)
            + (other_endpoint_count > _SEVERAL_OTHER_ENDPOINTS)
        )

    def _list_changes(
        self, previous: dict[bytes, _Hold]
    ) -> Iterator[HoldChange]:
        for request, hold in self._held.items():
            previous_hold = previous.get(request)
            if previous_hold is None or previous_hold.until != hold.until:
                yield HoldChange(request, hold.crashes, hold.until)
        for request in previous.keys() - self._held.keys():
            yield HoldChange(request, previous[request].crashes, 0.0)

    def _evict_record(self) -> None:
        """Evict the oldest record with the least evidence if there is no room.

        A client that sends many bodies must not evict the evidence against
        others: of a hundred requests that a crash interrupts, only one is the
        cause.
        """
        if len(self._records) < self._max_records:
            return
        for max_crashes in range(1, _CERTAIN_CRASHES):
            evictable = (
                request
                for request, record in self._records.items()
                if len(record.crashes) <= max_crashes
                and request not in self._held
            )
            found = list(islice(evictable, 1))
            if found:
                self._drop(found[0])
                return
        self._drop(next(iter(self._records)))

    def _drop(self, request: bytes) -> None:
        self._records.pop(request)
        self._candidates.discard(request)
        self._held.pop(request, None)


def _find_hold_s(crashes: int) -> float:
    factor = 2 ** (crashes - _MIN_CRASHES)
    return min(_MAX_HOLD_S, _HOLD_S * factor)


def _find_expiry(record: EvidenceRecord) -> float:
    """Return until when a record is kept."""
    if not record.crashes:
        return record.survived_at + _HOLD_S
    hold_s = _find_hold_s(max(_MIN_CRASHES, len(record.crashes)))
    return record.crashes[-1].at + _RETENTION_FACTOR * hold_s
