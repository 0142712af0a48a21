"""The leader, its lease and its fencing token over a restore of the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest.mock import Mock

from samphirerill.fleet.revisions import get_number
from samphirerill.relay.leadership import LEADER_KEY, Leadership
from samphirerill.relay.state import EdgeState
from samphirerill.tests.test_store_eras import StoreCase

if TYPE_CHECKING:
    from samphirerill.platform.store import PlatformStore

_LEASE_S = 2.0
_POLL_S = 0.02
_ELECTION_S = 6.0


class TestLeader(StoreCase):
    """The leader, its lease and its fencing token."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = self.build_candidate('first', self.store)
        self.second = self.build_candidate('second', self.build_client())
        await self.first.campaign_or_renew()
        self.assertTrue(self.first.is_leader())

    def build_candidate(self, name: str, store: PlatformStore) -> Leadership:
        """Return a candidate that knows of no leader."""
        state = Mock(spec=EdgeState, settings=Mock(), random=Mock())
        state.settings.name = name
        state.random.random.return_value = 0.0
        state.count_nodes.return_value = 1
        candidate = Leadership(cast('EdgeState', state), store)
        candidate.apply_snapshot([], 0)
        return candidate

    async def test_fencing_tokens_rise_over_a_restore(self) -> None:
        """Guards against replicas that refuse the orders of a new leader."""
        before = self.first.fencing_token
        await self.restore_without_leader()
        await self.store.read('a')
        await self.lead(self.first)
        self.assertGreater(self.first.fencing_token, before)
        self.assertLessEqual(
            get_number(self.first.fencing_token), get_number(before)
        )

    async def test_nobody_leads_beside_one_that_lost_its_lease(self) -> None:
        """Guards against orders of two leaders."""
        await self.second.campaign_or_renew()
        await self.second._store.read('a')  # noqa: SLF001
        await self.restore_without_leader()
        await self.second._store.read('a')  # noqa: SLF001
        restored_at = asyncio.get_running_loop().time()
        await self.lead(self.second)
        waited_s = asyncio.get_running_loop().time() - restored_at
        self.assertGreaterEqual(waited_s, _LEASE_S)
        self.assertFalse(self.first.is_leader())

    async def test_nobody_is_elected_while_the_store_is_restored(self) -> None:
        """Guards against an election whose calls are of two eras."""
        await self.second._store.read('a')  # noqa: SLF001
        await self.restore_without_leader()
        await self.second.campaign_or_renew()
        self.assertFalse(self.second.is_leader())

    async def test_a_leader_is_confirmed_before_it_goes_on(self) -> None:
        await self.fake_store.restore(self.fake_store.take_copy())
        await self.store.read('a')
        self.assertFalse(self.first.is_leader())
        await self.first.campaign_or_renew()
        self.assertTrue(self.first.is_leader())

    async def test_a_leader_without_its_key_steps_down(self) -> None:
        copy = self.fake_store.take_copy()
        copy.keys.pop(LEADER_KEY)
        await self.fake_store.restore(copy)
        await self.store.read('a')
        await self.first.campaign_or_renew()
        self.assertFalse(self.first.is_leader())

    async def restore_without_leader(self) -> None:
        """Restore a copy that was taken before the leader was elected."""
        copy = self.fake_store.take_copy()
        copy.keys.clear()
        copy.leases.clear()
        await self.fake_store.restore(copy)
        self.fake_store.revision = 0

    async def lead(self, candidate: Leadership) -> None:
        """Let a candidate campaign until it leads."""
        async with asyncio.timeout(_ELECTION_S):
            while not candidate.is_leader():
                await candidate.campaign_or_renew()
                await asyncio.sleep(_POLL_S)
