"""A blocked event loop must not make live engines look unresponsive."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from msgspec import json

from samphirerill.node.health_checks import try_fetch
from samphirerill.relay.connection import (
    CONNECT_TIMEOUT_S,
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.health.alarms import Alarms
from samphirerill.relay.health.probe_timeouts import (
    ProbeDeadline,
    ProbeLatencies,
)
from samphirerill.relay.health.prober import ReplicaProber
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.fleet_builders import build_replica

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_OK = 200
_REPORT_REQUEST = serialize_request(
    b'GET', b'/report', [(b'host', b'engine')], b''
)
_RESPONSE_DELAY_S = 0.03
_READ_TIMEOUT_S = 0.08
_BLOCKED_S = 2 * CONNECT_TIMEOUT_S
# Covers the event loop iterations until a probe has been sent.
_MAX_STEPS = 8
_REPORT = {
    'layers': {'from': 0, 'to': 80, 'version': 1},
    'busy': False,
    'sequence': 0,
}


class _Handler(BaseHTTPRequestHandler):
    """Serves the status report of an engine, with a short delay."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:  # noqa: N802
        time.sleep(_RESPONSE_DELAY_S)
        body = json.encode(_REPORT)
        self.send_response(_OK)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        with suppress(BrokenPipeError):
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Suppress the log of requests."""


class LoopLagCase(IsolatedAsyncioTestCase):
    """Engines that keep running while this event loop is blocked."""

    def start_engine(self) -> str:
        """Start an engine in its own thread; return its address."""
        server = ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
        server.daemon_threads = True
        Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f'127.0.0.1:{server.server_address[1]}'

    async def block_loop(self) -> None:
        """Run the ready callbacks once, then block the event loop."""
        await asyncio.sleep(0)
        time.sleep(_BLOCKED_S)  # noqa: ASYNC251


class TestConnections(LoopLagCase):
    """Data that arrived while the loop was blocked counts as on time."""

    async def test_response_received_while_blocked_is_not_a_timeout(
        self,
    ) -> None:
        """Streams must not be rerouted while a response waits in the socket."""
        conn = HttpConnection(self.start_engine())
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(_REPORT_REQUEST)
        deadline = asyncio.get_running_loop().time() + _READ_TIMEOUT_S
        reading = asyncio.create_task(conn.read(deadline))
        await self.block_loop()
        self.assertIsInstance(await reading, ResponseHead)

    async def test_connection_accepted_while_blocked_is_used(self) -> None:
        """An engine that accepted in time must not count as unreachable."""
        conn = HttpConnection(self.start_engine())
        self.addCleanup(conn.close)
        opening = asyncio.create_task(conn.open())
        await self.block_loop()
        await opening
        self.assertTrue(conn.is_open())


class TestNativeProbes(LoopLagCase):
    """Probes of the project's own endpoint interface."""

    async def test_probe_answered_while_blocked_succeeds(self) -> None:
        """An endpoint must not be suspected because the node read late."""
        probe = asyncio.create_task(try_fetch(self.start_engine(), '/load'))
        await self.block_loop()
        self.assertEqual(await probe, json.encode(_REPORT))


class TestHealthProbes(LoopLagCase):
    """Health probes that this node sent late prove nothing."""

    async def test_engine_probed_by_blocked_loop_is_not_dead(self) -> None:
        """A blocked node must not end the streams of a live engine."""
        harness = PlatformHarness()
        self.addAsyncCleanup(harness.stop)
        await harness.start()
        process = harness.require_first_node()
        probed, control = self.build_engine('asked'), self.build_engine('other')
        process.state.view.apply_announcement(probed, 1)
        process.state.view.apply_announcement(control, 2)
        prober = ReplicaProber(process.state, Alarms(process.state))
        for steps in range(_MAX_STEPS):
            with self.subTest(steps=steps):
                now = asyncio.get_running_loop().time()
                probe = asyncio.create_task(
                    prober.probe_replicas([probed], now)
                )
                for _ in range(steps):
                    await asyncio.sleep(0)
                await self.block_loop()
                self.assertEqual(await probe, set())

    async def test_probe_is_not_repeated_before_its_answer_is_read(
        self,
    ) -> None:
        """A node that was blocked sent further probes past a waiting answer."""
        for bound in ('_MIN_RETRY_DELAY_S', '_MAX_RETRY_DELAY_S'):
            name = f'samphirerill.relay.health.probe_timeouts.{bound}'
            self.enterContext(patch(name, _BLOCKED_S / 2))
        deadline = ProbeDeadline(ProbeLatencies())
        probe = asyncio.create_task(self.answer_in_steps())
        waiting = asyncio.create_task(deadline.wait_for_retry({probe}))
        await self.block_loop()
        await waiting
        self.assertTrue(probe.done())

    async def answer_in_steps(self) -> None:
        """Return after as many loop iterations as a probe needs."""
        for _ in range(_MAX_STEPS):
            await asyncio.sleep(0)

    def build_engine(self, name: str) -> Replica:
        """Start an engine; return it as a replica."""
        replica = build_replica(name, 'a', 'large', (0, 32))
        return replace(replica, address=self.start_engine())
