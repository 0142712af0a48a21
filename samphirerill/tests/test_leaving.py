"""Streams whose path loses a replica that leaves, or one that is lost."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.fleet.endings import is_lost
from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.fleet.moves import predict_pause_ms
from samphirerill.fleet.view import LAPSE_GRACE_S, FleetView
from samphirerill.testing.platform_world import PlatformWorld
from samphirerill.tests.fleets import ENGINE, build_replica
from samphirerill.tests.platform_documents import (
    KEY,
    build_configuration,
    build_entry,
)

_HEADERS = [
    (b'host', b'bridal.example'),
    (b'x-samphirerill-request-id', b'r1'),
    (b'authorization', b'Bearer ' + KEY.encode()),
    (b'x-samphirerill-token-count', b'800,80'),
]
_ID_HEADER = 1
_EVENTS = 120
_GAP_S = 0.02
_SETTLE_S = 0.2
# Only ends a test that hangs: a busy machine takes seconds to begin a stream.
_BEGIN_S = 20.0


class LeavingCase(IsolatedAsyncioTestCase):
    """A world where every path is one head and one of two tails."""

    async def asyncSetUp(self) -> None:
        self.world = PlatformWorld()
        self.addAsyncCleanup(self.world.stop)
        await self.world.start()
        await self.world.service.put('op/config', build_configuration())
        for name, layers in (
            ('head', (0, 40)),
            ('tail-1', (40, 80)),
            ('tail-2', (40, 80)),
        ):
            replica = await self.world.add(name, events=_EVENTS)
            replica.layers = layers
            replica.gap_s = _GAP_S
            await self.announce(name)
        await self.world.until_known(3)

    async def announce(self, name: str, state: str = 'ready') -> None:
        """Let a replica write its announcement."""
        layers = self.world.replicas[name].layers
        entry = build_entry(
            'llm', self.world.addresses[name], 'vast', layers, state
        )
        await self.world.service.put(f'servers/{name}', entry)

    async def stream(self, name: str) -> bytes:
        """Return the whole body of one stream."""
        headers = list(_HEADERS)
        headers[_ID_HEADER] = (b'x-samphirerill-request-id', name.encode())
        _, body = await self.world.ask(b'/notes/x', headers)
        return body

    async def begin_streams(self, count: int) -> list[asyncio.Task[bytes]]:
        """Return streams that the head has begun to serve.

        Waiting for a fixed time instead, a busy machine had sent none when the
        test looked through which replicas they pass: nobody was told to leave,
        and nothing moved.
        """
        streams = [
            asyncio.create_task(self.stream(f'r{number}'))
            for number in range(count)
        ]
        async with asyncio.timeout(_BEGIN_S):
            while len(self.world.replicas['head'].seen) < count:
                await asyncio.sleep(_GAP_S)
        await asyncio.sleep(_SETTLE_S)
        return streams

    def find_tails(self) -> set[str]:
        """Return which tails the streams so far were sent through."""
        paths = [
            req.get(b'x-samphirerill-hop-count') or b''
            for req in self.world.replicas['head'].seen
        ]
        return {
            name
            for name in ('tail-1', 'tail-2')
            if any(
                self.world.addresses[name].encode() in path for path in paths
            )
        }

    def count_moves(self) -> int:
        """Return how many streams the head was told to move."""
        orders = self.world.replicas['head'].orders
        return sum(order['operation'] == 'repath' for order in orders)


class TestLeaving(LeavingCase):
    """Planned work that streams should not notice."""

    async def test_streams_move_off_a_leaving_part_one_by_one(self) -> None:
        """Symptom: all streams of a replica pause for 600 ms as it leaves.

        Sequence: it says that it leaves; all its streams move in the same
        moment, and whoever takes over reads 40 contexts one after another.
        Cause: leaving was taken for a loss, though the replica serves on.
        """
        streams = await self.begin_streams(8)
        await self.announce(min(self.find_tails()), 'draining')
        await asyncio.sleep(0.5)
        self.assertEqual(self.count_moves(), 0)
        moved = []
        for _ in range(14):
            await asyncio.sleep(0.1)
            moved.append(self.count_moves())
        self.assertGreater(moved[-1], 1)
        most = max(
            after - before
            for before, after in zip([0, *moved], moved, strict=False)
        )
        self.assertLess(most, moved[-1])
        bodies = await asyncio.gather(*streams)
        self.assertTrue(all(body.count(b'id:') == _EVENTS for body in bodies))

    async def test_streams_stay_on_a_part_that_is_given_up(self) -> None:
        """Symptom: 43 streams are late in two seconds as one replica leaves.

        Sequence: the pipeline that it was part of is cut anew; eight replicas
        give up some of their layers in one moment; all their streams leave at
        once. Cause: an engine waits for what passes through layers that it
        gives up, but its streams were not left that time.
        """
        streams = await self.begin_streams(4)
        name = min(self.find_tails())
        self.world.replicas[name].layers = (60, 80)
        await self.announce(name)
        await asyncio.sleep(0.5)
        self.assertEqual(self.count_moves(), 0)
        bodies = await asyncio.gather(*streams)
        self.assertTrue(all(body.count(b'id:') == _EVENTS for body in bodies))
        self.assertEqual(len(self.world.replicas['head'].seen), len(streams))

    async def test_a_head_that_is_withdrawn_serves_on(self) -> None:
        """Symptom: planned work cuts streams, which are then read anew.

        Sequence: a replica leaves without saying so before; its entry is
        removed while it serves on; its streams are cut by the node. Cause: a
        missing entry was taken for a dead replica.
        """
        # Right after a node's start, a missing entry may only have lapsed.
        await asyncio.sleep(LAPSE_GRACE_S)
        streams = await self.begin_streams(1)
        await self.world.service.delete('servers/head')
        body = await streams[0]
        self.assertEqual(body.count(b'id:'), _EVENTS)
        self.assertEqual(len(self.world.replicas['head'].seen), 1)


class TestViewOfLeaving(TestCase):
    """When a part of a path should be left at once."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.replica = build_replica('one', layers=(0, 80))
        self.stage = Stage(self.replica, LayerRange(0, 80))
        self.view.announce(self.replica, 1)

    def test_one_that_leaves_serves_what_it_has_begun(self) -> None:
        leaving = replace(self.replica, is_leaving=True)
        self.view.announce(leaving, 2, leaves_at=10)
        self.assertFalse(is_lost(self.view, self.stage, 1))
        self.assertEqual(self.view.list_live('llm', 1), [])

    def test_one_that_is_dead_is_lost_also_while_it_leaves(self) -> None:
        leaving = replace(self.replica, is_leaving=True)
        self.view.announce(leaving, 2, leaves_at=10)
        self.view.suspect('one', 9, 1)
        self.assertTrue(is_lost(self.view, self.stage, 1))

    def test_one_that_is_withdrawn_without_a_word_serves_on(self) -> None:
        self.view.withdraw('one', 2, 0, leaves_at=10)
        self.assertFalse(is_lost(self.view, self.stage, 1))
        self.view.sweep(50)
        self.assertTrue(is_lost(self.view, self.stage, 50))

    def test_one_that_serves_on_counts_as_tried(self) -> None:
        """Symptom: eleven streams ran on three replicas where two are allowed.

        Sequence: a release removes the entry of a head that serves on; its
        streams are sent to a second head, of which the same becomes true, and
        then to a third. Cause: a replica without an entry had ended, it was
        thought, so that it did not count.
        """
        self.view.withdraw('one', 2, 0, leaves_at=10)
        self.assertFalse(self.view.has_ended('one'))
        self.view.sweep(50)
        self.assertTrue(self.view.has_ended('one'))

    def test_one_that_said_so_before_ends_with_its_entry(self) -> None:
        leaving = replace(self.replica, is_leaving=True)
        self.view.announce(leaving, 2, leaves_at=10)
        self.view.withdraw('one', 3, 0, leaves_at=12)
        self.assertTrue(is_lost(self.view, self.stage, 4))

    def test_one_that_was_found_dead_ends_with_its_entry(self) -> None:
        self.view.suspect('one', 3, 1)
        self.view.withdraw('one', 2, 0, leaves_at=10)
        self.assertTrue(is_lost(self.view, self.stage, 4))


def _build_tail(zone: str) -> list[Stage]:
    """Return six parts that hold the last layers."""
    return [
        Stage(build_replica(f'{zone}-{first}', zone), LayerRange(first, end))
        for first, end in zip(range(20, 80, 10), range(30, 90, 10), strict=True)
    ]


class TestPauses(TestCase):
    """What it takes to go on after a loss, in milliseconds."""

    def test_a_crowd_through_one_pipe_takes_longer_than_to_read_anew(
        self,
    ) -> None:
        """Symptom: 40 streams stand still for 600 ms after one crash.

        Sequence: a part dies that only another data centre holds as well; all
        streams keep their first parts and move the rest there. Cause: to keep
        what was read seemed cheaper, whatever passes through the pipe.
        """
        head = Stage(build_replica('head', 'a', 'middle'), LayerRange(0, 20))
        moved_ms = predict_pause_ms(
            ENGINE, [head, *_build_tail('b')], {'head'}, 900, 40
        )
        other = Stage(build_replica('b-head', 'b', 'middle'), LayerRange(0, 20))
        again_ms = predict_pause_ms(
            ENGINE, [other, *_build_tail('b')], (), 900, 40
        )
        near_ms = predict_pause_ms(
            ENGINE, [head, *_build_tail('a')], {'head'}, 900, 40
        )
        self.assertGreater(moved_ms, 3 * again_ms)
        self.assertLess(near_ms, again_ms + 1)

    def test_one_alone_waits_for_nobody(self) -> None:
        stage = Stage(build_replica('one', 'a', 'small'), LayerRange(0, 10))
        alone = predict_pause_ms(ENGINE, [stage], (), 900, 1)
        crowd = predict_pause_ms(ENGINE, [stage], (), 900, 11)
        self.assertAlmostEqual(crowd, 6 * alone)
