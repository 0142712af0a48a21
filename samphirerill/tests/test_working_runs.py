"""Tests that a working run is not ended before its replacement starts."""

from __future__ import annotations

import asyncio

from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.test_leaving import LeavingCase
from samphirerill.tests.two_engines import (
    AMPLE_RETRIES,
    EVENTS,
    GAP_S,
    LEAVING_MS,
    OK,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
    wait_until,
)

# A node assumes at least eight nodes, so it has a single retry.
_SLACK_FOR_ONE_RETRY = 8
_TOKENS_HEADER = 3
_FULL_TOKENS = 1e9
_LONG_PREFILL_S = 1.0


class TestWorkingRuns(TwoEnginesCase):
    """Guards against a node that ends working runs too early."""

    async def test_working_head_considered_dead(self) -> None:
        """The run must not end at once, as the second replica is full."""
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        self.mark_dead(head)
        self.assert_complete(await stream)

    async def test_working_head_considered_dead_with_one_attempt(
        self,
    ) -> None:
        """A stream that may use one replica only must stay on it."""
        await self.configure(build_configuration(8, maxAttempts=1))
        stream, head, _ = await self.start_stream()
        self.mark_dead(head, 4.0)
        self.assert_complete(await stream)

    async def test_working_head_considered_dead_without_retries(self) -> None:
        """The run must not end unless a retry is left."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head, _ = await self.start_stream()
        self.mark_dead(head)
        self.assert_complete(await stream)

    async def test_head_drops_layers_while_other_engine_is_full(
        self,
    ) -> None:
        """The run must not end before another has started.

        The second replica rejects the stream, and the first is not asked again.
        """
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        await self.drop_layers(head)
        self.assert_complete(await stream)

    async def test_head_drops_layers_with_one_retry_left(
        self,
    ) -> None:
        """Each stream must reserve a retry before its run ends.

        Otherwise, all of them see the last retry, and most are aborted.
        """
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        await self.announce('engine-2', layers=(0, 80), state='draining')
        view = self.process.state.view
        await self.wait_until(lambda: view.is_leaving('engine-2'))
        streams = [self.start_request(b'/notes/x') for _ in range(4)]
        await asyncio.sleep(SETTLE_S)
        await self.harness.add_replica('engine-3', events=EVENTS)
        self.harness.replicas['engine-3'].event_interval_s = GAP_S
        self.harness.replicas['engine-3'].layers = (0, 80)
        await self.announce('engine-3', layers=(0, 80))
        await self.wait_until(lambda: 'engine-3' in view.replicas)
        await self.drop_layers('engine-1')
        for answer in await asyncio.gather(*streams):
            self.assert_complete(answer)

    async def test_announcement_of_draining_head_is_removed(self) -> None:
        """The removal of an announcement must not be taken for a failed run."""
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        await self.announce(head, layers=(0, 80), state='draining')
        view = self.process.state.view
        await self.wait_until(lambda: view.is_leaving(head))
        await self.harness.store.delete(f'servers/{head}')
        self.assert_complete(await stream)

    async def test_short_silence_of_non_resumable_stream(
        self,
    ) -> None:
        """A stream that is not resumable must not leave a silent replica."""
        await self.configure(build_configuration(8, resumable=False))
        stream, head, _ = await self.start_stream()
        await self.freeze(head)
        self.assert_complete(await stream)

    async def test_short_silence_while_other_engine_is_full(
        self,
    ) -> None:
        """The run must not end before another has started.

        The second engine is full.
        """
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        await self.freeze(head)
        self.assert_complete(await stream)

    async def test_long_silence_while_other_engine_is_full(self) -> None:
        """A preempted stream must not leave its path before another run starts.

        The replica works, though it is silent for long.
        """
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].event_interval_s = GAP_S / 2
        stream, head, other = await self.start_stream()
        self.harness.replicas[other].refuses = True
        self.harness.replicas[head].streaming.clear()
        await asyncio.sleep(1.7)
        self.harness.replicas[head].streaming.set()
        self.assert_complete(await stream)

    async def test_head_drops_layers_with_capacity_for_one(
        self,
    ) -> None:
        """Each stream must reserve capacity before its run ends.

        Otherwise, all of them see the same free capacity, and most are aborted.
        """
        events = 115
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].events = events
        headers = build_headers('r1')
        headers[_TOKENS_HEADER] = (b'x-samphirerill-token-count', b'20000,80')
        streams = [
            asyncio.create_task(self.request_with(b'/notes/x', headers))
            for _ in range(3)
        ]
        await self.wait_until(
            lambda: len(self.list_used_engines()) == len(streams)
        )
        sent = self.list_used_engines()
        await self.drop_layers(max(sent, key=sent.count))
        for status, body in await asyncio.gather(*streams):
            self.assertEqual(status, OK, body)
            self.assertEqual(body, self.build_events(events))

    async def freeze(self, name: str) -> None:
        """Freeze an engine for a moment."""
        replica = self.harness.replicas[name]
        replica.responding.clear()
        await asyncio.sleep(0.4)
        replica.responding.set()


class TestUnstartedRuns(TwoEnginesCase):
    """Runs that have not sent an event yet."""

    async def test_head_drops_layers_with_one_retry_left(self) -> None:
        """Each stream must reserve a retry before its run ends.

        Otherwise, all of them see the last retry, and most are answered 502.
        """
        self.change_settings(retry_slack=_SLACK_FOR_ONE_RETRY, retry_ratio=0)
        load_tracker = self.process.state.load_tracker
        load_tracker.add_request(['engine-2'], _FULL_TOKENS)
        self.harness.replicas['engine-1'].prefill_s = _LONG_PREFILL_S
        streams = [self.start_request(b'/notes/x') for _ in range(4)]
        await self.wait_until(lambda: len(self.list_used_engines()) == 4)
        load_tracker.remove_request(['engine-2'], _FULL_TOKENS)
        await self.drop_layers('engine-1')
        for answer in await asyncio.gather(*streams):
            self.assert_complete(answer)

    async def test_silence_of_non_resumable_stream(self) -> None:
        """A stream that may run only once must not leave a silent replica."""
        await self.configure(build_configuration(8, resumable=False))
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].prefill_s = _LONG_PREFILL_S
        stream = self.start_request(b'/notes/x')
        await self.wait_until(self.list_used_engines)
        replica = self.harness.replicas[self.list_used_engines()[0]]
        replica.responding.clear()
        await asyncio.sleep(_LONG_PREFILL_S)
        replica.responding.set()
        self.assert_complete(await stream)


class TestLaterStages(LeavingCase):
    """Later stages of a path."""

    async def test_later_stage_drops_layers_while_engine_is_full(self) -> None:
        """The run must not end before another has started.

        The head rejects the move, and an engine that seems to have capacity
        rejects the stream.
        """
        process = await self.harness.wait_until_ready()
        view = process.state.view
        settings = process.state.settings
        process.state.apply_settings(
            replace(settings, retry_slack=AMPLE_RETRIES, leaving_ms=LEAVING_MS)
        )
        await self.announce('tail-2', 'draining')
        await wait_until(lambda: view.is_leaving('tail-2'))
        for replica in self.harness.replicas.values():
            replica.events = EVENTS
        stream = asyncio.create_task(self.stream('r1'))
        await asyncio.sleep(SETTLE_S)
        whole_engine = await self.harness.add_replica('whole')
        whole_engine.layers = (0, 80)
        whole_engine.refuses = True
        await self.announce('whole')
        await wait_until(lambda: 'whole' in view.replicas)
        self.harness.replicas['head'].order_status = 409
        self.harness.replicas['tail-1'].layers = (60, 80)
        await self.announce('tail-1')
        try:
            body = await stream
        except EndpointError as exc:
            body = str(exc).encode()
        self.assertEqual(body.count(b'id:'), EVENTS, body)
