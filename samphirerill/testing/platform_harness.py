"""Test harness: nodes, fake store and fake replicas in one event loop."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.platform.store import PlatformStore
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.listeners import listen, listen_with
from samphirerill.relay.pool import read_response
from samphirerill.relay.process import EdgeProcess
from samphirerill.testing.fake_connection import FakeConnection
from samphirerill.testing.platform_replicas import FakeReplica
from samphirerill.testing.platform_store import FakePlatformStore

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import ClientConnection

_HOST = '127.0.0.1'
_ANY_PORT = f'{_HOST}:0'
# Ends a test that hangs; generous, for loaded machines.
_TEST_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.01


class PlatformHarness:
    """A fake store, fake replicas and one or more nodes.

    Parameters
    ----------
    ports : tuple of int
        Ports for datagrams and for calls between nodes, the same on each node;
        by default nodes do not communicate.

    Attributes
    ----------
    accepted_connections : Counter
        Number of connections that were opened to each replica.
    """

    def __init__(self, ports: tuple[int, int] = (0, 0)) -> None:
        self._ports = ports
        self._nodes: list[tuple[EdgeProcess, asyncio.Task[int]]] = []
        self.store = FakePlatformStore()
        self.accepted_connections: Counter[str] = Counter()
        self.replicas: dict[str, FakeReplica] = {}
        self.addresses: dict[str, str] = {}
        self._connections: set[ClientConnection] = set()
        self._replica_connections: dict[str, set[FakeConnection]] = {}
        self._servers: dict[str, asyncio.Server] = {}
        self._stores: list[PlatformStore] = []
        self._store_address = ''
        self.first_node: EdgeProcess | None = None

    async def start(self) -> None:
        """Start the store and the first node."""
        server = await listen(_ANY_PORT, self.store, self._connections)
        self._servers[''] = server
        port = server.sockets[0].getsockname()[1]
        self._store_address = f'{_HOST}:{port}'
        self.first_node = self.start_node()

    def start_node(self) -> EdgeProcess:
        """Start another node, on its own loopback address."""
        host = f'127.0.0.{1 + len(self._nodes)}'
        exchange_port, peers_port = self._ports
        settings = EdgeSettings(
            name=f'node-{1 + len(self._nodes)}',
            data_centre='a',
            host=host,
            callers=f'{host}:0',
            readiness=f'{host}:0',
            peers=f'{host}:{peers_port}',
            store=self._store_address,
            exchange_port=exchange_port,
            metrics_port=0,
            finish_s=6,
        )
        store = PlatformStore(self._store_address)
        self._stores.append(store)
        process = EdgeProcess(settings, HttpPlatformAdapter(), store)
        self._nodes.append((process, asyncio.create_task(process.run())))
        return process

    async def stop_node(self, process: EdgeProcess) -> None:
        """Stop a node abruptly, as if it was killed."""
        for known, task in self._nodes:
            if known is process:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                process.close()

    async def stop(self) -> None:
        """Stop the nodes and all fakes."""
        for process, _ in self._nodes:
            await self.stop_node(process)
        for server in self._servers.values():
            server.close()
        for conn in tuple(self._connections):
            conn.abort()
        for name in tuple(self._replica_connections):
            self.crash_replica(name)
        for store in self._stores:
            store.close()
        await asyncio.sleep(0.02)

    async def add_replica(self, name: str, events: int = 5) -> FakeReplica:
        """Start a replica without registering it; tests write its entry."""
        replica = FakeReplica(name, events)
        await self.start_replica(replica)
        return replica

    async def start_replica(self, replica: FakeReplica) -> None:
        """Start listening for a replica."""
        name = replica.replica_id
        connections: set[FakeConnection] = set()

        def build_connection() -> FakeConnection:
            self.accepted_connections[name] += 1
            return FakeConnection(replica, connections, replica.delivery)

        server = await listen_with(build_connection, _ANY_PORT)
        self._servers[name] = server
        self._replica_connections[name] = connections
        port = server.sockets[0].getsockname()[1]
        self.addresses[name] = f'{_HOST}:{port}'
        self.replicas[name] = replica

    def is_store(self, address: str) -> bool:
        """Return whether the store serves an ``IP:PORT``."""
        return address == self._store_address

    def is_replica(self, address: str) -> bool:
        """Return whether a replica was started at an ``IP:PORT``."""
        return address in self.addresses.values()

    def crash_replica(self, name: str) -> None:
        """Stop a replica abruptly: close its port and all its connections."""
        self._servers[name].close()
        for conn in tuple(self._replica_connections.pop(name, ())):
            conn.crash(is_reset=False)

    def require_first_node(self) -> EdgeProcess:
        """Return the first node, ready or not."""
        if self.first_node is None:
            raise RuntimeError('no node is running: call start() first')
        return self.first_node

    async def wait_until_ready(
        self, process: EdgeProcess | None = None
    ) -> EdgeProcess:
        """Wait until a node, by default the first, is ready."""
        node = process or self.require_first_node()
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            while not node.is_ready():
                self._raise_if_ended(node)
                await asyncio.sleep(_POLL_INTERVAL_S)
        return node

    async def wait_for_replica_count(
        self, count: int, process: EdgeProcess | None = None
    ) -> None:
        """Wait until a node, by default the first, knows `count` replicas."""
        process = await self.wait_until_ready(process)
        async with asyncio.timeout(_TEST_TIMEOUT_S):
            while len(process.state.view.replicas) != count:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def connect(
        self, process: EdgeProcess | None = None
    ) -> HttpConnection:
        """Open a client connection to a node, by default the first."""
        node = await self.wait_until_ready(process)
        host = node.state.settings.host
        conn = HttpConnection(f'{host}:{node.get_port()}')
        await conn.open()
        return conn

    async def send_request(
        self,
        target: bytes,
        headers: Headers,
        body: bytes = b'',
        process: EdgeProcess | None = None,
    ) -> tuple[int, bytes]:
        """Send one request; return the status and the complete body."""
        conn = await self.connect(process)
        try:
            conn.send(serialize_request(b'POST', target, headers, body))
            deadline = asyncio.get_running_loop().time() + _TEST_TIMEOUT_S
            return await read_response(conn, deadline)
        finally:
            conn.close()

    def _raise_if_ended(self, process: EdgeProcess) -> None:
        """Raise why a node has ended, if it has."""
        for known, task in self._nodes:
            if known is process and task.done():
                raise RuntimeError(
                    f'{process.state.settings.name} has ended'
                ) from task.exception()
