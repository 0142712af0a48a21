"""Assignment of probers, and detection of correlated failures."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.fleet.failure_detection import (
    CorrelatedFailure,
    ProberAssignment,
    is_local_fault,
)
from samphirerill.fleet.suspicion import CONFIRMING_VOTES
from samphirerill.fleet.view import FleetView
from samphirerill.tests.fleet_builders import build_replica


class TestProberAssignment(TestCase):
    """Which nodes probe which replicas."""

    def test_probers_are_in_two_data_centres(self) -> None:
        nodes = {f'n{number}': 'abc'[number % 3] for number in range(30)}
        assignment = ProberAssignment(nodes)
        for number in range(100):
            chosen = assignment.choose_probers(f'r{number}')
            self.assertEqual(len({nodes[name] for name in chosen}), 2)

    def test_membership_change_moves_few_assignments(self) -> None:
        nodes = {f'n{number}': 'a' for number in range(30)}
        fewer = dict(nodes)
        fewer.pop('n7')
        names = [f'r{number}' for number in range(300)]
        changed = sum(
            ProberAssignment(nodes).choose_probers(name)
            != ProberAssignment(fewer).choose_probers(name)
            for name in names
        )
        self.assertLess(changed, len(names) // 3)

    def test_single_node_probes_all(self) -> None:
        self.assertEqual(
            ProberAssignment({'n': 'a'}).list_assigned('n', ['x']), ['x']
        )

    def test_assignments_are_even(self) -> None:
        """A failure is detected late if one node has to probe most replicas."""
        nodes = {
            f'edge-hall-{data_centre}-{number}': data_centre
            for data_centre in 'abcde'
            for number in range(4)
        }
        assignment = ProberAssignment(nodes)
        names = [f'i-{number:010x}' for number in range(30)]
        max_assigned = max(
            len(assignment.list_assigned(node, names)) for node in nodes
        )
        self.assertLessEqual(max_assigned, 9)

    def test_local_fault_needs_silent_majority(self) -> None:
        self.assertFalse(is_local_fault({'a', 'b', 'c'}, {'d', 'e', 'f'}))
        self.assertTrue(is_local_fault({'a', 'b', 'c'}, {'d', 'e'}))
        self.assertFalse(is_local_fault({'a'}, set()))


class TestCorrelatedFailure(TestCase):
    """When reports count as a correlated failure, and when it is complete."""

    def test_single_report_is_no_failure(self) -> None:
        """Otherwise every lost packet would trigger probes of all replicas."""
        failure = CorrelatedFailure()
        failure.note_silence('one', 1.0)
        self.assertFalse(failure.is_in_progress(1.0))
        self.assertFalse(failure.is_recent(1.0))
        self.assertEqual(set(failure.unconfirmed), {'one'})
        failure.note_silence('two', 2.0)
        self.assertFalse(failure.is_recent(2.0))

    def test_two_reports_close_together_are_one_failure(self) -> None:
        failure = CorrelatedFailure()
        failure.note_silence('one', 1.0)
        failure.note_silence('two', 1.2)
        self.assertEqual(failure.last_extended_at, 1.2)
        self.assertTrue(failure.is_in_progress(1.25))

    def test_failure_right_after_single_report_is_detected(self) -> None:
        """A failure must not be attributed to an earlier unrelated report.

        Probes for that report were already sent, so the new losses would be
        found and planned for one by one.
        """
        failure = CorrelatedFailure()
        failure.note_silence('one', 1.0)
        failure.note_silence('two', 1.2, is_confirmed=True)
        self.assertEqual(failure.last_extended_at, 1.2)
        failure.note_silence('three', 1.9, is_confirmed=True)
        self.assertEqual(failure.last_extended_at, 1.9)

    def test_silence_found_here_and_elsewhere_is_a_failure(self) -> None:
        """Guard against a loss that all nodes notice at the same moment."""
        view = FleetView()
        view.apply_announcement(build_replica('one', layers=(0, 80)), 1)
        view.add_silence_report('one', 4, 2, since=2)
        self.assertFalse(view.current_failure.is_recent(2))
        view.add_silence_report('one', 4, 2.01, reporter='n1', since=2)
        self.assertTrue(view.current_failure.is_recent(2.01))

    def test_failure_is_complete_after_quiet_period(self) -> None:
        failure = CorrelatedFailure()
        failure.note_silence('one', 1.0)
        failure.note_silence('two', 1.1)
        self.assertTrue(failure.is_in_progress(1.2))
        self.assertFalse(failure.is_in_progress(1.25))

    def test_wait_for_completion_is_limited(self) -> None:
        failure = CorrelatedFailure()
        for step in range(10):
            failure.note_silence(f'r{step}', 1.0 + step / 10)
        self.assertFalse(failure.is_in_progress(1.95))

    def test_signs_of_life_before_failure_are_ignored(self) -> None:
        failure = CorrelatedFailure()
        failure.note_silence('one', 1.0, is_confirmed=True)
        failure.note_alive('old', 0.9)
        failure.note_alive('new', 1.1)
        self.assertFalse(failure.is_known_alive('old'))
        self.assertTrue(failure.is_known_alive('new'))
        failure.note_silence('one', 5.0, is_confirmed=True)
        self.assertFalse(failure.is_known_alive('new'))

    def test_endpoint_without_layers_is_no_failure(self) -> None:
        """Avoiding such an endpoint must not trigger probes of the replicas."""
        view = FleetView()
        view.apply_announcement(build_replica('plain'), 1)
        view.add_silence_report('plain', 9, 1, votes=CONFIRMING_VOTES)
        self.assertFalse(view.current_failure.is_recent(1))
