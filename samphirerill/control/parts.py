"""Texts too large for one value, kept in parts under an id of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.store import Put, Transaction

if TYPE_CHECKING:
    from samphirerill.backends.store import KeyValueStore

PARTS_PREFIX = 'config-parts/'
PART_CHARS = 200_000


class PartStore:
    """Writes and reads texts of any length; every method blocks.

    The service holds values up to a megabyte. A part is well below that even
    if each of its characters takes four bytes.
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = f'{prefix}{PARTS_PREFIX}'

    def write(self, name: str, text: str) -> int:
        """Write a text under a name nobody else uses; return its parts."""
        starts = range(0, len(text), PART_CHARS)
        for number, start in enumerate(starts):
            key = f'{self._prefix}{name}/{number:03}'
            part = text[start : start + PART_CHARS]
            self._store.commit(Transaction(puts=[Put(key, part)]))
        return len(starts)

    def read(self, name: str) -> str:
        """Return the text under a name."""
        found = self._store.read_prefix(f'{self._prefix}{name}/')
        return ''.join(entry.text for entry in found.entries)
