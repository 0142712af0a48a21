"""Tests of handovers: what a search reserves, uses and releases."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.tests.platform_documents import ENGINE, build_configuration
from samphirerill.tests.test_leaving import LeavingCase
from samphirerill.tests.two_engines import (
    AMPLE_RETRIES,
    EVENTS,
    LEAVING_MS,
    RESPONSE_TIMEOUT_S,
    TwoEnginesCase,
    build_headers,
    wait_until,
)

if TYPE_CHECKING:
    from samphirerill.fleet.retry_budget import RetryUsage

_SLOW_PREFILL_S = 0.6
_SLOTS = ENGINE['slots']


class HandoverCase(TwoEnginesCase):
    """Two engines, one of which is slow to start a run."""

    def get_retry_usage(self) -> RetryUsage:
        """Return the current usage of the retry budget."""
        now = asyncio.get_running_loop().time()
        return self.process.state.get_retry_budget('llm').get_usage(now)

    def assert_nothing_reserved(self) -> None:
        """Check that no capacity is reserved."""
        self.assertEqual(
            dict(self.process.state.load_tracker.get_own_load()), {}
        )


class TestHandover(HandoverCase):
    """Replacement runs that are not needed, or not found."""

    async def test_client_disconnect_cancels_both_runs(self) -> None:
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].prefill_s = _SLOW_PREFILL_S
        self.harness.replicas[head].responding.clear()
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        stream.cancel()
        await asyncio.sleep(0.2)
        self.harness.replicas[head].responding.set()
        self.assertEqual(self.harness.replicas[head].cancelled, 1)
        self.assertEqual(self.harness.replicas[other].cancelled, 1)
        self.assert_nothing_reserved()

    async def test_completed_run_cancels_the_search(self) -> None:
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].prefill_s = RESPONSE_TIMEOUT_S
        self.mark_dead(head)
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        self.harness.replicas[head].event_interval_s = 0.001
        self.assert_complete(await stream)
        await asyncio.sleep(0.3)
        self.assertEqual(self.harness.replicas[other].cancelled, 1)
        self.assert_nothing_reserved()

    async def test_rejected_search_reserves_nothing(self) -> None:
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        self.mark_dead(head)
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        await asyncio.sleep(0.1)
        self.assertEqual(
            set(self.process.state.load_tracker.get_own_load()), {head}
        )
        self.assert_complete(await stream)
        self.assert_nothing_reserved()

    async def test_replacement_may_take_long_for_its_prefill(self) -> None:
        """A replacement run must not be cancelled during a long prefill.

        Otherwise streams with long prompts break off when a replica dies.
        """
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].prefill_s = 0.9
        self.harness.replicas[head].responding.clear()
        answer = await stream
        self.harness.replicas[head].responding.set()
        self.assert_complete(answer)
        self.assertEqual(len(self.harness.replicas[other].received_requests), 1)

    async def test_replacement_counts_from_its_first_event(self) -> None:
        """A replacement run must not count as started before its first event.

        Otherwise one that breaks off after its head aborts the stream, although
        the present run would go on.
        """
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].cut_after_head = True
        await self.drop_layers(head)
        self.assert_complete(await stream)

    async def test_retries_are_used_only_for_sent_attempts(self) -> None:
        """A stream must not spend a retry before there is a path for it.

        Otherwise the budget of all nodes is spent without a retry being sent.
        """
        await self.configure(build_configuration(8, maxAttempts=1))
        stream, head, _ = await self.start_stream()
        self.harness.replicas[head].streaming.clear()
        await asyncio.sleep(1.7)
        self.harness.replicas[head].streaming.set()
        self.assert_complete(await stream)
        self.assertEqual(self.get_retry_usage().retries, 0)


class TestWaitingForCapacity(HandoverCase):
    """The head replica is dead, and the other one is full for a while."""

    async def test_started_stream_is_served_before_a_new_one(
        self,
    ) -> None:
        """A new stream must not get the capacity that a started one needs.

        Guards against started streams that do not wait for a path in the queue.
        """
        stream, head, other = await self.start_stream()
        self.process.state.load_tracker.add_request([other] * _SLOTS, 0)
        self.harness.replicas[head].responding.clear()
        await self._wait_until_queued(1)
        new_stream = await self._queue_new_stream()
        await self._free_slots(other, 1)
        self.assertEqual(self._count_queued(), 1)
        await self.wait_until(
            lambda: self.harness.replicas[other].received_requests
        )
        self.harness.replicas[head].responding.set()
        self.assert_complete(await stream)
        await self._free_slots(other, _SLOTS - 1)
        await new_stream
        first = self.harness.replicas[other].received_requests[0]
        self.assertEqual(first.get(b'x-samphirerill-request-id'), b'r1')

    async def _queue_new_stream(self) -> asyncio.Task[tuple[int, bytes]]:
        """Send a stream that waits for a path behind another one."""
        stream = asyncio.create_task(
            self.request_with(b'/notes/x', build_headers('r2'))
        )
        await self._wait_until_queued(2)
        return stream

    async def _wait_until_queued(self, count: int) -> None:
        """Wait until so many streams wait for a path."""
        await self.wait_until(lambda: self._count_queued() == count)

    async def _free_slots(self, name: str, count: int) -> None:
        """Free slots, and let the node handle that without waiting."""
        self.process.state.load_tracker.remove_request([name] * count, 0)
        self.process.state.notify_listeners()
        for _ in range(2):
            await asyncio.sleep(0)

    def _count_queued(self) -> int:
        return self.process._admission.count_waiting()  # noqa: SLF001


class TestOneHead(LeavingCase):
    """All paths start at the same replica."""

    async def test_dead_stage_is_replaced_behind_the_same_head(self) -> None:
        """A stream must not be stuck after a later stage of its path has died.

        Guards against replacement runs that may only start at another head:
        here there is none.
        """
        process = await self.harness.wait_until_ready()
        state = process.state
        await self.harness.store.put(
            'op/config', build_configuration(8, maxAttempts=1)
        )
        await wait_until(lambda: state.version == 8)
        state.apply_settings(
            replace(
                state.settings, retry_slack=AMPLE_RETRIES, leaving_ms=LEAVING_MS
            )
        )
        head = self.harness.replicas['head']
        for replica in self.harness.replicas.values():
            replica.events = EVENTS
        head.stall_after_event = 10
        head.order_status = 409
        stream = asyncio.create_task(self.stream('r1'))
        await asyncio.sleep(0.3)
        head.stall_after_event = 0
        tail = min(self.list_used_tails())
        self.harness.replicas[tail].responding.clear()
        now = asyncio.get_running_loop().time()
        state.view.add_silence_report(tail, now + 4, now, votes=2)
        state.notify_listeners()
        try:
            body = await stream
        except EndpointError as exc:
            body = str(exc).encode()
        self.assertEqual(body.count(b'id:'), EVENTS, body)
        self.assertEqual(len(head.received_requests), 2)
