"""Tests that a stream whose run failed resumes once a replica accepts it."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase

from msgspec import json

from samphirerill.fleet.paths import PathRequest
from samphirerill.fleet.view import LAPSE_GRACE_S
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.path_tracker import PathTracker
from samphirerill.relay.state import EdgeState
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_path import MoveResult
from samphirerill.tests.fleet_builders import ENGINE, build_replica
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    AMPLE_RETRIES,
    EVENTS,
    GAP_S,
    OK,
    SETTLE_S,
    TwoEnginesCase,
)

if TYPE_CHECKING:
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.stream_limits import StreamLimits
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.testing.platform_replicas import FakeReplica

_STARTED_RANK = -1


class TestResending(TwoEnginesCase):
    """Streams that are resent use capacity that becomes free in time."""

    async def test_break_after_the_head_waits_for_capacity(self) -> None:
        """Guard against aborting a stream whose run fails before any event.

        The time to wait for a path must not count from the previous event, as
        there is none.
        """
        for replica in self.list_engines():
            replica.cut_after_head = True
            replica.event_interval_s = 2 * SETTLE_S
        stream, _, other = await self.start_stream()
        self.harness.replicas[other].cut_after_head = False
        self.harness.replicas[other].event_interval_s = GAP_S
        now = asyncio.get_running_loop().time()
        self.process.state.view.note_refusal(other, now)
        self.assert_complete(await stream)

    async def test_broken_stream_waits_for_a_retry(self) -> None:
        """Guard against aborting a stream as no retry is left at the moment."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        for replica in self.list_engines():
            replica.close_after_event = 10
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].close_after_event = 0
        await self.wait_until(
            lambda: not self.harness.replicas[head].in_progress
        )
        await asyncio.sleep(2 * SETTLE_S)
        self.change_settings(retry_slack=AMPLE_RETRIES)
        self.assert_complete(await stream)

    async def test_replica_that_rejected_briefly_is_asked_again(self) -> None:
        """Guard against never asking a replica again after one rejection."""
        for replica in self.list_engines():
            replica.close_after_event = 10
        stream, _, other = await self.start_stream()
        replica = self.harness.replicas[other]
        replica.close_after_event = 0
        replica.refuses = True
        await self.wait_until(lambda: replica.received_requests)
        await asyncio.sleep(2 * SETTLE_S)
        replica.refuses = False
        self.assert_complete(await stream)

    async def test_rejections_do_not_count_as_attempts(self) -> None:
        """Guard against aborting a stream that many replicas reject in a row.

        A stream has six attempts.
        """
        for number in range(3, 8):
            name = f'engine-{number}'
            replica = await self.harness.add_replica(name, events=EVENTS)
            replica.layers = (0, 80)
            replica.event_interval_s = GAP_S
            await self.announce(name, layers=(0, 80))
        await self.harness.wait_for_replica_count(8)
        stream, head, _ = await self.start_stream()
        others = [
            replica
            for name, replica in self.harness.replicas.items()
            if name not in (head, 'desk-1')
        ]
        for replica in others:
            replica.refuses = True
        self.harness.replicas[head].close_after_event = 1
        await self.wait_until(
            lambda: any(replica.received_requests for replica in others)
        )
        await asyncio.sleep(2 * SETTLE_S)
        for replica in others:
            replica.refuses = False
        self.assert_complete(await stream)

    async def test_free_connection_is_waited_for(self) -> None:
        """Guard against aborting streams while all connections are in use.

        The run must not end before a connection is available, and an engine
        without a free one must not be excluded permanently.
        """
        document = json.decode(build_configuration(8))
        document['services'][0]['maxConnections'] = 8
        await self.configure(json.encode(document))
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].event_interval_s = GAP_S / 2
        second_stream = self.start_request(b'/notes/x')
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        await self.drop_layers(head)
        answers = await asyncio.gather(stream, second_stream)
        for answer in answers:
            self.assert_complete(answer)

    async def test_stream_waits_as_long_as_its_client(self) -> None:
        """Guard against aborting streams whose clients would wait longer.

        The time to wait for a path follows the route's latency objective.
        """
        await self.configure(build_configuration(8, sloMs=1500))
        events = 20
        for replica in self.list_engines():
            replica.event_interval_s = GAP_S / 2
            replica.events = events
        stream, head, other = await self.start_stream()
        self.harness.replicas[head].close_after_event = events // 2
        self.mark_dead(other, 2.1)
        self.assertEqual(await stream, (OK, self.build_events(events)))

    async def test_ended_heads_do_not_count_as_used(self) -> None:
        """Guard against aborting streams after a rollout.

        Replicas that have ended must not count towards the number that the
        route allows.
        """
        await self.configure(build_configuration(8, maxAttempts=2))
        # Entries that are removed right after the start may only have lapsed.
        await asyncio.sleep(LAPSE_GRACE_S)
        await self.harness.add_replica('engine-3', events=EVENTS)
        self.harness.replicas['engine-3'].layers = (0, 80)
        stream, head, other = await self.start_stream()
        await self.withdraw(head)
        self.harness.crash_replica(head)
        await self.withdraw(other)
        self.harness.crash_replica(other)
        await self.announce('engine-3', layers=(0, 80))
        self.assert_complete(await stream)
        self.assertEqual(self.list_used_engines(), [head, other, 'engine-3'])

    async def test_retries_on_resetting_replica_back_off(self) -> None:
        """Guard against one replica using up the retries of all nodes.

        Streams that it resets must not be resent to it without a pause.
        """
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].resets_left = 100
        self.harness.replicas[head].close_after_event = 10
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        await asyncio.sleep(2 * SETTLE_S)
        self.assertLessEqual(
            len(self.harness.replicas[other].received_requests), 2
        )
        await asyncio.sleep(2 * SETTLE_S)
        self.harness.replicas[other].resets_left = 0
        self.assert_complete(await stream)
        self.assertLessEqual(
            len(self.harness.replicas[other].received_requests), 5
        )

    async def withdraw(self, name: str) -> None:
        """Remove the announcement of an engine that has got the stream."""
        await self.wait_until(lambda: name in self.list_used_engines())
        await self.harness.store.delete(f'servers/{name}')
        view = self.process.state.view
        await self.wait_until(lambda: name not in view.replicas)

    def list_engines(self) -> list[FakeReplica]:
        """Return both engines."""
        return [self.harness.replicas[f'engine-{number}'] for number in (1, 2)]


class TestQueue(IsolatedAsyncioTestCase):
    """A queued stream without a path does not block the others."""

    async def test_streams_with_a_path_overtake_one_without(self) -> None:
        """Guard against a queue that stops at the first stream without a path.

        Started streams were then aborted although there was capacity for them.
        """
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        state = EdgeState(settings, HttpPlatformAdapter())
        state.view.apply_announcement(
            build_replica('one', 'a', 'large', (0, 40)), 1
        )
        state.view.apply_announcement(
            build_replica('two', 'a', 'large', (40, 80)), 1
        )
        admission = AdmissionQueue(state)

        async def admit(avoid: set[str]) -> bool:
            now = asyncio.get_running_loop().time()
            path_request = PathRequest(100, avoid, is_urgent=True)
            try:
                await admission.admit(
                    'llm',
                    ENGINE,
                    path_request,
                    _STARTED_RANK,
                    now + 0.4,
                    now + 0.2,
                )
            except NoPathError:
                return False
            return True

        blocked = asyncio.create_task(admit({'one'}))
        await asyncio.sleep(0.01)
        following = asyncio.create_task(admit(set()))
        await asyncio.sleep(0.01)
        state.notify_listeners()
        self.assertTrue(await following)
        self.assertFalse(await blocked)


class _PathStub:
    """A path whose second stage has failed."""

    def __init__(self) -> None:
        self.head_id = 'head'
        self.direct_paths = PathTracker(Counter())
        self.moves = 0

    def list_failed(self) -> set[str]:
        """Return the failed replicas."""
        return {'tail'}

    async def replace_later_stages(self) -> MoveResult:
        """Count the moves."""
        self.moves += 1
        return MoveResult.MOVED


class _RetryableContext:
    """The context of a retryable request."""

    is_retryable = True


class TestMoves(IsolatedAsyncioTestCase):
    """A cancelled move does not prevent the next one."""

    async def test_cancelled_move_can_be_repeated(self) -> None:
        """Guard against counting a cancelled move as still in progress.

        The stream would then stay on a failed stage until its run fails.
        """
        path = _PathStub()
        guard = StreamGuard(
            cast('RequestContext', _RetryableContext()),
            cast('StreamPath', path),
            cast('ReplicaProber', None),
            cast('StreamLimits', None),
            lambda *_: False,
            lambda *_: None,
        )
        for _ in range(2):
            guard.start(HttpConnection('127.0.0.1:1'))
            guard.check_path()
            guard.stop()
            await asyncio.sleep(0)
        guard.start(HttpConnection('127.0.0.1:1'))
        guard.check_path()
        await asyncio.sleep(0.01)
        self.assertEqual(path.moves, 1)
