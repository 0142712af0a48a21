"""Silent attempts of plain requests, with another endpoint to try."""

from __future__ import annotations

import asyncio

from msgspec import json

from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.two_engines import OK, TwoEnginesCase

_TIMEOUT_MS = 1600
_TIMEOUT_S = 1.6
# Beyond the time of a first attempt, well within that of the request.
_WORK_S = 1.0
_SUSPICION_S = 4.0
_NAMES = ('desk-1', 'desk-2')
_GATEWAY_TIMEOUT = 504


class TestSilentAttempts(TwoEnginesCase):
    """Two endpoints; the one that gets the request does not respond."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        await self.harness.add_replica('desk-2')
        await self.announce('desk-2', 'desk', kind='')
        await self.harness.wait_for_replica_count(4)
        await self.set_kind('idempotent', 8)
        for name in _NAMES:
            self.harness.replicas[name].responding.clear()
            self.addCleanup(self.harness.replicas[name].responding.set)

    async def set_kind(self, kind: str, version: int) -> None:
        """Configure the route of the plain service."""
        document = json.decode(build_configuration(version))
        document['routes'][1].update(
            kind=kind, timeoutMs=_TIMEOUT_MS, maxAttempts=2
        )
        await self.configure(json.encode(document))

    async def send(self) -> tuple[asyncio.Task[tuple[int, bytes]], str]:
        """Send a request; return the other endpoint too."""
        request = self.start_request(b'/pickup/x')
        await self.wait_until(self.list_busy)
        busy = self.list_busy()[0]
        return request, next(name for name in _NAMES if name != busy)

    def list_busy(self) -> list[str]:
        """Return the endpoints that the node has sent the request to."""
        tracker = self.process.state.load_tracker
        return [name for name in _NAMES if tracker.count_requests(name)]

    async def test_other_endpoint_is_tried(self) -> None:
        """Guard against waiting for a silent endpoint to the deadline."""
        request, other = await self.send()
        self.harness.replicas[other].responding.set()
        status, body = await request
        self.assertEqual(status, OK, body)
        self.assertEqual(self.count_retries(), 1)

    async def test_suspected_endpoint_does_not_follow(self) -> None:
        """Guard against ending an attempt for an endpoint that may be dead."""
        request, other = await self.send()
        self.mark_dead(other, _SUSPICION_S)
        await asyncio.sleep(_WORK_S)
        self.assertNotIn(other, self.list_busy())
        for name in _NAMES:
            self.harness.replicas[name].responding.set()
        status, body = await request
        self.assertEqual(status, OK, body)
        self.assertEqual(self.count_retries(), 0)

    async def test_kept_attempt_is_reported_as_silent(self) -> None:
        """Guard against more requests to a silent endpoint that is kept."""
        self.change_settings(retry_slack=0, retry_ratio=0)
        request, other = await self.send()
        await asyncio.sleep(_WORK_S)
        suspected = self.list_suspected()
        self.assertNotIn(other, suspected)
        self.assertEqual(len(suspected), 1)
        self.harness.replicas[suspected[0]].responding.set()
        self.assertEqual((await request)[0], OK)

    async def test_request_that_is_not_idempotent_runs_once(self) -> None:
        """Guard against a second run of a request that may have run."""
        await self.set_kind('non_idempotent', 9)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        request, other = await self.send()
        self.harness.replicas[other].responding.set()
        status, _ = await request
        self.assertEqual(status, _GATEWAY_TIMEOUT)
        self.assertGreaterEqual(loop.time() - started_at, _TIMEOUT_S)
        self.assertEqual(self.count_retries(), 0)

    def list_suspected(self) -> list[str]:
        """Return the endpoints that the node suspects."""
        now = asyncio.get_running_loop().time()
        replicas = self.process.state.view.replicas
        return [
            name
            for name in _NAMES
            if replicas[name].suspicion.suspected_until > now
        ]

    def count_retries(self) -> int:
        """Return the retries that were spent."""
        budget = self.process.state.get_retry_budget('desk')
        now = asyncio.get_running_loop().time()
        return budget.get_usage(now).retries
