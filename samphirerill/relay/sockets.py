"""Socket options of connections."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# What the system may receive of a connection that is not being read. Accepted
# connections inherit it; without it, the system enlarges it to megabytes.
RECEIVE_BUFFER_BYTES = 65_536
_NO_LINGER = struct.pack('ii', 1, 0)


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send each write at once, as events are small and latency counts."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def limit_receive_buffers(listening: socket.socket) -> None:
    """Limit the receive buffers of the connections that a socket accepts."""
    listening.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection so that the peer gets an error.

    `abort` alone may look like an orderly end to the peer.
    """
    sock = transport.get_extra_info('socket')
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    transport.abort()
