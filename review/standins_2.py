"""Stand-ins for the scripts of this review: platform store, servers, clients.

The nodes are processes, started with the command of the deploy file and with
settings rendered from its template. Everything else runs in the event loop of the
script, on loopback addresses.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from dataclasses import dataclass, field
from pathlib import Path

from samphirerill.relay.listeners import listen
from samphirerill.testing.platform_store import FakePlatformStore

ROOT = Path(__file__).resolve().parent.parent
HOST = 'desk.example'
# Tenants of the configuration, by API key.
TENANTS = {'n2ctnfzs989anu6wsjnb': 'hule930', 'q81xkvd3m0w7yte5c2ra': 'suva117'}
KEY = 'n2ctnfzs989anu6wsjnb'
CONTACT_S = 3.0
# As in a small deployment: 80 layers of 1,750 MB.
LAYERS = 80
ENGINE = {
    'slots': 96,
    'stride': 1,
    'step_ms': 0.85,
    'per_seq_ms': 0.01,
    'context_per_k': 0.01,
    'read_per_s': 196_000,
    'chunk': 512,
    'loads_at_once': 6,
    'usual': {'prompt': 800, 'answer': 120},
    'layers': LAYERS,
    'layerMb': 1750,
    'kvTokenBytes': 40_000,
    'activationBytes': 1000,
    'pipeMbps': 11_000,
    'models': [{'name': 'm0', 'loadS': 14}],
    'kinds': [
        {'name': 'h100', 'sizeMb': 72_000, 'pace': 1.4, 'readFactor': 1}
    ],
}
BOUNDS = {
    'contactMs': 3000,
    'drainMs': 2000,
    'graceS': 8,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 198,
}


def now() -> float:
    """Return the time of the steady clock."""
    return time.monotonic()


class Addresses:
    """Free loopback addresses of one run: a host each, and common ports."""

    def __init__(self) -> None:
        self._net = f'127.{64 + os.getpid() % 64}.{random.randrange(1, 250)}'
        self._last = 0

    def next_host(self) -> str:
        """Return another host."""
        self._last += 1
        return f'{self._net}.{self._last}'

    def free_port(self, host: str) -> int:
        """Return a port that nothing listens at."""
        with socket.socket() as probe:
            probe.bind((host, 0))
            return int(probe.getsockname()[1])


class Store(FakePlatformStore):
    """The project's fake of the platform's store, with leases that expire."""

    async def open(self, address: str) -> None:
        """Start listening."""
        self.address = address
        self.connections: set = set()
        self.server = await listen(address, self, self.connections)
        self.sweeper = asyncio.create_task(self._sweep())

    async def write_config(self, document: dict) -> None:
        """Write a configuration, in place of the operator."""
        await self.put('op/config', json.dumps(document).encode())

    async def register(self, server: Server) -> None:
        """Write the entry of a server."""
        entry = json.dumps(server.build_entry()).encode()
        await self.put(f'servers/{server.id}', entry)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            await self.expire_overdue_leases()


class Node:
    """One node of the system: a process with a settings file."""

    def __init__(
        self, name: str, host: str, zone: str, store: str, folder: str
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self._store = store
        self._folder = folder
        addresses = Addresses()
        self.ports = [addresses.free_port(host) for _ in range(4)]
        self.process: subprocess.Popen | None = None
        # Answers to the platform's readiness check: time and whether it was 200.
        self.readiness: list[tuple[float, bool]] = []

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.host, self.ports[0]

    def start(self, seeds: list[str]) -> None:
        """Start the process with the command of the deploy file."""
        path = Path(self._folder, f'{self.name}.conf')
        path.write_text(self._render_settings(seeds))
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split()
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['SAMPHIRERILL_SETTINGS'] = str(path)
        with open(Path(self._folder, f'{self.name}.log'), 'ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def stop(self) -> None:
        """End the process that this script has started."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask for readiness once, as the platform does."""
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(
                    self.host, self.ports[1]
                )
                writer.write(b'GET /ready HTTP/1.1\r\nHost: lb\r\n\r\n')
                return b' 200 ' in await reader.readline()
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def wait_until_ready(self, timeout_s: float = 20.0) -> bool:
        """Return whether the node becomes ready in time."""
        until = now() + timeout_s
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def watch_readiness(self) -> None:
        """Ask once a second, until cancelled."""
        while True:
            asked_at = now()
            self.readiness.append((asked_at, await self.is_ready()))
            await asyncio.sleep(max(0, asked_at + 1 - now()))

    def _render_settings(self, seeds: list[str]) -> str:
        """Fill in the template of the deploy file."""
        front, ready, control, internal = self.ports
        fields = {
            'nodeName': self.name,
            'zone': self.zone,
            'ip': self.host,
            'listen': {
                'front': f'{self.host}:{front}',
                'readiness': f'{self.host}:{ready}',
                'control': f'{self.host}:{control}',
            },
            'seeds': seeds,
            'internalPorts': [internal, internal],
            'platform': {'address': self._store},
            'bounds': BOUNDS,
        }

        def fill(match: re.Match) -> str:
            value = fields
            for part in match[1].split('.'):
                value = value[int(part) if part.isdigit() else part]
            return json.dumps(value)

        template = (ROOT / 'deploy/settings.template').read_text()
        return re.sub(r'\{\{([\w.]+)\|json\}\}', fill, template)


@dataclass(slots=True)
class Request:
    """One request that a server has received."""

    id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Server:
    """A sound server of a service; `answer` is what it does with a request."""

    def __init__(
        self, server_id: str, service: str, host: str, record: Record
    ) -> None:
        self.id = server_id
        self.service = service
        self.host = host
        self.port = Addresses().free_port(host)
        self.record = record
        self.born = int(time.time() * 1000)
        self.answered = 0
        self.work_s = 0.03
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return its address as in its entry."""
        return f'{self.host}:{self.port}'

    def build_entry(self) -> dict:
        """Return its entry in the platform's store."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'nadi-hall',
            'version': '1',
            'slots': 6,
            'state': 'ready',
            'coldLeftMs': 0,
            'sequence': 0,
            'born': self.born,
        }

    async def start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 20, backlog=512
        )

    def stop(self) -> None:
        """Stop at once."""
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def answer(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request that it runs."""
        await asyncio.sleep(self.work_s)
        body = b'%b by %b' % (req.id.encode(), self.id.encode())
        writer.write(
            self.build_head(req) + b'content-length: %d\r\n\r\n' % len(body)
        )
        writer.write(body)

    def build_head(self, req: Request) -> bytes:
        """Return the head of a success, without what frames its body."""
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Samphirerill-Request-Id: {req.id}\r\n'
            f'X-Samphirerill-Response-Seal: {self.id}.{req.id}\r\n'
            'Keep-Alive: timeout=5\r\n'
        ).encode()

    async def answer_call(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer health checks; return whether this was one."""
        if req.target != '/health':
            return False
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n'
            b'X-Samphirerill-Instance-Id: %b\r\n\r\n' % self.id.encode()
        )
        return True

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                await self._serve_one(await read_request(reader), writer)
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        if await self.answer_call(req, writer):
            return
        if not req.id:
            self._reject(req, writer, 400)
        elif req.headers.get('x-samphirerill-target-instance') != self.id:
            self._reject(req, writer, 421)
        else:
            self.answered += 1
            self.record.note('run', req.id, self.id)
            await self.answer(req, writer)

    def _reject(
        self, req: Request, writer: asyncio.StreamWriter, status: int
    ) -> None:
        writer.write(
            f'HTTP/1.1 {status} Rejected\r\n'
            f'X-Samphirerill-Request-Id: {req.id}\r\n'
            'X-Samphirerill-Not-Executed: 1\r\n'
            f'At-Server: {self.address}\r\n'
            'content-length: 0\r\n\r\n'.encode()
        )


class EngineServer(Server):
    """A model server that holds half of the layers and streams events."""

    events = 60
    step_s = 0.01

    def __init__(
        self,
        server_id: str,
        host: str,
        record: Record,
        layers: tuple[int, int],
    ) -> None:
        super().__init__(server_id, 'drape-llm', host, record)
        self.layers = layers
        self.orders = 0

    def build_entry(self) -> dict:
        """Return its entry in the platform's store."""
        return {
            **super().build_entry(),
            'slots': 96,
            'sequence': self.orders,
            **self._describe(),
        }

    async def answer_call(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer reports and orders as well."""
        if req.target == '/report':
            self._respond(writer, 200, self._build_report())
        elif req.target == '/order':
            self._respond(writer, self._apply_order(json.loads(req.body)), {})
        else:
            return await super().answer_call(req, writer)
        return True

    async def answer(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Stream the events after the one that the request names."""
        self.start_stream(req, writer)
        first = int(req.headers.get('last-event-id') or 0) + 1
        for number in range(first, self.events + 1):
            await asyncio.sleep(self.step_s)
            event = f'id: {number}\ndata: {req.id}-{number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')

    def start_stream(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        """Send the head of a stream, in chunks."""
        writer.write(
            self.build_head(req)
            + b'content-type: text/event-stream\r\n'
            + b'transfer-encoding: chunked\r\n\r\n'
        )

    def _describe(self) -> dict:
        return {
            'stage': 'both',
            'models': [{'name': 'm0', 'version': 1, 'adapters': []}],
            'kind': 'h100',
            'layers': {
                'from': self.layers[0],
                'to': self.layers[1],
                'version': 1,
            },
        }

    def _build_report(self) -> dict:
        return {
            **self._describe(),
            'busy': False,
            'sequence': self.orders,
            'queued': 0,
            'active': 0,
            'kvUsed': 0,
            'kvTotal': 4_000_000,
            'handles': 0,
            'pace': 1,
            'stalled': [],
            'born': self.born,
        }

    def _apply_order(self, order: dict) -> int:
        """Return 200 for the layers that it holds; no others are ordered here."""
        if order.get('operation') != 'place':
            return 404
        is_held = (order.get('from'), order.get('to')) == self.layers
        return 200 if is_held else 409

    def _respond(
        self, writer: asyncio.StreamWriter, status: int, document: dict
    ) -> None:
        body = json.dumps(document).encode()
        writer.write(
            b'HTTP/1.1 %d OK\r\ncontent-type: application/json\r\n'
            b'Keep-Alive: timeout=5\r\ncontent-length: %d\r\n\r\n%b'
            % (status, len(body), body)
        )


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request; nodes send bodies with a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = {}
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        headers[name.lower()] = text.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    request_id = headers.get('x-samphirerill-request-id', '')
    return Request(request_id, method, target, headers, body)


@dataclass(slots=True)
class Attempt:
    """One request of a client; times are on the steady clock, 0 for never."""

    id: str
    route: str
    node: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    end: str = 'no answer'
    body: bytes = b''
    # Of each event, the request that it names and its number.
    data: list[tuple[str, int]] = field(default_factory=list)

    @property
    def took_s(self) -> float:
        """Return the time until the final answer; infinity without one."""
        if self.end != 'complete':
            return float('inf')
        return self.ended_at - self.sent_at


class Client:
    """Sends requests of sound clients, each on a new connection."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._count = 0

    async def send(
        self,
        node: Node,
        route: str,
        deadline_ms: int,
        *,
        gap_s: float = 0.0,
        body: bytes = b'',
        key: str = KEY,
    ) -> Attempt:
        """Send a request and read its answer.

        The client leaves at its deadline, or after `gap_s` without an event.
        """
        self._count += 1
        attempt = Attempt(
            f'{os.getpid():x}{self._count:08x}', route, node.name, now()
        )
        self.record.attempts.append(attempt)
        self.record.note('sent', attempt.id, f'{route} to {node.name}')
        writer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(*node.front)
                writer.write(
                    _build_request(attempt, deadline_ms, body, key)
                )
                await _read_answer(reader, attempt, gap_s)
            attempt.end = 'complete'
        except TimeoutError:
            attempt.end = 'client left'
        except (OSError, ValueError, asyncio.IncompleteReadError) as exc:
            attempt.end = f'cut: {type(exc).__name__}'
        finally:
            attempt.ended_at = now()
            if writer is not None:
                writer.close()
        self.record.note(
            'ended',
            attempt.id,
            f'{attempt.end} {attempt.status} after '
            f'{attempt.ended_at - attempt.sent_at:.3f} s',
        )
        return attempt


def _build_request(
    attempt: Attempt, deadline_ms: int, body: bytes, key: str
) -> bytes:
    return (
        f'POST /{attempt.route}/{attempt.id} HTTP/1.1\r\n'
        f'Host: {HOST}\r\n'
        f'X-Samphirerill-Request-Id: {attempt.id}\r\n'
        f'X-Samphirerill-Deadline-Ms: {deadline_ms}\r\n'
        'X-Samphirerill-Model: m0\r\n'
        'X-Samphirerill-Token-Count: 800,120\r\n'
        f'X-Samphirerill-Prompt-Prefix: 5c1e07a2:40,{attempt.id}:760\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


async def _read_answer(
    reader: asyncio.StreamReader, attempt: Attempt, gap_s: float
) -> None:
    async with asyncio.timeout(gap_s or None):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    attempt.status = int(head.split(' ', 2)[1])
    headers = head.lower()
    if 'transfer-encoding: chunked' in headers:
        await _read_chunks(reader, attempt, gap_s)
        return
    length = re.search(r'content-length: (\d+)', headers)
    if length is None:
        raise ValueError('the answer has no length')
    attempt.body = await reader.readexactly(int(length[1]))


async def _read_chunks(
    reader: asyncio.StreamReader, attempt: Attempt, gap_s: float
) -> None:
    """Read events until the last chunk; a gap without an event is too long."""
    pending = b''
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(gap_s or None) as patience:
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                return
            *events, pending = (pending + chunk[:-2]).split(b'\n\n')
            for event in events:
                found = re.search(rb'^data: (\w+)-(\d+)$', event, re.MULTILINE)
                if found:
                    named = found[1].decode()
                    attempt.data.append((named, int(found[2])))
                    if gap_s:
                        patience.reschedule(loop.time() + gap_s)


class Record:
    """What was sent, answered and run; written to `record.txt` at the end."""

    def __init__(self, folder: Path) -> None:
        self.attempts: list[Attempt] = []
        self._path = folder / 'record.txt'
        self._lines: list[str] = []
        self._started_at = now()

    def note(self, what: str, request_id: str, text: str) -> None:
        """Add a line."""
        at = now() - self._started_at
        self._lines.append(f'{at:8.3f} s  {what:<6} {request_id} {text}')

    def say(self, text: str) -> None:
        """Add a line, and print it."""
        self.note('--', '', text)
        print(text, flush=True)

    def write(self) -> None:
        """Write the file."""
        self._path.write_text('\n'.join(self._lines) + '\n')


@dataclass(slots=True)
class Fleet:
    """A small deployment: nodes, their store and the servers."""

    store: Store
    nodes: list[Node]
    servers: list[Server]
    folder: tempfile.TemporaryDirectory

    async def start(self, config: dict) -> bool:
        """Start everything; return whether all nodes become ready."""
        for server in self.servers:
            await server.start()
            await self.store.register(server)
        await self.store.write_config(config)
        seeds = [f'{node.host}:{node.ports[2]}' for node in self.nodes]
        for node in self.nodes:
            node.start(seeds[:3])
        ready = [await node.wait_until_ready() for node in self.nodes]
        return all(ready)

    def stop(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            node.stop()
        for server in self.servers:
            server.stop()
        self.folder.cleanup()


async def build_fleet(
    record: Record,
    node_count: int,
    build_plain: type[Server] = Server,
    build_engine: type[EngineServer] = EngineServer,
) -> Fleet:
    """Return nodes, three plain servers and two complete pipelines."""
    addresses = Addresses()
    folder = tempfile.TemporaryDirectory()
    host = addresses.next_host()
    store = Store()
    await store.open(f'{host}:{addresses.free_port(host)}')
    zones = ('nadi-hall', 'lautoka-hall', 'sigatoka-hall')
    nodes = [
        Node(
            f'edge-{zones[number % 3]}-{1 + number // 3}',
            addresses.next_host(),
            zones[number % 3],
            store.address,
            folder.name,
        )
        for number in range(node_count)
    ]
    servers: list[Server] = [
        build_plain(f'i-desk{n}', 'desk-app', addresses.next_host(), record)
        for n in range(3)
    ]
    half = LAYERS // 2
    servers += [
        build_engine(
            f'i-llm{n}',
            addresses.next_host(),
            record,
            (0, half) if n % 2 == 0 else (half, LAYERS),
        )
        for n in range(4)
    ]
    return Fleet(store, nodes, servers, folder)


def build_config(version: int = 1, plain_timeout_ms: int = 800) -> dict:
    """Return a configuration like that of the site vbfc-fit."""
    plain = {'host': HOST, 'service': 'desk-app', 'priority': 2}
    plain |= {'timeoutMs': plain_timeout_ms, 'sloMs': 150}
    stream = {'host': HOST, 'service': 'drape-llm', 'priority': 1}
    stream |= {'timeoutMs': 20_000, 'sloMs': 500, 'gapTargetMs': 200}
    return {
        'version': version,
        'routes': [
            {
                **plain,
                'name': 'pickup-notice',
                'prefix': '/pickup/',
                'kind': 'non_idempotent',
                'maxAttempts': 1,
            },
            {
                **plain,
                'name': 'status-lookup',
                'prefix': '/status/',
                'kind': 'idempotent',
                'maxAttempts': 2,
            },
            {
                **stream,
                'name': 'alter-note',
                'prefix': '/alter/',
                'kind': 'streaming',
                'resumable': True,
                'affinity': True,
                'maxAttempts': 2,
            },
        ],
        'services': [
            {
                'name': 'desk-app',
                'healthPath': '/health',
                'maxConnections': 49,
            },
            {
                'name': 'drape-llm',
                'healthPath': '/health',
                'maxConnections': 1048,
                'engine': ENGINE,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16_384,
            'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [
            {'name': name, 'apiKeys': [key]} for key, name in TENANTS.items()
        ],
    }


class Trouble:
    """Which server is in trouble: the first one whose turn it is.

    Nodes prefer some servers to others, so that none is sure to get requests.
    """

    def __init__(self) -> None:
        self.is_on = False
        self.server: Server | None = None

    def takes(self, server: Server) -> bool:
        """Return whether a server whose turn it is is the one in trouble."""
        if not self.is_on:
            return False
        self.server = self.server or server
        return self.server is server


def run_case(script: str, play) -> None:
    """Run a case and exit: 1 for a broken rule, 0 for none, 2 if it can't run.

    Parameters
    ----------
    script : str
        Path of the script, beside which the record is written.
    play : callable
        Takes the record and whether there is trouble; returns whether the rule
        held, or none if the case could not run.
    """
    record = Record(Path(script).resolve().parent)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    held = None
    try:
        held = asyncio.run(play(record, has_trouble))
    except Exception:
        record.say(traceback.format_exc())
    verdict = {True: 'held', False: 'BROKEN', None: 'could not run'}[held]
    record.say(f'trouble: {has_trouble}; the rule: {verdict}')
    record.write()
    raise SystemExit({True: 0, False: 1, None: 2}[held])
