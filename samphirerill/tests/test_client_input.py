"""Tests that any client input gets a well-formed response or a close."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.listeners import listen
from samphirerill.relay.server import ClientConnection, Request

_VALID = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
_RESPONSE_TIMEOUT_S = 3.0
_LIMITS = ClientLimits(
    max_header_bytes=2048,
    max_body_bytes=1024,
    header_timeout_s=0.3,
    idle_timeout_s=0.6,
)


class _EchoHandler:
    """A handler that responds with the request body."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        self.bodies.append(req.body)
        conn.respond(200, [], req.body)

    def get_limits(self) -> ClientLimits:
        return _LIMITS

    def is_draining(self) -> bool:
        return False


class InputCase(IsolatedAsyncioTestCase):
    """A server that echoes request bodies."""

    async def asyncSetUp(self) -> None:
        self.handler = _EchoHandler()
        self.connections: set[ClientConnection] = set()
        self.server = await listen(
            '127.0.0.1:0', self.handler, self.connections
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        self.server.close()
        for conn in tuple(self.connections):
            conn.abort()
        await asyncio.sleep(0)

    async def exchange(self, raw: bytes, *, sends_eof: bool = False) -> bytes:
        """Send bytes; return everything received until the close."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(raw)
        if sends_eof:
            writer.write_eof()
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()


class TestMalformedRequests(InputCase):
    """Malformed requests and attempts at request smuggling."""

    async def test_malformed_requests_are_rejected(self) -> None:
        cases = {
            'not HTTP': (b'hello\r\n\r\n', 400),
            'no host': (b'GET / HTTP/1.1\r\n\r\n', 400),
            'two hosts': (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
            'two lengths': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
                b'Content-Length: 2\r\n\r\nab',
                400,
            ),
            'length and transfer encoding': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                400,
            ),
            'absolute target': (
                b'GET http://b/ HTTP/1.1\r\nHost: a\r\n\r\n',
                400,
            ),
            'large header': (
                b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 4000 + b'\r\n\r\n',
                431,
            ),
            'many headers': (
                b'GET / HTTP/1.1\r\nHost: a\r\n' + b'X: 1\r\n' * 3000 + b'\r\n',
                431,
            ),
            'large body': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n',
                413,
            ),
            'large chunks': (
                b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
                b'\r\n\r\n800\r\n' + b'x' * 2048 + b'\r\n0\r\n\r\n',
                413,
            ),
            'field without end': (
                b'GET / HTTP/1.1\r\nHost: a\r\nX: ' + b'x' * 9000,
                431,
            ),
            'trailer without end': (
                b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
                b'\r\n\r\n1\r\nx\r\n0\r\nX: ' + b'x' * 9000,
                431,
            ),
            'chunk extension without end': (
                b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
                b'\r\n\r\n1;' + b'x' * 9000,
                431,
            ),
            'empty lines without end': (b'\r\n' * 4500, 400),
            'bad chunk': (
                b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
                b'\r\n\r\nzz\r\n',
                400,
            ),
        }
        for name, (raw, status) in cases.items():
            with self.subTest(name):
                answer = await self.exchange(raw)
                self.assertTrue(
                    answer.startswith(b'HTTP/1.1 %d' % status), answer[:80]
                )
        self.assertEqual(self.handler.bodies, [])

    async def test_chunks_of_a_byte_are_accepted(self) -> None:
        """Guards against limits on framing that reject a legal body."""
        size = _LIMITS.max_body_bytes
        head = b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
        await self.exchange(
            head + b'\r\n\r\n' + b'1\r\nx\r\n' * size + b'0\r\n\r\n'
        )
        self.assertEqual(self.handler.bodies, [b'x' * size])

    async def test_largest_head_is_accepted_behind_a_body(self) -> None:
        """Guards against counting bytes of one request for the next."""
        body = b'x' * _LIMITS.max_body_bytes
        first = b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n'
        field = b'X: ' + b'y' * (_LIMITS.max_header_bytes - 50)
        second = b'GET / HTTP/1.1\r\nHost: a\r\n%b\r\n\r\n' % field
        answer = await self.exchange((first % len(body) + body) * 3 + second)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 4)

    async def test_slow_request_head_times_out(self) -> None:
        answer = await self.exchange(b'GET / HTT')
        self.assertTrue(answer.startswith(b'HTTP/1.1 408'), answer)

    async def test_body_is_not_parsed_as_a_request(self) -> None:
        inner = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
        raw = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b'
        await self.exchange(raw % (len(inner), inner))
        self.assertEqual(self.handler.bodies, [inner])

    async def test_pipelined_requests_are_answered_in_order(self) -> None:
        answer = await self.exchange(_VALID * 3)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 3)

    async def test_corrupted_requests_neither_hang_nor_fail(self) -> None:
        random = Random(7)
        inputs = [_corrupt(random) for _ in range(150)]
        answers = await asyncio.gather(
            *(self.exchange(raw, sends_eof=True) for raw in inputs)
        )
        for raw, answer in zip(inputs, answers, strict=True):
            with self.subTest(raw):
                self.assertNotIn(b'HTTP/1.1 5', answer)
                self.assertTrue(not answer or answer.startswith(b'HTTP/1.1 '))


def _corrupt(random: Random) -> bytes:
    """Return a valid request with some bytes changed, lost or doubled."""
    raw = bytearray(_VALID)
    for _ in range(random.randint(1, 4)):
        at = random.randrange(len(raw))
        choice = random.randrange(3)
        if choice == 0:
            raw[at] = random.randrange(256)
        elif choice == 1:
            raw.pop(at)
        else:
            raw[at:at] = raw[at : at + random.randint(1, 9)]
    return bytes(raw)
