"""A fake of the platform's key-value service.

It implements the JSON form of the etcd v3 API. ``POST /control`` injects faults:
``down`` aborts all connections, ``silent`` never responds, ``slow_s`` delays
responses, ``lose_replies`` applies that many writes without responding.
``GET /stats`` returns call counts; a watch counts as one call.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from samphirerill.testing.etcd_state import EtcdState, InvalidCallError
from samphirerill.testing.httpd import Connection

if TYPE_CHECKING:
    from samphirerill.testing.httpd import Request

_EXPIRY_INTERVAL_S = 0.1
_WRITES = frozenset(
    (
        '/v3/kv/put',
        '/v3/kv/txn',
        '/v3/kv/deleterange',
        '/v3/lease/grant',
        '/v3/lease/keepalive',
        '/v3/lease/revoke',
    )
)


class FakeKeyValueService:
    """The key-value service on one port."""

    def __init__(self) -> None:
        self.state = EtcdState()
        self.calls: Counter[str] = Counter()
        self.calls_by_second: dict[int, Counter[str]] = defaultdict(Counter)
        self.down = False
        self.silent = False
        self.slow_s = 0.0
        self.lose_replies = 0
        self._changed = asyncio.Event()
        self._connections: set[Connection] = set()

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Start listening; port 0 picks a free port."""
        loop = asyncio.get_running_loop()
        self._expiry = asyncio.ensure_future(self._expire_leases())
        return await loop.create_server(self._connect, host, port)

    async def handle(self, request: Request) -> None:
        """Handle one API call."""
        if request.path == '/control':
            self._apply_control(request)
        elif request.path == '/stats':
            request.connection.answer_json(self._describe())
        elif self.down:
            request.connection.abort()
        elif not self.silent:
            await self._answer(request)

    def _connect(self) -> Connection:
        connection = Connection(self.handle)
        self._connections.add(connection)
        return connection

    async def _answer(self, request: Request) -> None:
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        is_write = request.path in _WRITES
        self._count_call(request.path, is_write=is_write)
        if request.path == '/v3/watch':
            await self._watch(request)
            return
        try:
            document = self._run(request.path, request.read_json())
        except InvalidCallError as exc:
            refusal = {'error': str(exc), 'code': 3, 'message': str(exc)}
            request.connection.answer_json(refusal, 400)
            return
        self._notify_watches()
        if is_write and self.lose_replies > 0:
            self.lose_replies -= 1
            request.connection.abort()
            return
        document['header'] = {'revision': str(self.state.revision)}
        request.connection.answer_json(document)

    def _run(self, path: str, call: dict[str, Any]) -> dict[str, Any]:
        now = time.monotonic()
        if path == '/v3/lease/grant':
            return self.state.grant(call, now)
        if path == '/v3/lease/keepalive':
            return self.state.keep_alive(call, now)
        handlers = {
            '/v3/kv/range': self.state.find_range,
            '/v3/kv/put': self.state.put,
            '/v3/kv/txn': self.state.run_txn,
            '/v3/kv/deleterange': self.state.delete,
            '/v3/lease/revoke': self.state.revoke,
        }
        if path not in handlers:
            raise InvalidCallError(f'unknown path {path}')
        return handlers[path](call)

    async def _watch(self, request: Request) -> None:
        call = request.read_json()['create_request']
        connection = request.connection
        start = int(call.get('start_revision', 0)) or self.state.revision + 1
        connection.start_chunks({'Content-Type': 'application/json'})
        self._send_watch(connection, {'created': True})
        while not connection.closed and not self.down:
            changed = self._changed
            if not self.silent:
                found = self.state.list_changes(
                    {**call, 'start_revision': start}
                )
                start = self.state.revision + 1
                if found:
                    self._send_watch(connection, {'events': found})
            await self._wait_for_change(changed)
        connection.abort()

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        with suppress(TimeoutError):
            await asyncio.wait_for(changed.wait(), timeout=1)

    def _send_watch(
        self, connection: Connection, document: dict[str, Any]
    ) -> None:
        header = {'revision': str(self.state.revision)}
        body = {'result': {'header': header, **document}}
        connection.send_chunk(json.dumps(body).encode() + b'\n')

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply_control(self, request: Request) -> None:
        changes = request.read_json()
        for name, setting in changes.items():
            setattr(self, name, setting)
        if self.down:
            self._abort_connections(request.connection)
        self._notify_watches()
        request.connection.answer_json({'ok': True})

    def _abort_connections(self, excluded: Connection) -> None:
        for connection in tuple(self._connections):
            if connection.closed:
                self._connections.discard(connection)
            elif connection is not excluded:
                connection.abort()

    def _count_call(self, path: str, *, is_write: bool) -> None:
        kind = 'writes' if is_write else 'reads'
        self.calls[kind] += 1
        self.calls[path] += 1
        self.calls_by_second[int(time.monotonic())][kind] += 1

    def _describe(self) -> dict[str, Any]:
        seconds = list(self.calls_by_second.values())
        return {
            'calls': dict(self.calls),
            'most_writes_in_a_second': max(
                (second['writes'] for second in seconds), default=0
            ),
            'most_reads_in_a_second': max(
                (second['reads'] for second in seconds), default=0
            ),
            'keys': len(self.state.entries),
        }

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL_S)
            before = self.state.revision
            self.state.expire(time.monotonic())
            if self.state.revision != before:
                self._notify_watches()
