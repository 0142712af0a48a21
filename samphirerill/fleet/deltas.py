"""Differences between two versions of a large text.

A configuration has some hundred kilobytes, and consecutive versions differ by
some hundred bytes, so a receiver of the previous version needs only the
difference. Texts are split where JSON objects end; other texts work too, but
their differences are larger.
"""

from __future__ import annotations

import hashlib
import zlib

from msgspec import DecodeError, Struct, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder

_PIECE_END = b'}'
_CHECKSUM_BYTES = 8
# Higher levels take several times as long for a few percent.
_COMPRESSION_LEVEL = 1
# Larger than any text of the store, and bounds what a corrupt message can use.
_MAX_UNPACKED_BYTES = 4_194_304


class DeltaError(Exception):
    """A difference does not apply to the given text, or is corrupt."""


class PieceRange(Struct, array_like=True):
    """Consecutive pieces of the old text."""

    first: int
    count: int


class Delta(Struct, array_like=True):
    """Instructions that rebuild a new text from an old one.

    `base` and `target` are the checksums of the two texts; `base` is empty if
    the old one does not matter. `parts` are concatenated to the new text: ranges
    of pieces of the old one, and literal bytes.
    """

    base: bytes
    target: bytes
    parts: list[PieceRange | bytes]


_DECODER = build_msgpack_decoder(Delta)


def build_delta(old: bytes, new: bytes) -> Delta:
    """Return the difference that turns `old` into `new`."""
    old_pieces = _split(old)
    positions = {
        piece: position
        for position, piece in reversed(list(enumerate(old_pieces)))
    }
    parts: list[PieceRange | bytes] = []
    for piece in _split(new):
        last = parts[-1] if parts else b''
        if isinstance(last, PieceRange) and _extends_range(
            old_pieces, last, piece
        ):
            last.count += 1
        else:
            position = positions.get(piece)
            parts.append(piece if position is None else PieceRange(position, 1))
    return Delta(_checksum(old), _checksum(new), parts)


def build_full_delta(new: bytes) -> Delta:
    """Return a delta that holds the whole text and applies to any old one."""
    return Delta(b'', _checksum(new), [new])


def apply_delta(old: bytes, delta: Delta) -> bytes:
    """Return the new text; raise ``DeltaError`` if `delta` does not fit `old`."""
    if delta.base and _checksum(old) != delta.base:
        raise DeltaError(
            'delta was built for another base text; fetch the full text'
        )
    old_pieces = _split(old)
    chunks = []
    for part in delta.parts:
        if isinstance(part, bytes):
            chunks.append(part)
        else:
            chunks.extend(old_pieces[part.first : part.first + part.count])
    new = b''.join(chunks)
    if _checksum(new) != delta.target:
        raise DeltaError(
            'delta is corrupt: checksum mismatch; fetch the full text'
        )
    return new


def pack_delta(delta: Delta) -> bytes:
    """Return a compressed delta; new routes resemble each other."""
    return zlib.compress(msgpack.encode(delta), _COMPRESSION_LEVEL)


def unpack_delta(packed: bytes) -> Delta:
    """Return a delta from its compressed form.

    Raises
    ------
    DeltaError
        It is corrupt or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(packed, _MAX_UNPACKED_BYTES)
        delta = _DECODER.decode(encoded)
    except (zlib.error, DecodeError) as exc:
        raise DeltaError(f'delta is corrupt: {exc}') from exc
    return delta


def _extends_range(
    old_pieces: list[bytes], pieces: PieceRange, piece: bytes
) -> bool:
    next_piece = pieces.first + pieces.count
    return next_piece < len(old_pieces) and old_pieces[next_piece] == piece


def _split(text: bytes) -> list[bytes]:
    pieces = [piece + _PIECE_END for piece in text.split(_PIECE_END)]
    pieces[-1] = pieces[-1].removesuffix(_PIECE_END)
    return pieces


def _checksum(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=_CHECKSUM_BYTES).digest()
