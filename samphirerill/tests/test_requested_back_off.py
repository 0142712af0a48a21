"""Replicas that refuse a request with ``Retry-After`` get none for that time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any
from unittest.mock import patch

from msgspec import json

from samphirerill.fleet.replica_notices import note_requested_backoff
from samphirerill.relay.connection import (
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.platform_adapter import ResponseMetadata, RetryAfter
from samphirerill.relay.pool import call_once
from samphirerill.testing.processor_time import ProcessorTimeCase
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.test_leaving import LeavingCase
from samphirerill.tests.two_engines import (
    EVENTS,
    OK,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_UNAVAILABLE = 503
_LONG_STREAM = 120
_BACK_OFF_S = 1.2
_RETRY_AFTER = b'1.2'
_REQUEST_INTERVAL_S = 0.05
_IN_FLIGHT_S = 0.2
_ENGINES = ('engine-1', 'engine-2')
_DESKS = ('desk-1', 'desk-2')


class BackOffCase(ProcessorTimeCase, TwoEnginesCase):
    """Two engines and two plain replicas that can refuse with a delay."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        await super().asyncSetUp()
        await self.harness.add_replica('desk-2')
        await self.announce('desk-2', 'desk', kind='')
        await self.harness.wait_for_replica_count(4)
        document = json.decode(build_configuration(8))
        document['routes'][1].update(maxAttempts=2, timeoutMs=3000)
        await self.configure(json.encode(document))

    def refuse_once(
        self, *names: str, retry_after: bytes = _RETRY_AFTER
    ) -> None:
        """Let replicas refuse one request each with ``Retry-After``."""
        for name in names:
            refusal = self.harness.replicas[name].refusal
            refusal.remaining = 1
            refusal.retry_after = retry_after

    def list_arrivals(self, name: str) -> list[float]:
        """Return when a replica received its requests."""
        received = self.harness.replicas[name].received_requests
        return [req.arrived_at for req in received]

    def list_arrivals_in_back_off(
        self, name: str, in_flight_s: float
    ) -> list[float]:
        """Return when requests came between the refusal and its time's end."""
        times = self.list_arrivals(name)
        return [
            round(at - times[0], 3)
            for at in times[1:]
            if times[0] + in_flight_s <= at < times[0] + _BACK_OFF_S
        ]

    async def send_series(
        self, target: bytes, duration_s: float = _BACK_OFF_S
    ) -> list[tuple[int, bytes]]:
        """Send requests at a steady rate; return their answers."""
        tasks = []
        for number in range(round(duration_s / _REQUEST_INTERVAL_S)):
            tasks.append(
                asyncio.create_task(self.request(target, f'r{number}'))
            )
            await asyncio.sleep(_REQUEST_INTERVAL_S)
        return await asyncio.gather(*tasks)

    def pause(self, name: str, for_s: float) -> None:
        """Keep new streams off a replica for a while, as after a refusal."""
        now = asyncio.get_running_loop().time()
        state = self.process.state
        state.view.replicas[name].backoff_until = now + for_s
        state.notify_listeners()

    def hold_first_connection(self) -> asyncio.Event:
        """Delay the first connection until the returned event is set."""
        gate = asyncio.Event()
        pool = self.process.state.pool
        acquire = pool.acquire
        is_first = iter((True,))

        async def acquire_late(
            replica: Replica, **options: Any
        ) -> HttpConnection:
            must_wait = next(is_first, False)
            conn = await acquire(replica, **options)
            if must_wait:
                await gate.wait()
            return conn

        pool.acquire = acquire_late  # type: ignore[method-assign]
        return gate

    def assert_left_alone(self, *names: str, in_flight_s: float = 0) -> None:
        """Check that replicas got no request while they backed off.

        Requests of a series may be on their way when the refusal comes.
        """
        for name in names:
            with self.subTest(name):
                self.assertTrue(self.list_arrivals(name))
                found = self.list_arrivals_in_back_off(name, in_flight_s)
                self.assertEqual(found, [])


class TestCallers(BackOffCase):
    """What callers get while replicas back off."""

    async def test_streams_are_rejected_at_once_if_all_back_off_for_long(
        self,
    ) -> None:
        """Guard against streams that wait in vain, or are told a wrong time."""
        self.refuse_once(*_ENGINES, retry_after=b'4')
        await self.assert_rejected(b'/notes/x')
        await self.assert_rejected(b'/notes/x')
        self.assertEqual(len(self.list_used_engines()), 2)

    async def test_plain_requests_are_rejected_if_all_back_off_for_long(
        self,
    ) -> None:
        """Guard against plain requests that are told a wrong time."""
        self.refuse_once(*_DESKS, retry_after=b'4')
        await self.assert_rejected(b'/pickup/x')
        await self.assert_rejected(b'/pickup/x')
        for name in _DESKS:
            self.assertEqual(len(self.list_arrivals(name)), 1)

    async def test_streams_wait_for_the_end_of_a_short_back_off(self) -> None:
        """Guard against rejections of streams that could be served in time."""
        self.refuse_once(*_ENGINES, retry_after=b'0.4')
        self.assert_complete(await self.request(b'/notes/x'))
        self.assertEqual(len(self.list_used_engines()), 3)

    async def test_plain_requests_wait_for_the_end_of_a_short_back_off(
        self,
    ) -> None:
        """Guard against rejections of requests that could be served."""
        self.refuse_once(*_DESKS, retry_after=b'0.2')
        await self.request(b'/pickup/x')
        status, _ = await self.request(b'/pickup/x', 'last')
        self.assertEqual(status, OK)
        times = max((self.list_arrivals(name) for name in _DESKS), key=len)
        self.assertGreaterEqual(times[1] - times[0], 0.2)

    async def test_queued_stream_is_rejected_once_it_would_wait_in_vain(
        self,
    ) -> None:
        """Guard against a wait until the deadline after the last refusal."""
        for name in _ENGINES:
            self.pause(name, 9)
        waiting = asyncio.create_task(self.assert_rejected(b'/notes/x'))
        await asyncio.sleep(SETTLE_S)
        for name in _ENGINES:
            known = self.process.state.view.replicas[name]
            self.process.state.response_notices.handle(
                known.replica,
                _UNAVAILABLE,
                ResponseMetadata(retry_after=RetryAfter('4', 4.0)),
            )
        self.process.state.notify_listeners()
        await waiting

    async def test_operators_see_who_is_left_out_and_why(self) -> None:
        """Guard against refusals whose cause is visible nowhere."""
        self.refuse_once(*_ENGINES, retry_after=b'4')
        with patch('samphirerill.relay.refusals._LOG') as log:
            await self.request(b'/notes/x')
        reason = log.info.call_args.kwargs['extra']['reason']
        self.assertIn('2 replicas asked for a back-off: engine-', reason)
        host = self.process.state.settings.host
        port = self.process.get_metrics_port()
        until = asyncio.get_running_loop().time() + 2
        _, text = await call_once(
            f'{host}:{port}', b'GET', b'/state', b'', until
        )
        notices = json.decode(text)['notices']
        self.assertEqual({item['replica'] for item in notices}, set(_ENGINES))
        for item in notices:
            self.assertGreater(item['left_ms'], 3000)
        counters = self.process.state.counters
        self.assertEqual(counters['replicas.backoff_requested'], 2)

    async def assert_rejected(self, target: bytes) -> None:
        """Check that a request is rejected soon, with a time after 3 s."""
        conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
        self.addCleanup(conn.close)
        await conn.open()
        since = asyncio.get_running_loop().time()
        headers = build_headers('late')
        conn.send(serialize_request(b'POST', target, headers, b''))
        head = await conn.read(since + _BACK_OFF_S)
        assert isinstance(head, ResponseHead)
        self.assertEqual(head.status, _UNAVAILABLE)
        retry_s = float(head.get(b'retry-after') or b'0')
        # A random share of up to a half is added.
        self.assertGreater(retry_s, 3)
        self.assertLess(retry_s, 6.5)


class TestLaterStages(LeavingCase):
    """A refusal that a later stage of the path caused."""

    async def test_head_backs_off_and_named_stage_is_avoided(self) -> None:
        """Guard against a back-off of a replica that did not ask for it."""
        refusal = self.harness.replicas['head'].refusal
        refusal.remaining = 1
        refusal.retry_after = b'0.5'
        refusal.failed_address = self.harness.addresses['tail-1'].encode()
        await self.stream('r1')
        head = self.harness.replicas['head']
        times = [req.arrived_at for req in head.received_requests]
        self.assertEqual(len(times), 2)
        self.assertGreaterEqual(times[1] - times[0], 0.5)
        process = await self.harness.wait_until_ready()
        tail = process.state.view.replicas['tail-1']
        self.assertEqual(tail.requested_backoff_until, 0)
        self.assertGreater(tail.refusals, 0)

    async def test_stream_is_rerouted_while_its_head_backs_off(self) -> None:
        """Guard against streams that are stuck on a lost stage."""
        streams = await self.start_streams(1)
        process = await self.harness.wait_until_ready()
        view = process.state.view
        note_requested_backoff(
            view,
            view.replicas['head'].replica,
            asyncio.get_running_loop().time() + 20,
        )
        now = asyncio.get_running_loop().time()
        view.add_silence_report(min(self.list_used_tails()), now + 9, now)
        process.state.notify_listeners()
        body = await streams[0]
        self.assertEqual(body.count(b'id:'), _LONG_STREAM)
        self.assertEqual(self.count_reroute_orders(), 1)


class TestRequestedBackOff(BackOffCase):
    """No request of any kind is sent to a replica that backs off."""

    async def test_engines_get_no_streams_while_all_back_off(self) -> None:
        """Guard against the short back-off when no other engine is left."""
        self.refuse_once(*_ENGINES)
        await self.send_series(b'/notes/x')
        self.assert_left_alone(*_ENGINES, in_flight_s=_IN_FLIGHT_S)

    async def test_engine_gets_no_streams_while_another_serves(self) -> None:
        """Guard against sending to it again as soon as the other is busy."""
        self.refuse_once('engine-1')
        self.pause('engine-2', 0.25)
        answers = await self.send_series(b'/notes/x')
        self.assert_left_alone('engine-1', in_flight_s=_IN_FLIGHT_S)
        self.assertEqual({status for status, _ in answers}, {OK})

    async def test_plain_replicas_get_no_requests_while_all_back_off(
        self,
    ) -> None:
        """Guard against plain replicas being chosen for want of another."""
        self.refuse_once(*_DESKS)
        await self.send_series(b'/pickup/x')
        self.assert_left_alone(*_DESKS, in_flight_s=_IN_FLIGHT_S)

    async def test_resumed_stream_waits_for_the_end_of_the_back_off(
        self,
    ) -> None:
        """Guard against resuming at an engine that backs off, or aborting."""
        stream, head, other = await self.start_stream()
        self.refuse_once(other)
        self.harness.replicas[head].close_after_event = 10
        await self.wait_until(lambda: self.list_arrivals(other))
        self.crash(head)
        self.assert_complete(await stream)
        self.assert_left_alone(other)

    async def test_no_run_in_parallel_while_the_replica_backs_off(
        self,
    ) -> None:
        """Guard against parallel runs at an engine that backs off."""
        self.harness.replicas['engine-1'].events = 2 * EVENTS
        self.harness.replicas['engine-2'].events = 2 * EVENTS
        self.change_settings(leaving_ms=3000)
        stream, head, other = await self.start_stream()
        self.refuse_once(other)
        await self.drop_layers(head)
        for _ in range(5):
            self.mark_dead(head, 3)
            await asyncio.sleep(2 * SETTLE_S)
            self.process.state.view.note_alive(head)
        self.assertEqual(await stream, (OK, self.build_events(2 * EVENTS)))
        self.assert_left_alone(other)

    async def test_back_off_is_checked_after_the_wait_for_a_connection(
        self,
    ) -> None:
        """Guard against sending what was already waiting to be sent."""
        gate = self.hold_first_connection()
        self.pause('engine-2', 5)
        first = asyncio.create_task(self.request(b'/notes/x', 'first'))
        await asyncio.sleep(SETTLE_S)
        self.refuse_once('engine-1')
        second = asyncio.create_task(self.request(b'/notes/x', 'second'))
        await self.wait_until(lambda: self.list_arrivals('engine-1'))
        await asyncio.sleep(SETTLE_S)
        self.pause('engine-2', 0)
        gate.set()
        for answer in await asyncio.gather(first, second):
            self.assert_complete(answer)
        self.assert_left_alone('engine-1')

    async def test_plain_back_off_is_checked_after_the_wait(self) -> None:
        """Guard against sending a plain request that waited to connect."""
        gate = self.hold_first_connection()
        self.mark_dead('desk-2', 5)
        first = asyncio.create_task(self.request(b'/pickup/x', 'first'))
        await asyncio.sleep(SETTLE_S)
        self.refuse_once('desk-1')
        second = asyncio.create_task(self.request(b'/pickup/x', 'second'))
        await self.wait_until(lambda: self.list_arrivals('desk-1'))
        await asyncio.sleep(SETTLE_S / 2)
        gate.set()
        for status, _ in await asyncio.gather(first, second):
            self.assertEqual(status, OK)
        self.assert_left_alone('desk-1')

    def crash(self, name: str) -> None:
        """End a replica and let the node know."""
        self.harness.crash_replica(name)
        self.mark_dead(name, 5)


class TestOtherReplicas(BackOffCase):
    """Replicas that go on while others back off."""

    async def test_they_serve_without_delay(self) -> None:
        self.refuse_once('engine-1', 'desk-1', retry_after=b'4')
        for number in range(4):
            stream = await self.request(b'/notes/x', f's{number}')
            self.assert_complete(stream)
            status, _ = await self.request(b'/pickup/x', f'p{number}')
            self.assertEqual(status, OK)
        self.assertEqual(self.process.state.counters['reports.asked'], 0)
