"""Reports and orders share connections with requests."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from samphirerill.relay.health import Alarms, ReplicaProber, fetch_report
from samphirerill.relay.orders import send_order
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.platform_documents import build_configuration
from samphirerill.tests.test_edge import EdgeCase

_CALLS = 3
_SETTLE_S = 0.05
_FOUND_WITHIN_S = 3.0
# Probes are repeated on a new connection if the answer takes longer; with the usual
# 7 ms, a busy machine would decide how many connections are made.
_LONG_DELAY_S = 10.0
_ORDER = b'{"operation": "none"}'
_REPORT = (
    b'HTTP/1.1 200 OK\r\ncontent-length: 30\r\n\r\n'
    b'{"busy": false, "sequence": 0}'
)


def _delay_repeated_probes(case: IsolatedAsyncioTestCase) -> None:
    """Let probes be repeated only after a time that no answer takes."""
    for bound in ('_MIN_RETRY_DELAY_S', '_MAX_RETRY_DELAY_S'):
        name = f'samphirerill.relay.health.probe_timeouts.{bound}'
        case.enterContext(patch(name, _LONG_DELAY_S))


class TestCalls(EdgeCase):
    """Calls one after another to the same engine."""

    async def test_calls_and_requests_share_connections(self) -> None:
        """Each report and each order had a connection of its own."""
        _delay_repeated_probes(self)
        process = await self.harness.wait_until_ready()
        state = process.state
        replica = state.view.replicas['engine-1'].replica
        accepted = self.harness.accepted_connections
        accepted.clear()
        for _ in range(_CALLS):
            self.assertIsNotNone(await fetch_report(state, replica))
            self.assertEqual(await send_order(state, replica, _ORDER), 202)
            await ReplicaProber(state, Alarms(state)).probe_replicas([replica])
        self.assertEqual(accepted['engine-1'], 1)


class TestSilentConnections(IsolatedAsyncioTestCase):
    """Connections that fall silent after one response, without a reset."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        await self.harness.wait_until_ready()
        self.accepts = 0
        self.answers_new = True
        self.keeps_answering = False
        self.response = _REPORT
        server = await asyncio.start_server(self._answer_once, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.replica = replace(build_replica('x'), address=f'{host}:{port}')
        state = self.harness.require_first_node().state
        state.load_tracker.update_peer(
            'other', {}, asyncio.get_running_loop().time()
        )
        self.prober = ReplicaProber(state, Alarms(state))
        self.addAsyncCleanup(self.close_idle)

    async def test_silent_connection_does_not_make_its_replica_dead(
        self,
    ) -> None:
        for accepts in (1, 2, 3):
            self.assertEqual(await self.probe(), set())
            # A probe is repeated if the answer takes long.
            self.assertGreaterEqual(self.accepts, accepts)

    async def test_replica_behind_a_silent_connection_is_found_dead(
        self,
    ) -> None:
        await self.harness.add_replica('control')
        self.announce_control()
        await self.probe()
        self.answers_new = False
        # A probe that lag interrupts while no other is answered proves nothing.
        dead: set[str] = set()
        until = asyncio.get_running_loop().time() + _FOUND_WITHIN_S
        while not dead and asyncio.get_running_loop().time() < until:
            dead = await self.probe()
        self.assertEqual(dead, {'x'})

    async def test_answer_on_a_kept_connection_shows_that_the_path_works(
        self,
    ) -> None:
        """Nodes took themselves for cut off while kept connections answered."""
        _delay_repeated_probes(self)
        state = self.harness.require_first_node().state
        self.response = _REPORT
        self.keeps_answering = True
        await self.probe()
        paths = state.pool.dialer.paths
        with patch.object(type(paths), 'note_success') as note_success:
            await self.probe()
        note_success.assert_called_once_with(self.replica.address)
        self.assertEqual(self.accepts, 1)

    async def test_response_to_another_request_is_no_answer_to_an_order(
        self,
    ) -> None:
        """An extra response was taken for the acceptance of an order."""
        state = self.harness.require_first_node().state
        self.response = _REPORT.replace(
            b'content-length',
            b'x-samphirerill-request-id: r1\r\ncontent-length',
        )
        self.assertEqual(await send_order(state, self.replica, _ORDER), 0)
        self.assertFalse(state.pool.has_idle('x'))

    def announce_control(self) -> None:
        """Let another replica answer, so that the node is not cut off."""
        control = build_replica('control', layers=(0, 80))
        address = self.harness.addresses['control']
        state = self.harness.require_first_node().state
        state.view.apply_announcement(replace(control, address=address), 1)

    async def close_idle(self) -> None:
        """Close the node's idle connections, which ends the server's tasks."""
        self.harness.require_first_node().state.pool.close_stale(set())
        await asyncio.sleep(_SETTLE_S)

    async def probe(self) -> set[str]:
        """Probe the replica; return the ids of those found dead."""
        since = asyncio.get_running_loop().time()
        return await self.prober.probe_replicas([self.replica], since)

    async def _answer_once(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.accepts += 1
        if self.answers_new:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.response)
        while self.keeps_answering and not reader.at_eof():
            with suppress(asyncio.IncompleteReadError):
                await reader.readuntil(b'\r\n\r\n')
                writer.write(self.response)
        with suppress(ConnectionResetError):
            await reader.read()
        writer.close()
