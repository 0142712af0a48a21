"""The queues of the core, one for each model or plain-service route.

The order between priorities and accounts is that of ``sharing.fair_queue``: high
priority is served first, but every ``NORMAL_INTERVAL``-th dequeue serves a
normal-priority request if one waits, so that normal priority does not starve.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf

from samphirerill.core.configuration import HIGH, NORMAL
from samphirerill.sharing import fair_queue
from samphirerill.sharing.model import WorkItem

NORMAL_INTERVAL = 6
_INTERVAL_SMOOTHING = 0.1
_RANKS = {HIGH: 0, NORMAL: 1}


@dataclass(slots=True)
class QueueEntry:
    """One queued request; `cost` is estimated tokens over weight."""

    request_id: str
    account: str
    priority: str
    cost: float
    work: WorkItem = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        # The core refuses on arrival what would start too late, so that the
        # queue makes no difference between timely and late requests.
        self.work = WorkItem(
            _RANKS[self.priority], self.account, self.cost, inf, inf
        )


class FairQueue:
    """The requests queued for one model or plain-service route."""

    __slots__ = ('_queue', 'dequeue_interval_s', 'last_dequeue_at')

    def __init__(self) -> None:
        self._queue: fair_queue.FairQueue[QueueEntry] = fair_queue.FairQueue(
            NORMAL_INTERVAL, _RANKS.values()
        )
        self.last_dequeue_at = 0.0
        self.dequeue_interval_s = 0.0

    def size(self) -> int:
        """Return the number of queued requests."""
        return self._queue.size()

    def estimate_ahead(self, account: str, priority: str) -> int:
        """Estimate how many dequeues precede a new request of an account."""
        return self._queue.estimate_ahead(account, _RANKS[priority])

    def add(self, entry: QueueEntry, *, at_front: bool = False) -> None:
        """Queue a request; `at_front` is for one that already ran."""
        self._queue.add(entry, at_front=at_front)

    def remove(self, request_id: str, account: str, priority: str) -> bool:
        """Remove a request that ended while it was queued."""
        return self._queue.remove(request_id, account, _RANKS[priority])

    def candidates(self) -> list[QueueEntry]:
        """Return the first request of each account, next to run first."""
        return self._queue.list_candidates(now=0)

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Remove a candidate that is about to run and charge its account."""
        self._queue.dequeue(entry)
        self._update_interval(now)

    def _update_interval(self, now: float) -> None:
        if self.last_dequeue_at and self.size():
            interval_s = now - self.last_dequeue_at
            self.dequeue_interval_s += _INTERVAL_SMOOTHING * (
                interval_s - self.dequeue_interval_s
            )
        self.last_dequeue_at = now
