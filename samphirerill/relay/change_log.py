"""Log of the latest store changes, from which other nodes are served."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from msgspec import Struct, msgpack

from samphirerill.fleet.deltas import (
    DeltaError,
    apply_delta,
    build_delta,
    build_full_delta,
    pack_delta,
    unpack_delta,
)
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.replica_ids import checksum_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Nodes that lack older changes are sent a snapshot or read the store.
_MAX_CHANGES = 2000
# Larger texts are forwarded as a delta to the previous one, as sending a
# configuration to all polling nodes at once would saturate a slow link. A watcher
# with 20 Mbit/s sent 48 KB to 17 nodes: for 0.3 s nothing else got through, and
# it took replicas for dead.
_LARGE_BYTES = 4096
# Larger compressed deltas are left to the store: copies for all polling nodes
# would take longer than a configuration may take.
_MAX_DELTA_BYTES = 65_536
# Larger snapshots are left to the store, for the same reason.
_MAX_SNAPSHOT_BYTES = 131_072
# Changes with a large text that are kept, up to 0.5 MB each.
_MAX_LARGE_CHANGES = 8


class ChangeRow(Struct, array_like=True):
    """One change in encoded form.

    `text` is ``None`` if the key was deleted, and empty if `delta`, which is
    compressed, is to be applied to the previous text.
    """

    key: str
    revision: int
    text: bytes | None
    lease: int
    delta: bytes = b''


class ChangeBatch(Struct, array_like=True):
    """All changes after the requested revision, up to `revision`."""

    revision: int
    rows: list[ChangeRow]


class Snapshot(Struct, array_like=True):
    """State at `revision`, for nodes that lack the changes before it.

    `rows` are the keys written after the requested revision, `keys` the
    checksums of all existing keys; any other key has been deleted.
    """

    revision: int
    rows: list[ChangeRow]
    keys: list[int]


class _Change:
    """One change, and the previous text of its key if that was large."""

    __slots__ = ('_is_built', '_row', 'previous', 'event')

    def __init__(
        self, event: StoredItem | DeletedKey, previous: bytes | None
    ) -> None:
        self.event = event
        self.previous = previous
        self._row: ChangeRow | None = None
        self._is_built = False

    @property
    def is_large(self) -> bool:
        """Return whether the text is too large to be sent in full."""
        event = self.event
        return isinstance(event, StoredItem) and _is_large(event.text)

    def build_row(self) -> ChangeRow | None:
        """Return the encoded form; none if it would be too large.

        It is built once for all polling nodes.
        """
        if not self._is_built:
            self._is_built = True
            self._row = self._create_row()
        return self._row

    def _create_row(self) -> ChangeRow | None:
        event = self.event
        if isinstance(event, DeletedKey):
            return ChangeRow(event.key, event.revision, None, 0)
        if not self.is_large:
            return ChangeRow(event.key, event.revision, event.text, event.lease)
        if self.previous is None:
            return _build_full_row(event)
        delta = pack_delta(build_delta(self.previous, event.text))
        return _build_packed_row(event, delta)


class ChangeLog:
    """Latest store changes in order of revision, and the current items.

    The items are needed to build deltas of large texts, and snapshots for nodes
    that lack older changes.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._compacted_revision = 0
        self._changes: deque[_Change] = deque()
        self._large_count = 0
        self._current: dict[str, StoredItem] = {}
        # Encoded forms of large items, built once for all polling nodes.
        self._full_rows: dict[str, ChangeRow | None] = {}
        self._changed = asyncio.Event()

    def reset(self, revision: int, found: Iterable[StoredItem] = ()) -> None:
        """Discard the history after a full read of the store.

        Parameters
        ----------
        revision : int
            Revision of the read.
        found : iterable of StoredItem
            All existing keys.
        """
        self._changes.clear()
        self._full_rows.clear()
        self._large_count = 0
        self._current = {item.key: item for item in found}
        self._compacted_revision = revision
        self._advance(revision)

    def append(self, changes: Changes) -> None:
        """Append changes."""
        for event in changes.events:
            previous = self._get_large_text(event.key)
            self._current.pop(event.key, None)
            if isinstance(event, StoredItem):
                self._current[event.key] = event
            change = _Change(event, previous)
            self._large_count += change.is_large
            self._changes.append(change)
        while self._is_over_limit():
            dropped = self._changes.popleft()
            self._large_count -= dropped.is_large
            self._compacted_revision = dropped.event.revision
        self._advance(changes.revision)

    def contains(self, after: int) -> bool:
        """Return whether all changes after a revision are in the log."""
        return self._compacted_revision <= after <= self.revision

    def is_compacted(self, after: int) -> bool:
        """Return whether changes after a revision have been dropped."""
        return after < self._compacted_revision

    async def wait(self, after: int, timeout_s: float) -> None:
        """Wait for changes after a revision, a reset or a timeout.

        A log that has not reached that revision yet may do so meanwhile.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while (
                    self._compacted_revision <= after and self.revision <= after
                ):
                    await self._changed.wait()
        except TimeoutError:
            return

    def encode_changes(self, after: int) -> bytes | None:
        """Return the changes after a revision; none if too large."""
        rows = []
        for change in self._changes:
            if change.event.revision <= after:
                continue
            row = change.build_row()
            if row is None:
                return None
            rows.append(row)
        return msgpack.encode(ChangeBatch(self.revision, rows))

    def encode_snapshot(self, after: int) -> bytes | None:
        """Return the current items that were written after a revision.

        Return none if that is too large, or if there are no items. It spares
        the store, and the links, a full read by each node when nodes start
        together, when the store is back, or when it has dropped its history.
        """
        rows = []
        for item in self._current.values():
            if item.revision <= after:
                continue
            row = self._build_item_row(item)
            if row is None:
                return None
            rows.append(row)
        if not self._current or after > self.revision:
            return None
        rows.sort(key=_get_revision)
        keys = [checksum_name(key) for key in self._current]
        snapshot = msgpack.encode(Snapshot(self.revision, rows, keys))
        return snapshot if len(snapshot) <= _MAX_SNAPSHOT_BYTES else None

    def decode_snapshot(self, snapshot: Snapshot) -> Changes:
        """Return the changes that lead from this log to a snapshot."""
        keys = set(snapshot.keys)
        deleted = [
            DeletedKey(key, snapshot.revision)
            for key in self._current
            if checksum_name(key) not in keys
        ]
        written = list(self._decode_rows(snapshot.rows))
        return Changes(snapshot.revision, [*written, *deleted])

    def decode(self, batch: ChangeBatch) -> Changes:
        """Return the changes in a batch from another log.

        Raises
        ------
        DeltaError
            A delta refers to a text that is not known here.
        """
        return Changes(batch.revision, list(self._decode_rows(batch.rows)))

    def _build_item_row(self, item: StoredItem) -> ChangeRow | None:
        """Return an item in encoded form; none if it would be too large."""
        if not _is_large(item.text):
            return ChangeRow(item.key, item.revision, item.text, item.lease)
        known = self._full_rows.get(item.key)
        if known is None or known.revision != item.revision:
            self._full_rows[item.key] = _build_full_row(item)
        return self._full_rows[item.key]

    def _decode_rows(
        self, rows: Iterable[ChangeRow]
    ) -> Iterator[StoredItem | DeletedKey]:
        texts: dict[str, bytes] = {}
        for row in rows:
            if row.text is None:
                texts.pop(row.key, None)
                yield DeletedKey(row.key, row.revision)
                continue
            text = row.text
            if row.delta:
                previous = texts.get(row.key, self._get_large_text(row.key))
                text = _apply_row_delta(row.key, previous, row.delta)
            texts[row.key] = text
            yield StoredItem(row.key, row.revision, text, row.lease)

    def _get_large_text(self, key: str) -> bytes | None:
        """Return the current text of a key, if it is large."""
        item = self._current.get(key)
        is_large = item is not None and _is_large(item.text)
        return item.text if item is not None and is_large else None

    def _is_over_limit(self) -> bool:
        return (
            len(self._changes) > _MAX_CHANGES
            or self._large_count > _MAX_LARGE_CHANGES
        )

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self._changed.set()
            self._changed = asyncio.Event()


def _build_full_row(item: StoredItem) -> ChangeRow | None:
    """Return a row with the whole text; none if it would be too large."""
    return _build_packed_row(item, pack_delta(build_full_delta(item.text)))


def _build_packed_row(item: StoredItem, delta: bytes) -> ChangeRow | None:
    if len(delta) > _MAX_DELTA_BYTES:
        return None
    return ChangeRow(item.key, item.revision, b'', item.lease, delta)


def _apply_row_delta(key: str, previous: bytes | None, packed: bytes) -> bytes:
    delta = unpack_delta(packed)
    if previous is None and delta.base:
        raise DeltaError(f'{key}: got a delta, but its base text is not known')
    return apply_delta(previous or b'', delta)


def _is_large(text: bytes) -> bool:
    return len(text) >= _LARGE_BYTES


def _get_revision(row: ChangeRow) -> int:
    return row.revision
