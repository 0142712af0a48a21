"""Let crowds of clients send parts of requests during a run."""

from __future__ import annotations

import asyncio
from itertools import repeat
from random import Random
from typing import TYPE_CHECKING

from samphirerill.testing.client_crowd import ClientCrowd
from samphirerill.testing.soak.environment import HOST, KEYS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.testing.soak.environment import SoakEnvironment

# Mean time from one crowd to the next.
_MEAN_INTERVAL_S = 0.7
_MIN_STAY_S = 0.5
_MAX_STAY_S = 5.0
_MAX_CLIENTS = 30
_MAX_BLOCKS = 40
_BLOCK = b'x' * 65_536
_HEAD = (
    b'POST /look/x HTTP/1.1\r\nhost: %b\r\nauthorization: Bearer %b\r\n'
) % (HOST.encode(), KEYS['suva'].encode())
_SIZED = _HEAD + b'content-length: 4000000\r\n\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
# What comes first, and what then comes a number of times.
_KINDS = (
    (_SIZED, _BLOCK),
    (_CHUNKED, b'10000\r\n%b\r\n' % _BLOCK),
    (_CHUNKED, b'2\r\nxx\r\n' * 500),
    (_HEAD, b'x-field: 1\r\n' * 500),
    (_HEAD + b'x-field: ', _BLOCK),
    (b'', b'\r\n' * 5000),
    (_HEAD, b''),
)


class Crowds:
    """Clients of all nodes stop within requests or send without an end.

    Its random numbers are its own, so that a seed causes the same faults with and
    without it.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    seed : int
        Seed of the run.
    """

    def __init__(self, environment: SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._ground_truth = environment.ground_truth
        self._random = Random(f'crowds {seed}')
        self._loop = asyncio.get_running_loop()

    async def run(self, until: float) -> None:
        """Send crowds until a loop time."""
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < until:
                await asyncio.sleep(
                    self._random.expovariate(1 / _MEAN_INTERVAL_S)
                )
                group.create_task(self._send_one())

    async def _send_one(self) -> None:
        node = self._random.choice(self._environment.nodes)
        clients = list(self._choose_clients())
        self._ground_truth.counts['planned.crowds'] += 1
        self._ground_truth.log(
            self._loop.time(), f'{node.name}: crowd of {len(clients)}'
        )
        crowd = ClientCrowd(node.callers)
        sending = asyncio.create_task(crowd.send(clients))
        await asyncio.sleep(self._random.uniform(_MIN_STAY_S, _MAX_STAY_S))
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        crowd.close()

    def _choose_clients(self) -> Iterable[Iterable[bytes]]:
        """Return what each client sends."""
        first, block = self._random.choice(_KINDS)
        for _ in range(self._random.randint(1, _MAX_CLIENTS)):
            blocks = repeat(block, self._random.randint(0, _MAX_BLOCKS))
            yield [first, *blocks]
