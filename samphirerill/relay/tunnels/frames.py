"""Frames in which a relaying node forwards what an endpoint sends.

A frame is a length of four bytes, most significant first, and as many bytes. One
of length 0 says that the endpoint has ended its connection in order. The end of a
tunnel without it may as well be that of the relaying node.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.relay.connection import HttpConnection

_LENGTH_BYTES = 4
END_FRAME = bytes(_LENGTH_BYTES)


def encode_frame(body: bytes) -> bytes:
    """Return the frame of some bytes that an endpoint has sent."""
    return len(body).to_bytes(_LENGTH_BYTES, 'big') + body


class FrameReader(asyncio.Protocol):
    """Passes the bytes in the frames of a tunnel to an HTTP connection.

    Parameters
    ----------
    conn : HttpConnection
        The connection to the endpoint.
    """

    __slots__ = ('_conn', '_has_ended', '_header', '_unread_bytes')

    def __init__(self, conn: HttpConnection) -> None:
        self._conn = conn
        self._header = b''
        # Bytes of the present frame that have not come yet.
        self._unread_bytes = 0
        self._has_ended = False

    def data_received(self, data: bytes) -> None:
        """Pass on the contents of frames as they arrive."""
        while data and not self._has_ended:
            if self._unread_bytes:
                data = self._read_body(data)
            else:
                data = self._read_header(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the loss, which ends no response."""
        self._conn.connection_lost(exc)

    def _read_header(self, data: bytes) -> bytes:
        """Read the length of the next frame; return what follows."""
        missing = _LENGTH_BYTES - len(self._header)
        self._header += data[:missing]
        if len(self._header) == _LENGTH_BYTES:
            self._unread_bytes = int.from_bytes(self._header, 'big')
            self._header = b''
            if not self._unread_bytes:
                self._has_ended = True
                self._conn.handle_orderly_end()
        return data[missing:]

    def _read_body(self, data: bytes) -> bytes:
        """Pass on a part of the present frame; return what follows."""
        body = data[: self._unread_bytes]
        self._unread_bytes -= len(body)
        self._conn.data_received(body)
        return data[len(body) :]
