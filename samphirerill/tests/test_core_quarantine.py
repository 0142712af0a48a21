"""The decision core holds back requests that end the endpoints that run them."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase, TestCase

from samphirerill.backends.peers import PeerClients, PeerServer, Word
from samphirerill.core.commands import (
    Command,
    OpenAttempt,
    Outcome,
    ProbeEndpoint,
    RefuseRequest,
)
from samphirerill.core.events import (
    AttemptBroke,
    AttemptSent,
    ConfigurationAccepted,
    EvidenceTold,
    ProbeAnswered,
    RequestArrived,
    TimePassed,
    TokenArrived,
)
from samphirerill.core.model import build_configuration
from samphirerill.core.queries import describe_state, list_evidence
from samphirerill.core.router import Router
from samphirerill.properties.world import build_document
from samphirerill.quarantine import digest_request

if TYPE_CHECKING:
    from samphirerill.control.claims import Batch, Verdict

_GUILTY = digest_request('coach', b'plans', b'ends them')
_OTHER = digest_request('coach', b'plans', b'harmless')
_SETTLED_S = 0.2
_MOST_RUNS = 6


def _start_router(name: str) -> Router:
    router = Router(name, seed=1)
    configuration = build_configuration(build_document(), 1)
    router.apply(ConfigurationAccepted(configuration), 0)
    return router


class TestEndingRequest(TestCase):
    """An engine that runs it ends; the caller comes back and back.

    Symptom: one request ends engine after engine, at each node it comes to.
    Sequence: its attempt breaks off, its engine's port is closed; it is tried
    again elsewhere, and comes again under another id. Cause: failures were
    counted for each request id, and forgotten with it.
    """

    def setUp(self) -> None:
        self.router = _start_router('n1')
        self.now = 0.0
        self.runs = 0

    def test_it_is_run_a_few_times_and_then_refused_at_once(self) -> None:
        for number in range(12):
            self.come(f'r{number}')
        self.assertLessEqual(self.runs, _MOST_RUNS)
        commands = self.ask('last', _GUILTY)
        self.assert_refused(commands)

    def test_another_node_knows_it_too(self) -> None:
        for number in range(12):
            self.come(f'r{number}')
        told = list_evidence(self.router.state, self.now, 16)
        other = _start_router('n2')
        other.apply(EvidenceTold(told), self.now)
        other.apply(TimePassed(), self.now + _SETTLED_S)
        self.router = other
        self.now += _SETTLED_S
        self.assert_refused(self.ask('last', _GUILTY))

    def test_one_whose_endpoints_live_is_not_held(self) -> None:
        """Engines break off and live, or are silent for a while."""
        for number in range(12):
            self.come(f'r{number}', has_ended=False)
        self.assertFalse(describe_state(self.router.state, 0)['quarantine'])

    def test_one_that_goes_on_for_a_while_is_not_held(self) -> None:
        for number in range(12):
            self.come(f'r{number}', tokens=8)
        last = list_evidence(self.router.state, self.now, 16)
        self.assertFalse([item for item in last if item.deaths])

    def test_others_are_served(self) -> None:
        for number in range(12):
            self.come(f'r{number}')
        commands = self.ask('other', _OTHER)
        opened = [item for item in commands if isinstance(item, OpenAttempt)]
        self.assertEqual(len(opened), 1)

    def test_one_that_waits_is_refused_when_it_is_known(self) -> None:
        """No engine has room; another node has seen what it does."""
        for number in range(12):
            self.come(f'r{number}')
        told = list_evidence(self.router.state, self.now, 16)
        self.router = _start_router('n2')
        for found in self.router.state.endpoints.values():
            found.in_flight = 1000
        self.assertEqual(self.ask('waits', _GUILTY), [])
        self.apply(EvidenceTold(told))
        self.now += _SETTLED_S
        self.assert_refused(self.apply(TimePassed()))

    def test_one_that_has_run_is_not_refused_as_if_it_had_not(self) -> None:
        """A 503, which promises that nothing ran, is true of each attempt."""
        commands = [
            command
            for number in range(12)
            for command in self.come(f'r{number}')
        ]
        problems = [
            command.problem
            for command in commands
            if isinstance(command, RefuseRequest)
        ]
        told = {
            (problem.status, problem.outcome)
            for problem in problems
            if problem.code == 'quarantined'
        }
        expected = {
            (HTTPStatus.BAD_GATEWAY, Outcome.MAY_HAVE_RUN),
            (HTTPStatus.SERVICE_UNAVAILABLE, Outcome.NOT_RUN),
        }
        self.assertEqual(told, expected)

    def test_a_break_asks_each_endpoint_once(self) -> None:
        """A loss of many engines does not double the probes."""
        opened = self.ask('r', _GUILTY)[0]
        assert isinstance(opened, OpenAttempt)
        self.apply(AttemptSent(opened.attempt_id))
        commands = self.apply(AttemptBroke(opened.attempt_id, 'it closed'))
        asked = [
            command.endpoint
            for command in commands
            if isinstance(command, ProbeEndpoint)
        ]
        stages = [stage.endpoint for stage in opened.stages]
        self.assertEqual(asked, stages)

    def come(
        self, name: str, *, has_ended: bool = True, tokens: int = 1
    ) -> list[Command]:
        """Let the request come; each attempt ends its first engine."""
        commands = self.ask(name, _GUILTY)
        pending = list(commands)
        while pending:
            command = pending.pop(0)
            if isinstance(command, OpenAttempt):
                answered = self.run_attempt(command, tokens, has_ended)
                commands += answered
                pending += answered
        self.now += 1.0
        commands += self.apply(TimePassed())
        return commands

    def run_attempt(
        self, opened: OpenAttempt, tokens: int, has_ended: bool
    ) -> list[Command]:
        """Run an attempt until it breaks; answer what is asked then."""
        self.runs += 1
        commands = self.apply(AttemptSent(opened.attempt_id))
        for number in range(tokens):
            self.now += 0.1
            index = opened.resume_at + number
            token = TokenArrived(opened.attempt_id, opened.epoch, index, 'x')
            commands += self.apply(token)
        self.now += 0.05
        commands += self.apply(AttemptBroke(opened.attempt_id, 'it closed'))
        head = opened.stages[0].endpoint
        probe = ProbeAnswered(head, alive=False, has_ended=has_ended)
        commands += self.apply(probe)
        for name in self.router.state.endpoints:
            commands += self.apply(ProbeAnswered(name, alive=True))
        self.now += _SETTLED_S
        commands += self.apply(TimePassed())
        return commands

    def ask(self, name: str, identity: bytes) -> list[Command]:
        """Ask for an answer."""
        route = next(iter(self.router.state.configuration.routes))
        account = next(iter(self.router.state.configuration.accounts))
        arrived = RequestArrived(
            name, account, route, self.now + 60, identity=identity
        )
        return self.apply(arrived)

    def apply(self, event: object) -> list[Command]:
        return self.router.apply(event, self.now)

    def assert_refused(self, commands: list[Command]) -> None:
        """It was refused at once, with when to come back."""
        self.assertEqual(len(commands), 1)
        refused = commands[0]
        assert isinstance(refused, RefuseRequest)
        self.assertEqual(refused.problem.code, 'quarantined')
        self.assertIs(refused.problem.outcome, Outcome.NOT_RUN)
        self.assertGreater(refused.problem.retry_after_s, 100)


class TestWords(IsolatedAsyncioTestCase):
    """Evidence goes with the words that nodes exchange."""

    async def test_evidence_goes_both_ways(self) -> None:
        heard: list[bytes] = []

        def answer(word: Word) -> Word:
            heard.append(word.evidence)
            return Word('n2', 1, 0.0, evidence=b'answer')

        async def collect(batch: Batch) -> list[Verdict]:
            return []

        server = PeerServer(answer, collect)
        port = await server.start('127.0.0.1', 0)
        clients = PeerClients(2)
        word = Word('n1', 1, 0.0, evidence=b'question')
        got = await clients.exchange(f'127.0.0.1:{port}', word)
        await clients.close()
        await server.stop()
        self.assertEqual(heard, [b'question'])
        self.assertEqual(got.unwrap().evidence, b'answer')
