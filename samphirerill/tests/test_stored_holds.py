"""Requests that are held back stay so when all nodes start anew."""

from __future__ import annotations

import asyncio

from samphirerill.quarantine import Death, digest_request
from samphirerill.relay.quarantine.stored_holds import PREFIX
from samphirerill.tests.ending_engines import MARK, EndingEnginesCase

_RETURNS = 4
_EACH_S = 0.25
_SOON_S = 1.0
_ACCOUNT = 'tromsvik'
_REQUEST = digest_request(_ACCOUNT, b'/notes/long', b'ends them')
# The hold of so many ends is 40 minutes.
_LONG_ENDS = 5


class TestStoredHolds(EndingEnginesCase):
    """What the commander writes, and what nodes make of it."""

    async def condemn(self) -> None:
        """Let the request come until it is held back."""
        for number in range(_RETURNS):
            await self.send_marked(self.nodes[0], f'r{number}')
            await asyncio.sleep(_EACH_S)
        await asyncio.sleep(_SOON_S)

    async def test_one_key_is_written_and_lapses_with_the_hold(self) -> None:
        """A hold doesn't stay in the store for good."""
        await self.condemn()
        self.assertEqual(len(self.list_keys()), 1)
        await self.world.service.end_leases()
        self.assertEqual(self.list_keys(), [])

    async def test_a_hold_longer_than_any_lease_is_stored(self) -> None:
        """Doubled holds aren't lost because no lease lasts as long."""
        quarantine = self.nodes[0].state.quarantine
        for number in range(_LONG_ENDS):
            at = self.loop.time() - _LONG_ENDS + number
            death = Death(f'engine-{number}', f'r{number}', at)
            quarantine.note_death(_REQUEST, death, self.loop.time())
        quarantine.judge(self.loop.time())
        await asyncio.sleep(_SOON_S)
        self.assertEqual(self.list_keys(), [PREFIX + _REQUEST.hex()])

    async def test_a_request_that_goes_on_is_removed(self) -> None:
        """An engine that was mended isn't refused its work after a restart."""
        await self.condemn()
        quarantine = self.nodes[0].state.quarantine
        request = next(iter(quarantine.list_records()))[0]
        quarantine.note_survival(request, self.loop.time())
        await asyncio.sleep(_SOON_S)
        self.assertEqual(self.list_keys(), [])

    async def test_values_of_others_are_passed_over(self) -> None:
        """Bytes that nobody can read stop no node from following the store."""
        await self.world.service.put(f'{PREFIX}00', b'\xff not a hold')
        await self.world.service.put(f'{PREFIX}01', b'{"written_ms": 1}')
        node = await self.add_node()
        self.assertEqual(len(node.state.quarantine), 0)

    async def test_the_key_does_not_tell_the_body(self) -> None:
        await self.condemn()
        digest = digest_request(_ACCOUNT, self.target, MARK)
        for key in self.list_keys():
            self.assertNotIn(MARK.hex(), key)
            self.assertEqual(len(key), len(PREFIX) + len(digest.hex()))

    def list_keys(self) -> list[str]:
        """Return the stored holds."""
        keys = self.world.service.keys
        return [key for key in keys if key.startswith(PREFIX)]
