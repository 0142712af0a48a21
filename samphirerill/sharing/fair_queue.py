"""Fair queueing between ranks and client accounts at one node.

More urgent ranks are served first, but a rank that waits gets a guaranteed part
of the turns: of ``guaranteed_interval`` turns, one goes to the less urgent
ranks that wait, which take it alternately. Within a rank, accounts share by
start-time fair queueing: the account with the lowest start tag is served next,
and its tag then advances by the cost of the request divided by the account's
weight. A long queue of one account therefore delays only that account.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

from samphirerill.sharing.model import GUARANTEED_LEVEL
from samphirerill.sharing.order import sort_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.sharing.model import WorkItem

# The second level of a rank is for accounts above their share. Here the start
# tags order the accounts.
_LEVELS_PER_RANK = 2


class Queued(Protocol):
    """One queued request; `cost` is its room over its account's weight."""

    request_id: str
    cost: float
    work: WorkItem


_EntryT = TypeVar('_EntryT', bound=Queued)


class _RankQueue(Generic[_EntryT]):
    """The queued requests of one rank, by account.

    `start_tags` holds the start tag of each account's next request;
    `virtual_time` is the start tag of the last request that was dequeued.
    `passed_over` counts the dequeues of more urgent ranks since this rank was
    served.
    """

    __slots__ = ('passed_over', 'queues', 'start_tags', 'virtual_time')

    def __init__(self) -> None:
        self.queues: dict[str, deque[_EntryT]] = {}
        self.start_tags: dict[str, float] = {}
        self.virtual_time = 0.0
        self.passed_over = 0

    def size(self) -> int:
        return sum(len(queue) for queue in self.queues.values())

    def add(self, entry: _EntryT, *, at_front: bool) -> None:
        account = entry.work.account
        queue = self.queues.setdefault(account, deque())
        if not queue:
            # No credit for the time without queued requests.
            self.start_tags[account] = max(
                self.start_tags.get(account, 0), self.virtual_time
            )
        if at_front:
            queue.appendleft(entry)
        else:
            queue.append(entry)

    def remove(self, request_id: str, account: str) -> bool:
        queue = self.queues.get(account, deque())
        for entry in queue:
            if entry.request_id == request_id:
                queue.remove(entry)
                self._remove_if_idle(account)
                return True
        return False

    def dequeue(self, entry: _EntryT) -> None:
        account = entry.work.account
        self.queues[account].popleft()
        self.virtual_time = max(self.virtual_time, self.start_tags[account])
        self.start_tags[account] += entry.cost
        self._remove_if_idle(account)

    def list_heads(self, level: int, now: float) -> list[_EntryT]:
        """Return the first request of each account, next to run first."""
        heads = [
            (sort_key(queue[0].work, level, self.start_tags[name], now), number)
            for number, (name, queue) in enumerate(self.queues.items())
        ]
        queues = tuple(self.queues.values())
        return [queues[number][0] for _, number in sorted(heads)]

    def _remove_if_idle(self, account: str) -> None:
        """Remove an account without queued requests.

        Otherwise every account ever seen would stay in every queue. A start
        tag ahead of the virtual time is kept: without it, an account could
        reset its tag by emptying its queue.
        """
        if not self.queues[account]:
            self.queues.pop(account)
            if self.start_tags[account] <= self.virtual_time:
                self.start_tags.pop(account)


class FairQueue(Generic[_EntryT]):
    """A queue of requests with any number of ranks; 0 is the most urgent.

    Parameters
    ----------
    guaranteed_interval : int
        Of so many turns, one goes to the less urgent ranks that wait; at
        least 2.
    ranks : iterable of int
        The expected ranks. Others are added when their first request comes;
        turns before that do not count towards their guaranteed part.
    """

    __slots__ = ('_guaranteed_interval', '_ranks')

    def __init__(
        self, guaranteed_interval: int, ranks: Iterable[int] = ()
    ) -> None:
        self._guaranteed_interval = guaranteed_interval
        self._ranks: dict[int, _RankQueue[_EntryT]] = {}
        for rank in ranks:
            self._find_rank(rank)

    def size(self) -> int:
        """Return the number of queued requests."""
        return sum(queue.size() for queue in self._ranks.values())

    def estimate_ahead(self, account: str, rank: int) -> int:
        """Estimate how many dequeues precede a new request of an account.

        Accounts take turns, so each other account counts at most once for
        every request of this account, however long its queue is.
        """
        same_rank = self._find_rank(rank)
        own = len(same_rank.queues.get(account, ()))
        same_count = sum(
            min(len(queue), own + 1) for queue in same_rank.queues.values()
        )
        urgent_count = sum(
            queue.size() for other, queue in self._ranks.items() if other < rank
        )
        longest_turn = _compute_longest_turn(
            len({*self._list_waiting(), rank}), self._guaranteed_interval
        )
        return same_count + min(urgent_count, (same_count + 1) * longest_turn)

    def add(self, entry: _EntryT, *, at_front: bool = False) -> None:
        """Queue a request; `at_front` is for one that already ran."""
        self._find_rank(entry.work.rank).add(entry, at_front=at_front)

    def remove(self, request_id: str, account: str, rank: int) -> bool:
        """Remove a request that ended while it was queued."""
        return self._find_rank(rank).remove(request_id, account)

    def list_candidates(self, now: float) -> list[_EntryT]:
        """Return the first request of each account, next to run first."""
        waiting = self._list_waiting()
        longest_turn = _compute_longest_turn(
            len(waiting), self._guaranteed_interval
        )
        due = [
            rank
            for rank in waiting
            if self._ranks[rank].passed_over >= longest_turn
        ]
        due.sort(key=self._count_passed_over, reverse=True)
        levels = dict.fromkeys(due, GUARANTEED_LEVEL)
        for other in waiting:
            levels.setdefault(other, _LEVELS_PER_RANK * other)
        return [
            entry
            for rank, level in levels.items()
            for entry in self._ranks[rank].list_heads(level, now)
        ]

    def dequeue(self, entry: _EntryT) -> None:
        """Remove a candidate that is about to run and charge its account."""
        rank = entry.work.rank
        self._ranks[rank].dequeue(entry)
        self._ranks[rank].passed_over = 0
        for other, queue in self._ranks.items():
            queue.passed_over += other > rank

    def _find_rank(self, rank: int) -> _RankQueue[_EntryT]:
        """Return the queue of a rank, created on first use."""
        if rank not in self._ranks:
            self._ranks[rank] = _RankQueue()
        return self._ranks[rank]

    def _list_waiting(self) -> list[int]:
        """Return the ranks with queued requests, the most urgent first."""
        return sorted(
            rank for rank, queue in self._ranks.items() if queue.queues
        )

    def _count_passed_over(self, rank: int) -> int:
        return self._ranks[rank].passed_over


def _compute_longest_turn(rank_count: int, guaranteed_interval: int) -> int:
    """Return how many turns of more urgent ranks may precede one of a rank.

    All waiting ranks but the most urgent one share the guaranteed part.
    """
    return guaranteed_interval * max(1, rank_count - 1) - 1
