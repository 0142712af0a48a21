"""A short run of the soak, always with the same seed."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from samphirerill.testing.soak.run import run_seed
from samphirerill.testing.soak.truth import Fault, Truth

_SEED = 7
_LENGTH_S = 8.0


class TestSoak(TestCase):
    """Real nodes as processes, with faults from outside."""

    def test_every_promise_is_kept(self) -> None:
        with TemporaryDirectory() as folder:
            report = run_seed(_SEED, _LENGTH_S, Path(folder))
        self.assertEqual(report.broken, [])
        self.assertGreater(report.counts['notes.200'], 0)


class TestTruth(TestCase):
    """A checker that can't fail checks nothing."""

    def setUp(self) -> None:
        self.truth = Truth()
        self.truth.accounts['r1'] = 'suva'

    def test_a_second_run_of_once_only_work_is_found(self) -> None:
        self.truth.once_only.add('r1')
        self.truth.note_run('r1', 'desk-1', 'suva')
        self.assertEqual(self.truth.broken, [])
        self.truth.note_run('r1', 'desk-2', 'suva')
        self.assertEqual(len(self.truth.broken), 1)

    def test_a_run_after_not_run_is_found(self) -> None:
        self.truth.note_refused('r1')
        self.truth.note_run('r1', 'desk-1', 'suva')
        self.assertEqual(len(self.truth.broken), 1)

    def test_another_account_is_found(self) -> None:
        self.truth.note_run('r1', 'desk-1', 'nadi')
        self.assertEqual(len(self.truth.broken), 1)

    def test_calm_is_where_no_fault_is(self) -> None:
        self.truth.faults.append(Fault('node killed', 10, 12))
        self.assertTrue(self.truth.is_calm(1, 9))
        self.assertFalse(self.truth.is_calm(11, 13))
        self.assertTrue(self.truth.is_calm(13, 20))
