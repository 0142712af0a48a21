"""``Retry-After`` of replicas: which values and responses count."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from email.utils import formatdate
from time import time
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.fleet.replica_notices import note_requested_backoff
from samphirerill.fleet.view import FleetView
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.retry_after import parse_retry_after
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.connection import ResponseHead
from samphirerill.relay.endpoint_finder import EndpointFinder
from samphirerill.relay.platform_adapter import ResponseMetadata, RetryAfter
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleet_builders import build_replica

if TYPE_CHECKING:
    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.request_context import RequestContext

_UNAVAILABLE = 503
_INVALID = (
    b'soon',
    b'-1',
    b'nan',
    b'inf',
    b'1e9',
    b'',
    b'9' * 20,
    b'9' * 5000,
    b'1.2.3',
    b'0x10',
    b'\xff\x00',
    '٣'.encode(),
    b'Fri, 31 Dec 2999 23:59:59 GMT',
    b'Fri, 99 Dec 2030 23:59:59 GMT',
)


class TestParsing(TestCase):
    """Values of the header."""

    def test_seconds_may_have_a_fraction(self) -> None:
        for text, expected in ((b'3', 3.0), (b'0.25', 0.25), (b'0', 0.0)):
            with self.subTest(text):
                self.assertEqual(parse_retry_after(text, b'').delay_s, expected)

    def test_date_is_relative_to_the_date_of_the_response(self) -> None:
        """Guard against back-offs that depend on the clock of this node."""
        until = formatdate(1_000_007, usegmt=True).encode()
        since = formatdate(1_000_000, usegmt=True).encode()
        self.assertEqual(parse_retry_after(until, since).delay_s, 7.0)

    def test_date_without_date_of_the_response_uses_the_clock(self) -> None:
        until = formatdate(time() + 60, usegmt=True).encode()
        delay_s = parse_retry_after(until, b'').delay_s
        self.assertAlmostEqual(delay_s or 0, 60, delta=3)

    def test_past_date_asks_for_nothing(self) -> None:
        text = b'Sunday, 06-Nov-94 08:49:37 GMT'
        self.assertEqual(parse_retry_after(text, b'').delay_s, 0.0)


class NoticesCase(IsolatedAsyncioTestCase):
    """A node that knows one replica."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        self.view = self.state.view
        self.replica = replace(build_replica('one'), started_ms=5)
        self.view.apply_announcement(self.replica, 1)

    def respond(
        self,
        text: bytes = b'2',
        status: int = _UNAVAILABLE,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        """Handle a response of the replica."""
        head = ResponseHead(status, [(b'retry-after', text), *headers])
        metadata = self.state.adapter.parse_response(head)
        self.state.response_notices.handle(self.replica, status, metadata)

    def get_left_s(self) -> float:
        """Return for how much longer the replica is left alone."""
        until = self.view.notices.get_backoff_end(self.replica)
        return max(0.0, until - asyncio.get_running_loop().time())


class TestAcceptedResponses(NoticesCase):
    """Which responses count, and for how long."""

    async def test_back_off_is_never_shorter_than_asked(self) -> None:
        """Guard against requests within the time that a replica named."""
        for _ in range(50):
            self.respond()
            self.assertGreaterEqual(self.get_left_s(), 1.99)
        self.assertLess(self.get_left_s(), 2.31)

    async def test_back_offs_of_nodes_end_at_different_times(self) -> None:
        """Guard against all nodes coming back in one instant."""
        ends = set()
        for name in range(8):
            self.replica = replace(self.replica, replica_id=f'r{name}')
            self.respond()
            ends.add(round(self.get_left_s(), 2))
        self.assertGreater(len(ends), 3)

    async def test_shorter_wish_does_not_end_a_longer_one(self) -> None:
        self.respond(b'5')
        self.respond(b'1')
        self.assertGreater(self.get_left_s(), 4.9)

    async def test_invalid_values_are_ignored_and_logged_once(self) -> None:
        """Guard against replicas that are out for good, and log floods."""
        with patch('samphirerill.relay.response_notices._LOG') as log:
            for _ in range(3):
                for text in _INVALID:
                    self.respond(text)
        self.assertEqual(self.get_left_s(), 0)
        self.assertEqual(log.warning.call_count, len(_INVALID))

    async def test_long_back_off_is_shortened(self) -> None:
        """Guard against a replica that is out for an hour."""
        self.respond(b'3600')
        self.assertGreater(self.get_left_s(), 59)
        self.assertLess(self.get_left_s(), 61)

    async def test_responses_of_other_processes_do_not_count(self) -> None:
        """Guard against a back-off of a process that reuses the address."""
        self.respond(status=421)
        other = (b'x-samphirerill-instance-id', b'two')
        self.respond(headers=(other,))
        self.respond(status=200)
        self.assertEqual(self.get_left_s(), 0)

    async def test_leaving_of_other_processes_does_not_count(self) -> None:
        """Guard against taking out a replica because of its successor."""
        leaving = (b'server-leaving', b'1')
        other = (b'x-samphirerill-instance-id', b'two')
        self.respond(status=421, headers=(leaving,))
        self.respond(status=200, headers=(leaving, other))
        self.respond(status=200, headers=((b'server-leaving', b'0'),))
        self.assertFalse(self.view.is_leaving('one'))
        self.respond(status=200, headers=(leaving,))
        self.assertTrue(self.view.is_leaving('one'))

    async def test_leaving_is_logged_once(self) -> None:
        """Guard against one log line for each response."""
        with patch('samphirerill.relay.response_notices._LOG') as log:
            for _ in range(100):
                self.respond(status=200, headers=((b'server-leaving', b'1'),))
        self.assertEqual(log.info.call_count, 1)

    async def test_too_many_requests_counts(self) -> None:
        self.respond(status=429)
        self.assertGreater(self.get_left_s(), 1.9)

    async def test_replica_is_not_suspected(self) -> None:
        """Guard against replans and probes because of a living replica."""
        losses = self.view.loss_count
        self.respond()
        now = asyncio.get_running_loop().time()
        self.assertEqual(len(self.view.list_live('llm', now)), 1)
        self.assertEqual(len(self.view.list_unconfirmed('llm', now)), 1)
        self.assertEqual(self.view.list_usable('llm', now), [])
        self.assertEqual(self.view.loss_count, losses)

    async def test_back_offs_in_flight_together_are_logged_once(self) -> None:
        """Guard against one log line for each refused request."""
        with patch('samphirerill.relay.response_notices._LOG') as log:
            for _ in range(100):
                self.respond()
        self.assertEqual(log.info.call_count, 1)

    async def test_late_response_says_nothing_about_a_new_process(
        self,
    ) -> None:
        """Guard against taking a silent new process for a living one."""
        restarted = replace(self.replica, started_ms=6)
        self.view.apply_announcement(restarted, 2)
        now = asyncio.get_running_loop().time()
        self.view.add_silence_report('one', now + 9, now)
        self.respond()
        self.assertEqual(self.view.list_live('llm', now), [])
        self.assertEqual(self.state.counters['replicas.backoff_requested'], 0)

    async def test_waiting_requests_are_woken_at_the_end(self) -> None:
        """Guard against requests that wait until something else happens."""
        woken = asyncio.Event()
        self.state.add_listener(woken.set)
        self.respond(b'0.1')
        await asyncio.wait_for(woken.wait(), 2)
        self.assertEqual(self.get_left_s(), 0)


class TestWaiting(NoticesCase):
    """Plain requests that wait for the end of a back-off."""

    async def find_endpoint(self, timeout_s: float) -> ReplicaState | None:
        """Return the endpoint that a request with a deadline would get."""
        now = asyncio.get_running_loop().time()
        service = SimpleNamespace(name='llm', max_connections=0)
        context = SimpleNamespace(service=service, deadline=now + timeout_s)
        finder = EndpointFinder(self.state, cast('RequestContext', context))
        return await finder.wait_for_endpoint()

    async def test_request_waits_again_if_the_endpoint_asks_again(
        self,
    ) -> None:
        """Guard against rejections since another request came back first."""
        loop = asyncio.get_running_loop()
        self.respond(b'0.1')
        loop.call_later(0.08, self.respond, b'0.3')
        since = loop.time()
        self.assertIsNotNone(await self.find_endpoint(4))
        self.assertGreaterEqual(loop.time(), since + 0.38)

    async def test_request_is_not_held_for_most_of_its_time(self) -> None:
        """Guard against a wait that leaves no time for the response."""
        self.respond(b'0.5')
        since = asyncio.get_running_loop().time()
        self.assertIsNone(await self.find_endpoint(1))
        self.assertLess(asyncio.get_running_loop().time(), since + 0.2)


class TestIncarnations(TestCase):
    """A back-off belongs to one process of a replica."""

    def setUp(self) -> None:
        self.view = FleetView()
        self.replica = replace(build_replica('one'), started_ms=5)
        self.view.apply_announcement(self.replica, 1)
        note_requested_backoff(self.view, self.replica, 9.0)

    def is_usable(self, now: float = 1) -> bool:
        """Return whether the replica may get new work."""
        return bool(self.view.list_usable('llm', now))

    def test_back_off_ends(self) -> None:
        self.assertFalse(self.is_usable(8))
        self.assertTrue(self.is_usable(9))

    def test_back_off_outlives_the_announcement(self) -> None:
        """Guard against a lapsed entry that ends a back-off."""
        self.view.remove_announcement('one', 2, 0)
        self.view.remove_lapsed(1)
        self.view.apply_announcement(self.replica, 3)
        self.assertFalse(self.is_usable())

    def test_rewritten_announcement_keeps_the_back_off(self) -> None:
        self.view.apply_announcement(self.replica, 2)
        self.view.apply_snapshot([(self.replica, 3)], 3, 0)
        self.assertFalse(self.is_usable())

    def test_new_process_has_no_back_off(self) -> None:
        """Guard against a new start that inherits a back-off."""
        self.view.apply_announcement(replace(self.replica, started_ms=6), 2)
        self.assertTrue(self.is_usable())

    def test_new_address_without_start_time_has_no_back_off(self) -> None:
        moved = replace(self.replica, started_ms=0, address='10.0.0.9:1')
        self.view.apply_announcement(moved, 2)
        self.assertTrue(self.is_usable())

    def test_late_response_of_previous_process_is_ignored(self) -> None:
        """Guard against a back-off that ends up with the wrong process."""
        self.view.apply_announcement(replace(self.replica, started_ms=6), 2)
        note_requested_backoff(self.view, self.replica, 20.0)
        self.assertTrue(self.is_usable())

    def test_memory_is_bounded(self) -> None:
        """Guard against a notice for each process that ever existed."""
        for number in range(5000):
            name = replace(self.replica, replica_id=f'r{number}')
            note_requested_backoff(self.view, name, 9.0)
        self.assertLessEqual(len(self.view.notices), 4096)
        self.view.remove_lapsed(10)
        self.assertEqual(len(self.view.notices), 0)


class TestMetadata(TestCase):
    """The parsed response."""

    def test_absent_header_is_none(self) -> None:
        metadata = HttpPlatformAdapter().parse_response(ResponseHead(503))
        self.assertEqual(metadata.retry_after, ResponseMetadata().retry_after)

    def test_received_text_is_kept(self) -> None:
        head = ResponseHead(503, [(b'retry-after', b'soon')])
        metadata = HttpPlatformAdapter().parse_response(head)
        self.assertEqual(metadata.retry_after, RetryAfter('soon', None))
