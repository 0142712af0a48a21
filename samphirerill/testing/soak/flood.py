"""Let one account send more than the engines can run, now and then."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from samphirerill.relay.errors import EndpointError
from samphirerill.testing.soak.exchange import (
    Exchange,
    PipeliningConnection,
    build_request,
    read_body,
    read_head,
)
from samphirerill.testing.soak.flood_checks import (
    FLOOD_GROUPS,
    FloodChecks,
    FloodGroup,
)
from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from samphirerill.testing.soak.balancer import LoadBalancer
    from samphirerill.testing.soak.environment import SoakEnvironment

_ID_BITS = 64
_REQUEST_TIMEOUT_S = 9.0
# With shorter pauses, this process with all replicas was held up for 0.5 s.
_MAX_PAUSE_S = 0.6
_MIN_FLOOD_S = 4.0
_MAX_FLOOD_S = 6.0
# Mean time from the end of one flood to the next.
_MEAN_INTERVAL_S = 2.0


class Floods:
    """Floods by one account, beside small ones and two other ranks.

    Its random numbers are its own, so that a seed causes the same faults with and
    without it.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    balancer : LoadBalancer
        Selects the nodes to connect to.
    seed : int
        Seed of the run.
    """

    def __init__(
        self, environment: SoakEnvironment, balancer: LoadBalancer, seed: int
    ) -> None:
        self._ground_truth = environment.ground_truth
        self._balancer = balancer
        self._random = Random(f'load {seed}')
        self._loop = asyncio.get_running_loop()

    async def run_first(self) -> None:
        """Cause a flood before any fault, so that its shares are checked."""
        await self._flood()

    async def run(self, until: float) -> None:
        """Cause floods until a loop time."""
        while self._loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL_S))
            await self._flood()

    async def _flood(self) -> None:
        now = self._loop.time()
        length_s = self._random.uniform(_MIN_FLOOD_S, _MAX_FLOOD_S)
        self._ground_truth.counts['planned.flooded'] += 1
        self._ground_truth.log(now, f'flood for {length_s:.1f} s')
        # Any request may be rejected for want of capacity.
        fault = Fault('flood', now)
        self._ground_truth.faults.append(fault)
        checks = FloodChecks(self._ground_truth, fault)
        try:
            async with asyncio.TaskGroup() as tasks:
                for group, account in _list_clients():
                    tasks.create_task(
                        self._send(group, account, checks, now + length_s)
                    )
        finally:
            fault.until = self._loop.time()
        checks.check_shares()

    async def _send(
        self,
        group: FloodGroup,
        account: str,
        checks: FloodChecks,
        until: float,
    ) -> None:
        """Send one request after another until a loop time."""
        random = Random(self._random.random())
        while self._loop.time() < until:
            request_id = f'{random.getrandbits(_ID_BITS):016x}'
            exchange = Exchange(group.kind, request_id, account)
            self._ground_truth.accounts[request_id] = account
            await self._exchange(exchange, random)
            checks.check_response(group, exchange)
            await asyncio.sleep(_MAX_PAUSE_S * random.random())

    async def _exchange(self, exchange: Exchange, random: Random) -> None:
        node = random.choice(self._balancer.list_ready())
        exchange.start(node, self._loop.time(), is_reused=False)
        deadline = exchange.sent_at + _REQUEST_TIMEOUT_S
        conn = PipeliningConnection(node.callers)
        try:
            await conn.open()
            conn.send(
                build_request(
                    f'/{exchange.kind}/x', exchange.request_id, exchange.account
                )
            )
            await read_head(conn, exchange.response, deadline)
            await read_body(conn, exchange.response, deadline)
        except EndpointError as exc:
            exchange.error = str(exc)
        finally:
            conn.close()


def _list_clients() -> list[tuple[FloodGroup, str]]:
    """Return the group and the account of each client."""
    return [
        (group, group.accounts[number % len(group.accounts)])
        for group in FLOOD_GROUPS
        for number in range(group.clients)
    ]
