"""Back-offs that replicas asked other nodes for."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import msgpack

from samphirerill.fleet.endpoints import choose_endpoint
from samphirerill.fleet.load import LoadTracker
from samphirerill.fleet.paths import PathRequest
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.health.alarms import TYPE_PREFIX, Alarm
from samphirerill.relay.platform_adapter import ResponseMetadata, RetryAfter
from samphirerill.relay.replica_ids import checksum_name
from samphirerill.tests.fleet_builders import ENGINE, build_replica
from samphirerill.tests.peers import Network, Node

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_OK = 200
_UNAVAILABLE = 503
_STARTED_MS = 5
_SETTLE_S = 0.1
_LAYERS = (0, 80)
# All layers fit into one replica.
_ENGINE = replace(ENGINE, layer_mb=100)


class TestReportedBackOffs(IsolatedAsyncioTestCase):
    """Three nodes that know two engines."""

    async def asyncSetUp(self) -> None:
        network = Network()
        self.nodes = [Node(network, f'a-{number}', 'a') for number in range(3)]
        for node in self.nodes:
            node.add_peers(self.nodes)
            for name in ('one', 'two'):
                node.state.view.apply_announcement(self.build_engine(name), 1)
        self.view = self.nodes[1].state.view
        self.admission = AdmissionQueue(self.nodes[1].state)
        self.now = asyncio.get_running_loop().time()

    def build_engine(self, name: str) -> Replica:
        """Return an engine with all layers."""
        engine = build_replica(name, 'a', 'large', _LAYERS)
        return replace(engine, started_ms=_STARTED_MS)

    async def refuse(self, name: str, text: str = '3') -> None:
        """Let a replica refuse a request of the first node."""
        self.nodes[0].state.response_notices.handle(
            self.build_engine(name),
            _UNAVAILABLE,
            ResponseMetadata(retry_after=RetryAfter(text, float(text))),
        )
        await asyncio.sleep(_SETTLE_S)

    def deliver(self, *fields: object) -> None:
        """Deliver an alarm to the second node."""
        data = msgpack.encode(('a-0', 'a', 7, 1, {}, {}, *fields))
        self.nodes[1].alarms.handle_datagram(
            TYPE_PREFIX + data, '10.0.0.0:7340'
        )

    def find_heads(self) -> set[str]:
        """Return the engines that the second node would send a stream to."""
        stages = self.admission.find_path('llm', _ENGINE, PathRequest(100))
        return {stage.replica.replica_id for stage in stages}

    async def test_other_nodes_prefer_replicas_that_did_not_ask(self) -> None:
        """Guard against one refused request of each node."""
        for name, other in (('one', 'two'), ('two', 'one')):
            with self.subTest(name):
                await self.asyncSetUp()
                await self.refuse(name)
                self.assertEqual(self.find_heads(), {other})

    async def test_other_nodes_use_it_if_there_is_no_other(self) -> None:
        """Guard against idle replicas that turned one node away."""
        await self.refuse('one')
        await self.refuse('two')
        self.assertTrue(self.find_heads())
        self.assertTrue(self.view.list_usable('llm', self.now))

    async def test_plain_requests_prefer_replicas_that_did_not_ask(
        self,
    ) -> None:
        await self.refuse('one')
        tried: set[str] = set()
        order = []
        for _ in range(2):
            found = choose_endpoint(
                self.view, LoadTracker(), 'llm', tried, self.now
            )
            assert found is not None
            order.append(found.replica.replica_id)
            tried.add(order[-1])
        self.assertEqual(order, ['two', 'one'])

    async def test_reported_back_off_ends(self) -> None:
        await self.refuse('one', '0.3')
        self.assertEqual(self.find_heads(), {'two'})
        until = self.view.replicas['one'].reported_backoff_until
        self.assertLess(until, self.now + 0.6)

    async def test_new_process_is_not_concerned(self) -> None:
        """Guard against a restarted replica that inherits a back-off."""
        engine = replace(self.build_engine('one'), started_ms=_STARTED_MS + 1)
        self.view.apply_announcement(engine, 2)
        await self.refuse('one')
        self.assertEqual(self.view.replicas['one'].reported_backoff_until, 0)

    async def test_reported_duration_is_bounded(self) -> None:
        """Guard against a replica that is avoided for good."""
        self.deliver({checksum_name('one'): (10**9, _STARTED_MS)})
        until = self.view.replicas['one'].reported_backoff_until
        self.assertGreater(until, self.now + 50)
        self.assertLess(until, self.now + 70)

    async def test_alarms_of_other_versions_are_understood(self) -> None:
        """Guard against nodes that ignore each other during an update."""
        self.deliver()
        self.deliver({}, {}, 'a later field')
        decoded = msgpack.decode(
            msgpack.encode(('a-0', 'a', 7, 1, {}, {})), type=Alarm
        )
        self.assertEqual((decoded.backoffs, decoded.leaving), ({}, {}))

    async def test_leaving_is_known_to_all_nodes(self) -> None:
        """Guard against a leader that plans with a replica that is leaving."""
        losses = self.view.loss_count
        for name in ('one', 'two'):
            self.nodes[0].state.response_notices.handle(
                self.build_engine(name), _OK, ResponseMetadata(is_leaving=True)
            )
        await asyncio.sleep(_SETTLE_S)
        for node in self.nodes:
            view = node.state.view
            self.assertEqual(view.list_unconfirmed('llm', self.now), [])
        self.assertEqual(self.view.loss_count, losses + 2)
        self.assertEqual(self.nodes[0].state.counters['alarms.sent'], 1)
        self.assertEqual(self.nodes[1].state.counters['alarms.sent'], 0)

    async def test_leaving_of_previous_process_is_ignored(self) -> None:
        """Guard against taking out a restarted replica."""
        engine = replace(self.build_engine('one'), started_ms=_STARTED_MS + 1)
        self.view.apply_announcement(engine, 2)
        self.deliver({}, {checksum_name('one'): _STARTED_MS})
        self.assertFalse(self.view.is_leaving('one'))
        self.assertFalse(self.view.is_leaving('two'))

    async def test_back_offs_are_reported_together(self) -> None:
        """Guard against a datagram for each refused request."""
        for _ in range(50):
            for name in ('one', 'two'):
                self.nodes[0].state.response_notices.handle(
                    self.build_engine(name),
                    _UNAVAILABLE,
                    ResponseMetadata(retry_after=RetryAfter('3', 3.0)),
                )
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual(self.nodes[0].state.counters['alarms.sent'], 1)
