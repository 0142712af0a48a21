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

    It also keeps the present text of each key that has a large one: changes of
    these are told as differences.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._oldest = 0
        self._changes: deque[_Change] = deque()
        self._large = 0
        self._texts: dict[str, bytes] = {}
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
        self._texts = {
            item.key: item.text for item in found if _is_large(item.text)
        }
        self._oldest = revision
        self._advance(revision)

    def note(self, changes: Changes) -> None:
        """Keep changes that were heard."""
        for event in changes.events:
            before = self._texts.pop(event.key, None)
            if isinstance(event, StoredItem) and _is_large(event.text):
                self._texts[event.key] = event.text
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

    async def wait(self, after: int, most_s: float) -> None:
        """Wait a while for changes after a revision, or a new start."""
        if self.revision > after:
            return
        changed = self._changed
        try:
            async with asyncio.timeout(most_s):
                await changed.wait()
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
        texts = dict(self._texts)
        for row in rows:
            if row.text is None:
                texts.pop(row.key, None)
                yield DeletedKey(row.key, row.revision)
                continue
            text = row.text
            if row.delta is not None:
                text = _apply(row.key, texts.get(row.key), row.delta)
            texts[row.key] = text
            yield StoredItem(row.key, row.revision, text, row.lease)

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
