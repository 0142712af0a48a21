"""Endpoints that ask for a back-off get no requests until it ends."""

from __future__ import annotations

import threading
import time
from typing import Any

from samphirerill.testing.clients import (
    ClientResponse,
    request_completion,
    send_request,
)
from samphirerill.testing.cluster import wait_for
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY
from samphirerill.tests.support import ClusterCase

_BACK_OFF_S = 3
_TOKENS = 3
_REQUESTS = 12
_IMMEDIATE_S = 0.5
_MAX_SENDS = 2
_LIMIT_PER_S = 4
# Without the first, which learns the limit, and two around an interval's end.
_LATER_REQUESTS = _REQUESTS - 3
_FIRST_STAGES = ('stage0-0', 'stage0-1')
_INVALID_VALUES = ('soon', '-1', 'nan', 'inf', '1e9', '', '٣')


class BackOffCase(ClusterCase):
    """One node before three stages of two engines each, and a service."""

    def complete(self, prompt: str, tokens: int = _TOKENS) -> ClientResponse:
        return request_completion(
            self.callers, FIRST_ACCOUNT_KEY, 'plans', prompt, tokens
        )

    def set_back_off(self, name: str, retry_after: str | None) -> None:
        self.cluster.control(self.find_address(name), retry_after=retry_after)

    def count_received(self, name: str, what: str = 'received') -> int:
        stats = self.cluster.read_stats(self.find_address(name))
        return int(stats.get(what, 0))

    def find_address(self, name: str) -> str:
        addresses = self.cluster.addresses
        return str({**addresses['engines'], **addresses['services']}[name])

    def read_core(self) -> dict[str, Any]:
        return dict(self.cluster.nodes[0].read_state()['core'])

    def count_event(self, name: str) -> int:
        return int(self.read_core()['counters'].get(name, 0))

    def is_backing_off(self, name: str) -> bool:
        return bool(self.read_core()['endpoints'][name].get('back_off_s'))

    def ask_until_backing_off(self, name: str, prompt: str) -> None:
        """Send requests until one has reached an engine that wants a back-off."""
        wait_for(
            lambda: self.complete(prompt).outcome and self.is_backing_off(name),
            f'{name} to back-off',
        )


class TestOneEngineBackOffs(BackOffCase):
    """The other replicas of its stage serve meanwhile."""

    def test_backing_off_engine_receives_nothing(self) -> None:
        """Guards against sends, load polls and probes during a back-off."""
        self.set_back_off('stage0-0', str(_BACK_OFF_S))
        self.set_back_off('stage0-1', '0.2')
        self.complete('refused by both')
        self.set_back_off('stage0-1', None)
        self.assertTrue(self.count_received('stage0-0', 'asked_for_rest'))
        started = time.monotonic()
        received = self.count_received('stage0-0')
        for number in range(_REQUESTS):
            response = self.complete(f'r{number}')
            self.assert_complete(response.texts, f'r{number}', _TOKENS)
        time.sleep(max(0, started + _BACK_OFF_S - 0.5 - time.monotonic()))
        sends = self.count_received('stage0-0') - received
        self.assertLessEqual(sends, _MAX_SENDS)
        self.set_back_off('stage0-0', None)
        wait_for(
            lambda: not self.is_backing_off('stage0-0'),
            'the end of its back-off',
        )
        health = self.read_core()['endpoints']['stage0-0']['health']
        self.assertEqual(health, 'live')


class TestAllEnginesBackOff(BackOffCase):
    """No pipeline is possible before the first of them is back."""

    def test_requests_are_refused_at_once_until_the_back_off_ends(self) -> None:
        """Guards against waits that can't end well, and early retries."""
        for name in _FIRST_STAGES:
            self.set_back_off(name, '30')
        for name in _FIRST_STAGES:
            self.ask_until_backing_off(name, 'busy')
        before = [self.count_received(name) for name in _FIRST_STAGES]
        started = time.monotonic()
        response = self.complete('refused')
        self.assertLess(time.monotonic() - started, _IMMEDIATE_S)
        self.assert_refused(response, 503, 'endpoints-backing-off')
        self.assertGreater(int(response.headers['retry-after']), 20)
        after = [self.count_received(name) for name in _FIRST_STAGES]
        self.assertEqual(after, before)


class TestShortBackOff(BackOffCase):
    """A back-off that ends before the queue deadline is waited for."""

    def test_queued_request_starts_when_the_back_off_ends(self) -> None:
        """Guards against a queue that nothing wakes at the end of a back-off."""
        for name in _FIRST_STAGES:
            self.set_back_off(name, '1.5')
        responses: list[ClientResponse] = []
        client = threading.Thread(
            target=lambda: responses.append(self.complete('waits'))
        )
        client.start()
        started = time.monotonic()
        wait_for(
            lambda: all(map(self.is_refused_once, _FIRST_STAGES)),
            'refusals by both first stages',
        )
        for name in _FIRST_STAGES:
            self.set_back_off(name, None)
        client.join()
        self.assert_complete(responses[0].texts, 'waits', _TOKENS)
        self.assertGreaterEqual(time.monotonic() - started, 1.4)
        self.assertEqual(self.count_event('retries'), 2)

    def is_refused_once(self, name: str) -> bool:
        return bool(self.count_received(name, 'asked_for_rest'))


class TestInvalidValues(BackOffCase):
    """An engine with an invalid Retry-After is alive and stays in use."""

    def test_invalid_values_harm_no_request(self) -> None:
        """Guards against errors and endless back-offs by what a header says."""
        for at, text in enumerate(_INVALID_VALUES):
            with self.subTest(text):
                for name in _FIRST_STAGES:
                    self.set_back_off(name, text)
                refused = self.complete('refused by both')
                self.assert_refused(refused, 503, 'endpoint-refused')
                for name in _FIRST_STAGES:
                    self.assertFalse(self.is_backing_off(name))
                    self.set_back_off(name, None)
                prompt = f'invalid {at}'
                response = self.complete(prompt)
                self.assert_complete(response.texts, prompt, _TOKENS)
        self.assertEqual(self.count_event('commands.failed'), 0)


class TestFarValues(BackOffCase):
    """Valid values beyond any sensible back-off are cut."""

    def test_far_values_are_bounded(self) -> None:
        """Guards against an engine that is out of use for good."""
        far = ('9' * 20, 'Fri, 01 Jan 2999 00:00:00 GMT')
        for name, text in zip(_FIRST_STAGES, far, strict=True):
            self.set_back_off(name, text)
        for name in _FIRST_STAGES:
            self.ask_until_backing_off(name, 'far')
            back_off_s = self.read_core()['endpoints'][name]['back_off_s']
            self.assertLess(back_off_s, 90)


class TestService(BackOffCase):
    """A plain service that asks for a back-off."""

    def test_backing_off_service_receives_nothing(self) -> None:
        """Its own 503 is the answer; later requests are refused at once."""
        self.set_back_off('desk', '30')
        first = self.look_up()
        self.assertEqual((first.status, first.outcome), (503, 'answered'))
        for _ in range(3):
            self.assert_refused(self.look_up(), 503, 'endpoints-backing-off')
        executions = self.cluster.read_stats(self.find_address('desk'))
        self.assertEqual(executions, {'{}': 1})

    def look_up(self) -> ClientResponse:
        return send_request(
            self.callers, '/svc/lookups/x', FIRST_ACCOUNT_KEY, b'{}'
        )


class TestRequestLimit(BackOffCase):
    """A plain service that names how many requests a second it takes."""

    def test_service_receives_no_more_than_it_named(self) -> None:
        """Guards against requests beyond a named limit."""
        address = self.find_address('desk')
        self.cluster.control(address, request_limit=str(_LIMIT_PER_S))
        started = time.monotonic()
        statuses = [self.look_up().status for _ in range(_REQUESTS)]
        elapsed_s = time.monotonic() - started
        self.assertEqual(set(statuses), {200})
        self.assertGreater(elapsed_s, _LATER_REQUESTS / _LIMIT_PER_S)
        limit = self.read_core()['endpoints']['desk']['request_limit_per_s']
        self.assertEqual(limit, _LIMIT_PER_S)

    def look_up(self) -> ClientResponse:
        return send_request(
            self.callers, '/svc/lookups/x', FIRST_ACCOUNT_KEY, b'{}'
        )
