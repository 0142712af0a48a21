"""Finding the dead replica on a stalled path."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import IsolatedAsyncioTestCase
from unittest.mock import patch

from samphirerill.fleet.model import LayerRange, Stage
from samphirerill.relay.health.alarms import Alarms
from samphirerill.relay.health.probe_timeouts import MAX_TIMEOUT_S
from samphirerill.relay.health.prober import ReplicaProber
from samphirerill.relay.stream_times import MIN_SILENCE_S
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.tests.fleet_builders import build_replica
from samphirerill.tests.platform_documents import build_configuration

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica

# A stream must stall, be probed and switch replicas within this pause.
_PAUSE_S = 0.2
_SWITCH_S = 0.02
# Timeouts for slow test machines; the result is tested, not the speed.
_LONG_TIMEOUT_S = 1.0
_LIMIT_S = 20.0


async def _accept_silently(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Accept a connection and never respond."""
    await reader.read()
    writer.close()


class TestReplicaProber(IsolatedAsyncioTestCase):
    """A path of two replicas of which the second one fails."""

    async def asyncSetUp(self) -> None:
        self.harness = PlatformHarness()
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        # The first listing of the store removes what the tests add by hand.
        await self.harness.store.put('op/config', build_configuration())
        await self.harness.wait_until_ready()
        for bound in ('MIN_TIMEOUT_S', '_INITIAL_TIMEOUT_S', 'MAX_TIMEOUT_S'):
            patched = patch(
                f'samphirerill.relay.health.probe_timeouts.{bound}',
                _LONG_TIMEOUT_S,
            )
            patched.start()
            self.addCleanup(patched.stop)
        process = self.harness.require_first_node()
        self.prober = ReplicaProber(process.state, Alarms(process.state))
        await self.harness.add_replica('head')

    async def test_detection_and_probe_fit_into_the_accepted_pause(
        self,
    ) -> None:
        spent_s = MIN_SILENCE_S + MAX_TIMEOUT_S + _SWITCH_S
        self.assertLessEqual(spent_s, _PAUSE_S)

    async def test_a_terminated_replica_is_dead(self) -> None:
        """Guard against probing only the first replica of a path.

        Its report of stalled requests arrives late, while a closed port refuses
        connections at once.
        """
        address = await self._find_closed_port()
        dead = await self._diagnose(self._build_path(address))
        self.assertEqual(dead, {'tail'})

    async def test_an_unresponsive_replica_is_dead(self) -> None:
        address = await self._listen_silently()
        dead = await self._diagnose(self._build_path(address))
        self.assertEqual(dead, {'tail'})

    async def test_lost_packets_do_not_make_a_replica_dead(self) -> None:
        """Guard against taking two lost packets for a dead replica."""
        self.ignored_probes = 3
        server = await asyncio.start_server(
            self._answer_after_losses, '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        dead = await self._diagnose(self._build_path(_get_address(server)))
        self.assertEqual(dead, set())

    async def test_no_replica_is_dead_if_none_answers(self) -> None:
        """Guard against a node that is cut off reporting the fleet as dead."""
        address = await self._listen_silently()
        stages = (
            Stage(_build_replica_at('head', address), LayerRange(0, 40)),
            Stage(_build_replica_at('tail', address), LayerRange(40, 80)),
        )
        self.assertEqual(await self._diagnose(stages), set())

    async def test_a_dead_replica_is_not_probed_again(self) -> None:
        """Guard against each stalled stream probing known failures again."""
        address = await self._listen_silently()
        stages = self._build_path(address)
        state = self.harness.require_first_node().state
        state.view.apply_announcement(stages[1].replica, 1)
        now = asyncio.get_running_loop().time()
        state.view.add_silence_report('tail', now + 9, now, votes=2)
        self.assertEqual(await self._diagnose(stages), {'tail'})
        self.assertEqual(state.counters['reports.asked'], 0)

    async def test_a_replica_reported_as_faulty_is_probed_once(self) -> None:
        """Guard against sending further streams over an unreachable replica.

        An engine refuses requests when it cannot reach the next stage, and
        names it.
        """
        address = await self._listen_silently()
        stages = self._build_path(address)
        state = self.harness.require_first_node().state
        state.view.apply_announcement(stages[0].replica, 1)
        state.view.apply_announcement(stages[1].replica, 1)
        async with asyncio.timeout(_LIMIT_S):
            await self._diagnose(stages[:1])
            for _ in range(5):
                self.prober.probe_in_background(stages[1].replica)
            while not state.view.replicas['tail'].suspicion.suspected_until:
                await asyncio.sleep(0.01)
        self.prober.probe_in_background(stages[1].replica)
        await asyncio.sleep(0)
        self.assertEqual(state.counters['reports.asked'], 2)

    async def test_streams_share_one_probe(self) -> None:
        await self.harness.add_replica('tail')
        stages = self._build_path(self.harness.addresses['tail'])
        await asyncio.gather(
            *(self.prober.diagnose_path(stages) for _ in range(5))
        )
        await self.prober.diagnose_path(stages)
        process = self.harness.require_first_node()
        self.assertEqual(process.state.counters['reports.asked'], 2)

    async def _answer_after_losses(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Ignore the first probes, then respond."""
        self.ignored_probes -= 1
        if self.ignored_probes < 0:
            await reader.readuntil(b'\r\n\r\n')
            body = b'{"busy": false, "sequence": 0}'
            head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'
            writer.write(head % len(body) + body)
            await writer.drain()
        await reader.read()
        writer.close()

    async def _diagnose(self, stages: tuple[Stage, ...]) -> set[str]:
        async with asyncio.timeout(_LIMIT_S):
            diagnosis = await self.prober.diagnose_path(stages)
        return diagnosis.dead

    def _build_path(self, address: str) -> tuple[Stage, ...]:
        return (
            Stage(
                _build_replica_at('head', self.harness.addresses['head']),
                LayerRange(0, 40),
            ),
            Stage(_build_replica_at('tail', address), LayerRange(40, 80)),
        )

    async def _listen_silently(self) -> str:
        server = await asyncio.start_server(_accept_silently, '127.0.0.1', 0)
        self.addCleanup(server.close)
        return _get_address(server)

    async def _find_closed_port(self) -> str:
        server = await asyncio.start_server(_accept_silently, '127.0.0.1', 0)
        address = _get_address(server)
        server.close()
        await server.wait_closed()
        return address


def _get_address(server: asyncio.Server) -> str:
    host, port = server.sockets[0].getsockname()
    return f'{host}:{port}'


def _build_replica_at(name: str, address: str) -> Replica:
    return replace(build_replica(name), address=address)
