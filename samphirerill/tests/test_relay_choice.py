"""Tests of the choice of the node that relays a connection."""

from __future__ import annotations

from random import Random
from unittest import TestCase

from samphirerill.fleet.relay_choice import RelayChoice

_SEED = 49
_DRAWS = 400


def _build_nodes(count: int) -> dict[str, str]:
    """Return nodes of four data centres, by name."""
    return {
        f'{"abcd"[number % 4]}-{number}': 'abcd'[number % 4]
        for number in range(count)
    }


class TestRelayChoice(TestCase):
    """Choices of a node of data centre `a`."""

    def setUp(self) -> None:
        self.choice = RelayChoice('a', Random(_SEED))
        self.nodes = _build_nodes(400)

    def choose(self, now: float = 0.0, asked: tuple[str, ...] = ()) -> str:
        """Return the next node to ask."""
        return self.choice.choose(self.nodes, asked, now)

    def test_near_nodes_are_asked_first(self) -> None:
        chosen = {self.nodes[self.choose()] for _ in range(_DRAWS)}
        self.assertEqual(chosen, {'a'})

    def test_partitioned_data_centre_is_left(self) -> None:
        """Guards against a data centre whose nodes only ask each other."""
        self.choice.note_partitioned('a-0', 0.0)
        chosen = {self.nodes[self.choose()] for _ in range(_DRAWS)}
        self.assertEqual(chosen, set('abcd'))

    def test_few_nodes_relay(self) -> None:
        """Guards against connections from each node to each other one."""
        chosen = set()
        for _ in range(_DRAWS):
            name = self.choose()
            self.choice.note_help(name, 0.0)
            chosen.add(name)
        self.assertLessEqual(len(chosen), 4)

    def test_slow_node_is_asked_if_it_is_the_last(self) -> None:
        """Guards against a request refused because one node was slow once."""
        self.nodes = {'b-1': 'b'}
        self.choice.note_slow('b-1', 0.0)
        self.assertEqual(self.choose(), 'b-1')

    def test_partitioned_node_is_not_asked_for_a_while(self) -> None:
        self.nodes = {'b-1': 'b'}
        self.choice.note_partitioned('b-1', 0.0)
        self.assertEqual(self.choose(), '')
        self.assertEqual(self.choose(2.0), 'b-1')

    def test_node_is_asked_once_for_a_connection(self) -> None:
        self.nodes = {'b-1': 'b'}
        self.assertEqual(self.choose(asked=('b-1',)), '')

    def test_all_are_partitioned(self) -> None:
        self.nodes = _build_nodes(7)
        for name in list(self.nodes)[1:]:
            self.choice.note_partitioned(name, 0.0)
        self.assertFalse(self.choice.are_all_partitioned(self.nodes, 0.1))
        self.choice.note_partitioned('a-0', 0.0)
        self.assertTrue(self.choice.are_all_partitioned(self.nodes, 0.1))

    def test_one_that_helped_shows_that_not_all_are(self) -> None:
        """Guards against requests refused while half of a fleet can help."""
        for name in list(self.nodes)[:200]:
            self.choice.note_partitioned(name, 0.0)
        self.choice.note_help('b-201', 0.0)
        self.assertFalse(self.choice.are_all_partitioned(self.nodes, 0.1))

    def test_slow_nodes_do_not_count_as_partitioned(self) -> None:
        """Guards against a busy fleet that is taken for a partitioned one."""
        self.nodes = _build_nodes(7)
        for name in self.nodes:
            self.choice.note_slow(name, 0.0)
        self.assertFalse(self.choice.are_all_partitioned(self.nodes, 0.1))

    def test_no_other_node_is_no_partition(self) -> None:
        self.assertFalse(self.choice.are_all_partitioned({}, 0.0))
