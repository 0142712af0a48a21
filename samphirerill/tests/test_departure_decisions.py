"""Decisions of the core about endpoints that say that they leave."""

from __future__ import annotations

from samphirerill.core.commands import (
    CancelAttempt,
    Command,
    DeliverToken,
    LogEndpoint,
    OpenAttempt,
    ProbeEndpoint,
)
from samphirerill.core.departures import MAX_DEPARTURES, Departures
from samphirerill.core.endpoint_events import EndpointLeaving
from samphirerill.core.events import (
    AttemptFailed,
    AttemptRefused,
    ProbeFinished,
    TokenArrived,
    VmListRead,
)
from samphirerill.core.queries import describe_state, list_leaving_endpoints
from samphirerill.core.state import MAX_VM_LIST_LAG_S, Health
from samphirerill.tests.test_back_off_decisions import RouterCase, find_all

_PROBE_INTERVAL_S = 2.0


class DepartureCase(RouterCase):
    """The service `s0` is leaving or has left."""

    def leave(self, name: str = 's0') -> list[Command]:
        endpoint = self.router.state.configuration.endpoints[name]
        return self.apply(EndpointLeaving(name, endpoint.address))

    def answer_probe(self, *, alive: bool, says_leaving: bool = False) -> None:
        self.now += _PROBE_INTERVAL_S
        if says_leaving:
            self.leave()
        self.apply(ProbeFinished('s0', alive, is_refused=not alive))

    def reconfigure(self, **changes: str) -> None:
        """Remove `s0`, then add it again with changes."""
        spec = self.document['endpoints'].pop('s0')
        for route in ('lookups', 'notices'):
            self.document['routes'][route]['endpoints'] = ['s1']
        self.configure()
        self.document['endpoints']['s0'] = {**spec, **changes}
        for route in ('lookups', 'notices'):
            self.document['routes'][route]['endpoints'] = ['s0', 's1']
        self.configure()

    def assert_leaving(self, *, expected: bool = True) -> None:
        """Assert whether `s0` gets requests when it is the only choice."""
        health = Health.LEAVING if expected else Health.LIVE
        self.assertIs(self.get_health('s0'), health)
        self.back_off('s1')
        opened = find_all(self.ask('r1', 'lookups'), OpenAttempt)
        self.assertEqual(len(opened), 0 if expected else 1)


class TestNewWork(DepartureCase):
    """A leaving process gets no new work, and its streams go on."""

    def test_no_stage_is_at_a_leaving_engine(self) -> None:
        """Guards against a leaving engine as a first or a later stage."""
        for name in ('e4', 'e2'):
            self.leave(name)
        opened = self.open('r1')
        used = [stage.endpoint for stage in opened.stages]
        self.assertEqual(used, ['e0', 'e3'])

    def test_unsent_attempt_is_placed_anew(self) -> None:
        """Guards against a send that was chosen before the answer came."""
        opened = self.open('r1', 'lookups')
        used = opened.stages[0].endpoint
        commands = self.leave(used)
        cancelled = find_all(commands, CancelAttempt)
        self.assertEqual([item.attempt_id for item in cancelled], ['n1-1'])
        self.assertNotIn(used, self.list_opened(commands))
        self.assertEqual(len(find_all(commands, OpenAttempt)), 1)

    def test_stream_in_progress_goes_on(self) -> None:
        """Guards against streams that a departure cuts."""
        opened = self.send('r1')
        for stage in opened.stages:
            commands = self.leave(stage.endpoint)
            self.assertEqual(find_all(commands, CancelAttempt), [])
        token = TokenArrived(opened.attempt_id, opened.epoch, 0, 'x')
        self.assertEqual(len(find_all(self.apply(token), DeliverToken)), 1)

    def test_resumed_stream_uses_another_endpoint(self) -> None:
        """Guards against a resume at the process that leaves."""
        opened = self.send('r1')
        self.apply(TokenArrived(opened.attempt_id, opened.epoch, 0, 'x'))
        head = opened.stages[0].endpoint
        self.leave(head)
        commands = self.apply(AttemptFailed(opened.attempt_id, 'it closed'))
        self.assertNotIn(head, self.list_opened(commands))

    def test_refusal_causes_no_probe_of_its_own(self) -> None:
        """Guards against suspicion of an endpoint that has just answered."""
        opened = self.send('r1')
        head = opened.stages[0].endpoint
        commands = self.leave(head)
        failed = AttemptFailed(opened.attempt_id, 'status 503', is_alive=True)
        commands += self.apply(failed)
        self.assertEqual(find_all(commands, ProbeEndpoint), [])

    def test_refused_request_is_served_elsewhere(self) -> None:
        """Guards against a request that is lost with its refusal."""
        opened = self.send('r1', 'notices')
        self.leave(opened.stages[0].endpoint)
        commands = self.apply(AttemptRefused(opened.attempt_id, 'busy'))
        self.assertEqual(len(find_all(commands, OpenAttempt)), 1)


class TestSameProcess(DepartureCase):
    """Nothing but another process ends a departure."""

    def test_vm_list_does_not_end_it(self) -> None:
        """Guards against a list that still says live."""
        self.leave()
        self.apply(VmListRead(frozenset(('s0',)), frozenset()))
        self.assert_leaving()

    def test_vm_list_that_changes_its_mind_does_not_end_it(self) -> None:
        """Guards against a list that said leaving and says live again."""
        self.apply(VmListRead(frozenset(), frozenset(('s0',))))
        self.leave()
        self.now += MAX_VM_LIST_LAG_S + 1
        self.apply(VmListRead(frozenset(('s0',)), frozenset()))
        self.assert_leaving()

    def test_removal_from_the_configuration_does_not_end_it(self) -> None:
        """Guards against operators' changes that revive a process."""
        self.leave()
        self.reconfigure()
        self.assert_leaving()

    def test_probes_that_say_it_again_do_not_end_it(self) -> None:
        """Guards against a probe that counts as another process."""
        self.leave()
        self.answer_probe(alive=False)
        for _ in range(8):
            self.answer_probe(alive=True, says_leaving=True)
        self.assert_leaving()

    def test_one_probe_under_way_does_not_end_it(self) -> None:
        """Guards against an answer from before the departure."""
        self.leave()
        self.answer_probe(alive=True)
        self.assert_leaving()


class TestNewProcess(DepartureCase):
    """The next process at the address gets work."""

    def test_answer_after_a_failed_probe(self) -> None:
        """Guards against an address that is out of use for good."""
        self.leave()
        self.answer_probe(alive=False)
        self.answer_probe(alive=True)
        self.assert_leaving(expected=False)

    def test_restart_between_two_probes(self) -> None:
        """Guards against a departure that outlives a quick restart."""
        self.leave()
        for _ in range(3):
            self.answer_probe(alive=True)
        self.assert_leaving(expected=False)

    def test_new_address(self) -> None:
        """Guards against a replacement that inherits a departure."""
        self.leave()
        self.reconfigure(address='10.0.1.9:1')
        self.assert_leaving(expected=False)

    def test_replacement_while_not_configured(self) -> None:
        """Guards against waiting for a failure that nobody could see."""
        self.leave()
        self.reconfigure()
        self.answer_probe(alive=True)
        self.assert_leaving(expected=False)

    def test_vm_list_still_counts(self) -> None:
        """Guards against work for a VM that is about to stop."""
        self.leave()
        self.apply(VmListRead(frozenset(), frozenset(('s0',))))
        self.answer_probe(alive=False)
        self.answer_probe(alive=True)
        self.assert_leaving()

    def test_one_probe_at_a_time_finds_it(self) -> None:
        """Guards against a probe storm, and against no probe at all."""
        self.leave()
        probes = 0
        for _ in range(40):
            commands = self.wait(0.5)
            for probe in find_all(commands, ProbeEndpoint):
                probes += 1
                self.leave()
                self.apply(ProbeFinished(probe.endpoint, alive=True))
        self.assertIn(probes, range(7, 11))


class TestObservability(DepartureCase):
    """Operators see a departure; other nodes find it themselves."""

    def test_departure_is_logged_and_counted_once(self) -> None:
        """Guards against a log line for each answer."""
        commands = [command for _ in range(5) for command in self.leave()]
        self.assertEqual(len(find_all(commands, LogEndpoint)), 1)
        self.assertEqual(self.count('departures.announced'), 1)
        described = describe_state(self.router.state, self.now)
        endpoint = described['endpoints']['s0']
        self.assertEqual(endpoint['health'], 'leaving')
        self.assertTrue(endpoint['says_leaving'])

    def test_other_nodes_are_not_told(self) -> None:
        """Guards against a mark that nodes return to one another."""
        self.leave()
        self.assertEqual(list_leaving_endpoints(self.router.state), [])

    def test_memory_is_bounded(self) -> None:
        """Guards against growth with each process that ever left."""
        departures = Departures()
        for number in range(2 * MAX_DEPARTURES):
            departures.note(f'address {number}')
        self.assertEqual(len(departures), MAX_DEPARTURES)
        self.assertFalse(departures.is_leaving('address 0'))
