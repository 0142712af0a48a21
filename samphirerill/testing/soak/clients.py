"""Clients that check every response against the router's guarantees."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.relay.connection import (
    BodyChunk,
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import call_once
from samphirerill.relay.server_sent_events import EventParser
from samphirerill.testing.soak.environment import HOST, KEYS
from samphirerill.testing.soak.replicas import count_events

if TYPE_CHECKING:
    from random import Random

    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode

KINDS = frozenset(('notes', 'look', 'book'))
_REQUEST_MIX = ('notes', 'notes', 'look', 'book')
_OK = 200
_ID_BITS = 64
_NOT_FOUND = 404
_UNAUTHORIZED = 401
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
_REQUEST_TIMEOUT_S = 9.0
_MAX_PAUSE_S = 0.05
_REUSE_SHARE = 0.6
# Requests may fail because of a fault for this long after the fault ended.
_FAULT_GRACE_S = 5.0
_PROPAGATION_S = 2.5
_REVERT_GRACE_S = 0.4
_PROBE_INTERVAL_S = 0.1
_CHECK_INTERVAL_S = 0.3
_CHECK_TIMEOUT_S = 0.5
_FAILED_CHECKS_MAX = 2


@dataclass(slots=True)
class _Response:
    """A client's response; `status` is 0 if no response head arrived."""

    status: int = 0
    request_id: bytes = b''
    body: bytes = b''
    is_complete: bool = False


class LoadBalancer:
    """Polls the nodes' readiness, like the platform's load balancer."""

    def __init__(self, environment: SoakEnvironment) -> None:
        self._environment = environment
        self._failed_checks: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await asyncio.gather(
                *map(self._check_ready, self._environment.nodes)
            )
            await asyncio.sleep(_CHECK_INTERVAL_S)

    def list_ready(self) -> list[SoakNode]:
        """Return the nodes in rotation, or all nodes if none is ready."""
        nodes = self._environment.nodes
        ready = [
            node
            for node in nodes
            if self._failed_checks.get(node.name, _FAILED_CHECKS_MAX)
            < _FAILED_CHECKS_MAX
        ]
        return ready or nodes

    async def _check_ready(self, node: SoakNode) -> None:
        deadline = asyncio.get_running_loop().time() + _CHECK_TIMEOUT_S
        try:
            status, _ = await call_once(
                node.readiness, b'GET', b'/ready', b'', deadline
            )
        except EndpointError:
            # No answer counts as a failed check.
            status = 0
        failed_checks = (
            0 if status == _OK else self._failed_checks.get(node.name, 0) + 1
        )
        self._failed_checks[node.name] = failed_checks


class Client:
    """A client that sends one request after another.

    Parameters
    ----------
    environment : SoakEnvironment
        The nodes, and the ground truth to check against.
    balancer : LoadBalancer
        Selects the nodes to connect to.
    random : Random
        Seeded random generator.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        balancer: LoadBalancer,
        random: Random,
    ) -> None:
        self._environment = environment
        self._ground_truth = environment.ground_truth
        self._balancer = balancer
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._conn: HttpConnection | None = None
        self._is_reused = False

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            kind = self._random.choice(_REQUEST_MIX)
            await self._send_request(kind)
            await asyncio.sleep(_MAX_PAUSE_S * self._random.random())

    async def _send_request(self, kind: str) -> None:
        request_id = f'{self._random.getrandbits(_ID_BITS):016x}'
        account = self._random.choice(tuple(KEYS))
        self._ground_truth.accounts[request_id] = account
        if kind == 'book':
            self._ground_truth.non_idempotent.add(request_id)
        since = self._loop.time()
        response = await self._exchange(kind, request_id, account)
        self._ground_truth.counts[f'{kind}.{response.status}'] += 1
        self._check_response(kind, request_id, response, since)

    async def _exchange(
        self, kind: str, request_id: str, account: str
    ) -> _Response:
        response = _Response()
        try:
            conn = await self._get_connection()
            conn.send(_build_request(f'/{kind}/x', request_id, account))
            await _read_response(
                conn, response, self._loop.time() + _REQUEST_TIMEOUT_S
            )
        except EndpointError:
            # `_check_response` checks how much of the response arrived.
            self._close_connection()
        else:
            if not conn.is_usable(self._loop.time()):
                self._close_connection()
        return response

    async def _get_connection(self) -> HttpConnection:
        now = self._loop.time()
        conn = self._conn
        keep_alive = conn is not None and self._random.random() < _REUSE_SHARE
        self._is_reused = (
            keep_alive and conn is not None and conn.is_usable(now)
        )
        if conn is not None and self._is_reused:
            return conn
        self._close_connection()
        node = self._random.choice(self._balancer.list_ready())
        self._conn = HttpConnection(node.callers)
        await self._conn.open()
        return self._conn

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _check_response(
        self, kind: str, request_id: str, response: _Response, since: float
    ) -> None:
        if response.status in _NOT_EXECUTED_STATUSES:
            self._ground_truth.record_refusal(request_id)
        if response.request_id not in (b'', request_id.encode()):
            self._ground_truth.record_violation(
                f'{request_id}: got the response to {response.request_id!r}'
            )
        if response.status == _OK:
            self._check_body(kind, request_id, response)
        now = self._loop.time()
        is_success = response.status == _OK and response.is_complete
        if self._raced_with_close(request_id, response):
            return
        if not is_success and self._ground_truth.is_fault_free(
            since - _FAULT_GRACE_S, now
        ):
            self._ground_truth.record_violation(
                f'{request_id}: {kind} got status {response.status}, '
                f'complete: {response.is_complete}, with no fault nearby'
            )

    def _raced_with_close(self, request_id: str, response: _Response) -> bool:
        """Return whether the node closed a reused connection before the send."""
        was_executed = bool(self._ground_truth.runs.get(request_id))
        return self._is_reused and not response.status and not was_executed

    def _check_body(
        self, kind: str, request_id: str, response: _Response
    ) -> None:
        if kind != 'notes':
            expected = f'{request_id} desk'.encode()
            if response.is_complete and response.body != expected:
                self._ground_truth.record_violation(
                    f'{request_id}: got body {response.body!r}'
                )
            return
        parser = EventParser()
        events = parser.feed(response.body)
        for number, event in enumerate(events, 1):
            expected = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            if event.raw != expected:
                self._ground_truth.record_violation(
                    f'{request_id}: event {number} is {event.raw!r}'
                )
                return
        if response.is_complete and len(events) != count_events(request_id):
            self._ground_truth.record_violation(
                f'{request_id}: ended after {len(events)} events'
            )


class VersionProbe:
    """Checks which configuration version individual nodes serve with."""

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        self._environment = environment
        self._ground_truth = environment.ground_truth
        self._random = random
        self._loop = asyncio.get_running_loop()
        # Newest version seen and when, by node name and process start.
        self._newest_seen: dict[tuple[str, int], tuple[int, float]] = {}

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            node = self._random.choice(self._environment.nodes)
            newest = self._environment.version
            await self._probe(node, max(1, newest - self._random.randrange(2)))
            await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _probe(self, node: SoakNode, version: int) -> None:
        key = (node.name, node.start_count)
        request_id = f'{self._random.getrandbits(_ID_BITS):016x}'
        self._ground_truth.accounts[request_id] = 'suva'
        since = self._loop.time()
        conn = HttpConnection(node.callers)
        response = _Response()
        try:
            await conn.open()
            conn.send(_build_request(f'/v{version}/', request_id, 'suva'))
            await _read_response(conn, response, since + _REQUEST_TIMEOUT_S)
        except EndpointError:
            # Missing responses are checked by the clients, not here.
            return
        finally:
            conn.close()
        if key == (node.name, node.start_count):
            self._check_version(key, version, response.status, since)

    def _check_version(
        self, key: tuple[str, int], version: int, status: int, since: float
    ) -> None:
        newest_seen, seen_at = self._newest_seen.get(key, (0, 0.0))
        if status == _OK and version > newest_seen:
            self._newest_seen[key] = (version, self._loop.time())
        is_older = version < newest_seen and since > seen_at + _REVERT_GRACE_S
        if status == _OK and is_older:
            self._ground_truth.record_violation(
                f'{key}: reverted to configuration {version}'
            )
        committed_at = self._environment.committed_at[version]
        is_due = (
            version == self._environment.version
            and since > committed_at + _PROPAGATION_S
        )
        is_rejected = status in (_NOT_FOUND, _UNAUTHORIZED)
        if (
            is_due
            and is_rejected
            and self._ground_truth.is_fault_free(committed_at, since)
        ):
            self._ground_truth.record_violation(
                f'{key}: configuration {version} is not in force'
            )


def _build_request(target: str, request_id: str, account: str) -> bytes:
    headers = [
        (b'host', HOST.encode()),
        (b'x-samphirerill-request-id', request_id.encode()),
        (b'authorization', f'Bearer {KEYS[account]}'.encode()),
        (b'x-samphirerill-token-count', b'20,20'),
        (b'x-samphirerill-deadline-ms', b'8000'),
    ]
    return serialize_request(b'POST', target.encode(), headers, b'{}')


async def _read_response(
    conn: HttpConnection, response: _Response, deadline: float
) -> None:
    """Read a response into `response`, keeping what arrived on an error."""
    head = await conn.read(deadline)
    if not isinstance(head, ResponseHead):
        raise TypeError(f'got {head!r}, expected a response head')
    response.status = head.status
    response.request_id = head.get(b'x-samphirerill-request-id') or b''
    while True:
        part = await conn.read(deadline)
        if not isinstance(part, BodyChunk):
            response.is_complete = True
            return
        response.body += part.body
