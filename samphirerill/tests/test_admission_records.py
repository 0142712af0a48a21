"""Records of admissions and rejections, for operators."""

from __future__ import annotations

import unittest
from random import Random
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from samphirerill.sharing.largest_accounts import LISTED_ACCOUNTS
from samphirerill.sharing.model import WorkItem
from samphirerill.sharing.records import AdmissionRecords
from samphirerill.sharing.wait_histogram import WaitHistogram

_ACCOUNTS = st.integers(0, 40).map('account-{}'.format)


def _build_item(account: str, *, rank: int = 0, room: float = 10) -> WorkItem:
    return WorkItem(rank, account, room, due=0, deadline=0)


def _sum_decisions(counts: dict[str, Any]) -> int:
    return int(counts['admitted']) + sum(counts['rejected'].values())


class TestAdmissionRecords(unittest.TestCase):
    """Counts by level, rank and account."""

    def setUp(self) -> None:
        self.records = AdmissionRecords('painting', Random(4))

    @given(st.lists(st.tuples(_ACCOUNTS, st.booleans(), st.floats(0, 90))))
    def test_groups_add_up_to_all_decisions(
        self, decisions: list[tuple[str, bool, float]]
    ) -> None:
        """Guard against counts that are lost when an account is replaced."""
        records = AdmissionRecords('painting', Random(4))
        for account, is_admitted, room in decisions:
            item = _build_item(account, room=room)
            if is_admitted:
                records.note_admitted(item, 0, 0.1, 0.2, 1)
            else:
                records.note_rejected(item, 0, 'too late', 2, 1)
        described = records.describe(2)
        accounts = described['accounts']
        self.assertLessEqual(len(accounts), LISTED_ACCOUNTS)
        groups = [*accounts.values(), described['other_accounts']]
        self.assertEqual(sum(map(_sum_decisions, groups)), len(decisions))

    def test_large_account_is_listed_beside_many_small_ones(self) -> None:
        """Guard against small accounts that displace the largest one."""
        for number in range(2000):
            small = _build_item(f'small-{number % 1000}', room=1)
            self.records.note_admitted(small, 0, 0, 0, number / 10)
            if not number % 10:
                large = _build_item('large', room=100)
                self.records.note_admitted(large, 0, 0, 0, number / 10)
        accounts = self.records.describe(200)['accounts']
        self.assertGreaterEqual(accounts['large']['admitted'], 180)

    def test_idle_account_loses_its_place(self) -> None:
        """Guard against a list of accounts that were large long ago."""
        for number in range(LISTED_ACCOUNTS):
            past = _build_item(f'past-{number}', room=1000)
            self.records.note_admitted(past, 0, 0, 0, 0)
        for second in range(3600):
            present = _build_item(f'present-{second % LISTED_ACCOUNTS}')
            self.records.note_admitted(present, 0, 0, 0, second)
        accounts = self.records.describe(3600)['accounts']
        self.assertFalse([name for name in accounts if 'past' in name])

    def test_groups_and_reasons_are_bounded(self) -> None:
        """Guard against memory that grows with what requests contain."""
        for number in range(500):
            item = _build_item(f'account-{number}', rank=number)
            reason = f'reason {"x" * number}'
            self.records.note_rejected(item, number, reason, 1, 0)
        described = self.records.describe(1)
        for group in ('levels', 'ranks'):
            self.assertLessEqual(len(described[group]), 33)
            self.assertEqual(
                sum(map(_sum_decisions, described[group].values())), 500
            )
        others = described['other_accounts']
        self.assertLessEqual(len(others['rejected']), 17)

    def test_reasons_with_numbers_are_counted_together(self) -> None:
        """Guard against one count for each predicted wait."""
        for number in range(40):
            reason = f'predicted wait {number / 10:.2f} s, 0.10 s left'
            self.records.note_rejected(_build_item('a'), 0, reason, 1, 0)
        rejected = self.records.describe(1)['accounts']['a']['rejected']
        self.assertEqual(rejected, {'predicted wait': 40})

    def test_level_lasts_from_its_first_note(self) -> None:
        """Guard against a repeated level that restarts its duration."""
        self.assertFalse(self.records.note_level(None, 1))
        self.assertIsNone(self.records.describe(2)['level_for_s'])
        self.assertTrue(self.records.note_level(1, 5))
        self.assertFalse(self.records.note_level(1, 7))
        described = self.records.describe(8)
        self.assertEqual((described['level'], described['level_for_s']), (1, 3))

    def test_alternating_notes_are_one_level(self) -> None:
        """Guard against a change of level with each request.

        While a level has to leave capacity, requests of lower levels still
        start, and small ones of the same level too.
        """
        for step in range(200):
            level = None if step % 3 else 1
            self.records.note_level(level, 10 + step / 20)
        self.assertEqual(
            (self.records.level, self.records.level_changes), (1, 1)
        )
        self.assertTrue(self.records.note_level(-1, 20.1))
        self.assertFalse(self.records.note_level(None, 20.9))
        self.assertTrue(self.records.note_level(None, 21.2))

    def test_served_before_counts_only_the_time_of_the_wait(self) -> None:
        """Guard against blaming accounts that were served before arrival."""
        large = _build_item('large', room=50)
        for level, account, now in ((0, 'early', 1), (2, 'small', 4)):
            self.records.note_admitted(_build_item(account), level, 0, 0, now)
        self.records.note_admitted(large, 1, 0, 0, 5)
        self.records.note_admitted(large, 1, 0, 0, 6)
        served = self.records.describe_served_since(3)
        self.assertEqual(
            [(row['level'], row['account'], row['count']) for row in served],
            [(1, 'large', 2), (2, 'small', 1)],
        )


class TestWaitHistogram(unittest.TestCase):
    """Quantiles of waiting times."""

    @given(st.lists(st.floats(0.001, 1000), min_size=1))
    def test_quantile_is_close_and_never_too_low(
        self, waits_s: list[float]
    ) -> None:
        """Guard against quantiles that promise a shorter wait than measured."""
        histogram = WaitHistogram()
        for wait_s in waits_s:
            histogram.add(wait_s)
        largest_s = max(waits_s)
        self.assertGreaterEqual(histogram.get_quantile_s(100), largest_s)
        self.assertLessEqual(histogram.get_quantile_s(100), largest_s * 1.42)

    def test_empty_histogram_has_quantiles(self) -> None:
        """Guard against a state page that fails before the first request."""
        self.assertEqual(WaitHistogram().describe()['p99_s'], 0)


if __name__ == '__main__':
    unittest.main()
