"""A run that goes on is not ended before another one has begun."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.test_leaving import LeavingCase
from samphirerill.tests.two_engines import (
    EVENTS,
    GAP_S,
    LEAVING_MS,
    OK,
    AMPLE_RETRIES,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
    wait_until,
)

# With eight nodes taken for granted, one repeat for this node.
_SLACK_FOR_ONE = 8
_TOKENS = 3


class TestOwnBreaks(TwoEnginesCase):
    """A node must not end a run that goes on before another has begun."""

    async def test_a_head_taken_for_dead_that_goes_on(self) -> None:
        """Symptom: a stream is closed midway while its replica sends on.

        Sequence: the first replica is silent for a moment to another stream,
        or to other nodes, and taken for dead; its streams are closed at once;
        the second replica is full. Cause: the run under way was ended before
        another one had begun.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        self.suspect(head)
        self.assert_whole(await waiting)

    async def test_a_head_taken_for_dead_on_a_route_of_one_attempt(
        self,
    ) -> None:
        """Symptom: a stream is closed midway while its replica sends on.

        Sequence: its route allows one replica; that one is taken for dead for
        a moment. Cause: a stream left a head taken for dead also where it
        could go nowhere else.
        """
        await self.configure(build_configuration(8, maxAttempts=1))
        waiting, head, _ = await self.start_stream()
        self.suspect(head, 4.0)
        self.assert_whole(await waiting)

    async def test_a_head_taken_for_dead_when_no_repeat_is_left(self) -> None:
        """Symptom: streams are closed midway while their replica sends on.

        Sequence: the repeats of all nodes are used up; a replica is taken for
        dead for a moment. Cause: as before, without a look at the repeats.
        """
        self.change(retry_slack=0, retry_ratio=0)
        waiting, head, _ = await self.start_stream()
        self.suspect(head)
        self.assert_whole(await waiting)

    async def test_a_head_that_gives_up_layers_and_a_full_other_one(
        self,
    ) -> None:
        """Symptom: beside planned work, streams are closed midway.

        Sequence: a replica gives up layers and waits for what passes through;
        in the end its streams are closed, to be sent again; the second replica
        refuses. Cause: the run under way was ended before another had begun,
        and the first replica is not asked again.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        await self.drop_layers(head)
        self.assert_whole(await waiting)

    async def test_streams_that_leave_together_with_one_repeat_left(
        self,
    ) -> None:
        """Symptom: beside planned work, most streams of a replica are cut.

        Sequence: a replica gives up layers; all its streams find in the same
        moment that a repeat is left, and are closed; one gets it. Cause: the
        repeat was looked for, but not taken, before the run was ended.
        """
        self.change(retry_slack=_SLACK_FOR_ONE, retry_ratio=0)
        await self.announce('engine-2', layers=(0, 80), state='draining')
        view = self.process.state.view
        await self.until(lambda: view.is_leaving('engine-2'))
        streams = [self.start(b'/notes/x') for _ in range(4)]
        await asyncio.sleep(SETTLE_S)
        await self.world.add('engine-3', events=EVENTS)
        self.world.replicas['engine-3'].gap_s = GAP_S
        self.world.replicas['engine-3'].layers = (0, 80)
        await self.announce('engine-3', layers=(0, 80))
        await self.until(lambda: 'engine-3' in view.known)
        await self.drop_layers('engine-1')
        for answer in await asyncio.gather(*streams):
            self.assert_whole(answer)

    async def test_a_leaving_head_whose_entry_lapses(self) -> None:
        """Symptom: beside a release, streams are closed midway.

        Sequence: a replica says that it leaves and serves on; its entry is
        removed before it ends; no other replica has room. Cause: the end of
        the entry was taken for the end of the run, though events came.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        await self.announce(head, layers=(0, 80), state='draining')
        view = self.process.state.view
        await self.until(lambda: view.is_leaving(head))
        await self.world.service.delete(f'servers/{head}')
        self.assert_whole(await waiting)

    async def test_a_short_silence_of_a_stream_that_may_not_resume(
        self,
    ) -> None:
        """Symptom: a stream is closed midway after a short silence.

        Sequence: an engine is held up for 0.4 s and answers no question
        meanwhile; the stream may not be sent again. Cause: whoever does not
        answer was left, also where nobody could take over.
        """
        await self.configure(build_configuration(8, resumable=False))
        waiting, head, _ = await self.start_stream()
        await self.hold_up(head)
        self.assert_whole(await waiting)

    async def test_a_short_silence_while_the_other_engine_is_full(
        self,
    ) -> None:
        """Symptom: a stream is closed midway after a short silence.

        Sequence: an engine is held up for 0.4 s and answers no question; the
        second one is full. Cause: the run was ended before another had begun.
        """
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        await self.hold_up(head)
        self.assert_whole(await waiting)

    async def test_a_long_pause_while_the_other_engine_is_full(self) -> None:
        """Symptom: a stream is closed midway though its replica sends on.

        Sequence: a stream pauses for 1.7 s, as one that is preempted; its
        replica answers all questions; the second one is full. Cause: a path
        that is silent for long was left before another had begun.
        """
        for name in ('engine-1', 'engine-2'):
            self.world.replicas[name].gap_s = GAP_S / 2
        waiting, head, other = await self.start_stream()
        self.world.replicas[other].refuses = True
        self.world.replicas[head].goes_on.clear()
        await asyncio.sleep(1.7)
        self.world.replicas[head].goes_on.set()
        self.assert_whole(await waiting)

    async def test_streams_that_leave_together_with_room_for_one(
        self,
    ) -> None:
        """Symptom: beside planned work, streams of one replica are cut.

        Sequence: a replica gives up layers; two of its streams see the same
        room elsewhere, and are closed; one fits in. Cause: the room was looked
        for, but not taken, before the run was ended.
        """
        events = 115
        for name in ('engine-1', 'engine-2'):
            self.world.replicas[name].events = events
        headers = build_headers('r1')
        headers[_TOKENS] = (b'x-samphirerill-token-count', b'20000,80')
        streams = [
            asyncio.create_task(self.request_with(b'/notes/x', headers))
            for _ in range(3)
        ]
        await self.until(lambda: len(self.sent()) == len(streams))
        sent = self.sent()
        await self.drop_layers(max(sent, key=sent.count))
        for status, body in await asyncio.gather(*streams):
            self.assertEqual(status, OK, body)
            self.assertEqual(body, self.expect(events))

    async def hold_up(self, name: str) -> None:
        """Let an engine do nothing for a moment."""
        replica = self.world.replicas[name]
        replica.free.clear()
        await asyncio.sleep(0.4)
        replica.free.set()


class TestTails(LeavingCase):
    """Later parts of a path."""

    async def test_a_part_that_is_given_up_and_a_full_engine(self) -> None:
        """Symptom: beside planned work, streams are closed midway.

        Sequence: a later part of a path gives up layers and waits for what
        passes through; the head does not take the order to move the stream; an
        engine that holds all seems to have room, but refuses. Cause: the run
        under way was ended before another one had begun.
        """
        process = await self.world.until_ready()
        view = process.state.view
        settings = process.state.settings
        process.state.change_settings(
            replace(settings, retry_slack=AMPLE_RETRIES, leaving_ms=LEAVING_MS)
        )
        await self.announce('tail-2', 'draining')
        await wait_until(lambda: view.is_leaving('tail-2'))
        for replica in self.world.replicas.values():
            replica.events = EVENTS
        waiting = asyncio.create_task(self.stream('r1'))
        await asyncio.sleep(SETTLE_S)
        whole = await self.world.add('whole')
        whole.layers = (0, 80)
        whole.refuses = True
        await self.announce('whole')
        await wait_until(lambda: 'whole' in view.known)
        self.world.replicas['head'].order_status = 409
        self.world.replicas['tail-1'].layers = (60, 80)
        await self.announce('tail-1')
        try:
            body = await waiting
        except EndpointError as exc:
            body = str(exc).encode()
        self.assertEqual(body.count(b'id:'), EVENTS, body)
