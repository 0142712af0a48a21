"""Requests that were read from a kept connection get a complete response."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.client_output import ClientOutput
from samphirerill.relay.listeners import listen
from samphirerill.relay.server import ClientConnection, Request

_TIMEOUT_S = 3.0
_SETTLE_S = 0.05
_LIMITS = ClientLimits(header_timeout_s=0.4, idle_timeout_s=0.4)
_STATUS_LINE = b'HTTP/1.1 '
_MALFORMED = b'GET / HTTP/1.1\r\n\r\n'


class _GatedHandler:
    """Responds with the path, or as the path says, once its gate is open."""

    def __init__(self) -> None:
        self.current_limits = _LIMITS
        self.draining = False
        self.gate = asyncio.Event()
        self.requests: list[Request] = []
        self.padding = b''
        self._special = {
            b'/stream': self._stream,
            b'/large': self._respond_large,
            b'/unsent': self._leave_unsent,
            b'/error': self._raise_error,
            b'/cancelled': self._raise_cancellation,
            b'/silent': self._stay_silent,
        }

    def get_limits(self) -> ClientLimits:
        return self.current_limits

    def is_draining(self) -> bool:
        return self.draining

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        self.requests.append(req)
        special = self._special.get(req.target)
        if special is not None:
            await special(conn)
            return
        await self.gate.wait()
        conn.respond(200, [], req.target)

    async def _stream(self, conn: ClientConnection) -> None:
        conn.start_response(200, [], None)
        conn.write_body(b'begin')
        await self.gate.wait()
        conn.write_body(b'end')
        conn.finish_response()

    async def _respond_large(self, conn: ClientConnection) -> None:
        conn.respond(200, [], self.padding)
        await conn.drain()

    async def _leave_unsent(self, conn: ClientConnection) -> None:
        conn.respond(200, [], self.padding)

    async def _raise_error(self, conn: ClientConnection) -> None:
        await self.gate.wait()
        raise ValueError('handler failed')

    async def _raise_cancellation(self, conn: ClientConnection) -> None:
        await self.gate.wait()
        raise asyncio.CancelledError

    async def _stay_silent(self, conn: ClientConnection) -> None:
        await self.gate.wait()


class KeptConnectionCase(IsolatedAsyncioTestCase):
    """A server whose handler waits until the test opens its gate."""

    async def asyncSetUp(self) -> None:
        self.handler = _GatedHandler()
        self.connections: set[ClientConnection] = set()
        server = await listen('127.0.0.1:0', self.handler, self.connections)
        self.addCleanup(server.close)
        self.port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        self.addCleanup(writer.close)
        self.reader = reader
        self.writer = writer

    async def send(self, *requests: bytes) -> None:
        """Send bytes and let the server read them."""
        self.writer.write(b''.join(requests))
        await asyncio.sleep(_SETTLE_S)

    async def receive(self) -> bytes:
        """Open the gate; return all bytes until the server closes."""
        self.handler.gate.set()
        async with asyncio.timeout(_TIMEOUT_S):
            return await self.reader.read()

    async def receive_statuses(self) -> list[int]:
        """Open the gate; return the status of each response."""
        received = await self.receive()
        return [int(answer[:3]) for answer in received.split(_STATUS_LINE)[1:]]


def _build(target: str, headers: str = '', body: str = '') -> bytes:
    return (
        f'POST {target} HTTP/1.1\r\nHost: x\r\n{headers}'
        f'Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


class TestPipelinedRequests(KeptConnectionCase):
    """Requests that were read while another one is served."""

    async def test_requests_before_a_malformed_one_are_answered(self) -> None:
        await self.send(_build('/1'), _build('/2'), _MALFORMED)
        self.assertEqual(await self.receive_statuses(), [200, 200, 400])

    async def test_many_requests_are_answered(self) -> None:
        body = 'x' * 1_000_000
        await self.send(*[_build('/1', body=body) for _ in range(40)])
        # The server does not read on while many requests are queued.
        unread_bytes = self.writer.transport.get_write_buffer_size()
        self.assertGreater(unread_bytes, 10 * len(body))
        self.assertEqual(await self.receive_statuses(), [200] * 40)

    async def test_failed_request_does_not_drop_those_behind_it(self) -> None:
        for target in ('/error', '/silent', '/cancelled'):
            with self.subTest(target):
                await self.asyncSetUp()
                await self.send(_build(target), _build('/2'))
                self.assertEqual(await self.receive_statuses(), [502, 200])

    async def test_continue_is_not_sent_within_another_response(self) -> None:
        """An interim response would corrupt the chunks of a stream."""
        await self.send(_build('/stream'))
        head = b'POST /2 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n'
        await self.send(head, b'Content-Length: 2\r\n\r\n')
        self.handler.gate.set()
        async with asyncio.timeout(_TIMEOUT_S):
            stream = await self.reader.readuntil(b'\r\n0\r\n\r\n')
            interim = await self.reader.readuntil(b'\r\n\r\n')
        self.assertNotIn(b'100 Continue', stream)
        self.assertIn(b'100 Continue', interim)
        await self.send(b'ok')
        self.assertEqual(await self.receive_statuses(), [200])

    async def test_body_of_many_chunks_does_not_block_the_loop(self) -> None:
        """Other clients wait while the body of one is read."""
        started_at = asyncio.get_running_loop().time()
        self.handler.gate.set()
        await self.send(
            b'POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n',
            b'1\r\nx\r\n' * 40_000,
            b'0\r\n\r\n',
        )
        self.assertIn(b'200', await self.reader.readline())
        spent_s = asyncio.get_running_loop().time() - started_at
        self.assertLess(spent_s, _TIMEOUT_S)

    async def test_invalid_upgrade_does_not_drop_those_before_it(self) -> None:
        upgrade = (
            b'POST /3 HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\n'
            b'Upgrade: h2c\r\nTransfer-Encoding: gzip\r\n\r\n'
        )
        await self.send(_build('/1'), _build('/2'), upgrade)
        self.assertEqual(await self.receive_statuses(), [200, 200, 400])

    async def test_many_upgrade_requests_are_answered(self) -> None:
        """Parsing on after each offer must not use up the stack."""
        offer = _build('/1', 'Connection: Upgrade\r\nUpgrade: h2c\r\n')
        await self.send(offer * 1200)
        self.assertEqual(await self.receive_statuses(), [200] * 1200)


class TestShutdown(KeptConnectionCase):
    """Connections that a node closes when it ends."""

    async def test_client_that_has_just_left_prevents_no_response(self) -> None:
        """An error for its connection left the others without a response."""
        left = socket.create_connection(('127.0.0.1', self.port))
        left.sendall(_build('/1'))
        await self.send(_build('/2'))
        left.close()
        for conn in tuple(self.connections):
            conn.shut_down()
        self.assertEqual(await self.receive_statuses(), [502])


class TestTrailers(KeptConnectionCase):
    """Trailers of a chunked request."""

    async def test_trailers_do_not_become_headers(self) -> None:
        """A client could add headers after the head was validated."""
        await self.send(
            b'POST /1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n'
            b'\r\n2\r\nhi\r\n0\r\nHost: y\r\nAuthorization: z\r\n\r\n'
        )
        self.assertEqual(await self.receive_statuses(), [200])
        names = [name for name, _ in self.handler.requests[0].headers]
        self.assertEqual(names, [b'host', b'transfer-encoding'])


class TestLimits(KeptConnectionCase):
    """Limits that change while a connection is kept."""

    async def test_longer_idle_time_holds_for_open_connections(self) -> None:
        self.handler.gate.set()
        await self.send(_build('/1'))
        self.handler.current_limits = replace(_LIMITS, idle_timeout_s=5)
        await asyncio.sleep(1.5 * _LIMITS.idle_timeout_s)
        await self.send(_build('/2'))
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await self.reader.readuntil(b'/1')
            answer += await self.reader.readuntil(b'/2')
        self.assertEqual(answer.count(b'200 OK'), 2)

    async def test_larger_body_is_accepted_on_open_connection(self) -> None:
        await self.send(_build('/1'))
        larger = _LIMITS.max_body_bytes + 1
        self.handler.current_limits = replace(_LIMITS, max_body_bytes=larger)
        await self.send(_build('/2', body='x' * larger))
        self.assertEqual(await self.receive_statuses(), [200, 200])


class TestSlowClients(KeptConnectionCase):
    """Clients on slow links."""

    async def test_client_that_reads_slowly_gets_the_whole_response(
        self,
    ) -> None:
        self.handler.padding = bytes(24_000_000)
        timeout = patch.object(ClientOutput, 'read_timeout_s', 0.2)
        timeout.start()
        self.addCleanup(timeout.stop)
        self.handler.gate.set()
        await self.send(_build('/large'))
        received = 0
        while received < len(self.handler.padding):
            received += len(await self.reader.readexactly(2_000_000))
            await asyncio.sleep(_SETTLE_S)
        self.assertGreaterEqual(received, len(self.handler.padding))

    async def test_client_that_does_not_read_is_disconnected(self) -> None:
        self.handler.padding = bytes(24_000_000)
        timeout = patch.object(ClientOutput, 'read_timeout_s', 0.2)
        timeout.start()
        self.addCleanup(timeout.stop)
        await self.send(_build('/large'))
        async with asyncio.timeout(_TIMEOUT_S):
            while self.connections:
                await asyncio.sleep(_SETTLE_S)

    async def test_responses_that_are_not_read_do_not_pile_up(self) -> None:
        self.handler.padding = bytes(4_000_000)
        await self.send(_build('/unsent') * 12)
        self.assertLess(len(self.handler.requests), 6)
        self.handler.draining = True
        self.assertEqual(await self.receive_statuses(), [200] * 12)

    async def test_rejection_waits_for_responses_that_are_not_read(
        self,
    ) -> None:
        self.handler.padding = bytes(6_000_000)
        await self.send(_build('/unsent'), _build('/2'))
        await self.send(_MALFORMED)
        self.assertEqual(await self.receive_statuses(), [200, 200, 400])

    async def test_request_outlasts_the_idle_time_behind_a_slow_client(
        self,
    ) -> None:
        """A connection with a request that was read is not idle."""
        self.handler.padding = bytes(6_000_000)
        await self.send(_build('/unsent'))
        await asyncio.sleep(_SETTLE_S)
        await self.send(_build('/2'))
        await asyncio.sleep(1.5 * _LIMITS.idle_timeout_s)
        self.assertEqual(await self.receive_statuses(), [200, 200])

    async def test_last_response_survives_bytes_sent_after_it(self) -> None:
        """Closing with unread bytes resets the connection and its response."""
        self.handler.padding = bytes(6_000_000)
        self.handler.draining = True
        await self.send(_build('/unsent'))
        await self.send(_build('/2'))
        received = await self.receive()
        self.assertGreater(len(received), len(self.handler.padding))

    async def test_slow_upload_is_read(self) -> None:
        """The idle timeout is for clients that send nothing."""
        self.handler.gate.set()
        request = _build('/1', body='x' * 6)
        await self.send(request[:-6])
        for byte in request[-6:]:
            await self.send(bytes((byte,)))
            await asyncio.sleep(_LIMITS.idle_timeout_s / 3)
        async with asyncio.timeout(_TIMEOUT_S):
            head = await self.reader.readline()
        self.assertIn(b'200', head)


class TestHalfClosedConnections(KeptConnectionCase):
    """Clients that close their sending side."""

    async def test_work_for_a_client_that_closed_stops_at_once(self) -> None:
        """A close can't be told from a half-close until something is sent."""
        await self.send(_build('/1'))
        self.writer.write_eof()
        await asyncio.sleep(_SETTLE_S)
        self.assertEqual(self.connections, set())
        self.assertEqual(await self.receive(), b'')
