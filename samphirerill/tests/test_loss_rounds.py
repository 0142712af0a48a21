"""Who asks after whom, and when silent replicas are a loss."""

from __future__ import annotations

from unittest import TestCase

from samphirerill.fleet.losses import Askers, LossRound, is_own_fault
from samphirerill.fleet.suspicion import SURE_VOTES
from samphirerill.fleet.view import FleetView
from samphirerill.tests.fleets import build_replica


class TestAskers(TestCase):
    """Who asks after whom."""

    def test_each_replica_is_asked_after_by_two_data_centres(self) -> None:
        nodes = {f'n{number}': 'abc'[number % 3] for number in range(30)}
        askers = Askers(nodes)
        for number in range(100):
            chosen = askers.choose(f'r{number}')
            self.assertEqual(len({nodes[name] for name in chosen}), 2)

    def test_a_node_more_or_less_changes_few_shares(self) -> None:
        nodes = {f'n{number}': 'a' for number in range(30)}
        fewer = dict(nodes)
        fewer.pop('n7')
        names = [f'r{number}' for number in range(300)]
        changed = sum(
            Askers(nodes).choose(name) != Askers(fewer).choose(name)
            for name in names
        )
        self.assertLess(changed, len(names) // 3)

    def test_a_node_alone_asks_after_all(self) -> None:
        self.assertEqual(Askers({'n': 'a'}).list_share('n', ['x']), ['x'])

    def test_shares_are_even(self) -> None:
        """Symptom: a loss is known late, as one node has 14 replicas to ask.

        Sequence: 22 nodes share 29 replicas; ten of them have none. Cause: one
        place for each node on the ring, by a checksum that keeps names that
        are alike near each other.
        """
        nodes = {
            f'edge-hall-{zone}-{number}': zone
            for zone in 'abcde'
            for number in range(4)
        }
        askers = Askers(nodes)
        names = [f'i-{number:010x}' for number in range(30)]
        most = max(len(askers.list_share(node, names)) for node in nodes)
        self.assertLessEqual(most, 9)

    def test_half_a_path_may_be_silent(self) -> None:
        self.assertFalse(is_own_fault({'a', 'b', 'c'}, {'d', 'e', 'f'}))
        self.assertTrue(is_own_fault({'a', 'b', 'c'}, {'d', 'e'}))
        self.assertFalse(is_own_fault({'a'}, set()))


class TestLossRound(TestCase):
    """When there is a loss, and when it is whole."""

    def test_one_word_of_one_replica_is_no_loss(self) -> None:
        """Symptom: 340 questions in ten calm seconds.

        Sequence: a node says that one replica is silent; all nodes ask after
        all replicas. Cause: any word began a survey.
        """
        loss = LossRound()
        loss.note_silence('one', 1.0)
        self.assertFalse(loss.is_under_way(1.0))
        self.assertFalse(loss.is_recent(1.0))
        self.assertEqual(set(loss.doubted), {'one'})
        loss.note_silence('two', 2.0)
        self.assertFalse(loss.is_recent(2.0))

    def test_two_words_close_to_each_other_are_one(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.2)
        self.assertEqual(loss.began_at, 1.2)
        self.assertTrue(loss.is_under_way(1.25))

    def test_a_loss_in_the_shadow_of_another_word_is_one(self) -> None:
        """Symptom: nine replicas are lost, four plans are made in a second.

        Sequence: a node says that one replica is silent; 0.2 s later nine
        crash. All nodes have asked after that word already, and the commander
        has waited for it. Cause: the loss was counted to that word.
        """
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.2, is_sure=True)
        self.assertEqual(loss.began_at, 1.2)
        loss.note_silence('three', 1.9, is_sure=True)
        self.assertEqual(loss.began_at, 1.9)

    def test_it_is_whole_when_nothing_more_comes(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0)
        loss.note_silence('two', 1.1)
        self.assertTrue(loss.is_under_way(1.2))
        self.assertFalse(loss.is_under_way(1.25))

    def test_nobody_waits_for_long(self) -> None:
        loss = LossRound()
        for step in range(10):
            loss.note_silence(f'r{step}', 1.0 + step / 10)
        self.assertFalse(loss.is_under_way(1.95))

    def test_what_was_heard_before_the_loss_does_not_count(self) -> None:
        loss = LossRound()
        loss.note_silence('one', 1.0, is_sure=True)
        loss.note_heard('old', 0.9)
        loss.note_heard('new', 1.1)
        self.assertFalse(loss.has_heard('old'))
        self.assertTrue(loss.has_heard('new'))
        loss.note_silence('one', 5.0, is_sure=True)
        self.assertFalse(loss.has_heard('new'))

    def test_plain_endpoints_are_no_loss(self) -> None:
        """Symptom: a survey of all engines twice a second, on a calm day.

        Sequence: a node avoids an endpoint of a plain service for a while and
        tells the others so. Cause: its word counted as one of an engine.
        """
        view = FleetView()
        view.announce(build_replica('plain'), 1)
        view.suspect('plain', 9, 1, votes=SURE_VOTES)
        self.assertFalse(view.loss_round.is_recent(1))
