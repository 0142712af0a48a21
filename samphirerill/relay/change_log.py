"""The latest changes of the store that a node has heard of."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from msgspec import Struct, msgpack

from samphirerill.fleet.deltas import (
    Delta,
    DeltaError,
    apply_delta,
    build_delta,
)
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.messages import checksum_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

# Changes kept, some minutes' worth; who lacks older ones asks the store.
_MOST_KEPT = 2000
# A text from this size on is passed on as its difference to the one before. A
# watcher with a link of 20 Mbit/s, at which 17 nodes waited, passed on a whole
# configuration of 48 KB: for 0.3 s nothing else got through, replicas seemed
# silent to it and its streams were cut.
_LARGE_BYTES = 4096
# A larger difference is left to the store: 17 of this size take 55 ms on a link of
# 20 Mbit/s, less than the pause that a stream may make.
_MOST_PASSED_BYTES = 8192
# What a watcher tells to who lacks the history: 16 of these take 0.1 s on a link of 20
# Mbit/s. It holds the checksums of 800 keys and some fifty entries.
_MOST_PRESENT_BYTES = 16_384
# Large texts that are kept with their changes; each may have half a megabyte.
_MOST_LARGE = 8


class Row(Struct, array_like=True):
    """One change as it is passed on.

    `text` is ``None`` if the key was deleted, and empty if `delta` tells how
    to make it of the text before.
    """

    key: str
    revision: int
    text: bytes | None
    lease: int
    delta: Delta | None = None


class News(Struct, array_like=True):
    """All changes up to `revision` after the one that was asked for."""

    revision: int
    rows: list[Row]


class Present(Struct, array_like=True):
    """What there is at `revision`, for who lacks the history up to it.

    `rows` are keys that were written after the revision that was asked for,
    `keys` the checksums of all there are: any other has been deleted.
    """

    revision: int
    rows: list[Row]
    keys: list[int]


class _Change:
    """One change, and the text that its key had before if that was large."""

    __slots__ = ('_row', 'before', 'event')

    def __init__(
        self, event: StoredItem | DeletedKey, before: bytes | None
    ) -> None:
        self.event = event
        self.before = before
        self._row: Row | None = None

    @property
    def is_large(self) -> bool:
        """Return whether the text is too large to be passed on whole."""
        event = self.event
        return isinstance(event, StoredItem) and _is_large(event.text)

    def build_row(self) -> Row | None:
        """Return what is passed on; none if that would be too large.

        It is made once, for all who wait.
        """
        if self._row is None:
            self._row = self._build()
        if self._row.delta is None and self.is_large:
            return None
        return self._row

    def _build(self) -> Row:
        event = self.event
        if isinstance(event, DeletedKey):
            return Row(event.key, event.revision, None, 0)
        row = Row(event.key, event.revision, event.text, event.lease)
        if self.is_large and self.before is not None:
            delta = build_delta(self.before, event.text)
            if len(msgpack.encode(delta)) <= _MOST_PASSED_BYTES:
                row.text = b''
                row.delta = delta
        return row


class ChangeLog:
    """The latest changes that a node has heard of, in order.

    It also keeps what there is at present: large texts, as changes of these are
    told as differences, and all else for who lacks the history.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._oldest = 0
        self._changes: deque[_Change] = deque()
        self._large = 0
        self._present: dict[str, StoredItem] = {}
        self._changed = asyncio.Event()

    def restart(self, revision: int, found: Iterable[StoredItem] = ()) -> None:
        """Everything was read anew: what came before is not known.

        Parameters
        ----------
        revision : int
            Of the reading.
        found : iterable of StoredItem
            All keys that there are.
        """
        self._changes.clear()
        self._large = 0
        self._present = {item.key: item for item in found}
        self._oldest = revision
        self._advance(revision)

    def note(self, changes: Changes) -> None:
        """Keep changes that were heard."""
        for event in changes.events:
            before = self._get_large(event.key)
            self._present.pop(event.key, None)
            if isinstance(event, StoredItem):
                self._present[event.key] = event
            change = _Change(event, before)
            self._large += change.is_large
            self._changes.append(change)
        while self._has_too_many():
            dropped = self._changes.popleft()
            self._large -= dropped.is_large
            self._oldest = dropped.event.revision
        self._advance(changes.revision)

    def has(self, after: int) -> bool:
        """Return whether all changes after a revision are known here."""
        return self._oldest <= after <= self.revision

    def is_too_late_for(self, after: int) -> bool:
        """Return whether changes after a revision are not known any more."""
        return after < self._oldest

    async def wait(self, after: int, most_s: float) -> None:
        """Wait a while for changes after a revision, or a new start.

        A log that is behind that revision itself catches up meanwhile.
        """
        try:
            async with asyncio.timeout(most_s):
                while self._oldest <= after and self.revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            return

    def encode_after(self, after: int) -> bytes | None:
        """Return the changes after a revision; none if they are too large."""
        rows = []
        for change in self._changes:
            if change.event.revision <= after:
                continue
            row = change.build_row()
            if row is None:
                return None
            rows.append(row)
        return msgpack.encode(News(self.revision, rows))

    def encode_present(self, after: int) -> bytes | None:
        """Return what there is, as far as it was written after a revision.

        None if that is too large, or if nothing is known here. When the store
        drops its history, and when all nodes start, each node read everything
        from it; of 22 nodes that started together 15 were sent there by
        watchers whose log began two revisions later than theirs.
        """
        rows = []
        for item in self._present.values():
            if item.revision > after:
                if _is_large(item.text):
                    return None
                rows.append(Row(item.key, item.revision, item.text, item.lease))
        if not self._present or after > self.revision:
            return None
        rows.sort(key=_get_revision)
        keys = [checksum_name(key) for key in self._present]
        present = msgpack.encode(Present(self.revision, rows, keys))
        return present if len(present) <= _MOST_PRESENT_BYTES else None

    def decode_present(self, present: Present) -> Changes:
        """Return what another log has and this one lacks, as changes."""
        keys = set(present.keys)
        gone = [
            DeletedKey(key, present.revision)
            for key in self._present
            if checksum_name(key) not in keys
        ]
        written = list(self._build_events(present.rows))
        return Changes(present.revision, [*written, *gone])

    def decode(self, news: News) -> Changes:
        """Return the changes that another log passed on.

        Raises
        ------
        DeltaError
            One is told as a difference to a text that is not known here.
        """
        return Changes(news.revision, list(self._build_events(news.rows)))

    def _build_events(
        self, rows: Iterable[Row]
    ) -> Iterator[StoredItem | DeletedKey]:
        texts: dict[str, bytes] = {}
        for row in rows:
            if row.text is None:
                texts.pop(row.key, None)
                yield DeletedKey(row.key, row.revision)
                continue
            text = row.text
            if row.delta is not None:
                before = texts.get(row.key, self._get_large(row.key))
                text = _apply(row.key, before, row.delta)
            texts[row.key] = text
            yield StoredItem(row.key, row.revision, text, row.lease)

    def _get_large(self, key: str) -> bytes | None:
        """Return the present text of a key, if it is a large one."""
        item = self._present.get(key)
        is_large = item is not None and _is_large(item.text)
        return item.text if item is not None and is_large else None

    def _has_too_many(self) -> bool:
        return len(self._changes) > _MOST_KEPT or self._large > _MOST_LARGE

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self._changed.set()
            self._changed = asyncio.Event()


def _apply(key: str, before: bytes | None, delta: Delta) -> bytes:
    if before is None:
        raise DeltaError(f'{key}: got a difference, expected the whole text')
    return apply_delta(before, delta)


def _is_large(text: bytes) -> bool:
    return len(text) >= _LARGE_BYTES


def _get_revision(row: Row) -> int:
    return row.revision
