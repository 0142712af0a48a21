"""Decide which requests end the endpoints that run them.

An endpoint that ends breaks off all that it runs, up to a hundred requests, and
all of them are sent again; the next endpoint that ends has some of them too. Who saw
two ends as it began to run is a suspect, and should run where no other suspect
does. If an endpoint ends with one suspect aboard, that is the one; if it goes on,
the suspect is none any more. Where endpoints end all the time for other reasons,
once may be chance, and more is asked for. The decision follows from the evidence
alone, in whatever order it came: nodes that know the same decide the same.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from samphirerill.quarantine.records import Record

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.quarantine.records import Death

# A run that has sent events for so long has begun, and its endpoint lives: a request
# that ends endpoints does so with its first tokens.
BEGINNING_S = 0.5
# One end may be anybody's; with two, a request runs where it harms few others.
SUSPECT_DEATHS = 2
# The third end decides, if there was no other suspect.
_MIN_CRASHES = 3
# Nobody is aboard so often by chance, whoever else was.
_CERTAIN_CRASHES = 6
# Ends of this long ago that a request did not see tell how many it may see by
# chance: with more than a few, it must have been the only suspect more than once.
_RECENT_S = 10.0
_FEW_OTHER_ENDPOINTS = 1
_SEVERAL_OTHER_ENDPOINTS = 5
# Those that were broken off together are heard of within this time, from all nodes;
# judged sooner, whoever is heard of first would seem to have been there alone.
SETTLE_S = 0.1
# How long a request is held back after its third end; doubled with each more. Then
# one run decides: an engine may have been mended.
_HOLD_S = 600.0
_MAX_HOLD_S = 7200.0
# Evidence outlasts the hold, so that a request that goes on as before is known.
_RETENTION_FACTOR = 2.0
# At about 0.5 KB each.
MAX_RECORDS = 1024


@dataclass(slots=True, frozen=True)
class News:
    """A request is held back until `until`, or not any more if that is 0."""

    request: bytes
    deaths: tuple[Death, ...]
    until: float


@dataclass(slots=True, frozen=True)
class _Hold:
    """Until when a request is held back, and the ends that decided it."""

    until: float
    deaths: tuple[Death, ...]


class Quarantine:
    """What is known against requests, by their digests.

    Parameters
    ----------
    most_records : int
        The oldest of the least evidence are forgotten beyond that.
    """

    __slots__ = ('_held', '_candidates', '_max_records', '_records')

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        self._max_records = max_records
        self._records: dict[bytes, Record] = {}
        # Requests with enough ends, whoever else was there.
        self._candidates: set[bytes] = set()
        self._held: dict[bytes, _Hold] = {}

    def __len__(self) -> int:
        """Return of how many requests something is known."""
        return len(self._records)

    def note_death(self, request: bytes, death: Death, now: float) -> bool:
        """Take an end; return whether it is news.

        Parameters
        ----------
        request : bytes
            The digest of a request whose run had just begun there.
        death : Death
            Which endpoint, and when.
        now : float
            On the loop's clock.
        """
        if death.at + _RETENTION_FACTOR * _MAX_HOLD_S < now:
            return False
        record = self._records.get(request)
        if record is None:
            self._evict_record()
            record = Record()
            self._records[request] = record
        if not record.add(death):
            return False
        if len(record.list_distinct_crashes()) >= _MIN_CRASHES:
            self._candidates.add(request)
        return True

    def note_survival(self, request: bytes, at: float) -> bool:
        """A run went on beyond its beginning; return whether that is news.

        Only what is known of a request can be refuted; of others nothing is
        kept.
        """
        record = self._records.get(request)
        if record is None or not record.note_survival(at):
            return False
        if len(record.list_distinct_crashes()) < _MIN_CRASHES:
            self._candidates.discard(request)
        return True

    def judge(self, now: float) -> list[News]:
        """Decide anew who is held back; return what has changed.

        Ends of the last `SETTLE_S` don't count yet: who else was there may
        still be on its way.
        """
        before = self._held
        self._held = {}
        settled = now - SETTLE_S
        for request in self._candidates:
            crashes = [
                death
                for death in self._records[request].list_distinct_crashes()
                if death.at <= settled
            ]
            if self._is_culprit(request, crashes):
                until = crashes[-1].at + _find_hold_s(len(crashes))
                self._held[request] = _Hold(until, tuple(crashes))
        return list(self._list_changes(before))

    def find_held_until(self, request: bytes, now: float) -> float:
        """Return until when a request is held back; 0 if it may run."""
        hold = self._held.get(request)
        if hold is None or hold.until <= now:
            return 0.0
        return hold.until

    def count_deaths(self, request: bytes) -> int:
        """Return at how many moments a request saw an endpoint end."""
        record = self._records.get(request)
        return 0 if record is None else len(record.list_distinct_crashes())

    def list_records(self) -> Iterator[tuple[bytes, Record]]:
        """Yield what is known, requests that are held back first."""
        for request in self._held:
            yield request, self._records[request]
        for other in reversed(self._records):
            if other not in self._held:
                yield other, self._records[other]

    def get_record(self, request: bytes) -> Record | None:
        """Return what is known of a request, if anything."""
        return self._records.get(request)

    def forget(self, now: float) -> None:
        """Drop what is too old to matter."""
        expired = [
            request
            for request, record in self._records.items()
            if _find_expiry(record) < now
        ]
        for request in expired:
            self._drop(request)

    def _is_culprit(self, request: bytes, crashes: list[Death]) -> bool:
        if len(crashes) < _MIN_CRASHES:
            return False
        if len(crashes) >= _CERTAIN_CRASHES:
            return True
        sole_suspect_count = sum(
            self._was_only_suspect(request, death)
            for death in crashes[SUSPECT_DEATHS:]
        )
        return sole_suspect_count >= self._count_required(
            request, crashes[-1].at
        )

    def _was_only_suspect(self, request: bytes, death: Death) -> bool:
        """Return whether no other suspect saw an end."""
        return not any(
            record.was_suspect(death, SUSPECT_DEATHS)
            for other, record in self._records.items()
            if other != request
        )

    def _count_required(self, request: bytes, until: float) -> int:
        """Return how often a request must have been the only suspect."""
        own = {death.endpoint for death in self._records[request].deaths}
        elsewhere = {
            death.endpoint
            for record in self._records.values()
            for death in record.deaths
            if until - _RECENT_S <= death.at <= until
        }
        unseen = len(elsewhere - own)
        return (
            1
            + (unseen > _FEW_OTHER_ENDPOINTS)
            + (unseen > _SEVERAL_OTHER_ENDPOINTS)
        )

    def _list_changes(self, before: dict[bytes, _Hold]) -> Iterator[News]:
        for request, hold in self._held.items():
            known = before.get(request)
            if known is None or known.until != hold.until:
                yield News(request, hold.deaths, hold.until)
        for request in before.keys() - self._held.keys():
            yield News(request, before[request].deaths, 0.0)

    def _evict_record(self) -> None:
        """Forget the oldest request of the least evidence, if need be.

        Whoever sends many bodies must not push out what is known of others:
        of a hundred that an endpoint's end breaks off, one is guilty.
        """
        if len(self._records) < self._max_records:
            return
        for max_crashes in range(1, _CERTAIN_CRASHES):
            evictable = (
                request
                for request, record in self._records.items()
                if len(record.deaths) <= max_crashes
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


def _find_hold_s(deaths: int) -> float:
    factor = 2 ** (deaths - _MIN_CRASHES)
    return min(_MAX_HOLD_S, _HOLD_S * factor)


def _find_expiry(record: Record) -> float:
    """Return until when a record is kept."""
    if not record.deaths:
        return record.survived_at + _HOLD_S
    hold_s = _find_hold_s(max(_MIN_CRASHES, len(record.deaths)))
    return record.deaths[-1].at + _RETENTION_FACTOR * hold_s
