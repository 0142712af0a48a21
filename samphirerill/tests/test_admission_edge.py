"""Tests of the order in which queued streams are admitted."""

from __future__ import annotations

import asyncio
import time
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.outage import Outage
from samphirerill.fleet.paths import PathRequest
from samphirerill.fleet.replica_notices import note_requested_backoff
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.admission_errors import (
    BackOffError,
    NoPathError,
    OutageError,
)
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleet_builders import ENGINE, build_replica

_STARTED_RANK = -1
_NEW_RANK = 1
_STREAM_TOKENS = 5000.0
_FULL_TOKENS = 1e9
_DELAY_S = 0.1
_BACK_OFF_S = 9.0


class TestAdmission(IsolatedAsyncioTestCase):
    """A service with one path that has capacity for a few streams."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        for name, layers in (('one', (0, 40)), ('two', (40, 80))):
            self.state.view.apply_announcement(
                build_replica(name, 'a', 'large', layers), 1
            )
        self.admission = AdmissionQueue(self.state)
        self.loop = asyncio.get_running_loop()

    def admit(
        self, tokens: float, rank: int, timeout_s: float = 0.4
    ) -> asyncio.Task[object]:
        """Request a path in the background."""
        now = self.loop.time()
        return asyncio.create_task(
            self.admission.admit(
                'llm',
                ENGINE,
                PathRequest(tokens, is_urgent=rank == _STARTED_RANK),
                rank,
                now + timeout_s,
                now + timeout_s / 2,
            )
        )

    async def test_started_stream_does_not_queue_behind_new_ones(
        self,
    ) -> None:
        """Started streams were rejected for a queue of new streams.

        They are served before those, so that queue does not delay them.
        """
        waiting = [self.admit(_STREAM_TOKENS, _NEW_RANK) for _ in range(12)]
        await asyncio.sleep(0.01)
        self.assertGreater(self.admission.count_waiting(), 4)
        started = self.admit(100, _STARTED_RANK)
        self.assertTrue(await started)
        await asyncio.gather(*waiting, return_exceptions=True)

    async def test_timed_out_wait_is_rejected_with_reason(
        self,
    ) -> None:
        with self.assertRaises(NoPathError) as caught:
            await self.admit(1e9, _NEW_RANK, 0.05)
        self.assertIn(
            'no replica has free memory for layers', str(caught.exception)
        )

    async def test_request_without_live_layers_is_rejected_at_once(
        self,
    ) -> None:
        """Requests waited for a path while no replica held some layers.

        They were then told to retry before those could be loaded.
        """
        now = self.loop.time()
        self.state.view.add_silence_report('two', now + 9, now, votes=2)
        with self.assertRaises(OutageError) as caught:
            await self.admit(100, _NEW_RANK, 1.4)
        self.assertLess(self.loop.time() - now, 0.1)
        self.assertIn('no replica holds layers 40-80', str(caught.exception))
        load_s = ENGINE.load_s / 2
        self.assertGreater(caught.exception.wait_s, load_s)
        self.assertLess(caught.exception.wait_s, load_s + 1)

    async def test_second_outage_is_timed_from_its_own_start(self) -> None:
        """A second outage was timed from the start of the first one.

        Outages are only detected by requests without a path.
        """
        outage = Outage(ENGINE)
        live = self.state.view.list_live('llm', self.loop.time())[:1]
        self.assertTrue(outage.observe(live, 10.0))
        self.assertTrue(outage.observe(live, 10.5))
        self.assertEqual(outage.began_at, 10.0)
        self.assertTrue(outage.observe(live, 70.0))
        self.assertEqual(outage.began_at, 70.0)

    async def test_started_stream_waits_for_missing_layers(self) -> None:
        now = self.loop.time()
        self.state.view.add_silence_report('two', now + 9, now, votes=2)
        started = self.admit(100, _STARTED_RANK, 2.0)
        await asyncio.sleep(0.05)
        self.state.view.note_alive('two')
        self.state.notify_listeners()
        self.assertTrue(await started)

    async def test_request_is_rejected_if_its_heads_back_off(self) -> None:
        """Guard against a wait in vain for a path with another head."""
        view = self.state.view
        view.apply_announcement(
            build_replica('three', 'a', 'large', (0, 40)), 1
        )
        now = self.loop.time()
        note_requested_backoff(view, view.replicas['one'].replica, now + 9)
        path_request = PathRequest(100, first_replicas=frozenset(('one',)))
        with self.assertRaises(BackOffError) as caught:
            await self.admission.admit(
                'llm', ENGINE, path_request, _NEW_RANK, now + 1.4, now + 0.7
            )
        self.assertLess(self.loop.time() - now, 0.1)
        self.assertAlmostEqual(caught.exception.wait_s, 9, delta=0.1)
        self.assertTrue(await self.admit(100, _NEW_RANK))

    async def test_rejection_at_the_deadline_keeps_its_wait(self) -> None:
        """Guard against a client that is told to retry during a back-off."""
        self.state.load_tracker.add_request(['one'], _FULL_TOKENS)
        waiting = self.admit(100, _NEW_RANK, _DELAY_S)
        await asyncio.sleep(0)
        view = self.state.view
        until = self.loop.time() + _BACK_OFF_S
        note_requested_backoff(view, view.replicas['one'].replica, until)
        self.state.notify_listeners()
        time.sleep(2 * _DELAY_S)
        with self.assertRaises(BackOffError):
            await waiting

    async def test_cancelled_wait_after_a_grant_reserves_nothing(self) -> None:
        """Guard against a reservation without a stream."""
        self.state.load_tracker.add_request(['one'], _FULL_TOKENS)
        waiting = self.admit(100, _NEW_RANK)
        await asyncio.sleep(0)
        self.state.load_tracker.remove_request(['one'], _FULL_TOKENS)
        self.state.notify_listeners()
        self.loop.call_soon(waiting.cancel)
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertTrue(waiting.cancelled())
        self.assertEqual(self.state.load_tracker.get_own_load(), {})

    async def test_wait_cancelled_before_a_grant_reserves_nothing(
        self,
    ) -> None:
        """Guard against a grant to a request whose client has just left."""
        self.state.load_tracker.add_request(['one'], _FULL_TOKENS)
        waiting = self.admit(100, _NEW_RANK)
        others = self.admit(100, _NEW_RANK)
        await asyncio.sleep(0)
        self.state.load_tracker.remove_request(['one'], _FULL_TOKENS)
        self.state.notify_listeners()
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertTrue(await others)
        loads = self.state.load_tracker.get_own_load().values()
        self.assertEqual({load.requests for load in loads}, {1})

    async def test_cancelled_wait_reserves_nothing(self) -> None:
        waiting = self.admit(1e9, _NEW_RANK)
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.state.load_tracker.get_own_load(), {})
