"""Fair queueing between client accounts and priorities.

Each model or plain-service route has one queue. High priority is served first,
but every ``NORMAL_INTERVAL``-th dequeue serves a normal-priority request if
one waits, so that normal priority does not starve. Within a priority, client
accounts share by start-time fair queueing: the account with the lowest start
tag is served next, and its tag then advances by the request's estimated tokens
divided by the account's weight. A long queue of one account therefore delays
only that account.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from samphirerill.core.configuration import HIGH, NORMAL

NORMAL_INTERVAL = 6
_INTERVAL_SMOOTHING = 0.1


@dataclass(slots=True)
class QueueEntry:
    """One queued request; `cost` is estimated tokens over weight."""

    request_id: str
    account: str
    priority: str
    cost: float


@dataclass(slots=True)
class _PriorityClass:
    """The queued requests of one priority, by account.

    `start_tags` holds the start tag of each account's next request;
    `virtual_time` is the start tag of the last request that was dequeued.
    """

    queues: dict[str, deque[QueueEntry]] = field(default_factory=dict)
    start_tags: dict[str, float] = field(default_factory=dict)
    virtual_time: float = 0

    def size(self) -> int:
        return sum(len(queue) for queue in self.queues.values())


class FairQueue:
    """The requests queued for one model or plain-service route."""

    __slots__ = (
        '_classes',
        '_high_streak',
        'dequeue_interval_s',
        'last_dequeue_at',
    )

    def __init__(self) -> None:
        self._classes = {HIGH: _PriorityClass(), NORMAL: _PriorityClass()}
        self._high_streak = 0
        self.last_dequeue_at = 0.0
        self.dequeue_interval_s = 0.0

    def size(self) -> int:
        """Return the number of queued requests."""
        return sum(
            priority_class.size() for priority_class in self._classes.values()
        )

    def estimate_ahead(self, account: str, priority: str) -> int:
        """Estimate how many dequeues precede a new request of an account.

        Accounts take turns, so each other account counts at most once for
        every request of this account, however long its queue is.
        """
        queues = self._classes[priority].queues
        own = len(queues.get(account, ()))
        same_priority = sum(
            min(len(queue), own + 1) for queue in queues.values()
        )
        if priority == HIGH:
            return same_priority
        high_priority = self._classes[HIGH].size()
        return same_priority + min(
            high_priority, (same_priority + 1) * (NORMAL_INTERVAL - 1)
        )

    def add(self, entry: QueueEntry, *, at_front: bool = False) -> None:
        """Queue a request; `at_front` is for one that already ran."""
        priority_class = self._classes[entry.priority]
        queue = priority_class.queues.setdefault(entry.account, deque())
        if not queue:
            start_tag = priority_class.start_tags.get(entry.account, 0)
            priority_class.start_tags[entry.account] = max(
                start_tag, priority_class.virtual_time
            )
        if at_front:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def remove(self, request_id: str, account: str, priority: str) -> bool:
        """Remove a request that ended while it was queued."""
        queue = self._classes[priority].queues.get(account, deque())
        for entry in queue:
            if entry.request_id == request_id:
                queue.remove(entry)
                self._remove_if_idle(self._classes[priority], account)
                return True
        return False

    def candidates(self) -> list[QueueEntry]:
        """Return the first request of each account, next to run first."""
        order = [HIGH, NORMAL]
        if self._high_streak >= NORMAL_INTERVAL - 1:
            order.reverse()
        return [entry for name in order for entry in self._list_heads(name)]

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Remove a candidate that is about to run and charge its account."""
        priority_class = self._classes[entry.priority]
        priority_class.queues[entry.account].popleft()
        priority_class.virtual_time = max(
            priority_class.virtual_time,
            priority_class.start_tags[entry.account],
        )
        priority_class.start_tags[entry.account] += entry.cost
        self._remove_if_idle(priority_class, entry.account)
        self._count_streak(entry.priority)
        self._update_interval(now)

    def _list_heads(self, priority: str) -> list[QueueEntry]:
        priority_class = self._classes[priority]
        accounts = sorted(
            priority_class.queues, key=priority_class.start_tags.__getitem__
        )
        return [priority_class.queues[name][0] for name in accounts]

    def _count_streak(self, priority: str) -> None:
        self._high_streak = self._high_streak + 1 if priority == HIGH else 0

    def _update_interval(self, now: float) -> None:
        if self.last_dequeue_at and self.size():
            interval_s = now - self.last_dequeue_at
            self.dequeue_interval_s += _INTERVAL_SMOOTHING * (
                interval_s - self.dequeue_interval_s
            )
        self.last_dequeue_at = now

    def _remove_if_idle(
        self, priority_class: _PriorityClass, account: str
    ) -> None:
        """Remove an account without queued requests.

        Otherwise every account ever seen would stay in every queue. A start
        tag ahead of the virtual time is kept: without it, an account could
        reset its tag by emptying its queue.
        """
        if not priority_class.queues[account]:
            priority_class.queues.pop(account)
            if (
                priority_class.start_tags[account]
                <= priority_class.virtual_time
            ):
                priority_class.start_tags.pop(account)
