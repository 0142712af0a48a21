"""The load that endpoints report: which values count, and for how long."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random
from unittest import IsolatedAsyncioTestCase, TestCase
from unittest.mock import patch

from samphirerill.fleet.endpoint_offers import FleetKnowledge
from samphirerill.fleet.endpoints import choose_by_load, reports_load
from samphirerill.fleet.load import LoadTracker
from samphirerill.fleet.reported_load import ReportedLoad, ReportedLoads
from samphirerill.fleet.view import ReplicaState
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.server_load import parse_server_load
from samphirerill.platform.settings import EdgeSettings
from samphirerill.relay.connection import ResponseHead
from samphirerill.relay.state import EdgeState
from samphirerill.tests.fleet_builders import build_replica

_OK = 200
_MALFORMED = (b'', b'1', b'1,2', b'1,2,3,4', b'a,b,c', b'-1,0,6', b'1.5,0,6')
_IMPOSSIBLE = (b'7,0,6', b'0,0,0', b'9' * 50, '٣,0,6'.encode())
_ENDPOINT = replace(build_replica('one'), slots=4, started_ms=5)


class TestParsing(TestCase):
    """Values of the header."""

    def test_counts_may_be_spaced(self) -> None:
        for text in (b'5,2,6', b' 5, 2 ,6 '):
            with self.subTest(text):
                named = parse_server_load(text)
                self.assertEqual(named.load, ReportedLoad(5, 2, 6))

    def test_other_values_are_invalid(self) -> None:
        for text in _MALFORMED + _IMPOSSIBLE:
            with self.subTest(text[:20]):
                self.assertIsNone(parse_server_load(text).load)


class TestHeaders(IsolatedAsyncioTestCase):
    """What a node takes from the responses of one endpoint."""

    async def asyncSetUp(self) -> None:
        settings = EdgeSettings('n', 'a', 'h', 'c', 'r', 'p', 's', 1, 2)
        self.state = EdgeState(settings, HttpPlatformAdapter())
        self.loads = self.state.response_notices.loads
        self.now = asyncio.get_running_loop().time()
        self.loads.note_sent(_ENDPOINT, self.now)

    def respond(self, text: bytes | None) -> None:
        """Handle a response of the endpoint."""
        head = ResponseHead(_OK, [])
        if text is not None:
            head.headers.append((b'x-samphirerill-server-load', text))
        self.state.response_notices.handle(
            _ENDPOINT, _OK, self.state.adapter.parse_response(head)
        )

    async def test_invalid_values_are_ignored_and_logged_once(self) -> None:
        """Guard against log floods and a load that was never reported."""
        self.respond(b'3,0,6')
        with patch('samphirerill.relay.response_notices._LOG') as log:
            for text in 2 * _MALFORMED:
                self.respond(text)
        self.assertEqual(log.warning.call_count, len(_MALFORMED))
        invalid = self.state.counters['replicas.invalid_load']
        self.assertEqual(invalid, 2 * len(_MALFORMED))
        load = self.loads.estimate(_ENDPOINT, LoadTracker(), 0.1, self.now)
        self.assertEqual((load.in_system, load.slots), (3, 6))

    async def test_header_that_is_missing_for_good_ends_the_reports(
        self,
    ) -> None:
        """Guard against one response of a proxy that ends them, too."""
        self.respond(b'3,0,6')
        self.respond(None)
        self.respond(None)
        self.assertTrue(self.loads.reports(_ENDPOINT))
        self.respond(None)
        self.assertFalse(self.loads.reports(_ENDPOINT))
        self.respond(b'3,0,6')
        self.assertTrue(self.loads.reports(_ENDPOINT))

    async def test_service_without_header_does_not_report(self) -> None:
        """Guard against other decisions as long as an endpoint is unknown."""
        for endpoint in (_ENDPOINT, build_replica('new')):
            self.state.view.apply_announcement(endpoint, 1)
        self.assertTrue(reports_load(self.state.view, 'llm', self.loads))
        self.respond(None)
        self.assertFalse(reports_load(self.state.view, 'llm', self.loads))


class TestEstimates(TestCase):
    """The load that is assumed some time after a report."""

    def setUp(self) -> None:
        self.loads = ReportedLoads()
        self.tracker = LoadTracker()
        self.token = self.loads.note_sent(_ENDPOINT, 0)
        self.loads.note_response(_ENDPOINT, ReportedLoad(3, 0, 6), 1)
        self.loads.note_ended(_ENDPOINT, self.token)

    def count(self, now: float) -> float:
        """Return the requests that are assumed at the endpoint."""
        return self.loads.estimate(_ENDPOINT, self.tracker, 0.1, now).in_system

    def test_requests_sent_since_are_added(self) -> None:
        """Guard against a burst of one node within one report."""
        for sent in (1, 2, 3):
            self.loads.note_sent(_ENDPOINT, 1)
            self.assertEqual(self.count(1.1), 3 + sent)

    def test_old_report_is_replaced_by_requests_in_flight(self) -> None:
        """Guard against an endpoint that seems full for good."""
        self.assertEqual(self.count(1.1), 3)
        self.assertEqual(self.count(2.1), 0)

    def test_report_of_other_process_is_ignored(self) -> None:
        """Guard against a restarted endpoint with the load of the former."""
        restarted = replace(_ENDPOINT, started_ms=6)
        load = self.loads.estimate(restarted, self.tracker, 0.1, 1.1)
        self.assertEqual((load.in_system, load.is_known), (0, False))
        self.loads.note_sent(restarted, 1.2)
        self.loads.note_response(_ENDPOINT, ReportedLoad(6, 4, 6), 1.3)
        load = self.loads.estimate(restarted, self.tracker, 0.1, 1.3)
        self.assertEqual(load.in_system, 1)

    def test_answered_request_frees_a_slot(self) -> None:
        """Guard against a slot that stays idle if endpoints count it."""
        full = ReportedLoad(6, 0, 6)
        self.loads.note_response(_ENDPOINT, full, 1)
        self.assertEqual(self.count(1), 5)
        self.loads.note_response(_ENDPOINT, ReportedLoad(0, 0, 6), 1)
        self.loads.note_response(_ENDPOINT, full, 1)
        self.assertEqual(self.count(1), 6)

    def test_service_time_excludes_queueing(self) -> None:
        """Guard against a full endpoint that is taken for a slow one."""
        self.loads.note_response(_ENDPOINT, ReportedLoad(6, 12, 6), 1)
        self.loads.note_service_time(_ENDPOINT, 0.3, 1)
        load = self.loads.estimate(_ENDPOINT, self.tracker, 0.1, 1)
        self.assertAlmostEqual(load.service_s, 0.1)

    def test_overdue_request_shows_a_slow_endpoint(self) -> None:
        """Guard against sending on until the first slow response."""
        self.loads.note_service_time(_ENDPOINT, 0.1, 1)
        self.loads.note_sent(_ENDPOINT, 1)
        load = self.loads.estimate(_ENDPOINT, self.tracker, 0.1, 1.5)
        self.assertAlmostEqual(load.service_s, 0.5)


class TestFailingEndpoints(TestCase):
    """The choice of an endpoint that fails most requests."""

    def test_request_does_not_wait_beside_free_slots(self) -> None:
        """Guard against requests that wait for the endpoint that is free."""
        loads = ReportedLoads()
        token = loads.note_sent(_ENDPOINT, 0)
        loads.note_response(_ENDPOINT, ReportedLoad(0, 0, 4), 0.1)
        loads.note_service_time(_ENDPOINT, 0.1, 0.1)
        loads.note_ended(_ENDPOINT, token)
        state = ReplicaState(_ENDPOINT, 1)
        state.failures = 0.8
        knowledge = FleetKnowledge(
            loads, LoadTracker(), 1, 0.1, 'node', Random(1)
        )
        choice = choose_by_load([state], knowledge, 1.0, 0.2)
        self.assertIs(choice.endpoint, state)
