"""Simulated environment of the decision core for stateful tests.

The simulation executes the core's commands in place of engines, services and
the key-value store, with timing and faults chosen by the test. It keeps the
ground truth of what was executed, which the oracle compares with what clients
were told.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.control.claims import (
    Claim,
    ClaimBatch,
    Settlement,
    build_claim,
    build_release,
    build_transaction,
    read_results,
)
from samphirerill.core import commands as core_commands
from samphirerill.core import events
from samphirerill.core.availability import BACKING_OFF_CODE
from samphirerill.core.back_offs import MAX_BACK_OFF_S, MAX_JITTER_S
from samphirerill.core.commands import Outcome
from samphirerill.core.configuration import Configuration, build_configuration
from samphirerill.core.endpoint_events import (
    EndpointLeaving,
    EndpointRequestedBackOff,
)
from samphirerill.core.router import Router
from samphirerill.properties.oracle import check_coverage, expect

if TYPE_CHECKING:
    from samphirerill.backends.store import KeyValueStore

LAYERS = 6
TOKENS = 3
VALID_TEXT = 'good'
FOREIGN_TEXT = 'crossed'
_RANGES = ((0, 2), (1, 3), (3, 5), (2, 5), (0, 5))


@dataclass(slots=True)
class AttemptRecord:
    """Ground truth about one attempt.

    `ran` is whether the endpoint started to execute it.
    """

    node: int
    command: core_commands.OpenAttempt
    sent: bool = False
    ran: bool = False
    cancelled: bool = False
    refused: bool = False
    next_token: int = 0


@dataclass(slots=True)
class RequestRecord:
    """A client's request and what the client received for it."""

    node: int
    route: str
    account: str
    key: str
    deadline: float
    delivered: list[int] = field(default_factory=list)
    outcomes: list[str] = field(default_factory=list)
    has_left: bool = False


@dataclass(slots=True)
class PendingClaim:
    """A claim that has not been committed to the store yet."""

    node: int
    claim: Claim


def build_configuration_document(
    kinds: tuple[int, ...] = (0, 1, 2, 3, 4),
) -> dict[str, object]:
    """Return a small configuration document with overlapping stages."""
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


def _remove_node(
    back_offs: dict[tuple[int, str], float], node: int
) -> dict[tuple[int, str], float]:
    return {
        place: until for place, until in back_offs.items() if place[0] != node
    }


class Simulation:
    """Routers of several nodes with simulated endpoints and a store.

    Parameters
    ----------
    nodes : int
        Number of nodes that share the endpoints.
    store : KeyValueStore
        Stores the claims.
    """

    def __init__(self, nodes: int, store: KeyValueStore) -> None:
        self.now = 0.0
        self.store = store
        self.restart_counts = [0] * nodes
        self.routers = [
            Router(self.get_process_id(at), seed=at) for at in range(nodes)
        ]
        self.requests: dict[str, RequestRecord] = {}
        self.attempts: dict[str, AttemptRecord] = {}
        self.pending_claims: dict[str, PendingClaim] = {}
        self.won_claims: dict[str, Claim] = {}
        self.unsaved_settlements: list[Settlement] = []
        self.probes: list[tuple[int, str, str]] = []
        self.executions: Counter[str] = Counter()
        self.leaving_endpoints: set[str] = set()
        self.killed_processes: set[str] = set()
        self.version = 0
        self.configuration = Configuration(version=0)
        self.request_count = 0
        # When the back-offs end that endpoints asked of a node, by address.
        self.back_offs: dict[tuple[int, str], float] = {}
        # The same, with those of processes that have been replaced.
        self.requested_back_offs: dict[tuple[int, str], float] = {}
        # Numbers of the processes that ran at an address.
        self.processes: Counter[str] = Counter()
        self.departing: set[tuple[str, int]] = set()
        # Which nodes were told by a process that it leaves.
        self.told: set[tuple[int, str, int]] = set()

    def configure(self, kinds: tuple[int, ...]) -> None:
        """Create a configuration version and deliver it to every node."""
        self.version += 1
        self.configuration = self.build(kinds)
        event = events.ConfigurationAccepted(self.configuration)
        for node in range(len(self.routers)):
            self.apply(node, event)

    def build(self, kinds: tuple[int, ...]) -> Configuration:
        """Build a configuration with the current version number."""
        return build_configuration(
            build_configuration_document(kinds), self.version
        )

    def submit_request(
        self, node: int, route: str, account: str, key: str, wait_s: float
    ) -> str:
        """Submit a client's request to a node; return the request id."""
        self.request_count += 1
        request_id = f'r{self.request_count}'
        deadline = self.now + wait_s
        self.requests[request_id] = RequestRecord(
            node, route, account, key, deadline
        )
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
        """Apply an event to a node's router and execute its commands."""
        router = self.routers[node]
        before = router.state.configuration.version
        for command in router.apply(event, self.now):
            self._execute(node, command)
        expect(
            router.state.configuration.version >= before,
            'configuration reverted to an older version',
        )

    def advance_time(self, seconds: float) -> None:
        """Advance the clock of every node."""
        self.now += seconds
        for node in range(len(self.routers)):
            self.apply(node, events.TimerFired())

    def restart(self, node: int) -> None:
        """Kill a node and start a new process in its place.

        The connections of its clients break, requests that it sent may have been
        executed, and its state is lost.
        """
        self.killed_processes.add(self.get_process_id(node))
        for request in self.requests.values():
            if request.node == node and not request.outcomes:
                request.outcomes.append('connection broke')
        for attempt in self.attempts.values():
            if attempt.node == node:
                attempt.cancelled = True
        for request_id, request in self.requests.items():
            if request.node == node:
                self.pending_claims.pop(request_id, None)
                self.won_claims.pop(request_id, None)
        self.probes = [probe for probe in self.probes if probe[0] != node]
        self.restart_counts[node] += 1
        self.back_offs = _remove_node(self.back_offs, node)
        self.requested_back_offs = _remove_node(self.requested_back_offs, node)
        self.told = {place for place in self.told if place[0] != node}
        self.routers[node] = Router(
            self.get_process_id(node), seed=self.restart_counts[node]
        )
        self.apply(
            node,
            events.VmListRead(frozenset(), frozenset(self.leaving_endpoints)),
        )
        self.apply(node, events.ConfigurationAccepted(self.configuration))

    def get_process_id(self, node: int) -> str:
        """Return the id of a node's current process."""
        return f'n{node}.{self.restart_counts[node]}'

    def send(self, attempt_id: str) -> None:
        """Mark an attempt as sent; from now on it may be executed."""
        attempt = self.attempts[attempt_id]
        self._check_stages(attempt.node, attempt.command.stages)
        attempt.sent = True
        self.apply(attempt.node, events.AttemptSent(attempt_id))

    def run(self, attempt_id: str) -> None:
        """Start the execution of an attempt at its endpoint."""
        attempt = self.attempts[attempt_id]
        if attempt.ran:
            return
        attempt.ran = True
        request = self.requests[attempt.command.request_id]
        if request.key:
            self.executions[
                f'{request.account}/{request.route}/{request.key}'
            ] += 1

    def step(self, attempt_id: str) -> None:
        """Send an attempt, or produce its next token or its response."""
        attempt = self.attempts[attempt_id]
        if not attempt.sent:
            self.send(attempt_id)
            return
        if not attempt.ran:
            self.answer(attempt_id)
        self.run(attempt_id)
        if attempt.command.is_service:
            self.apply(attempt.node, events.ServiceAnswered(attempt_id, 200))
            return
        index = attempt.next_token
        attempt.next_token += 1
        finish = 'stop' if attempt.next_token >= TOKENS else ''
        token = events.TokenArrived(
            attempt_id, attempt.command.epoch, index, VALID_TEXT, finish
        )
        self.apply(attempt.node, token)

    def request_back_off(self, attempt_id: str, seconds: float) -> None:
        """Let the first stage of an attempt ask its node for a back-off."""
        attempt = self.attempts[attempt_id]
        stage = self._get_head(attempt_id)
        place = (attempt.node, stage.address)
        until = self.now + seconds
        bounded = min(until, self.now + MAX_BACK_OFF_S)
        self.back_offs[place] = max(bounded, self.back_offs.get(place, 0))
        asked = self.requested_back_offs.get(place, 0)
        self.requested_back_offs[place] = max(bounded, asked)
        self.answer(attempt_id)
        event = EndpointRequestedBackOff(stage.endpoint, stage.address, until)
        self.apply(attempt.node, event)

    def depart(self, attempt_id: str) -> None:
        """Let the first stage of an attempt leave and say so."""
        address = self._get_head(attempt_id).address
        self.departing.add((address, self.processes[address]))
        self.answer(attempt_id)

    def answer(self, attempt_id: str) -> None:
        """Deliver what the answer to an attempt says of its endpoint."""
        attempt = self.attempts[attempt_id]
        stage = self._get_head(attempt_id)
        self._say_leaving(attempt.node, stage.endpoint, stage.address)

    def restart_endpoint(self, attempt_id: str) -> None:
        """Replace the process of an attempt's first stage by another one."""
        address = self._get_head(attempt_id).address
        self.processes[address] += 1
        self.back_offs = {
            place: until
            for place, until in self.back_offs.items()
            if place[1] != address
        }
        for name in self.list_open():
            attempt = self.attempts[name]
            used = {stage.address for stage in attempt.command.stages}
            if attempt.sent and address in used:
                failed = events.AttemptFailed(name, 'it closed')
                self.apply(attempt.node, failed)

    def list_open(self) -> list[str]:
        """Return the attempts that are open at their node."""
        return [
            attempt_id
            for router in self.routers
            for attempt_id in router.state.attempts
        ]

    def list_sent(self) -> list[str]:
        """Return all model attempts that were ever sent and not refused."""
        return [
            attempt_id
            for attempt_id, attempt in self.attempts.items()
            if attempt.sent
            and not (attempt.refused or attempt.command.is_service)
        ]

    def list_waiting(self) -> list[str]:
        """Return the requests whose clients are still waiting."""
        return [
            request_id
            for request_id, request in self.requests.items()
            if not request.outcomes and not request.has_left
        ]

    def mark_leaving(self, endpoint: str) -> None:
        """Report an endpoint as leaving in the platform's VM list."""
        self.leaving_endpoints.add(endpoint)
        event = events.VmListRead(
            frozenset(), frozenset(self.leaving_endpoints)
        )
        for node in range(len(self.routers)):
            self.apply(node, event)

    def answer_probes(self, *, alive: bool) -> None:
        """Answer every outstanding probe."""
        probes, self.probes = self.probes, []
        for node, endpoint, address in probes:
            if alive:
                self._say_leaving(node, endpoint, address)
            self.apply(node, events.ProbeFinished(endpoint, alive))

    def commit_claim(self, request_id: str, *, lose_reply: bool) -> None:
        """Commit a pending claim and deliver the result to its node.

        With `lose_reply` the claim is committed, but no result delivered.
        """
        item = self.pending_claims[request_id]
        transaction = build_transaction(ClaimBatch([item.claim]), '')
        done = self.store.commit(transaction)
        if lose_reply:
            return
        claim_results, _ = read_results([item.claim], done)
        self.pending_claims.pop(request_id)
        for claim_result in claim_results:
            if claim_result.state == 'won':
                self.won_claims[request_id] = item.claim
                self.apply(item.node, events.ClaimAcquired(request_id))
                continue
            alive = claim_result.holder not in self.killed_processes
            conflict = events.ClaimConflicted(
                request_id, claim_result.state, alive
            )
            self.apply(item.node, conflict)

    def fail_claim(self, request_id: str) -> None:
        """Fail a pending claim without sending it to the store."""
        item = self.pending_claims.pop(request_id)
        self.apply(item.node, events.ClaimFailed(request_id))

    def commit_settlements(self) -> None:
        """Commit the outcomes of settled claims to the store."""
        batch = ClaimBatch(settlements=self.unsaved_settlements)
        self.store.commit(build_transaction(batch, ''))
        self.unsaved_settlements = []

    def _execute(self, node: int, command: object) -> None:
        match command:
            case core_commands.OpenAttempt():
                self._open_attempt(node, command)
            case core_commands.CancelAttempt(attempt_id):
                if attempt_id in self.attempts:
                    self.attempts[attempt_id].cancelled = True
            case core_commands.DeliverToken(request_id, index, text):
                expect(
                    text == VALID_TEXT, f'delivered a token with text {text!r}'
                )
                self._deliver_token(request_id, index)
            case core_commands.FinishAnswer(request_id):
                self._finish_response(request_id)
            case core_commands.RefuseRequest(request_id, problem):
                self._refuse_request(request_id, problem)
            case core_commands.ReplayAnswer(request_id):
                self.requests[request_id].outcomes.append('replayed')
            case core_commands.WriteClaim(request_id):
                claim = build_claim(command, self.get_process_id(node), '/')
                self.pending_claims[request_id] = PendingClaim(node, claim)
            case core_commands.SettleClaim(request_id, outcome):
                self._settle_claim(request_id, outcome)
            case core_commands.ProbeEndpoint(endpoint, address):
                self.probes.append((node, endpoint, address))

    def _get_head(self, attempt_id: str) -> core_commands.Stage:
        return self.attempts[attempt_id].command.stages[0]

    def _say_leaving(self, node: int, endpoint: str, address: str) -> None:
        process = (address, self.processes[address])
        if process in self.departing:
            self.told.add((node, *process))
            self.apply(node, EndpointLeaving(endpoint, address))

    def _settle_claim(self, request_id: str, outcome: Outcome) -> None:
        claim = self.won_claims.pop(request_id)
        if outcome is Outcome.NOT_RUN:
            self.store.commit(build_release(claim))
        else:
            self.unsaved_settlements.append(Settlement(claim, outcome))

    def _open_attempt(
        self, node: int, command: core_commands.OpenAttempt
    ) -> None:
        expect(command.attempt_id not in self.attempts, 'attempt id used twice')
        request = self.requests[command.request_id]
        expect(
            not request.outcomes,
            f'attempt opened after the final outcome: {request}',
        )
        for stage in command.stages:
            expect(
                stage.endpoint not in self.leaving_endpoints,
                f'new attempt at leaving endpoint {stage.endpoint}',
            )
        self._check_stages(node, command.stages)
        if not command.is_service:
            check_coverage(command.stages, LAYERS)
            expect(
                command.resume_at == len(request.delivered),
                f'resumed at token {command.resume_at}: {request}',
            )
        self.attempts[command.attempt_id] = AttemptRecord(
            node, command, next_token=command.resume_at
        )

    def _check_stages(
        self, node: int, stages: tuple[core_commands.Stage, ...]
    ) -> None:
        """Check that no stage backs off, or told the node that it leaves."""
        for stage in stages:
            expect(
                self.back_offs.get((node, stage.address), 0) <= self.now,
                f'sent to an endpoint that backs off: {stage.endpoint}',
            )
            process = (stage.address, self.processes[stage.address])
            expect(
                (node, *process) not in self.told,
                f'sent to departing endpoint {stage.endpoint}',
            )

    def _check_return(
        self, request: RequestRecord, problem: core_commands.Problem
    ) -> None:
        """Check that a client returns when a back-off has ended, not before.

        The node may not have learned yet that a process has been replaced, and
        it adds jitter to each back-off.
        """
        ends = [
            until
            for (node, _), until in self.requested_back_offs.items()
            if node == request.node and until + MAX_JITTER_S > self.now
        ]
        expect(bool(ends), f'no endpoint backs off: {problem}')
        expect(
            self.now + problem.retry_after_s >= min(ends),
            f'clients return before the end of a back-off: {problem}',
        )

    def _deliver_token(self, request_id: str, index: int) -> None:
        request = self.requests[request_id]
        expect(
            not request.outcomes,
            f'token delivered after the final outcome: {request}',
        )
        expect(
            index == len(request.delivered),
            f'token {index} out of order: {request}',
        )
        request.delivered.append(index)

    def _finish_response(self, request_id: str) -> None:
        request = self.requests[request_id]
        if request.route in {'plans', 'fittings', 'once'}:
            expect(
                len(request.delivered) == TOKENS,
                f'response is incomplete: {request}',
            )
        request.outcomes.append('answered')

    def _refuse_request(
        self, request_id: str, problem: core_commands.Problem
    ) -> None:
        request = self.requests[request_id]
        request.outcomes.append(problem.outcome.value)
        if problem.code == BACKING_OFF_CODE:
            self._check_return(request, problem)
        if problem.outcome is not Outcome.NOT_RUN:
            return
        ran = any(
            attempt.ran
            for attempt in self.attempts.values()
            if attempt.command.request_id == request_id
        )
        expect(not ran, f'reported as not executed, but was: {request}')
        expect(
            not request.delivered,
            f'reported as not executed after tokens: {request}',
        )
