"""Let replicas name request limits during a run."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from samphirerill.testing.soak.ground_truth import Fault
from samphirerill.testing.soak.replicas import BAD_LIMITS

if TYPE_CHECKING:
    from samphirerill.testing.soak.environment import (
        ReplicaSlot,
        SoakEnvironment,
    )

_LIMITS = (b'0', b'0.5', b'1', b'2', b'5', *BAD_LIMITS)
_MAX_LIMIT_S = 6.0
# Mean time from one replica that names limits to the next.
_MEAN_INTERVAL_S = 2.0


class LimitNaming:
    """Replicas name a limit or nonsense, then another one, then none.

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
        self._random = Random(f'limits {seed}')
        self._loop = asyncio.get_running_loop()
        self._limited: set[str] = set()

    async def run(self, until: float) -> None:
        """Let replicas name limits until a loop time, and end them all."""
        async with asyncio.TaskGroup() as group:
            while self._loop.time() < until:
                await asyncio.sleep(
                    self._random.expovariate(1 / _MEAN_INTERVAL_S)
                )
                group.create_task(self._limit_one())

    async def _limit_one(self) -> None:
        free = [
            slot
            for slot in self._environment.slots
            if slot.address not in self._limited and slot.replica is not None
        ]
        if not free:
            return
        slot = self._random.choice(free)
        first, second = self._random.choices(_LIMITS, k=2)
        self._ground_truth.counts['planned.limited'] += 1
        self._ground_truth.log(
            self._loop.time(), f'{slot.address}: names {first!r}, {second!r}'
        )
        self._limited.add(slot.address)
        # Requests may be refused for lack of room.
        fault = Fault('replicas limit requests', self._loop.time())
        self._ground_truth.faults.append(fault)
        try:
            await self._name(slot, first, second)
        finally:
            self._limited.discard(slot.address)
            fault.until = self._loop.time()

    async def _name(self, slot: ReplicaSlot, *texts: bytes) -> None:
        replica = slot.replica
        if replica is None:
            return
        for text in texts:
            replica.name_limit(text)
            share = 1 + self._random.random()
            await asyncio.sleep(_MAX_LIMIT_S * share / 2)
        replica.name_limit(b'')
