"""A node's share of the connections that an endpoint takes."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import Replica
from samphirerill.relay.connection import build_call
from samphirerill.relay.errors import (
    NobodyListensError,
    ConnectionLimitError,
)
from samphirerill.relay.pool import ConnectionPool, read_answer
from samphirerill.testing.platform_world import PlatformWorld
from samphirerill.tests.fleets import build_replica


class TestShare(IsolatedAsyncioTestCase):
    """One endpoint of which a node may have two connections."""

    async def asyncSetUp(self) -> None:
        self.world = PlatformWorld()
        self.addAsyncCleanup(self.world.stop)
        await self.world.add('desk-1')
        self.pool = ConnectionPool(Counter())
        self.desk = self.find_replica()

    def find_replica(self) -> Replica:
        """Return the endpoint as it is announced."""
        address = self.world.addresses['desk-1']
        return replace(build_replica('desk-1'), address=address)

    async def test_no_more_are_opened_than_the_share(self) -> None:
        """Symptom: an endpoint resets connections in a burst.

        Sequence: many requests come at once, each opens a connection of its
        own. Cause: every node opened as many as it liked.
        """
        first = await self.pool.take(self.desk, most=2)
        await self.pool.take(self.desk, most=2)
        self.assertFalse(self.pool.has_left('desk-1', 2))
        with self.assertRaises(ConnectionLimitError):
            await self.pool.take(self.desk, most=2)
        first.close()
        self.assertTrue(self.pool.has_left('desk-1', 2))
        await self.pool.take(self.desk, most=2)

    async def test_one_that_waits_makes_room_for_a_new_one(self) -> None:
        conn = await self.pool.take(self.desk, most=1)
        conn.send(build_call(b'GET', b'/x', [(b'host', b'desk')], b''))
        await read_answer(conn, asyncio.get_running_loop().time() + 2)
        self.pool.give_back(self.desk, conn)
        other = await self.pool.take(self.desk, fresh=True, most=1)
        self.assertIsNot(other, conn)
        self.assertFalse(conn.is_open())

    async def test_failed_ones_do_not_count(self) -> None:
        gone = replace(self.desk, address='127.0.0.1:1')
        for _ in range(3):
            with self.assertRaises(NobodyListensError):
                await self.pool.take(gone, most=1)
        self.assertTrue(self.pool.has_left('desk-1', 1))
