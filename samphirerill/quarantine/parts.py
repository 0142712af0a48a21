"""Decide which prompt parts crash the endpoints that run requests with them.

Requests share parts of their prompts. A part that crashes endpoints is at the
start of each run that a crash interrupts, whatever else the request holds, and
no run with it survives. So each crash counts against all parts of the runs that
had just started there, and each run that survives clears its parts: group
testing, where sound requests clear the parts that they share.

A part is held if it was at enough crashes that no likelier suspect explains:
another part, or a request that crashes endpoints by itself. Parts that were at
the same crashes cannot be told apart; then only requests with all of them are
held, until a run with some of them survives.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.quarantine.crash_index import CrashIndex
from samphirerill.quarantine.evidence_store import (
    MIN_CRASHES,
    EvidenceStore,
    Hold,
    HoldChange,
    find_hold_s,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from samphirerill.quarantine.identity import RequestParts
    from samphirerill.quarantine.records import Crash

_SUSPECT_CRASHES = 2
# The crashes must lie this far apart. When a fleet loses power, all of them come
# at once, and no run is left that would clear a part.
_MIN_SPREAD_S = 0.3
# A crash interrupts up to a hundred runs with some parts each.
MAX_PART_RECORDS = 4096


class PartQuarantine(EvidenceStore):
    """Evidence against prompt parts, by their digests, and their holds.

    A part of which the crashes come from one client account is held for that
    account only: another account's requests must not be rejected because of
    parts that one account has named.

    Parameters
    ----------
    max_records : int
        Beyond that, the oldest record with the least evidence is evicted.
    """

    __slots__ = ('_adopted', '_suspects')

    def __init__(self, max_records: int = MAX_PART_RECORDS) -> None:
        super().__init__(max_records, _SUSPECT_CRASHES)
        self._suspects: dict[bytes, Hold] = {}
        # Parts that other nodes hold, until the next update.
        self._adopted: set[bytes] = set()

    def is_proven(self, part: bytes) -> bool:
        """Return whether only a survived run ends the hold of a part."""
        hold = self._held.get(part)
        return hold is not None and not hold.companions

    def adopt_hold(self, part: bytes) -> bool:
        """Hold a part that another node holds; return whether that is new.

        Its evidence may be incomplete here, after a start for example.
        """
        if self.is_proven(part) or part in self._adopted:
            return False
        self._adopted.add(part)
        return True

    def update_holds(
        self, now: float, requests: Iterable[tuple[bytes, list[Crash]]]
    ) -> list[HoldChange]:
        """Update holds and suspects from the evidence; return changed holds.

        Parameters
        ----------
        now : float
            On the loop's clock.
        requests : iterable of (bytes, list of Crash)
            Suspected requests with their crashes, which say nothing about their
            parts.
        """
        previous = self._held
        self._held = self._list_proven(previous)
        self._suspects = dict(self._held)
        index = CrashIndex()
        for held in self._held:
            index.explain(self._records[held].crashes)
        suspects = [
            part
            for part in self._candidates - self._held.keys()
            if index.add(part, self._list_settled(part, now))
        ]
        for request, crashes in requests:
            index.add(request, crashes)
        for suspect in suspects:
            self._judge(suspect, index)
        return self._list_changes(previous)

    def get_held_until(self, parts: RequestParts, now: float) -> float:
        """Return until when a request is held for its parts; 0 if it may run."""
        ends = (hold.until for _, hold in self._list_applying(parts, now))
        return max(ends, default=0.0)

    def find_held_part(self, parts: RequestParts, now: float) -> bytes | None:
        """Return a part for which a request is held, or ``None``."""
        applying = (digest for digest, _ in self._list_applying(parts, now))
        return next(applying, None)

    def is_suspect(self, parts: RequestParts) -> bool:
        """Return whether a part of a request may crash endpoints."""
        return any(
            digest in self._suspects
            and _applies_to(self._suspects[digest], parts)
            for digest in parts.digests
        )

    def _list_applying(
        self, parts: RequestParts, now: float
    ) -> Iterator[tuple[bytes, Hold]]:
        """Yield the held parts that affect a request, each with its hold."""
        for digest in parts.digests:
            hold = self._held.get(digest)
            is_held = hold is not None and hold.until > now
            if hold is not None and is_held and _applies_to(hold, parts):
                yield digest, hold

    def _list_proven(self, previous: dict[bytes, Hold]) -> dict[bytes, Hold]:
        """Return the holds that only a survived run ends, brought up to date.

        Others come to have as many crashes when their requests are sent again,
        and would seem to explain those of a part that is held.
        """
        proven = {
            part for part, hold in previous.items() if not hold.companions
        }
        proven |= self._adopted
        self._adopted.clear()
        return {
            part: _build_hold(record.list_distinct_crashes(), frozenset())
            for part in proven
            if (record := self._records.get(part)) is not None
            and record.crashes
        }

    def _judge(self, part: bytes, index: CrashIndex) -> None:
        """Suspect or hold a part if other suspects do not explain its crashes."""
        crashes = index.list_crashes(part)
        companions: frozenset[bytes] = frozenset()
        unexplained = index.count_unexplained(part, companions)
        if unexplained < _SUSPECT_CRASHES:
            companions = index.find_companions(part)
            unexplained = index.count_unexplained(part, companions)
        if unexplained < _SUSPECT_CRASHES:
            return
        hold = _build_hold(crashes, companions)
        self._suspects[part] = hold
        proven = filter(self.is_proven, self._held)
        coincidences = self._count_coincidences(part, crashes[-1].at, proven)
        required = MIN_CRASHES + coincidences
        if unexplained >= required and _are_spread(crashes):
            self._held[part] = hold


def _build_hold(crashes: list[Crash], companions: frozenset[bytes]) -> Hold:
    return Hold(
        crashes[-1].at + find_hold_s(max(MIN_CRASHES, len(crashes))),
        tuple(crashes),
        companions,
        _find_account(crashes),
    )


def _are_spread(crashes: list[Crash]) -> bool:
    return crashes[-1].at - crashes[0].at >= _MIN_SPREAD_S


def _find_account(crashes: list[Crash]) -> bytes:
    """Return the only client account of the crashes; empty if there are more."""
    accounts = {crash.account for crash in crashes}
    return accounts.pop() if len(accounts) == 1 else b''


def _applies_to(hold: Hold, parts: RequestParts) -> bool:
    return hold.companions <= parts.digests and hold.account in {
        b'',
        parts.account,
    }
