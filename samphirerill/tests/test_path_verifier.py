"""Tests of checks whether paths work, and of what they set right."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import replace
from unittest import IsolatedAsyncioTestCase

from samphirerill.fleet.direct_paths import ConnectFailure
from samphirerill.relay.connection import HttpConnection
from samphirerill.relay.endpoint_dialer import EndpointDialer
from samphirerill.relay.errors import (
    ConnectTimeoutError,
    PeerUnavailableError,
)
from samphirerill.relay.health import Alarms, ReplicaProber
from samphirerill.relay.path_checks import PathChecks
from samphirerill.relay.sockets import reset_connection
from samphirerill.relay.tunnels import TunnelPeers, TunnelServer
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.peers import Network, Node

Respond = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

_ENDPOINTS = [f'127.0.0.1:{port}' for port in range(1, 101)]
_CONTROLS = 3
_MAX_VERIFICATIONS = 4
_MAX_PROBES_PER_S = 20
# The probes of one loss are sent at once.
_BURST = 16
# Longer than a tunnel takes to open, as at nodes that are busy.
_PEER_DELAY_S = 0.4
# Ends a test that hangs; generous, for loaded machines.
_LIMIT_S = 10.0
_REPORT = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'


class _NoPeers:
    """Other nodes that do not help."""

    def has_peers(self) -> bool:
        """Return that there are some."""
        return True

    def are_all_partitioned(self) -> bool:
        """Return that some may help."""
        return False

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Fail."""
        raise PeerUnavailableError(f'{address}: asked at {deadline}')


class _SlowPeers(_NoPeers):
    """Other nodes that reach an endpoint, but take their time."""

    def __init__(self, address: str) -> None:
        self._address = address

    async def open(self, address: str, deadline: float) -> HttpConnection:
        """Return a connection to the endpoint."""
        await asyncio.sleep(_PEER_DELAY_S)
        conn = HttpConnection(self._address)
        await conn.open(deadline)
        return conn


class _SilentDialer(EndpointDialer):
    """A dialer to endpoints that do not answer; counts the connects."""

    def __init__(self) -> None:
        super().__init__(Counter())
        self.connects = 0
        self.bind(_NoPeers())

    async def try_directly(
        self, address: str, deadline: float
    ) -> HttpConnection:
        """Fail after a moment."""
        self.connects += 1
        await asyncio.sleep(0.02)
        raise ConnectTimeoutError(address)


class TestOverload(IsolatedAsyncioTestCase):
    """Guards against probes that multiply while endpoints are overloaded."""

    async def asyncSetUp(self) -> None:
        self.dialer = _SilentDialer()
        self.verifier = self.dialer.verifier
        self.verifier.bind(lambda _: _ENDPOINTS[:_CONTROLS], b'probe')

    async def test_concurrent_checks_share_their_controls(self) -> None:
        now = asyncio.get_running_loop().time()
        checks = [
            self.verifier.reaches_another(address, now)
            for address in _ENDPOINTS
        ]
        self.assertNotIn(True, await asyncio.gather(*checks))
        self.assertEqual(self.dialer.connects, _CONTROLS)

    async def test_few_paths_are_verified_at_a_time(self) -> None:
        for address in _ENDPOINTS:
            self.verifier.verify_path(address)
        await asyncio.sleep(0.1)
        self.assertEqual(self.dialer.connects, _MAX_VERIFICATIONS)

    async def test_probes_through_other_nodes_are_limited(self) -> None:
        allowed = 0
        loop = asyncio.get_running_loop()
        until = loop.time() + 0.5
        while loop.time() < until:
            allowed += self.verifier.may_probe_through_peer()
            await asyncio.sleep(0.001)
        self.assertGreater(allowed, _BURST)
        self.assertLessEqual(allowed, _BURST + _MAX_PROBES_PER_S // 2 + 1)


class TestBrokenPaths(IsolatedAsyncioTestCase):
    """Connections that are accepted and broken off, as by a broken path."""

    async def asyncSetUp(self) -> None:
        self.node = Node(Network(), 'a-1', 'a')
        self.dialer = self.node.state.pool.dialer
        PathChecks(
            self.node.state,
            TunnelPeers(self.node.state, self.node.peers),
            TunnelServer(self.node.state),
        )
        self.address = await self._listen(_break_off)
        self.replica = replace(
            build_replica('engine', layers=(0, 80)), address=self.address
        )
        self.node.state.view.apply_announcement(self.replica, 1)

    async def test_path_is_verified_though_other_nodes_are_slow(self) -> None:
        """Guards against streams sent over a path that breaks each of them."""
        self.dialer.bind(_SlowPeers(await self._listen(_answer)))
        prober = ReplicaProber(self.node.state, Alarms(self.node.state))
        async with asyncio.timeout(_LIMIT_S):
            while not self.dialer.paths.needs_tunnel(self.address):
                dead = await prober.probe_replicas([self.replica])
                self.assertEqual(dead, set())
                await asyncio.sleep(_PEER_DELAY_S / 2)

    async def test_refusals_do_not_outlast_their_cause(self) -> None:
        """Guards against replicas that are avoided for a path that is bypassed."""
        view = self.node.state.view
        now = asyncio.get_running_loop().time()
        view.note_refusal('engine', now)
        self.assertEqual(view.list_usable('llm', now), [])
        self.dialer.paths.note_lost(self.address)
        self.assertEqual(len(view.list_usable('llm', now)), 1)
        view.note_refusal('engine', now)
        self.dialer.paths.note_lost(self.address)
        self.assertEqual(view.list_usable('llm', now), [])

    async def _listen(self, respond: Respond) -> str:
        server = await asyncio.start_server(respond, '127.0.0.1', 0)
        self.addCleanup(server.close)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'


class TestPeriodicChecks(IsolatedAsyncioTestCase):
    """Checks that go on, whatever is known."""

    async def test_node_without_endpoints(self) -> None:
        """Guards against checks that end when the last endpoint leaves."""
        node = Node(Network(), 'a-1', 'a')
        checks = PathChecks(
            node.state,
            TunnelPeers(node.state, node.peers),
            TunnelServer(node.state),
        )
        paths = node.state.pool.dialer.paths
        for address in _ENDPOINTS[:_CONTROLS]:
            paths.note_failure(address, ConnectFailure.REFUSED)
        paths.note_peers(are_available=False)
        self.assertTrue(paths.is_isolated)
        running = asyncio.create_task(checks.run())
        await asyncio.sleep(0.7)
        self.assertFalse(running.done())
        running.cancel()


async def _break_off(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Reset the connection at its first request."""
    await reader.read(1)
    reset_connection(writer.transport)


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    await reader.read(1)
    writer.write(_REPORT)
