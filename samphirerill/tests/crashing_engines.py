"""Engines that crash when they run a poison request."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import json
from msgspec.structs import replace

from samphirerill.relay.errors import EndpointError
from samphirerill.testing.crashing_replica import CrashingReplica
from samphirerill.testing.free_ports import find_ports
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.processor_time import ProcessorTimeCase
from samphirerill.tests.platform_documents import (
    API_KEY,
    build_announcement,
    build_configuration,
)

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.process import EdgeProcess

POISON = b'this ends whoever runs it'
# Retry budget that is divided by the assumed number of nodes.
RETRY_SLACK = 4000
FAILED = 0
EVENTS = 20
OTHER_KEY = 'viti-key'
_EVENT_INTERVAL_S = 0.02
_ENGINE_COUNT = 6
_RESTART_DELAY_S = 0.4


def build_headers(request_id: str, key: str = API_KEY) -> Headers:
    """Return the headers of a request."""
    return [
        (b'host', b'bridal.example'),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', b'Bearer ' + key.encode()),
        (b'x-samphirerill-token-count', b'800,80'),
    ]


class CrashingEnginesCase(ProcessorTimeCase):
    """Six engines that hold all layers; a crashed one restarts elsewhere.

    `crash_times` are when engines crashed, `poison_sent_at` when poison
    requests reached an engine; `poison_statuses` maps the ids of completed
    poison requests to their status.
    """

    target = b'/notes/x'
    service = 'llm'
    kind = 'vast'
    events = EVENTS
    mark = POISON
    layers: tuple[int, int] | None = (0, 80)

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.harness = PlatformHarness(find_ports())
        self.crash_times: list[float] = []
        self.crashed: set[str] = set()
        self.poison_sent_at: list[float] = []
        self.poison_statuses: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.addAsyncCleanup(self._stop)
        await self.harness.start()
        await self.harness.store.put('op/config', self.build_configuration())
        for _ in range(_ENGINE_COUNT):
            await self.start_engine()
        self.nodes = [self.harness.require_first_node()]
        await self.prepare(self.nodes[0])

    def build_configuration(self) -> bytes:
        """Return the configuration in force: two client accounts."""
        document = json.decode(build_configuration())
        document['tenants'].append({'name': 'viti', 'apiKeys': [OTHER_KEY]})
        return json.encode(document)

    async def start_engine(self) -> None:
        """Start an engine under a new id."""
        name = f'engine-{len(self.harness.replicas)}'
        engine = CrashingReplica(
            name, self.mark, self._record_poison, self._crash
        )
        engine.layers = self.layers or (0, 0)
        engine.event_interval_s = _EVENT_INTERVAL_S
        engine.events = self.events
        await self.harness.start_replica(engine)
        address = self.harness.addresses[name]
        entry = build_announcement(
            self.service, address, self.kind, self.layers
        )
        await self.harness.store.put(f'servers/{name}', entry)

    async def announce_leaving(self, name: str) -> None:
        """Let an engine announce that it shuts down."""
        entry = build_announcement(
            self.service,
            self.harness.addresses[name],
            self.kind,
            self.layers,
            'draining',
        )
        await self.harness.store.put(f'servers/{name}', entry)

    async def add_node(self) -> EdgeProcess:
        """Start another node."""
        node = self.harness.start_node()
        self.nodes.append(node)
        await self.prepare(node)
        return node

    async def prepare(self, node: EdgeProcess) -> None:
        """Wait until a node is ready, and raise its retry budget."""
        await self.harness.wait_until_ready(node)
        async with asyncio.timeout(5):
            while not node.state.view.replicas:
                await asyncio.sleep(0.01)
        node.state.apply_settings(
            replace(node.state.settings, retry_slack=RETRY_SLACK)
        )

    async def ask(
        self,
        node: EdgeProcess,
        request_id: str,
        body: bytes,
        key: str = API_KEY,
    ) -> tuple[int, bytes]:
        """Send a request; the status is 0 if the response breaks off."""
        headers = build_headers(request_id, key)
        try:
            return await self.harness.send_request(
                self.target, headers, body, node
            )
        except EndpointError as exc:
            return FAILED, str(exc).encode()

    async def send_poison(self, node: EdgeProcess, request_id: str) -> None:
        """Send the request that crashes engines."""
        status, _ = await self.ask(node, request_id, POISON)
        self.poison_statuses[request_id] = status

    def list_executed(self) -> set[str]:
        """Return the ids of poison requests that reached an engine."""
        return {
            (req.get(b'x-samphirerill-request-id') or b'').decode()
            for engine in self.harness.replicas.values()
            for req in engine.received_requests
            if POISON in req.body
        }

    def count_late_sends(self, grace_s: float) -> int:
        """Return the sends after a grace time from the third crash."""
        if len(self.crash_times) < 3:
            return 0
        since = self.crash_times[2] + grace_s
        return sum(at > since for at in self.poison_sent_at)

    def list_running(self) -> set[str]:
        """Return the engines that have not crashed."""
        return self.harness.replicas.keys() - self.crashed

    def crash_engine(self, name: str) -> None:
        """Crash an engine; a new one starts soon after."""
        self._crash(name)

    def _record_poison(self) -> None:
        self.poison_sent_at.append(self.loop.time())

    def _crash(self, name: str) -> None:
        self.crash_times.append(self.loop.time())
        self.crashed.add(name)
        task = asyncio.create_task(self._restart())
        self._tasks.add(task)
        self.harness.crash_replica(name)

    async def _restart(self) -> None:
        await asyncio.sleep(_RESTART_DELAY_S)
        await self.start_engine()

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.harness.stop()
