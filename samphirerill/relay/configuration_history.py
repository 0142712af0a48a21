"""Recent configuration texts, and deltas between them for other nodes."""

from __future__ import annotations

from msgspec import Struct, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.fleet.deltas import (
    DeltaError,
    apply_delta,
    build_delta,
    build_full_delta,
    pack_delta,
    unpack_delta,
)

# Versions kept besides the newest; older nodes are sent the full text.
_MAX_PREVIOUS_VERSIONS = 4
# Stands for all versions that are not kept.
_NO_VERSION = 0


class _EncodedConfiguration(Struct, array_like=True):
    """A configuration as sent: a compressed delta, to any text or a known one."""

    delta: bytes


_DECODER = build_msgpack_decoder(_EncodedConfiguration)


class ConfigurationHistory:
    """The current configuration text and its recent predecessors, by version.

    Encoded deltas are cached, as many nodes ask for the same one at once and
    computing it takes milliseconds.
    """

    __slots__ = ('_encoded_deltas', '_texts')

    def __init__(self) -> None:
        self._texts: dict[int, bytes] = {}
        self._encoded_deltas: dict[int, bytes] = {}

    def add(self, version: int, text: bytes) -> None:
        """Add the text of a version newer than all others."""
        self._texts[version] = text
        self._encoded_deltas.clear()
        while len(self._texts) > _MAX_PREVIOUS_VERSIONS + 1:
            self._texts.pop(min(self._texts))

    def has_version(self, version: int) -> bool:
        """Return whether a delta from this version can be computed."""
        return version in self._texts

    def encode_update(self, known_version: int) -> bytes:
        """Return the newest configuration for a node that has `known_version`.

        It is encoded as a delta if that version is still kept, and in full
        otherwise.

        Raises
        ------
        KeyError
            There is no configuration yet.
        """
        newest = self._texts[max(self._texts, default=0)]
        previous = self._texts.get(known_version)
        base_version = _NO_VERSION if previous is None else known_version
        message = self._encoded_deltas.get(base_version)
        if message is None:
            delta = (
                build_full_delta(newest)
                if previous is None
                else build_delta(previous, newest)
            )
            message = msgpack.encode(_EncodedConfiguration(pack_delta(delta)))
            self._encoded_deltas[base_version] = message
        return message

    def decode_update(self, encoded: bytes, own_version: int) -> bytes:
        """Return the configuration text in a message from another node.

        Parameters
        ----------
        encoded : bytes
            The message.
        own_version : int
            This node's version, as named in the request.

        Raises
        ------
        DeltaError
            The delta does not apply to the text of `own_version`.
        DecodeError
            The message is malformed.
        """
        message = _DECODER.decode(encoded)
        delta = unpack_delta(message.delta)
        previous = self._texts.get(own_version)
        if previous is None and delta.base:
            raise DeltaError(
                f'received a delta, but version {own_version} is not kept'
            )
        return apply_delta(previous or b'', delta)
