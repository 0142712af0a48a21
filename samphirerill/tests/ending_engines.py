"""Engines that a marked request ends, as a fault of the engine's makes it."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.testing.ending_replica import EndingReplica
from samphirerill.testing.platform_world import PlatformWorld
from samphirerill.tests.platform_documents import (
    KEY,
    build_configuration,
    build_entry,
)

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.process import EdgeProcess

MARK = b'this ends whoever runs it'
# As many nodes share the slack as are taken for granted; each has plenty.
PLENTY = 4000
CUT = 0
EVENTS = 20
OTHER_KEY = 'viti-key'
_GAP_S = 0.02
_ENGINES = 6
_BACK_AFTER_S = 0.4


def find_ports() -> tuple[int, int]:
    """Return a free port for datagrams and one for calls."""
    with (
        socket.socket(type=socket.SOCK_DGRAM) as exchange,
        socket.socket() as peers,
    ):
        for sock in (exchange, peers):
            sock.bind(('127.0.0.1', 0))
        return exchange.getsockname()[1], peers.getsockname()[1]


def build_headers(request_id: str, key: str = KEY) -> Headers:
    """Return the headers of a request."""
    return [
        (b'host', b'bridal.example'),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', b'Bearer ' + key.encode()),
        (b'x-samphirerill-token-count', b'800,80'),
    ]


class EndingEnginesCase(IsolatedAsyncioTestCase):
    """Six whole engines; one that ends is back at another address, empty.

    `ends` are when engines ended, `sends` when marked requests reached one;
    `marked` holds the statuses of those that have their answer, by id.
    """

    target = b'/notes/x'
    service = 'llm'
    kind = 'vast'
    events = EVENTS
    layers: tuple[int, int] | None = (0, 80)

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.world = PlatformWorld(find_ports())
        self.ends: list[float] = []
        self.ended: set[str] = set()
        self.sends: list[float] = []
        self.marked: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(self._stop)
        await self.world.start()
        await self.world.service.put('op/config', self.build_configuration())
        for _ in range(_ENGINES):
            await self.start_engine()
        self.nodes = [self.world.expect_process()]
        await self.prepare(self.nodes[0])

    def build_configuration(self) -> bytes:
        """Return the configuration in force: two client accounts."""
        document = json.decode(build_configuration())
        document['tenants'].append({'name': 'viti', 'apiKeys': [OTHER_KEY]})
        return json.encode(document)

    async def start_engine(self) -> None:
        """Start an engine under an id of its own."""
        name = f'engine-{len(self.world.replicas)}'
        engine = EndingReplica(name, MARK, self._note_marked, self._end)
        engine.layers = self.layers or (0, 0)
        engine.gap_s = _GAP_S
        engine.events = self.events
        await self.world.run_replica(engine)
        address = self.world.addresses[name]
        entry = build_entry(self.service, address, self.kind, self.layers)
        await self.world.service.put(f'servers/{name}', entry)

    async def announce_leaving(self, name: str) -> None:
        """Let an engine say that it leaves."""
        entry = build_entry(
            self.service,
            self.world.addresses[name],
            self.kind,
            self.layers,
            'draining',
        )
        await self.world.service.put(f'servers/{name}', entry)

    async def add_node(self) -> EdgeProcess:
        """Start one more node."""
        node = self.world.start_node()
        self.nodes.append(node)
        await self.prepare(node)
        return node

    async def prepare(self, node: EdgeProcess) -> None:
        """Wait until a node serves, and give it plenty of repeats."""
        await self.world.until_ready(node)
        async with asyncio.timeout(5):
            while not node.state.view.known:
                await asyncio.sleep(0.01)
        node.state.change_settings(
            replace(node.state.settings, retry_slack=PLENTY)
        )

    async def ask(
        self,
        node: EdgeProcess,
        request_id: str,
        body: bytes,
        key: str = KEY,
    ) -> tuple[int, bytes]:
        """Send a request; the status is 0 if its answer is cut."""
        headers = build_headers(request_id, key)
        try:
            return await self.world.ask(self.target, headers, body, node)
        except EndpointError as exc:
            return CUT, str(exc).encode()

    async def send_marked(self, node: EdgeProcess, request_id: str) -> None:
        """Send the request that ends engines."""
        status, _ = await self.ask(node, request_id, MARK)
        self.marked[request_id] = status

    def list_reached(self) -> set[str]:
        """Return the ids of marked requests that reached an engine."""
        return {
            (req.get(b'x-samphirerill-request-id') or b'').decode()
            for engine in self.world.replicas.values()
            for req in engine.seen
            if MARK in req.body
        }

    def count_late(self, grace_s: float) -> int:
        """Return the sends later than so long after the third end."""
        if len(self.ends) < 3:
            return 0
        since = self.ends[2] + grace_s
        return sum(at > since for at in self.sends)

    def list_running(self) -> set[str]:
        """Return the engines that have not ended."""
        return self.world.replicas.keys() - self.ended

    def end_engine(self, name: str) -> None:
        """End an engine; it is back soon, elsewhere and empty."""
        self._end(name)

    def _note_marked(self) -> None:
        self.sends.append(self.loop.time())

    def _end(self, name: str) -> None:
        self.ends.append(self.loop.time())
        self.ended.add(name)
        task = asyncio.create_task(self._come_back())
        self._tasks.add(task)
        self.world.end_replica(name)

    async def _come_back(self) -> None:
        await asyncio.sleep(_BACK_AFTER_S)
        await self.start_engine()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.world.stop()
