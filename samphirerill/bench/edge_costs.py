"""Processor time of a platform node per request, in total and by function.

    python -m samphirerill.bench.edge_costs stream
    python -m samphirerill.bench.edge_costs plain profile

The node is a process of its own; store, engines and clients run in this one.
Among 97 replicas that a path search has to look at, one engine serves.
"""

from __future__ import annotations

import asyncio
import cProfile
import os
import pstats
import signal
import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from samphirerill.node.log_sink import LogSink
from samphirerill.node.logs import start_logging
from samphirerill.platform.http_adapter import HttpPlatformAdapter
from samphirerill.platform.settings import EdgeSettings
from samphirerill.platform.store import PlatformStore
from samphirerill.platform import wire_names
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.pool import read_response
from samphirerill.relay.process import EdgeProcess
from samphirerill.settings.model import LogSettings
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.platform_documents import (
    API_KEY,
    build_announcement,
    build_configuration,
)

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers

_HOST = '127.0.0.1'
_TARGETS = {'stream': b'/notes/x', 'plain': b'/pickup/x'}
_REQUESTS = {'stream': 240, 'plain': 3000}
# Fewer than the connections that one node may open to the plain service.
_CLIENTS = 4
_EVENTS = 40
_EVENT_INTERVAL_S = 0.01
_TAIL_REPLICAS = 96
_TIMEOUT_S = 20.0
_POLL_S = 0.05
_US_PER_S = 1_000_000
_LISTED_FUNCTIONS = 45
_OK = 200


class _Fleet(PlatformHarness):
    """The store, the engines and a plain service."""

    async def fill(self) -> None:
        """Start and announce the replicas."""
        await self.start()
        await self.store.put('op/config', build_configuration())
        await self._add('desk-1', 'desk', '', None)
        replicas = {'engine-1': ('vast', (0, 80))}
        for number in range(_TAIL_REPLICAS):
            first = number % 8 * 10
            replicas[f'tail-{number}'] = ('small', (first, first + 10))
        for name, (kind, layers) in replicas.items():
            await self._add(name, 'llm', kind, layers)
        await self.wait_for_replica_count(_TAIL_REPLICAS + 2)

    async def _add(
        self,
        name: str,
        service: str,
        kind: str,
        layers: tuple[int, int] | None,
    ) -> None:
        """Start and announce a replica."""
        replica = await self.add_replica(name, _EVENTS)
        replica.event_interval_s = _EVENT_INTERVAL_S
        entry = build_announcement(service, self.addresses[name], kind, layers)
        await self.store.put(f'servers/{name}', entry)


async def _run_node(store_address: str, profile_path: str) -> None:
    """Run the node; print its port, and write a profile when told to end."""
    settings = EdgeSettings(
        name='measured',
        data_centre='a',
        host=_HOST,
        callers=f'{_HOST}:0',
        readiness=f'{_HOST}:0',
        peers=f'{_HOST}:0',
        store=store_address,
        exchange_port=0,
        metrics_port=0,
    )
    loop = asyncio.get_running_loop()
    store = PlatformStore(store_address)
    process = EdgeProcess(settings, HttpPlatformAdapter(), store)
    running = loop.create_task(process.run())
    while not process.is_ready() or len(process.state.view.replicas) < 3:
        await asyncio.sleep(_POLL_S)
    profiler = cProfile.Profile()
    loop.add_signal_handler(
        signal.SIGUSR1, profiler.enable if profile_path else profiler.disable
    )
    ended = asyncio.Event()
    loop.add_signal_handler(signal.SIGUSR2, ended.set)
    sys.stdout.write(f'{process.get_port()}\n')
    sys.stdout.flush()
    await ended.wait()
    if profile_path:
        profiler.disable()
        profiler.dump_stats(profile_path)
    running.cancel()
    process.close()
    os._exit(0)


async def _send_all(kind: str, port: int, count: int) -> None:
    """Send requests, each client on one connection."""
    await asyncio.gather(
        *(_send(kind, port, count // _CLIENTS) for _ in range(_CLIENTS))
    )


async def _send(kind: str, port: int, count: int) -> None:
    conn = HttpConnection(f'{_HOST}:{port}')
    await conn.open()
    for number in range(count):
        headers: Headers = [
            (b'host', b'bridal.example'),
            (wire_names.REQUEST_ID, b'r%d' % number),
            (b'authorization', b'Bearer ' + API_KEY.encode()),
            (wire_names.TOKEN_COUNTS, b'800,80'),
        ]
        conn.send(serialize_request(b'POST', _TARGETS[kind], headers, b'x'))
        deadline = asyncio.get_running_loop().time() + _TIMEOUT_S
        status, body = await read_response(conn, deadline)
        if status != _OK:
            raise RuntimeError(f'got {status} {body!r}, expected {_OK}')
    conn.close()


def _read_cpu_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks / os.sysconf('SC_CLK_TCK')


async def _measure(kind: str, profile_path: str) -> float:
    """Return the node's processor time per request in microseconds."""
    fleet = _Fleet()
    await fleet.fill()
    store = fleet.require_first_node().state.settings.store
    node = await _start_node(store, profile_path)
    try:
        spent_s = await _count_cpu_s(node, kind)
    finally:
        await _stop(node, fleet)
    return spent_s / _REQUESTS[kind] * _US_PER_S


async def _stop(node: asyncio.subprocess.Process, fleet: _Fleet) -> None:
    node.send_signal(signal.SIGUSR2)
    await node.wait()
    await fleet.stop()


async def _start_node(
    store: str, profile_path: str
) -> asyncio.subprocess.Process:
    """Start a node as a process of its own."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'samphirerill.bench.edge_costs',
        'node',
        store,
        profile_path,
        stdout=asyncio.subprocess.PIPE,
    )


async def _count_cpu_s(node: asyncio.subprocess.Process, kind: str) -> float:
    """Send the requests; return the processor time that the node spends."""
    assert node.stdout is not None
    port = int(await node.stdout.readline())
    count = _REQUESTS[kind]
    await _send_all(kind, port, count // 10)
    node.send_signal(signal.SIGUSR1)
    before_s = _read_cpu_s(node.pid)
    await _send_all(kind, port, count)
    return _read_cpu_s(node.pid) - before_s


def _list_functions(path: str, count: int) -> list[str]:
    """Return the own and the total time per request of each function."""
    stats = pstats.Stats(path).stats  # type: ignore[attr-defined]
    rows = sorted(stats.items(), key=lambda row: row[1][2], reverse=True)
    lines = []
    for (file, line, name), (_, calls, own_s, total_s, _) in rows:
        place = '/'.join(Path(file).parts[-2:])
        own_us = own_s * _US_PER_S / count
        total_us = total_s * _US_PER_S / count
        figures = f'{own_us:8.1f} {total_us:8.1f} {calls / count:7.1f}'
        lines.append(f'{figures}  {place}:{line} {name}')
    return lines[:_LISTED_FUNCTIONS]


def measure(kind: str, mode: str) -> None:
    """Measure one kind of request, and print the result."""
    with tempfile.NamedTemporaryFile() as profile:
        path = profile.name if mode == 'profile' else ''
        spent_us = asyncio.run(_measure(kind, path))
        sys.stdout.write(f'{kind}: {spent_us:.0f} us a request\n')
        if path:
            sys.stdout.write('  own us total us   calls  function\n')
            lines = _list_functions(path, _REQUESTS[kind])
            sys.stdout.write('\n'.join((*lines, '')))


def _main(kind: str, mode: str = '', profile_path: str = '') -> None:
    """Run a node for a store, given as `mode`, or measure."""
    if kind == 'node':
        sink = LogSink(os.open(os.devnull, os.O_WRONLY))
        start_logging(LogSettings(form='json'), sink)
        asyncio.run(_run_node(mode, profile_path))
    else:
        measure(kind, mode)


if __name__ == '__main__':
    _main(*sys.argv[1:])
