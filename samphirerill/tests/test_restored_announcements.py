"""Nodes announce themselves again, and start, after a restore of the store."""

from __future__ import annotations

import asyncio

from samphirerill.relay.membership import PREFIX
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.restored_store import FIRST_VERSION, RestoredStoreCase

_STARTED_S = 0.2


class TestAnnouncementsAfterRestore(RestoredStoreCase):
    """The nodes write again what they had written themselves."""

    async def test_nodes_announce_themselves_again(self) -> None:
        copy = self.store.take_copy()
        copy.leases.clear()
        for key in self.list_announcements():
            copy.keys.pop(key)
        await self.restore(copy)
        self.assertEqual(self.list_announcements(), [])
        await self.wait_until(
            lambda: len(self.list_announcements()) == self.node_count
        )

    def list_announcements(self) -> list[str]:
        """Return the keys at which nodes announce themselves."""
        return [key for key in self.store.keys if key.startswith(PREFIX)]


class TestStartAfterRestore(RestoredStoreCase):
    """A node starts while the store still lacks the latest writes."""

    node_count = 2

    async def test_it_is_ready_with_the_latest_configuration(self) -> None:
        """Guards against serving by a configuration that was superseded."""
        copy = self.store.take_copy()
        await self.store.put(
            'op/config', build_configuration(FIRST_VERSION + 2)
        )
        await self.wait_until(self.is_known_to_all)
        await self.restore(copy)
        node = self.harness.start_node()
        await self.harness.wait_until_ready(node)
        self.assertEqual(node.state.version, FIRST_VERSION + 2)

    async def test_it_is_ready_without_the_store(self) -> None:
        """Guards against a node that waits for a listing it can't get."""
        settings = self.nodes[0].state.settings
        self.store.is_unavailable = True
        node = self.harness.start_node()
        await asyncio.sleep(_STARTED_S)
        sync = node._membership._peer_sync  # noqa: SLF001
        sync.sync_if_behind(settings.peers, FIRST_VERSION, 0)
        await self.harness.wait_until_ready(node)
