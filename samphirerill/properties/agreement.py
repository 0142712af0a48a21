"""Stateful fuzzing of what is agreed through the platform's service.

Operators race with patches through nodes whose views are late; the service
loses answers; changes reach nodes in any order, twice, from the service or a
peer; nodes are replaced; commanders are paused past their lease. The oracle
keeps its own list of what was accepted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from samphirerill.backends.store import Absent, Put, Transaction
from samphirerill.control.configuration_log import (
    ConfigurationLog,
    Loaded,
    StaleBaseError,
)
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.orders import LEASE_S, Tenure
from samphirerill.properties.oracle import expect
from samphirerill.testing.kv_rules import Rules
from samphirerill.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 3
_PREFIX = '/p/'
_OFFICE = '/p/shared/commander'
_NODES = st.integers(0, NODES - 1)


class UnreliableStore(MemoryStore):
    """Loses the answers to its next commits, as often as told."""

    def __init__(self, rules: Rules) -> None:
        super().__init__(rules)
        self.lose_next = 0
        self.before_commit: Callable[[], None] | None = None

    def commit(self, transaction: Transaction) -> Any:
        """Commit; another may come just before, the answer may be lost."""
        race = self.before_commit
        self.before_commit = None
        if race is not None:
            race()
        if self.lose_next:
            self.lose_next -= 1
            self.lose_replies = 1
        return super().commit(transaction)


class FuzzedNode:
    """One node: its client of the service, its view, its tenure."""

    def __init__(self, name: str, rules: Rules) -> None:
        self.name = name
        self.store = UnreliableStore(rules)
        self.log = ConfigurationLog(self.store, _PREFIX, settle_pause_s=0)
        self.view = ConfigurationView()
        self.tenure: Tenure | None = None
        self.lease = ''
        self.newest = 0


class AgreementMachine(RuleBasedStateMachine):
    """Three nodes, racing operators and an unreliable service."""

    def __init__(self) -> None:
        super().__init__()
        self.service = Rules()
        self.now = 0.0
        self.starts = 0
        self.nodes = [self._start_node() for _ in range(NODES)]
        self.accepted: dict[int, str] = {}
        self.number = 0
        self.reads: list[Loaded] = []

    @rule(node=_NODES, lose=st.integers(0, 2), rival=st.booleans())
    def submit(self, node: int, lose: int, rival: bool) -> None:
        """An operator patches what one node shows; a rival may be quicker."""
        chosen = self.nodes[node]
        base = chosen.view.version
        if rival:
            other = self.nodes[(node + 1) % NODES]
            chosen.store.before_commit = lambda: self._submit(other, base, 0)
        self._submit(chosen, base, lose)

    @rule(node=_NODES)
    def read_whole(self, node: int) -> None:
        """A node reads the whole configuration, as at its start."""
        loaded = self.nodes[node].log.load()
        self.reads.append(loaded)
        self.nodes[node].view.install(loaded.version, loaded.document)

    @rule(node=_NODES, pick=st.integers(0, 50))
    def read_stale(self, node: int, pick: int) -> None:
        """A read that was answered long ago arrives only now."""
        if self.reads:
            loaded = self.reads[pick % len(self.reads)]
            self.nodes[node].view.install(loaded.version, loaded.document)

    @rule(node=_NODES, picks=st.lists(st.integers(0, 50), max_size=4))
    def hear_changes(self, node: int, picks: list[int]) -> None:
        """Changes reach a node in any order, some of them twice."""
        changes = self._read_log()
        for pick in picks:
            if changes:
                change = changes[pick % len(changes)]
                self.nodes[node].view.offer(change)

    @rule(node=_NODES, peer=_NODES)
    def hear_peer(self, node: int, peer: int) -> None:
        """A peer tells what a node lacks, or the whole."""
        theirs = self.nodes[peer].view
        ours = self.nodes[node].view
        if theirs.version <= ours.version:
            return
        changes = theirs.list_after(ours.version)
        if changes is None:
            ours.install(theirs.version, theirs.document)
            return
        for change in changes:
            ours.offer(change)

    @rule(node=_NODES)
    def replace(self, node: int) -> None:
        """A node is killed and another takes its place."""
        self.nodes[node] = self._start_node()

    @rule(node=_NODES, delay_s=st.sampled_from((0.0, 0.5, 3.0)))
    def hold_office(self, node: int, delay_s: float) -> None:
        """A node tries to become the commander, or renews; answers are slow.

        A node for which this rule is not drawn is paused, unaware.
        """
        chosen = self.nodes[node]
        asked_at = self.now
        if chosen.tenure is None:
            self._win_office(chosen, asked_at, delay_s)
            return
        answer = self.service.keep_alive({'ID': chosen.lease}, self.now)
        self._pass(delay_s)
        if int(answer['result']['TTL']) > 0:
            chosen.tenure.renew(asked_at)
        else:
            chosen.tenure = None

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 15.0)))
    def wait(self, seconds: float) -> None:
        """Time passes; leases lapse."""
        self._pass(seconds)

    @invariant()
    def views_follow_what_was_accepted(self) -> None:
        """No node shows what nobody accepted, or goes back."""
        truth = self._read_truth()
        for node in self.nodes:
            version = node.view.version
            expect(version >= node.newest, f'{node.name} went back')
            node.newest = version
            shown = sorted(node.view.document.get('accounts', {}))
            wanted = sorted(truth[at] for at in truth if at <= version)
            expect(shown == wanted, f'{node.name}: {shown}, not {wanted}')

    @invariant()
    def one_commander_at_a_time(self) -> None:
        """Of all nodes, at most one may order an engine without fencing."""
        commanding = [
            node.name
            for node in self.nodes
            if node.tenure is not None
            and node.tenure.may_order(self.now, checks_fencing=False)
        ]
        expect(len(commanding) <= 1, f'{commanding} command at once')

    def _win_office(
        self, node: FuzzedNode, asked_at: float, delay_s: float
    ) -> None:
        node.lease = self.service.grant({'TTL': LEASE_S}, self.now)['ID']
        office = Transaction(
            conditions=[Absent(_OFFICE)],
            puts=[Put(_OFFICE, node.name, node.lease)],
        )
        done = MemoryStore(self.service).commit(office)
        self._pass(delay_s)
        if done.succeeded:
            node.tenure = Tenure.begin(done.revision, asked_at, self.now)

    def _submit(self, node: FuzzedNode, base: int, lose: int) -> None:
        self.number += 1
        mark = f'mark-{self.number}'
        node.store.lose_next = lose
        try:
            change = node.log.submit(
                self._build_patch(base, mark), base, 'operator'
            )
        except StaleBaseError as exc:
            expect(base != exc.current, f'{mark} refused as stale by {exc}')
            held = self._read_truth().get(base + 1)
            expect(held not in {None, mark}, f'{mark} refused, but is in force')
            return
        finally:
            node.store.lose_next = 0
            node.store.before_commit = None
        taken = self.accepted.get(change.version)
        expect(taken is None, f'{mark} accepted over {taken}')
        self.accepted[change.version] = mark

    def _build_patch(self, base: int, mark: str) -> list[dict[str, Any]]:
        account = {'keys': [f'sha256:{self.number:064x}'], 'routes': []}
        if base == 0:
            whole = {'accounts': {mark: account}}
            return [{'op': 'replace', 'path': '', 'value': whole}]
        place = f'/accounts/{mark}'
        return [{'op': 'add', 'path': place, 'value': account}]

    def _read_log(self) -> list[Any]:
        log = ConfigurationLog(MemoryStore(self.service), _PREFIX)
        return log.read_changes(0)

    def _read_truth(self) -> dict[int, str]:
        """Return the marks in the log; they bear out what operators heard."""
        marks = {}
        for change in self._read_log():
            operation = change.patch[0]
            mark = operation['path'].rpartition('/')[2]
            marks[change.version] = mark or next(
                iter(operation['value']['accounts'])
            )
        for version, mark in self.accepted.items():
            expect(marks.get(version) == mark, f'{mark} was lost')
        return marks

    def _pass(self, seconds: float) -> None:
        self.now += seconds
        self.service.expire(self.now)

    def _start_node(self) -> FuzzedNode:
        self.starts += 1
        return FuzzedNode(f'n{self.starts}', self.service)
