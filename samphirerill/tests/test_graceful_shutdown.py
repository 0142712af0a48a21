"""Graceful shutdown: a node answers every request that it has read."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from msgspec import json

from samphirerill.relay.connection import HttpConnection, serialize_request
from samphirerill.relay.membership import PREFIX
from samphirerill.relay.pool import read_response
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    OK,
    RESPONSE_TIMEOUT_S,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)

_UNAVAILABLE = 503


class TestShutdown(TwoEnginesCase):
    """Requests during a graceful shutdown."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        short_notice = patch(
            'samphirerill.relay.process._READINESS_NOTICE_S', SETTLE_S
        )
        short_notice.start()
        self.addCleanup(short_notice.stop)
        self.plain_endpoint = self.harness.replicas['desk-1']

    async def test_request_read_while_lease_is_revoked_is_answered(
        self,
    ) -> None:
        """A request read after the last check for open ones needs an answer."""
        leaving = asyncio.Event()

        async def leave(_: object) -> None:
            leaving.set()
            await asyncio.sleep(2 * SETTLE_S)

        with patch('samphirerill.relay.membership.Membership.leave', leave):
            self.plain_endpoint.responding.clear()
            self.process.start_draining()
            await leaving.wait()
            waiting = self.start_request(b'/pickup/x')
            await self.wait_until(lambda: self.plain_endpoint.received_requests)
            await asyncio.sleep(3 * SETTLE_S)
            self.plain_endpoint.responding.set()
            status, reason = await waiting
        self.assertEqual(status, OK, reason)

    async def test_buffered_response_is_sent_completely(self) -> None:
        """Data in the node's send buffer must not count as sent.

        A client with a slow link would otherwise get a truncated response.
        """
        self.plain_endpoint.padding_bytes = 16_000_000
        port = self.process.get_port()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        request = serialize_request(
            b'POST', b'/pickup/x', build_headers('r1'), b''
        )
        writer.write(request)
        await self.wait_until(lambda: self.plain_endpoint.received_requests)
        await asyncio.sleep(2 * SETTLE_S)
        self.process.start_draining()
        await asyncio.sleep(5 * SETTLE_S)
        received = await _count_received(reader)
        writer.close()
        self.assertGreater(received, self.plain_endpoint.padding_bytes)

    async def test_unfinished_request_gets_error_status(self) -> None:
        """A request still open at the deadline must get an error response.

        Its connection must not be closed without one.
        """
        self.change_settings(finish_s=1.3)
        document = json.decode(build_configuration(8))
        document['routes'][1]['timeoutMs'] = 4000
        await self.configure(json.encode(document))
        self.plain_endpoint.responding.clear()
        waiting = self.start_request(b'/pickup/x')
        await self.wait_until(lambda: self.plain_endpoint.received_requests)
        self.process.start_draining()
        status, reason = await waiting
        self.plain_endpoint.responding.set()
        self.assertIn(status, (502, 504), reason)

    async def test_pipelined_requests_are_answered(
        self,
    ) -> None:
        """The first response must not close a connection with another request.

        The second request was read before the shutdown began.
        """
        self.plain_endpoint.responding.clear()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        for request_id in ('r1', 'r2'):
            headers = build_headers(request_id)
            writer.write(serialize_request(b'POST', b'/pickup/x', headers, b''))
        await self.wait_until(lambda: self.plain_endpoint.received_requests)
        self.process.start_draining()
        self.plain_endpoint.responding.set()
        body = await reader.read()
        writer.close()
        self.assertEqual(body.count(b'HTTP/1.1 '), 2)

    async def test_keep_alive_connection_is_served_while_draining(self) -> None:
        conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
        await conn.open()
        self.addCleanup(conn.close)
        for is_last in (False, True):
            if is_last:
                self.process.start_draining()
            request = serialize_request(
                b'POST', b'/pickup/x', build_headers('r'), b''
            )
            conn.send(request)
            deadline = asyncio.get_running_loop().time() + RESPONSE_TIMEOUT_S
            status, _ = await read_response(conn, deadline)
            self.assertEqual(status, OK)

    async def test_stream_that_outlasts_the_node_is_rejected(self) -> None:
        """A stream must not be accepted only to be cut off midway."""
        self.process.start_draining()
        await self.wait_until(lambda: self.process.state.is_draining)
        status, reason = await self._request_stream(b'20000')
        self.assertEqual(status, _UNAVAILABLE, reason)
        self.assertEqual(self.list_used_engines(), [])

    async def test_short_stream_is_served_while_draining(self) -> None:
        """The estimated length decides, not the longest that is allowed."""
        self.process.start_draining()
        await self.wait_until(lambda: self.process.state.is_draining)
        self.assert_complete(await self._request_stream(b'80'))

    async def test_stream_waiting_for_new_path_is_finished(self) -> None:
        waiting, head, other = await self.start_stream()
        now = asyncio.get_running_loop().time()
        self.process.state.view.note_refusal(other, now)
        self.harness.replicas[head].close_after_event = 1
        counters = self.process.state.counters
        await self.wait_until(lambda: counters['streams.broken'])
        self.process.start_draining()
        self.assert_complete(await waiting)

    async def _request_stream(self, answer_tokens: bytes) -> tuple[int, bytes]:
        headers = [
            *build_headers('r1')[:-1],
            (b'x-samphirerill-token-count', b'800,' + answer_tokens),
            (b'x-samphirerill-length-hint', answer_tokens),
        ]
        return await self.request_with(b'/notes/x', headers)


class TestAnnouncement(TwoEnginesCase):
    """The announcement of a node that has left."""

    async def asyncSetUp(self) -> None:
        fast_renewal = patch(
            'samphirerill.relay.membership._RENEW_INTERVAL_S', SETTLE_S / 2
        )
        fast_renewal.start()
        self.addCleanup(fast_renewal.stop)
        await super().asyncSetUp()

    async def test_node_is_not_announced_again_after_leaving(self) -> None:
        """A revoked lease must not be granted again by its renewal.

        The other nodes would wait for the node until that lease expires.
        """
        await self.wait_until(self.list_announced)
        await self.process._membership.leave()  # noqa: SLF001
        await asyncio.sleep(3 * SETTLE_S)
        self.assertEqual(self.list_announced(), [])

    def list_announced(self) -> list[str]:
        """Return the keys under which nodes are announced."""
        keys = self.harness.store.keys
        return [key for key in keys if key.startswith(PREFIX)]


class TestBackgroundLoops(TwoEnginesCase):
    """Background loops during shutdown."""

    async def test_loop_failing_during_shutdown_is_not_restarted(
        self,
    ) -> None:
        """Restarting a loop would keep the process from exiting.

        It would then be killed, with a failure logged every half second.
        """

        async def fail() -> None:
            raise ValueError('port is closed')

        self.process.close()
        self.process._ended.set()  # noqa: SLF001
        async with asyncio.timeout(3.0):
            await self.process._keep_running(fail, 'x')  # noqa: SLF001


async def _count_received(reader: asyncio.StreamReader) -> int:
    """Return how many bytes are received until EOF or a reset."""
    received = 0
    try:
        while chunk := await reader.read(65_536):
            received += len(chunk)
    except ConnectionError:
        return received
    return received
