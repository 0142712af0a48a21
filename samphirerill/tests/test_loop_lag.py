"""The lag of a node's event loop must not count as silence of others."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase

from msgspec import json

from samphirerill.node.probes import fetch
from samphirerill.relay.connection import (
    CONNECT_TIMEOUT_S,
    Head,
    HttpConnection,
    build_call,
)
from samphirerill.relay.health.alarms import Alarms
from samphirerill.relay.health.examiner import Examiner
from samphirerill.testing.platform_world import PlatformWorld
from samphirerill.tests.fleets import build_replica

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

_OK = 200
_CALL = build_call(b'GET', b'/report', [(b'host', b'engine')], b'')
_ANSWERS_AFTER_S = 0.03
_PATIENCE_S = 0.08
_BLOCKED_S = 2 * CONNECT_TIMEOUT_S
# About the passes of the loop until a probe has been sent.
_MOST_STEPS = 8
_REPORT = {
    'layers': {'from': 0, 'to': 80, 'version': 1},
    'busy': False,
    'sequence': 0,
}


class _Handler(BaseHTTPRequestHandler):
    """Reports as an engine does, a moment late."""

    protocol_version = 'HTTP/1.1'

    def do_GET(self) -> None:  # noqa: N802
        time.sleep(_ANSWERS_AFTER_S)
        body = json.encode(_REPORT)
        self.send_response(_OK)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        with suppress(BrokenPipeError):
            self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Keep the output of tests clean."""


class LoopLagCase(IsolatedAsyncioTestCase):
    """Engines that run on while this loop is blocked."""

    def start_engine(self) -> str:
        """Serve in a thread of its own; return the address."""
        server = ThreadingHTTPServer(('127.0.0.1', 0), _Handler)
        server.daemon_threads = True
        Thread(target=server.serve_forever, args=(0.01,), daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        return f'127.0.0.1:{server.server_address[1]}'

    async def block_loop(self) -> None:
        """Let what is ready begin, then run nothing for a while."""
        await asyncio.sleep(0)
        time.sleep(_BLOCKED_S)  # noqa: ASYNC251


class TestConnections(LoopLagCase):
    """What came meanwhile counts, however late it is read."""

    async def test_an_answer_that_came_meanwhile_is_no_silence(self) -> None:
        """Streams aren't moved off an engine whose answer waits to be read."""
        conn = HttpConnection(self.start_engine())
        self.addCleanup(conn.close)
        await conn.open()
        conn.send(_CALL)
        deadline = asyncio.get_running_loop().time() + _PATIENCE_S
        reading = asyncio.create_task(conn.read(deadline))
        await self.block_loop()
        self.assertIsInstance(await reading, Head)

    async def test_a_connection_made_meanwhile_is_used(self) -> None:
        """Engines that accepted in time aren't taken to be unreachable."""
        conn = HttpConnection(self.start_engine())
        self.addCleanup(conn.close)
        opening = asyncio.create_task(conn.open())
        await self.block_loop()
        await opening
        self.assertTrue(conn.is_open())


class TestOwnProbes(LoopLagCase):
    """The own interface asks endpoints in the same way."""

    async def test_an_answer_that_came_meanwhile_is_taken(self) -> None:
        """Endpoints aren't suspected because the node was late to read."""
        asking = asyncio.create_task(fetch(self.start_engine(), '/load'))
        await self.block_loop()
        self.assertEqual(await asking, json.encode(_REPORT))


class TestQuestions(LoopLagCase):
    """A question that the node itself was too late to ask says nothing."""

    async def test_an_engine_probed_by_a_blocked_loop_is_not_dead(self) -> None:
        """Streams of a living engine aren't ended because the node paused."""
        world = PlatformWorld()
        self.addAsyncCleanup(world.stop)
        await world.start()
        process = world.expect_process()
        asked, control = self.build_engine('asked'), self.build_engine('other')
        process.state.view.announce(asked, 1)
        process.state.view.announce(control, 2)
        examiner = Examiner(process.state, Alarms(process.state))
        for steps in range(_MOST_STEPS):
            with self.subTest(steps=steps):
                now = asyncio.get_running_loop().time()
                asking = asyncio.create_task(examiner.ask_after([asked], now))
                for _ in range(steps):
                    await asyncio.sleep(0)
                await self.block_loop()
                self.assertEqual(await asking, set())

    def build_engine(self, name: str) -> Replica:
        """Start an engine; return how it is announced."""
        replica = build_replica(name, 'a', 'large', (0, 32))
        return replace(replica, address=self.start_engine())
