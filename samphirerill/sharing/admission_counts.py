"""Counts of the admissions and rejections in one group of requests."""

from __future__ import annotations

import re
from collections import Counter
from typing import Any

from samphirerill.sharing.wait_histogram import WaitHistogram

OTHER = 'other'
# More than the code has; bounds the counts if reasons contain names.
_MAX_REASONS = 16
_NUMBER = re.compile(r'[^A-Za-z]*\d')


class AdmissionCounts:
    """What was decided about requests, and how long they waited.

    Attributes
    ----------
    admitted : int
        How many requests were admitted.
    admitted_room : float
        The room of the admitted requests, in tokens or slots.
    rejected : Counter of str
        How many requests were rejected, by reason.
    predicted, waited : WaitHistogram
        The predicted and the actual wait of the admitted requests.
    retry : WaitHistogram
        The retry times given to the rejected requests.
    """

    __slots__ = (
        'admitted',
        'admitted_room',
        'predicted',
        'rejected',
        'retry',
        'waited',
    )

    def __init__(self) -> None:
        self.admitted = 0
        self.admitted_room = 0.0
        self.rejected: Counter[str] = Counter()
        self.predicted = WaitHistogram()
        self.retry = WaitHistogram()
        self.waited = WaitHistogram()

    def add_admitted(
        self, room: float, predicted_s: float, waited_s: float
    ) -> None:
        """Count an admitted request."""
        self.admitted += 1
        self.admitted_room += room
        self.predicted.add(predicted_s)
        self.waited.add(waited_s)

    def add_rejected(self, reason: str, retry_s: float) -> None:
        """Count a request that may be repeated after `retry_s` seconds."""
        self._count_reason(_find_kind(reason), 1)
        self.retry.add(retry_s)

    def merge(self, other: AdmissionCounts) -> None:
        """Add the counts of another group."""
        self.admitted += other.admitted
        self.admitted_room += other.admitted_room
        for reason, number in other.rejected.items():
            self._count_reason(reason, number)
        self.predicted.merge(other.predicted)
        self.retry.merge(other.retry)
        self.waited.merge(other.waited)

    def describe(self) -> dict[str, Any]:
        """Return the counts for the state page."""
        return {
            'admitted': self.admitted,
            'admitted_room': round(self.admitted_room, 1),
            'rejected': dict(self.rejected),
            'predicted': self.predicted.describe(),
            'waited': self.waited.describe(),
            'retry': self.retry.describe(),
        }

    def _count_reason(self, reason: str, number: int) -> None:
        if reason not in self.rejected and len(self.rejected) >= _MAX_REASONS:
            reason = OTHER
        self.rejected[reason] += number


def _find_kind(reason: str) -> str:
    """Return a reason up to its first number, which differs by request."""
    return _NUMBER.split(reason, maxsplit=1)[0]
