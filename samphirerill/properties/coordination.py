"""Stateful tests of configuration replication and leader election.

Operators submit concurrent patches through nodes with stale views; the store
loses replies; changes reach nodes out of order or twice, from the store or from
peers; nodes are replaced; leaders are paused past their lease. The test keeps
its own record of the accepted patches.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from samphirerill.backends.store import KeyAbsent, Put, Transaction
from samphirerill.control.configuration_log import (
    ConfigurationLog,
    LoadedConfiguration,
    StaleBaseError,
)
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.orders import LEASE_S, LeaderTerm
from samphirerill.properties.oracle import expect
from samphirerill.testing.etcd_state import EtcdState
from samphirerill.testing.memory_store import MemoryStore

if TYPE_CHECKING:
    from collections.abc import Callable

NODES = 3
_PREFIX = '/p/'
_LEADER_KEY = '/p/shared/commander'
_NODES = st.integers(0, NODES - 1)


class FaultyStore(MemoryStore):
    """A store that loses the replies to a given number of commits."""

    def __init__(self, state: EtcdState) -> None:
        super().__init__(state)
        self.replies_to_lose = 0
        self.before_commit: Callable[[], None] | None = None

    def commit(self, transaction: Transaction) -> Any:
        """Run the concurrent write, then commit; the reply may be lost."""
        concurrent_write = self.before_commit
        self.before_commit = None
        if concurrent_write is not None:
            concurrent_write()
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            self.lose_replies = 1
        return super().commit(transaction)


class NodeModel:
    """A node's store client, configuration view and leadership term."""

    def __init__(self, name: str, state: EtcdState) -> None:
        self.name = name
        self.store = FaultyStore(state)
        self.log = ConfigurationLog(self.store, _PREFIX, retry_pause_s=0)
        self.view = ConfigurationView()
        self.term: LeaderTerm | None = None
        self.lease = ''
        self.highest_version = 0


class CoordinationMachine(RuleBasedStateMachine):
    """Three nodes, concurrent operators and an unreliable store."""

    def __init__(self) -> None:
        super().__init__()
        self.store_state = EtcdState()
        self.now = 0.0
        self.start_count = 0
        self.nodes = [self._start_node() for _ in range(NODES)]
        self.accepted: dict[int, str] = {}
        self.patch_count = 0
        self.past_reads: list[LoadedConfiguration] = []

    @rule(node=_NODES, lose=st.integers(0, 2), rival=st.booleans())
    def submit(self, node: int, lose: int, rival: bool) -> None:
        """Submit a patch based on a node's view, maybe after a concurrent one."""
        chosen = self.nodes[node]
        base = chosen.view.version
        if rival:
            other = self.nodes[(node + 1) % NODES]
            chosen.store.before_commit = lambda: self._submit(other, base, 0)
        self._submit(chosen, base, lose)

    @rule(node=_NODES)
    def read_whole(self, node: int) -> None:
        """Load the full configuration on a node, as at startup."""
        loaded = self.nodes[node].log.load()
        self.past_reads.append(loaded)
        self.nodes[node].view.replace_document(loaded.version, loaded.document)

    @rule(node=_NODES, pick=st.integers(0, 50))
    def read_stale(self, node: int, pick: int) -> None:
        """Deliver the result of an earlier read with a delay."""
        if self.past_reads:
            loaded = self.past_reads[pick % len(self.past_reads)]
            self.nodes[node].view.replace_document(
                loaded.version, loaded.document
            )

    @rule(node=_NODES, picks=st.lists(st.integers(0, 50), max_size=4))
    def hear_changes(self, node: int, picks: list[int]) -> None:
        """Deliver changes to a node out of order, some of them twice."""
        changes = self._read_log()
        for pick in picks:
            if changes:
                change = changes[pick % len(changes)]
                self.nodes[node].view.apply_change(change)

    @rule(node=_NODES, peer=_NODES)
    def hear_peer(self, node: int, peer: int) -> None:
        """Send a node the changes it lacks, or the full document."""
        theirs = self.nodes[peer].view
        ours = self.nodes[node].view
        if theirs.version <= ours.version:
            return
        changes = theirs.list_changes_after(ours.version)
        if changes is None:
            ours.replace_document(theirs.version, theirs.document)
            return
        for change in changes:
            ours.apply_change(change)

    @rule(node=_NODES)
    def replace(self, node: int) -> None:
        """Kill a node and start a new one in its place."""
        self.nodes[node] = self._start_node()

    @rule(node=_NODES, delay_s=st.sampled_from((0.0, 0.5, 3.0)))
    def hold_office(self, node: int, delay_s: float) -> None:
        """Let a node campaign for leadership or renew it, with a delay.

        A leader for which this rule is not drawn behaves like a paused
        process: it does not renew its lease.
        """
        chosen = self.nodes[node]
        asked_at = self.now
        if chosen.term is None:
            self._campaign(chosen, asked_at, delay_s)
            return
        answer = self.store_state.keep_alive({'ID': chosen.lease}, self.now)
        self._advance_time(delay_s)
        if int(answer['result']['TTL']) > 0:
            chosen.term.renew(asked_at)
        else:
            chosen.term = None

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0, 15.0)))
    def wait(self, seconds: float) -> None:
        """Advance the clock and expire leases."""
        self._advance_time(seconds)

    @invariant()
    def views_follow_what_was_accepted(self) -> None:
        """Check that views only show accepted changes and never revert."""
        accepted = self._read_accepted()
        for node in self.nodes:
            version = node.view.version
            expect(
                version >= node.highest_version,
                f'{node.name} reverted to version {version}',
            )
            node.highest_version = version
            actual = sorted(node.view.document.get('accounts', {}))
            expected = sorted(accepted[at] for at in accepted if at <= version)
            expect(
                actual == expected,
                f'{node.name} shows {actual}, accepted: {expected}',
            )

    @invariant()
    def one_commander_at_a_time(self) -> None:
        """Check that at most one node may give orders without fencing."""
        leaders = [
            node.name
            for node in self.nodes
            if node.term is not None
            and node.term.may_send_orders(self.now, checks_fencing=False)
        ]
        expect(len(leaders) <= 1, f'several leaders at once: {leaders}')

    def _campaign(
        self, node: NodeModel, asked_at: float, delay_s: float
    ) -> None:
        node.lease = self.store_state.grant({'TTL': LEASE_S}, self.now)['ID']
        campaign = Transaction(
            conditions=[KeyAbsent(_LEADER_KEY)],
            puts=[Put(_LEADER_KEY, node.name, node.lease)],
        )
        result = MemoryStore(self.store_state).commit(campaign)
        self._advance_time(delay_s)
        if result.succeeded:
            node.term = LeaderTerm.start(result.revision, asked_at, self.now)

    def _submit(self, node: NodeModel, base: int, lose: int) -> None:
        self.patch_count += 1
        patch_name = f'mark-{self.patch_count}'
        node.store.replies_to_lose = lose
        try:
            change = node.log.submit(
                self._build_patch(base, patch_name), base, 'operator'
            )
        except StaleBaseError as exc:
            expect(
                base != exc.current, f'{patch_name} was refused as stale: {exc}'
            )
            accepted_patch = self._read_accepted().get(base + 1)
            expect(
                accepted_patch not in {None, patch_name},
                f'{patch_name} was refused, but is in force',
            )
            return
        finally:
            node.store.replies_to_lose = 0
            node.store.before_commit = None
        existing = self.accepted.get(change.version)
        expect(
            existing is None,
            f'{patch_name} was accepted with the version of {existing}',
        )
        self.accepted[change.version] = patch_name

    def _build_patch(self, base: int, patch_name: str) -> list[dict[str, Any]]:
        account = {'keys': [f'sha256:{self.patch_count:064x}'], 'routes': []}
        if base == 0:
            whole = {'accounts': {patch_name: account}}
            return [{'op': 'replace', 'path': '', 'value': whole}]
        path = f'/accounts/{patch_name}'
        return [{'op': 'add', 'path': path, 'value': account}]

    def _read_log(self) -> list[Any]:
        log = ConfigurationLog(MemoryStore(self.store_state), _PREFIX)
        return log.read_changes(0)

    def _read_accepted(self) -> dict[int, str]:
        """Return the patch names in the log by version.

        Also checks that no patch is lost whose acceptance was confirmed to an
        operator.
        """
        patch_names = {}
        for change in self._read_log():
            operation = change.patch[0]
            patch_name = operation['path'].rpartition('/')[2]
            patch_names[change.version] = patch_name or next(
                iter(operation['value']['accounts'])
            )
        for version, patch_name in self.accepted.items():
            expect(
                patch_names.get(version) == patch_name,
                f'accepted patch {patch_name} is lost',
            )
        return patch_names

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds
        self.store_state.expire(self.now)

    def _start_node(self) -> NodeModel:
        self.start_count += 1
        return NodeModel(f'n{self.start_count}', self.store_state)
