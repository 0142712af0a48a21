"""A short soak run with a fixed seed, and tests of its checker."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from samphirerill.testing.soak.ground_truth import Fault, GroundTruth
from samphirerill.testing.soak.run import run_seed

_SEED = 7
_FAULT_DURATION_S = 8.0


class TestSoak(TestCase):
    """Node processes under externally injected faults."""

    def test_no_guarantee_is_violated(self) -> None:
        with TemporaryDirectory() as folder:
            report = run_seed(_SEED, _FAULT_DURATION_S, Path(folder))
        self.assertEqual(report.violations, [])
        self.assertGreater(report.counts['notes.200'], 0)


class TestGroundTruth(TestCase):
    """The checker detects each kind of violation."""

    def setUp(self) -> None:
        self.ground_truth = GroundTruth()
        self.ground_truth.accounts['r1'] = 'suva'

    def test_second_run_of_non_idempotent_request(self) -> None:
        self.ground_truth.non_idempotent.add('r1')
        self.ground_truth.record_run('r1', 'desk-1', 'suva')
        self.assertEqual(self.ground_truth.violations, [])
        self.ground_truth.record_run('r1', 'desk-2', 'suva')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_run_after_refusal(self) -> None:
        self.ground_truth.record_refusal('r1')
        self.ground_truth.record_run('r1', 'desk-1', 'suva')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_run_for_another_account(self) -> None:
        self.ground_truth.record_run('r1', 'desk-1', 'nadi')
        self.assertEqual(len(self.ground_truth.violations), 1)

    def test_fault_free_intervals(self) -> None:
        self.ground_truth.faults.append(Fault('node killed', 10, 12))
        self.assertTrue(self.ground_truth.is_fault_free(1, 9))
        self.assertFalse(self.ground_truth.is_fault_free(11, 13))
        self.assertTrue(self.ground_truth.is_fault_free(13, 20))
