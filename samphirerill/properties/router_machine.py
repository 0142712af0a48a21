"""Stateful tests of the decision core, checked by the oracle.

Hypothesis chooses between rules uniformly. Rare disturbances therefore share one
rule with a limited number of uses, so that most steps still make progress.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from samphirerill.core import events
from samphirerill.properties.oracle import check_guarantees
from samphirerill.properties.simulation import FOREIGN_TEXT, TOKENS, Simulation
from samphirerill.testing.memory_store import MemoryStore

NODES = 2
ROUTES = ('plans', 'fittings', 'once', 'lookups', 'notices')
NON_IDEMPOTENT_ROUTES = frozenset(('once', 'notices'))
DISTURBANCES = ('leaves', 'reconfigure', 'restart', 'doubt', 'stale', 'report')
_MAX_DISTURBANCES = 4
# Back-offs and departures; with more of them most requests would only wait.
_MAX_ENDPOINT_CHANGES = 12
_PICKS = st.integers(0, 1000)
_NODES = st.integers(0, NODES - 1)


class RouterMachine(RuleBasedStateMachine):
    """Two routers under all supported faults, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = Simulation(NODES, MemoryStore())
        self._disturbance_count = 0
        self._endpoint_changes = 0

    @initialize()
    def configure_first(self) -> None:
        """Deliver an initial configuration."""
        self.simulation.configure((0, 1, 2, 3, 4))

    @rule(
        node=_NODES,
        route=st.sampled_from(ROUTES),
        account=st.sampled_from(('tromsvik', 'viti')),
        key=st.sampled_from(('k1', 'k2')),
        wait_s=st.sampled_from((0.5, 5.0, 20.0)),
        count=st.integers(1, 3),
    )
    def ask(
        self,
        node: int,
        route: str,
        account: str,
        key: str,
        wait_s: float,
        count: int,
    ) -> None:
        """Submit requests; non-idempotent routes use one of two keys."""
        used_key = key if route in NON_IDEMPOTENT_ROUTES else ''
        for at in range(count):
            self.simulation.submit_request(
                (node + at) % NODES, route, account, used_key, wait_s
            )

    @precondition(lambda self: self.simulation.list_open())
    @rule(pick=_PICKS, steps=st.integers(1, TOKENS + 1))
    def progress(self, pick: int, steps: int) -> None:
        """Advance one attempt: send it, or produce tokens or its response."""
        attempt_id = self._pick_open(pick)
        for _ in range(steps):
            if attempt_id in self.simulation.list_open():
                self.simulation.step(attempt_id)

    @precondition(lambda self: self.simulation.list_open())
    @rule()
    def progress_all(self) -> None:
        """Advance every open attempt by one step."""
        for attempt_id in self.simulation.list_open():
            if attempt_id in self.simulation.list_open():
                self.simulation.step(attempt_id)

    @precondition(lambda self: self.simulation.list_open())
    @rule(
        pick=_PICKS,
        kind=st.sampled_from(('break', 'break', 'refuse')),
        stage=st.integers(-1, 2),
        ran=st.booleans(),
    )
    def fault(self, pick: int, kind: str, stage: int, ran: bool) -> None:
        """Fail a stage before or after it started, or refuse the attempt."""
        attempt_id = self._pick_open(pick)
        attempt = self.simulation.attempts[attempt_id]
        if kind == 'refuse':
            if attempt.sent and not attempt.ran:
                detail = 'leaving' if stage > 1 else 'full'
                refused = events.AttemptRefused(attempt_id, detail)
                attempt.refused = True
                self.simulation.apply(attempt.node, refused)
            return
        if attempt.sent and ran:
            self.simulation.run(attempt_id)
        failed = events.AttemptFailed(attempt_id, 'died', stage, attempt.sent)
        self.simulation.apply(attempt.node, failed)

    @precondition(lambda self: self._may_change_endpoint())
    @rule(
        pick=_PICKS,
        seconds=st.sampled_from((0.3, 3.0, 20.0, 1e20)),
        ran=st.booleans(),
    )
    def request_back_off(self, pick: int, seconds: float, ran: bool) -> None:
        """Answer an attempt with a refusal that asks for a back-off."""
        self._endpoint_changes += 1
        attempt_id = self._pick_open(pick)
        attempt = self.simulation.attempts[attempt_id]
        if attempt.ran:
            return
        if not attempt.sent:
            self.simulation.send(attempt_id)
        if ran:
            self.simulation.run(attempt_id)
        self.simulation.request_back_off(attempt_id, seconds)
        answer: object = events.AttemptRefused(attempt_id, 'full')
        if ran:
            answer = events.AttemptFailed(attempt_id, '503', is_alive=True)
        else:
            attempt.refused = True
        self.simulation.apply(attempt.node, answer)

    @precondition(lambda self: self._may_change_endpoint())
    @rule(pick=_PICKS, kind=st.sampled_from(('depart', 'depart', 'restart')))
    def replace_process(self, pick: int, kind: str) -> None:
        """Let a process say that it leaves, or start another one."""
        self._endpoint_changes += 1
        attempt_id = self._pick_open(pick)
        if kind == 'restart':
            self.simulation.restart_endpoint(attempt_id)
            return
        if not self.simulation.attempts[attempt_id].sent:
            self.simulation.send(attempt_id)
        self.simulation.depart(attempt_id)

    @precondition(lambda self: self.simulation.list_sent())
    @rule(pick=_PICKS, index=st.integers(0, TOKENS), epoch=st.integers(0, 2))
    def late_or_crossed(self, pick: int, index: int, epoch: int) -> None:
        """Deliver a token of a cancelled attempt, wrong epoch or index."""
        found = self.simulation.list_sent()
        attempt_id = found[pick % len(found)]
        attempt = self.simulation.attempts[attempt_id]
        self.simulation.run(attempt_id)
        is_current = epoch == attempt.command.epoch and not attempt.cancelled
        if is_current and index == attempt.next_token:
            return
        token = events.TokenArrived(attempt_id, epoch, index, FOREIGN_TEXT)
        self.simulation.apply(attempt.node, token)

    @precondition(lambda self: self.simulation.pending_claims)
    @rule(pick=_PICKS, kind=st.sampled_from(('write', 'lose', 'fail')))
    def claim(self, pick: int, kind: str) -> None:
        """Commit or fail a claim, or lose the reply to the commit."""
        claims = sorted(self.simulation.pending_claims)
        request_id = claims[pick % len(claims)]
        if kind == 'fail':
            self.simulation.fail_claim(request_id)
        else:
            self.simulation.commit_claim(request_id, lose_reply=kind == 'lose')

    @rule(alive=st.booleans())
    def settle(self, alive: bool) -> None:
        """Commit settled outcomes and answer probes."""
        self.simulation.commit_settlements()
        self.simulation.answer_probes(alive=alive)

    @rule(seconds=st.sampled_from((0.01, 0.6, 3.5, 12.0)))
    def wait(self, seconds: float) -> None:
        """Advance the clock, so that silent attempts time out."""
        self.simulation.advance_time(seconds)

    @precondition(lambda self: self.simulation.list_waiting())
    @rule(pick=_PICKS)
    def caller_leaves(self, pick: int) -> None:
        """Close a client's connection."""
        found = self.simulation.list_waiting()
        request_id = found[pick % len(found)]
        request = self.simulation.requests[request_id]
        request.has_left = True
        self.simulation.apply(
            request.node, events.ClientDisconnected(request_id)
        )

    @precondition(lambda self: self._disturbance_count < _MAX_DISTURBANCES)
    @rule(
        kind=st.sampled_from(DISTURBANCES),
        node=_NODES,
        pick=st.integers(0, 4),
        kinds=st.lists(st.integers(0, 4), max_size=3),
    )
    def upset(self, kind: str, node: int, pick: int, kinds: list[int]) -> None:
        """Apply a rare disturbance of the fleet or the configuration."""
        self._disturbance_count += 1
        if kind == 'leaves':
            self.simulation.mark_leaving(f'e{pick}')
        elif kind == 'reconfigure':
            self.simulation.configure((*kinds, 4, 4, 4))
        elif kind == 'restart':
            self.simulation.restart(node)
        else:
            self.simulation.apply(node, self._build_disturbance(kind, pick))

    @rule(node=_NODES)
    def trust(self, node: int) -> None:
        """Allow a node to serve again after it was isolated."""
        self.simulation.apply(node, events.ServingResumed())

    @invariant()
    def promises_hold(self) -> None:
        """Check all guarantees after every step."""
        check_guarantees(self.simulation)

    def _build_disturbance(self, kind: str, pick: int) -> object:
        if kind == 'doubt':
            return events.ServingSuspended('cut off')
        if kind == 'report':
            return events.LoadReported(f'e{pick}', pick, pick // 2)
        old = self.simulation.build((4,))
        old.version = max(0, self.simulation.version - 1)
        return events.ConfigurationAccepted(old)

    def _may_change_endpoint(self) -> bool:
        return bool(
            self._endpoint_changes < _MAX_ENDPOINT_CHANGES
            and self.simulation.list_open()
        )

    def _pick_open(self, pick: int) -> str:
        found = self.simulation.list_open()
        return found[pick % len(found)]
