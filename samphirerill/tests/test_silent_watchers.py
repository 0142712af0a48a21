"""Nodes that watch the store for others fall silent, or lose it silently."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.watchers import choose_watcher, list_watchers
from samphirerill.testing.cut_links import CutKind, CutLinks
from samphirerill.testing.free_ports import find_ports
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from samphirerill.relay.process import EdgeProcess

_NODES = 7
_REPLICAS = ('desk-1', 'desk-2', 'desk-3')
_FIRST_VERSION = 7
# Within this a configuration is in force, and a leaving replica gets no requests.
_IN_FORCE_S = 2.0
# Nodes have exchanged their status, and know who watches the store, by then.
_START_S = 3.2
_POLL_S = 0.01
_TIMEOUT_S = 10.0


class SilentWatchersCase(IsolatedAsyncioTestCase):
    """Seven nodes, three of which watch the store for the others."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.loop.set_debug(False)
        self.harness = PlatformHarness(find_ports())
        self.nodes: dict[str, EdgeProcess] = {}
        self.watchers: list[str] = []
        self.links = CutLinks(self.is_cut_address)
        self.addAsyncCleanup(self.harness.stop)
        self.addCleanup(self.links.restore)
        with self.links.started_as('node-1'):
            await self.harness.start()
        self.store = self.harness.store
        await self.store.put('op/config', build_configuration(_FIRST_VERSION))
        for name in _REPLICAS:
            await self.harness.add_replica(name)
            await self.announce(name)
        nodes = [self.harness.require_first_node()]
        while len(nodes) < _NODES:
            with self.links.started_as(f'node-{len(nodes) + 1}'):
                nodes.append(self.harness.start_node())
        for node in nodes:
            await self.harness.wait_for_replica_count(len(_REPLICAS), node)
        self.nodes = {node.state.settings.name: node for node in nodes}
        self.watchers = list_watchers(self.nodes)
        await asyncio.sleep(_START_S)

    def is_cut_address(self, address: str) -> bool:
        """Return whether cuts apply to an address."""
        return self.harness.is_store(address)

    async def announce(self, name: str, state: str = 'ready') -> None:
        """Write the announcement of a replica to the store."""
        address = self.harness.addresses[name]
        entry = build_announcement('desk', address, state=state)
        await self.store.put(f'servers/{name}', entry)

    def list_others(self, names: Iterable[str]) -> list[EdgeProcess]:
        """Return all nodes but those named."""
        return [node for name, node in self.nodes.items() if name not in names]

    async def begin_watches(self) -> None:
        """Let all watches of the store begin now."""
        await self.store.put('notes/1', b'x')
        await asyncio.sleep(_POLL_S)

    async def measure_delay(self, is_known: Callable[[], bool]) -> float:
        """Return how long it takes until something is known."""
        began_at = self.loop.time()
        async with asyncio.timeout(_TIMEOUT_S):
            while not is_known():
                await asyncio.sleep(_POLL_S)
        return self.loop.time() - began_at

    async def measure_configuration(
        self, nodes: Iterable[EdgeProcess]
    ) -> float:
        """Return how long a new configuration takes to reach nodes."""
        version = _FIRST_VERSION + 2
        await self.store.put('op/config', build_configuration(version))
        return await self.measure_delay(
            lambda: all(node.state.version == version for node in nodes)
        )


class TestWatchersLoseTheStore(SilentWatchersCase):
    """Watchers are cut off from the store; nothing else is."""

    async def test_a_configuration_is_in_force_on_other_nodes(self) -> None:
        """Guards against watchers that report an old state as the present one."""
        await self.begin_watches()
        for name in self.watchers:
            self.links.cut(name, CutKind.SILENT)
        others = self.list_others(self.watchers)
        delay_s = await self.measure_configuration(others)
        self.assertLess(delay_s, _IN_FORCE_S)


class TestWatchersFallSilent(SilentWatchersCase):
    """No watcher answers the polls of the other nodes any more."""

    def is_cut_address(self, address: str) -> bool:
        """Return whether an address is a watcher's port for other nodes."""
        return any(
            address == self.nodes[name].state.settings.peers
            for name in self.watchers
        )

    async def test_a_configuration_is_in_force_on_other_nodes(self) -> None:
        """Guards against waiting for one silent watcher after the other."""
        await self.begin_watches()
        others = self.list_others(self.watchers)
        for node in others:
            name = node.state.settings.name
            self.links.cut(name, CutKind.ACCEPTED_SILENT)
        delay_s = await self.measure_configuration(others)
        self.assertLess(delay_s, _IN_FORCE_S)


class TestTwoWatchersLoseTheStore(SilentWatchersCase):
    """Two watchers are cut off from the store, one is not."""

    async def test_a_leaving_replica_is_known_to_other_nodes(self) -> None:
        """Guards against listening to one cut-off watcher after the other."""
        listener = next(
            name for name in self.nodes if name not in self.watchers
        )
        first = choose_watcher(listener, self.nodes, ())
        second = choose_watcher(listener, self.nodes, {first})
        await self.begin_watches()
        for name in (first, second):
            self.links.cut(name, CutKind.SILENT)
        await self.announce('desk-1', 'draining')
        others = self.list_others({first, second})
        delay_s = await self.measure_delay(
            lambda: all(node.state.view.is_leaving('desk-1') for node in others)
        )
        self.assertLess(delay_s, _IN_FORCE_S)
