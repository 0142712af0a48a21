"""Pool of keep-alive connections to endpoints, by replica."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.relay.connection import (
    BodyChunk,
    EndOfResponse,
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.endpoint_dialer import Connect, EndpointDialer
from samphirerill.relay.errors import (
    BrokenResponseError,
    ConnectionLimitError,
    ResponseTooLargeError,
)
from samphirerill.relay.response_memory import ResponseMemory

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_MAX_IDLE_PER_REPLICA = 16
# The longest are pages of the store, of about 1 MB.
_MAX_SHORT_RESPONSE_BYTES = 8_388_608


class ConnectionPool:
    """Keeps idle connections for reuse, newest first.

    Parameters
    ----------
    counters : Counter
        Counts connections made and reused.

    Attributes
    ----------
    dialer : EndpointDialer
        Opens the connections.
    response_memory : ResponseMemory
        Limits what incomplete responses on the connections hold.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self.dialer = EndpointDialer(counters)
        self.response_memory = ResponseMemory()
        self._counters = counters
        self._idle: defaultdict[str, list[HttpConnection]] = defaultdict(list)
        self._open: Counter[str] = Counter()
        # When the process started that the idle connections of a replica are
        # connected to.
        self._start_times: dict[str, int] = {}

    def has_available(self, replica_id: str, max_open: int) -> bool:
        """Return whether a connection to a replica is available.

        Parameters
        ----------
        replica_id : str
            The replica.
        max_open : int
            The limit of this node's connections to it; 0 for none.
        """
        if not max_open or self._idle.get(replica_id):
            return True
        return self._open[replica_id] < max_open

    def has_idle(self, replica_id: str) -> bool:
        """Return whether an idle connection to a replica can be reused."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(replica_id, ())
        return any(conn.is_usable(now) for conn in idle)

    def list_idle(self) -> set[str]:
        """Return the replicas with an idle connection that can be reused."""
        return set(filter(self.has_idle, self._idle))

    async def acquire(
        self,
        replica: Replica,
        *,
        request_id: bytes = b'',
        proven: bool = False,
        max_open: int = 0,
    ) -> HttpConnection:
        """Return an open connection; raise ``ConnectError`` on failure.

        Parameters
        ----------
        replica : Replica
            The replica to connect to.
        request_id : bytes
            The id of the request to send; a connection that has carried it is
            not reused, as responses are matched to requests by their id.
        proven : bool
            Reuse only a connection that has just responded and that the
            endpoint keeps open for longer, as for a request that is not
            retryable: if the endpoint closed an idle connection just as it is
            reused, the request might have been executed and could not be sent
            again.
        max_open : int
            The limit of this node's connections to the replica; 0 for none. An
            endpoint resets connections beyond its limit over all nodes.
        """
        self._close_outdated(replica)
        conn = self.take_idle(replica, request_id, proven=proven)
        if conn is not None:
            return conn
        self._evict_idle(replica.replica_id, max_open)
        conn = await self._open_tracked(replica)
        self._counters['connections.made'] += 1
        return conn

    def take_idle(
        self,
        replica: Replica,
        request_id: bytes = b'',
        *,
        proven: bool = False,
    ) -> HttpConnection | None:
        """Return an idle connection to a replica, or none.

        With `proven`, the others are kept for requests that may be repeated.
        Those that have carried the request id are kept for other requests.
        """
        if replica.replica_id not in self._idle or self._is_outdated(replica):
            return None
        conn = self._pop_idle(replica, request_id, proven=proven)
        if conn is not None:
            self._counters['connections.reused'] += 1
        return conn

    def keep(
        self, replica: Replica, conn: HttpConnection, max_open: int = 0
    ) -> None:
        """Keep a connection that was opened elsewhere, unless there are enough.

        Parameters
        ----------
        replica : Replica
            The replica that it is connected to.
        conn : HttpConnection
            The connection; its response was read completely.
        max_open : int
            The limit of this node's connections to the replica; 0 for none.
        """
        replica_id = replica.replica_id
        if replica.started_ms > self._start_times.get(replica_id, 0):
            self._close_outdated(replica)
        if max_open and self._open[replica_id] >= max_open:
            conn.close()
            return
        self._open[replica_id] += 1
        conn.notify_on_close(partial(self._handle_close, replica_id, conn))
        self.release(replica, conn)

    def release(self, replica: Replica, conn: HttpConnection) -> None:
        """Keep a connection whose response was read completely."""
        now = asyncio.get_running_loop().time()
        if self._is_outdated(replica):
            conn.close()
            return
        idle = self._idle[replica.replica_id]
        if conn.is_usable(now) and len(idle) < _MAX_IDLE_PER_REPLICA:
            idle.append(conn)
        else:
            conn.close()

    def close_stale(self, present: set[str]) -> None:
        """Close idle connections that are expired or whose replica is gone."""
        now = asyncio.get_running_loop().time()
        for replica_id in tuple(self._idle):
            kept = []
            for conn in self._idle[replica_id]:
                if replica_id in present and conn.is_usable(now):
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[replica_id] = kept
            else:
                self._idle.pop(replica_id)
                self._start_times.pop(replica_id, None)

    def _pop_idle(
        self, replica: Replica, request_id: bytes, *, proven: bool
    ) -> HttpConnection | None:
        """Return the newest idle connection that fits; close unusable ones."""
        now = asyncio.get_running_loop().time()
        needs_tunnel = self.dialer.paths.needs_tunnel(replica.address)
        idle = self._idle[replica.replica_id]
        candidates = [conn for conn in idle if not conn.has_sent(request_id)]
        for conn in reversed(candidates):
            if proven and not conn.is_proven(now):
                break
            idle.remove(conn)
            if conn.is_usable(now) and conn.is_relayed == needs_tunnel:
                return conn
            conn.close()
        return None

    def _close_outdated(self, replica: Replica) -> None:
        """Close idle connections to an earlier process of the replica.

        That process may have ended behind a network partition without closing
        them; requests on such a connection would time out.
        """
        replica_id = replica.replica_id
        if self._is_outdated(replica):
            for conn in self._idle.pop(replica_id, ()):
                conn.close()
        self._start_times[replica_id] = replica.started_ms

    def _is_outdated(self, replica: Replica) -> bool:
        """Return whether idle connections are to another process."""
        return replica.is_different_process(
            self._start_times.get(replica.replica_id, 0)
        )

    def _evict_idle(self, replica_id: str, max_open: int) -> None:
        """Close an idle connection if the limit is reached."""
        if not max_open or self._open[replica_id] < max_open:
            return
        idle = self._idle[replica_id]
        if not idle:
            raise ConnectionLimitError(
                f'{replica_id}: all {max_open} connections are in use'
            )
        idle.pop(0).close()

    async def _open_tracked(self, replica: Replica) -> HttpConnection:
        """Open a connection that counts from now until it is closed."""
        replica_id = replica.replica_id
        self._open[replica_id] += 1
        conn = None
        try:
            conn = await self.dialer.connect(replica.address)
        finally:
            if conn is None:
                self._untrack_open(replica_id)
        conn.notify_on_close(partial(self._handle_close, replica_id, conn))
        return conn

    def _handle_close(self, replica_id: str, conn: HttpConnection) -> None:
        if conn.has_surplus:
            self._counters['connections.surplus'] += 1
        self._untrack_open(replica_id)

    def _untrack_open(self, replica_id: str) -> None:
        self._open[replica_id] -= 1
        if self._open[replica_id] <= 0:
            self._open.pop(replica_id)


async def _connect(address: str, deadline: float) -> HttpConnection:
    conn = HttpConnection(address)
    await conn.open(deadline)
    return conn


async def call_once(
    address: str,
    method: bytes,
    path: bytes,
    body: bytes,
    deadline: float,
    connect: Connect | None = None,
) -> tuple[int, bytes]:
    """Make one short request on a connection of its own.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to call.
    method, path, body : bytes
        The request.
    deadline : float
        On the loop's clock.
    connect : callable, optional
        Opens the connection; takes address and deadline. Directly by default.

    Returns
    -------
    tuple of int and bytes
        Status and body.

    Raises
    ------
    EndpointError
        No complete response was received.
    """
    headers = [(b'host', address.encode())]
    if body:
        headers.append((b'content-type', b'application/json'))
    conn = await (connect or _connect)(address, deadline)
    try:
        conn.send(serialize_request(method, path, headers, body))
        return await read_response(conn, deadline)
    finally:
        conn.close()


async def read_response(
    conn: HttpConnection, deadline: float
) -> tuple[int, bytes]:
    """Read a complete short response; return its status and body."""
    head, body = await read_whole_response(conn, deadline)
    return head.status, body


async def read_whole_response(
    conn: HttpConnection,
    deadline: float,
    max_bytes: int = _MAX_SHORT_RESPONSE_BYTES,
) -> tuple[ResponseHead, bytes]:
    """Read a complete short response; return its head and body.

    Raises
    ------
    ResponseTooLargeError
        Its body has more than `max_bytes`.
    """
    head = ResponseHead(0)
    body = bytearray()
    while True:
        part = await conn.read(deadline)
        if isinstance(part, EndOfResponse):
            return head, bytes(body)
        if isinstance(part, BodyChunk):
            body += part.body
            _check_size(conn, len(body), max_bytes)
        else:
            head = part


def check_surplus(conn: HttpConnection) -> None:
    """Raise ``BrokenResponseError`` if a call without an id got two responses.

    The first one may be to the call before.
    """
    if conn.has_surplus and conn.requests_sent > 1:
        raise BrokenResponseError(f'{conn.address}: got two responses')


def _check_size(conn: HttpConnection, size: int, max_bytes: int) -> None:
    if size > max_bytes:
        raise ResponseTooLargeError(
            f'{conn.address}: got over {max_bytes} bytes, expected a short'
            ' response'
        )
