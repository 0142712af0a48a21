"""The texts of the latest configurations, as nodes give them to each other."""

from __future__ import annotations

from msgspec import Struct, msgpack

from samphirerill.fleet.deltas import (
    Delta,
    DeltaError,
    apply_delta,
    build_delta,
)

# Versions kept besides the newest: who is further behind gets the whole.
_KEPT = 4


class _Given(Struct, array_like=True):
    """A configuration: `text`, or its difference to one that is known."""

    text: bytes
    delta: Delta | None = None


class CfgTexts:
    """The text in force at a node, and some before it, by version.

    What is given is made once for each version that others have: the difference
    of 290 KB takes 8 ms, and half a fleet asks for the same one.
    """

    __slots__ = ('_given', '_texts')

    def __init__(self) -> None:
        self._texts: dict[int, bytes] = {}
        self._given: dict[int, bytes] = {}

    def note(self, version: int, text: bytes) -> None:
        """Keep the text of a version that is newer than the others."""
        self._texts[version] = text
        self._given.clear()
        while len(self._texts) > _KEPT + 1:
            self._texts.pop(min(self._texts))

    def has(self, version: int) -> bool:
        """Return whether what follows a version can be told as a difference."""
        return version in self._texts

    def encode(self, after: int) -> bytes:
        """Return the newest text for a node that has version `after`.

        Raises
        ------
        KeyError
            There is no configuration yet.
        """
        newest = self._texts[max(self._texts, default=0)]
        before = self._texts.get(after)
        if before is None:
            return msgpack.encode(_Given(newest))
        given = self._given.get(after)
        if given is None:
            given = msgpack.encode(_Given(b'', build_delta(before, newest)))
            self._given[after] = given
        return given

    def decode(self, encoded: bytes, own: int) -> bytes:
        """Return the text that another node gave to this one.

        Parameters
        ----------
        encoded : bytes
            What the other node sent.
        own : int
            The version that was named to it.

        Raises
        ------
        DeltaError
            It is the difference to another text than that of `own`.
        DecodeError
            It is no such message.
        """
        given = msgpack.decode(encoded, type=_Given)
        if given.delta is None:
            return given.text
        before = self._texts.get(own)
        if before is None:
            raise DeltaError('got a difference, expected the whole text')
        return apply_delta(before, given.delta)
