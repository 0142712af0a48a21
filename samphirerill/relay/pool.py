"""Kept connections to endpoints, by replica."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.relay.connection import (
    HttpConnection,
    Part,
    Whole,
    build_call,
)
from samphirerill.relay.errors import ConnectionLimitError

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_IDLE_PER_REPLICA = 16


class ConnectionPool:
    """Connections that wait for their next call, newest first.

    Parameters
    ----------
    counters : Counter
        Counts connections made and reused.
    """

    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters
        self._idle: defaultdict[str, list[HttpConnection]] = defaultdict(list)
        self._open: Counter[str] = Counter()
        # When each replica started that connections are kept to.
        self._started: dict[str, int] = {}

    def has_left(self, replica_id: str, most: int) -> bool:
        """Return whether a call to a replica would find a connection.

        Parameters
        ----------
        replica_id : str
            To whom.
        most : int
            The connections that this node may have there; 0 for any number.
        """
        if not most or self._idle.get(replica_id):
            return True
        return self._open[replica_id] < most

    async def take(
        self, replica: Replica, *, fresh: bool = False, most: int = 0
    ) -> HttpConnection:
        """Return an open connection; raise ``ConnectError`` if none comes.

        Parameters
        ----------
        replica : Replica
            To whom.
        fresh : bool
            Make a new one. On a kept connection that the endpoint has just
            closed, a request seems lost although nothing ran; one that may
            not be repeated could not be sent again.
        most : int
            The connections that this node may have there; 0 for any number.
            An endpoint resets those beyond what it takes from all nodes.
        """
        now = asyncio.get_running_loop().time()
        self._note_start(replica)
        idle = self._idle[replica.replica_id]
        while idle and not fresh:
            conn = idle.pop()
            if conn.is_usable(now):
                self._counters['connections.reused'] += 1
                return conn
            conn.close()
        self._make_room(replica.replica_id, most)
        conn = HttpConnection(replica.address)
        self._count(replica.replica_id, conn)
        await conn.open()
        self._counters['connections.made'] += 1
        return conn

    def give_back(self, replica: Replica, conn: HttpConnection) -> None:
        """Keep a connection whose answer was read whole."""
        now = asyncio.get_running_loop().time()
        if replica.is_other_start(self._started.get(replica.replica_id, 0)):
            conn.close()
            return
        idle = self._idle[replica.replica_id]
        if conn.is_usable(now) and len(idle) < _IDLE_PER_REPLICA:
            idle.append(conn)
        else:
            conn.close()

    def sweep(self, present: set[str]) -> None:
        """Close connections that are too old or whose replica is gone."""
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
                self._started.pop(replica_id, None)

    def _note_start(self, replica: Replica) -> None:
        """Close what is kept to the start before an endpoint's present one.

        It may have ended behind a cut, without a word to its connections; a
        call on one of them would wait in vain.
        """
        name = replica.replica_id
        if replica.is_other_start(self._started.get(name, 0)):
            for conn in self._idle.pop(name, ()):
                conn.close()
        self._started[name] = replica.started_ms

    def _make_room(self, replica_id: str, most: int) -> None:
        """Close a waiting connection if there are as many as there may be."""
        if not most or self._open[replica_id] < most:
            return
        idle = self._idle[replica_id]
        if not idle:
            raise ConnectionLimitError(f'{replica_id}: all {most} in use')
        idle.pop(0).close()

    def _count(self, replica_id: str, conn: HttpConnection) -> None:
        self._open[replica_id] += 1
        conn.on_end = partial(self._uncount, replica_id)

    def _uncount(self, replica_id: str) -> None:
        self._open[replica_id] -= 1
        if self._open[replica_id] <= 0:
            self._open.pop(replica_id)


async def call_once(
    address: str, method: bytes, path: bytes, body: bytes, deadline: float
) -> tuple[int, bytes]:
    """Make one short call on a connection of its own.

    Returns
    -------
    tuple of int and bytes
        Status and body.

    Raises
    ------
    EndpointError
        No whole answer came.
    """
    conn = HttpConnection(address)
    headers = [(b'host', address.encode())]
    if body:
        headers.append((b'content-type', b'application/json'))
    try:
        await conn.open(deadline)
        conn.send(build_call(method, path, headers, body))
        return await read_answer(conn, deadline)
    finally:
        conn.close()


async def read_answer(
    conn: HttpConnection, deadline: float
) -> tuple[int, bytes]:
    """Read a whole short answer; return its status and body."""
    status = 0
    chunks: list[bytes] = []
    while True:
        part = await conn.read(deadline)
        if isinstance(part, Whole):
            return status, b''.join(chunks)
        if isinstance(part, Part):
            chunks.append(part.body)
        else:
            status = part.status
