"""Stand-ins of the platform, its store, servers and clients, on loopback.

Only the standard library is used. Nodes run as processes of their own, with the
command, the template and the variable of ``deploy/system.toml``.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed',
           421: 'Misdirected Request', 500: 'Internal Server Error',
           503: 'Service Unavailable'}
RULE_HELD, RULE_BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self._file = open(Path(folder) / 'record.txt', 'w', encoding='utf-8')

    def note(self, text):
        self._file.write(f'{time.monotonic() - self.started:8.3f} {text}\n')

    def say(self, text):
        self.note(text)
        print(text, flush=True)

    def close(self):
        self._file.close()


# --- HTTP/1.1 -------------------------------------------------------------


async def read_head(reader):
    """Return the first line and the headers; none at the end of input."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw[:-4].decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks; raises if it is cut off."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0] or b'x', 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    length = int(headers.get('content-length', '0'))
    return await reader.readexactly(length)


def build_response(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Other")}']
    lines.extend(f'{name}: {value}' for name, value in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class HttpServer:
    """Calls ``handle(method, target, headers, body, writer)`` per request."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def start(self, address):
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=512, limit=2**20
        )

    async def stop(self):
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(' ', 2)
                body = await read_body(reader, head[1])
                if await self._handle(method, target, head[1], body, writer) is False:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # The loop ends; Python 3.11 logs a cancelled handler as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


# --- The platform's store ---------------------------------------------------


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 100
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)

    async def start(self, address):
        await self._server.start(address)

    async def stop(self):
        await self._server.stop()

    def put(self, key, text, lease=0):
        """Write as the operator or a server; returns when it is acknowledged."""
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': base64.b64encode(text).decode(),
                'revision': self.revision, 'created': created, 'lease': lease}
        self.items[key] = item
        self._record(item)
        return time.monotonic()

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record({'key': key, 'revision': self.revision, 'deleted': True})

    def _record(self, event):
        self.history.append((time.monotonic(), event))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (until, _) in tuple(self._leases.items()):
            if until < now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item['lease'] == lease]:
            self.delete(key)

    async def _handle(self, method, target, headers, body, writer):
        await asyncio.sleep(0.004)
        self._expire_leases()
        parts = urlsplit(target)
        query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
        call = json.loads(body) if body else {}
        status, answer = await self._answer(method, parts.path, query, call)
        writer.write(build_response(
            status, [('Content-Type', 'application/json')], json.dumps(answer).encode()
        ))

    async def _answer(self, method, path, query, call):
        if path == '/kv-key':
            item = self.items.get(query['key'])
            return (404, {}) if item is None else (
                200, {**item, 'currentRev': self.revision})
        if path == '/kv-range':
            names = sorted(key for key in self.items
                           if key.startswith(query.get('prefix', ''))
                           and key > query.get('after', ''))
            page = [self.items[key] for key in names[:500]]
            return 200, {'items': page, 'morePages': len(names) > 500,
                         'currentRev': self.revision}
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return self._transact(call)
        if path == '/kv-lease':
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl_s = call['ttlMs'] / 1000
            self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {'lease': lease, 'ttlMs': call['ttlMs']}
        lease = int(path.rpartition('/')[2])
        if lease not in self._leases:
            return 404, {}
        ttl_s = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + ttl_s, ttl_s)
        if path.startswith('/kv-lease-end/'):
            self._end_lease(lease)
        return 200, {'ttlMs': int(ttl_s * 1000)}

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        until = time.monotonic() + int(query['waitMs']) / 1000
        if after > self.revision:
            return 410, {}
        while True:
            self._expire_leases()
            events = [event for _, event in self.history
                      if event['revision'] > after and event['key'].startswith(prefix)]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.1))
            except TimeoutError:
                continue

    def _transact(self, call):
        for row in call.get('expect', ()):
            item = self.items.get(row['key'], {'revision': 0})
            if item['revision'] != row['revision']:
                return 412, {'items': []}
        for row in call.get('puts', ()):
            if row.get('lease') and row['lease'] not in self._leases:
                return 404, {}
        for row in call.get('puts', ()):
            self.put(row['key'], base64.b64decode(row['value']), row.get('lease', 0))
        for key in call.get('remove', ()):
            self.delete(key)
        return 200, {'revision': self.revision}


class SilentCut:
    """A proxy in front of the store for one node; a cut is silent."""

    def __init__(self, target):
        self._target = target
        self._server = None
        self._writers = set()
        self._cut = asyncio.Event()
        self.is_cut = False
        self._watch_times = []

    def count_watches(self, within_s):
        """Return how many watches the node has sent in the last seconds."""
        since = time.monotonic() - within_s
        return sum(at >= since for at in self._watch_times)

    async def start(self, address):
        host, _, port = address.rpartition(':')
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        host, _, port = self._target.rpartition(':')
        try:
            while self.is_cut:
                await asyncio.sleep(0.02)
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(up_writer)
        try:
            await asyncio.gather(
                self._pump(reader, up_writer), self._pump(up_reader, writer))
        except asyncio.CancelledError:
            return

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                if data.startswith(b'GET /kv-watch'):
                    self._watch_times.append(time.monotonic())
                while self.is_cut:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


# --- Nodes ------------------------------------------------------------------


def render(template, fields):
    """Fill in a template as the platform does; only values are needed here."""

    def fill(found):
        name, _, form = found[1].partition('|')
        value = fields
        for part in name.split('.'):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return json.dumps(value) if form else str(value)

    return re.sub(r'\{\{([^{}]+)\}\}', fill, template)


def _die_with_parent():
    """Let no node outlive the case: SIGKILL it when the case is killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Node:
    """One node, started as the deploy file says."""

    def __init__(self, name, zone, ip, ports, store, seeds, folder, bounds):
        self.name = name
        self.ip = ip
        self.front = f'{ip}:{ports}'
        self.readiness = f'{ip}:{ports + 1}'
        self.control = f'{ip}:{ports + 2}'
        self.log_path = Path(folder) / f'{name}.log'
        self.process = None
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        self._role = deploy['roles']['node']
        self._settings = Path(folder) / f'{name}.settings'
        template = (ROOT / self._role['template']).read_text()
        self._settings.write_text(render(template, {
            'nodeName': name, 'zone': zone, 'ip': ip,
            'listen': {'front': self.front, 'readiness': self.readiness,
                       'control': self.control},
            'seeds': seeds, 'platform': {'address': store},
            'internalPorts': [ports + 3, ports + 18], 'bounds': bounds,
        }))

    def start(self):
        words = self._role['run'].split()
        words[0] = shutil.which(words[0]) or words[0]
        environment = {name: os.environ[name]
                       for name in ('PATH', 'HOME', 'LANG') if name in os.environ}
        environment['SAMPHIRERILL_SETTINGS'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log, preexec_fn=_die_with_parent)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_until_ready(self, until):
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CaseError(f'{self.name} ended with {self.process.returncode}')
            try:
                reader, writer = await asyncio.open_connection(*split(self.readiness))
                writer.write(b'GET /ready HTTP/1.1\r\nHost: node\r\n\r\n')
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head is not None and ' 200 ' in head[0]:
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CaseError(f'{self.name} is not ready')


def split(address):
    host, _, port = address.rpartition(':')
    return host, int(port)


def choose_net():
    """Return the first three octets of unused loopback addresses."""
    for _ in range(50):
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            with socket.socket() as probe:
                probe.bind((f'{net}.1', 9464))
            return net
        except OSError:
            continue
    raise CaseError('no free loopback address')


# --- Clients ----------------------------------------------------------------


class Client:
    """A client with one kept connection; a new one after a close."""

    def __init__(self, address):
        self._address = address
        self._reader = self._writer = None

    async def send(self, method, path, request_id, deadline_ms, body=b'', extra=()):
        """Return status, headers and body; status 0 for no complete answer."""
        lines = [f'{method} {path} HTTP/1.1', 'Host: desk.example',
                 f'X-Samphirerill-Request-Id: {request_id}',
                 f'X-Samphirerill-Deadline-Ms: {deadline_ms}', *extra]
        if method != 'GET':
            lines.append(f'Content-Length: {len(body)}')
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *split(self._address), limit=2**20)
                self._writer.write('\r\n'.join((*lines, '', '')).encode() + body)
                head = await read_head(self._reader)
                if head is None:
                    raise ConnectionResetError
                status = int(head[0].split()[1])
                answer = await read_body(self._reader, head[1])
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return 0, {}, b''
        if 'close' in head[1].get('connection', '').lower():
            self.close()
        return status, head[1], answer

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run_case(folder, play, limit_s=115):
    """Run a case; return the exit code of its script."""
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix='review-')

    async def bounded():
        async with asyncio.timeout(limit_s):
            return await play(record, scratch)

    try:
        return asyncio.run(bounded())
    except (CaseError, TimeoutError, OSError) as exc:
        record.say(f'could not run: {exc!r}')
        return NOT_RUN
    finally:
        record.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(scratch, ignore_errors=True)
        else:
            print(scratch)
