"""Open-loop load generator: arrivals do not wait for earlier answers.

A closed loop would send fewer requests during a stall and so underestimate
latency (coordinated omission).
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.bench.http_client import (
    ClientRequest,
    RequestResult,
    send_request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

_REQUEST_TIMEOUT_S = 20.0
_HEALTH_CHECK_INTERVAL_S = 0.25
_HEALTH_CHECK_TIMEOUT_S = 0.5
_OK_STATUS_LINE = b'HTTP/1.1 200'


@dataclass(slots=True)
class LoadAccount:
    """A client account that sends the fraction `share` of all requests."""

    api_key: str
    route: str
    share: float


@dataclass(slots=True)
class LoadPlan:
    """Rate, duration and composition of a load.

    `rate` is in requests per second, `tokens` the length of each answer.
    """

    rate: float
    seconds: float
    tokens: int
    accounts: list[LoadAccount]
    seed: int = 0
    name: str = 'load'


@dataclass(slots=True)
class LoadRun:
    """Start time and all results of a load."""

    started_at: float
    results: list[RequestResult] = field(default_factory=list)

    def list_answered(self) -> list[RequestResult]:
        """Return the results that state that they are complete."""
        return [result for result in self.results if result.is_answered]

    def count_tokens(self, first_s: float, last_s: float) -> int:
        """Count the tokens that arrived between two times since the start."""
        first = self.started_at + first_s
        last = self.started_at + last_s
        return sum(
            1
            for result in self.results
            for at in result.token_times
            if first <= at < last
        )


class LoadBalancer:
    """Load balancer in front of the nodes: round robin with health checks.

    A node that refuses the connection is skipped, as nothing was sent to it.
    """

    def __init__(self, list_addresses: Callable[[], list[str]]) -> None:
        self._list_addresses = list_addresses
        self._healthy: list[str] = list_addresses()
        self._next_index = 0

    async def check_health(self) -> None:
        """Check the health of the nodes periodically, until cancelled."""
        while True:
            addresses = self._list_addresses()
            statuses = await asyncio.gather(*map(_is_healthy, addresses))
            self._healthy = [
                address
                for address, healthy in zip(addresses, statuses, strict=True)
                if healthy
            ]
            await asyncio.sleep(_HEALTH_CHECK_INTERVAL_S)

    async def send(self, request: ClientRequest) -> RequestResult:
        """Send a request to the next node that accepts the connection."""
        result = RequestResult(request)
        for address in self._list_candidates():
            result.address = address
            if await send_request(address, request, result, _REQUEST_TIMEOUT_S):
                return result
        result.is_broken = True
        result.code = 'no node'
        result.ended_at = time.monotonic()
        return result

    def _list_candidates(self) -> list[str]:
        nodes = self._healthy or self._list_addresses()
        self._next_index += 1
        start = self._next_index % len(nodes)
        return nodes[start:] + nodes[:start]


def build_requests(plan: LoadPlan, started_at: float) -> list[ClientRequest]:
    """Return the requests of a load: random times, a unique prompt each."""
    rng = random.Random(plan.seed)  # noqa: S311
    requests: list[ClientRequest] = []
    at = 0.0
    while at < plan.seconds:
        at += rng.expovariate(plan.rate)
        account = rng.choices(
            plan.accounts, [item.share for item in plan.accounts]
        )[0]
        prompt = f'{plan.name} {plan.seed} {len(requests)}'
        requests.append(
            ClientRequest(
                started_at + at,
                prompt,
                plan.tokens,
                account.api_key,
                account.route,
            )
        )
    return requests


async def run_load(
    list_addresses: Callable[[], list[str]],
    plan: LoadPlan,
    inject_fault: Callable[[], None] | None = None,
    fault_at_s: float = 0,
) -> LoadRun:
    """Send the requests of a load and wait until all have ended.

    Parameters
    ----------
    list_addresses : callable
        Returns the current addresses of the nodes.
    plan : LoadPlan
        Rate, duration and composition of the load.
    inject_fault : callable, optional
        Called in a thread `fault_at_s` after the start.
    """
    loop = asyncio.get_running_loop()
    balancer = LoadBalancer(list_addresses)
    health_checks = asyncio.ensure_future(balancer.check_health())
    run = LoadRun(time.monotonic())
    tasks = [
        asyncio.ensure_future(_send_when_due(balancer, request))
        for request in build_requests(plan, run.started_at)
    ]
    if inject_fault is not None:
        await asyncio.sleep(fault_at_s)
        await loop.run_in_executor(None, inject_fault)
    run.results = list(await asyncio.gather(*tasks))
    health_checks.cancel()
    return run


async def _send_when_due(
    balancer: LoadBalancer, request: ClientRequest
) -> RequestResult:
    await asyncio.sleep(max(0, request.due_at - time.monotonic()))
    return await balancer.send(request)


async def _is_healthy(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        return await asyncio.wait_for(
            _check_health(host, int(port)), _HEALTH_CHECK_TIMEOUT_S
        )
    except (OSError, TimeoutError):
        return False


async def _check_health(host: str, port: int) -> bool:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b'GET /health HTTP/1.1\r\nHost: bench\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return line.startswith(_OK_STATUS_LINE)
