"""Where a stream goes on whose replicas accept it and break it off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase

from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import Admission
from samphirerill.relay.state import EdgeState
from samphirerill.relay.stream_path import StreamPath
from samphirerill.tests.fleets import ENGINE, build_replica
from samphirerill.tests.two_engines import GAP_S, TwoEnginesCase

if TYPE_CHECKING:
    from samphirerill.relay.task import Task

_RUNS = 2
_URGENT = -1
_SOON_S = 0.2


class _Facts:
    """A request that says nothing of its size."""

    request_id = b'r1'
    most_tokens = 0
    hinted_tokens = 0
    prompt_tokens = 100


class _Route:
    """A route that lets a request be sent to two replicas."""

    max_attempts = 2
    target_s = 0.5


class _Service:
    name = 'llm'


class _Request:
    arrived_at = 0.0


class _Task:
    """A stream whose route allows two replicas."""

    facts = _Facts()
    route = _Route()
    service = _Service()
    req = _Request()


class TestHeads(IsolatedAsyncioTestCase):
    """A stream that may go to no other replica chooses among those it had."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, PlatformDialect())
        for revision, name in enumerate(('one', 'two', 'three'), 1):
            replica = build_replica(name, 'a', 'large', (0, 32))
            self.state.view.announce(replica, revision)
        for revision, layers in ((8, (32, 56)), (9, (56, 80))):
            rest = build_replica(f'rest-{revision}', 'a', 'large', layers)
            self.state.view.announce(rest, revision)
        self.path = StreamPath(
            self.state,
            cast('Task', _Task()),
            ENGINE,
            Admission(self.state),
        )
        self.path.used_heads.update(('one', 'two'))
        self.path.avoid.update(('one', 'two'))

    async def test_the_one_that_failed_least_is_sent_the_stream(self) -> None:
        """A stream isn't sent again and again to the one that breaks it off."""
        self.path.finder.failed_sends.update(one=2, two=1)
        self.assertEqual(await self.choose(), 'two')
        self.path.finder.failed_sends.update(two=2)
        self.assertEqual(await self.choose(), 'one')

    async def test_one_without_room_is_not_waited_for(self) -> None:
        """A count of failures does not leave a free replica unused."""
        self.path.finder.failed_sends.update(one=2, two=1)
        now = asyncio.get_running_loop().time()
        self.state.view.refuse('two', now)
        self.assertEqual(await self.choose(), 'one')

    async def choose(self) -> str:
        """Return where the stream would begin now."""
        now = asyncio.get_running_loop().time()
        await self.path.acquire(_URGENT, now + _SOON_S, is_urgent=True)
        head = self.path.head_id
        self.path.release()
        return head


class TestBackOff(TwoEnginesCase):
    """A replica that brings no event is left alone longer each time."""

    async def test_a_head_without_an_event_does_not_end_the_back_off(
        self,
    ) -> None:
        """A replica that only begins answers isn't sent streams at full rate."""
        engines = [self.world.replicas[f'engine-{number}'] for number in (1, 2)]
        for engine in engines:
            engine.cut_after_head = True
            engine.gap_s = GAP_S
        waiting = self.start(b'/notes/x')
        await self.until(
            lambda: sum(len(engine.seen) for engine in engines) >= 2 * _RUNS
        )
        await asyncio.sleep(3 * GAP_S)
        known = self.process.state.view.known
        refusals = [known[engine.replica_id].refusals for engine in engines]
        self.assertGreaterEqual(max(refusals), _RUNS)
        for engine in engines:
            engine.cut_after_head = False
        self.assert_whole(await waiting)
