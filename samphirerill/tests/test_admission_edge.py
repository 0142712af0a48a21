"""Who is let in first where streams wait for room."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.outage import Outage
from samphirerill.fleet.paths import PathRequest
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import Admission, NoPathError, OutageError
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleets import ENGINE, build_replica

_URGENT = -1
_NEW = 1
_ROOM = 5000.0


class TestAdmission(IsolatedAsyncioTestCase):
    """One path with room for a few streams."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, PlatformDialect())
        for name, layers in (('one', (0, 40)), ('two', (40, 80))):
            self.state.view.announce(
                build_replica(name, 'a', 'large', layers), 1
            )
        self.admission = Admission(self.state)
        self.loop = asyncio.get_running_loop()

    def admit(
        self, tokens: float, rank: int, patience_s: float = 0.4
    ) -> asyncio.Task[object]:
        """Ask for a path."""
        now = self.loop.time()
        return asyncio.create_task(
            self.admission.admit(
                'llm',
                ENGINE,
                PathRequest(tokens, is_urgent=rank == _URGENT),
                rank,
                now + patience_s,
                now + patience_s / 2,
            )
        )

    async def test_a_stream_that_has_begun_does_not_queue_behind_new_ones(
        self,
    ) -> None:
        """Symptom: sixteen streams are cut within a millisecond of a loss.

        Sequence: new streams wait for room; a part is lost; streams that had
        begun ask for another path and are refused at once. Cause: they were
        counted behind a queue that they rank before.
        """
        waiting = [self.admit(_ROOM, _NEW) for _ in range(12)]
        await asyncio.sleep(0.01)
        self.assertGreater(self.admission.count_waiting(), 4)
        begun = self.admit(100, _URGENT)
        self.assertTrue(await begun)
        await asyncio.gather(*waiting, return_exceptions=True)

    async def test_what_waits_too_long_is_refused_with_the_reason(
        self,
    ) -> None:
        with self.assertRaises(NoPathError) as caught:
            await self.admit(1e9, _NEW, 0.05)
        self.assertIn('no room in layers', str(caught.exception))

    async def test_what_nobody_can_serve_is_refused_at_once(self) -> None:
        """Symptom: requests wait for 1.4 s and are refused twice.

        Sequence: the only holder of the last layers is lost; loading them
        elsewhere takes seconds; requests wait for a path as if for room, and
        are told to come back before there is one. Cause: layers that nobody
        holds were no reason of their own to refuse.
        """
        now = self.loop.time()
        self.state.view.suspect('two', now + 9, now, votes=2)
        with self.assertRaises(OutageError) as caught:
            await self.admit(100, _NEW, 1.4)
        self.assertLess(self.loop.time() - now, 0.1)
        self.assertIn('nobody holds layers 40-80', str(caught.exception))
        load_s = ENGINE.load_s / 2
        self.assertGreater(caught.exception.wait_s, load_s)
        self.assertLess(caught.exception.wait_s, load_s + 1)

    async def test_a_later_outage_is_counted_from_its_own_start(self) -> None:
        """Symptom: requests of a second outage wait, and are refused twice.

        Sequence: it begins a minute after the first one, in which no request
        was without a path; its layers seem overdue. Cause: only a request
        without a path looks whether layers are missing.
        """
        outage = Outage(ENGINE)
        live = self.state.view.list_live('llm', self.loop.time())[:1]
        self.assertTrue(outage.observe(live, 10.0))
        self.assertTrue(outage.observe(live, 10.5))
        self.assertEqual(outage.began_at, 10.0)
        self.assertTrue(outage.observe(live, 70.0))
        self.assertEqual(outage.began_at, 70.0)

    async def test_one_that_has_begun_waits_for_the_layers(self) -> None:
        now = self.loop.time()
        self.state.view.suspect('two', now + 9, now, votes=2)
        begun = self.admit(100, _URGENT, 2.0)
        await asyncio.sleep(0.05)
        self.state.view.trust('two')
        self.state.notify()
        self.assertTrue(await begun)

    async def test_one_that_gives_up_holds_nothing(self) -> None:
        waiting = self.admit(1e9, _NEW)
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        self.assertEqual(self.state.book.own(), {})
