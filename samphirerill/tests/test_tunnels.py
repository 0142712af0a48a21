"""Tests of connections that another node relays."""

from __future__ import annotations

import asyncio
from unittest import IsolatedAsyncioTestCase

from samphirerill.backends.framing import Framing
from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectRefusedError,
    PeerUnavailableError,
)
from samphirerill.relay.pool import call_once, read_response
from samphirerill.relay.tunnels.frames import (
    END_FRAME,
    FrameReader,
    encode_frame,
)
from samphirerill.relay.tunnels.handshake import TunnelRequest, open_tunnel
from samphirerill.testing.cut_links import CutKind, CutLinks
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.free_ports import find_ports
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)

_OK = 200
_TIMEOUT_S = 2.0
_NODE = 'node-1'


class TunnelCase(IsolatedAsyncioTestCase):
    """One node that relays, and two endpoints."""

    async def asyncSetUp(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.harness = PlatformHarness(find_ports())
        self.links = CutLinks(self.harness.is_replica)
        self.addAsyncCleanup(self.harness.stop)
        self.addCleanup(self.links.restore)
        with self.links.started_as(_NODE):
            await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        for name in ('desk-1', 'desk-2'):
            await self.harness.add_replica(name)
            entry = build_announcement(
                'desk', self.harness.addresses[name], '', None
            )
            await self.harness.store.put(f'servers/{name}', entry)
        await self.harness.wait_for_replica_count(2)
        self.node = self.harness.require_first_node()
        self.peer = self.node.state.settings.peers
        self.address = self.harness.addresses['desk-1']

    async def open(
        self,
        address: str = '',
        replica_id: str = '',
        *,
        reads_frames: bool = True,
    ) -> HttpConnection:
        """Open a tunnel."""
        req = TunnelRequest(
            address or self.address, replica_id, 'tester', reads_frames
        )
        return await open_tunnel(self.peer, req, self.loop.time() + _TIMEOUT_S)

    def build_call(self) -> bytes:
        """Return a request."""
        return serialize_request(
            b'POST',
            b'/pickup/x',
            [(b'host', b'x'), (b'x-samphirerill-request-id', b'one')],
            b'body',
        )


class TestRelay(TunnelCase):
    """Requests over a tunnel."""

    async def test_responses_come_over_one_tunnel(self) -> None:
        conn = await self.open()
        for _ in range(2):
            conn.send(self.build_call())
            status, body = await read_response(
                conn, self.loop.time() + _TIMEOUT_S
            )
            self.assertEqual((status, body), (_OK, b'plain body'))
        conn.close()

    async def test_each_node_uses_its_own_address_of_an_endpoint(self) -> None:
        conn = await self.open('10.9.9.9:1', 'desk-2')
        conn.send(self.build_call())
        await read_response(conn, self.loop.time() + _TIMEOUT_S)
        conn.close()
        received = self.harness.replicas['desk-2'].received_requests
        self.assertEqual(len(received), 1)

    async def test_port_still_serves_other_requests(self) -> None:
        deadline = self.loop.time() + _TIMEOUT_S
        status, _ = await call_once(
            self.peer, b'GET', b'/configuration/3?after=0', b'', deadline
        )
        self.assertEqual(status, _OK)

    async def test_endpoint_hears_that_the_client_left(self) -> None:
        """Guards against work for a client that is gone."""
        replica = self.harness.replicas['desk-1']
        replica.responding.clear()
        conn = await self.open()
        conn.send(self.build_call())
        await asyncio.sleep(0.1)
        self.assertEqual(len(replica.in_progress), 1)
        conn.close()
        await asyncio.sleep(0.1)
        self.assertEqual(replica.cancelled, 1)

    async def test_end_of_the_relay_ends_no_response(self) -> None:
        """Guards against a truncated response that looks complete."""
        conn = await self.open()
        conn.send(self.build_call())
        head = b'HTTP/1.1 200 OK\r\nx: y\r\n\r\nhalf of'
        conn.data_received(head)
        conn.eof_received()
        conn.connection_lost(None)
        with self.assertRaises(BrokenResponseError):
            await read_response(conn, self.loop.time() + _TIMEOUT_S)


class TestFrames(TunnelCase):
    """How the end of an endpoint's connection is told."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.harness.replicas['desk-1'].delivery.framing = Framing.CONNECTION

    async def test_orderly_end_completes_a_response(self) -> None:
        """Guards against complete responses that are taken for broken ones."""
        conn = await self.open()
        conn.send(self.build_call())
        response = await read_response(conn, self.loop.time() + _TIMEOUT_S)
        self.assertEqual(response, (_OK, b'plain body'))

    async def test_older_nodes_read_no_end(self) -> None:
        """Guards against frames for a node that cannot read them."""
        conn = await self.open(reads_frames=False)
        conn.send(self.build_call())
        head = await conn.read(self.loop.time() + _TIMEOUT_S)
        self.assertEqual(getattr(head, 'status', 0), _OK)
        with self.assertRaises(BrokenResponseError):
            await read_response(conn, self.loop.time() + _TIMEOUT_S)

    async def test_frames_may_arrive_in_any_pieces(self) -> None:
        body = b'HTTP/1.1 200 OK\r\n\r\n' + bytes(300)
        frames = encode_frame(body[:30]) + encode_frame(body[30:]) + END_FRAME
        for size in (1, 2, 3, 5, 29, 40, len(frames)):
            conn = HttpConnection(self.address)
            conn.send(self.build_call())
            reader = FrameReader(conn)
            rest = frames
            while rest:
                reader.data_received(rest[:size])
                rest = rest[size:]
            response = await read_response(conn, self.loop.time() + _TIMEOUT_S)
            self.assertEqual(response, (_OK, bytes(300)))


class TestRefusedTunnels(TunnelCase):
    """Tunnels that a node does not open."""

    async def test_endpoint_that_has_ended(self) -> None:
        self.harness.crash_replica('desk-1')
        with self.assertRaises(ConnectRefusedError):
            await self.open()

    async def test_node_that_is_cut_off_confirms_no_end(self) -> None:
        """Guards against nodes cut off together that confirm deaths."""
        kinds = [kind for kind in CutKind if not kind.accepts_new]
        for kind in kinds:
            with self.subTest(kind):
                self.links.cut(_NODE, kind)
                with self.assertRaises(PeerUnavailableError):
                    await self.open()

    async def test_unknown_address(self) -> None:
        """Guards against an open proxy."""
        with self.assertRaises(PeerUnavailableError):
            await self.open('127.0.0.1:9')

    async def test_address_of_another_endpoint(self) -> None:
        """Guards against a tunnel to an address that was given away."""
        with self.assertRaises(PeerUnavailableError):
            await self.open(replica_id='desk-gone')

    async def test_node_that_shuts_down(self) -> None:
        """Guards against requests that a shutdown cuts."""
        self.node.start_draining()
        with self.assertRaises(PeerUnavailableError):
            await self.open()

    async def test_endpoint_that_speaks_first(self) -> None:
        """Guards against a response whose beginning was lost in the handshake."""
        head = b'HTTP/1.1 200 Tunnel\r\nframes: 1\r\n\r\n'

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(head + encode_frame(b'HTTP/1.1 200 OK\r\n\r\n'))

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.peer = f'{host}:{port}'
        with self.assertRaises(ConnectError) as raised:
            await self.open()
        self.assertNotIsInstance(raised.exception, PeerUnavailableError)

    async def test_long_head_is_rejected(self) -> None:
        host, _, port = self.peer.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'C' * 4096)
        async with asyncio.timeout(_TIMEOUT_S):
            self.assertEqual(await reader.read(), b'')
        writer.close()
