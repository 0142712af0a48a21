"""Replicas that say in a response that they are leaving."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.tests.platform_documents import build_announcement
from samphirerill.tests.test_requested_back_off import BackOffCase
from samphirerill.tests.two_engines import OK, SETTLE_S, build_headers

if TYPE_CHECKING:
    from samphirerill.testing.platform_replicas import FakeReplica

_REQUEST_COUNT = 8
_SHORT_STREAM = 3
_LAYERS = (0, 80)
_START_MS = 1_700_000_000_000


class LeavingResponsesCase(BackOffCase):
    """Two engines with short streams, and two plain replicas."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].events = _SHORT_STREAM

    def get_replica(self, name: str) -> FakeReplica:
        """Return a replica."""
        return self.harness.replicas[name]

    async def learn_leaving(self, target: bytes, name: str) -> None:
        """Send requests until a replica has said that it is leaving."""
        self.get_replica(name).reports_leaving = True
        for number in range(_REQUEST_COUNT):
            await self.request(target, f'first-{number}')
            if self.get_replica(name).received_requests:
                return
        self.fail(f'no request reached {name}')

    async def assert_unused(self, target: bytes, name: str) -> None:
        """Check that no further request reaches a replica."""
        before = len(self.list_arrivals(name))
        answers = await asyncio.gather(
            *(
                self.request(target, f'next-{number}')
                for number in range(_REQUEST_COUNT)
            )
        )
        self.assertEqual(len(self.list_arrivals(name)) - before, 0)
        self.assertEqual({status for status, _ in answers}, {OK})


class TestLeavingResponses(LeavingResponsesCase):
    """A replica that says so gets no new work; its announcement is ready."""

    async def test_engine_gets_no_streams_after_a_stream_head(self) -> None:
        """Guard against new streams on a replica that shuts down."""
        await self.learn_leaving(b'/notes/x', 'engine-1')
        await self.assert_unused(b'/notes/x', 'engine-1')

    async def test_plain_replica_gets_no_requests_after_a_success(
        self,
    ) -> None:
        """Guard against requests to a plain replica that shuts down."""
        await self.learn_leaving(b'/pickup/x', 'desk-1')
        await self.assert_unused(b'/pickup/x', 'desk-1')

    async def test_error_responses_count(self) -> None:
        """Guard against reading the header of successes alone."""
        self.get_replica('desk-1').failures_left = 1
        await self.learn_leaving(b'/pickup/x', 'desk-1')
        await self.assert_unused(b'/pickup/x', 'desk-1')

    async def test_refusals_count(self) -> None:
        """Guard against the short back-off of a refusal."""
        self.get_replica('engine-1').refusal.remaining = 1
        await self.learn_leaving(b'/notes/x', 'engine-1')
        await asyncio.sleep(5 * SETTLE_S)
        await self.assert_unused(b'/notes/x', 'engine-1')

    async def test_leaving_is_checked_after_the_wait_for_a_connection(
        self,
    ) -> None:
        """Guard against sending what was already waiting to be sent."""
        for target, name, other in (
            (b'/notes/x', 'engine-1', 'engine-2'),
            (b'/pickup/x', 'desk-1', 'desk-2'),
        ):
            with self.subTest(name):
                gate = self.hold_first_connection()
                self.pause(other, 9)
                self.mark_dead(other, 9)
                waiting = asyncio.create_task(self.request(target, 'waiting'))
                await asyncio.sleep(SETTLE_S)
                await self.learn_leaving(target, name)
                self.pause(other, 0)
                self.process.state.view.note_alive(other)
                self.process.state.notify_listeners()
                gate.set()
                status, _ = await waiting
                self.assertEqual(status, OK)
                self.assertEqual(len(self.list_arrivals(name)), 1)

    async def test_stream_in_progress_stays(self) -> None:
        """Guard against rerouting streams that the replica still serves."""
        for name in ('engine-1', 'engine-2'):
            self.get_replica(name).events = 60
            self.get_replica(name).reports_leaving = True
        stream, head, _ = await self.start_stream()
        self.assertEqual(await stream, (OK, self.build_events(60)))
        self.assertEqual(self.list_used_engines(), [head])

    async def test_ready_announcement_does_not_undo_it(self) -> None:
        """Guard against trusting an entry that is behind the response."""
        await self.learn_leaving(b'/notes/x', 'engine-1')
        await self.announce_engine(started_ms=0)
        await self.assert_unused(b'/notes/x', 'engine-1')

    async def test_announcing_again_does_not_undo_it(self) -> None:
        """Guard against a lapsed entry that comes back."""
        await self.announce_engine(_START_MS)
        await self.learn_leaving(b'/notes/x', 'engine-1')
        await self.harness.store.delete('servers/engine-1')
        await self.harness.wait_for_replica_count(3)
        await self.announce_engine(_START_MS)
        await self.harness.wait_for_replica_count(4)
        await self.assert_unused(b'/notes/x', 'engine-1')

    async def test_new_process_is_used_again(self) -> None:
        """Guard against a restarted replica that gets no work."""
        await self.announce_engine(_START_MS)
        await self.learn_leaving(b'/notes/x', 'engine-1')
        self.get_replica('engine-1').reports_leaving = False
        await self.announce_engine(_START_MS + 1)
        self.mark_dead('engine-2', 9)
        await self.request(b'/notes/x', 'again')
        self.assertEqual(len(self.list_arrivals('engine-1')), 2)

    async def test_header_of_a_client_does_not_count(self) -> None:
        """Guard against clients that take replicas out of service."""
        header = (b'server-leaving', b'1')
        for number in range(_REQUEST_COUNT):
            headers = [*build_headers(f'r{number}'), header]
            await self.request_with(b'/notes/x', headers)
            await self.request_with(b'/pickup/x', headers)
        view = self.process.state.view
        self.assertEqual(view.leaving_deadlines, {})

    async def announce_engine(self, started_ms: int) -> None:
        """Announce the first engine as ready, and wait until that is known."""
        entry = build_announcement(
            'llm',
            self.harness.addresses['engine-1'],
            'vast',
            _LAYERS,
            started_ms=started_ms,
        )
        await self.harness.store.put('servers/engine-1', entry)
        await asyncio.sleep(4 * SETTLE_S)
