"""Stateful fuzzing of the decision core against the oracle.

Few rules, each of many kinds: hypothesis picks between rules evenly, so rare
upsets share one rule and a bounded number, or they would drown the work that
they are meant to upset.
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
from samphirerill.properties.oracle import check_world
from samphirerill.properties.world import CROSSED, TOKENS, World
from samphirerill.testing.memory_store import MemoryStore

NODES = 2
ROUTES = ('plans', 'fittings', 'once', 'lookups', 'notices')
KEYED_ROUTES = frozenset(('once', 'notices'))
UPSETS = ('leaves', 'reconfigure', 'restart', 'doubt', 'stale', 'report')
_MOST_UPSETS = 4
_PICKS = st.integers(0, 1000)
_NODES = st.integers(0, NODES - 1)


class RouterMachine(RuleBasedStateMachine):
    """Two nodes under every fault of the brief, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = World(NODES, MemoryStore())
        self._upsets = 0

    @initialize()
    def configure_first(self) -> None:
        """Accept a first configuration."""
        self.world.configure((0, 1, 2, 3, 4))

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
        """Callers ask; non-idempotent routes get one of few keys."""
        used = key if route in KEYED_ROUTES else ''
        for at in range(count):
            self.world.ask((node + at) % NODES, route, account, used, wait_s)

    @precondition(lambda self: self.world.list_open())
    @rule(pick=_PICKS, steps=st.integers(1, TOKENS + 1))
    def progress(self, pick: int, steps: int) -> None:
        """One attempt is sent, runs, gives next tokens or its answer."""
        attempt_id = self._pick_open(pick)
        for _ in range(steps):
            if attempt_id in self.world.list_open():
                self.world.step(attempt_id)

    @precondition(lambda self: self.world.list_open())
    @rule()
    def progress_all(self) -> None:
        """Every attempt takes one step."""
        for attempt_id in self.world.list_open():
            if attempt_id in self.world.list_open():
                self.world.step(attempt_id)

    @precondition(lambda self: self.world.list_open())
    @rule(
        pick=_PICKS,
        kind=st.sampled_from(('break', 'break', 'refuse')),
        stage=st.integers(-1, 2),
        ran=st.booleans(),
    )
    def fault(self, pick: int, kind: str, stage: int, ran: bool) -> None:
        """A stage dies, before or after it started, or refuses."""
        attempt_id = self._pick_open(pick)
        work = self.world.work[attempt_id]
        if kind == 'refuse':
            if work.sent and not work.ran:
                detail = 'leaving' if stage > 1 else 'full'
                refused = events.AttemptRefused(attempt_id, detail)
                work.refused = True
                self.world.apply(work.node, refused)
            return
        if work.sent and ran:
            self.world.run(attempt_id)
        broke = events.AttemptBroke(attempt_id, 'died', stage, work.sent)
        self.world.apply(work.node, broke)

    @precondition(lambda self: self.world.list_sent())
    @rule(pick=_PICKS, index=st.integers(0, TOKENS), epoch=st.integers(0, 2))
    def late_or_crossed(self, pick: int, index: int, epoch: int) -> None:
        """An attempt that is gone, or another epoch, gives a token."""
        found = self.world.list_sent()
        attempt_id = found[pick % len(found)]
        work = self.world.work[attempt_id]
        self.world.run(attempt_id)
        is_own = epoch == work.command.epoch and not work.cancelled
        if is_own and index == work.next_token:
            return
        token = events.TokenArrived(attempt_id, epoch, index, CROSSED)
        self.world.apply(work.node, token)

    @precondition(lambda self: self.world.claims)
    @rule(pick=_PICKS, kind=st.sampled_from(('write', 'lose', 'fail')))
    def claim(self, pick: int, kind: str) -> None:
        """The platform's service handles a claim, or loses its reply."""
        claims = sorted(self.world.claims)
        request_id = claims[pick % len(claims)]
        if kind == 'fail':
            self.world.fail_claim(request_id)
        else:
            self.world.write_claim(request_id, lose_reply=kind == 'lose')

    @rule(alive=st.booleans())
    def settle(self, alive: bool) -> None:
        """Outcomes are recorded and probes answered."""
        self.world.write_settlements()
        self.world.answer_probes(alive=alive)

    @rule(seconds=st.sampled_from((0.01, 0.6, 3.5, 12.0)))
    def wait(self, seconds: float) -> None:
        """Time passes; silent attempts are noticed."""
        self.world.pass_time(seconds)

    @precondition(lambda self: self.world.list_waiting())
    @rule(pick=_PICKS)
    def caller_leaves(self, pick: int) -> None:
        """A caller closes its connection."""
        found = self.world.list_waiting()
        request_id = found[pick % len(found)]
        asked = self.world.asked[request_id]
        asked.left = True
        self.world.apply(asked.node, events.CallerLeft(request_id))

    @precondition(lambda self: self._upsets < _MOST_UPSETS)
    @rule(
        kind=st.sampled_from(UPSETS),
        node=_NODES,
        pick=st.integers(0, 4),
        kinds=st.lists(st.integers(0, 4), max_size=3),
    )
    def upset(self, kind: str, node: int, pick: int, kinds: list[int]) -> None:
        """Something befalls the fleet."""
        self._upsets += 1
        if kind == 'leaves':
            self.world.leave(f'e{pick}')
        elif kind == 'reconfigure':
            self.world.configure((*kinds, 4, 4, 4))
        elif kind == 'restart':
            self.world.restart(node)
        else:
            self.world.apply(node, self._build_upset(kind, pick))

    @rule(node=_NODES)
    def trust(self, node: int) -> None:
        """A node that was cut off hears from the others again."""
        self.world.apply(node, events.ServingAllowed())

    @invariant()
    def promises_hold(self) -> None:
        """No promise is broken, at any step."""
        check_world(self.world)

    def _build_upset(self, kind: str, pick: int) -> object:
        if kind == 'doubt':
            return events.ServingForbidden('cut off')
        if kind == 'report':
            return events.LoadReported(f'e{pick}', pick, pick // 2)
        old = self.world.build((4,))
        old.version = max(0, self.world.version - 1)
        return events.ConfigurationAccepted(old)

    def _pick_open(self, pick: int) -> str:
        found = self.world.list_open()
        return found[pick % len(found)]
