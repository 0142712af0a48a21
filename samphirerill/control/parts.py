"""Texts too large for one value, stored in parts under a unique id."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.backends.store import Put, Transaction

if TYPE_CHECKING:
    from samphirerill.backends.store import KeyValueStore

PARTS_PREFIX = 'config-parts/'
PART_CHARS = 200_000


class PartStore:
    """Writes and reads texts of any length; all methods block.

    The store accepts values of up to a megabyte. A part stays below that
    even with four bytes for each character.
    """

    def __init__(self, store: KeyValueStore, prefix: str) -> None:
        self._store = store
        self._prefix = f'{prefix}{PARTS_PREFIX}'

    def write(self, name: str, text: str) -> int:
        """Write a text under a unique name; return its number of parts."""
        starts = range(0, len(text), PART_CHARS)
        for number, start in enumerate(starts):
            key = f'{self._prefix}{name}/{number:03}'
            part = text[start : start + PART_CHARS]
            self._store.commit(Transaction(puts=[Put(key, part)]))
        return len(starts)

    def read(self, name: str) -> str:
        """Return the text stored under a name."""
        stored = self._store.read_prefix(f'{self._prefix}{name}/')
        return ''.join(entry.stored_value for entry in stored.entries)
