"""Test case: several nodes in front of replicas that name request limits."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.connection import (
    HttpConnection,
    ResponseHead,
    serialize_request,
)
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.pool import read_response
from samphirerill.testing.limiting_replica import LimitingReplica
from samphirerill.testing.platform_harness import PlatformHarness
from samphirerill.testing.processor_time import ProcessorTimeCase
from samphirerill.testing.free_ports import find_ports
from samphirerill.tests.platform_documents import (
    build_announcement,
    build_configuration,
)
from samphirerill.tests.two_engines import build_headers

if TYPE_CHECKING:
    from samphirerill.relay.process import EdgeProcess

OK = 200
UNAVAILABLE = 503
ENGINES = ('engine-1', 'engine-2')
DESKS = ('desk-1', 'desk-2')
STREAM = b'/notes/x'
PLAIN = b'/pickup/x'
LAYERS = (0, 80)
# Nodes have exchanged their status by then.
START_S = 2.2
NODE_COUNT = 3
# Requests of a series are so far apart.
INTERVAL_S = 0.04
# What all nodes together may send in a window.
WINDOW_S = 4.0
TOLERANCE = 1.5
SURPLUS = 5
_RESPONSE_TIMEOUT_S = 15.0
_NO_RESPONSE = 0


class LimitedFleetCase(ProcessorTimeCase):
    """Three nodes in front of two engines and two plain replicas.

    `durations_s` is how long the requests of the last series took, by number.
    """

    node_count = NODE_COUNT

    async def asyncSetUp(self) -> None:
        self.durations_s: dict[int, float] = {}
        self.harness = PlatformHarness(find_ports())
        self.addAsyncCleanup(self.harness.stop)
        await self.harness.start()
        await self.harness.store.put('op/config', build_configuration())
        self.replicas = {
            name: await self.add_replica(name) for name in (*ENGINES, *DESKS)
        }
        self.nodes = [self.harness.require_first_node()]
        while len(self.nodes) < self.node_count:
            self.nodes.append(self.harness.start_node())
        for node in self.nodes:
            await self.harness.wait_for_replica_count(len(self.replicas), node)
        await asyncio.sleep(START_S)

    async def add_replica(self, name: str) -> LimitingReplica:
        """Start and announce a replica."""
        replica = LimitingReplica(name)
        await self.harness.start_replica(replica)
        is_engine = name in ENGINES
        replica.layers = LAYERS if is_engine else (0, 0)
        entry = build_announcement(
            'llm' if is_engine else 'desk',
            self.harness.addresses[name],
            'vast' if is_engine else '',
            LAYERS if is_engine else None,
        )
        await self.harness.store.put(f'servers/{name}', entry)
        return replica

    async def send_series(
        self, target: bytes, duration_s: float
    ) -> list[tuple[int, bytes]]:
        """Send requests to the nodes in turn; return their answers."""
        tasks = []
        for number in range(round(duration_s / INTERVAL_S)):
            node = self.nodes[number % len(self.nodes)]
            tasks.append(
                asyncio.create_task(self.request(node, target, number))
            )
            await asyncio.sleep(INTERVAL_S)
        return await asyncio.gather(*tasks)

    async def request(
        self, node: EdgeProcess, target: bytes, number: int
    ) -> tuple[int, bytes]:
        """Send one request; the status is 0 if no complete response comes."""
        started_at = asyncio.get_running_loop().time()
        answer = await self._request(node, target, number)
        ended_at = asyncio.get_running_loop().time()
        self.durations_s[number] = ended_at - started_at
        return answer

    async def request_head(
        self, node: EdgeProcess, target: bytes
    ) -> ResponseHead:
        """Send one request; return the head of its response."""
        conn = await self.harness.connect(node)
        try:
            headers = build_headers('head')
            conn.send(serialize_request(b'POST', target, headers, b''))
            deadline = asyncio.get_running_loop().time() + _RESPONSE_TIMEOUT_S
            head = await conn.read(deadline)
        finally:
            conn.close()
        assert isinstance(head, ResponseHead)
        return head

    def list_arrivals(self, name: str, since: float = 0) -> list[float]:
        """Return when a replica received its requests."""
        received = self.replicas[name].received_requests
        return [req.arrived_at for req in received if req.arrived_at >= since]

    def count_most(self, name: str, since: float) -> int:
        """Return the most requests that a replica received in a window."""
        times = self.list_arrivals(name, since)
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times)
                for start in times
            ),
            default=0,
        )

    def assert_limit_kept(
        self, name: str, rate_per_s: float, since: float
    ) -> None:
        """Check the requests that a replica received from all nodes."""
        allowed = TOLERANCE * WINDOW_S * rate_per_s + SURPLUS
        self.assertLessEqual(self.count_most(name, since), allowed)

    async def _request(
        self, node: EdgeProcess, target: bytes, number: int
    ) -> tuple[int, bytes]:
        host = node.state.settings.host
        conn = HttpConnection(f'{host}:{node.get_port()}')
        headers = build_headers(f'r{number}')
        try:
            await conn.open()
            conn.send(serialize_request(b'POST', target, headers, b''))
            deadline = asyncio.get_running_loop().time() + _RESPONSE_TIMEOUT_S
            return await read_response(conn, deadline)
        except EndpointError as exc:
            return _NO_RESPONSE, str(exc).encode()
        finally:
            conn.close()
