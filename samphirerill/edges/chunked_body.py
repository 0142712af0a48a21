"""Read a request body that is sent in chunks."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from cheroot.errors import MaxSizeExceeded

if TYPE_CHECKING:
    from io import BufferedReader

_CRLF = b'\r\n'
# The size of a chunk and its extension.
_MAX_SIZE_LINE_BYTES = 1024
_MAX_TRAILER_BYTES = 65_536
_HEXADECIMAL = 16
_SIZE = re.compile(rb'([0-9a-fA-F]{1,8})[ \t]*(;.*)?\r\n', re.DOTALL)


class ChunkedBody:
    """The body of a request, as the server interface expects it.

    In contrast to cheroot's reader, lines are limited, chunks are joined in one
    buffer, and the limit on the body does not count their framing.

    Parameters
    ----------
    rfile : BufferedReader
        The connection.
    max_body_bytes : int
        The largest body; 0 for no limit.
    """

    def __init__(self, rfile: BufferedReader, max_body_bytes: int) -> None:
        self._rfile = rfile
        self._max_body_bytes = max_body_bytes

    def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        MaxSizeExceeded
            The body or its trailers are too large.
        ValueError
            The framing is invalid or ends early.
        """
        body = bytearray()
        while chunk_bytes := self._read_size():
            if self._exceeds_limit(len(body) + chunk_bytes):
                raise MaxSizeExceeded
            body += self._rfile.read(chunk_bytes)
            if self._rfile.read(len(_CRLF)) != _CRLF:
                raise ValueError('A chunk does not end where it should.')
        self._skip_trailers()
        return bytes(body)

    def close(self) -> None:
        """Do nothing: the connection stays open for the response."""

    def _read_size(self) -> int:
        match = _SIZE.fullmatch(self._rfile.readline(_MAX_SIZE_LINE_BYTES))
        if match is None:
            raise ValueError('The size of a chunk is invalid.')
        return int(match[1], _HEXADECIMAL)

    def _exceeds_limit(self, size: int) -> bool:
        return bool(self._max_body_bytes) and size > self._max_body_bytes

    def _skip_trailers(self) -> None:
        remaining = _MAX_TRAILER_BYTES
        line = b''
        while line != _CRLF:
            line = self._rfile.readline(remaining)
            remaining -= len(line)
            if not line:
                raise ValueError('The trailers end early.')
            if remaining <= 0:
                raise MaxSizeExceeded
