"""Open-loop load: arrivals do not wait for answers.

Were a request only sent once an earlier one was answered, a stall would delay
the requests that should have met it, and so hide itself.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from samphirerill.bench.calls import Ask, Got, send_ask

if TYPE_CHECKING:
    from collections.abc import Callable

_LIMIT_S = 20.0
_HEALTH_EVERY_S = 0.25
_HEALTH_LIMIT_S = 0.5
_OK_LINE = b'HTTP/1.1 200'


@dataclass(slots=True)
class Caller:
    """One account's part of a load: `share` of all arrivals."""

    key: str
    route: str
    share: float


@dataclass(slots=True)
class Plan:
    """How much to ask for, by whom and for how long."""

    rate: float
    seconds: float
    tokens: int
    callers: list[Caller]
    seed: int = 0
    name: str = 'load'


@dataclass(slots=True)
class Results:
    """Everything a load got back."""

    started_at: float
    got: list[Got] = field(default_factory=list)

    def list_answered(self) -> list[Got]:
        """Return the answers that were whole by their own word."""
        return [got for got in self.got if got.is_answered]

    def count_tokens(self, first_s: float, last_s: float) -> int:
        """Count tokens that came between two times since the start."""
        first = self.started_at + first_s
        last = self.started_at + last_s
        return sum(
            1
            for got in self.got
            for at in got.token_times
            if first <= at < last
        )


class Balancer:
    """The platform's balancer as the callers see it.

    Sends each request to the next node whose health check passes; a node
    that can't be connected to is skipped, as nothing was sent.
    """

    def __init__(self, addresses: Callable[[], list[str]]) -> None:
        self._addresses = addresses
        self._healthy: list[str] = addresses()
        self._turn = 0

    async def watch(self) -> None:
        """Check the nodes' health for ever."""
        while True:
            addresses = self._addresses()
            found = await asyncio.gather(*map(_is_healthy, addresses))
            self._healthy = [
                address
                for address, healthy in zip(addresses, found, strict=True)
                if healthy
            ]
            await asyncio.sleep(_HEALTH_EVERY_S)

    async def send(self, ask: Ask) -> Got:
        """Send one request through the next node that takes it."""
        got = Got(ask)
        for address in self._rotate():
            got.address = address
            if await send_ask(address, ask, got, _LIMIT_S):
                return got
        got.broken = True
        got.code = 'no node'
        got.ended_at = time.monotonic()
        return got

    def _rotate(self) -> list[str]:
        nodes = self._healthy or self._addresses()
        self._turn += 1
        start = self._turn % len(nodes)
        return nodes[start:] + nodes[:start]


def build_asks(plan: Plan, started_at: float) -> list[Ask]:
    """Return a plan's arrivals: seeded, at random times, each its own prompt."""
    chance = random.Random(plan.seed)  # noqa: S311
    asks: list[Ask] = []
    at = 0.0
    while at < plan.seconds:
        at += chance.expovariate(plan.rate)
        caller = chance.choices(
            plan.callers, [item.share for item in plan.callers]
        )[0]
        prompt = f'{plan.name} {plan.seed} {len(asks)}'
        asks.append(
            Ask(started_at + at, prompt, plan.tokens, caller.key, caller.route)
        )
    return asks


async def run_load(
    addresses: Callable[[], list[str]],
    plan: Plan,
    upset: Callable[[], None] | None = None,
    upset_at_s: float = 0,
) -> Results:
    """Send a load and wait until every request has ended.

    Parameters
    ----------
    addresses : callable
        Returns the nodes' present addresses.
    plan : Plan
        The load.
    upset : callable, optional
        Run in a thread `upset_at_s` after the start, to cause a fault.
    """
    loop = asyncio.get_running_loop()
    balancer = Balancer(addresses)
    watching = asyncio.ensure_future(balancer.watch())
    results = Results(time.monotonic())
    sending = [
        asyncio.ensure_future(_send_when_due(balancer, ask))
        for ask in build_asks(plan, results.started_at)
    ]
    if upset is not None:
        await asyncio.sleep(upset_at_s)
        await loop.run_in_executor(None, upset)
    results.got = list(await asyncio.gather(*sending))
    watching.cancel()
    return results


async def _send_when_due(balancer: Balancer, ask: Ask) -> Got:
    await asyncio.sleep(max(0, ask.due_at - time.monotonic()))
    return await balancer.send(ask)


async def _is_healthy(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        return await asyncio.wait_for(
            _check_health(host, int(port)), _HEALTH_LIMIT_S
        )
    except (OSError, TimeoutError):
        return False


async def _check_health(host: str, port: int) -> bool:
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(b'GET /health HTTP/1.1\r\nHost: bench\r\n\r\n')
    line = await reader.readline()
    writer.close()
    return line.startswith(_OK_LINE)
