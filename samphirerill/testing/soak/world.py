"""A small platform on loopback: store, replicas, nodes, and the operator."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.relay.listeners import listen
from samphirerill.testing.platform_store import StandInStore
from samphirerill.testing.soak.nodes import SoakNode
from samphirerill.testing.soak.proxy import LoopbackProxy
from samphirerill.testing.soak.replicas import LAYERS, Replicas, SoakReplica
from samphirerill.testing.soak.truth import Truth

if TYPE_CHECKING:
    from pathlib import Path

    from samphirerill.relay.server import CallerConnection

HOST = 'soak.example'
KEYS = {'suva': 'key-suva', 'nadi': 'key-nadi'}
_STORE = '127.0.0.2'
_FIRST_NODE = 11
_FIRST_REPLICA = 41
_PULSE_S = 0.1
# How long the entry of a replica that crashed stays.
_ENTRY_S = 1.5
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


class Slot:
    """A place where a replica lives, behind a proxy, start after start."""

    def __init__(self, number: int, port: int, service: str, kind: str) -> None:
        host = f'127.0.0.{_FIRST_REPLICA + number}'
        self.number = number
        self.service = service
        self.kind = kind
        self.address = f'{host}:{port}'
        self.own_address = f'{host}:{port + 1}'
        self.starts = 0
        self.replica: SoakReplica | None = None
        self.proxy = LoopbackProxy(self.address, self._find_target)
        self.entry = b''

    def _find_target(self) -> str:
        return self.own_address


class SoakWorld:
    """Everything the soak runs.

    Parameters
    ----------
    folder : Path
        For settings and logs of the nodes.
    port : int
        The first of six free ports.
    nodes, engines, services : int
        How many of each.
    """

    def __init__(
        self,
        folder: Path,
        port: int,
        nodes: int = 5,
        engines: int = 6,
        services: int = 2,
    ) -> None:
        self.truth = Truth()
        self.service = StandInStore()
        self.version = 0
        self.acked_at: dict[int, float] = {}
        self._store_address = f'{_STORE}:{port}'
        self.nodes = [
            SoakNode(f'node-{at}', f'127.0.0.{_FIRST_NODE + at}', port, folder)
            for at in range(nodes)
        ]
        self.store_proxies = {
            node.name: LoopbackProxy(node.store, self._find_store)
            for node in self.nodes
        }
        self.slots = [Slot(at, port, 'llm', 'half') for at in range(engines)]
        self.slots.extend(
            Slot(engines + at, port, 'desk', '') for at in range(services)
        )
        self._replicas = Replicas(self.truth)
        self._loop = asyncio.get_running_loop()
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start all parts; the nodes may take a second to be ready."""
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
            node.write_settings(seeds=seeds)
            node.start()
        self._tasks.add(asyncio.create_task(self._keep_entries()))

    async def stop(self) -> None:
        """End all that was started here."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for node in self.nodes:
            node.kill()
        living = [slot.replica for slot in self.slots if slot.replica]
        for replica in living:
            replica.stop()
        proxies = [slot.proxy for slot in self.slots]
        proxies.extend(self.store_proxies.values())
        await asyncio.gather(*(proxy.stop() for proxy in proxies))
        for conn in tuple(self._connections):
            conn.cut()
        if self._server is not None:
            self._server.close()

    async def configure(self) -> None:
        """Write the next version; only it has the route ``/vNUMBER/``."""
        self.version += 1
        text = json.encode(_build_configuration(self.version))
        await self.service.put('op/config', text)
        self.acked_at[self.version] = self._loop.time()

    async def start_replica(self, slot: Slot) -> None:
        """Start a replica in an empty place."""
        slot.starts += 1
        slot.replica = SoakReplica(
            self._replicas,
            f'r{slot.number}-{slot.starts}',
            slot.service,
            slot.address,
            slot.own_address,
            slot.kind,
        )
        await slot.replica.start()

    def crash_replica(self, slot: Slot) -> None:
        """End a replica; its entry goes a little later."""
        replica = slot.replica
        if replica is None:
            return
        slot.replica = None
        slot.entry = b''
        replica.stop()
        slot.proxy.reset()
        self._delete_later(replica.replica_id)

    async def leave(self, slot: Slot) -> None:
        """Let a replica announce that it leaves."""
        if slot.replica is not None:
            slot.replica.is_leaving = True
            await self._announce(slot)
            slot.replica.leaving_acked_at = self._loop.time()

    def heal(self) -> None:
        """End everything that harms, but for dead processes and replicas."""
        self.service.busy = False
        self.service.deaf = False
        self.service.lose_answers = 0
        for proxy in self.store_proxies.values():
            proxy.heal()
        for slot in self.slots:
            slot.proxy.heal()

    def _find_store(self) -> str:
        return self._store_address

    def _delete_later(self, replica_id: str) -> None:
        task = asyncio.create_task(self._delete(replica_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _delete(self, replica_id: str) -> None:
        await asyncio.sleep(_ENTRY_S)
        await self.service.delete(f'servers/{replica_id}')

    async def _keep_entries(self) -> None:
        """Announce what has changed, and let leases lapse."""
        while True:
            for slot in self.slots:
                await self._announce(slot)
            await self.service.end_overdue()
            await asyncio.sleep(_PULSE_S)

    async def _announce(self, slot: Slot) -> None:
        if slot.replica is None:
            return
        entry = slot.replica.build_entry()
        if entry != slot.entry:
            slot.entry = entry
            key = f'servers/{slot.replica.replica_id}'
            await self.service.put(key, entry)


def _build_configuration(version: int) -> dict[str, Any]:
    plain = {'host': HOST, 'service': 'desk', 'timeoutMs': 2000}
    return {
        'version': version,
        'routes': [
            {
                'name': 'notes',
                'host': HOST,
                'prefix': '/notes/',
                'kind': 'streaming',
                'service': 'llm',
                'timeoutMs': 8000,
                'sloMs': 500,
                'maxAttempts': 3,
                'resumable': True,
                'gapTargetMs': 200,
            },
            {**plain, 'name': 'look', 'prefix': '/look/', 'kind': 'idempotent'},
            {
                **plain,
                'name': 'book',
                'prefix': '/book/',
                'kind': 'non_idempotent',
            },
            {
                **plain,
                'name': f'v{version}',
                'prefix': f'/v{version}/',
                'kind': 'idempotent',
            },
        ],
        'services': [
            {'name': 'llm', 'engine': _ENGINE},
            {'name': 'desk', 'maxConnections': 200},
        ],
        'tenants': [
            {'name': name, 'apiKeys': [key]} for name, key in KEYS.items()
        ],
    }
