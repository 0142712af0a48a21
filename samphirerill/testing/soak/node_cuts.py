"""Cut nodes off from all replicas during a run."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from samphirerill.testing.cut_links import CutKind
from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode

# Mean time from the end of one cut to the next.
_MEAN_INTERVAL_S = 1.0
_MIN_CUT_S = 1.0
_MAX_CUT_S = 7.0
# Requests may fail this long after a cut began; then other nodes must help.
_CONTACT_S = 3.0


class NodeCuts:
    """Cuts some nodes off from all replicas, now and then.

    Only the beginning of a cut counts as a fault: after that, requests at these
    nodes have to succeed like all others. Its random numbers are its own, so that
    a seed causes the same faults with and without it.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    seed : int
        Seed of the run.
    """

    def __init__(self, environment: SoakEnvironment, seed: int) -> None:
        self._environment = environment
        self._random = Random(f'cuts {seed}')
        self._loop = asyncio.get_running_loop()

    async def run(self, until: float) -> None:
        """Cut nodes off until a loop time."""
        while self._loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL_S))
            nodes = self._environment.nodes
            count = self._random.randrange(1, len(nodes))
            await self._cut(self._random.sample(nodes, count))

    async def _cut(self, nodes: list[SoakNode]) -> None:
        kind = self._random.choice(list(CutKind))
        length_s = self._random.uniform(_MIN_CUT_S, _MAX_CUT_S)
        names = ' '.join(node.name for node in nodes)
        ground_truth = self._environment.ground_truth
        ground_truth.counts['fault.cut off'] += 1
        now = self._loop.time()
        ground_truth.log(now, f'{names}: cut off from replicas, {kind.value}')
        targets = frozenset(node.name for node in nodes)
        ground_truth.faults.append(
            Fault('cut off from replicas', now, now + _CONTACT_S, targets)
        )
        for node in nodes:
            node.cut_off(kind)
        await asyncio.sleep(length_s)
        for node in nodes:
            node.heal()
        ground_truth.log(self._loop.time(), f'{names}: reach replicas again')
