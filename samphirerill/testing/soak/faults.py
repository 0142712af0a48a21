"""What is done to the nodes, the store and the replicas, from outside.

Each fault lasts for a while and then ends; several may overlap, and some come in
series. Planned work, a SIGTERM, a SIGHUP or another configuration, is no fault:
nothing may fail because of it.
"""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from samphirerill.testing.soak.truth import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from random import Random

    from samphirerill.testing.soak.nodes import SoakNode
    from samphirerill.testing.soak.world import Slot, SoakWorld

_LONGEST_S = 2.5
_SHORTEST_S = 0.2
# Mean time between two pieces of trouble.
_PACE_S = 0.9
_SERIES = 0.25
# Shares: of harm among trouble, and of changed settings that come with a signal.
_HARMFUL = 0.7
_WITH_SIGNAL = 0.5
_SERIES_GAP_S = 0.3
# A part of the time nothing harmful begins, so that planned work is alone.
_CALM_EVERY_S = 14.0
_CALM_S = 8.0
_LEAVING_S = 3.0
_DELAY_S = 0.15


class Trouble:
    """Begins faults and planned work, drawn from a seed.

    Parameters
    ----------
    world : SoakWorld
        What is harmed.
    random : Random
        Seeded.
    """

    def __init__(self, world: SoakWorld, random: Random) -> None:
        self._world = world
        self._truth = world.truth
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._busy: set[str] = set()
        self._faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill_node,
            self._pause_node,
            self._cut_node_from_store,
            self._cut_node_one_way,
            self._reset_store,
            self._make_store_busy,
            self._lose_store_answers,
            self._forget_history,
            self._crash_replica,
            self._silence_replica,
            self._delay_replica,
            self._reset_replica,
            self._kill_all_nodes,
        )
        self._planned: tuple[Callable[[], Awaitable[None]], ...] = (
            self._roll_node,
            self._rewrite_settings,
            self._configure,
            self._configure,
            self._let_replica_leave,
        )

    async def run(self, until: float) -> None:
        """Make trouble until a point on the loop's clock, then end it all."""
        started_at = self._loop.time()
        while self._loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / _PACE_S))
            passed_s = (self._loop.time() - started_at) % _CALM_EVERY_S
            is_calm_time = passed_s > _CALM_EVERY_S - _CALM_S
            self._begin(is_calm_time=is_calm_time)
        await asyncio.gather(*self._tasks)
        self._world.heal()

    def _begin(self, *, is_calm_time: bool) -> None:
        kinds = self._planned
        if not is_calm_time and self._random.random() < _HARMFUL:
            kinds = self._faults
        kind = self._random.choice(kinds)
        times = 1
        if self._random.random() < _SERIES:
            times += self._random.randrange(1, 4)
        task = asyncio.create_task(self._repeat(kind, times))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(
        self, kind: Callable[[], Awaitable[None]], times: int
    ) -> None:
        for _ in range(times):
            await kind()
            await asyncio.sleep(_SERIES_GAP_S * self._random.random())

    @asynccontextmanager
    async def _fault(self, name: str) -> AsyncIterator[None]:
        fault = Fault(name, self._loop.time())
        self._truth.faults.append(fault)
        self._truth.counts[f'fault.{name}'] += 1
        try:
            yield
        finally:
            fault.until = self._loop.time()

    async def _wait(self) -> None:
        spread_s = _LONGEST_S - _SHORTEST_S
        await asyncio.sleep(_SHORTEST_S + spread_s * self._random.random())

    def _take_node(self) -> SoakNode | None:
        """Return a node that nothing else is being done to."""
        free = [
            node for node in self._world.nodes if node.name not in self._busy
        ]
        return self._random.choice(free) if free else None

    def _take_slot(self) -> Slot | None:
        free = [
            slot
            for slot in self._world.slots
            if slot.address not in self._busy and slot.replica is not None
        ]
        return self._random.choice(free) if free else None

    def _is_any_node_busy(self) -> bool:
        return any(node.name in self._busy for node in self._world.nodes)

    @asynccontextmanager
    async def _hold(self, name: str) -> AsyncIterator[None]:
        self._busy.add(name)
        try:
            yield
        finally:
            self._busy.discard(name)

    async def _kill_node(self) -> None:
        node = self._take_node()
        if node is None:
            return
        async with self._hold(node.name), self._fault('node killed'):
            node.kill()
            await self._wait()
            node.start()

    async def _kill_all_nodes(self) -> None:
        async with self._fault('all nodes killed'):
            for node in self._world.nodes:
                node.kill()
            await self._wait()
            for node in self._world.nodes:
                node.start()

    async def _pause_node(self) -> None:
        node = self._take_node()
        if node is None:
            return
        async with self._hold(node.name), self._fault('node paused'):
            node.send_signal(signal.SIGSTOP)
            await self._wait()
            node.send_signal(signal.SIGCONT)

    async def _cut_node_from_store(self) -> None:
        proxy = self._random.choice(tuple(self._world.store_proxies.values()))
        async with self._fault('node cut from the store'):
            proxy.is_silent = True
            await self._wait()
            proxy.heal()

    async def _cut_node_one_way(self) -> None:
        proxy = self._random.choice(tuple(self._world.store_proxies.values()))
        async with self._fault('answers of the store lost on the way'):
            proxy.swallows_answers = True
            await self._wait()
            proxy.heal()
            proxy.reset()

    async def _reset_store(self) -> None:
        async with self._fault('connections to the store reset'):
            for proxy in self._world.store_proxies.values():
                proxy.reset()
            await self._wait()

    async def _make_store_busy(self) -> None:
        async with self._fault('store busy'):
            self._world.service.busy = True
            await self._wait()
            self._world.service.busy = False

    async def _lose_store_answers(self) -> None:
        async with self._fault('store loses answers'):
            self._world.service.lose_answers += self._random.randrange(1, 6)
            await self._wait()

    async def _forget_history(self) -> None:
        async with self._fault('store forgets its history'):
            self._world.service.deaf = True
            await self._world.configure()
            await self._wait()
            self._world.service.forget_history()
            self._world.service.deaf = False
            for proxy in self._world.store_proxies.values():
                proxy.reset()

    async def _crash_replica(self) -> None:
        slot = self._take_slot()
        if slot is None:
            return
        async with self._hold(slot.address), self._fault('replica crashed'):
            self._world.crash_replica(slot)
            await self._wait()
            await self._world.start_replica(slot)

    async def _silence_replica(self) -> None:
        slot = self._take_slot()
        if slot is None:
            return
        async with self._hold(slot.address), self._fault('replica silent'):
            slot.proxy.is_silent = True
            await self._wait()
            slot.proxy.heal()

    async def _delay_replica(self) -> None:
        slot = self._take_slot()
        if slot is None:
            return
        async with self._hold(slot.address), self._fault('replica delayed'):
            slot.proxy.delay_s = _DELAY_S
            await self._wait()
            slot.proxy.heal()

    async def _reset_replica(self) -> None:
        slot = self._take_slot()
        if slot is None:
            return
        async with self._fault('connections to a replica reset'):
            slot.proxy.reset()
            await self._wait()

    async def _roll_node(self) -> None:
        """Stop a node as a release does, and start it again.

        One at a time: with all of them ending there is nobody to ask.
        """
        node = self._take_node()
        if node is None or self._is_any_node_busy():
            return
        async with self._hold(node.name):
            self._truth.counts['planned.rolled'] += 1
            node.send_signal(signal.SIGTERM)
            code = await node.wait_for_end()
            if code is None:
                self._truth.break_promise(f'{node.name}: did not end')
                node.kill()
            node.start()

    async def _rewrite_settings(self) -> None:
        node = self._take_node()
        if node is None:
            return
        self._truth.counts['planned.settings'] += 1
        node.write_settings(retry_slack=self._random.randrange(40, 80))
        if self._random.random() < _WITH_SIGNAL:
            node.send_signal(signal.SIGHUP)

    async def _configure(self) -> None:
        self._truth.counts['planned.configured'] += 1
        await self._world.configure()

    async def _let_replica_leave(self) -> None:
        slot = self._take_slot()
        if slot is None:
            return
        async with self._hold(slot.address):
            self._truth.counts['planned.left'] += 1
            await self._world.leave(slot)
            await asyncio.sleep(_LEAVING_S)
            # Whatever still runs there ends with the replica.
            async with self._fault('replica gone'):
                self._world.crash_replica(slot)
                await self._world.start_replica(slot)
