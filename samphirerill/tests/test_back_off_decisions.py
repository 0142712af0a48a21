"""Decisions of the core about endpoints that asked for a back-off."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar
from unittest import TestCase

from samphirerill.core.back_offs import MAX_BACK_OFF_S, MAX_BACK_OFFS, BackOffs
from samphirerill.core.commands import (
    CancelAttempt,
    Command,
    DeliverToken,
    LogEndpoint,
    OpenAttempt,
    Outcome,
    ProbeEndpoint,
    RefuseRequest,
    SettleClaim,
    WriteClaim,
)
from samphirerill.core.configuration import build_configuration
from samphirerill.core.endpoint_events import (
    EndpointRequestedBackOff,
    RetryAfterIgnored,
)
from samphirerill.core.events import (
    AttemptFailed,
    AttemptRefused,
    AttemptSent,
    ClaimAcquired,
    ConfigurationAccepted,
    ProbeFinished,
    RequestArrived,
    TimerFired,
    TokenArrived,
    VmListRead,
)
from samphirerill.core.router import Router
from samphirerill.core.state import Health
from samphirerill.properties.simulation import build_configuration_document

if TYPE_CHECKING:
    from collections.abc import Iterable

CommandT = TypeVar('CommandT')

_BACK_OFF_S = 3.0
_LONG_BACK_OFF_S = 40.0
_MAX_JITTER = 1.1
# Each engine that can be the first stage of a pipeline.
_HEADS = ('e0', 'e4')
_SERVICES = ('s0', 's1')


def find_all(
    commands: Iterable[Command], kind: type[CommandT]
) -> list[CommandT]:
    return [command for command in commands if isinstance(command, kind)]


class RouterCase(TestCase):
    """One router before five engines and two services."""

    def setUp(self) -> None:
        self.now = 10.0
        self.document: dict[str, Any] = build_configuration_document()
        self.router = Router('n1', seed=1)
        self.configure()

    def configure(self) -> None:
        version = self.router.state.configuration.version + 1
        configuration = build_configuration(self.document, version)
        self.apply(ConfigurationAccepted(configuration))

    def apply(self, event: object) -> list[Command]:
        return self.router.apply(event, self.now)

    def wait(self, seconds: float) -> list[Command]:
        self.now += seconds
        return self.apply(TimerFired())

    def ask(
        self, name: str, route: str = 'plans', wait_s: float = 100
    ) -> list[Command]:
        arrived = RequestArrived(
            name, 'tromsvik', route, self.now + wait_s, tokens=8
        )
        return self.apply(arrived)

    def open(self, name: str, route: str = 'plans') -> OpenAttempt:
        return find_all(self.ask(name, route), OpenAttempt)[0]

    def send(self, name: str, route: str = 'plans') -> OpenAttempt:
        opened = self.open(name, route)
        self.apply(AttemptSent(opened.attempt_id))
        return opened

    def back_off(
        self, name: str, seconds: float = _BACK_OFF_S
    ) -> list[Command]:
        endpoint = self.router.state.configuration.endpoints[name]
        address = endpoint.address
        until = self.now + seconds
        return self.apply(EndpointRequestedBackOff(name, address, until, 'raw'))

    def list_opened(self, commands: Iterable[Command]) -> list[str]:
        return [
            stage.endpoint
            for opened in find_all(commands, OpenAttempt)
            for stage in opened.stages
        ]

    def count(self, name: str) -> int:
        return self.router.state.counters[name]

    def read_budget(self) -> float:
        return self.router.state.budgets['plans'].balance

    def get_health(self, name: str) -> Health:
        return self.router.state.endpoints[name].health


class TestPlacement(RouterCase):
    """No attempt uses an endpoint that backs off as any stage."""

    def test_requests_use_other_endpoints(self) -> None:
        """Guards against an endpoint that backs off as a first or a later stage."""
        for name in ('e4', 'e2'):
            self.back_off(name)
        for number in range(2):
            opened = self.open(f'r{number}')
            used = [stage.endpoint for stage in opened.stages]
            self.assertEqual(used, ['e0', 'e3'])

    def test_services_have_no_backing_off_fallback(self) -> None:
        """Guards against the last resort to endpoints that were tried."""
        self.back_off('s0')
        opened = self.send('r1', 'lookups')
        self.assertEqual(opened.stages[0].endpoint, 's1')
        commands = self.apply(AttemptFailed(opened.attempt_id, 'it closed'))
        self.assertNotIn('s0', self.list_opened(commands))

    def test_stream_in_progress_goes_on(self) -> None:
        """Guards against streams that a back-off cuts."""
        opened = self.send('r1')
        for stage in opened.stages:
            self.assertEqual(
                find_all(self.back_off(stage.endpoint), CancelAttempt), []
            )
        token = TokenArrived(opened.attempt_id, opened.epoch, 0, 'x')
        self.assertEqual(len(find_all(self.apply(token), DeliverToken)), 1)

    def test_resumed_stream_waits_for_the_end_of_the_back_off(self) -> None:
        """Guards against a resume at an endpoint that backs off, or a lost stream."""
        opened = self.send('r1')
        self.apply(TokenArrived(opened.attempt_id, opened.epoch, 0, 'x'))
        for name in _HEADS:
            self.back_off(name)
        commands = self.apply(AttemptFailed(opened.attempt_id, 'it closed'))
        self.assertEqual(find_all(commands, OpenAttempt), [])
        self.assertEqual(find_all(commands, RefuseRequest), [])
        for name in self.router.state.endpoints:
            self.apply(ProbeFinished(name, alive=True))
        resumed = find_all(self.wait(_MAX_JITTER * _BACK_OFF_S), OpenAttempt)
        self.assertEqual([item.resume_at for item in resumed], [1])

    def test_started_stream_is_not_refused_during_a_long_back_off(self) -> None:
        """Guards against a stream that ends though a change may save it."""
        opened = self.send('r1')
        self.apply(TokenArrived(opened.attempt_id, opened.epoch, 0, 'x'))
        for name in _HEADS:
            self.back_off(name, _LONG_BACK_OFF_S)
        failed = AttemptFailed(opened.attempt_id, 'it closed', 0)
        commands = self.apply(failed) + self.back_off('s0')
        self.assertEqual(find_all(commands, RefuseRequest), [])


class TestMomentOfSending(RouterCase):
    """An answer may ask for a back-off while a connection is being opened."""

    def test_unsent_attempt_is_placed_anew(self) -> None:
        """Guards against a send that was chosen before the back-off began."""
        opened = self.open('r1')
        head = opened.stages[0].endpoint
        commands = self.back_off(head)
        cancelled = [
            item.attempt_id for item in find_all(commands, CancelAttempt)
        ]
        self.assertEqual(cancelled, [opened.attempt_id])
        self.assertNotIn(head, self.list_opened(commands))
        self.assertEqual(len(find_all(commands, OpenAttempt)), 1)

    def test_unsent_attempt_waits_for_a_short_back_off(self) -> None:
        """Guards against a request that is lost with its attempt."""
        self.back_off('s0')
        self.open('r1', 'lookups')
        commands = self.back_off('s1')
        self.assertEqual(find_all(commands, OpenAttempt), [])
        opened = find_all(self.wait(_MAX_JITTER * _BACK_OFF_S), OpenAttempt)
        self.assertEqual(len(opened), 1)

    def test_withdrawn_retry_is_refunded(self) -> None:
        """Guards against a retry spent on a send that did not happen."""
        opened = self.send('r1')
        before = self.read_budget()
        self.back_off(opened.stages[0].endpoint, _LONG_BACK_OFF_S)
        commands = self.apply(AttemptRefused(opened.attempt_id, 'full'))
        retry = find_all(commands, OpenAttempt)[0]
        self.assertEqual(self.read_budget(), before - 1)
        commands = self.back_off(retry.stages[0].endpoint, _LONG_BACK_OFF_S)
        self.assertEqual(len(find_all(commands, RefuseRequest)), 1)
        self.assertEqual(self.read_budget(), before)


class TestAllBackOff(RouterCase):
    """Requests are refused at once, or wait if the back-off ends in time."""

    def test_refusal_says_when_the_first_endpoint_is_back(self) -> None:
        """Guards against clients that return too early, or all at once."""
        self.back_off('e0', _LONG_BACK_OFF_S)
        self.back_off('e4', MAX_BACK_OFF_S)
        waits = set()
        for number in range(8):
            commands = self.ask(f'r{number}')
            problem = find_all(commands, RefuseRequest)[0].problem
            self.assertEqual(problem.code, 'endpoints-backing-off')
            self.assertIs(problem.outcome, Outcome.NOT_RUN)
            waits.add(problem.retry_after_s)
        self.assertGreaterEqual(min(waits), _LONG_BACK_OFF_S)
        self.assertLess(max(waits), MAX_BACK_OFF_S)
        self.assertEqual(len(waits), 8)

    def test_request_waits_for_a_back_off_that_ends_in_time(self) -> None:
        """Guards against refusals where a short wait serves the client."""
        for name in _HEADS:
            self.back_off(name)
        self.assertEqual(self.ask('r1'), [])
        self.assertEqual(
            find_all(self.wait(_BACK_OFF_S - 0.1), OpenAttempt), []
        )
        commands = self.wait(_MAX_JITTER * _BACK_OFF_S - _BACK_OFF_S + 0.1)
        self.assertEqual(len(find_all(commands, OpenAttempt)), 1)

    def test_queued_request_is_refused_once_it_is_hopeless(self) -> None:
        """Guards against a wait until the deadline that can't end well."""
        for name in _HEADS:
            self.back_off(name)
        self.ask('r1')
        commands = [
            command
            for name in _HEADS
            for command in self.back_off(name, _LONG_BACK_OFF_S)
        ]
        self.assertEqual(len(find_all(commands, RefuseRequest)), 1)

    def test_request_is_refused_if_a_back_off_began_during_its_claim(
        self,
    ) -> None:
        """Guards against a wait until the deadline, and a claim that stays."""
        arrived = RequestArrived(
            'r1', 'tromsvik', 'notices', self.now + 100, key='k1'
        )
        self.assertEqual(len(find_all(self.apply(arrived), WriteClaim)), 1)
        for name in _SERVICES:
            self.back_off(name, _LONG_BACK_OFF_S)
        commands = self.apply(ClaimAcquired('r1'))
        problem = find_all(commands, RefuseRequest)[0].problem
        self.assertIs(problem.outcome, Outcome.NOT_RUN)
        settled = find_all(commands, SettleClaim)
        self.assertEqual([item.outcome for item in settled], [Outcome.NOT_RUN])

    def test_no_retry_is_spent_without_an_endpoint(self) -> None:
        """Guards against a budget that refusals of one endpoint use up."""
        opened = self.send('r1', 'lookups')
        before = self.router.state.budgets['lookups'].balance
        for name in _SERVICES:
            self.back_off(name, _LONG_BACK_OFF_S)
        commands = self.apply(AttemptRefused(opened.attempt_id, 'full'))
        problem = find_all(commands, RefuseRequest)[0].problem
        self.assertGreaterEqual(problem.retry_after_s, _LONG_BACK_OFF_S)
        after = self.router.state.budgets['lookups'].balance
        self.assertEqual(after, before)

    def test_request_that_a_live_endpoint_could_serve_waits(self) -> None:
        """Guards against a refusal because of a back-off that changes nothing."""
        for _ in range(2):
            self.send('busy', 'lookups')
        self.back_off('s0', _LONG_BACK_OFF_S)
        self.router.state.endpoints['s1'].in_flight = 2
        self.assertEqual(self.ask('r1', 'lookups'), [])


class TestOutcomes(RouterCase):
    """A back-off changes nothing about what may have run."""

    def test_ambiguous_answer_is_not_repeated(self) -> None:
        """Guards against work that runs twice, or is said not to have run."""
        opened = self.send('r1', 'notices')
        self.back_off(opened.stages[0].endpoint)
        failed = AttemptFailed(opened.attempt_id, 'status 503', is_alive=True)
        commands = self.apply(failed)
        self.assertEqual(find_all(commands, OpenAttempt), [])
        problem = find_all(commands, RefuseRequest)[0].problem
        self.assertIs(problem.outcome, Outcome.MAY_HAVE_RUN)

    def test_refusal_that_ran_nothing_goes_elsewhere(self) -> None:
        """Guards against treating a stated refusal as ambiguous."""
        opened = self.send('r1', 'notices')
        used = opened.stages[0].endpoint
        self.back_off(used)
        commands = self.apply(AttemptRefused(opened.attempt_id, 'full'))
        expected = [name for name in _SERVICES if name != used]
        self.assertEqual(self.list_opened(commands), expected)


class TestHealth(RouterCase):
    """An endpoint that asks for a back-off is alive."""

    def test_backing_off_endpoint_is_neither_suspected_nor_probed(self) -> None:
        """Guards against a probe storm, and evidence against the request."""
        opened = self.send('r1')
        head = opened.stages[0].endpoint
        commands = self.back_off(head)
        failed = AttemptFailed(opened.attempt_id, 'status 503', is_alive=True)
        commands += self.apply(failed)
        self.assertEqual(find_all(commands, ProbeEndpoint), [])
        self.assertIs(self.get_health(head), Health.LIVE)
        self.assertEqual(self.router.state.suspected_crashes, {})

    def test_lost_streams_probe_it_once(self) -> None:
        """Guards against a probe for each stream of an endpoint that backs off."""
        self.document['endpoints'] = {
            name: spec
            for name, spec in self.document['endpoints'].items()
            if name in {'e4', *_SERVICES}
        }
        self.configure()
        streams = [self.send(f'r{number}') for number in range(2)]
        self.back_off('e4')
        probes = []
        for opened in streams:
            failed = AttemptFailed(opened.attempt_id, 'it closed')
            probes += find_all(self.apply(failed), ProbeEndpoint)
        self.assertEqual(len(probes), 1)
        self.assertEqual(
            find_all(self.wait(_BACK_OFF_S - 0.1), ProbeEndpoint), []
        )
        commands = self.wait(_MAX_JITTER * _BACK_OFF_S - _BACK_OFF_S + 0.1)
        self.assertEqual(len(find_all(commands, ProbeEndpoint)), 1)

    def test_new_process_has_no_back_off(self) -> None:
        """Guards against a back-off that a restart does not end."""
        self.back_off('s0', _LONG_BACK_OFF_S)
        self.apply(ProbeFinished('s0', alive=False, is_refused=True))
        self.apply(ProbeFinished('s0', alive=True))
        self.back_off('s1')
        self.assertEqual(self.open('r1', 'lookups').stages[0].endpoint, 's0')


class TestEndpoints(RouterCase):
    """A back-off belongs to the process at an address."""

    def test_back_off_survives_removal_from_the_configuration(self) -> None:
        """Guards against a back-off that operators' changes end."""
        spec = self.document['endpoints'].pop('s0')
        self.back_off_and_reconfigure(spec)
        self.assertEqual(self.open('r1', 'lookups').stages[0].endpoint, 's1')

    def test_process_at_another_address_has_no_back_off(self) -> None:
        """Guards against a back-off that a replacement inherits."""
        spec = self.document['endpoints'].pop('s0')
        self.back_off_and_reconfigure({**spec, 'address': '10.0.1.9:1'})
        self.back_off('s1')
        self.assertEqual(self.open('r1', 'lookups').stages[0].endpoint, 's0')

    def test_vm_list_does_not_end_it(self) -> None:
        """Guards against a list that lags behind the endpoint's own word."""
        self.back_off('s0')
        self.apply(VmListRead(frozenset(('s0',)), frozenset()))
        self.assertEqual(self.open('r1', 'lookups').stages[0].endpoint, 's1')

    def back_off_and_reconfigure(self, spec: dict[str, Any]) -> None:
        """Remove `s0` during its back-off, then add it again."""
        self.back_off('s0')
        self.document['routes']['lookups']['endpoints'] = ['s1']
        self.document['routes']['notices']['endpoints'] = ['s1']
        self.configure()
        self.document['endpoints']['s0'] = spec
        self.document['routes']['lookups']['endpoints'] = ['s0', 's1']
        self.configure()


class TestBounds(RouterCase):
    """Values and memory are bounded, and each decision is logged once."""

    def test_long_back_off_is_cut(self) -> None:
        """Guards against an endpoint that is out of use for good."""
        self.back_off('s0', 1e20)
        back_offs = self.router.state.back_offs
        until = back_offs.get_until('10.0.1.0:1', self.now)
        self.assertLessEqual(until, self.now + MAX_BACK_OFF_S * _MAX_JITTER)

    def test_shorter_back_off_does_not_end_a_longer_one(self) -> None:
        """Guards against the last of several answers that cross."""
        self.back_off('s0', _LONG_BACK_OFF_S)
        self.back_off('s0', 1)
        self.wait(2)
        self.assertEqual(self.open('r1', 'lookups').stages[0].endpoint, 's1')

    def test_nodes_return_at_different_times(self) -> None:
        """Guards against all nodes returning in one instant."""
        ends = set()
        for number in range(8):
            self.router = Router(f'n{number}', seed=number)
            self.configure()
            self.back_off('s0')
            back_offs = self.router.state.back_offs
            ends.add(back_offs.get_until('10.0.1.0:1', self.now))
        self.assertEqual(len(ends), 8)
        self.assertGreaterEqual(min(ends), self.now + _BACK_OFF_S)

    def test_memory_is_bounded(self) -> None:
        """Guards against growth with each address ever seen."""
        back_offs = BackOffs()
        for number in range(2 * MAX_BACK_OFFS):
            back_offs.extend(f'address {number}', 1.0)
            back_offs.note_ignored_value(f'address {number}', 'soon')
        self.assertEqual(len(back_offs), MAX_BACK_OFFS)

    def test_decisions_are_logged_once(self) -> None:
        """Guards against a log line for each refusal."""
        commands = [
            command for _ in range(5) for command in self.back_off('s0')
        ]
        self.assertEqual(len(find_all(commands, LogEndpoint)), 1)
        ignored = RetryAfterIgnored('s1', '10.0.1.1:1', 'soon')
        commands = [
            command for _ in range(5) for command in self.apply(ignored)
        ]
        self.assertEqual(len(find_all(commands, LogEndpoint)), 1)
        self.assertEqual(self.count('back_offs.requested'), 5)
        self.assertEqual(self.count('back_offs.ignored'), 5)
