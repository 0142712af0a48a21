"""New connections that a node opens to endpoints."""

from __future__ import annotations

import asyncio
from random import Random
from unittest.mock import patch

from samphirerill.fleet.load import ReplicaLoad
from samphirerill.fleet.model import ClientLimits
from samphirerill.tests.test_edge import EdgeCase
from samphirerill.tests.two_engines import OK, build_headers

# The margin before the end of the idle time leaves 0.4 s for reuse.
_IDLE_TIMEOUT_S = 1
_EVENT_INTERVAL_S = 0.11
_REQUESTS = 3
_ENGINES = 6
_STREAMS = 30


class TestHeadChoice(EdgeCase):
    """Streams one after another, while other nodes load the engines."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(3, _ENGINES + 1):
            name = f'engine-{number}'
            await self.harness.add_replica(name)
            await self.announce(name, layers=(0, 80))
        await self.harness.wait_for_replica_count(_ENGINES + 1)
        self.random = Random(2)

    async def test_streams_use_engines_with_idle_connections(self) -> None:
        """Small differences in load led to a new connection each time."""
        await self.send_streams(most_others=2)
        self.assertLessEqual(self.count_accepted(), _STREAMS / 10)

    async def test_idle_connections_do_not_outweigh_load(self) -> None:
        """Streams would pile up on few engines."""
        await self.send_streams(most_others=60)
        self.assertGreaterEqual(self.count_accepted(), _ENGINES / 2)

    async def send_streams(self, most_others: int) -> None:
        """Send streams while each engine runs a random number of others."""
        load_tracker = self.harness.require_first_node().state.load_tracker
        for number in range(_STREAMS):
            others = {
                f'engine-{engine}': ReplicaLoad(
                    self.random.randint(0, most_others), 0
                )
                for engine in range(1, _ENGINES + 1)
            }
            now = asyncio.get_running_loop().time()
            load_tracker.update_peer('other', others, now)
            await self.stream(build_headers(f'r{number}'))

    def count_accepted(self) -> int:
        """Return the number of connections for streams."""
        counters = self.harness.require_first_node().state.counters
        return counters['connections.made']


class TestConnectionReuse(EdgeCase):
    """Requests one after another to the same endpoints."""

    async def test_stream_longer_than_idle_time_keeps_its_connection(
        self,
    ) -> None:
        """The idle time was counted from the head of the response."""
        await self.announce('engine-2', state='draining')
        replica = self.harness.replicas['engine-1']
        replica.event_interval_s = _EVENT_INTERVAL_S
        limits = ClientLimits(idle_timeout_s=_IDLE_TIMEOUT_S)
        with patch.object(replica, 'get_limits', return_value=limits):
            for number in range(_REQUESTS):
                events = await self.stream(build_headers(f'r{number}'))
                self.assertEqual(events, self.build_events(5))
        counters = self.harness.require_first_node().state.counters
        self.assertEqual(counters['connections.made'], 1)

    async def test_requests_that_run_once_use_proven_connections(
        self,
    ) -> None:
        """A new connection for each, also right after a response."""
        for number in range(_REQUESTS):
            await self.send_once(number)
        self.assertEqual(self.harness.accepted_connections['desk-1'], 1)

    async def test_requests_that_run_once_avoid_older_connections(
        self,
    ) -> None:
        """A connection may have fallen silent, or be about to be closed."""
        with patch('samphirerill.relay.connection._PROOF_S', 0.0):
            for number in range(_REQUESTS):
                await self.send_once(number)
        self.assertEqual(self.harness.accepted_connections['desk-1'], _REQUESTS)

    async def test_idle_time_has_to_be_stated_for_requests_that_run_once(
        self,
    ) -> None:
        """An endpoint that states none may close a connection at any time."""
        parse = 'samphirerill.relay.connection._parse_idle_timeout_s'
        with patch(parse, return_value=None):
            for number in range(_REQUESTS):
                await self.send_once(number)
        self.assertEqual(self.harness.accepted_connections['desk-1'], _REQUESTS)

    async def send_once(self, number: int) -> None:
        """Send a request that is not idempotent."""
        status, _ = await self.harness.send_request(
            b'/pickup/x', build_headers(f'r{number}')
        )
        self.assertEqual(status, OK)
