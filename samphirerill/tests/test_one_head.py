"""Streams whose paths all start at one head that rejects reroute orders."""

from __future__ import annotations

import asyncio

from logbook import TestHandler
from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.test_leaving import LeavingCase
from samphirerill.tests.two_engines import (
    AMPLE_RETRIES,
    EVENTS,
    LEAVING_MS,
    SETTLE_S,
    wait_until,
)

_STREAMS = 4
# A node assumes at least eight nodes, so it has a single retry.
_ASSUMED_NODES = 8
_SLACK_FOR_ONE_RETRY = _ASSUMED_NODES
_FULL_TOKENS = 1e9
_LAST_EVENT = 3
_REFUSALS = 8
_LONG_LEAVING_MS = 3000
_ACCEPTED = 202
_REJECTED = 409
_SHORT_SUSPICION_S = 0.3
_LONG_SUSPICION_S = 4.0


class OneHeadCase(LeavingCase):
    """One head, which rejects reroute orders, and two tails."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        process = await self.harness.wait_until_ready()
        self.state = process.state
        self.change_settings(retry_slack=AMPLE_RETRIES, leaving_ms=LEAVING_MS)
        self.head = self.harness.replicas['head']
        self.head.order_status = _REJECTED
        for replica in self.harness.replicas.values():
            replica.events = EVENTS

    def change_settings(self, **changes: float) -> None:
        """Change settings of the node."""
        self.state.apply_settings(replace(self.state.settings, **changes))

    async def start_on_one_tail(
        self, count: int = _STREAMS
    ) -> tuple[list[asyncio.Task[bytes]], str]:
        """Start streams over one tail; return their tasks and the tail."""
        load_tracker = self.state.load_tracker
        load_tracker.add_request(['tail-2'], _FULL_TOKENS)
        streams = [
            asyncio.create_task(self.receive(f'r{number}'))
            for number in range(count)
        ]
        await wait_until(lambda: len(self.head.received_requests) == count)
        await asyncio.sleep(SETTLE_S)
        load_tracker.remove_request(['tail-2'], _FULL_TOKENS)
        return streams, 'tail-1'

    async def receive(self, request_id: str) -> bytes:
        """Return the body of one stream, or why it is incomplete."""
        try:
            return await self.stream(request_id)
        except EndpointError as exc:
            return str(exc).encode()

    def suspect(self, name: str, for_s: float) -> None:
        """Let two nodes report a replica as silent."""
        now = asyncio.get_running_loop().time()
        self.state.view.add_silence_report(name, now + for_s, now, votes=2)
        self.state.notify_listeners()

    async def assert_complete(self, streams: list[asyncio.Task[bytes]]) -> None:
        """Check that every stream has all of its events."""
        bodies = await asyncio.gather(*streams)
        incomplete = [body for body in bodies if body.count(b'id:') != EVENTS]
        self.assertEqual(incomplete, [])

    def assert_nothing_reserved(self) -> None:
        """Check that no capacity is reserved."""
        self.assertEqual(dict(self.state.load_tracker.get_own_load()), {})


class TestWorkingRuns(OneHeadCase):
    """The stage that seems to be lost still serves."""

    async def test_suspected_stage_with_one_retry_left(self) -> None:
        """Guard against closing runs for a retry that only one of them gets."""
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        streams, tail = await self.start_on_one_tail()
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)

    async def test_suspected_stage_with_one_retry_and_one_attempt(self) -> None:
        """Guard against looking at the last retry in place of reserving it.

        Each stream may use its head only, which stays allowed.
        """
        await self.harness.store.put(
            'op/config', build_configuration(8, maxAttempts=1)
        )
        await wait_until(lambda: self.state.version == 8)
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        streams, tail = await self.start_on_one_tail()
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)

    async def test_suspected_stage_while_head_is_full(self) -> None:
        """Guard against closing a run that the head does not take back."""
        streams, tail = await self.start_on_one_tail(1)
        self.head.refuses = True
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)

    async def test_suspected_stage_of_run_that_sends_events(self) -> None:
        """Guard against closing runs that deliver events for a suspicion."""
        streams, tail = await self.start_on_one_tail()
        self.suspect(tail, _SHORT_SUSPICION_S)
        await self.assert_complete(streams)
        self.assertEqual(len(self.head.received_requests), _STREAMS)
        self.assert_nothing_reserved()

    async def test_released_layers_with_one_retry_left(self) -> None:
        """Guard against closing runs as the time to release layers has passed.

        The replica serves them until none is left.
        """
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        streams, tail = await self.start_on_one_tail()
        self.harness.replicas[tail].layers = (60, 80)
        await self.announce(tail)
        await self.assert_complete(streams)

    async def test_short_silence_with_one_retry_left(self) -> None:
        """Guard against closing silent runs without a retry for each."""
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        streams, tail = await self.start_on_one_tail()
        self.head.streaming.clear()
        self.suspect(tail, _LONG_SUSPICION_S)
        await asyncio.sleep(1.0)
        self.head.streaming.set()
        await self.assert_complete(streams)
        self.assert_nothing_reserved()


class TestLostStage(OneHeadCase):
    """The stage is dead, and the run silent."""

    async def stall_stream(self) -> tuple[list[asyncio.Task[bytes]], str]:
        """Start a stream whose tail is dead."""
        self.head.stall_after_event = _LAST_EVENT
        streams, tail = await self.start_on_one_tail(1)
        await asyncio.sleep(SETTLE_S)
        self.head.stall_after_event = 0
        self.harness.replicas[tail].responding.clear()
        return streams, tail

    async def test_stream_is_sent_to_its_head_again(self) -> None:
        """Guard against excluding a head whose run this node has closed."""
        streams, tail = await self.stall_stream()
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)
        self.assertEqual(len(self.head.received_requests), 2)
        self.assert_nothing_reserved()

    async def test_closed_run_is_no_crash_of_its_replica(self) -> None:
        """Guard against blaming a replica for a run that this node closed."""
        streams, tail = await self.stall_stream()
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)
        self.assertEqual(self.state.counters['streams.broken'], 0)
        self.assertEqual(self.state.view.replicas['head'].refusals, 0)

    async def test_head_with_room_for_one_run(self) -> None:
        """Guard against reserving the capacity of the head twice.

        The present run gives its capacity to the one that replaces it.
        """
        streams, tail = await self.stall_stream()
        self.state.load_tracker.add_request(['head'], _FULL_TOKENS)
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)

    async def test_head_with_one_connection(self) -> None:
        """Guard against waiting for a connection that the run itself holds."""
        document = json.decode(build_configuration(8))
        document['services'][0]['maxConnections'] = _ASSUMED_NODES
        await self.harness.store.put('op/config', json.encode(document))
        await wait_until(lambda: self.state.version == 8)
        streams, tail = await self.stall_stream()
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)

    async def test_tail_with_room_appears_later(self) -> None:
        """Guard against a search that ignores the own head once it waits."""
        streams, tail = await self.stall_stream()
        load_tracker = self.state.load_tracker
        load_tracker.add_request(['tail-2'], _FULL_TOKENS)
        self.suspect(tail, _LONG_SUSPICION_S)
        await asyncio.sleep(0.8)
        load_tracker.remove_request(['tail-2'], _FULL_TOKENS)
        self.state.notify_listeners()
        await self.assert_complete(streams)

    async def test_head_that_rejects_once_is_asked_again(self) -> None:
        """Guard against giving up after the head was full for a moment."""
        streams, tail = await self.stall_stream()
        self.head.refuses = True
        self.suspect(tail, _LONG_SUSPICION_S)
        await wait_until(lambda: len(self.head.received_requests) == 2)
        self.head.refuses = False
        await self.assert_complete(streams)


class TestBrokenRuns(OneHeadCase):
    """The head has broken off the run and works."""

    async def test_stream_resumes_at_the_only_head(self) -> None:
        """Guard against excluding the only head from a stream for good."""
        self.head.close_after_event = _LAST_EVENT
        streams, _ = await self.start_on_one_tail(1)
        self.head.close_after_event = 0
        await self.assert_complete(streams)


class TestRerouting(OneHeadCase):
    """The head accepts reroute orders, but a new run would start sooner."""

    async def test_stream_is_rerouted_if_only_its_head_is_left(self) -> None:
        """Guard against preferring a new run that the own head cannot start.

        The stream would stay on a leaving replica until that ends.
        """
        self.head.order_status = _ACCEPTED
        streams, tail = await self.start_on_one_tail(1)
        self.head.layers = (0, 80)
        await self.announce('head')
        await self.announce_elsewhere('tail-2')
        replicas = self.state.view.replicas
        await wait_until(lambda: replicas['tail-2'].replica.data_centre == 'b')
        await self.announce(tail, 'draining')
        await wait_until(self.count_reroute_orders)
        await self.assert_complete(streams)

    async def test_stream_of_a_paused_head_is_rerouted(self) -> None:
        """Guard against leaving streams on a lost stage as their head is full.

        A head that rejects new streams is paused, and still runs its own.
        """
        self.head.order_status = _ACCEPTED
        streams, tail = await self.start_on_one_tail()
        now = asyncio.get_running_loop().time()
        for _ in range(_REFUSALS):
            self.state.view.note_refusal('head', now)
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)
        self.assertEqual(self.count_reroute_orders(), _STREAMS)

    async def test_stream_of_a_leaving_head_is_rerouted(self) -> None:
        """Guard against leaving streams on a lost stage as their head leaves."""
        self.head.order_status = _ACCEPTED
        self.change_settings(leaving_ms=_LONG_LEAVING_MS)
        streams, tail = await self.start_on_one_tail()
        await self.announce('head', 'draining')
        await wait_until(lambda: self.state.view.is_leaving('head'))
        self.suspect(tail, _LONG_SUSPICION_S)
        await self.assert_complete(streams)
        self.assertEqual(self.count_reroute_orders(), _STREAMS)

    async def announce_elsewhere(self, name: str) -> None:
        """Announce a replica in another data centre."""
        entry = json.decode(
            build_announcement(
                'llm',
                self.harness.addresses[name],
                'vast',
                self.harness.replicas[name].layers,
            )
        )
        entry['zone'] = 'b'
        await self.harness.store.put(f'servers/{name}', json.encode(entry))


class TestRecords(OneHeadCase):
    """What operators see of a run that this node closed."""

    async def test_cut_after_own_close_is_counted_apart(self) -> None:
        """Guard against taking a run closed here for one broken off."""
        self.head.stall_after_event = _LAST_EVENT
        streams, tail = await self.start_on_one_tail(1)
        self.head.refuses = True
        with TestHandler().applicationbound() as logs:
            self.suspect(tail, _LONG_SUSPICION_S)
            await asyncio.gather(*streams)
        counters = self.state.counters
        self.assertEqual(counters['streams.cut'], 1)
        self.assertEqual(counters['streams.cut.run_closed_here'], 1)
        fields = {record.message: dict(record.extra) for record in logs.records}
        closing = fields['stream run closed']
        self.assertTrue(closing['has_retry'] and closing['has_path'])
        self.assertGreater(closing['silent_ms'], 0)
        self.assertEqual(fields['stream aborted']['run_ended_by'], 'node')
