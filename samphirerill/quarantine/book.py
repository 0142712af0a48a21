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
_ENOUGH_DEATHS = 3
# Nobody is aboard so often by chance, whoever else was.
_BEYOND_DOUBT = 6
# Ends of this long ago that a request did not see tell how many it may see by
# chance: with more than a few, it must have been the only suspect more than once.
_LATELY_S = 10.0
_FEW_ELSEWHERE = 1
_SOME_ELSEWHERE = 5
# Those that were broken off together are heard of within this time, from all nodes;
# judged sooner, whoever is heard of first would seem to have been there alone.
SETTLE_S = 0.1
# How long a request is held back after its third end; doubled with each more. Then
# one run decides: an engine may have been mended.
_HOLD_S = 600.0
_MOST_HOLD_S = 7200.0
# Evidence outlasts the hold, so that a request that goes on as before is known.
_KEPT = 2.0
# At about 0.5 KB each.
MOST_RECORDS = 1024


@dataclass(slots=True, frozen=True)
class News:
    """A request is held back until `until`, or not any more if that is 0."""

    request: bytes
    deaths: tuple[Death, ...]
    until: float


@dataclass(slots=True, frozen=True)
class _Verdict:
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

    __slots__ = ('_held', '_heavy', '_most', '_records')

    def __init__(self, most_records: int = MOST_RECORDS) -> None:
        self._most = most_records
        self._records: dict[bytes, Record] = {}
        # Requests with enough ends, whoever else was there.
        self._heavy: set[bytes] = set()
        self._held: dict[bytes, _Verdict] = {}

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
        if death.at + _KEPT * _MOST_HOLD_S < now:
            return False
        record = self._records.get(request)
        if record is None:
            self._make_room()
            record = Record()
            self._records[request] = record
        if not record.add(death):
            return False
        if len(record.list_moments()) >= _ENOUGH_DEATHS:
            self._heavy.add(request)
        return True

    def note_survival(self, request: bytes, at: float) -> bool:
        """A run went on beyond its beginning; return whether that is news.

        Only what is known of a request can be refuted; of others nothing is
        kept.
        """
        record = self._records.get(request)
        if record is None or not record.note_survival(at):
            return False
        if len(record.list_moments()) < _ENOUGH_DEATHS:
            self._heavy.discard(request)
        return True

    def judge(self, now: float) -> list[News]:
        """Decide anew who is held back; return what has changed.

        Ends of the last `SETTLE_S` don't count yet: who else was there may
        still be on its way.
        """
        before = self._held
        self._held = {}
        settled = now - SETTLE_S
        for request in self._heavy:
            moments = [
                death
                for death in self._records[request].list_moments()
                if death.at <= settled
            ]
            if self._is_guilty(request, moments):
                until = moments[-1].at + _find_hold_s(len(moments))
                self._held[request] = _Verdict(until, tuple(moments))
        return list(self._list_changes(before))

    def find_held_until(self, request: bytes, now: float) -> float:
        """Return until when a request is held back; 0 if it may run."""
        verdict = self._held.get(request)
        if verdict is None or verdict.until <= now:
            return 0.0
        return verdict.until

    def count_deaths(self, request: bytes) -> int:
        """Return at how many moments a request saw an endpoint end."""
        record = self._records.get(request)
        return 0 if record is None else len(record.list_moments())

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
        old = [
            request
            for request, record in self._records.items()
            if _find_kept_until(record) < now
        ]
        for request in old:
            self._drop(request)

    def _is_guilty(self, request: bytes, moments: list[Death]) -> bool:
        if len(moments) < _ENOUGH_DEATHS:
            return False
        if len(moments) >= _BEYOND_DOUBT:
            return True
        alone = sum(
            self._was_alone(request, death)
            for death in moments[SUSPECT_DEATHS:]
        )
        return alone >= self._count_needed(request, moments[-1].at)

    def _was_alone(self, request: bytes, death: Death) -> bool:
        """Return whether no other suspect saw an end."""
        return not any(
            record.was_suspect(death, SUSPECT_DEATHS)
            for other, record in self._records.items()
            if other != request
        )

    def _count_needed(self, request: bytes, until: float) -> int:
        """Return how often a request must have been the only suspect."""
        own = {death.endpoint for death in self._records[request].deaths}
        elsewhere = {
            death.endpoint
            for record in self._records.values()
            for death in record.deaths
            if until - _LATELY_S <= death.at <= until
        }
        missed = len(elsewhere - own)
        return 1 + (missed > _FEW_ELSEWHERE) + (missed > _SOME_ELSEWHERE)

    def _list_changes(self, before: dict[bytes, _Verdict]) -> Iterator[News]:
        for request, verdict in self._held.items():
            known = before.get(request)
            if known is None or known.until != verdict.until:
                yield News(request, verdict.deaths, verdict.until)
        for request in before.keys() - self._held.keys():
            yield News(request, before[request].deaths, 0.0)

    def _make_room(self) -> None:
        """Forget the oldest request of the least evidence, if need be.

        Whoever sends many bodies must not push out what is known of others:
        of a hundred that an endpoint's end breaks off, one is guilty.
        """
        if len(self._records) < self._most:
            return
        for most_deaths in range(1, _BEYOND_DOUBT):
            weak = (
                request
                for request, record in self._records.items()
                if len(record.deaths) <= most_deaths
                and request not in self._held
            )
            found = list(islice(weak, 1))
            if found:
                self._drop(found[0])
                return
        self._drop(next(iter(self._records)))

    def _drop(self, request: bytes) -> None:
        self._records.pop(request)
        self._heavy.discard(request)
        self._held.pop(request, None)


def _find_hold_s(deaths: int) -> float:
    doubled = 2 ** (deaths - _ENOUGH_DEATHS)
    return min(_MOST_HOLD_S, _HOLD_S * doubled)


def _find_kept_until(record: Record) -> float:
    """Return until when a record is kept."""
    if not record.deaths:
        return record.survived_at + _HOLD_S
    hold_s = _find_hold_s(max(_ENOUGH_DEATHS, len(record.deaths)))
    return record.deaths[-1].at + _KEPT * hold_s
