"""Properties of the fair queue, with any number of ranks and accounts."""

from __future__ import annotations

import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass
from itertools import combinations
from math import inf

from hypothesis import given
from hypothesis import strategies as st

from samphirerill.sharing.fair_queue import FairQueue
from samphirerill.sharing.model import WorkItem

_INTERVAL = 6
_RANKS = 4
_LARGEST_COST = 50
_COSTS = st.integers(1, _LARGEST_COST)
# A request as (account, rank, cost).
_REQUESTS = st.tuples(
    st.sampled_from('abcde'), st.integers(0, _RANKS - 1), _COSTS
)
# An addition, or the start of one of the first candidates.
_STEPS = st.lists(st.one_of(_REQUESTS, st.integers(0, 3)), max_size=120)


@dataclass(slots=True)
class _Entry:
    request_id: str
    cost: float
    work: WorkItem


def _build_entry(
    number: int, account: str, rank: int, cost: float, due: float = inf
) -> _Entry:
    work = WorkItem(rank, account, cost, due, inf)
    return _Entry(f'{number}', cost, work)


def _add_backlog(queue: FairQueue[_Entry], account: str, cost: float) -> None:
    for number in range(400):
        queue.add(_build_entry(number, account, 0, cost))


def _take(queue: FairQueue[_Entry], now: float = 0) -> _Entry:
    entry = queue.list_candidates(now)[0]
    queue.dequeue(entry)
    return entry


class TestFairQueueProperties(unittest.TestCase):
    """What holds for every sequence of requests."""

    @given(_STEPS)
    def test_work_is_conserved(
        self, steps: list[tuple[str, int, int] | int]
    ) -> None:
        """Guard against requests that are lost, repeated or never offered.

        Every account and rank with queued requests has its first one among the
        candidates, so no capacity stays free while any of them may start.
        """
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        waiting: defaultdict[tuple[str, int], list[str]] = defaultdict(list)
        for number, step in enumerate(steps):
            if isinstance(step, tuple):
                entry = _build_entry(number, *step)
                queue.add(entry)
                waiting[step[0], step[1]].append(entry.request_id)
            elif queue.size():
                candidates = queue.list_candidates(0)
                entry = candidates[min(step, len(candidates) - 1)]
                queue.dequeue(entry)
                first = waiting[entry.work.account, entry.work.rank].pop(0)
                self.assertEqual(entry.request_id, first)
            heads = sorted(names[0] for names in waiting.values() if names)
            offered = [item.request_id for item in queue.list_candidates(0)]
            self.assertEqual(sorted(offered), heads)
            self.assertEqual(queue.size(), sum(map(len, waiting.values())))

    @given(
        st.sets(st.integers(0, 9), min_size=2),
        st.lists(st.integers(0, 9), max_size=60),
    )
    def test_no_rank_starves(
        self, backlogged: set[int], extra: list[int]
    ) -> None:
        """Guard against a rank without turns while more urgent ones wait."""
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        for number, rank in enumerate(extra):
            queue.add(_build_entry(number, 'early', rank, 1))
            _take(queue)
        longest = 2 * _INTERVAL * len(backlogged)
        for rank in backlogged:
            for number in range(3 * longest):
                queue.add(_build_entry(number, 'a', rank, 1))
        taken = [_take(queue).work.rank for _ in range(3 * longest)]
        for start in range(0, 2 * longest, _INTERVAL):
            window = set(taken[start : start + longest])
            self.assertEqual(window, backlogged)

    @given(st.integers(2, 9), st.integers(2, 12))
    def test_most_urgent_rank_keeps_all_other_turns(
        self, rank_count: int, interval: int
    ) -> None:
        """Guard against a guarantee that grows with the number of ranks."""
        queue: FairQueue[_Entry] = FairQueue(interval)
        turns = 10 * interval * rank_count
        for rank in range(rank_count):
            for number in range(turns):
                queue.add(_build_entry(number, 'a', rank, 1))
        counts = Counter(_take(queue).work.rank for _ in range(turns))
        self.assertGreaterEqual(counts[0], turns * (1 - 1 / interval) - 1)
        for rank in range(1, rank_count):
            self.assertGreaterEqual(counts[rank], 5)

    @given(
        st.lists(st.tuples(_COSTS, st.integers(1, 5)), min_size=2, max_size=6),
        st.lists(st.tuples(st.sampled_from('xyz'), _COSTS), max_size=40),
        st.integers(0, 100),
    )
    def test_unfairness_between_accounts_is_bounded(
        self,
        backlogged: list[tuple[int, int]],
        earlier: list[tuple[str, int]],
        head_start: int,
    ) -> None:
        """Guard against shares that follow the number of requests.

        The first account is served alone before the others come; that neither
        earns nor costs it a share.

        The bound is that of start-time fair queueing: between two accounts that
        always wait, the served cost over weight differs by at most the sum of
        their largest requests, each over its account's weight.
        """
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        for number, (name, cost) in enumerate(earlier):
            queue.add(_build_entry(number, name, 0, cost))
            _take(queue)
        costs = [cost / weight for cost, weight in backlogged]
        _add_backlog(queue, '0', costs[0])
        for _ in range(head_start):
            _take(queue)
        for account, entry_cost in enumerate(costs[1:], 1):
            _add_backlog(queue, str(account), entry_cost)
        served = [0.0 for _ in costs]
        for _ in range(300):
            entry = _take(queue)
            served[int(entry.work.account)] += entry.cost
            for one, other in combinations(range(len(costs)), 2):
                self.assertLessEqual(
                    abs(served[one] - served[other]),
                    costs[one] + costs[other] + 1e-6,
                )

    @given(st.lists(st.tuples(_REQUESTS, st.booleans()), max_size=60))
    def test_order_within_an_account_is_kept(
        self, requests: list[tuple[tuple[str, int, int], bool]]
    ) -> None:
        """Guard against requests of one account that overtake each other.

        Only a request that already ran is put before the others.
        """
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        expected: defaultdict[tuple[str, int], list[str]] = defaultdict(list)
        for number, (request, has_run) in enumerate(requests):
            entry = _build_entry(number, *request)
            queue.add(entry, at_front=has_run)
            names = expected[entry.work.account, entry.work.rank]
            names.insert(0 if has_run else len(names), entry.request_id)
        actual: defaultdict[tuple[str, int], list[str]] = defaultdict(list)
        while queue.size():
            entry = _take(queue)
            actual[entry.work.account, entry.work.rank].append(entry.request_id)
        self.assertEqual(actual, expected)

    @given(
        st.lists(_REQUESTS, max_size=30),
        _REQUESTS,
    )
    def test_estimate_is_an_upper_bound_with_one_rank_below(
        self, requests: list[tuple[str, int, int]], own: tuple[str, int, int]
    ) -> None:
        """Guard against accepting requests whose turn comes too late.

        With equal costs, no more requests are served first than estimated.
        """
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL, range(2))
        for number, (account, rank, _) in enumerate(requests):
            queue.add(_build_entry(number, account, min(rank, 1), 1))
        account = own[0]
        ahead = queue.estimate_ahead(account, 1)
        queue.add(_build_entry(-1, account, 1, 1))
        order = []
        while queue.size():
            order.append(_take(queue).request_id)
        self.assertLessEqual(order.index('-1'), ahead)


class TestFairQueue(unittest.TestCase):
    """Single rules of the order."""

    def test_late_request_does_not_delay_timely_ones(self) -> None:
        """Guard against a burst whose late rest delays what comes after it."""
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        queue.add(_build_entry(0, 'late', 0, 1, due=5))
        queue.add(_build_entry(1, 'timely', 0, 1, due=20))
        self.assertEqual(_take(queue, now=10).work.account, 'timely')

    def test_removed_request_leaves_the_others_in_order(self) -> None:
        """Guard against an account that is dropped with its first request."""
        queue: FairQueue[_Entry] = FairQueue(_INTERVAL)
        for number in range(3):
            queue.add(_build_entry(number, 'a', 7, 1))
        self.assertTrue(queue.remove('0', 'a', 7))
        self.assertFalse(queue.remove('0', 'a', 7))
        self.assertEqual(_take(queue).request_id, '1')
        self.assertEqual(queue.size(), 1)


if __name__ == '__main__':
    unittest.main()
