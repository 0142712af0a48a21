"""A node on a small platform of stand-ins, all in one loop."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.platform.dialect import PlatformDialect
from samphirerill.platform.settings import EdgeSettings
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.connection import HttpConnection, build_call
from samphirerill.relay.listeners import listen
from samphirerill.relay.pool import read_answer
from samphirerill.relay.process import EdgeProcess
from samphirerill.testing.platform_replicas import StandInReplica
from samphirerill.testing.platform_store import StandInStore

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import CallerConnection

_HOST = '127.0.0.1'
_ANY_PORT = f'{_HOST}:0'
# Only ends a test that hangs: on a busy machine a stream of two seconds takes six.
_PATIENCE_S = 20.0
_STEP_S = 0.01


class PlatformWorld:
    """The store, replicas and one node; `start` runs them."""

    def __init__(self) -> None:
        self.service = StandInStore()
        self.replicas: dict[str, StandInReplica] = {}
        self.addresses: dict[str, str] = {}
        self._connections: set[CallerConnection] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._store: PlatformStore | None = None
        self._task: asyncio.Task[int] | None = None
        self.process: EdgeProcess | None = None

    async def start(self) -> None:
        """Start the store and the node."""
        server = await listen(_ANY_PORT, self.service, self._connections)
        self._servers[''] = server
        address = f'{_HOST}:{server.sockets[0].getsockname()[1]}'
        settings = EdgeSettings(
            name='node-1',
            data_centre='a',
            host=_HOST,
            callers=_ANY_PORT,
            readiness=_ANY_PORT,
            peers=_ANY_PORT,
            store=address,
            exchange_port=0,
            metrics_port=0,
            finish_s=6,
        )
        self._store = PlatformStore(address)
        self.process = EdgeProcess(settings, PlatformDialect(), self._store)
        self._task = asyncio.create_task(self.process.run())

    async def stop(self) -> None:
        """End the node and all stand-ins."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self.process is not None:
            self.process.close()
        for server in self._servers.values():
            server.close()
        for conn in tuple(self._connections):
            conn.cut()
        if self._store is not None:
            self._store.close()
        await asyncio.sleep(0.02)

    async def add(self, name: str, events: int = 5) -> StandInReplica:
        """Start a replica; it is announced by the test itself."""
        replica = StandInReplica(name, events)
        server = await listen(_ANY_PORT, replica, self._connections)
        self._servers[name] = server
        port = server.sockets[0].getsockname()[1]
        self.addresses[name] = f'{_HOST}:{port}'
        self.replicas[name] = replica
        return replica

    def expect_process(self) -> EdgeProcess:
        """Return the node, ready or not."""
        if self.process is None:
            raise RuntimeError('the node is not there: call start() first')
        return self.process

    async def until_ready(self) -> EdgeProcess:
        """Wait until the node takes requests; return it."""
        async with asyncio.timeout(_PATIENCE_S):
            while self.process is None or not self.process.is_ready():
                await asyncio.sleep(_STEP_S)
        return self.process

    async def until_known(self, count: int) -> None:
        """Wait until the node knows so many replicas."""
        process = await self.until_ready()
        async with asyncio.timeout(_PATIENCE_S):
            while len(process.state.view.known) != count:
                await asyncio.sleep(_STEP_S)

    async def connect(self) -> HttpConnection:
        """Return a client's connection to the node."""
        process = await self.until_ready()
        conn = HttpConnection(f'{_HOST}:{process.get_port()}')
        await conn.open()
        return conn

    async def ask(
        self, target: bytes, headers: Headers, body: bytes = b''
    ) -> tuple[int, bytes]:
        """Send one request; return the status and the whole body."""
        conn = await self.connect()
        try:
            conn.send(build_call(b'POST', target, headers, body))
            deadline = asyncio.get_running_loop().time() + _PATIENCE_S
            return await read_answer(conn, deadline)
        finally:
            conn.close()
