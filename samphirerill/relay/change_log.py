"""Log of the latest store changes, from which other nodes are served."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from msgspec import msgpack

from samphirerill.fleet.revisions import get_era
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.change_rows import (
    ChangeBatch,
    ChangeRow,
    Snapshot,
    build_change_row,
    decode_row_text,
    is_large,
)
from samphirerill.relay.confirmation import Confirmation
from samphirerill.relay.stored_items import StoredItems

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Nodes that lack older changes are sent a snapshot or read the store.
_MAX_CHANGES = 2000
# Larger snapshots are left to the store: copies for all polling nodes would take
# longer than a configuration may take.
_MAX_SNAPSHOT_BYTES = 131_072
# Changes with a large text that are kept, up to 0.5 MB each.
_MAX_LARGE_CHANGES = 8
# A smaller gain is not worth a response to a polling node: its copy and this one
# were usually confirmed by the same response of the store.
_MIN_CONFIRMATION_GAIN_S = 0.1
_UNCONFIRMED = float('-inf')


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
        return isinstance(event, StoredItem) and is_large(event.text)

    def build_row(self) -> ChangeRow | None:
        """Return the encoded form; none if it would be too large.

        It is built once for all polling nodes.
        """
        if not self._is_built:
            self._is_built = True
            self._row = build_change_row(self.event, self.previous)
        return self._row


class ChangeLog:
    """Latest store changes in order of revision, and the current items.

    The items are needed to build deltas of large texts, and snapshots for nodes
    that lack older changes.

    Attributes
    ----------
    revision : int
        The store revision up to which the log is complete.
    confirmation : Confirmation
        When the store confirmed that nothing is missing.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.confirmation = Confirmation()
        self._compacted_revision = 0
        self._changes: deque[_Change] = deque()
        self._large_count = 0
        self._stored = StoredItems()
        self._changed = asyncio.Event()

    def reset(
        self,
        revision: int,
        found: Iterable[StoredItem] = (),
        confirmed_at: float = _UNCONFIRMED,
    ) -> None:
        """Discard the history after a full read of the store.

        Parameters
        ----------
        revision : int
            Revision of the read.
        found : iterable of StoredItem
            All existing keys.
        confirmed_at : float
            When the read began, on the loop's clock.
        """
        self._clear_changes(revision)
        self._stored.replace_all(found)
        self._advance(revision, confirmed_at)

    def append(self, changes: Changes) -> None:
        """Append changes.

        Those that lead into a later era are applied but not kept: a node that
        was ahead of this one in the earlier era would keep what was lost.
        """
        begins_era = get_era(changes.revision) > get_era(self.revision)
        if begins_era:
            self._clear_changes(changes.revision)
        for event in changes.events:
            if not begins_era:
                self._append_one(event)
            self._stored.apply(event)
        while self._is_over_limit():
            dropped = self._changes.popleft()
            self._large_count -= dropped.is_large
            self._compacted_revision = dropped.event.revision
        self._advance(changes.revision, changes.confirmed_at)

    def contains(self, after: int) -> bool:
        """Return whether all changes after a revision are in the log."""
        return self._compacted_revision <= after <= self.revision

    def is_compacted(self, after: int) -> bool:
        """Return whether changes after a revision have been dropped."""
        return after < self._compacted_revision

    async def wait(self, after: int, known_at: float, until: float) -> None:
        """Wait for changes, a later confirmation, a reset or the timeout.

        A log that has not reached the revision yet may do so meanwhile.

        Parameters
        ----------
        after : int
            The revision that the polling node has.
        known_at, until : float
            When its copy was confirmed, and when to give up, on the loop's
            clock.
        """
        try:
            async with asyncio.timeout_at(until):
                while not self._has_news(after, known_at):
                    await self._changed.wait()
        except TimeoutError:
            return

    def encode_changes(
        self, after: int, age_ms: int | None = None
    ) -> bytes | None:
        """Return the changes after a revision; none if too large.

        Parameters
        ----------
        after : int
            Revision of the other node.
        age_ms : int, optional
            Age of the confirmation that there are no further ones.
        """
        rows = []
        for change in self._changes:
            if change.event.revision <= after:
                continue
            row = change.build_row()
            if row is None:
                return None
            rows.append(row)
        return msgpack.encode(ChangeBatch(self.revision, rows, age_ms))

    def encode_snapshot(
        self, after: int, age_ms: int | None = None
    ) -> bytes | None:
        """Return the current items, without those that the other node has.

        Return none if that is too large, or if there are no items. It spares
        the store, and the links, a full read by each node when nodes start
        together, when the store is back, or when it has dropped its history.

        Parameters
        ----------
        after : int
            Revision of the other node; 0 for none.
        age_ms : int, optional
            Age of the confirmation that these items are the current ones.
        """
        if not self._stored or after > self.revision:
            return None
        missing = self._list_likely_missing(after)
        built = [self._stored.build_row(item) for item in missing]
        rows = [row for row in built if row is not None]
        if len(rows) < len(built):
            return None
        rows.sort(key=_get_revision)
        unchanged = self._stored.describe_others({item.key for item in missing})
        snapshot = msgpack.encode(
            Snapshot(self.revision, rows, unchanged, age_ms)
        )
        return snapshot if len(snapshot) <= _MAX_SNAPSHOT_BYTES else None

    def decode_snapshot(self, snapshot: Snapshot) -> Changes:
        """Return the changes that lead from this log to a snapshot.

        Raises
        ------
        IncompleteSnapshotError
            The snapshot leaves out an item that is not known here.
        DeltaError
            A delta refers to a text that is not known here.
        """
        written = list(self._decode_rows(snapshot.rows))
        unchanged = self._stored.find_unchanged(snapshot.unchanged)
        present = {event.key for event in (*written, *unchanged)}
        deleted = [
            DeletedKey(key, snapshot.revision)
            for key in self._stored.list_absent(present)
        ]
        if get_era(snapshot.revision) > get_era(self.revision):
            # Their revisions are of the later era, too.
            written = [*unchanged, *written]
        return Changes(snapshot.revision, [*written, *deleted])

    def decode(self, batch: ChangeBatch) -> Changes:
        """Return the changes in a batch from another log.

        Raises
        ------
        DeltaError
            A delta refers to a text that is not known here.
        """
        return Changes(batch.revision, list(self._decode_rows(batch.rows)))

    def _append_one(self, event: StoredItem | DeletedKey) -> None:
        change = _Change(event, self._stored.get_large_text(event.key))
        self._large_count += change.is_large
        self._changes.append(change)

    def _clear_changes(self, revision: int) -> None:
        """Drop the history before a revision, which may be of a later era."""
        if get_era(revision) > get_era(self.revision):
            self._stored.begin_era()
        self._changes.clear()
        self._large_count = 0
        self._compacted_revision = revision

    def _list_likely_missing(self, after: int) -> list[StoredItem]:
        """Return the items that a node at revision `after` is likely to lack.

        A node of an earlier era has what this one had before the restore.
        """
        if after and get_era(after) < get_era(self.revision):
            return self._stored.list_rewritten()
        return self._stored.list_after(after)

    def _decode_rows(
        self, rows: Iterable[ChangeRow]
    ) -> Iterator[StoredItem | DeletedKey]:
        texts: dict[str, bytes] = {}
        for row in rows:
            if row.text is None:
                texts.pop(row.key, None)
                yield DeletedKey(row.key, row.revision)
                continue
            previous = texts.get(row.key, self._stored.get_large_text(row.key))
            text = decode_row_text(row, row.text, previous)
            texts[row.key] = text
            yield StoredItem(row.key, row.revision, text, row.lease)

    def _is_over_limit(self) -> bool:
        return (
            len(self._changes) > _MAX_CHANGES
            or self._large_count > _MAX_LARGE_CHANGES
        )

    def _has_news(self, after: int, known_at: float) -> bool:
        """Return whether a polling node is to be answered."""
        if self._compacted_revision > after or self.revision > after:
            return True
        gain_s = self.confirmation.at - known_at
        return self.revision == after and gain_s > _MIN_CONFIRMATION_GAIN_S

    def _advance(self, revision: int, confirmed_at: float) -> None:
        is_confirmed = self.confirmation.renew(confirmed_at)
        if revision > self.revision or is_confirmed:
            self.revision = max(self.revision, revision)
            self._changed.set()
            self._changed = asyncio.Event()


def _get_revision(row: ChangeRow) -> int:
    return row.revision
