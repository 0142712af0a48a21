"""Listening sockets, and a handler for pages such as metrics."""

from __future__ import annotations

import asyncio
from socket import create_server, socket
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from samphirerill.decoding.bounds import parse_ordinal
from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.server import ClientConnection
from samphirerill.relay.sockets import limit_receive_buffers

if TYPE_CHECKING:
    from collections.abc import Callable
    from samphirerill.relay.client_intake import ClientIntake
    from samphirerill.relay.closed_connections import ClosedConnection
    from samphirerill.relay.connection_limit import ConnectionLimit
    from samphirerill.relay.request import Request
    from samphirerill.relay.server import RequestHandler

_BACKLOG = 1024
_NOT_FOUND = 404
Page = tuple[int, bytes]


class PageHandler:
    """Responds with a page that is chosen by the path alone.

    Parameters
    ----------
    pages : dict
        For each path a function that returns status and body.
    """

    def __init__(self, pages: dict[bytes, Callable[[], Page]]) -> None:
        self._pages = pages

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Respond with the page of the path, or 404."""
        page = self._pages.get(req.target.partition(b'?')[0])
        if page is None:
            conn.respond(_NOT_FOUND, [], b'')
            return
        status, body = page()
        conn.respond(status, [], body)

    def get_limits(self) -> ClientLimits:
        """Return the default limits; pages have no client account."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether to close connections after their response."""
        return False


async def listen(
    address: str,
    handler: RequestHandler,
    connections: set[ClientConnection],
    record_close: Callable[[ClosedConnection], None] | None = None,
    listening: socket | None = None,
    intake: ClientIntake | None = None,
    limit: ConnectionLimit | None = None,
) -> asyncio.Server:
    """Serve an address.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    handler : RequestHandler
        Serves the requests.
    connections : set
        Gets the open connections.
    record_close : callable, optional
        Called with each connection that is closed.
    listening : socket, optional
        Already listens at the address.
    intake : ClientIntake, optional
        Bounds the input of clients.
    limit : ConnectionLimit, optional
        Limits the number of connections.
    """

    def build_connection() -> ClientConnection:
        return ClientConnection(
            handler, connections, record_close, intake, limit
        )

    sock = listening or _open_socket(address)
    limit_receive_buffers(sock)
    server = await asyncio.get_running_loop().create_server(
        build_connection,
        sock=sock,
        backlog=limit.max_accepted_at_once if limit else _BACKLOG,
    )
    # The loop accepts as many at once as its backlog says; more may wait.
    sock.listen(_BACKLOG)
    return server


async def listen_with(
    build_connection: Callable[[], asyncio.BaseProtocol], address: str
) -> asyncio.Server:
    """Serve an address with one protocol for each connection."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(':')
    return await loop.create_server(
        build_connection,
        host,
        int(port),
        backlog=_BACKLOG,
        reuse_address=True,
    )


def _open_socket(address: str) -> socket:
    host, _, port = address.rpartition(':')
    return create_server((host, int(port)), backlog=_BACKLOG)


def read_revision(query: bytes) -> int:
    """Return the revision in the `after` parameter of a query, or -1."""
    after = parse_qs(query).get(b'after', [b''])[0]
    number = parse_ordinal(after)
    return -1 if number is None else number


def read_age_ms(query: bytes) -> int | None:
    """Return the `age` parameter of a query; none if there is no valid one."""
    age = parse_qs(query).get(b'age', [b''])[0]
    return parse_ordinal(age)
