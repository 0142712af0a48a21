"""Endpoints that say that they leave get no new work."""

from __future__ import annotations

import threading
import time

from samphirerill.testing.clients import ClientResponse, send_request
from samphirerill.testing.cluster import wait_for
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY
from samphirerill.tests.test_endpoint_back_off import BackOffCase

_REQUESTS = 12
_TOKENS = 3
_ENGINE = 'stage0-0'
_HEADER = 'server-leaving'


class DepartureCase(BackOffCase):
    """One node before three stages of two engines each, and a service."""

    def set_leaving(self, name: str, *, leaving: bool) -> None:
        self.cluster.control(self.find_address(name), leaving=leaving)

    def is_leaving(self, name: str) -> bool:
        health = self.read_core()['endpoints'][name]['health']
        return bool(health == 'leaving')

    def count_sequences(self) -> int:
        return self.count_received(_ENGINE, 'sequences')


class TestEngine(DepartureCase):
    """An engine that says so in its answers; the VM list knows nothing."""

    def test_engine_gets_no_new_stream_from_the_first_answer_on(self) -> None:
        """Guards against new work for a process that is about to end."""
        self.set_leaving(_ENGINE, leaving=True)
        wait_for(self.is_found_leaving, 'the header')
        before = self.count_sequences()
        for number in range(_REQUESTS):
            response = self.complete(f'r{number}')
            self.assert_complete(response.texts, f'r{number}', _TOKENS)
        self.assertEqual(self.count_sequences(), before)
        self.assertTrue(self.is_leaving(_ENGINE))
        self.set_leaving(_ENGINE, leaving=False)
        wait_for(lambda: not self.is_leaving(_ENGINE), 'the next process')
        self.set_leaving('stage0-1', leaving=True)
        wait_for(lambda: self.is_leaving('stage0-1'), 'the header')
        response = self.complete('after')
        self.assert_complete(response.texts, 'after', _TOKENS)
        self.assertEqual(self.count_sequences(), before + 1)

    def is_found_leaving(self) -> bool:
        self.complete('any')
        return self.is_leaving(_ENGINE)


class TestIdleEngine(DepartureCase):
    """An engine without requests says so in its load reports."""

    def test_load_report_says_it_too(self) -> None:
        """Guards against reading the header in answers to requests only."""
        self.set_leaving(_ENGINE, leaving=True)
        wait_for(lambda: self.is_leaving(_ENGINE), 'the load report')
        self.assertEqual(self.count_sequences(), 0)


class TestRunningStream(DepartureCase):
    """A stream whose head says so runs to its end there."""

    def test_stream_stays(self) -> None:
        """Guards against streams that a departure cuts or moves."""
        responses: list[ClientResponse] = []
        client = threading.Thread(
            target=lambda: responses.append(self.complete('stays', 60))
        )
        client.start()
        time.sleep(0.3)
        for name in ('stage0-0', 'stage0-1'):
            self.set_leaving(name, leaving=True)
        wait_for(lambda: self.is_leaving('stage0-0'), 'the header')
        client.join()
        self.assert_complete(responses[0].texts, 'stays', 60)
        self.assertEqual(self.count_event('retries'), 0)


class TestService(DepartureCase):
    """A plain service whose answers pass through the node."""

    def test_header_concerns_the_node_alone(self) -> None:
        """Guards against clients that send it, or take it for the node's."""
        headers = {'Server-Leaving': '1'}
        response = self.look_up(headers)
        self.assertEqual(response.status, 200)
        self.assertFalse(self.is_leaving('desk'))
        self.set_leaving('desk', leaving=True)
        response = self.look_up({})
        self.assertEqual(response.status, 200)
        self.assertNotIn(_HEADER, response.headers)
        self.assertTrue(self.is_leaving('desk'))

    def look_up(self, headers: dict[str, str]) -> ClientResponse:
        return send_request(
            self.callers,
            '/svc/lookups/x',
            FIRST_ACCOUNT_KEY,
            b'{}',
            headers=headers,
        )
