"""Crowds of clients that stop within requests or break the protocol."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import json

from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.listeners import listen
from samphirerill.relay.pool import call_once, read_response
from samphirerill.relay.server import ClientConnection, Request
from samphirerill.testing.client_crowd import ClientCrowd
from samphirerill.testing.clients import request_completion
from samphirerill.testing.cluster import Cluster
from samphirerill.testing.free_ports import is_free
from samphirerill.testing.layout import (
    FIRST_ACCOUNT_KEY,
    SECOND_ACCOUNT_KEY,
    build_three_stages,
)
from samphirerill.testing.platform_replicas import FakeReplica
from samphirerill.testing.platform_store import FakePlatformStore
from samphirerill.testing.soak.nodes import SoakNode
from samphirerill.tests import misbehaving_clients as crowds
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    Build = Callable[[crowds.RequestShape], Iterator[Iterable[bytes]]]

_OK = 200
_FEW_DESCRIPTORS = 'samphirerill.testing.few_descriptors'
_HOST = '127.0.0.11'
_PORTS = range(12_000, 20_000, 8)
_PORTS_OF_A_NODE = 6
_START_TIMEOUT_S = 20.0
# Ends an ordinary request that hangs.
_RESPONSE_TIMEOUT_S = 60.0
_POLL_S = 0.05
_MAX_BODY_BYTES = 4_194_304
_OWN_MAX_BODY_BYTES = 1_048_576
# Longer than a test, so that the crowd stays.
_TIMEOUT_MS = 60_000
_UNREAD_RESPONSES = 96
_LEAVING_CLIENTS = 300
_PADDING_BYTES = 4_000_000
_LOOKUP = (
    b'POST /svc/lookups/x HTTP/1.1\r\nhost: x\r\n'
    b'authorization: Bearer %b\r\ncontent-length: %%d\r\n\r\n%%b'
) % SECOND_ACCOUNT_KEY.encode()


class CrowdCase(IsolatedAsyncioTestCase):
    """A node in a process of its own, and crowds before it."""

    pid: int
    address: str
    shape: crowds.RequestShape

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        await self.start_node()

    @abstractmethod
    async def start_node(self) -> None:
        """Start the node, and set the attributes."""

    @abstractmethod
    async def send_ordinary_request(self) -> None:
        """Send a request, and assert that its response is complete."""

    async def assert_withstands(
        self, build: Build, trickled: bytes = b''
    ) -> None:
        """Assert that a node serves beside a crowd that stays.

        Parameters
        ----------
        build : callable
            Returns what each client sends first.
        trickled : bytes, optional
            What it sends again and again from then on.
        """
        crowd = self.create_crowd()
        counted = asyncio.create_task(self._count_most_descriptors())
        await crowd.send(build(self.shape))
        counted.cancel()
        if trickled:
            crowd.trickle(trickled)
        await self.send_ordinary_request()
        memory_mb = crowds.read_peak_memory_mb(self.pid)
        self.assertLess(memory_mb, crowds.MAX_MEMORY_MB)
        self.assertLess(await counted, crowds.MAX_DESCRIPTORS)

    async def assert_forgets(self, request: bytes) -> None:
        """Assert that a node keeps nothing of clients that leave.

        Parameters
        ----------
        request : bytes
            What each sends, one client after the other.
        """
        for _ in range(_LEAVING_CLIENTS):
            crowd = self.create_crowd()
            await crowd.send([[request]])
            crowd.close()
        await self.send_ordinary_request()
        memory_mb = crowds.read_peak_memory_mb(self.pid)
        self.assertLess(memory_mb, crowds.MAX_MEMORY_MB)

    def create_crowd(self) -> ClientCrowd:
        """Return a crowd that leaves at the end of the test."""
        crowd = ClientCrowd(self.address)
        self.addCleanup(crowd.close)
        return crowd

    async def _count_most_descriptors(self) -> int:
        """Return the most descriptors that were open, once cancelled."""
        most = 0
        with suppress(asyncio.CancelledError):
            while True:
                most = max(most, crowds.count_descriptors(self.pid))
                await asyncio.sleep(_POLL_S)
        return most


class CrowdTests:
    """The crowds; a node must live, stay in bounds, and serve."""

    @abstractmethod
    async def assert_withstands(
        self, build: Build, trickled: bytes = b''
    ) -> None:
        """Assert that a node serves beside a crowd that stays."""

    async def test_large_chunks(self) -> None:
        """Guards against chunked bodies that fill the memory."""
        await self.assert_withstands(crowds.send_large_chunks)

    async def test_small_chunks(self) -> None:
        """Guards against chunks that take more memory than their bytes."""
        await self.assert_withstands(crowds.send_small_chunks)

    async def test_whole_bodies(self) -> None:
        """Guards against large bodies that fill the memory."""
        await self.assert_withstands(crowds.send_whole_bodies)

    async def test_bodies_in_pieces(self) -> None:
        """Guards against large bodies that grow slowly together."""
        await self.assert_withstands(crowds.send_bodies_in_pieces)

    async def test_large_heads(self) -> None:
        """Guards against heads that are kept although they are too large."""
        await self.assert_withstands(crowds.send_large_heads)

    async def test_endless_fields(self) -> None:
        """Guards against heads that are read without end."""
        await self.assert_withstands(crowds.send_endless_fields)

    async def test_endless_line(self) -> None:
        """Guards against a limit that counts only complete fields."""
        await self.assert_withstands(crowds.send_endless_line)

    async def test_endless_name(self) -> None:
        """Guards against a limit that counts only complete fields."""
        await self.assert_withstands(crowds.send_endless_name)

    async def test_endless_target(self) -> None:
        """Guards against request lines that are read without end."""
        await self.assert_withstands(crowds.send_endless_target)

    async def test_empty_lines(self) -> None:
        """Guards against reading what belongs to no request without end."""
        await self.assert_withstands(crowds.send_empty_lines)

    async def test_endless_trailer(self) -> None:
        """Guards against trailers that are read without end."""
        await self.assert_withstands(crowds.send_endless_trailer)

    async def test_endless_extension(self) -> None:
        """Guards against framing of a body that is read without end."""
        await self.assert_withstands(crowds.send_endless_extension)

    async def test_begun_requests(self) -> None:
        """Guards against connections that take all descriptors."""
        await self.assert_withstands(crowds.send_begun_requests)

    async def test_trickled_heads(self) -> None:
        """Guards against requests that are read for as long as they last."""
        await self.assert_withstands(crowds.send_begun_heads, b'x')


class TestEdgeNode(CrowdCase, CrowdTests):
    """A node on the platform."""

    async def start_node(self) -> None:
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        port = next(filter(_are_free, _PORTS))
        node = SoakNode('node-1', _HOST, port, Path(folder.name))
        node.entry_point = _FEW_DESCRIPTORS
        await self._start_platform(node.store)
        node.write_settings()
        node.start()
        self.addCleanup(node.kill)
        await self._wait_until_ready(node.readiness)
        self.pid = node.pid
        self.address = node.callers
        self.shape = crowds.RequestShape(
            serialize_request(
                b'POST', b'/pickup/x', build_headers('r-crowd'), b''
            ).partition(b'content-length')[0],
            b'',
            b'',
            _MAX_BODY_BYTES,
        )

    async def test_incomplete_bodies_of_clients_that_leave(self) -> None:
        """Guards against what was read outliving its connection."""
        body = bytes(_MAX_BODY_BYTES - 1)
        await self.assert_forgets(self.shape.sized_head + body)

    async def test_requests_of_clients_that_leave(self) -> None:
        """Guards against what is served outliving its connection."""
        body = bytes(_MAX_BODY_BYTES)
        await self.assert_forgets(self.shape.sized_head + body)

    async def send_ordinary_request(self) -> None:
        conn = HttpConnection(self.address)
        await conn.open()
        self.addCleanup(conn.close)
        headers = build_headers('r-ordinary')
        conn.send(serialize_request(b'POST', b'/pickup/x', headers, b'hello'))
        deadline = asyncio.get_running_loop().time() + _RESPONSE_TIMEOUT_S
        status, _ = await read_response(conn, deadline)
        self.assertEqual(status, _OK)

    async def _start_platform(self, address: str) -> None:
        """Start the store and a plain service."""
        connections: set[ClientConnection] = set()
        store = FakePlatformStore()
        replica = _BriefReplica('desk-1')
        stored = await listen(address, store, connections)
        self.addCleanup(stored.close)
        desk = await listen('127.0.0.1:0', replica, connections)
        self.addCleanup(desk.close)
        port = desk.sockets[0].getsockname()[1]
        await store.put('op/config', _build_configuration())
        entry = build_announcement('desk', f'127.0.0.1:{port}')
        await store.put('servers/desk-1', entry)

    async def _wait_until_ready(self, address: str) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + _START_TIMEOUT_S
        status = 0
        while status != _OK and loop.time() < deadline:
            await asyncio.sleep(_POLL_S)
            with suppress(EndpointError):
                status, _ = await call_once(
                    address, b'GET', b'/ready', b'', deadline
                )


class TestOwnNode(CrowdCase, CrowdTests):
    """A node with its own interface."""

    async def start_node(self) -> None:
        self.cluster = Cluster(build_three_stages(), module=_FEW_DESCRIPTORS)
        self.addCleanup(self.cluster.stop)
        await asyncio.to_thread(self.cluster.start)
        node = self.cluster.nodes[0]
        self.pid = node.process.pid
        self.address = node.callers
        self.shape = crowds.RequestShape(
            b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
            b'authorization: Bearer %b\r\n' % FIRST_ACCOUNT_KEY.encode(),
            b'{"model": "plans", "max_tokens": 4, "prompt": "',
            b'"}',
            _OWN_MAX_BODY_BYTES,
        )

    async def send_ordinary_request(self) -> None:
        answer = await asyncio.to_thread(
            request_completion,
            self.address,
            FIRST_ACCOUNT_KEY,
            'plans',
            'block one',
            4,
            stream=False,
            timeout_s=_RESPONSE_TIMEOUT_S,
        )
        self.assertEqual(answer.outcome, 'answered')

    async def test_unread_responses(self) -> None:
        """Guards against responses that stay for clients who never read."""
        desk = self.cluster.addresses['services']['desk']
        self.cluster.control(desk, padding_bytes=_PADDING_BYTES)
        crowd = self.create_crowd()
        for number in range(_UNREAD_RESPONSES):
            body = b'%d' % number
            await crowd.send([[_LOOKUP % (len(body), body)]])
            while len(self.cluster.read_stats(desk)) <= number:
                await asyncio.sleep(_POLL_S)
        await self.send_ordinary_request()
        memory_mb = crowds.read_peak_memory_mb(self.pid)
        self.assertLess(memory_mb, crowds.MAX_MEMORY_MB)
        self.assertLess(
            crowds.count_descriptors(self.pid), crowds.MAX_DESCRIPTORS
        )


class _BriefReplica(FakeReplica):
    """Answers with an empty body."""

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        req.body = b''
        await super().handle(req, conn)


def _are_free(first: int) -> bool:
    return all(is_free(first + index) for index in range(_PORTS_OF_A_NODE))


def _build_configuration() -> bytes:
    """Return a configuration whose limits don't end the crowd."""
    document = json.decode(build_configuration())
    for route in document['routes']:
        route['timeoutMs'] = _TIMEOUT_MS
    document['limits'] = {
        'maxBodyBytes': _MAX_BODY_BYTES,
        'headerTimeoutMs': _TIMEOUT_MS,
        'idleTimeoutMs': _TIMEOUT_MS,
    }
    return json.encode(document)
