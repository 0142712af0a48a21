"""Client connections while a node shuts down."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from msgspec import json

from samphirerill.relay.connection import serialize_request
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    RESPONSE_TIMEOUT_S,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)

_STATUS_LINE = b'HTTP/1.1 '
_SHORT_FINISH_S = 1.3


class DrainingCase(TwoEnginesCase):
    """A node whose notice period is short."""

    notice_s = SETTLE_S

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        notice = patch(
            'samphirerill.relay.process._READINESS_NOTICE_S', self.notice_s
        )
        notice.start()
        self.addCleanup(notice.stop)
        self.plain_endpoint = self.harness.replicas['desk-1']
        self.addCleanup(self.plain_endpoint.responding.set)

    async def connect(
        self, sent: bytes = b''
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send some bytes."""
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        self.addCleanup(writer.close)
        writer.write(sent)
        return reader, writer

    async def hold_request(
        self, sent: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Send requests, of which the endpoint holds the first one."""
        self.plain_endpoint.responding.clear()
        connection = await self.connect(sent)
        await self.wait_until(lambda: self.plain_endpoint.received_requests)
        return connection

    async def allow_long_requests(self) -> None:
        """Lengthen the timeout of plain requests beyond the shutdown."""
        document = json.decode(build_configuration(8))
        document['routes'][1]['timeoutMs'] = 4000
        await self.configure(json.encode(document))


class TestDrainingConnections(DrainingCase):
    """Connections on which requests are read while the node drains."""

    async def test_request_that_is_being_sent_is_answered(self) -> None:
        """A response must not announce a close within the next request."""
        request = _build_request()
        reader, writer = await self.hold_request(request + request[:40])
        self.process.start_draining()
        self.plain_endpoint.responding.set()
        await asyncio.sleep(SETTLE_S)
        writer.write(request[40:])
        self.assertEqual(await _read_statuses(reader), [200, 200])

    async def test_request_after_an_announced_close_is_not_read(self) -> None:
        """A client may repeat what it sent after a response with a close."""
        self.process.start_draining()
        reader, writer = await self.connect(_build_request(b'/notes/x'))
        await reader.readuntil(b'token1\n\n')
        writer.write(_build_request())
        await reader.read()
        counters = self.process.state.counters
        await self.wait_until(lambda: counters['connections.closed.draining'])
        self.assertEqual(counters['requests.unanswered.draining'], 0)

    async def test_queued_requests_are_rejected_at_the_end(self) -> None:
        """Requests that were never started must not end without an answer."""
        self.change_settings(finish_s=_SHORT_FINISH_S)
        await self.allow_long_requests()
        reader, _ = await self.hold_request(3 * _build_request())
        self.process.start_draining()
        statuses = await _read_statuses(reader)
        self.assertIn(statuses[0], (502, 504))
        self.assertEqual(statuses[1:], [503, 503])

    async def test_request_that_was_given_up_is_stopped(self) -> None:
        """An endpoint must not work on after its client got an error."""
        reader, _ = await self.hold_request(_build_request())
        self.process.close()
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.plain_endpoint.cancelled, 1)
        self.plain_endpoint.responding.set()
        self.assertEqual(await _read_statuses(reader), [502])

    async def test_client_that_is_sending_at_the_end_is_told(self) -> None:
        reader, _ = await self.connect(_build_request()[:40])
        await asyncio.sleep(SETTLE_S)
        self.process.start_draining()
        self.assertEqual(await _read_statuses(reader), [408])

    async def test_node_waits_for_clients_that_get_their_last_response(
        self,
    ) -> None:
        """Exiting resets the connection of a client that is still sending."""
        wait = patch('samphirerill.relay.process._LAST_RESPONSES_S', 2)
        wait.start()
        self.addCleanup(wait.stop)
        reader, writer = await self.connect(_build_request()[:40])
        await asyncio.sleep(SETTLE_S)
        self.process.start_draining()
        self.assertEqual(await _read_statuses(reader), [408])
        running = self.harness._nodes[0][1]  # noqa: SLF001
        await asyncio.sleep(SETTLE_S)
        self.assertFalse(running.done())
        writer.close()
        await self.wait_until(running.done)

    async def test_new_connection_may_send_its_first_request(self) -> None:
        """The load balancer may have no other node to connect to."""
        await self.hold_request(_build_request())
        self.process.start_draining()
        await asyncio.sleep(2 * SETTLE_S)
        reader, writer = await self.connect()
        await asyncio.sleep(2 * SETTLE_S)
        writer.write(_build_request())
        await asyncio.sleep(SETTLE_S)
        self.plain_endpoint.responding.set()
        self.assertEqual(await _read_statuses(reader), [200])

    async def test_error_while_the_lease_is_revoked_is_survived(self) -> None:
        """A shutdown that stops halfway ends by a kill."""

        async def leave(_: object) -> None:
            raise ValueError('cannot leave')

        reader, _ = await self.connect()
        with patch('samphirerill.relay.membership.Membership.leave', leave):
            self.process.start_draining()
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await reader.read()
            await self.wait_until(self.process._ended.is_set)  # noqa: SLF001


class TestShortShutdown(DrainingCase):
    """A node whose time to finish is shorter than its notice period."""

    notice_s = 5 * _SHORT_FINISH_S

    async def test_node_ends_before_it_is_killed(self) -> None:
        """A node that is killed in its notice period answers nothing."""
        self.change_settings(finish_s=_SHORT_FINISH_S)
        reader, _ = await self.connect()
        self.process.start_draining()
        async with asyncio.timeout(2 * _SHORT_FINISH_S):
            await reader.read()


def _build_request(target: bytes = b'/pickup/x') -> bytes:
    return serialize_request(b'POST', target, build_headers('r1'), b'')


async def _read_statuses(reader: asyncio.StreamReader) -> list[int]:
    """Return the statuses of all responses until the node closes."""
    async with asyncio.timeout(RESPONSE_TIMEOUT_S):
        received = await reader.read()
    return [int(answer[:3]) for answer in received.split(_STATUS_LINE)[1:]]
