"""The difference between two versions of one large text.

A configuration has some hundred kilobytes, and one version differs from the
next by some hundred bytes. Who has the version before needs only the difference.
Texts are compared in pieces that end where a JSON object does; any other text is
right too, only not smaller.
"""

from __future__ import annotations

import hashlib

from msgspec import Struct

_PIECE_END = b'}'
_CHECKSUM_BYTES = 8


class DeltaError(Exception):
    """A difference does not fit the text that it is applied to."""


class Run(Struct, array_like=True):
    """Pieces of the old text that follow each other."""

    first: int
    count: int


class Delta(Struct, array_like=True):
    """How to make a new text of an old one.

    `base` and `target` are checksums of the two; `parts` make up the new
    text: runs of the old one's pieces, and bytes that it does not have.
    """

    base: bytes
    target: bytes
    parts: list[Run | bytes]


def build_delta(old: bytes, new: bytes) -> Delta:
    """Return how to make `new` of `old`."""
    old_pieces = _split(old)
    positions = {
        piece: position
        for position, piece in reversed(list(enumerate(old_pieces)))
    }
    parts: list[Run | bytes] = []
    for piece in _split(new):
        last = parts[-1] if parts else b''
        if isinstance(last, Run) and _extends_run(old_pieces, last, piece):
            last.count += 1
        else:
            position = positions.get(piece)
            parts.append(piece if position is None else Run(position, 1))
    return Delta(_checksum(old), _checksum(new), parts)


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new text; raise ``DeltaError`` if `old` is another one."""
    if _checksum(old) != delta.base:
        raise DeltaError('the difference is to another text; read it whole')
    old_pieces = _split(old)
    chunks = []
    for part in delta.parts:
        if isinstance(part, bytes):
            chunks.append(part)
        else:
            chunks.extend(old_pieces[part.first : part.first + part.count])
    new = b''.join(chunks)
    if _checksum(new) != delta.target:
        raise DeltaError('the difference is damaged; read the text whole')
    return new


def _extends_run(old_pieces: list[bytes], run: Run, piece: bytes) -> bool:
    next_piece = run.first + run.count
    return next_piece < len(old_pieces) and old_pieces[next_piece] == piece


def _split(text: bytes) -> list[bytes]:
    pieces = [piece + _PIECE_END for piece in text.split(_PIECE_END)]
    pieces[-1] = pieces[-1].removesuffix(_PIECE_END)
    return pieces


def _checksum(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_CHECKSUM_BYTES).digest()
