"""Holds of quarantined requests survive a restart of all nodes."""

from __future__ import annotations

import asyncio

from samphirerill.quarantine import Crash, digest_request
from samphirerill.relay.quarantine.stored_holds import PREFIX
from samphirerill.tests.crashing_engines import POISON, CrashingEnginesCase

_ARRIVALS = 4
_ARRIVAL_INTERVAL_S = 0.25
_SYNC_S = 1.0
_ACCOUNT = 'tromsvik'
_REQUEST = digest_request(_ACCOUNT, b'/notes/long', b'ends them')
# This many crashes make a hold of 40 minutes.
_CRASH_COUNT = 5


class TestStoredHolds(CrashingEnginesCase):
    """Holds that the leader writes and all nodes read."""

    async def quarantine_request(self) -> None:
        """Send the request until it is quarantined."""
        for number in range(_ARRIVALS):
            await self.send_poison(self.nodes[0], f'r{number}')
            await asyncio.sleep(_ARRIVAL_INTERVAL_S)
        await asyncio.sleep(_SYNC_S)

    async def test_the_key_expires_with_the_hold(self) -> None:
        """Guard against holds that stay in the store forever."""
        await self.quarantine_request()
        self.assertEqual(len(self.list_keys()), 1)
        await self.harness.store.expire_leases()
        self.assertEqual(self.list_keys(), [])

    async def test_a_hold_that_exceeds_the_longest_lease(self) -> None:
        """Guard against not storing holds longer than any lease."""
        quarantine = self.nodes[0].state.quarantine
        for number in range(_CRASH_COUNT):
            at = self.loop.time() - _CRASH_COUNT + number
            crash = Crash(f'engine-{number}', f'r{number}', at)
            quarantine.note_crash(_REQUEST, crash, self.loop.time())
        quarantine.update_holds(self.loop.time())
        await asyncio.sleep(_SYNC_S)
        self.assertEqual(self.list_keys(), [PREFIX + _REQUEST.hex()])

    async def test_a_refuted_hold_is_removed(self) -> None:
        """Guard against rejecting a request after its cause was fixed."""
        await self.quarantine_request()
        quarantine = self.nodes[0].state.quarantine
        request = next(iter(quarantine.list_records()))[0]
        quarantine.note_survival(request, self.loop.time())
        await asyncio.sleep(_SYNC_S)
        self.assertEqual(self.list_keys(), [])

    async def test_malformed_entries_are_ignored(self) -> None:
        """Guard against entries that stop nodes from reading the store."""
        await self.harness.store.put(f'{PREFIX}00', b'\xff not a hold')
        await self.harness.store.put(f'{PREFIX}01', b'{"written_ms": 1}')
        node = await self.add_node()
        self.assertEqual(len(node.state.quarantine), 0)

    async def test_the_key_does_not_reveal_the_body(self) -> None:
        await self.quarantine_request()
        digest = digest_request(_ACCOUNT, self.target, POISON)
        for key in self.list_keys():
            self.assertNotIn(POISON.hex(), key)
            self.assertEqual(len(key), len(PREFIX) + len(digest.hex()))

    def list_keys(self) -> list[str]:
        """Return the keys of the stored holds."""
        keys = self.harness.store.keys
        return [key for key in keys if key.startswith(PREFIX)]
