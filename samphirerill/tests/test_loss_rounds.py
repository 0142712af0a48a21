"""Assignment of probers, and detection of correlated failures."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.fleet.losses import Askers, LossRound, is_own_fault
from samphirerill.fleet.suspicion import SURE_VOTES
from samphirerill.fleet.view import FleetView
from samphirerill.tests.fleets import build_replica


class TestProberAssignment(TestCase):
    """Which nodes probe which replicas."""

    def test_probers_are_in_two_data_centres(self) -> None:
        nodes = {f'n{number}': 'abc'[number % 3] for number in range(30)}
        askers = Askers(nodes)
        for number in range(100):
            chosen = askers.choose(f'r{number}')
            self.assertEqual(len({nodes[name] for name in chosen}), 2)

    def test_membership_change_moves_few_assignments(self) -> None:
        nodes = {f'n{number}': 'a' for number in range(30)}
        fewer = dict(nodes)
        fewer.pop('n7')
        names = [f'r{number}' for number in range(300)]
        changed = sum(
            Askers(nodes).choose(name) != Askers(fewer).choose(name)
            for name in names
        )
        self.assertLess(changed, len(names) // 3)

    def test_single_node_probes_all(self) -> None:
        self.assertEqual(Askers({'n': 'a'}).list_share('n', ['x']), ['x'])

    def test_assignments_are_even(self) -> None:
        """A failure is detected late if one node has to probe most replicas."""
        nodes = {
            f'edge-hall-{zone}-{number}': zone
            for zone in 'abcde'
            for number in range(4)
        }
        askers = Askers(nodes)
        names = [f'i-{number:010x}' for number in range(30)]
        max_assigned = max(
            len(askers.list_share(node, names)) for node in nodes
        )
        self.assertLessEqual(max_assigned, 9)

    def test_local_fault_needs_silent_majority(self) -> None:
        self.assertFalse(is_own_fault({'a', 'b', 'c'}, {'d', 'e', 'f'}))
        self.assertTrue(is_own_fault({'a', 'b', 'c'}, {'d', 'e'}))
        self.assertFalse(is_own_fault({'a'}, set()))


class TestCorrelatedFailure(TestCase):
    """When reports count as a correlated failure, and when it is complete."""

    def test_single_report_is_no_failure(self) -> None:
        """Otherwise every lost packet would trigger a survey of all replicas."""
        loss = LossRound()
        loss.note_silence('one', 1.0)
        self.assertFalse(loss.is_under_way(1.0))
        self.assertFalse(loss.is_recent(1.0))
        self.assertEqual(set(loss.doubted), {'one'})
        loss.note_silence('two', 2.0)
        self.assertFalse(loss.is_recent(2.0))

    def test_two_reports_close_together_are_one_failure(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.2)
        self.assertEqual(loss.began_at, 1.2)
        self.assertTrue(loss.is_under_way(1.25))

    def test_failure_right_after_single_report_is_detected(self) -> None:
        """A failure must not be attributed to an earlier unrelated report.

        That report has been surveyed already, so the new losses would be found
        and planned for one by one.
        """
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.2, is_confirmed=True)
        self.assertEqual(loss.began_at, 1.2)
        loss.note_silence('three', 1.9, is_confirmed=True)
        self.assertEqual(loss.began_at, 1.9)

    def test_failure_is_complete_after_quiet_period(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.1)
        self.assertTrue(loss.is_under_way(1.2))
        self.assertFalse(loss.is_under_way(1.25))

    def test_wait_for_completion_is_limited(self) -> None:
        loss = LossRound()
        for step in range(10):
            loss.note_silence(f'r{step}', 1.0 + step / 10)
        self.assertFalse(loss.is_under_way(1.95))

    def test_signs_of_life_before_failure_are_ignored(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0, is_confirmed=True)
        loss.note_heard('old', 0.9)
        loss.note_heard('new', 1.1)
        self.assertFalse(loss.has_heard('old'))
        self.assertTrue(loss.has_heard('new'))
        loss.note_silence('one', 5.0, is_confirmed=True)
        self.assertFalse(loss.has_heard('new'))

    def test_endpoint_without_layers_is_no_failure(self) -> None:
        """Avoiding such an endpoint must not trigger a survey of the replicas."""
        view = FleetView()
        view.announce(build_replica('plain'), 1)
        view.suspect('plain', 9, 1, votes=SURE_VOTES)
        self.assertFalse(view.loss_round.is_recent(1))
