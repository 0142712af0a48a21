"""Chunked request bodies of the own interface."""

from __future__ import annotations

from io import BufferedReader, BytesIO
from typing import cast
from unittest import TestCase

from cheroot.errors import MaxSizeExceeded

from samphirerill.edges.chunked_body import ChunkedBody

_MAX_BODY_BYTES = 64
_END = b'0\r\n\r\n'


class TestChunkedBody(TestCase):
    """Bodies of 64 bytes at most."""

    def read(self, raw: bytes) -> bytes:
        rfile = cast('BufferedReader', BytesIO(raw))
        return ChunkedBody(rfile, _MAX_BODY_BYTES).read()

    def test_framing_does_not_count(self) -> None:
        """Guards against limits that reject a legal body in small chunks."""
        raw = b'1\r\nx\r\n' * _MAX_BODY_BYTES
        self.assertEqual(self.read(raw + _END), b'x' * _MAX_BODY_BYTES)

    def test_extensions_and_trailers_are_dropped(self) -> None:
        raw = b'2;a=b\r\nxy\r\n0\r\nX-Sum: 1\r\n\r\n'
        self.assertEqual(self.read(raw), b'xy')

    def test_large_bodies_are_rejected(self) -> None:
        for raw in (b'41\r\n', b'1\r\nx\r\n40\r\n', b'ffffffff\r\n'):
            with self.subTest(raw), self.assertRaises(MaxSizeExceeded):
                self.read(raw)

    def test_trailers_without_end_are_rejected(self) -> None:
        """Guards against trailers that are read without end."""
        for trailers in (b'X: y\r\n' * 20_000, b'x' * 100_000):
            with self.assertRaises(MaxSizeExceeded):
                self.read(b'0\r\n' + trailers)

    def test_invalid_framing_is_rejected(self) -> None:
        """Guards against sizes that two parsers read differently."""
        cases = (
            b'',
            b'\r\n',
            b'+1\r\nx\r\n',
            b'0x1\r\nx\r\n',
            b'1_0\r\n',
            b'1\nx\r\n',
            b'1\r\nxy\r\n',
            b'2\r\nx',
            b'000000001\r\nx\r\n',
            b'1;' + b'x' * 2000 + b'\r\n',
            b'0\r\n',
        )
        for raw in cases:
            with self.subTest(raw[:9]), self.assertRaises(ValueError):
                self.read(raw)
