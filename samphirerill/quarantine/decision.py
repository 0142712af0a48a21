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

from typing import TYPE_CHECKING

from samphirerill.quarantine.evidence_store import (
    CERTAIN_CRASHES,
    MIN_CRASHES,
    SETTLE_S,
    EvidenceStore,
    Hold,
    HoldChange,
    find_hold_s,
)
from samphirerill.quarantine.parts import PartQuarantine

if TYPE_CHECKING:
    from samphirerill.quarantine.records import Crash

# A run that has sent events for this long has survived: poison requests crash
# endpoints with their first tokens.
SURVIVAL_S = 0.5
# One crash is no evidence against any of the interrupted requests.
SUSPECT_CRASHES = 2
# A record takes about 0.5 KB.
MAX_RECORDS = 1024

__all__ = (
    'MAX_RECORDS',
    'SETTLE_S',
    'SURVIVAL_S',
    'SUSPECT_CRASHES',
    'HoldChange',
    'Quarantine',
)


class Quarantine(EvidenceStore):
    """Evidence against requests, by their digests, and the resulting holds.

    Parameters
    ----------
    max_records : int
        Beyond that, the oldest record with the least evidence is evicted.

    Attributes
    ----------
    parts : PartQuarantine
        Evidence against parts of prompts, which several requests share.
    """

    __slots__ = ('parts',)

    def __init__(self, max_records: int = MAX_RECORDS) -> None:
        super().__init__(max_records, MIN_CRASHES)
        self.parts = PartQuarantine()

    def update_holds(self, now: float) -> list[HoldChange]:
        """Update all holds from the evidence; return what has changed.

        Crashes of the last `SETTLE_S` are ignored, as reports of other requests
        that were running may still arrive.
        """
        previous = self._held
        self._held = {}
        for request in self._candidates:
            crashes = self._list_settled(request, now)
            if self._is_culprit(request, crashes):
                until = crashes[-1].at + find_hold_s(len(crashes))
                self._held[request] = Hold(until, tuple(crashes))
        return self._list_changes(previous)

    def get_held_until(self, request: bytes, now: float) -> float:
        """Return until when a request is held; 0 if it may run."""
        return self.find_hold_end(request, now)

    def list_suspects(self) -> list[tuple[bytes, list[Crash]]]:
        """Return the suspected requests, each with its distinct crashes."""
        return [
            (request, record.list_distinct_crashes())
            for request, record in self._records.items()
            if len(record.crashes) >= SUSPECT_CRASHES
        ]

    def _is_culprit(self, request: bytes, crashes: list[Crash]) -> bool:
        if len(crashes) < MIN_CRASHES:
            return False
        if len(crashes) >= CERTAIN_CRASHES:
            return True
        sole_suspect_count = sum(
            self._was_only_suspect(request, crash)
            for crash in crashes[SUSPECT_CRASHES:]
        )
        coincidences = self._count_coincidences(request, crashes[-1].at)
        return sole_suspect_count > coincidences

    def _was_only_suspect(self, request: bytes, crash: Crash) -> bool:
        """Return whether no other suspect was just starting at a crash."""
        return not any(
            record.was_suspect(crash, SUSPECT_CRASHES)
            for other, record in self._records.items()
            if other != request
        )
