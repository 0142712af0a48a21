"""Restore the store from copies during a run."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random
from typing import TYPE_CHECKING

from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from samphirerill.testing.platform_store import StoreCopy
    from samphirerill.testing.soak.environment import SoakEnvironment

_COPY_INTERVAL_S = 0.5
_MAX_COPIES = 8
# Mean time from one restore to the next; some follow at once.
_MEAN_INTERVAL_S = 4.0
_MAX_AWAY_S = 1.0
_REWRITE_DELAY_S = 0.3
# Writes that are lost; the store needs as many to reach a node's revision again.
_MAX_LOST_WRITES = 80
# Nodes have received them by then.
_SEEN_S = 0.6


class StoreRestores:
    """Takes the store away for a moment, and restores it from an older copy.

    Operator and replicas then write again what was lost. Its random numbers are
    its own, so that a seed causes the same faults with and without it.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    seed : int
        Seed of the run.
    """

    def __init__(self, environment: SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._random = Random(f'restores {seed}')
        self._loop = asyncio.get_running_loop()
        self._copies: deque[StoreCopy] = deque(maxlen=_MAX_COPIES)

    async def run(self, until: float) -> None:
        """Restore the store now and then, until a loop time."""
        copying = asyncio.create_task(self._take_copies())
        try:
            while self._loop.time() < until:
                await asyncio.sleep(
                    self._random.expovariate(1 / _MEAN_INTERVAL_S)
                )
                await self._restore()
        finally:
            copying.cancel()

    async def _take_copies(self) -> None:
        while True:
            self._copies.append(self._environment.service.take_copy())
            await asyncio.sleep(_COPY_INTERVAL_S)

    async def _restore(self) -> None:
        environment = self._environment
        copies = tuple(self._copies)
        if not copies:
            return
        environment.ground_truth.counts['fault.restored'] += 1
        fault = Fault('store restored', self._loop.time())
        environment.ground_truth.faults.append(fault)
        environment.ground_truth.log(self._loop.time(), 'store restored')
        await self._write_before()
        environment.service.is_unavailable = True
        await asyncio.sleep(_MAX_AWAY_S * self._random.random())
        await environment.service.restore(self._random.choice(copies))
        environment.service.is_unavailable = False
        self._copies.clear()
        await asyncio.sleep(_REWRITE_DELAY_S * self._random.random())
        await environment.rewrite_entries()
        fault.until = self._loop.time()

    async def _write_before(self) -> None:
        """Write what the restore loses, and let nodes receive it."""
        for number in range(self._random.randrange(_MAX_LOST_WRITES)):
            await self._environment.service.put(f'notes/{number}', b'x')
        await asyncio.sleep(_SEEN_S)
