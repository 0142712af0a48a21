"""Tests of where a stream is resent after failed runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.paths import PathRequest
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.state import EdgeState
from samphirerill.relay.stream_path import StreamPath
from samphirerill.tests.fleet_builders import ENGINE, build_replica
from samphirerill.tests.two_engines import GAP_S, TwoEnginesCase

if TYPE_CHECKING:
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.request_context import RequestContext

_RUNS_PER_ENGINE = 2
_STARTED_RANK = -1
_ADMISSION_TIMEOUT_S = 0.2


class _FactsStub:
    """A request whose answer size is unknown."""

    request_id = b'r1'
    max_answer_tokens = 0
    expected_answer_tokens = 0
    prompt_tokens = 100


class _RouteStub:
    """A route that allows two replicas for a request."""

    max_attempts = 2
    target_s = 0.5


class _ServiceStub:
    name = 'llm'


class _RequestStub:
    arrived_at = 0.0


class _ContextStub:
    """A stream whose route allows two replicas."""

    facts = _FactsStub()
    route = _RouteStub()
    service = _ServiceStub()
    req = _RequestStub()
    priority = 0


class HeadsCase(IsolatedAsyncioTestCase):
    """Three heads, two of which failed a stream that may use two."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        for revision, name in enumerate(('one', 'two', 'three'), 1):
            replica = build_replica(name, 'a', 'large', (0, 32))
            self.state.view.apply_announcement(replica, revision)
        for revision, layers in ((8, (32, 56)), (9, (56, 80))):
            later_stage = build_replica(
                f'rest-{revision}', 'a', 'large', layers
            )
            self.state.view.apply_announcement(later_stage, revision)
        self.admission = AdmissionQueue(self.state)
        context = cast('RequestContext', _ContextStub())
        self.path = StreamPath(
            self.state,
            context,
            ENGINE,
            self.admission,
            cast('ReplicaProber', None),
        )
        for name in ('one', 'two'):
            replica = self.state.view.replicas[name].replica
            self.path.used_heads.note_sent(replica)
        self.path.avoid.update(('one', 'two'))

    async def acquire(self) -> None:
        """Reserve a path as a started stream."""
        now = asyncio.get_running_loop().time()
        await self.path.acquire(
            _STARTED_RANK, now + _ADMISSION_TIMEOUT_S, is_urgent=True
        )


class TestHeads(HeadsCase):
    """A stream that may use no further replica picks one that it used."""

    async def test_head_with_fewest_failures_is_chosen(self) -> None:
        """Guard against resending a stream repeatedly to a failing replica."""
        self.path.finder.failed_sends.update(one=2, two=1)
        self.assertEqual(await self.choose(), 'two')
        self.path.finder.failed_sends.update(two=2)
        self.assertEqual(await self.choose(), 'one')

    async def test_full_head_is_not_waited_for(self) -> None:
        """A free replica with more failures is used if the other is full."""
        self.path.finder.failed_sends.update(one=2, two=1)
        now = asyncio.get_running_loop().time()
        self.state.view.note_refusal('two', now)
        self.assertEqual(await self.choose(), 'one')

    async def choose(self) -> str:
        """Return the head that the stream would be sent to now."""
        await self.acquire()
        head = self.path.head_id
        self.path.release()
        return head


class TestAlternatives(HeadsCase):
    """A run is left only for a path that its stream would be granted."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ('one', 'two'):
            self.path.used_heads.discard(name)
        await self.acquire()

    async def test_present_head_is_no_alternative(self) -> None:
        """Guard against leaving a run for a path that is then excluded."""
        self.assertEqual(self.path.head_id, 'three')
        self.assertFalse(self.path.has_alternative(has_started=False))
        self.path.avoid.clear()
        self.assertTrue(self.path.has_alternative(has_started=False))

    async def test_new_stream_is_not_granted_a_path_before_others(
        self,
    ) -> None:
        """Guard against leaving a run to wait behind other streams."""
        self.path.avoid.clear()
        blocked = PathRequest(1.0, {'one', 'two', 'three'})
        until = asyncio.get_running_loop().time() + _ADMISSION_TIMEOUT_S
        waiting = asyncio.create_task(
            self.admission.admit('llm', ENGINE, blocked, 0, until, until)
        )
        await asyncio.sleep(0)
        self.assertFalse(self.path.has_alternative(has_started=False))
        self.assertTrue(self.path.has_alternative(has_started=True))
        with self.assertRaises(NoPathError):
            await waiting


class TestBackOff(TwoEnginesCase):
    """A replica that returns no event is avoided for longer each time."""

    async def test_response_head_does_not_reset_the_back_off(
        self,
    ) -> None:
        """A replica that only sends response heads is not used at full rate."""
        engines = [
            self.harness.replicas[f'engine-{number}'] for number in (1, 2)
        ]
        for engine in engines:
            engine.cut_after_head = True
            engine.event_interval_s = GAP_S
        stream = self.start_request(b'/notes/x')
        await self.wait_until(
            lambda: (
                sum(len(engine.received_requests) for engine in engines)
                >= 2 * _RUNS_PER_ENGINE
            )
        )
        await asyncio.sleep(3 * GAP_S)
        known = self.process.state.view.replicas
        refusals = [known[engine.replica_id].refusals for engine in engines]
        self.assertGreaterEqual(max(refusals), _RUNS_PER_ENGINE)
        for engine in engines:
            engine.cut_after_head = False
        self.assert_complete(await stream)
