"""Stateful fuzzing of change logs that follow a store with restores."""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from msgspec import msgpack

from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.revisions import (
    build_revision,
    get_era,
    get_number,
)
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_rows import ChangeBatch, Snapshot

_NODES = 3
_KEYS = strategies.sampled_from(('a', 'b', 'c', 'd'))
# Some texts are large enough to be sent as deltas.
_TEXTS = strategies.sampled_from((b'1', b'2', b'3' * 5000, b'4' * 5000))
_NODE = strategies.integers(0, _NODES - 1)


@dataclass(slots=True)
class _Store:
    """The keys, the history of an era, and a copy."""

    era: int = 0
    number: int = 0
    stored: dict[str, StoredItem] = field(default_factory=dict)
    events: list[StoredItem | DeletedKey] = field(default_factory=list)

    @property
    def revision(self) -> int:
        """Return the current revision."""
        return build_revision(self.era, self.number)

    def take_copy(self) -> tuple[int, dict[str, StoredItem]]:
        """Return what a restore needs."""
        return self.number, dict(self.stored)

    def restore(self, copy: tuple[int, dict[str, StoredItem]]) -> None:
        """Begin another era, in which revisions are given out again."""
        self.era += 1
        number, stored = copy
        self.number = number
        self.stored = {
            key: StoredItem(
                key,
                build_revision(self.era, get_number(item.revision)),
                item.text,
            )
            for key, item in stored.items()
        }
        self.events = []

    def put(self, key: str, text: bytes) -> None:
        """Write a key."""
        self.number += 1
        self.stored[key] = StoredItem(key, self.revision, text)
        self.events.append(self.stored[key])

    def delete(self, key: str) -> None:
        """Delete a key that exists."""
        if self.stored.pop(key, None) is not None:
            self.number += 1
            self.events.append(DeletedKey(key, self.revision))


class _Node:
    """A log, and the texts that its changes add up to."""

    def __init__(self) -> None:
        self.log = ChangeLog()
        self.texts: dict[str, bytes] = {}

    def read(self, store: _Store) -> None:
        """Watch the store, or list all keys if the watch can't continue."""
        if self.log.revision and get_era(self.log.revision) == store.era:
            after = self.log.revision
            events = [item for item in store.events if item.revision > after]
            self.apply(Changes(store.revision, events))
            return
        found = list(store.stored.values())
        self.log.reset(store.revision, found)
        self.texts = {item.key: item.text for item in found}

    def poll(self, other: _Node) -> bool:
        """Poll another node; return whether it could serve this one."""
        after = self.log.revision
        try:
            if other.log.contains(after):
                encoded = other.log.encode_changes(after) or b''
                batch = msgpack.decode(encoded, type=ChangeBatch)
                self.apply(self.log.decode(batch))
                return True
            encoded = other.log.encode_snapshot(after) or b''
            if encoded:
                snapshot = msgpack.decode(encoded, type=Snapshot)
                self.apply(self.log.decode_snapshot(snapshot))
        except DeltaError:
            return False
        return bool(encoded)

    def apply(self, changes: Changes) -> None:
        """Apply changes."""
        self.log.append(changes)
        for event in changes.events:
            if isinstance(event, StoredItem):
                self.texts[event.key] = event.text
            else:
                self.texts.pop(event.key, None)


class LogMachine(RuleBasedStateMachine):
    """Nodes watch the store or poll each other, in any order."""

    @initialize()
    def start(self) -> None:
        """Start with nodes that know nothing."""
        self.store = _Store()
        self.store.put('a', b'1')
        self.copy = self.store.take_copy()
        self.nodes = [_Node() for _ in range(_NODES)]

    @rule(key=_KEYS, text=_TEXTS)
    def write(self, key: str, text: bytes) -> None:
        """Write a key."""
        self.store.put(key, text)

    @rule(key=_KEYS)
    def delete(self, key: str) -> None:
        """Delete a key."""
        self.store.delete(key)

    @rule()
    def take_copy(self) -> None:
        """Take a copy of the store."""
        self.copy = self.store.take_copy()

    @rule()
    def restore(self) -> None:
        """Restore the store."""
        self.store.restore(self.copy)

    @rule(node=_NODE, key=_KEYS, text=_TEXTS)
    def lose_write(self, node: int, key: str, text: bytes) -> None:
        """Lose a write that one node has seen."""
        copy = self.store.take_copy()
        self.store.put(key, text)
        self.nodes[node].read(self.store)
        self.store.restore(copy)

    @rule(node=_NODE)
    def watch(self, node: int) -> None:
        """Let a node read from the store."""
        self.nodes[node].read(self.store)
        self.assert_current(self.nodes[node])

    @rule(node=_NODE, other=_NODE)
    def poll(self, node: int, other: int) -> None:
        """Let a node poll one that has just read from the store."""
        if node == other:
            return
        self.nodes[other].read(self.store)
        if self.nodes[node].poll(self.nodes[other]):
            self.assert_current(self.nodes[node])

    @rule(node=_NODE, other=_NODE)
    def poll_outdated(self, node: int, other: int) -> None:
        """Let a node poll one that may be behind."""
        before = self.nodes[node].log.revision
        if node != other and self.nodes[other].log.revision:
            self.nodes[node].poll(self.nodes[other])
        assert self.nodes[node].log.revision >= before

    @invariant()
    def one_revision_has_one_state(self) -> None:
        """Nodes at the same revision know the same."""
        known: dict[int, dict[str, bytes]] = {}
        for node in getattr(self, 'nodes', ()):
            texts = known.setdefault(node.log.revision, node.texts)
            assert texts == node.texts

    def assert_current(self, node: _Node) -> None:
        """Check that a node knows what the store holds."""
        expected = {key: item.text for key, item in self.store.stored.items()}
        assert node.texts == expected
        assert node.log.revision == self.store.revision


TestLogMachine = LogMachine.TestCase
TestLogMachine.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
