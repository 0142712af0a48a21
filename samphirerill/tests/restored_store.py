"""Test case: several nodes whose store is restored from a copy."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.revisions import get_number
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.free_ports import find_ports
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.process import EdgeProcess
    from samphirerill.testing.platform_store import StoreCopy

REPLICAS = ('desk-1', 'desk-2')
FIRST_VERSION = 7
# What a replica that leaves may still get requests for.
DRAIN_S = 2.0
# Nodes have exchanged their status, and know who watches the store, by then.
_START_S = 2.2
_AWAY_S = 0.6
# How long operator and replicas take to write again what was lost.
_REWRITE_DELAY_S = 0.3
_INTERVAL_S = 0.04
_CHECK_S = 1.0
_TIMEOUT_S = 10.0
_POLL_S = 0.01


class RestoredStoreCase(IsolatedAsyncioTestCase):
    """Nodes in front of two plain replicas; some nodes poll the others."""

    node_count = 5

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.harness = PlatformHarness(find_ports())
        self.store = self.harness.store
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.store.put('op/config', build_configuration(FIRST_VERSION))
        for name in REPLICAS:
            await self.harness.add_replica(name)
            await self.announce(name)
        self.nodes = [self.harness.require_first_node()]
        while len(self.nodes) < self.node_count:
            self.nodes.append(self.harness.start_node())
        for node in self.nodes:
            await self.harness.wait_for_replica_count(len(REPLICAS), node)
        await asyncio.sleep(_START_S)

    async def announce(self, name: str, state: str = 'ready') -> None:
        """Write the announcement of a replica to the store."""
        address = self.harness.addresses[name]
        entry = build_announcement('desk', address, state=state)
        await self.store.put(f'servers/{name}', entry)

    async def write_others(self, count: int) -> None:
        """Write keys that do not matter, until all nodes know them."""
        await self.write_filler(count)
        await self.wait_until(self.is_known_to_all)

    async def write_filler(self, count: int) -> None:
        """Write keys that do not matter."""
        for number in range(count):
            await self.store.put(f'notes/{number}', b'x')

    def is_known_to_all(self) -> bool:
        """Return whether all nodes know the latest revision."""
        return all(
            get_number(get_known_revision(node)) >= self.store.revision
            for node in self.nodes
        )

    async def restore(self, copy: StoreCopy, away_s: float = _AWAY_S) -> None:
        """Take the store away for a moment and restore it."""
        self.store.is_unavailable = True
        await asyncio.sleep(away_s)
        await self.store.restore(copy)
        self.store.is_unavailable = False

    async def rewrite(self, version: int = FIRST_VERSION) -> None:
        """Let operator and replicas write again what was lost."""
        await asyncio.sleep(_REWRITE_DELAY_S)
        await self.store.put('op/config', build_configuration(version))

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(_POLL_S)

    async def send_requests(self, duration_s: float) -> None:
        """Send plain requests to all nodes in turn, one after another."""
        until = self.loop.time() + duration_s
        number = 0
        while self.loop.time() < until:
            node = self.nodes[number % len(self.nodes)]
            headers = build_headers(f'r{id(node)}-{number}')
            await self.harness.send_request(b'/pickup/x', headers, process=node)
            number += 1
            await asyncio.sleep(_INTERVAL_S)

    async def assert_leaves(self, name: str) -> None:
        """Let a replica say that it leaves; it must get no new requests."""
        until = self.loop.time() + DRAIN_S
        await self.announce(name, 'draining')
        await self.assert_unused(name, until)

    async def assert_unused(self, name: str, since: float) -> None:
        """Assert that no requests reach a replica from a time on."""
        await asyncio.sleep(max(0.0, since - self.loop.time()))
        received = self.harness.replicas[name].received_requests
        before = len(received)
        await self.send_requests(_CHECK_S)
        self.assertEqual(len(received) - before, 0)


def get_known_revision(node: EdgeProcess) -> int:
    """Return the store revision up to which a node knows the replicas."""
    return node.state.view.revision
