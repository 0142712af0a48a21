"""``Server-Limit`` of replicas: which values and responses count."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.request_limit import parse_request_limit
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.connection import ResponseHead
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleet_builders import build_replica

_OK = 200
_SERVER_ERROR = 500
_UNAVAILABLE = 503
_MISDIRECTED = 421
_STARTED_MS = 5
_INVALID = (
    b'few',
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
)


class TestParsing(TestCase):
    """Values of the header."""

    def test_rate_may_have_a_fraction(self) -> None:
        for text, expected in ((b'3', 3), (b' 4.7 ', 4.7), (b'0', 0)):
            with self.subTest(text):
                self.assertEqual(parse_request_limit(text).rate_per_s, expected)

    def test_other_values_are_invalid(self) -> None:
        for text in _INVALID:
            with self.subTest(text[:20]):
                self.assertIsNone(parse_request_limit(text).rate_per_s)


class TestKnownLimit(IsolatedAsyncioTestCase):
    """What a node that knows one replica takes from its responses."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        self.replica = replace(build_replica('one'), started_ms=_STARTED_MS)
        self.state.view.apply_announcement(self.replica, 1)
        self.now = asyncio.get_running_loop().time()

    def respond(
        self,
        text: bytes | None,
        status: int = _OK,
        sent_ago_s: float = 0,
        replica_id: bytes = b'',
    ) -> None:
        """Handle a response of the replica."""
        head = ResponseHead(status, [])
        if text is not None:
            head.headers.append((b'server-limit', text))
        if replica_id:
            head.headers.append((b'x-samphirerill-instance-id', replica_id))
        self.state.response_notices.handle(
            self.replica,
            status,
            self.state.adapter.parse_response(head),
            self.now - sent_ago_s,
        )

    def find_rate(self) -> float | None:
        """Return the rate that the replica is known to take."""
        limit = self.state.view.notices.find_limit(self.replica)
        return None if limit is None else limit.rate_per_s

    async def test_limit_holds_as_long_as_responses_name_it(self) -> None:
        for text, expected in (
            (b'4', 4),
            (b'2.5', 2.5),
            (b'0', 0),
            (None, None),
        ):
            self.respond(text)
            self.assertEqual(self.find_rate(), expected)

    async def test_refusals_and_failures_count(self) -> None:
        """Guard against limits that only successes convey."""
        for status in (_UNAVAILABLE, _SERVER_ERROR):
            self.respond(b'3', status)
            self.assertEqual(self.find_rate(), 3)
            self.respond(None, status)
            self.assertIsNone(self.find_rate())

    async def test_late_response_does_not_restore_an_old_limit(self) -> None:
        """Guard against old responses that arrive after newer ones."""
        self.respond(b'3', sent_ago_s=2)
        self.respond(None, sent_ago_s=1)
        self.respond(b'3', sent_ago_s=1.5)
        self.assertIsNone(self.find_rate())

    async def test_other_processes_do_not_count(self) -> None:
        """Guard against a limit of a process that reuses the address."""
        self.respond(b'3', _MISDIRECTED)
        self.respond(b'3', replica_id=b'two')
        self.assertIsNone(self.find_rate())

    async def test_restarted_replica_has_named_nothing(self) -> None:
        """Guard against a limit inherited from the process before."""
        self.respond(b'3')
        restarted = replace(self.replica, started_ms=_STARTED_MS + 1)
        self.state.view.apply_announcement(restarted, 2)
        self.assertIsNone(self.state.view.replicas['one'].limit)
        self.respond(b'3')
        self.assertIsNone(self.state.view.replicas['one'].limit)

    async def test_limit_outlasts_a_missing_announcement(self) -> None:
        self.respond(b'3')
        self.state.view.remove_announcement('one', 2, 0)
        self.state.view.apply_announcement(self.replica, 3)
        limit = self.state.view.replicas['one'].limit
        self.assertIsNotNone(limit)

    async def test_replica_that_is_announced_again_gets_permits(self) -> None:
        """Guard against a replica that no permit is ever asked for."""
        self.respond(b'3')
        self.state.view.remove_announcement('one', 2, 0)
        self.state.request_limits.remove_ended()
        self.state.view.apply_announcement(self.replica, 3)
        self.state.request_limits.remove_ended()
        limited = [
            replica.replica_id
            for replica, _ in self.state.request_limits.list_in_force()
        ]
        self.assertEqual(limited, ['one'])

    async def test_invalid_values_are_ignored_and_logged_once(self) -> None:
        """Guard against replicas that are out for good, and log floods."""
        self.respond(b'4')
        with patch('samphirerill.relay.limits.known_limits._LOG') as log:
            for text in 3 * _INVALID:
                self.respond(text)
        self.assertEqual(self.find_rate(), 4)
        self.assertEqual(log.warning.call_count, len(_INVALID))

    async def test_changes_are_logged_once(self) -> None:
        with patch('samphirerill.relay.limits.known_limits._LOG') as log:
            for text in (b'4', b'4', b'5', b'5', None, None):
                self.respond(text)
        self.assertEqual(log.info.call_count, 3)
        self.assertEqual(self.state.counters['limits.named'], 1)
        self.assertEqual(self.state.counters['limits.changed'], 1)
        self.assertEqual(self.state.counters['limits.dropped'], 1)
