"""The current items of the store, as a node knows them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from samphirerill.fleet.deltas import DeltaError
from samphirerill.platform.store import StoredItem
from samphirerill.relay.change_rows import (
    ChangeRow,
    UnchangedItem,
    build_item_row,
    is_large,
)
from samphirerill.relay.replica_ids import checksum_name

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from samphirerill.platform.store import DeletedKey


class IncompleteSnapshotError(DeltaError):
    """A snapshot leaves out an item that is not known here."""


class StoredItems:
    """All keys of the store with their current items.

    Also remembers which texts have changed since the store was restored from a
    copy, as nodes that are still in the earlier era lack just these.
    """

    __slots__ = ('_by_key', '_full_rows', '_rewritten')

    def __init__(self) -> None:
        self._by_key: dict[str, StoredItem] = {}
        self._rewritten: set[str] = set()
        # Encoded forms of large items, built once for all polling nodes.
        self._full_rows: dict[str, ChangeRow | None] = {}

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._by_key)

    def begin_era(self) -> None:
        """Forget what has changed before the store was restored."""
        self._rewritten.clear()

    def replace_all(self, found: Iterable[StoredItem]) -> None:
        """Replace all items by those of a full read of the store."""
        previous = self._by_key
        self._full_rows.clear()
        self._by_key = {item.key: item for item in found}
        self._rewritten &= self._by_key.keys()
        self._rewritten.update(
            key
            for key, item in self._by_key.items()
            if not _has_same_text(previous.get(key), item)
        )

    def apply(self, event: StoredItem | DeletedKey) -> None:
        """Apply one change."""
        if not isinstance(event, StoredItem):
            self._by_key.pop(event.key, None)
            self._rewritten.discard(event.key)
            return
        if not _has_same_text(self._by_key.get(event.key), event):
            self._rewritten.add(event.key)
        self._by_key[event.key] = event

    def get_large_text(self, key: str) -> bytes | None:
        """Return the current text of a key, if it is large."""
        item = self._by_key.get(key)
        return item.text if item is not None and is_large(item.text) else None

    def list_rewritten(self) -> list[StoredItem]:
        """Return the items whose text has changed since the last restore."""
        return [self._by_key[key] for key in self._rewritten]

    def list_after(self, revision: int) -> list[StoredItem]:
        """Return the items that were written after a revision."""
        return [
            item for item in self._by_key.values() if item.revision > revision
        ]

    def list_absent(self, present: Collection[str]) -> list[str]:
        """Return the keys that are not among `present`."""
        return [key for key in self._by_key if key not in present]

    def build_row(self, item: StoredItem) -> ChangeRow | None:
        """Return an item in encoded form; none if it would be too large."""
        if not is_large(item.text):
            return build_item_row(item)
        known = self._full_rows.get(item.key)
        if known is None or known.revision != item.revision:
            self._full_rows[item.key] = build_item_row(item)
        return self._full_rows[item.key]

    def describe_others(self, sent: Collection[str]) -> list[UnchangedItem]:
        """Return checksums of all items whose keys are not among `sent`."""
        return [
            UnchangedItem(
                checksum_name(key), zlib.crc32(item.text), item.revision
            )
            for key, item in self._by_key.items()
            if key not in sent
        ]

    def find_unchanged(
        self, described: Iterable[UnchangedItem]
    ) -> list[StoredItem]:
        """Return the items with the described texts, at their revisions.

        Raises
        ------
        IncompleteSnapshotError
            An item is not known here, or has another text.
        """
        known = {checksum_name(key): item for key, item in self._by_key.items()}
        unchanged = []
        for entry in described:
            item = known.get(entry.key)
            if item is None or zlib.crc32(item.text) != entry.text:
                raise IncompleteSnapshotError(
                    'snapshot leaves out an item that is not known here; '
                    'list all keys'
                )
            unchanged.append(
                StoredItem(item.key, entry.revision, item.text, item.lease)
            )
        return unchanged


def _has_same_text(known: StoredItem | None, item: StoredItem) -> bool:
    return known is not None and known.text == item.text
