"""The system under test on loopback: store, replicas and nodes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.fleet.model import MS_PER_S
from samphirerill.relay.listeners import listen
from samphirerill.testing.platform_store import FakePlatformStore
from samphirerill.testing.soak.cuttable_node import FIRST_REPLICA_OCTET
from samphirerill.testing.soak.ground_truth import GroundTruth
from samphirerill.testing.soak.nodes import SoakNode
from samphirerill.testing.soak.pipelines import LAYERS
from samphirerill.testing.soak.proxy import LoopbackProxy
from samphirerill.testing.soak.replicas import ReplicaRegistry, SoakReplica

if TYPE_CHECKING:
    from pathlib import Path

    from samphirerill.relay.server import ClientConnection

HOST = 'soak.example'
KEYS = {'suva': 'key-suva', 'nadi': 'key-nadi'}
# Accounts and route ranks of runs with floods; other routes have rank 5.
LOAD_KEYS = {
    name: f'key-{name}'
    for name in ('flood', 'small-0', 'small-1', 'small-2', 'line', 'rest')
}
_LOAD_RANKS = {'urgent': 0, 'bulk': 5, 'least': 7}
# Three pipelines run 18 streams; the clients of other kinds send 8 at once.
_LOAD_SLOTS = 6
# Kinds of requests whose route or service some configurations drop.
DROPPED_KINDS = frozenset(('brief', 'extra'))
STREAMS = frozenset(('notes', 'brief'))
_BRIEF_DROPPED_EVERY = 2
_EXTRA_DROPPED_EVERY = 3
_PLAIN_TIMEOUT_MS = 2000
_PLAIN_ATTEMPTS = 2
_STREAM: dict[str, Any] = {
    'host': HOST,
    'kind': 'streaming',
    'service': 'llm',
    'timeoutMs': 8000,
    'sloMs': 500,
    'maxAttempts': 3,
    'resumable': True,
    'gapTargetMs': 200,
}
_STORE_HOST = '127.0.0.2'
_FIRST_NODE_OCTET = 11
_PUBLISH_INTERVAL_S = 0.1
# How long the registry entry of a crashed replica remains.
_ENTRY_REMOVAL_DELAY_S = 1.5
_ENGINE: dict[str, Any] = {
    'slots': 96,
    'kvTokenBytes': 1_000_000,
    'stride': 1,
    'models': [{'name': 'm', 'loadS': 1}],
    'step_ms': 1,
    'per_seq_ms': 0.01,
    'context_per_k': 0.01,
    'read_per_s': 100_000,
    'loads_at_once': 6,
    'usual': {'prompt': 20, 'answer': 20},
    'layers': LAYERS,
    'layerMb': 100,
    'activationBytes': 1000,
    'pipeMbps': 10_000,
    'kinds': [{'name': 'half', 'sizeMb': 6000, 'pace': 1, 'readFactor': 1}],
}


class ReplicaSlot:
    """A fixed address behind a proxy, at which replicas run in turn."""

    def __init__(self, number: int, port: int, service: str, kind: str) -> None:
        host = f'127.0.0.{FIRST_REPLICA_OCTET + number}'
        self.number = number
        self.service = service
        self.kind = kind
        self.address = f'{host}:{port}'
        self.listen_address = f'{host}:{port + 1}'
        self.starts = 0
        self.replica: SoakReplica | None = None
        self.proxy = LoopbackProxy(self.address, self._get_target)
        self.entry = b''

    def _get_target(self) -> str:
        return self.listen_address


class SoakEnvironment:
    """All processes and servers of a soak run.

    Parameters
    ----------
    folder : Path
        Directory of the nodes' settings and logs.
    port : int
        First of six consecutive free ports.
    nodes, engines, services, extras : int
        The number of nodes, engines, plain replicas, and plain replicas of a
        service that some configurations drop.
    is_loaded : bool
        Whether nodes share capacity between ranks and accounts, and engines
        have few slots.
    """

    def __init__(
        self,
        folder: Path,
        port: int,
        nodes: int = 5,
        engines: int = 6,
        services: int = 2,
        extras: int = 1,
        *,
        is_loaded: bool = False,
    ) -> None:
        self.ground_truth = GroundTruth()
        self.service = FakePlatformStore()
        self.version = 0
        self._is_loaded = is_loaded
        self.committed_at: dict[int, float] = {}
        self._store_address = f'{_STORE_HOST}:{port}'
        self.nodes = [
            SoakNode(
                f'node-{index}',
                f'127.0.0.{_FIRST_NODE_OCTET + index}',
                port,
                folder,
            )
            for index in range(nodes)
        ]
        self.store_proxies = {
            node.name: LoopbackProxy(node.store, self._get_store_address)
            for node in self.nodes
        }
        self.slots = [
            ReplicaSlot(index, port, 'llm', 'half') for index in range(engines)
        ]
        self.slots.extend(
            ReplicaSlot(engines + index, port, 'desk', '')
            for index in range(services)
        )
        self.slots.extend(
            ReplicaSlot(engines + services + index, port, 'extra', '')
            for index in range(extras)
        )
        self._replicas = ReplicaRegistry(self.ground_truth)
        self._loop = asyncio.get_running_loop()
        self._connections: set[ClientConnection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start everything, without waiting for the nodes to be ready."""
        self._server = await listen(
            self._store_address, self.service, self._connections
        )
        for proxy in self.store_proxies.values():
            await proxy.start()
        for slot in self.slots:
            await slot.proxy.start()
            await self.start_replica(slot)
        await self.configure()
        seeds = [str(node.settings['peers']) for node in self.nodes]
        for node in self.nodes:
            sharing = dict.fromkeys(('ranks', 'accounts'), self._is_loaded)
            node.write_settings(seeds=seeds, sharing=sharing)
            node.start()
        self._tasks.add(asyncio.create_task(self._publish_entries()))

    async def stop(self) -> None:
        """Stop everything that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            node.kill()
        running = [slot.replica for slot in self.slots if slot.replica]
        for replica in running:
            replica.stop()
        proxies = [slot.proxy for slot in self.slots]
        proxies.extend(self.store_proxies.values())
        await asyncio.gather(*(proxy.stop() for proxy in proxies))
        for conn in tuple(self._connections):
            conn.abort()
        if self._server is not None:
            self._server.close()

    async def configure(self) -> None:
        """Store the next configuration version, with a route ``/vVERSION/``.

        No other version has that route, so a request to it shows whether a
        node serves with this version.
        """
        self.version += 1
        await self._write_configuration()
        self.committed_at[self.version] = self._loop.time()

    async def rewrite_entries(self) -> None:
        """Write again what a restore of the store has lost."""
        await self._write_configuration()
        present = set()
        for slot in self.slots:
            if slot.replica is not None:
                present.add(f'servers/{slot.replica.replica_id}')
                slot.entry = b''
                await self._publish_entry(slot)
        for key in tuple(self.service.keys):
            if key.startswith('servers/') and key not in present:
                self._schedule_entry_removal(key.removeprefix('servers/'))

    async def start_replica(self, slot: ReplicaSlot) -> None:
        """Start a new replica in an empty slot."""
        slot.starts += 1
        slot.replica = SoakReplica(
            self._replicas,
            f'r{slot.number}-{slot.starts}',
            slot.service,
            slot.address,
            slot.listen_address,
            slot.kind,
        )
        await slot.replica.start()

    def crash_replica(self, slot: ReplicaSlot) -> None:
        """Stop a replica abruptly; its registry entry is deleted later."""
        replica = slot.replica
        if replica is None:
            return
        slot.replica = None
        slot.entry = b''
        replica.stop()
        if slot.starts % 2 == 0:
            # Else its connections end in order, some inside an event.
            slot.proxy.reset()
        self._schedule_entry_removal(replica.replica_id)

    async def announce_drain(self, slot: ReplicaSlot) -> None:
        """Mark a replica as draining in the service registry."""
        if slot.replica is not None:
            slot.replica.is_leaving = True
            slot.replica.announces_leaving = True
            await self._publish_entry(slot)
            slot.replica.leaving_since = self._loop.time()

    def start_saying_leaving(self, slot: ReplicaSlot) -> None:
        """Make a replica say in its responses that it is leaving."""
        if slot.replica is not None:
            slot.replica.is_leaving = True
            slot.replica.says_leaving = True

    def clear_faults(self) -> None:
        """Clear all faults except stopped processes and replicas."""
        self.service.is_unavailable = False
        self.service.withholds_changes = False
        self.service.responses_to_lose = 0
        for proxy in self.store_proxies.values():
            proxy.clear_faults()
        for slot in self.slots:
            slot.proxy.clear_faults()

    async def _write_configuration(self) -> None:
        document = _build_configuration(self.version)
        if self._is_loaded:
            _add_load(document)
        await self.service.put('op/config', json.encode(document))

    def _get_store_address(self) -> str:
        return self._store_address

    def _schedule_entry_removal(self, replica_id: str) -> None:
        task = asyncio.create_task(self._remove_entry(replica_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _remove_entry(self, replica_id: str) -> None:
        await asyncio.sleep(_ENTRY_REMOVAL_DELAY_S)
        await self.service.delete(f'servers/{replica_id}')

    async def _publish_entries(self) -> None:
        """Publish changed registry entries and expire leases."""
        while True:
            for slot in self.slots:
                await self._publish_entry(slot)
            await self.service.expire_overdue_leases()
            await asyncio.sleep(_PUBLISH_INTERVAL_S)

    async def _publish_entry(self, slot: ReplicaSlot) -> None:
        if slot.replica is None:
            return
        entry = slot.replica.build_entry()
        if entry != slot.entry:
            slot.entry = entry
            key = f'servers/{slot.replica.replica_id}'
            await self.service.put(key, entry)


def get_timeout_s(kind: str) -> float:
    """Return the timeout of the route for a kind of request."""
    timeout_ms = _STREAM['timeoutMs'] if kind in STREAMS else _PLAIN_TIMEOUT_MS
    return timeout_ms / MS_PER_S


def _build_configuration(version: int) -> dict[str, Any]:
    routes = [
        {**_STREAM, 'name': 'notes', 'prefix': '/notes/'},
        _build_plain_route('look', 'desk'),
        _build_plain_route('book', 'desk', 'non_idempotent'),
        _build_plain_route(f'v{version}', 'desk'),
    ]
    services: list[dict[str, Any]] = [
        {'name': 'llm', 'engine': _ENGINE},
        {'name': 'desk', 'maxConnections': 200},
    ]
    if version % _BRIEF_DROPPED_EVERY:
        routes.append({**_STREAM, 'name': 'brief', 'prefix': '/brief/'})
    if version % _EXTRA_DROPPED_EVERY:
        routes.append(_build_plain_route('extra', 'extra'))
        services.append({'name': 'extra', 'maxConnections': 200})
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': [
            {'name': name, 'apiKeys': [key]} for name, key in KEYS.items()
        ],
    }


def _add_load(document: dict[str, Any]) -> None:
    """Add routes with ranks and accounts, and leave engines few slots."""
    document['routes'].extend(
        {**_STREAM, 'name': name, 'prefix': f'/{name}/', 'priority': rank}
        for name, rank in _LOAD_RANKS.items()
    )
    document['tenants'].extend(
        {'name': name, 'apiKeys': [key]} for name, key in LOAD_KEYS.items()
    )
    document['services'][0]['engine'] = {**_ENGINE, 'slots': _LOAD_SLOTS}


def _build_plain_route(
    name: str, service: str, kind: str = 'idempotent'
) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'prefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': _PLAIN_TIMEOUT_MS,
        'maxAttempts': _PLAIN_ATTEMPTS,
    }
