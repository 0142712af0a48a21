"""Clients that check every answer against what was promised."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.relay.connection import (
    Head,
    HttpConnection,
    Part,
    build_call,
)
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.events import EventSplitter
from samphirerill.relay.pool import call_once
from samphirerill.testing.soak.replicas import count_events
from samphirerill.testing.soak.world import HOST, KEYS

if TYPE_CHECKING:
    from random import Random

    from samphirerill.testing.soak.nodes import SoakNode
    from samphirerill.testing.soak.world import SoakWorld

KINDS = frozenset(('notes', 'look', 'book'))
_MIX = ('notes', 'notes', 'look', 'book')
_OK = 200
_ID_BITS = 64
_NOT_FOUND = 404
_UNKNOWN_KEY = 401
_NOT_RUN = frozenset((408, 421, 429, 503))
_PATIENCE_S = 9.0
_PAUSE_S = 0.05
_REUSE = 0.6
# Within so long of a fault, or of its end, requests may fail for it.
_AFTERMATH_S = 5.0
_IN_FORCE_S = 2.5
_ROLLBACK_S = 0.4
_PROBE_S = 0.1
_READY_S = 0.3
_READY_TIMEOUT_S = 0.5
_MISSES = 2


@dataclass(slots=True)
class _Answer:
    """What a client got; `status` 0 for no answer at all."""

    status: int = 0
    request_id: bytes = b''
    body: bytes = b''
    is_whole: bool = False


class Balancer:
    """Asks the nodes whether they are ready, as the platform's does."""

    def __init__(self, world: SoakWorld) -> None:
        self._world = world
        self._misses: dict[str, int] = {}

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.gather(*map(self._ask, self._world.nodes))
            await asyncio.sleep(_READY_S)

    def list_ready(self) -> list[SoakNode]:
        """Return the nodes in rotation; all of them if there is none."""
        nodes = self._world.nodes
        ready = [
            node
            for node in nodes
            if self._misses.get(node.name, _MISSES) < _MISSES
        ]
        return ready or nodes

    async def _ask(self, node: SoakNode) -> None:
        deadline = asyncio.get_running_loop().time() + _READY_TIMEOUT_S
        try:
            status, _ = await call_once(
                node.readiness, b'GET', b'/ready', b'', deadline
            )
        except EndpointError:
            # A miss is all that it means.
            status = 0
        missed = 0 if status == _OK else self._misses.get(node.name, 0) + 1
        self._misses[node.name] = missed


class Client:
    """One client that asks one thing after another.

    Parameters
    ----------
    world : SoakWorld
        What is asked, and the truth.
    balancer : Balancer
        Chooses nodes.
    random : Random
        Seeded.
    """

    def __init__(
        self, world: SoakWorld, balancer: Balancer, random: Random
    ) -> None:
        self._world = world
        self._truth = world.truth
        self._balancer = balancer
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._conn: HttpConnection | None = None
        self._is_reused = False

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            kind = self._random.choice(_MIX)
            await self._ask(kind)
            await asyncio.sleep(_PAUSE_S * self._random.random())

    async def _ask(self, kind: str) -> None:
        request_id = f'{self._random.getrandbits(_ID_BITS):016x}'
        account = self._random.choice(tuple(KEYS))
        self._truth.accounts[request_id] = account
        if kind == 'book':
            self._truth.once_only.add(request_id)
        since = self._loop.time()
        answer = await self._exchange(kind, request_id, account)
        self._truth.counts[f'{kind}.{answer.status}'] += 1
        self._check(kind, request_id, answer, since)

    async def _exchange(
        self, kind: str, request_id: str, account: str
    ) -> _Answer:
        answer = _Answer()
        try:
            conn = await self._connect()
            conn.send(_build_request(f'/{kind}/x', request_id, account))
            await _read(conn, answer, self._loop.time() + _PATIENCE_S)
        except EndpointError:
            # What is missing from the answer is judged by the caller.
            self._drop()
        else:
            if not conn.is_usable(self._loop.time()):
                self._drop()
        return answer

    async def _connect(self) -> HttpConnection:
        now = self._loop.time()
        conn = self._conn
        keeps = conn is not None and self._random.random() < _REUSE
        self._is_reused = keeps and conn is not None and conn.is_usable(now)
        if conn is not None and self._is_reused:
            return conn
        self._drop()
        node = self._random.choice(self._balancer.list_ready())
        self._conn = HttpConnection(node.callers)
        await self._conn.open()
        return self._conn

    def _drop(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _check(
        self, kind: str, request_id: str, answer: _Answer, since: float
    ) -> None:
        if answer.status in _NOT_RUN:
            self._truth.note_refused(request_id)
        if answer.request_id not in (b'', request_id.encode()):
            self._truth.break_promise(f'{request_id}: got another answer')
        if answer.status == _OK:
            self._check_body(kind, request_id, answer)
        now = self._loop.time()
        is_good = answer.status == _OK and answer.is_whole
        if self._crossed_close(request_id, answer):
            return
        if not is_good and self._truth.is_calm(since - _AFTERMATH_S, now):
            self._truth.break_promise(
                f'{request_id}: {kind} got {answer.status} with no fault '
                f'near, whole: {answer.is_whole}'
            )

    def _crossed_close(self, request_id: str, answer: _Answer) -> bool:
        """Return whether a request met the end of a kept connection."""
        was_run = bool(self._truth.runs.get(request_id))
        return self._is_reused and not answer.status and not was_run

    def _check_body(self, kind: str, request_id: str, answer: _Answer) -> None:
        if kind != 'notes':
            expected = f'{request_id} desk'.encode()
            if answer.is_whole and answer.body != expected:
                self._truth.break_promise(f'{request_id}: got {answer.body!r}')
            return
        splitter = EventSplitter()
        events = splitter.feed(answer.body)
        for number, event in enumerate(events, 1):
            expected = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            if event.raw != expected:
                self._truth.break_promise(
                    f'{request_id}: event {number} is {event.raw!r}'
                )
                return
        if answer.is_whole and len(events) != count_events(request_id):
            self._truth.break_promise(
                f'{request_id}: ended after {len(events)} events'
            )


class VersionProbe:
    """Asks single nodes which version of the configuration is in force."""

    def __init__(self, world: SoakWorld, random: Random) -> None:
        self._world = world
        self._truth = world.truth
        self._random = random
        self._loop = asyncio.get_running_loop()
        # For each start of a node, the newest version seen, and when.
        self._seen: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            node = self._random.choice(self._world.nodes)
            newest = self._world.version
            await self._probe(node, max(1, newest - self._random.randrange(2)))
            await asyncio.sleep(_PROBE_S)

    async def _probe(self, node: SoakNode, version: int) -> None:
        key = (node.name, node.incarnation)
        request_id = f'{self._random.getrandbits(_ID_BITS):016x}'
        self._truth.accounts[request_id] = 'suva'
        since = self._loop.time()
        conn = HttpConnection(node.callers)
        answer = _Answer()
        try:
            await conn.open()
            conn.send(_build_request(f'/v{version}/', request_id, 'suva'))
            await _read(conn, answer, since + _PATIENCE_S)
        except EndpointError:
            # Clients judge answers that don't come; this is about versions.
            return
        finally:
            conn.close()
        if key == (node.name, node.incarnation):
            self._judge(key, version, answer.status, since)

    def _judge(
        self, key: tuple[str, int], version: int, status: int, since: float
    ) -> None:
        best, seen_at = self._seen.get(key, (0, 0.0))
        if status == _OK and version > best:
            self._seen[key] = (version, self._loop.time())
        is_older = version < best and since > seen_at + _ROLLBACK_S
        if status == _OK and is_older:
            self._truth.break_promise(f'{key}: went back to {version}')
        acked_at = self._world.acked_at[version]
        is_due = (
            version == self._world.version and since > acked_at + _IN_FORCE_S
        )
        is_refused = status in (_NOT_FOUND, _UNKNOWN_KEY)
        if is_due and is_refused and self._truth.is_calm(acked_at, since):
            self._truth.break_promise(f'{key}: {version} is not in force')


def _build_request(target: str, request_id: str, account: str) -> bytes:
    headers = [
        (b'host', HOST.encode()),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', f'Bearer {KEYS[account]}'.encode()),
        (b'x-samphirerill-token-count', b'20,20'),
        (b'x-samphirerill-deadline-ms', b'8000'),
    ]
    return build_call(b'POST', target.encode(), headers, b'{}')


async def _read(conn: HttpConnection, answer: _Answer, deadline: float) -> None:
    """Read an answer as far as it comes."""
    head = await conn.read(deadline)
    if not isinstance(head, Head):
        raise TypeError(f'got {head!r}, expected the head of an answer')
    answer.status = head.status
    answer.request_id = head.get(b'x-samphirerill-request-id') or b''
    while True:
        part = await conn.read(deadline)
        if not isinstance(part, Part):
            answer.is_whole = True
            return
        answer.body += part.body
