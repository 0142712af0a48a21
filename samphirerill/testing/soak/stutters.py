"""Let replicas send copies of their responses during a run."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from samphirerill.testing.soak.environment import SoakEnvironment

_MIN_S = 1.0
_MAX_S = 4.0
# Mean time from one replica that begins to the next.
_MEAN_INTERVAL_S = 0.5


class Stutters:
    """Replicas repeat responses, whole or cut, and fail some requests.

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
        self._random = Random(f'stutters {seed}')
        self._loop = asyncio.get_running_loop()

    async def run(self, until: float) -> None:
        """Let replicas stutter until a loop time, and end it for all."""
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < until:
                await asyncio.sleep(
                    self._random.expovariate(1 / _MEAN_INTERVAL_S)
                )
                group.create_task(self._stutter_one())

    async def _stutter_one(self) -> None:
        slot = self._random.choice(self._environment.slots)
        replica = slot.replica
        if replica is None or replica.stutter is not None:
            return
        fault = Fault(
            'replica stutters',
            self._loop.time(),
            targets=frozenset((slot.address,)),
        )
        self._ground_truth.faults.append(fault)
        self._ground_truth.counts['fault.replica stutters'] += 1
        self._ground_truth.log(self._loop.time(), f'{slot.address}: stutters')
        replica.stutter = Random(self._random.random())
        await asyncio.sleep(self._random.uniform(_MIN_S, _MAX_S))
        replica.stutter = None
        fault.until = self._loop.time()
