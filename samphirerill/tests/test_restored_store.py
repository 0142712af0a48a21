"""The store comes back from a copy, and gives out revisions again."""

from __future__ import annotations

from samphirerill.tests.restored_store import (
    DRAIN_S,
    RestoredStoreCase,
)

_LOST_WRITES = 40


class TestChangesAfterRestore(RestoredStoreCase):
    """What is written after a restore reaches every node."""

    async def test_a_replica_that_leaves_gets_no_requests(self) -> None:
        """Guards against changes that reused revisions hide from nodes."""
        copy = self.store.take_copy()
        await self.write_others(_LOST_WRITES)
        await self.restore(copy)
        await self.rewrite()
        left_at = self.loop.time()
        await self.announce('desk-1', 'draining')
        late = await self.count_requests_after_drain(
            'desk-1', left_at + DRAIN_S
        )
        self.assertEqual(late, 0)

    async def test_an_outage_alone_hides_nothing(self) -> None:
        await self.write_others(_LOST_WRITES)
        await self.restore(self.store.take_copy())
        await self.rewrite()
        left_at = self.loop.time()
        await self.announce('desk-1', 'draining')
        late = await self.count_requests_after_drain(
            'desk-1', left_at + DRAIN_S
        )
        self.assertEqual(late, 0)
