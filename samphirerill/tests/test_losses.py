"""Detection by all nodes of replicas that are lost together."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import TestCase
from unittest.mock import patch

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.suspicion import (
    CONFIRMING_VOTES,
    SilenceReport,
    Suspicion,
)
from samphirerill.fleet.view import FleetView
from samphirerill.relay.health import LossProber, ReplicaProber
from samphirerill.relay.health.probing import Probe, Verdict
from samphirerill.testing.virtual_time import run_with_virtual_time
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.active_stream import ActiveStream
    from samphirerill.relay.endpoint_dialer import Connect
    from samphirerill.relay.state import EdgeState

_SERVICE = 'llm'
_LATENCY_S = 0.004
_DETECTION_S = 0.5
# Time in which a stream stalls and the first probe fails.
_STALL_S = 0.14
_LOST_REPLICAS = 9
# A large configuration takes this long over a link of 10 Mbit/s.
_SATURATED_S = 0.37
_STORM_S = 1.0
_STALLED_STREAMS = 200
# Each of 29 replicas four times in each 0.2 s, and a few controls.
_MAX_STORM_PROBES = 29 * 4 * 5 + 40
_LAYERS = 80


class _FlowingStream:
    """A stream with an event at every moment."""

    def __init__(self, stages: tuple[Stage, ...]) -> None:
        self.stages = stages

    @property
    def last_event_at(self) -> float:
        """Return the loop time of the last event."""
        return asyncio.get_running_loop().time()


class _Fleet:
    """Nodes, replicas, and which of them can reach each other."""

    def __init__(self, nodes: int, replicas: int) -> None:
        self.network = Network()
        self.dead: set[str] = set()
        self.cut_off: set[str] = set()
        self.crashed: set[str] = set()
        # When the saturated link of a node is free again, by its name.
        self.link_free_at: dict[str, float] = {}
        self.probe_count = 0
        self.nodes = [
            Node(self.network, f'{data_centre}-{number}', data_centre)
            for number in range(nodes // 3)
            for data_centre in ('a', 'b', 'c')
        ]
        self.replicas = [
            build_replica(f'r{number}', 'abc'[number % 3], layers=(0, _LAYERS))
            for number in range(replicas)
        ]
        self.probers: dict[str, ReplicaProber] = {}
        self.tasks: list[asyncio.Task[None]] = []
        for node in self.nodes:
            self._start_node(node)

    def stop(self) -> None:
        """Cancel the background tasks of the nodes."""
        for task in self.tasks:
            task.cancel()

    async def probe_once(
        self,
        state: EdgeState,
        replica: Replica,
        deadline: float,
        connect: Connect,
    ) -> Probe:
        """Stand in for a probe of a replica."""
        self.probe_count += 1
        loop = asyncio.get_running_loop()
        is_dead = replica.replica_id in self.dead
        if is_dead or state.settings.name in self.cut_off:
            await asyncio.sleep(deadline - loop.time())
            return Probe(loop.time(), Verdict.UNRESPONSIVE)
        free_at = self.link_free_at.get(state.settings.name, 0.0)
        await asyncio.sleep(max(_LATENCY_S, free_at - loop.time()))
        return Probe(loop.time(), Verdict.ALIVE)

    def crash_nodes(self, *numbers: int) -> None:
        """Let nodes crash: they neither send nor receive any more."""
        for number in numbers:
            node = self.nodes[number]
            self.network.nodes.pop(node.host)
            self.crashed.add(node.name)

    def add_streams(self, path: list[str]) -> None:
        """Let each node have a stream whose events keep arriving."""
        stages = tuple(
            Stage(replica, LayerRange(0, _LAYERS))
            for replica in self.replicas
            if replica.replica_id in path
        )
        for node in self.nodes:
            stream = cast('ActiveStream', _FlowingStream(stages))
            node.state.streams.add(stream)

    async def stall_stream(self, node: Node, path: list[str]) -> None:
        """Let a stream of one node stall on a path."""
        stages = tuple(
            Stage(replica, LayerRange(0, _LAYERS))
            for replica in self.replicas
            if replica.replica_id in path
        )
        await self.probers[node.name].diagnose_path(stages)

    def count_agreeing_nodes(self) -> int:
        """Return how many nodes take exactly the dead replicas for dead."""
        now = asyncio.get_running_loop().time()
        alive = {replica.replica_id for replica in self.replicas} - self.dead
        return sum(
            _list_present(node, now) == alive
            for node in self.nodes
            if node.name not in self.cut_off | self.crashed
        )

    def _start_node(self, node: Node) -> None:
        node.add_peers(self.nodes)
        node.state.random.seed(node.name)
        for replica in self.replicas:
            node.state.view.apply_announcement(replica, 1)
        prober = ReplicaProber(node.state, node.alarms)
        self.probers[node.name] = prober
        loss_prober = LossProber(
            node.state, prober, node.alarms, lambda: self.nodes[0].name
        )
        self.tasks.append(asyncio.create_task(loss_prober.run()))
        self.tasks.append(asyncio.create_task(node.status_sender.run()))


def _count_allowed_probes(replicas: int) -> int:
    """Return how many probes a loss may cost, whatever the number of nodes.

    Two nodes probe each replica, four times if it does not answer, and three
    controls for each unresponsive one. The stalled stream probes its path of
    four.
    """
    return 2 * replicas + 2 * (3 + 3) * _LOST_REPLICAS + 4 * 4


def _list_present(node: Node, now: float) -> set[str]:
    found = node.state.view.list_unconfirmed(_SERVICE, now)
    return {known.replica.replica_id for known in found}


class TestLargeLoss(TestCase):
    """Nine replicas are lost at once, and one stream stalls."""

    def test_small_fleet(self) -> None:
        """Guard against detecting only the replicas that streams wait for.

        The others would stay in use until their announcements expire.
        """
        self.check_detection(21, 29)

    def test_medium_fleet(self) -> None:
        self.check_detection(78, 106)

    def test_large_fleet(self) -> None:
        self.check_detection(195, 216)

    def test_nodes_that_crash_with_the_replicas_are_replaced(self) -> None:
        """Guard against replicas whose probing nodes are lost as well."""
        run_with_virtual_time(self._check_with_crashed_nodes())

    def check_detection(self, nodes: int, replicas: int) -> None:
        """Assert that all nodes know the whole loss within half a second."""
        run_with_virtual_time(self._check_detection(nodes, replicas))

    async def _check_detection(self, nodes: int, replicas: int) -> None:
        fleet = _Fleet(nodes, replicas)
        with patch(
            'samphirerill.relay.health.probe_retries.probe_once',
            fleet.probe_once,
        ):
            await asyncio.sleep(_DETECTION_S)
            fleet.dead = {f'r{number}' for number in range(_LOST_REPLICAS)}
            path = ['r0', 'r1', f'r{replicas - 1}', f'r{replicas - 2}']
            await fleet.stall_stream(fleet.nodes[1], path)
            await asyncio.sleep(_DETECTION_S / 2)
            self.assertEqual(fleet.count_agreeing_nodes(), nodes)
            loop = asyncio.get_running_loop()
            leader_loss = fleet.nodes[0].state.view.current_failure
            self.assertFalse(leader_loss.is_in_progress(loop.time()))
            self.assertLessEqual(
                fleet.probe_count, _count_allowed_probes(replicas)
            )
            # Renewed suspicions keep the replicas dead until their entries
            # expire, without streams being sent to them.
            await asyncio.sleep(4)
            self.assertEqual(fleet.count_agreeing_nodes(), nodes)
        fleet.stop()

    async def _check_with_crashed_nodes(self) -> None:
        fleet = _Fleet(21, 29)
        with patch(
            'samphirerill.relay.health.probe_retries.probe_once',
            fleet.probe_once,
        ):
            await asyncio.sleep(_DETECTION_S)
            fleet.dead = {f'r{number}' for number in range(_LOST_REPLICAS)}
            fleet.crash_nodes(0, 5, 9)
            await fleet.stall_stream(fleet.nodes[1], ['r0', 'r1', 'r20', 'r21'])
            await asyncio.sleep(_DETECTION_S - _STALL_S)
            self.assertEqual(fleet.count_agreeing_nodes(), 18)
        fleet.stop()


class TestFalseSuspicions(TestCase):
    """Nodes that are cut off suspect replicas that work."""

    def test_a_node_that_is_cut_off_reports_nothing(self) -> None:
        run_with_virtual_time(self._check_cut_off())

    def test_newer_evidence_outweighs_suspicions(self) -> None:
        """Guard against two cut-off nodes making a working replica dead.

        Suspicions do not count against a replica that has responded since.
        """
        replica = Suspicion()
        replica.note_alive(5.0)
        self.assertFalse(
            replica.add_report(SilenceReport(4.9, 9.0, 1, 'n1'), 5.1)
        )
        self.assertFalse(
            replica.add_report(SilenceReport(4.9, 9.0, 1, 'n2'), 5.1)
        )
        self.assertEqual(replica.confirmed_until, 0)
        self.assertFalse(
            replica.add_report(SilenceReport(5.1, 9.0, 1, 'n1'), 5.2)
        )
        self.assertTrue(
            replica.add_report(SilenceReport(5.1, 9.0, 1, 'n2'), 5.2)
        )
        self.assertFalse(replica.note_alive(5.05))
        self.assertEqual(replica.suspected_until, 9.0)
        self.assertTrue(replica.note_alive(5.3))
        self.assertEqual(replica.suspected_until, 0)

    def test_a_node_has_one_vote_in_alarm_and_aggregate(self) -> None:
        """Guard against counting the suspicion of one node twice."""
        replica = Suspicion()
        replica.add_report(SilenceReport(1, 9, 1, 'a-1', 'a'), 2)
        replica.add_report(SilenceReport(1, 9, 1, 'all of a', 'a'), 2)
        self.assertEqual(replica.count_votes(2), 1)
        replica.add_report(SilenceReport(1, 9, 1, 'b-1', 'b'), 2)
        self.assertEqual(replica.count_votes(2), CONFIRMING_VOTES)

    def test_a_rejected_suspicion_does_not_start_a_loss(self) -> None:
        """Guard against probing the fleet because of outdated suspicions."""
        view = FleetView()
        for name in ('one', 'two'):
            view.apply_announcement(build_replica(name, layers=(0, _LAYERS)), 1)
            view.add_silence_report(name, 2, 1, reporter='n1', since=1)
            view.replicas[name].suspicion.last_alive_at = 4.0
        for name in ('one', 'two'):
            view.add_silence_report(name, 7, 5, reporter='n2', since=3.9)
        self.assertFalse(view.current_failure.is_recent(5))
        self.assertFalse(view.current_failure.is_in_progress(5))

    def test_a_false_death_is_counted(self) -> None:
        view = FleetView()
        view.apply_announcement(build_replica('one', layers=(0, _LAYERS)), 1)
        view.add_silence_report('one', 9, 1, votes=CONFIRMING_VOTES)
        view.note_alive('one', 2)
        self.assertEqual(view.false_suspicions, 1)
        self.assertEqual(len(view.list_unconfirmed(_SERVICE, 3)), 1)

    async def _check_cut_off(self) -> None:
        fleet = _Fleet(21, 29)
        with patch(
            'samphirerill.relay.health.probe_retries.probe_once',
            fleet.probe_once,
        ):
            fleet.cut_off = {fleet.nodes[1].name, fleet.nodes[2].name}
            for node in fleet.nodes[1:3]:
                await fleet.stall_stream(node, ['r0', 'r1', 'r2', 'r3'])
            await asyncio.sleep(_DETECTION_S)
            self.assertEqual(fleet.count_agreeing_nodes(), len(fleet.nodes) - 2)
        fleet.stop()


class TestSaturatedLinks(TestCase):
    """The links of nodes are saturated while replicas are lost.

    Events of streams arrive late, and no probe is answered in time.
    """

    def test_all_nodes_at_once(self) -> None:
        """Guard against a living fleet that is taken for dead."""
        run_with_virtual_time(self._check(0.0))

    def test_one_node_after_the_other(self) -> None:
        """Guard against two such nodes that confirm each other's findings."""
        run_with_virtual_time(self._check(0.02))

    def test_many_stalled_streams_share_probes(self) -> None:
        """Guard against a storm of probes while no replica answers."""
        run_with_virtual_time(self._check_probe_count())

    def check_no_false_death(self, fleet: _Fleet) -> None:
        """Assert that no node takes a living replica for dead."""
        now = asyncio.get_running_loop().time()
        alive = {item.replica_id for item in fleet.replicas} - fleet.dead
        for node in fleet.nodes:
            self.assertEqual(alive - _list_present(node, now), set())

    async def _check(self, spacing_s: float) -> None:
        fleet = _Fleet(21, 29)
        flowing = [f'r{number}' for number in range(20, 29)]
        fleet.add_streams(flowing)
        with patch(
            'samphirerill.relay.health.probe_retries.probe_once',
            fleet.probe_once,
        ):
            await asyncio.sleep(_DETECTION_S)
            now = asyncio.get_running_loop().time()
            fleet.dead = {f'r{number}' for number in range(4)}
            for number, node in enumerate(fleet.nodes):
                free_at = now + spacing_s * number + _SATURATED_S
                fleet.link_free_at[node.name] = free_at
            silent = ['r0', *(f'r{number}' for number in range(8, 14))]
            await asyncio.sleep(_STALL_S)
            stalls = [
                asyncio.create_task(self._keep_stalling(fleet, node, silent))
                for node in fleet.nodes
            ]
            end = max(fleet.link_free_at.values()) + _DETECTION_S
            while asyncio.get_running_loop().time() < end:
                self.check_no_false_death(fleet)
                await asyncio.sleep(_LATENCY_S)
            self.assertEqual(fleet.count_agreeing_nodes(), len(fleet.nodes))
            for stall in stalls:
                stall.cancel()
        fleet.stop()

    async def _check_probe_count(self) -> None:
        fleet = _Fleet(3, 29)
        node = fleet.nodes[0]
        now = asyncio.get_running_loop().time()
        fleet.link_free_at[node.name] = now + _STORM_S
        with patch(
            'samphirerill.relay.health.probe_retries.probe_once',
            fleet.probe_once,
        ):
            stalls = [
                asyncio.create_task(
                    self._keep_stalling(fleet, node, [f'r{number % 29}'])
                )
                for number in range(_STALLED_STREAMS)
            ]
            await asyncio.sleep(_STORM_S)
            for stall in stalls:
                stall.cancel()
        self.assertLess(fleet.probe_count, _MAX_STORM_PROBES)
        fleet.stop()

    async def _keep_stalling(
        self, fleet: _Fleet, node: Node, path: list[str]
    ) -> None:
        while True:
            await fleet.stall_stream(node, path)
            await asyncio.sleep(_STALL_S)
