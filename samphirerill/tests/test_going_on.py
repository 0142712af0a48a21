"""A stream whose run has broken goes on as soon as somebody takes it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase

from msgspec import json

from samphirerill.fleet.paths import PathRequest
from samphirerill.fleet.view import LAPSE_GRACE_S
from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.admission import Admission, NoPathError
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.state import EdgeState
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_path import MoveResult
from samphirerill.tests.fleets import ENGINE, build_replica
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    EVENTS,
    GAP_S,
    OK,
    SETTLE_S,
    TwoEnginesCase,
)

if TYPE_CHECKING:
    from samphirerill.relay.health.examiner import Examiner
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.relay.task import Task
    from samphirerill.testing.platform_replicas import StandInReplica

_URGENT = -1


class TestGoingOn(TwoEnginesCase):
    """A stream that has to be sent again takes what comes free in time."""

    async def test_a_break_after_the_head_waits_for_room(self) -> None:
        """Symptom: a stream that has begun is cut in the moment of a break.

        Sequence: the head of an answer has come, but no event; the replica
        breaks off; the other one is free 0.2 s later. Cause: the time to wait
        was counted from the last event, and none had come.
        """
        for replica in self.list_engines():
            replica.cut_after_head = True
            replica.gap_s = 2 * SETTLE_S
        waiting, _, other = await self.start_stream()
        self.world.replicas[other].cut_after_head = False
        self.world.replicas[other].gap_s = GAP_S
        now = asyncio.get_running_loop().time()
        self.process.state.view.refuse(other, now)
        self.assert_whole(await waiting)

    async def test_one_that_refused_for_a_moment_is_asked_again(self) -> None:
        """Symptom: a stream is cut though its second replica has room.

        Sequence: the first replica breaks off; the second is full for 0.2 s.
        Cause: who refused once was never asked again for the same stream.
        """
        for replica in self.list_engines():
            replica.stop_after = 10
        waiting, _, other = await self.start_stream()
        replica = self.world.replicas[other]
        replica.stop_after = 0
        replica.refuses = True
        await self.until(lambda: replica.seen)
        await asyncio.sleep(2 * SETTLE_S)
        replica.refuses = False
        self.assert_whole(await waiting)

    async def test_many_that_refuse_for_a_moment_are_not_the_end(self) -> None:
        """Symptom: a stream is cut within milliseconds, with time left.

        Sequence: a replica breaks off; one after another, five refuse at once
        and run nothing; more are there, and in 0.2 s all have room. Cause:
        refusals counted as sends, and after six sends a stream was cut.
        """
        for number in range(3, 8):
            name = f'engine-{number}'
            replica = await self.world.add(name, events=EVENTS)
            replica.layers = (0, 80)
            replica.gap_s = GAP_S
            await self.announce(name, layers=(0, 80))
        await self.world.until_known(8)
        waiting, head, _ = await self.start_stream()
        others = [
            replica
            for name, replica in self.world.replicas.items()
            if name not in (head, 'desk-1')
        ]
        for replica in others:
            replica.refuses = True
        self.world.replicas[head].stop_after = 1
        await self.until(lambda: any(replica.seen for replica in others))
        await asyncio.sleep(2 * SETTLE_S)
        for replica in others:
            replica.refuses = False
        self.assert_whole(await waiting)

    async def test_a_connection_that_comes_free_is_waited_for(self) -> None:
        """Symptom: beside planned work, streams are closed midway.

        Sequence: a head gives up layers; its stream is closed, to be sent
        again; this node's one connection to the other engine is in use for
        some more moments. Cause: connections were not looked at before the
        run was ended, and an engine without a free one was given up for good.
        """
        document = json.decode(build_configuration(8))
        document['services'][0]['maxConnections'] = 8
        await self.configure(json.encode(document))
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].gap_s = GAP_S / 2
        beside = self.start(b'/notes/x')
        await self.until(lambda: self.world.replicas[other].seen)
        await self.drop_layers(head)
        answers = await asyncio.gather(waiting, beside)
        for answer in answers:
            self.assert_whole(answer)

    async def test_a_stream_waits_as_long_as_its_client(self) -> None:
        """Symptom: a stream is cut though its client would wait on.

        Sequence: a route's streams may take long, so that clients wait for
        several seconds; a replica breaks off; the other one is free 2.1 s
        later. Cause: every stream was cut after 1.9 s.
        """
        await self.configure(build_configuration(8, sloMs=1500))
        events = 20
        for replica in self.list_engines():
            replica.gap_s = GAP_S / 2
            replica.events = events
        waiting, head, other = await self.start_stream()
        self.world.replicas[head].stop_after = events // 2
        self.suspect(other, 2.1)
        self.assertEqual(await waiting, (OK, self.expect(events)))

    async def test_heads_that_have_ended_are_not_waited_for(self) -> None:
        """Symptom: streams are cut two seconds after a release, with room.

        Sequence: a route allows two replicas; one after the other leaves
        without a word, breaks the stream off and is announced no more; a third
        has come. Cause: replicas that were withdrawn counted as there for half
        a minute, and the stream might be sent to nobody else. Evidence: one
        node sent no stream for 1.85 s behind such a one, and cut seven.
        """
        await self.configure(build_configuration(8, maxAttempts=2))
        # Entries that go right after a start may only have lapsed.
        await asyncio.sleep(LAPSE_GRACE_S)
        await self.world.add('engine-3', events=EVENTS)
        self.world.replicas['engine-3'].layers = (0, 80)
        waiting, head, other = await self.start_stream()
        self.world.replicas[head].stop_after = 20
        self.world.replicas[other].stop_after = 35
        await self.withdraw(head)
        await self.withdraw(other)
        await self.announce('engine-3', layers=(0, 80))
        self.assert_whole(await waiting)
        self.assertEqual(self.sent(), [head, other, 'engine-3'])

    async def test_one_that_resets_is_not_asked_without_pause(self) -> None:
        """Symptom: repeats of all nodes are used up within 0.2 s.

        Sequence: replicas crash; their streams go on at one that goes down
        and up by turns: it accepts each and resets it; as a route allows two
        replicas, they are sent there again and again. Cause: a reset made
        nobody wait, and nodes hear of each other's repeats too late to stop.
        Evidence: 581 repeats in 0.2 s; 95 of 144 streams sent five each.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].resets = 100
        self.world.replicas[head].stop_after = 10
        await self.until(lambda: self.world.replicas[other].seen)
        await asyncio.sleep(2 * SETTLE_S)
        self.assertLessEqual(len(self.world.replicas[other].seen), 2)
        await asyncio.sleep(2 * SETTLE_S)
        self.world.replicas[other].resets = 0
        self.assert_whole(await waiting)
        self.assertLessEqual(len(self.world.replicas[other].seen), 5)

    async def withdraw(self, name: str) -> None:
        """Let an engine that has got the stream be announced no more."""
        await self.until(lambda: name in self.sent())
        await self.world.service.delete(f'servers/{name}')
        view = self.process.state.view
        await self.until(lambda: name not in view.known)

    def list_engines(self) -> list[StandInReplica]:
        """Return both engines."""
        return [self.world.replicas[f'engine-{number}'] for number in (1, 2)]


class TestQueue(IsolatedAsyncioTestCase):
    """One stream that finds no path must not hold up the others."""

    async def test_streams_with_a_path_pass_one_without(self) -> None:
        """Symptom: streams that had begun are cut though there is room.

        Sequence: a stream to be resumed has tried all replicas and waits; the
        next ones have paths, but wait behind it until their time is over.
        Cause: the queue stopped at the first one that found no path.
        """
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        state = EdgeState(settings, PlatformDialect())
        state.view.announce(build_replica('one', 'a', 'large', (0, 40)), 1)
        state.view.announce(build_replica('two', 'a', 'large', (40, 80)), 1)
        admission = Admission(state)

        async def admit(avoid: set[str]) -> bool:
            now = asyncio.get_running_loop().time()
            wanted = PathRequest(100, avoid, is_urgent=True)
            try:
                await admission.admit(
                    'llm', ENGINE, wanted, _URGENT, now + 0.4, now + 0.2
                )
            except NoPathError:
                return False
            return True

        hopeless = asyncio.create_task(admit({'one'}))
        await asyncio.sleep(0.01)
        following = asyncio.create_task(admit(set()))
        await asyncio.sleep(0.01)
        state.notify()
        self.assertTrue(await following)
        self.assertFalse(await hopeless)


class _Path:
    """A path that has lost its second part."""

    def __init__(self) -> None:
        self.head_id = 'head'
        self.moves = 0

    def list_lost(self) -> set[str]:
        """Return the replicas to be left."""
        return {'tail'}

    async def move(self) -> MoveResult:
        """Count the moves."""
        self.moves += 1
        return MoveResult.MOVED


class _Resumable:
    """A task that may be sent again."""

    is_retryable = True


class TestMoves(IsolatedAsyncioTestCase):
    """A move that came to nothing must not be the last one."""

    async def test_a_move_that_did_not_begin_is_forgotten(self) -> None:
        """Symptom: a stream stays on a lost part until its replica breaks off.

        Sequence: a part is lost in the moment in which the connection ends; the
        stream is sent again; the new path loses a part. Cause: the move was
        cancelled before its first step, and still counted as under way.
        """
        path = _Path()
        guard = StreamGuard(
            cast('Task', _Resumable()),
            cast('StreamPath', path),
            cast('Examiner', None),
            lambda: True,
            lambda *_: False,
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
