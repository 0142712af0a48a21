"""What is known against a request is known to all nodes, at a bounded cost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import TestCase

from samphirerill.quarantine import Death, digest_request
from samphirerill.relay.quarantine import Keeper, Sharing
from samphirerill.testing.virtual_time import run_virtually
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from collections.abc import Coroutine

_GUILTY = digest_request('suva', b'/notes/x', b'ends them')
_ENDS = ('r1', 'r2', 'r3')
# Evidence settles for 0.1 s, and datagrams gather for a moment.
_KNOWN_S = 0.25
# Who starts later, or was cut off, is told by others in turn.
_CAUGHT_UP_S = 4.0
# For all that a node spends on control it has 9 KB a second.
_MOST_BYTES_PER_S = 3000
_STREAMS = 96
_LARGE = 195


class _Telling:
    """Nodes that tell each other evidence; `lost` hear nothing for now."""

    def __init__(self, count: int) -> None:
        self.network = Network()
        self.sent_bytes = 0
        self.lost: set[str] = set()
        self.keepers: dict[str, Keeper] = {}
        self.sharings: dict[str, Sharing] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.nodes: list[Node] = []
        self._deliver = self.network.send
        self.network.send = self._send  # type: ignore[method-assign]
        for number in range(count):
            self.add(number)
        for node in self.nodes:
            node.add_peers(self.nodes)

    def add(self, number: int) -> Node:
        """Start a node."""
        zone = 'abc'[number % 3]
        node = Node(self.network, f'{zone}-{number}', zone)
        keeper = Keeper(node.state)
        sharing = Sharing(node.state, keeper)
        sharing.bind(node.status_sender)
        node.receiver.add_handler(sharing.type_prefix, sharing.handle_datagram)
        self.keepers[node.name] = keeper
        self.sharings[node.name] = sharing
        self.tasks.append(asyncio.create_task(sharing.run()))
        self.nodes.append(node)
        return node

    def see_ends(self, node: Node, request: bytes, *ends: str) -> None:
        """Let a node see that a request ended replicas, a second apart."""
        now = asyncio.get_running_loop().time()
        for number, name in enumerate(ends):
            at = now - len(ends) + number
            death = Death(name, f'{node.name}-{number}', at)
            self.keepers[node.name].note_death(request, death)
        self.sharings[node.name].tell((request,))

    def count_knowing(self) -> int:
        """Return how many nodes hold the request back."""
        now = asyncio.get_running_loop().time()
        return sum(
            node.state.quarantine.find_held_until(_GUILTY, now) > 0
            for node in self.nodes
        )

    def end(self) -> None:
        """End what the nodes do by themselves."""
        for task in self.tasks:
            task.cancel()

    def _send(self, sender: str, data: bytes, host: str) -> None:
        self.sent_bytes += len(data)
        if not {sender, host} & self.lost:
            self._deliver(sender, data, host)


class TestSharing(TestCase):
    """Nodes that heard, and nodes that could not."""

    def test_all_nodes_know_at_once(self) -> None:
        for count in (3, 24, _LARGE):
            with self.subTest(count):
                self.play(self._play_at_once(count))

    def test_ends_that_different_nodes_saw_are_put_together(self) -> None:
        """Each of three nodes has seen one end."""
        self.play(self._play_apart())

    def test_a_node_that_was_cut_off_catches_up(self) -> None:
        self.play(self._play_cut_off())

    def test_a_node_that_starts_later_is_told(self) -> None:
        self.play(self._play_newcomer())

    def test_an_end_under_many_requests_is_told_in_bounds(self) -> None:
        """Symptom: links are filled by what nodes tell each other.

        Sequence: a replica ends that ran 96 requests of 195 nodes; all of
        them are told, and again and again later. Cause: no bound.
        """
        self.play(self._play_many())

    def test_what_is_no_evidence_is_passed_over(self) -> None:
        self.play(self._play_garbage())

    def test_single_ends_are_not_told_all_day(self) -> None:
        """After each end some requests have seen just that one."""
        self.play(self._play_single())

    def play(self, work: Coroutine[None, None, None]) -> None:
        """Play on a clock of its own."""
        run_virtually(work)

    async def _play_at_once(self, count: int) -> None:
        fleet = _Telling(count)
        fleet.see_ends(fleet.nodes[0], _GUILTY, *_ENDS)
        await asyncio.sleep(_KNOWN_S)
        self.assertEqual(fleet.count_knowing(), count)
        fleet.end()

    async def _play_apart(self) -> None:
        fleet = _Telling(24)
        for node, name in zip(fleet.nodes, _ENDS, strict=False):
            fleet.see_ends(node, _GUILTY, name)
            await asyncio.sleep(1)
        await asyncio.sleep(_KNOWN_S)
        self.assertEqual(fleet.count_knowing(), 24)
        fleet.end()

    async def _play_cut_off(self) -> None:
        fleet = _Telling(24)
        fleet.lost.update(node.host for node in fleet.nodes[12:])
        fleet.see_ends(fleet.nodes[0], _GUILTY, *_ENDS)
        await asyncio.sleep(_CAUGHT_UP_S)
        self.assertEqual(fleet.count_knowing(), 12)
        fleet.lost.clear()
        await asyncio.sleep(_CAUGHT_UP_S)
        self.assertEqual(fleet.count_knowing(), 24)
        fleet.end()

    async def _play_newcomer(self) -> None:
        fleet = _Telling(24)
        fleet.see_ends(fleet.nodes[0], _GUILTY, *_ENDS)
        await asyncio.sleep(_KNOWN_S)
        newcomer = fleet.add(24)
        for node in fleet.nodes:
            node.add_peers(fleet.nodes)
        await asyncio.sleep(_CAUGHT_UP_S)
        self.assertEqual(fleet.count_knowing(), 25, newcomer.name)
        fleet.end()

    async def _play_garbage(self) -> None:
        fleet = _Telling(3)
        node = fleet.nodes[0]
        for text in (b'', b'\x95', b'\x94\xa1n\x01\x01\xc4\x00', b'x' * 999):
            datagram = fleet.sharings[node.name].type_prefix + text
            node.receiver.datagram_received(datagram, ('10.0.1.1', 1))
        self.assertEqual(len(node.state.quarantine), 0)
        fleet.end()

    async def _play_single(self) -> None:
        fleet = _Telling(24)
        fleet.see_ends(fleet.nodes[0], _GUILTY, 'r1')
        await asyncio.sleep(10)
        fleet.sent_bytes = 0
        await asyncio.sleep(5)
        self.assertEqual(fleet.sent_bytes, 0)
        fleet.end()

    async def _play_many(self) -> None:
        fleet = _Telling(_LARGE)
        fleet.see_ends(fleet.nodes[0], _GUILTY, *_ENDS)
        for number in range(_STREAMS):
            node = fleet.nodes[2 * number]
            request = digest_request('viti', b'/notes/x', b'%d' % number)
            fleet.see_ends(node, request, 'r3')
        await asyncio.sleep(2)
        fleet.sent_bytes = 0
        await asyncio.sleep(5)
        each = fleet.sent_bytes / 5 / _LARGE
        self.assertLess(each, _MOST_BYTES_PER_S)
        self.assertEqual(fleet.count_knowing(), _LARGE)
        fleet.end()
