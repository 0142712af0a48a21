"""Encoded form of store changes in messages between nodes."""

from __future__ import annotations

from msgspec import Struct

from samphirerill.decoding.bounds import ExactInt, Ordinal
from samphirerill.fleet.deltas import (
    DeltaError,
    apply_delta,
    build_delta,
    build_full_delta,
    pack_delta,
    unpack_delta,
)
from samphirerill.platform.store import DeletedKey, StoredItem

# Larger texts are forwarded as a delta to the previous one, as sending a
# configuration to all polling nodes at once would saturate a slow link.
_LARGE_BYTES = 4096
# Larger compressed deltas are left to the store: copies for all polling nodes
# would take longer than a configuration may take.
_MAX_DELTA_BYTES = 65_536


class ChangeRow(Struct, array_like=True):
    """One change in encoded form.

    `text` is ``None`` if the key was deleted, and empty if `delta`, which is
    compressed, is to be applied to the previous text.
    """

    key: str
    revision: Ordinal
    text: bytes | None
    lease: int
    delta: bytes = b''


class ChangeBatch(Struct, array_like=True):
    """All changes after the requested revision, up to `revision`.

    `age_ms` is the age of the store's confirmation that they are complete;
    ``None`` if there are further ones.
    """

    revision: Ordinal
    rows: list[ChangeRow]
    age_ms: ExactInt | None = None


class UnchangedItem(Struct, array_like=True):
    """Checksums of the key and the text of an item that is not sent."""

    key: int
    text: int
    revision: Ordinal


class Snapshot(Struct, array_like=True):
    """State at `revision`, for nodes that lack the changes before it.

    `rows` are the items that the other node is likely to lack, `unchanged` all
    others; any other key has been deleted. `age_ms` is the age of the store's
    confirmation when the snapshot was taken.
    """

    revision: Ordinal
    rows: list[ChangeRow]
    unchanged: list[UnchangedItem]
    age_ms: ExactInt | None = None


def is_large(text: bytes) -> bool:
    """Return whether a text is too large to be sent in full."""
    return len(text) >= _LARGE_BYTES


def build_change_row(
    event: StoredItem | DeletedKey, previous: bytes | None
) -> ChangeRow | None:
    """Return the encoded form of a change; none if it would be too large.

    Parameters
    ----------
    event : StoredItem or DeletedKey
        The change.
    previous : bytes, optional
        The previous text of its key, if that was large.
    """
    if isinstance(event, DeletedKey):
        return ChangeRow(event.key, event.revision, None, 0)
    if previous is None or not is_large(event.text):
        return build_item_row(event)
    return _build_packed_row(
        event, pack_delta(build_delta(previous, event.text))
    )


def build_item_row(item: StoredItem) -> ChangeRow | None:
    """Return a row with the whole text; none if it would be too large."""
    if not is_large(item.text):
        return ChangeRow(item.key, item.revision, item.text, item.lease)
    return _build_packed_row(item, pack_delta(build_full_delta(item.text)))


def decode_row_text(
    row: ChangeRow, text: bytes, previous: bytes | None
) -> bytes:
    """Return the text that a row stands for.

    Parameters
    ----------
    row : ChangeRow
        The row.
    text : bytes
        The text in the row.
    previous : bytes, optional
        The previous text of its key, if that was large.

    Raises
    ------
    DeltaError
        The row is a delta to a text that is not known here.
    """
    if not row.delta:
        return text
    delta = unpack_delta(row.delta)
    if previous is None and delta.base:
        raise DeltaError(
            f'{row.key}: got a delta, but its base text is not known'
        )
    return apply_delta(previous or b'', delta)


def _build_packed_row(item: StoredItem, delta: bytes) -> ChangeRow | None:
    if len(delta) > _MAX_DELTA_BYTES:
        return None
    return ChangeRow(item.key, item.revision, b'', item.lease, delta)
