"""Decode JSON and MessagePack that others wrote.

Input that is nested too deeply is invalid like any other: the decoders of the
libraries raise ``RecursionError`` for it, which is no error of theirs.
"""

from __future__ import annotations

import json
from math import isfinite
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

from msgspec import DecodeError, msgpack
from msgspec.json import Decoder as JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Callable

Document = TypeVar('Document')
_DecodedType = TypeVar('_DecodedType', covariant=True)
_TOO_DEEP = 'got input that is nested too deeply'


class _Decoder(Protocol[_DecodedType]):
    def decode(self, text: Any, /) -> _DecodedType:
        """Return the decoded input."""


class Decoder(Generic[Document]):
    """Decodes one type of document.

    Parameters
    ----------
    decoder : object
        A decoder of msgspec.
    """

    __slots__ = ('_decoder',)

    def __init__(self, decoder: _Decoder[Document]) -> None:
        self._decoder = decoder

    def decode(self, text: bytes | str) -> Document:
        """Return the document; raise ``DecodeError`` if it is invalid."""
        try:
            return self._decoder.decode(text)
        except RecursionError as exc:
            raise DecodeError(_TOO_DEEP) from exc


def build_json_decoder(document_type: type[Document]) -> Decoder[Document]:
    """Return a decoder of JSON documents of one type."""
    return Decoder(JsonDecoder(document_type))


def build_msgpack_decoder(message_type: type[Document]) -> Decoder[Document]:
    """Return a decoder of MessagePack messages of one type."""
    return Decoder(msgpack.Decoder(message_type))


def parse_json(
    text: bytes | str,
    build_object: Callable[[list[tuple[str, Any]]], Any] | None = None,
) -> Any:
    """Return JSON without a declared type.

    Parameters
    ----------
    text : bytes or str
        The document.
    build_object : callable, optional
        Builds each object from its members; by default a dict.

    Raises
    ------
    ValueError
        The document is invalid, nested too deeply, or has a number that is not
        finite.
    """
    try:
        return json.loads(
            text,
            object_pairs_hook=build_object,
            parse_float=_parse_float,
            parse_constant=_parse_float,
        )
    except RecursionError as exc:
        raise ValueError(_TOO_DEEP) from exc


def _parse_float(text: str) -> float:
    number = float(text)
    if not isfinite(number):
        raise ValueError(f'got the number {text:.40}, expected a finite one')
    return number
