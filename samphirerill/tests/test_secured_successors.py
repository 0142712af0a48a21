"""Requests given up before another run or a refusal is secured."""

from __future__ import annotations

import asyncio
import threading
import time
from typing import TYPE_CHECKING, Any, ClassVar
from unittest.mock import patch

from msgspec import json

from samphirerill.core.commands import CancelAttempt, RefuseRequest
from samphirerill.core.events import TokenArrived, VmListRead
from samphirerill.fleet.model import LayerRange
from samphirerill.fleet.paths import PathRequest, count_token_capacity
from samphirerill.relay.admission import AdmissionQueue
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.health.prober import Diagnosis, ReplicaProber
from samphirerill.relay.quarantine import CrashDetector
from samphirerill.relay.replacement import STARTED_RANK
from samphirerill.testing.clients import ClientResponse, send_request
from samphirerill.testing.layout import SECOND_ACCOUNT_KEY
from samphirerill.testing.processor_time import ProcessorTimeCase
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.support import ClusterCase
from samphirerill.tests.test_back_off_decisions import (
    RouterCase as BackingOffCase,
)
from samphirerill.tests.test_back_off_decisions import find_all
from samphirerill.tests.test_kept_connections import KeptConnectionCase
from samphirerill.tests.test_one_head import OneHeadCase
from samphirerill.tests.two_engines import (
    OK,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.request_context import RequestContext

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_EVENT_STREAM = b'text/event-stream'
_PLAIN_TIMEOUT_MS = 1600
# Beyond the time of a first attempt, well within that of the request.
_PLAIN_WORK_S = 1.0
_PREFILL_S = 0.6
_ENDLESS_PREFILL_S = 10.0
_SUSPICION_S = 0.3
_HOLD_S = 5.0
# Ends between two silences of a run that falls silent at once.
_FULL_S = 0.55
_FREE_S = 0.25
_ENDLESS_S = 8.0
# How long clients wait for a first event.
_PATIENCE_S = 2.0
_LONG_SUSPICION_S = 4.0
# More than new streams may use, and less than started ones may.
_MEMORY_USE = 0.95
_FULL_TOKENS = 1e9
_DELAY_S = 0.1
_LARGE_BYTES = 24_000_000
# Longer than the idle timeout of the server.
_PAUSE_S = 0.8
_FINISH_S = 0.5
# Longer than the progress timeout, and than that of a first token.
_SILENCE_S = 0.9
_PREFILL_SILENCE_S = 3.1
_LONG_BACK_OFF_S = 40.0
# Each engine that can be the first stage of a pipeline.
_HEADS = ('e0', 'e4')
_SERVICE_DELAY_S = 3.0


class UnstartedStreamCase(ProcessorTimeCase, TwoEnginesCase):
    """Streams whose first event has not come yet."""

    async def start_prefill(
        self, prefill_s: float = _PREFILL_S
    ) -> tuple[asyncio.Task[tuple[int, bytes]], str]:
        """Send a stream whose prefill takes a while; return its engine too."""
        for name in ('engine-1', 'engine-2'):
            self.harness.replicas[name].prefill_s = prefill_s
        stream = self.start_request(b'/notes/x')
        await self.wait_until(self.list_used_engines)
        await asyncio.sleep(SETTLE_S)
        return stream, self.list_used_engines()[0]

    def fill(self, name: str) -> float:
        """Use the memory for streams without an event; return the tokens."""
        state = self.process.state
        cfg = state.cfg
        engine = None if cfg is None else cfg.services['llm'].engine
        if engine is None:
            self.fail('the service has no engine')
        tokens = count_token_capacity(
            engine, state.view.replicas[name], LayerRange(0, engine.layers)
        )
        used = tokens * _MEMORY_USE
        state.load_tracker.add_request([name], used)
        return used


class TestSuspectedHeads(UnstartedStreamCase):
    """The head replica works, though it is suspected."""

    async def test_run_goes_on_without_a_retry(self) -> None:
        """Guard against closing a run before a retry is reserved."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill()
        self.mark_dead(head, _SUSPICION_S)
        self.assert_complete(await stream)

    async def test_run_at_the_only_allowed_head_goes_on(self) -> None:
        """Guard against closing a run that no other replica may replace."""
        await self.configure(build_configuration(8, maxAttempts=1))
        stream, head = await self.start_prefill()
        self.mark_dead(head, _LONG_SUSPICION_S)
        self.assert_complete(await stream)

    async def test_run_is_left_as_soon_as_a_path_is_free(self) -> None:
        """Guard against finding a free path by the next silence only."""
        stream, head = await self.start_prefill(_ENDLESS_S)
        other = 'engine-2' if head == 'engine-1' else 'engine-1'
        self.harness.replicas[other].prefill_s = 0
        used = self.fill(other)
        self.mark_dead(head, _LONG_SUSPICION_S)
        await asyncio.sleep(_FULL_S)
        self.assertEqual(self.list_used_engines(), [head])
        self.process.state.load_tracker.remove_request([other], used)
        await asyncio.sleep(_FREE_S)
        self.assertIn(other, self.list_used_engines())
        self.assert_complete(await stream)

    async def test_run_without_an_answer_is_refused_in_time(self) -> None:
        """Guard against a client that gives up before it is refused."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill(_ENDLESS_S)
        self.mark_dead(head, _LONG_SUSPICION_S)
        async with asyncio.timeout(_PATIENCE_S - SETTLE_S):
            status, body = await stream
        self.assertEqual(status, _BAD_GATEWAY, body)

    async def test_run_at_a_stopped_head_is_left_at_once(self) -> None:
        """Guard against waiting for a replica that has ended."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill(_ENDLESS_S)
        view = self.process.state.view
        now = asyncio.get_running_loop().time()
        view.ended.note(view.replicas[head].replica, now)
        self.mark_dead(head, _LONG_SUSPICION_S)
        async with asyncio.timeout(SETTLE_S):
            status, body = await stream
        self.assertEqual(status, _BAD_GATEWAY, body)


class TestUnreadHeads(UnstartedStreamCase):
    """The response head has arrived when its run is closed."""

    async def test_response_does_not_begin_after_its_run_was_closed(
        self,
    ) -> None:
        """Guard against a cut response where a refusal was possible."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        stream, head = await self.start_prefill()
        address = self.harness.addresses[head]
        receive = HttpConnection.data_received

        def suspect_sender(conn: HttpConnection, data: bytes) -> None:
            receive(conn, data)
            if conn.address == address and _EVENT_STREAM in data:
                self.mark_dead(head, _SUSPICION_S)

        with patch.object(HttpConnection, 'data_received', suspect_sender):
            status, body = await stream
        self.assertIn(status, (OK, _BAD_GATEWAY, _UNAVAILABLE), body)

    async def test_response_does_not_begin_after_a_quarantine(self) -> None:
        """Guard against a cut response for a request held meanwhile."""
        stream, head = await self.start_prefill()
        address = self.harness.addresses[head]
        receive = HttpConnection.data_received
        find_held_until = CrashDetector.find_held_until
        held_until: list[float] = []

        def hold_request(conn: HttpConnection, data: bytes) -> None:
            receive(conn, data)
            if conn.address == address and _EVENT_STREAM in data:
                held_until.append(asyncio.get_running_loop().time() + _HOLD_S)
                for exchange in self.process.state.streams:
                    exchange.check_quarantine()

        def find_hold(
            detector: CrashDetector, context: RequestContext
        ) -> float:
            return max((find_held_until(detector, context), *held_until))

        with (
            patch.object(HttpConnection, 'data_received', hold_request),
            patch.object(CrashDetector, 'find_held_until', find_hold),
        ):
            status, body = await stream
        self.assertTrue(held_until)
        self.assertIn(status, (_BAD_GATEWAY, _UNAVAILABLE), body)


class TestProbedHeads(UnstartedStreamCase):
    """A head replica that does not answer a probe."""

    async def test_run_with_an_unread_response_goes_on(self) -> None:
        """Guard against leaving a run that has answered meanwhile."""
        self.change_settings(retry_slack=0, retry_ratio=0)

        async def find_all_dead(
            _: ReplicaProber, stages: Sequence[Stage]
        ) -> Diagnosis:
            await asyncio.sleep(_PREFILL_S)
            names = {stage.replica.replica_id for stage in stages}
            return Diagnosis(dead=names, stalled={})

        with patch.object(ReplicaProber, 'diagnose_path', find_all_dead):
            stream, _ = await self.start_prefill()
            self.assert_complete(await stream)


class TestStalledStages(OneHeadCase):
    """A later stage stalls a stream before its first event."""

    async def test_stream_is_sent_to_its_head_again(self) -> None:
        """Guard against excluding the head for a run that was closed here."""
        self.head.prefill_s = _ENDLESS_PREFILL_S
        load_tracker = self.state.load_tracker
        load_tracker.add_request(['tail-2'], _FULL_TOKENS)
        headers = build_headers('r1')
        stream = asyncio.create_task(
            self.harness.send_request(b'/notes/x', headers)
        )
        await wait_until(lambda: self.head.received_requests)
        load_tracker.remove_request(['tail-2'], _FULL_TOKENS)
        self.head.prefill_s = 0.0

        async def find_tail_dead(
            _: ReplicaProber, stages: Sequence[Stage]
        ) -> Diagnosis:
            names = {stage.replica.replica_id for stage in stages}
            return Diagnosis(dead=names & {'tail-1'})

        with patch.object(ReplicaProber, 'diagnose_path', find_tail_dead):
            status, body = await stream
        self.assertEqual(status, OK, body)


class TestReservedMemory(UnstartedStreamCase):
    """Memory that only started streams may use."""

    async def test_run_goes_on_if_no_path_would_be_granted(self) -> None:
        """Guard against closing a run for a path that it does not get."""
        stream, head = await self.start_prefill()
        other = 'engine-2' if head == 'engine-1' else 'engine-1'
        self.fill(other)
        await self.drop_layers(head)
        self.assert_complete(await stream)


class TestGrantedPaths(TwoEnginesCase):
    """A path is granted, and this node is delayed beyond the deadline."""

    async def test_granted_path_is_used(self) -> None:
        """Guard against aborting a started stream that has got a path."""
        state = self.process.state
        cfg = state.cfg
        engine = None if cfg is None else cfg.services['llm'].engine
        assert engine is not None
        engines = ['engine-1', 'engine-2']
        state.load_tracker.add_request(engines, _FULL_TOKENS)
        loop = asyncio.get_running_loop()
        queue = AdmissionQueue(state)

        def release_and_block() -> None:
            state.load_tracker.remove_request(engines, _FULL_TOKENS)
            state.notify_listeners()
            time.sleep(2 * _DELAY_S)

        loop.call_later(SETTLE_S, release_and_block)
        until = loop.time() + SETTLE_S + _DELAY_S
        path_request = PathRequest(1, set(), is_urgent=True)
        stages = await queue.admit(
            'llm', engine, path_request, STARTED_RANK, until, until
        )
        self.assertTrue(stages)


class TestPlainRequests(TwoEnginesCase):
    """An endpoint that takes longer than the time of a first attempt."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        document = json.decode(build_configuration(8))
        document['routes'][1].update(
            kind='idempotent', timeoutMs=_PLAIN_TIMEOUT_MS, maxAttempts=2
        )
        await self.configure(json.encode(document))
        self.endpoint = self.harness.replicas['desk-1']
        self.addCleanup(self.endpoint.responding.set)

    async def send_slow_request(self) -> tuple[int, bytes]:
        """Send a request that the endpoint works on for a second."""
        self.endpoint.responding.clear()
        request = self.start_request(b'/pickup/x')
        await asyncio.sleep(_PLAIN_WORK_S)
        self.endpoint.responding.set()
        return await request

    async def test_only_endpoint_is_not_given_up(self) -> None:
        """Guard against ending an attempt that no other can follow."""
        status, body = await self.send_slow_request()
        self.assertEqual(status, OK, body)

    async def test_endpoint_is_not_given_up_without_a_retry(self) -> None:
        """Guard against ending an attempt before a retry is reserved."""
        await self.harness.add_replica('desk-2')
        await self.announce('desk-2', 'desk', kind='')
        await self.harness.wait_for_replica_count(4)
        self.change_settings(retry_slack=0, retry_ratio=0)
        self.harness.replicas['desk-2'].responding.clear()
        self.addCleanup(self.harness.replicas['desk-2'].responding.set)
        request = self.start_request(b'/pickup/x')
        self.endpoint.responding.clear()
        await asyncio.sleep(_PLAIN_WORK_S)
        for name in ('desk-1', 'desk-2'):
            self.harness.replicas[name].responding.set()
        status, body = await request
        self.assertEqual(status, OK, body)


class TestUnreadResponses(KeptConnectionCase):
    """A client that has not read the response before."""

    async def test_connection_with_a_queued_request_is_not_idle(self) -> None:
        """Guard against an idle timeout while a request waits."""
        self.handler.padding = bytes(_LARGE_BYTES)
        await self.send(_build_request('/unsent'))
        await self.send(_build_request('/2'))
        await asyncio.sleep(_PAUSE_S)
        self.assertEqual(await self.receive_statuses(), [OK, OK])


class TestOwnInterface(ClusterCase):
    """The project's own interface."""

    overrides: ClassVar[dict[str, Any]] = {
        'shutdown': {'notice_s': 0, 'finish_s': _FINISH_S}
    }

    def test_request_that_is_open_at_the_end_is_answered(self) -> None:
        """Guard against a closed connection where a status was possible."""
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, delay_s=_SERVICE_DELAY_S)
        answers: list[ClientResponse] = []
        caller = threading.Thread(target=self.look_up, args=(answers,))
        caller.start()
        time.sleep(SETTLE_S)
        self.cluster.nodes[0].stop()
        caller.join()
        self.assertIn(answers[0].status, (_BAD_GATEWAY, _UNAVAILABLE))

    def look_up(self, answers: list[ClientResponse]) -> None:
        """Send a request to the plain service."""
        answers.append(
            send_request(
                self.callers, '/svc/lookups/x', SECOND_ACCOUNT_KEY, b''
            )
        )


class TestSilentAttempts(BackingOffCase):
    """Silent streams of the own interface that no endpoint may replace."""

    def test_stream_stays_while_all_endpoints_are_leaving(self) -> None:
        """Guard against ending a stream for a retry without an endpoint."""
        self.start_stream()
        endpoints = frozenset(self.router.state.endpoints)
        self.apply(VmListRead(frozenset(), endpoints))
        commands = self.wait(_SILENCE_S)
        self.assertEqual(find_all(commands, CancelAttempt), [])

    def test_stream_stays_while_all_heads_back_off(self) -> None:
        """Guard against ending a stream for a retry that has to wait."""
        self.start_stream()
        for name in _HEADS:
            self.back_off(name, _LONG_BACK_OFF_S)
        commands = self.wait(_SILENCE_S)
        self.assertEqual(find_all(commands, CancelAttempt), [])

    def test_attempt_without_a_token_stays_while_all_heads_back_off(
        self,
    ) -> None:
        """Guard against refusing a request that may still be answered."""
        self.send('r1')
        for name in _HEADS:
            self.back_off(name, _LONG_BACK_OFF_S)
        commands = self.wait(_PREFILL_SILENCE_S)
        self.assertEqual(find_all(commands, RefuseRequest), [])

    def start_stream(self) -> None:
        """Send a stream and receive its first token."""
        attempt = self.send('r1')
        self.apply(TokenArrived(attempt.attempt_id, 0, 0, 'x'))


def _build_request(target: str) -> bytes:
    return (
        f'POST {target} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
    ).encode()
