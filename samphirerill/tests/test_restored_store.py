"""The store comes back from a copy, and gives out revisions again."""

from __future__ import annotations

import asyncio

from samphirerill.fleet.revisions import get_era
from samphirerill.tests.restored_store import (
    DRAIN_S,
    FIRST_VERSION,
    REPLICAS,
    RestoredStoreCase,
    get_known_revision,
)

_LOST_WRITES = 40
_JUST_BEFORE_S = 0.1
# Within this a configuration must be in force on all nodes.
_CONFIGURATION_S = 3.0
# Leaves the rest of `DRAIN_S` for a change that follows the restore.
_NOTICE_S = 1.5
# Missing entries count as gone by then.
_SETTLE_S = 4.0


class TestChangesAfterRestore(RestoredStoreCase):
    """What is written after a restore reaches every node."""

    async def test_a_replica_that_leaves_gets_no_requests(self) -> None:
        """Guards against changes that reused revisions hide from nodes."""
        copy = self.store.take_copy()
        await self.write_others(_LOST_WRITES)
        await self.restore(copy)
        await self.rewrite()
        await self.assert_leaves('desk-1')

    async def test_an_outage_alone_hides_nothing(self) -> None:
        await self.write_others(_LOST_WRITES)
        await self.restore(self.store.take_copy())
        await self.rewrite()
        await self.assert_leaves('desk-1')

    async def test_a_replica_that_had_left_before_stays_leaving(self) -> None:
        """Guards against an older entry that undoes what a replica has said."""
        copy = self.store.take_copy()
        left_at = self.loop.time()
        await self.announce('desk-1', 'draining')
        await self.wait_until(self.is_known_to_all)
        await self.restore(copy)
        await self.assert_unused('desk-1', left_at + DRAIN_S)

    async def test_a_replica_that_left_just_before_stays_leaving(self) -> None:
        copy = self.store.take_copy()
        left_at = self.loop.time()
        await self.announce('desk-1', 'draining')
        await asyncio.sleep(_JUST_BEFORE_S)
        await self.restore(copy)
        await self.rewrite()
        await self.announce('desk-1', 'draining')
        await self.assert_unused('desk-1', left_at + DRAIN_S)

    async def test_a_configuration_is_in_force_everywhere(self) -> None:
        copy = self.store.take_copy()
        await self.write_others(_LOST_WRITES)
        await self.restore(copy)
        await self.rewrite(FIRST_VERSION + 2)
        async with asyncio.timeout(_CONFIGURATION_S):
            await self.wait_until(
                lambda: all(
                    node.state.version == FIRST_VERSION + 2
                    for node in self.nodes
                )
            )

    async def test_a_replica_that_only_the_copy_has_gets_no_requests(
        self,
    ) -> None:
        """Guards against the return of a replica whose entry was removed."""
        copy = self.store.take_copy()
        removed_at = self.loop.time()
        await self.store.delete('servers/desk-1')
        await self.wait_until(self.is_known_to_all)
        await self.restore(copy)
        await self.assert_unused('desk-1', removed_at + DRAIN_S)

    async def test_a_removed_replica_that_writes_again_is_used(self) -> None:
        copy = self.store.take_copy()
        await self.store.delete('servers/desk-1')
        await self.wait_until(self.is_known_to_all)
        await self.restore(copy)
        await self.rewrite()
        await self.announce('desk-1')
        await self.wait_until(self.all_know_both_replicas)

    async def test_two_restores_follow_each_other(self) -> None:
        copy = self.store.take_copy()
        await self.write_others(_LOST_WRITES)
        await self.restore(copy)
        await self.restore(copy, away_s=0)
        await self.assert_leaves('desk-1')
        self.assertTrue(self.is_era_known_to_all())

    async def test_a_restore_without_an_outage_is_noticed(self) -> None:
        """Guards against a revision that the store soon has again."""
        copy = self.store.take_copy()
        await self.write_others(_LOST_WRITES)
        await self.store.restore(copy)
        left_at = self.loop.time()
        await self.announce('desk-1', 'draining')
        await self.write_filler(2 * _LOST_WRITES)
        await self.assert_unused('desk-1', left_at + DRAIN_S)

    async def test_nodes_hear_of_a_restore_from_others(self) -> None:
        """Guards against watches that hide a restore while they wait."""
        await self.write_others(1)
        self.store.withholds_changes = True
        await self.store.restore(self.store.take_copy())
        async with asyncio.timeout(_NOTICE_S):
            await self.wait_until(self.is_era_known_to_all)

    def is_era_known_to_all(self) -> bool:
        """Return whether all nodes have listed the restored store."""
        eras = {get_era(get_known_revision(node)) for node in self.nodes}
        return eras == {self.store.era}

    async def test_live_replicas_keep_their_requests(self) -> None:
        """Guards against dropping replicas that a copy lacks."""
        copy = self.store.take_copy()
        copy.keys.pop('servers/desk-2')
        await self.restore(copy)
        for node in self.nodes:
            self.assertEqual(set(node.state.view.replicas), set(REPLICAS))
        await self.rewrite()
        await self.announce('desk-2')
        await asyncio.sleep(_SETTLE_S)
        self.assertTrue(self.all_know_both_replicas())

    def all_know_both_replicas(self) -> bool:
        """Return whether all nodes know both replicas."""
        return all(
            set(node.state.view.replicas) == set(REPLICAS)
            for node in self.nodes
        )
