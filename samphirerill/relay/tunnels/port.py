"""The port for other nodes: requests for tunnels beside an HTTP server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

from samphirerill.relay.listeners import listen_with
from samphirerill.relay.server import ClientConnection
from samphirerill.relay.tunnels.handshake import (
    END_OF_HEAD,
    MAX_HEAD_BYTES,
    METHOD,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.server import RequestHandler
    from samphirerill.relay.tunnels.server import TunnelServer

# How long another node has to send its first request.
_HEAD_TIMEOUT_S = 1.0


class _NewConnection(asyncio.Protocol):
    """A connection whose first request is not known yet.

    Requests for tunnels are recognized by their first byte, as no other request
    of nodes begins so; the rest is passed to an HTTP server.
    """

    __slots__ = (
        '_build_server',
        '_received',
        '_timer',
        '_transport',
        '_tunnels',
    )

    def __init__(
        self,
        tunnels: TunnelServer,
        build_server: Callable[[], ClientConnection],
    ) -> None:
        self._tunnels = tunnels
        self._build_server = build_server
        self._received = b''
        self._transport: asyncio.Transport
        self._timer: asyncio.TimerHandle

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the first bytes, but not for long."""
        self._transport = cast('asyncio.Transport', transport)
        self._timer = asyncio.get_running_loop().call_later(
            _HEAD_TIMEOUT_S, transport.close
        )

    def data_received(self, data: bytes) -> None:
        """Hand the connection over once its first request is known."""
        self._received += data
        if not self._received.startswith(METHOD[:1]):
            self._timer.cancel()
            self._serve_http()
        elif END_OF_HEAD in self._received:
            self._timer.cancel()
            self._tunnels.accept(self._transport, self._received)
        elif len(self._received) > MAX_HEAD_BYTES:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._timer.cancel()

    def _serve_http(self) -> None:
        server = self._build_server()
        self._transport.set_protocol(server)
        server.connection_made(self._transport)
        server.data_received(self._received)


async def listen_for_peers(
    address: str,
    tunnels: TunnelServer,
    handler: RequestHandler,
    connections: set[ClientConnection],
) -> asyncio.Server:
    """Serve requests of other nodes.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    tunnels : TunnelServer
        Opens tunnels.
    handler : RequestHandler
        Serves all other requests.
    connections : set of ClientConnection
        Open connections of the HTTP server.
    """

    def build_connection() -> _NewConnection:
        return _NewConnection(
            tunnels, lambda: ClientConnection(handler, connections)
        )

    return await listen_with(build_connection, address)
