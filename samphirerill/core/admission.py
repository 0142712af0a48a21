"""Queues that are fair between client accounts and priorities.

One pool stands before each model or plain-service route. Inside a pool, high
priority goes first, but every ``NORMAL_EVERY``-th pick goes to normal work if
any waits, so that normal work never starves. Inside a priority, client
accounts share by start-time fair queueing: each account has a virtual clock
that advances by the estimated tokens it asked for over its weight, and the
account with the lowest clock goes next. A large account thus gets behind only
itself.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from samphirerill.core.model import HIGH, NORMAL

NORMAL_EVERY = 6
_RATE_SMOOTHING = 0.1


@dataclass(slots=True)
class Ticket:
    """One waiting request; `cost` is estimated tokens over weight."""

    request_id: str
    account: str
    priority: str
    cost: float


@dataclass(slots=True)
class _Class:
    """The waiting requests of one priority."""

    queues: dict[str, deque[Ticket]] = field(default_factory=dict)
    clocks: dict[str, float] = field(default_factory=dict)
    virtual: float = 0

    def size(self) -> int:
        return sum(len(queue) for queue in self.queues.values())


class Pool:
    """The requests that wait for one model or one plain-service route."""

    __slots__ = ('_classes', '_high_streak', 'last_pick', 'pick_gap_s')

    def __init__(self) -> None:
        self._classes = {HIGH: _Class(), NORMAL: _Class()}
        self._high_streak = 0
        self.last_pick = 0.0
        self.pick_gap_s = 0.0

    def size(self) -> int:
        """Return how many requests wait."""
        return sum(kind.size() for kind in self._classes.values())

    def ahead_of(self, account: str, priority: str) -> int:
        """Estimate how many picks come before a new request of an account.

        Every other account gets a turn for each of this account's own, so a
        deep queue of one account does not count against the others.
        """
        waiting = self._classes[priority].queues
        own = len(waiting.get(account, ()))
        same = sum(min(len(queue), own + 1) for queue in waiting.values())
        if priority == HIGH:
            return same
        high = self._classes[HIGH].size()
        return same + min(high, (same + 1) * (NORMAL_EVERY - 1))

    def add(self, ticket: Ticket, *, in_front: bool = False) -> None:
        """Let a request wait; `in_front` is for work that has started."""
        kind = self._classes[ticket.priority]
        queue = kind.queues.setdefault(ticket.account, deque())
        if not queue:
            clock = kind.clocks.get(ticket.account, 0)
            kind.clocks[ticket.account] = max(clock, kind.virtual)
        if in_front:
            queue.appendleft(ticket)
        else:
            queue.append(ticket)

    def remove(self, request_id: str, account: str, priority: str) -> bool:
        """Take out a request that ended while it waited."""
        queue = self._classes[priority].queues.get(account, deque())
        for ticket in queue:
            if ticket.request_id == request_id:
                queue.remove(ticket)
                self._forget_empty(self._classes[priority], account)
                return True
        return False

    def candidates(self) -> list[Ticket]:
        """Return the first request of each account, next pick first."""
        order = [HIGH, NORMAL]
        if self._high_streak >= NORMAL_EVERY - 1:
            order.reverse()
        return [ticket for name in order for ticket in self._heads(name)]

    def take(self, ticket: Ticket, now: float) -> None:
        """Remove a candidate that is about to run and charge its account."""
        kind = self._classes[ticket.priority]
        kind.queues[ticket.account].popleft()
        kind.virtual = max(kind.virtual, kind.clocks[ticket.account])
        kind.clocks[ticket.account] += ticket.cost
        self._forget_empty(kind, ticket.account)
        self._count_streak(ticket.priority)
        self._measure_rate(now)

    def _heads(self, priority: str) -> list[Ticket]:
        kind = self._classes[priority]
        accounts = sorted(kind.queues, key=kind.clocks.__getitem__)
        return [kind.queues[name][0] for name in accounts]

    def _count_streak(self, priority: str) -> None:
        self._high_streak = self._high_streak + 1 if priority == HIGH else 0

    def _measure_rate(self, now: float) -> None:
        if self.last_pick and self.size():
            gap = now - self.last_pick
            self.pick_gap_s += _RATE_SMOOTHING * (gap - self.pick_gap_s)
        self.last_pick = now

    def _forget_empty(self, kind: _Class, account: str) -> None:
        """Drop an idle account's queue; its clock stays while it is ahead.

        Without this, 1,100 accounts would stay in every pool for ever. A
        clock that is ahead must stay, or an account could jump the queue by
        emptying its own.
        """
        if not kind.queues[account]:
            kind.queues.pop(account)
            if kind.clocks[account] <= kind.virtual:
                kind.clocks.pop(account)
