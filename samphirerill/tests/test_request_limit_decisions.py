"""Decisions of the core about endpoints that name a request rate."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from unittest import TestCase

from samphirerill.backends.endpoint_headers import emit_request_limit
from samphirerill.core.commands import LogEndpoint, OpenAttempt, RefuseRequest
from samphirerill.core.endpoint_events import (
    EndpointNamedLimit,
    RequestLimitIgnored,
)
from samphirerill.core.events import (
    AttemptRefused,
    AttemptSent,
    ProbeFinished,
    TimerFired,
)
from samphirerill.core.request_limits import LAPSE_S, MAX_LIMITS
from samphirerill.core.router import Router
from samphirerill.tests.test_back_off_decisions import RouterCase, find_all

if TYPE_CHECKING:
    from samphirerill.core.commands import Command

_SERVICES = ('s0', 's1')
_ROUTE = 'lookups'
_STEP_S = 0.05
# Of one among two nodes, at the lowest rate.
_LONGEST_INTERVAL_S = 10.0
_WINDOW_S = 4.0
_SERIES_S = 24.0
_INVALID = ('few', '-1', 'nan', 'inf', '1e9', '', '1.2.3', '٣')


class RateCase(RouterCase):
    """Routers before five engines and two services."""

    def name_rate(
        self, name: str, rate_per_s: float | None, ago_s: float = 0
    ) -> list[Command]:
        """Let an endpoint name a rate in an answer."""
        address = self.find_address(name)
        said_at = self.now - ago_s
        return self.apply(
            EndpointNamedLimit(name, address, rate_per_s, said_at)
        )

    def find_rate(self, name: str) -> float | None:
        """Return the rate in force at an endpoint."""
        state = self.router.state
        return state.request_limits.find_rate(self.find_address(name), self.now)

    def find_address(self, name: str) -> str:
        """Return the address of an endpoint."""
        configuration = self.router.state.configuration
        return configuration.endpoints[name].address

    def use_up(self, *names: str) -> None:
        """Let endpoints name a low rate that this node has just used."""
        rates = self.router.state.request_limits
        for name in names:
            self.name_rate(name, 0)
            rates.use(self.find_address(name), 1, self.now)

    def count_sends(self, rate_per_s: float, nodes: int) -> list[float]:
        """Return when several nodes sent to a service that names a rate."""
        routers = [self.build_router(number, nodes) for number in range(nodes)]
        for router in routers:
            self.router = router
            self.name_rate('s0', rate_per_s)
        times: list[float] = []
        ends_at = self.now + _SERIES_S
        while self.now < ends_at:
            self.now += _STEP_S
            for sender in routers:
                self.router = sender
                if 's0' in self.list_opened(self.ask_once()):
                    times.append(self.now)
        return times

    def build_router(self, number: int, nodes: int) -> Router:
        """Return one router of several."""
        self.router = Router(f'n{number}', seed=number)
        self.configure()
        self.router.state.node_count = nodes
        return self.router

    def ask_once(self) -> list[Command]:
        """Send a request that does not wait."""
        self.apply(TimerFired())
        return self.ask(f'r{self.now}', _ROUTE, _STEP_S)


class TestRate(RateCase):
    """Nodes share a rate evenly."""

    def test_all_nodes_together_keep_the_rate(self) -> None:
        """Guards against more requests than an endpoint named for all nodes."""
        for nodes, rate_per_s in ((1, 2.0), (7, 1.0), (7, 10.0), (40, 0.5)):
            with self.subTest(nodes=nodes, rate_per_s=rate_per_s):
                times = self.count_sends(rate_per_s, nodes)
                most = max(
                    sum(start <= at < start + _WINDOW_S for at in times)
                    for start in times
                )
                allowed = 1.5 * _WINDOW_S * rate_per_s + 5
                self.assertLessEqual(most, allowed)
                used = len(times) / _SERIES_S / rate_per_s
                self.assertGreater(used, 0.5)

    def test_other_endpoints_serve_meanwhile(self) -> None:
        """Guards against requests that a limit makes fail."""
        self.use_up('s0')
        for number in range(2):
            opened = self.open(f'r{number}', _ROUTE)
            self.assertEqual(opened.stages[0].endpoint, 's1')

    def test_later_stages_count_too(self) -> None:
        """Guards against streams over a stage that has no room."""
        self.use_up('e2')
        for number in range(2):
            opened = self.open(f'r{number}')
            used = [stage.endpoint for stage in opened.stages]
            self.assertNotIn('e2', used)

    def test_hopeless_request_is_refused_at_once(self) -> None:
        """Guards against waits that cannot end well, and early returns."""
        self.use_up(*_SERVICES)
        commands = self.ask('r1', _ROUTE, _STEP_S)
        refusal = find_all(commands, RefuseRequest)[0]
        self.assertEqual(refusal.problem.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(refusal.problem.retry_after_s or 0, 0)

    def test_request_waits_for_room_in_time(self) -> None:
        """Guards against refusals of what could be served, and lost wakes."""
        for name in _SERVICES:
            self.name_rate(name, 2)
        opened = []
        for number in range(3):
            commands = self.ask(f'r{number}', _ROUTE)
            opened += find_all(commands, OpenAttempt)
        for _ in range(40):
            opened += find_all(self.wait(_STEP_S), OpenAttempt)
        self.assertEqual(len(opened), 3)

    def test_waiting_request_is_woken_between_intervals(self) -> None:
        """Guards against a queue that nothing wakes at the next interval."""
        self.router.state.node_count = 4
        for name in _SERVICES:
            self.name_rate(name, 1)
        self.wait(_SERIES_S / 2)
        while not all(
            self.router.state.find_room(self.find_address(name), self.now)
            for name in _SERVICES
        ):
            self.wait(_STEP_S)
        self.wait(1)
        opened = find_all(self.ask('r1', _ROUTE), OpenAttempt)
        for _ in range(100):
            opened += find_all(self.wait(_STEP_S), OpenAttempt)
        self.assertEqual(len(opened), 1)

    def test_node_that_joins_does_not_end_the_use_of_an_endpoint(self) -> None:
        """Guards against intervals that are counted with another length."""
        self.now = 10_000.0
        self.use_up('s0')
        self.router.state.node_count = 2
        room_at = self.router.state.find_room(self.find_address('s0'), self.now)
        self.assertLess(room_at, self.now + 2 * _LONGEST_INTERVAL_S)
        self.now = room_at + _STEP_S
        address = self.find_address('s0')
        self.assertEqual(self.router.state.find_room(address, self.now), 0)

    def test_retry_needs_room(self) -> None:
        """Guards against retries beyond the rate."""
        self.use_up('s0')
        opened = self.open('r1', _ROUTE)
        self.apply(AttemptSent(opened.attempt_id))
        commands = self.apply(AttemptRefused(opened.attempt_id, 'full'))
        self.assertNotIn('s0', self.list_opened(commands))


class TestKnownRate(RateCase):
    """Which answers count."""

    def test_latest_answer_counts(self) -> None:
        """Guards against old answers that arrive after newer ones."""
        self.name_rate('s0', 3, ago_s=2)
        self.assertEqual(self.find_rate('s0'), 3)
        self.name_rate('s0', None, ago_s=1)
        self.name_rate('s0', 3, ago_s=1.5)
        self.assertIsNone(self.find_rate('s0'))

    def test_rate_ends_with_its_process_and_lapses(self) -> None:
        """Guards against a rate for ever, or of the process before."""
        self.name_rate('s0', 3)
        self.apply(ProbeFinished('s0', alive=False, is_refused=True))
        self.assertIsNone(self.find_rate('s0'))
        self.name_rate('s1', 3)
        self.now += LAPSE_S + 1
        self.assertIsNone(self.find_rate('s1'))

    def test_changes_are_logged_once(self) -> None:
        """Guards against a line for each answer."""
        lines = []
        for rate_per_s in (3, 3, 4, None, None):
            lines += find_all(self.name_rate('s0', rate_per_s), LogEndpoint)
        self.assertEqual(len(lines), 3)

    def test_known_rates_are_bounded(self) -> None:
        """Guards against memory that grows with each address."""
        for number in range(MAX_LIMITS + 10):
            self.apply(EndpointNamedLimit('s0', f'h:{number}', 1, self.now))
        self.assertEqual(len(self.router.state.request_limits), MAX_LIMITS)


class TestHeader(TestCase):
    """The header of answers."""

    def setUp(self) -> None:
        self.events: list[object] = []

    def apply(self, event: object) -> None:
        """Receive an event."""
        self.events.append(event)

    def emit(self, *texts: str) -> object:
        """Return the event for an answer with these values."""
        headers = [('Server-Limit', text) for text in texts]
        emit_request_limit('s0', 'h:1', headers, 7, self)
        return self.events[-1]

    def test_values(self) -> None:
        """Guards against limits that are misread."""
        for texts, expected in (((), None), (('4.5',), 4.5), (('4', '2'), 2)):
            with self.subTest(texts):
                event = EndpointNamedLimit('s0', 'h:1', expected, 7)
                self.assertEqual(self.emit(*texts), event)

    def test_invalid_values_are_ignored(self) -> None:
        """Guards against a limit that nobody named."""
        for text in _INVALID:
            with self.subTest(text):
                self.assertIsInstance(self.emit(text), RequestLimitIgnored)
