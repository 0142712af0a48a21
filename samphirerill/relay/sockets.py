"""Socket options of connections."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def disable_nagle(transport: asyncio.BaseTransport) -> None:
    """Send each write at once, as events are small and latency counts."""
    sock = transport.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
