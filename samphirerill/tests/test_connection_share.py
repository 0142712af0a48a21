"""Tests of the limit on connections of one node to an endpoint."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.model import Replica
from samphirerill.relay.connection import serialize_request
from samphirerill.relay.errors import (
    ConnectionLimitError,
    ConnectRefusedError,
)
from samphirerill.relay.pool import ConnectionPool, read_response
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.fleet_builders import build_replica


class TestConnectionLimit(IsolatedAsyncioTestCase):
    """One endpoint to which a node may open two connections."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.add_replica('desk-1')
        self.pool = ConnectionPool(Counter())
        self.endpoint = self.find_replica()

    def find_replica(self) -> Replica:
        """Return the endpoint as it is announced."""
        address = self.harness.addresses['desk-1']
        return replace(build_replica('desk-1'), address=address)

    async def test_no_more_connections_are_opened_than_allowed(self) -> None:
        """An endpoint reset connections in a burst of requests.

        Each request opened one, without a limit per node.
        """
        first = await self.pool.acquire(self.endpoint, max_open=2)
        await self.pool.acquire(self.endpoint, max_open=2)
        self.assertFalse(self.pool.has_available('desk-1', 2))
        with self.assertRaises(ConnectionLimitError):
            await self.pool.acquire(self.endpoint, max_open=2)
        first.close()
        self.assertTrue(self.pool.has_available('desk-1', 2))
        await self.pool.acquire(self.endpoint, max_open=2)

    async def test_idle_connection_is_evicted_for_a_new_one(self) -> None:
        conn = await self.pool.acquire(self.endpoint, max_open=1)
        conn.send(serialize_request(b'GET', b'/x', [(b'host', b'desk')], b''))
        await read_response(conn, asyncio.get_running_loop().time() + 2)
        self.pool.release(self.endpoint, conn)
        conn.proven_until = 0.0
        other = await self.pool.acquire(self.endpoint, proven=True, max_open=1)
        self.assertIsNot(other, conn)
        self.assertFalse(conn.is_open())

    async def test_failed_connections_do_not_count(self) -> None:
        unreachable = replace(self.endpoint, address='127.0.0.1:1')
        for _ in range(3):
            with self.assertRaises(ConnectRefusedError):
                await self.pool.acquire(unreachable, max_open=1)
        self.assertTrue(self.pool.has_available('desk-1', 1))
