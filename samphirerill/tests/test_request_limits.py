"""Replicas that name a request limit get no more than that from all nodes."""

from __future__ import annotations

import asyncio

from samphirerill.tests.limited_fleet import PLAIN, STREAM, LimitedFleetCase

_SERIES_S = 6.0
# All nodes know a limit so long after a replica has named it first.
_TOLD_S = 1.0
_RATE = 1.0


class TestOneLimitedReplica(LimitedFleetCase):
    """One of two replicas of a service names a limit."""

    async def test_streams_keep_the_limit_over_all_nodes(self) -> None:
        """Guard against more streams than a replica named for all nodes."""
        self.replicas['engine-1'].request_limit = b'1'
        since = asyncio.get_running_loop().time() + _TOLD_S
        await self.send_series(STREAM, _SERIES_S)
        self.assert_limit_kept('engine-1', _RATE, since)

    async def test_plain_requests_keep_the_limit_over_all_nodes(self) -> None:
        """Guard against more plain requests than a replica named."""
        self.replicas['desk-1'].request_limit = b'1'
        since = asyncio.get_running_loop().time() + _TOLD_S
        await self.send_series(PLAIN, _SERIES_S)
        self.assert_limit_kept('desk-1', _RATE, since)
