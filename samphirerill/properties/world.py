"""The world around the decision core, and the oracle of its promises.

The world carries out the core's commands as engines, services and the
platform's service would, at a pace and with faults that the fuzzer chooses.
It alone knows what really ran. The oracle compares that with what callers
were told; it knows nothing of how the core works.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.control.claims import (
    Batch,
    Claim,
    Settlement,
    build_claim,
    build_release,
    build_transaction,
    read_verdicts,
)
from samphirerill.core import commands as told
from samphirerill.core import events
from samphirerill.core.commands import Outcome
from samphirerill.core.model import Configuration, build_configuration
from samphirerill.core.router import Router
from samphirerill.properties.oracle import check_cover, expect

if TYPE_CHECKING:
    from samphirerill.backends.store import KeyValueStore

LAYERS = 6
TOKENS = 3
GOOD = 'good'
CROSSED = 'crossed'
_RANGES = ((0, 2), (1, 3), (3, 5), (2, 5), (0, 5))


@dataclass(slots=True)
class Work:
    """One attempt as the outside sees it.

    `ran` is the truth: whether the endpoint started on it.
    """

    node: int
    command: told.OpenAttempt
    sent: bool = False
    ran: bool = False
    cancelled: bool = False
    refused: bool = False
    next_token: int = 0


@dataclass(slots=True)
class Asked:
    """One caller's request and what its caller was told."""

    node: int
    route: str
    account: str
    key: str
    deadline: float
    delivered: list[int] = field(default_factory=list)
    ends: list[str] = field(default_factory=list)
    left: bool = False


@dataclass(slots=True)
class Told:
    """A claim command that the platform's service has not settled yet."""

    node: int
    claim: Claim


def build_document(
    kinds: tuple[int, ...] = (0, 1, 2, 3, 4),
) -> dict[str, object]:
    """Return a small configuration with overlapping stages."""
    endpoints = {
        f'e{index}': {
            'kind': 'engine',
            'address': f'10.0.0.{index}:1',
            'data_centre': 'a',
            'model': 'm',
            'layers': list(_RANGES[kind]),
            'slots': 2,
        }
        for index, kind in enumerate(kinds)
    }
    for name in ('s0', 's1'):
        endpoints[name] = {
            'kind': 'service',
            'address': f'10.0.1.{name[1]}:1',
            'data_centre': 'a',
            'slots': 2,
        }
    return {
        'models': {'m': {'layers': LAYERS}},
        'endpoints': endpoints,
        'routes': {
            'plans': {'kind': 'model', 'model': 'm'},
            'fittings': {'kind': 'model', 'model': 'm', 'priority': 'high'},
            'once': {'kind': 'model', 'model': 'm', 'idempotent': False},
            'lookups': {'kind': 'service', 'endpoints': ['s0', 's1']},
            'notices': {
                'kind': 'service',
                'endpoints': ['s0', 's1'],
                'idempotent': False,
            },
        },
        'accounts': {
            name: {
                'keys': [],
                'routes': ['plans', 'fittings', 'once', 'lookups', 'notices'],
            }
            for name in ('tromsvik', 'viti')
        },
    }


class World:
    """Nodes' cores, endpoints and the platform's service, step by step.

    Parameters
    ----------
    nodes : int
        How many cores share the endpoints.
    store : KeyValueStore
        Where claims are kept.
    """

    def __init__(self, nodes: int, store: KeyValueStore) -> None:
        self.now = 0.0
        self.store = store
        self.starts = [0] * nodes
        self.routers = [Router(self.holder(at), seed=at) for at in range(nodes)]
        self.asked: dict[str, Asked] = {}
        self.work: dict[str, Work] = {}
        self.claims: dict[str, Told] = {}
        self.held: dict[str, Claim] = {}
        self.settled: list[Settlement] = []
        self.probes: list[tuple[int, str]] = []
        self.runs: Counter[str] = Counter()
        self.leaving: set[str] = set()
        self.dead_nodes: set[str] = set()
        self.version = 0
        self.current = Configuration(version=0)
        self.count = 0

    def configure(self, kinds: tuple[int, ...]) -> None:
        """Accept a new configuration and tell every node."""
        self.version += 1
        self.current = self.build(kinds)
        event = events.ConfigurationAccepted(self.current)
        for node in range(len(self.routers)):
            self.apply(node, event)

    def build(self, kinds: tuple[int, ...]) -> Configuration:
        """Return a configuration with the present version."""
        return build_configuration(build_document(kinds), self.version)

    def ask(
        self, node: int, route: str, account: str, key: str, wait_s: float
    ) -> str:
        """Send a caller's request to a node."""
        self.count += 1
        request_id = f'r{self.count}'
        deadline = self.now + wait_s
        self.asked[request_id] = Asked(node, route, account, key, deadline)
        self.apply(
            node,
            events.RequestArrived(
                request_id,
                account,
                route,
                deadline,
                tokens=TOKENS,
                key=key,
                fingerprint='body',
            ),
        )
        return request_id

    def apply(self, node: int, event: object) -> None:
        """Let a core handle an event and carry out its commands."""
        router = self.routers[node]
        before = router.state.configuration.version
        for command in router.apply(event, self.now):
            self._carry_out(node, command)
        expect(
            router.state.configuration.version >= before,
            'a configuration reverted',
        )

    def pass_time(self, seconds: float) -> None:
        """Let time pass for every node."""
        self.now += seconds
        for node in range(len(self.routers)):
            self.apply(node, events.TimePassed())

    def restart(self, node: int) -> None:
        """Kill a node and start another in its place.

        Its callers see their connections break; what it had sent may have
        run. Nothing it knew survives.
        """
        self.dead_nodes.add(self.holder(node))
        for asked in self.asked.values():
            if asked.node == node and not asked.ends:
                asked.ends.append('connection broke')
        for work in self.work.values():
            if work.node == node:
                work.cancelled = True
        for request_id, asked in self.asked.items():
            if asked.node == node:
                self.claims.pop(request_id, None)
                self.held.pop(request_id, None)
        self.probes = [probe for probe in self.probes if probe[0] != node]
        self.starts[node] += 1
        self.routers[node] = Router(self.holder(node), seed=self.starts[node])
        self.apply(
            node,
            events.VmListRead(frozenset(), frozenset(self.leaving)),
        )
        self.apply(node, events.ConfigurationAccepted(self.current))

    def holder(self, node: int) -> str:
        """Return the id of a node's present process."""
        return f'n{node}.{self.starts[node]}'

    def send(self, attempt_id: str) -> None:
        """Connect an attempt: its first byte goes out and may run."""
        work = self.work[attempt_id]
        work.sent = True
        self.apply(work.node, events.AttemptSent(attempt_id))

    def run(self, attempt_id: str) -> None:
        """Let an endpoint start on an attempt."""
        work = self.work[attempt_id]
        if work.ran:
            return
        work.ran = True
        asked = self.asked[work.command.request_id]
        if asked.key:
            self.runs[f'{asked.account}/{asked.route}/{asked.key}'] += 1

    def step(self, attempt_id: str) -> None:
        """Send an attempt, or let it give its next token or its answer."""
        work = self.work[attempt_id]
        if not work.sent:
            self.send(attempt_id)
            return
        self.run(attempt_id)
        if work.command.is_service:
            self.apply(work.node, events.ServiceAnswered(attempt_id, 200))
            return
        index = work.next_token
        work.next_token += 1
        finish = 'stop' if work.next_token >= TOKENS else ''
        token = events.TokenArrived(
            attempt_id, work.command.epoch, index, GOOD, finish
        )
        self.apply(work.node, token)

    def list_open(self) -> list[str]:
        """Return the attempts that their node still waits for."""
        return [
            attempt_id
            for router in self.routers
            for attempt_id in router.state.attempts
        ]

    def list_sent(self) -> list[str]:
        """Return all model attempts that went out, even long ago."""
        return [
            attempt_id
            for attempt_id, work in self.work.items()
            if work.sent and not (work.refused or work.command.is_service)
        ]

    def list_waiting(self) -> list[str]:
        """Return the requests whose callers still wait."""
        return [
            request_id
            for request_id, asked in self.asked.items()
            if not asked.ends and not asked.left
        ]

    def leave(self, endpoint: str) -> None:
        """Let the platform's list say that an endpoint leaves."""
        self.leaving.add(endpoint)
        event = events.VmListRead(frozenset(), frozenset(self.leaving))
        for node in range(len(self.routers)):
            self.apply(node, event)

    def answer_probes(self, *, alive: bool) -> None:
        """Answer every probe that is under way."""
        probes, self.probes = self.probes, []
        for node, endpoint in probes:
            self.apply(node, events.ProbeAnswered(endpoint, alive))

    def write_claim(self, request_id: str, *, lose_reply: bool) -> None:
        """Let the platform's service handle a claim."""
        item = self.claims[request_id]
        transaction = build_transaction(Batch([item.claim]), '')
        done = self.store.commit(transaction)
        if lose_reply:
            return
        verdicts, _ = read_verdicts([item.claim], done)
        self.claims.pop(request_id)
        for verdict in verdicts:
            if verdict.state == 'won':
                self.held[request_id] = item.claim
                self.apply(item.node, events.ClaimWon(request_id))
                continue
            alive = verdict.holder not in self.dead_nodes
            taken = events.ClaimTaken(request_id, verdict.state, alive)
            self.apply(item.node, taken)

    def fail_claim(self, request_id: str) -> None:
        """Let the writer give a claim up; nothing is sent for it."""
        item = self.claims.pop(request_id)
        self.apply(item.node, events.ClaimFailed(request_id))

    def write_settlements(self) -> None:
        """Let the platform's service record the outcomes so far."""
        batch = Batch(settlements=self.settled)
        self.store.commit(build_transaction(batch, ''))
        self.settled = []

    def _carry_out(self, node: int, command: object) -> None:
        match command:
            case told.OpenAttempt():
                self._open(node, command)
            case told.CancelAttempt(attempt_id):
                if attempt_id in self.work:
                    self.work[attempt_id].cancelled = True
            case told.DeliverToken(request_id, index, text):
                expect(text == GOOD, f'{text} token delivered')
                self._deliver(request_id, index)
            case told.FinishAnswer(request_id):
                self._finish(request_id)
            case told.RefuseRequest(request_id, problem):
                self._refuse(request_id, problem)
            case told.ReplayAnswer(request_id):
                self.asked[request_id].ends.append('replayed')
            case told.WriteClaim(request_id):
                claim = build_claim(command, self.holder(node), '/')
                self.claims[request_id] = Told(node, claim)
            case told.SettleClaim(request_id, outcome):
                self._settle(request_id, outcome)
            case told.ProbeEndpoint(endpoint):
                self.probes.append((node, endpoint))

    def _settle(self, request_id: str, outcome: Outcome) -> None:
        claim = self.held.pop(request_id)
        if outcome is Outcome.NOT_RUN:
            self.store.commit(build_release(claim))
        else:
            self.settled.append(Settlement(claim, outcome))

    def _open(self, node: int, command: told.OpenAttempt) -> None:
        expect(command.attempt_id not in self.work, 'attempt id again')
        asked = self.asked[command.request_id]
        expect(not asked.ends, f'work after the end: {asked}')
        for stage in command.stages:
            expect(
                stage.endpoint not in self.leaving,
                f'new work to {stage.endpoint}, which is leaving',
            )
        if not command.is_service:
            check_cover(command.stages, LAYERS)
            expect(
                command.resume_at == len(asked.delivered),
                f'resumed at {command.resume_at}: {asked}',
            )
        self.work[command.attempt_id] = Work(
            node, command, next_token=command.resume_at
        )

    def _deliver(self, request_id: str, index: int) -> None:
        asked = self.asked[request_id]
        expect(not asked.ends, f'a token after the end: {asked}')
        expect(index == len(asked.delivered), f'token {index} of {asked}')
        asked.delivered.append(index)

    def _finish(self, request_id: str) -> None:
        asked = self.asked[request_id]
        if asked.route in {'plans', 'fittings', 'once'}:
            expect(len(asked.delivered) == TOKENS, f'not whole: {asked}')
        asked.ends.append('answered')

    def _refuse(self, request_id: str, problem: told.Problem) -> None:
        asked = self.asked[request_id]
        asked.ends.append(problem.outcome.value)
        if problem.outcome is not Outcome.NOT_RUN:
            return
        ran = any(
            work.ran
            for work in self.work.values()
            if work.command.request_id == request_id
        )
        expect(not ran, f'said not run, but it ran: {asked}')
        expect(not asked.delivered, f'not run with tokens: {asked}')
