"""Clients of the own interface that do not read their responses."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from http import HTTPStatus

from samphirerill.core.commands import Outcome
from samphirerill.node.responses import ClientRequest
from samphirerill.node.sessions import Session
from samphirerill.node.unread_responses import UnreadResponses
from samphirerill.testing.processor_time import ProcessorTimeCase

_MB = 1_048_576
_TIMEOUT_S = 10.0
_READ_TIMEOUT_S = 0.2
_READ_BYTES = 262_144


class TestUnreadResponses(ProcessorTimeCase):
    """Complete responses that stay in the node's write buffer."""

    async def asyncSetUp(self) -> None:
        self.counters: Counter[str] = Counter()
        self.unread = UnreadResponses(self.counters, _READ_TIMEOUT_S, 8 * _MB)

    async def respond(self, body: bytes) -> socket.socket:
        """Send a response; return the client's socket."""
        client, accepted = socket.socketpair()
        self.addCleanup(client.close)
        request = ClientRequest('service', '', '')
        session = Session('r1', request, print, self.unread)
        accepted.setblocking(False)  # noqa: FBT003
        await session.attach(accepted)
        session.send_response(HTTPStatus.OK, [], body, Outcome.ANSWERED)
        return client

    async def wait_until_given_up(self) -> None:
        """Wait until nothing is unread any more."""
        async with asyncio.timeout(_TIMEOUT_S):
            while self.unread.count_bytes():
                await asyncio.sleep(0)

    async def test_client_that_does_not_read_is_disconnected(self) -> None:
        """Guards against connections that stay until their clients read."""
        await self.respond(bytes(4 * _MB))
        self.assertGreater(self.unread.count_bytes(), 0)
        await self.wait_until_given_up()
        self.assertEqual(self.counters['responses.given_up'], 1)

    async def test_longest_unread_is_given_up(self) -> None:
        """Guards against clients that fill the memory together."""
        for _ in range(4):
            await self.respond(bytes(4 * _MB))
        self.assertLessEqual(self.unread.count_bytes(), 8 * _MB)
        self.assertEqual(self.counters['responses.given_up'], 2)

    async def test_slow_client_gets_the_whole_response(self) -> None:
        """Guards against giving up on a client that reads slowly."""
        client = await self.respond(bytes(4 * _MB))
        client.setblocking(False)  # noqa: FBT003
        loop = asyncio.get_running_loop()
        received = 0
        async with asyncio.timeout(_TIMEOUT_S):
            while part := await loop.sock_recv(client, _READ_BYTES):
                received += len(part)
                await asyncio.sleep(_READ_TIMEOUT_S / 8)
        self.assertGreater(received, 4 * _MB)
        self.assertEqual(self.counters['responses.given_up'], 0)

    async def test_client_that_leaves_is_forgotten(self) -> None:
        client = await self.respond(bytes(4 * _MB))
        client.close()
        await self.wait_until_given_up()
        self.assertEqual(self.counters['responses.given_up'], 0)
