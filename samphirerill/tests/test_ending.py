"""A node that is told to end answers what it has read."""

from __future__ import annotations

import asyncio
from unittest.mock import patch

from msgspec import json

from samphirerill.relay.connection import HttpConnection, build_call
from samphirerill.relay.members import PREFIX
from samphirerill.relay.pool import read_answer
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import (
    OK,
    PATIENCE_S,
    SETTLE_S,
    TwoEnginesCase,
    build_headers,
)


class TestEnd(TwoEnginesCase):
    """A node that is told to end answers what it has read."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        notice = patch(
            'samphirerill.relay.process._READINESS_NOTICE_S', SETTLE_S
        )
        notice.start()
        self.addCleanup(notice.stop)
        self.desk = self.world.replicas['desk-1']

    async def test_a_request_that_comes_as_the_last_one_ends(self) -> None:
        """Symptom: a node that ends closes a request that it has passed on.

        Sequence: after a SIGTERM nothing is under way any more; the node gives
        its lease back; a request comes in that moment, long before the latest
        time, and is passed on; the process ends. Cause: after the last look
        at what is under way, requests were still read.
        """
        leaving = asyncio.Event()

        async def leave(_: object) -> None:
            leaving.set()
            await asyncio.sleep(2 * SETTLE_S)

        with patch('samphirerill.relay.members.Members.leave', leave):
            self.desk.free.clear()
            self.process.begin_drain()
            await leaving.wait()
            waiting = self.start(b'/pickup/x')
            await self.until(lambda: self.desk.seen)
            await asyncio.sleep(3 * SETTLE_S)
            self.desk.free.set()
            status, reason = await waiting
        self.assertEqual(status, OK, reason)

    async def test_an_answer_that_is_not_yet_on_its_way(self) -> None:
        """Symptom: a node that ends cuts an answer in the middle.

        Sequence: an answer is written whole to a client with a slow link; a
        SIGTERM comes; nothing is under way any more, and the process ends with
        the rest of the answer in its own buffer. Cause: what was written
        counted as sent.
        """
        self.desk.padding = 16_000_000
        port = self.process.get_port()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port, limit=1024
        )
        call = build_call(b'POST', b'/pickup/x', build_headers('r1'), b'')
        writer.write(call)
        await self.until(lambda: self.desk.seen)
        await asyncio.sleep(2 * SETTLE_S)
        self.process.begin_drain()
        await asyncio.sleep(5 * SETTLE_S)
        read = await _read_rest(reader)
        writer.close()
        self.assertGreater(read, self.desk.padding)

    async def test_what_is_unanswered_at_the_end_is_told_so(self) -> None:
        """Symptom: a node that ends closes connections without an answer.

        Sequence: a request waits for a slow endpoint as the time after a
        SIGTERM runs out. Cause: connections were closed without a word, though
        the status of a request that may have run could still be sent.
        """
        self.change(finish_s=1.3)
        document = json.decode(build_configuration(8))
        document['routes'][1]['timeoutMs'] = 4000
        await self.configure(json.encode(document))
        self.desk.free.clear()
        waiting = self.start(b'/pickup/x')
        await self.until(lambda: self.desk.seen)
        self.process.begin_drain()
        status, reason = await waiting
        self.desk.free.set()
        self.assertIn(status, (502, 504), reason)

    async def test_requests_that_wait_behind_another_are_answered(
        self,
    ) -> None:
        """Symptom: a node that ends closes a connection on a whole request.

        Sequence: two requests arrive on one connection; a SIGTERM comes while
        the first is served; its answer closes the connection. Cause: the
        connection was ended with a request in it that had been read.
        """
        self.desk.free.clear()
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.process.get_port()
        )
        for request_id in ('r1', 'r2'):
            headers = build_headers(request_id)
            writer.write(build_call(b'POST', b'/pickup/x', headers, b''))
        await self.until(lambda: self.desk.seen)
        self.process.begin_drain()
        self.desk.free.set()
        body = await reader.read()
        writer.close()
        self.assertEqual(body.count(b'HTTP/1.1 '), 2)

    async def test_a_kept_connection_is_served_until_the_end(self) -> None:
        conn = HttpConnection(f'127.0.0.1:{self.process.get_port()}')
        await conn.open()
        self.addCleanup(conn.close)
        for is_last in (False, True):
            if is_last:
                self.process.begin_drain()
            call = build_call(b'POST', b'/pickup/x', build_headers('r'), b'')
            conn.send(call)
            until = asyncio.get_running_loop().time() + PATIENCE_S
            status, _ = await read_answer(conn, until)
            self.assertEqual(status, OK)

    async def test_a_stream_between_two_paths_is_finished(self) -> None:
        waiting, head, other = await self.start_stream()
        now = asyncio.get_running_loop().time()
        self.process.state.view.refuse(other, now)
        self.world.replicas[head].stop_after = 1
        broken = self.process.state.counters
        await self.until(lambda: broken['streams.broken'])
        self.process.begin_drain()
        self.assert_whole(await waiting)


class TestLeft(TwoEnginesCase):
    """What a node that has left says of itself."""

    async def asyncSetUp(self) -> None:
        renew = patch('samphirerill.relay.members._RENEW_S', SETTLE_S / 2)
        renew.start()
        self.addCleanup(renew.stop)
        await super().asyncSetUp()

    async def test_a_node_that_has_left_stays_away(self) -> None:
        """Symptom: other nodes wait at one that has ended.

        Sequence: a node gives its lease back, and finishes a request that came
        meanwhile; it announces itself anew, and ends without giving that back.
        Cause: its lease was renewed, and so granted anew, after that.
        """
        await self.until(self.list_announced)
        await self.process._members.leave()  # noqa: SLF001
        await asyncio.sleep(3 * SETTLE_S)
        self.assertEqual(self.list_announced(), [])

    def list_announced(self) -> list[str]:
        """Return the keys under which nodes are announced."""
        known = self.world.service.keys
        return [key for key in known if key.startswith(PREFIX)]


class TestLoops(TwoEnginesCase):
    """What a node does all the time ends with it."""

    async def test_a_loop_that_fails_as_it_ends_is_not_started_again(
        self,
    ) -> None:
        """Symptom: a node that was told to end is killed eight seconds later.

        Sequence: its loops are cancelled; one of them fails in that moment; it
        is started again, each half second. Cause: the failure was looked at, and
        not that the node ends. Evidence: "loop failed" each half second until
        the process was killed.
        """

        async def fail() -> None:
            raise ValueError('a port that is closed')

        self.process.close()
        self.process._ended.set()  # noqa: SLF001
        async with asyncio.timeout(3.0):
            await self.process._keep_running(fail, 'x')  # noqa: SLF001


async def _read_rest(reader: asyncio.StreamReader) -> int:
    """Return how many bytes come before the end, however it comes."""
    read = 0
    try:
        while part := await reader.read(65_536):
            read += len(part)
    except ConnectionError:
        return read
    return read
