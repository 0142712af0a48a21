"""Replicas that are lost together: found as one loss, by all nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import TestCase
from unittest.mock import patch

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.suspicion import SURE_VOTES, Suspicion, Word
from samphirerill.fleet.view import FleetView
from samphirerill.relay.health import Examiner, Survey
from samphirerill.relay.health.probing import Probe, Verdict
from samphirerill.testing.virtual_time import run_virtually
from samphirerill.tests.fleets import build_replica
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.state import EdgeState

_SERVICE = 'llm'
_ANSWER_S = 0.004
_KNOWN_S = 0.5
# What a stream needs to fall silent and to ask, before others hear of it.
_SILENCE_S = 0.14
_LOST = 9
_LAYERS = 80


class _Fleet:
    """Nodes, replicas of a few pipelines, and what each node can reach."""

    def __init__(self, nodes: int, replicas: int) -> None:
        self.network = Network()
        self.dead: set[str] = set()
        self.deaf: set[str] = set()
        self.lost_nodes: set[str] = set()
        self.asked = 0
        self.nodes = [
            Node(self.network, f'{zone}-{number}', zone)
            for number in range(nodes // 3)
            for zone in ('a', 'b', 'c')
        ]
        self.replicas = [
            build_replica(f'r{number}', 'abc'[number % 3], layers=(0, _LAYERS))
            for number in range(replicas)
        ]
        self.examiners: dict[str, Examiner] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for node in self.nodes:
            self._begin(node)

    def end(self) -> None:
        """End what the nodes do by themselves."""
        for task in self.tasks:
            task.cancel()

    async def ask_once(
        self, state: EdgeState, replica: Replica, deadline: float
    ) -> Probe:
        """Stand in for a question to a replica."""
        self.asked += 1
        loop = asyncio.get_running_loop()
        is_silent = replica.replica_id in self.dead
        if is_silent or state.settings.name in self.deaf:
            await asyncio.sleep(deadline - loop.time())
            return Probe(loop.time(), Verdict.IS_SILENT)
        await asyncio.sleep(_ANSWER_S)
        return Probe(loop.time(), Verdict.LIVES)

    def lose_nodes(self, *numbers: int) -> None:
        """Nodes die: they neither hear nor say anything any more."""
        for number in numbers:
            node = self.nodes[number]
            self.network.nodes.pop(node.host)
            self.lost_nodes.add(node.name)

    async def fall_silent(self, node: Node, path: list[str]) -> None:
        """A stream of one node falls silent on a path."""
        stages = tuple(
            Stage(replica, LayerRange(0, _LAYERS))
            for replica in self.replicas
            if replica.replica_id in path
        )
        await self.examiners[node.name].examine(stages)

    def find_knowing(self) -> int:
        """Return how many nodes take just the dead for dead, for sure."""
        now = asyncio.get_running_loop().time()
        alive = {replica.replica_id for replica in self.replicas} - self.dead
        return sum(
            _list_present(node, now) == alive
            for node in self.nodes
            if node.name not in self.deaf | self.lost_nodes
        )

    def _begin(self, node: Node) -> None:
        node.add_peers(self.nodes)
        node.state.random.seed(node.name)
        for replica in self.replicas:
            node.state.view.announce(replica, 1)
        examiner = Examiner(node.state, node.alarms)
        self.examiners[node.name] = examiner
        survey = Survey(
            node.state, examiner, node.alarms, lambda: self.nodes[0].name
        )
        self.tasks.append(asyncio.create_task(survey.run()))
        self.tasks.append(asyncio.create_task(node.status_sender.run()))


def _count_questions(replicas: int) -> int:
    """Return how many questions a loss may cost, whatever the nodes.

    Two nodes ask after each replica, and four times if it does not answer;
    for each that is silent they ask three more, to know that it is not they
    who hear nobody. The stream that finds the loss asks its path of four.
    """
    return 2 * replicas + 2 * (3 + 3) * _LOST + 4 * 4


def _list_present(node: Node, now: float) -> set[str]:
    found = node.state.view.list_present(_SERVICE, now)
    return {known.replica.replica_id for known in found}


class TestLossOfMany(TestCase):
    """Nine replicas fall dark at one moment; one stream falls silent."""

    def test_all_of_a_small_fleet_know_it(self) -> None:
        """Symptom: service is 0.13 of what it should be for ten seconds.

        Sequence: nine of 29 replicas fall dark; two are found in 0.33 s, as
        streams wait for them; the others go as their announcements lapse, three
        seconds later. Streams go round among them, and plans count them. Cause:
        nobody asks after what no stream waits for.
        """
        self.play(21, 29)

    def test_all_of_a_larger_fleet_know_it(self) -> None:
        self.play(78, 106)

    def test_the_largest_fleet_that_is_played_knows_it(self) -> None:
        self.play(195, 216)

    def test_nodes_that_are_lost_at_the_same_moment_leave_no_gap(self) -> None:
        """Symptom: some of the dead count as there until their entries lapse.

        Sequence: a rack takes replicas and three nodes, the commander among
        them; who was to ask after some of the replicas is gone, and one word
        alone makes nobody dead for all. Cause: nobody asked in their place.
        """
        run_virtually(self._play_with_lost_nodes())

    def play(self, nodes: int, replicas: int) -> None:
        """All nodes know the whole loss within half a second."""
        run_virtually(self._play(nodes, replicas))

    async def _play(self, nodes: int, replicas: int) -> None:
        fleet = _Fleet(nodes, replicas)
        with patch(
            'samphirerill.relay.health.probe_retries.ask_once', fleet.ask_once
        ):
            await asyncio.sleep(_KNOWN_S)
            fleet.dead = {f'r{number}' for number in range(_LOST)}
            path = ['r0', 'r1', f'r{replicas - 1}', f'r{replicas - 2}']
            await fleet.fall_silent(fleet.nodes[1], path)
            await asyncio.sleep(_KNOWN_S / 2)
            self.assertEqual(fleet.find_knowing(), nodes)
            loop = asyncio.get_running_loop()
            commander = fleet.nodes[0].state.view.loss_round
            self.assertFalse(commander.is_under_way(loop.time()))
            self.assertLessEqual(fleet.asked, _count_questions(replicas))
            # What is known stays known until announcements lapse, without
            # streams that try the dead again.
            await asyncio.sleep(4)
            self.assertEqual(fleet.find_knowing(), nodes)
        fleet.end()

    async def _play_with_lost_nodes(self) -> None:
        fleet = _Fleet(21, 29)
        with patch(
            'samphirerill.relay.health.probe_retries.ask_once', fleet.ask_once
        ):
            await asyncio.sleep(_KNOWN_S)
            fleet.dead = {f'r{number}' for number in range(_LOST)}
            fleet.lose_nodes(0, 5, 9)
            await fleet.fall_silent(fleet.nodes[1], ['r0', 'r1', 'r20', 'r21'])
            await asyncio.sleep(_KNOWN_S - _SILENCE_S)
            self.assertEqual(fleet.find_knowing(), 18)
        fleet.end()


class TestHeldUpNodes(TestCase):
    """Nodes that hear nobody, and replicas that live."""

    def test_who_hears_nobody_says_nothing(self) -> None:
        run_virtually(self._play_deaf())

    def test_who_has_heard_since_knows_better(self) -> None:
        """Symptom: living replicas are dead to all nodes.

        Sequence: two nodes are cut off from a replica or held up; each tells
        that it is silent; two votes make that sure, though events of other
        nodes' streams come through it all the time. Cause: a word counted
        more than what a node hears itself.
        """
        replica = Suspicion()
        replica.hear(5.0)
        self.assertFalse(replica.take(Word(4.9, 9.0, 1, 'n1'), 5.1))
        self.assertFalse(replica.take(Word(4.9, 9.0, 1, 'n2'), 5.1))
        self.assertEqual(replica.sure_until, 0)
        self.assertFalse(replica.take(Word(5.1, 9.0, 1, 'n1'), 5.2))
        self.assertTrue(replica.take(Word(5.1, 9.0, 1, 'n2'), 5.2))
        self.assertFalse(replica.hear(5.05))
        self.assertEqual(replica.dead_until, 9.0)
        self.assertTrue(replica.hear(5.3))
        self.assertEqual(replica.dead_until, 0)

    def test_a_node_that_is_heard_twice_has_one_vote(self) -> None:
        """Symptom: the word of one node makes a death sure elsewhere.

        Sequence: it tells an alarm; then its data centre tells the sum, which
        holds its word too. Cause: both were counted.
        """
        replica = Suspicion()
        replica.take(Word(1, 9, 1, 'a-1', 'a'), 2)
        replica.take(Word(1, 9, 1, 'all of a', 'a'), 2)
        self.assertEqual(replica.count_votes(2), 1)
        replica.take(Word(1, 9, 1, 'b-1', 'b'), 2)
        self.assertEqual(replica.count_votes(2), SURE_VOTES)

    def test_a_word_that_is_not_taken_begins_no_loss(self) -> None:
        """Symptom: surveys go on while two nodes are cut off.

        Sequence: they repeat that a replica is silent, which this node has
        heard from since. Cause: an old word of it was still kept, and each
        repeated one counted as the first.
        """
        view = FleetView()
        for name in ('one', 'two'):
            view.announce(build_replica(name, layers=(0, _LAYERS)), 1)
            view.suspect(name, 2, 1, witness='n1', since=1)
            view.known[name].suspicion.heard_at = 4.0
        for name in ('one', 'two'):
            view.suspect(name, 7, 5, witness='n2', since=3.9)
        self.assertFalse(view.loss_round.is_recent(5))
        self.assertFalse(view.loss_round.is_under_way(5))

    def test_a_false_death_is_counted(self) -> None:
        view = FleetView()
        view.announce(build_replica('one', layers=(0, _LAYERS)), 1)
        view.suspect('one', 9, 1, votes=SURE_VOTES)
        view.trust('one', 2)
        self.assertEqual(view.false_deaths, 1)
        self.assertEqual(len(view.list_present(_SERVICE, 3)), 1)

    async def _play_deaf(self) -> None:
        fleet = _Fleet(21, 29)
        with patch(
            'samphirerill.relay.health.probe_retries.ask_once', fleet.ask_once
        ):
            fleet.deaf = {fleet.nodes[1].name, fleet.nodes[2].name}
            for node in fleet.nodes[1:3]:
                await fleet.fall_silent(node, ['r0', 'r1', 'r2', 'r3'])
            await asyncio.sleep(_KNOWN_S)
            self.assertEqual(fleet.find_knowing(), len(fleet.nodes) - 2)
        fleet.end()
