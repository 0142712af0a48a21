"""Whatever bytes a client sends, it gets a well-formed answer or a close."""

from __future__ import annotations

import asyncio
from random import Random
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import ClientLimits
from samphirerill.relay.listeners import listen
from samphirerill.relay.server import CallerConnection, Request

_GOOD = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi'
_PATIENCE_S = 3.0
_LIMITS = ClientLimits(
    max_header_bytes=2048,
    max_body_bytes=1024,
    header_timeout_s=0.3,
    idle_timeout_s=0.6,
)


class _Echo:
    """Answers with the body it got."""

    def __init__(self) -> None:
        self.bodies: list[bytes] = []

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        self.bodies.append(req.body)
        conn.answer(200, [], req.body)

    def get_limits(self) -> ClientLimits:
        return _LIMITS

    def is_draining(self) -> bool:
        return False


class InputCase(IsolatedAsyncioTestCase):
    """A server that echoes."""

    async def asyncSetUp(self) -> None:
        self.echo = _Echo()
        self.connections: set[CallerConnection] = set()
        self.server = await listen('127.0.0.1:0', self.echo, self.connections)
        self.port = self.server.sockets[0].getsockname()[1]

    async def asyncTearDown(self) -> None:
        self.server.close()
        for conn in tuple(self.connections):
            conn.cut()
        await asyncio.sleep(0)

    async def exchange(self, raw: bytes, *, ends: bool = False) -> bytes:
        """Send bytes and return all that comes until the close."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(raw)
        if ends:
            writer.write_eof()
        try:
            async with asyncio.timeout(_PATIENCE_S):
                return await reader.read()
        except ConnectionError:
            return b''
        finally:
            writer.close()


class TestRefusals(InputCase):
    """What is no request, or could be read in two ways."""

    async def test_bad_heads_are_refused(self) -> None:
        heads = {
            'no request': (b'hello\r\n\r\n', 400),
            'no host': (b'GET / HTTP/1.1\r\n\r\n', 400),
            'two hosts': (b'GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n', 400),
            'two lengths': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
                b'Content-Length: 2\r\n\r\nab',
                400,
            ),
            'length and coding': (
                b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n'
                b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
                400,
            ),
            'another host in the target': (
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
            'bad chunk': (
                b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked'
                b'\r\n\r\nzz\r\n',
                400,
            ),
        }
        for name, (raw, status) in heads.items():
            with self.subTest(name):
                answer = await self.exchange(raw)
                self.assertTrue(
                    answer.startswith(b'HTTP/1.1 %d' % status), answer[:80]
                )
        self.assertEqual(self.echo.bodies, [])

    async def test_a_slow_head_is_timed_out(self) -> None:
        answer = await self.exchange(b'GET / HTT')
        self.assertTrue(answer.startswith(b'HTTP/1.1 408'), answer)

    async def test_no_request_hides_in_another(self) -> None:
        inner = b'POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n'
        raw = b'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b'
        await self.exchange(raw % (len(inner), inner))
        self.assertEqual(self.echo.bodies, [inner])

    async def test_requests_in_one_packet_are_answered_in_turn(self) -> None:
        answer = await self.exchange(_GOOD * 3)
        self.assertEqual(answer.count(b'HTTP/1.1 200'), 3)

    async def test_random_damage_never_hangs_nor_fails(self) -> None:
        random = Random(7)
        raws = [_damage(random) for _ in range(150)]
        answers = await asyncio.gather(
            *(self.exchange(raw, ends=True) for raw in raws)
        )
        for raw, answer in zip(raws, answers, strict=True):
            with self.subTest(raw):
                self.assertNotIn(b'HTTP/1.1 5', answer)
                self.assertTrue(not answer or answer.startswith(b'HTTP/1.1 '))


def _damage(random: Random) -> bytes:
    """Return a good request with some bytes changed, lost or doubled."""
    raw = bytearray(_GOOD)
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
