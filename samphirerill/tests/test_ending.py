"""A node that is told to end answers what it has read."""

from __future__ import annotations

import asyncio
from unittest.mock import patch


from samphirerill.tests.two_engines import (
    OK,
    SETTLE_S,
    TwoEnginesCase,
)


class TestEnd(TwoEnginesCase):
    """A node that is told to end answers what it has read."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        notice = patch('samphirerill.relay.process._NOTICE_S', SETTLE_S)
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


async def _read_rest(reader: asyncio.StreamReader) -> int:
    """Return how many bytes come before the end, however it comes."""
    read = 0
    try:
        while part := await reader.read(65_536):
            read += len(part)
    except ConnectionError:
        return read
    return read
