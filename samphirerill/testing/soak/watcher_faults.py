"""Cut the nodes that watch the store off from it, or freeze them, amid changes."""

from __future__ import annotations

import asyncio
import signal
from random import Random
from typing import TYPE_CHECKING

from samphirerill.fleet.watchers import list_watchers
from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode
    from samphirerill.testing.soak.version_probe import VersionProbe

# Mean time from the end of one fault to the next.
_MEAN_INTERVAL_S = 1.0
_MIN_FAULT_S = 2.5
_MAX_FAULT_S = 5.5
_MAX_CHANGES = 8
_MAX_CHANGE_GAP_S = 0.6
_MAX_WATCH_AGE_S = 0.1
# Until a node is in touch again.
_CONTACT_S = 3.0


class WatcherFaults:
    """Takes all nodes that watch the store from the others, now and then.

    The other nodes still have to follow the configuration. The random numbers are
    its own, so that a seed causes the same other actions with and without it.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    probe : VersionProbe
        Checks the nodes that are in touch.
    seed : int
        Seed of the run.
    """

    def __init__(
        self, environment: SoakEnvironment, probe: VersionProbe, seed: int
    ) -> None:
        self._environment = environment
        self._probe = probe
        self._random = Random(f'watchers {seed}')
        self._loop = asyncio.get_running_loop()
        self._checks: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Cause such faults until a loop time."""
        while self._loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / _MEAN_INTERVAL_S))
            await self._cause_fault(freezes=self._random.choice((True, False)))

    async def _cause_fault(self, *, freezes: bool) -> None:
        # The longer a watch has lasted, the sooner its loss is noticed.
        await self._environment.configure()
        await asyncio.sleep(self._random.uniform(0, _MAX_WATCH_AGE_S))
        nodes = self._list_watchers()
        name = 'watchers frozen' if freezes else 'watchers cut from the store'
        now = self._loop.time()
        targets = frozenset(node.name for node in nodes)
        fault = Fault(name, now, targets=targets)
        ground_truth = self._environment.ground_truth
        ground_truth.faults.append(fault)
        ground_truth.counts[f'fault.{name}'] += 1
        ground_truth.log(now, f'{name}: {sorted(targets)} begins')
        length_s = self._random.uniform(_MIN_FAULT_S, _MAX_FAULT_S)
        if freezes:
            await self._freeze(nodes, now + length_s)
        else:
            await self._cut(nodes, now + length_s)
        fault.until = self._loop.time() + _CONTACT_S
        ground_truth.log(self._loop.time(), f'{name}: {sorted(targets)} ends')

    def _list_watchers(self) -> list[SoakNode]:
        """Return the watchers that are not shutting down."""
        nodes = {node.name: node for node in self._environment.nodes}
        now = self._loop.time()
        return [
            nodes[name]
            for name in list_watchers(nodes)
            if not nodes[name].was_terminating(now, now)
        ]

    async def _freeze(self, nodes: list[SoakNode], until: float) -> None:
        for node in nodes:
            node.is_frozen = True
            node.send_signal(signal.SIGSTOP)
        await self._change_until(until)
        for node in nodes:
            node.send_signal(signal.SIGCONT)
            node.is_frozen = False

    async def _cut(self, nodes: list[SoakNode], until: float) -> None:
        proxies = self._environment.store_proxies
        for node in nodes:
            proxies[node.name].is_stalled = True
        await self._change_until(until)
        for node in nodes:
            proxies[node.name].clear_faults()

    async def _change_until(self, until: float) -> None:
        """Change the configuration some times in a row; wait until a time."""
        for _ in range(self._random.randrange(1, _MAX_CHANGES)):
            await self._environment.configure()
            version = self._environment.version - 1
            check = asyncio.create_task(self._probe.check_dropped(version))
            self._checks.add(check)
            await asyncio.sleep(self._random.uniform(0, _MAX_CHANGE_GAP_S))
        await asyncio.sleep(max(0, until - self._loop.time()))
        await asyncio.gather(*self._checks)
        self._checks.clear()
