"""Fault injection and planned maintenance on nodes, store and replicas.

Faults last for a limited time, may overlap and may repeat. Planned maintenance
(SIGTERM, SIGHUP, a new configuration, a draining replica) is not a fault: no
request may fail because of it.
"""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from samphirerill.testing.soak.ground_truth import Fault

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    from random import Random

    from samphirerill.testing.soak.environment import (
        ReplicaSlot,
        SoakEnvironment,
    )
    from samphirerill.testing.soak.nodes import SoakNode
    from samphirerill.testing.soak.proxy import LoopbackProxy
    from samphirerill.testing.soak.settings import SoakSettings

_MAX_FAULT_S = 2.5
_MIN_FAULT_S = 0.2
# Mean time between two actions.
_MEAN_INTERVAL_S = 0.9
_SERIES_SHARE = 0.25
_FAULT_SHARE = 0.7
_SIGHUP_SHARE = 0.5
_SERIES_GAP_S = 0.3
# Mean time between two actions if there is only planned maintenance.
_PLANNED_INTERVAL_S = 0.25
_NODES_PER_RESTART = 4
_MAX_SIGHUPS = 5
_STARTUP_S = 4.0
# Some runs have few retries to share.
_RETRY_SLACKS = (60, 60, 6)
# At the end of each cycle no fault starts, so that planned maintenance is also
# tested without faults.
_CYCLE_S = 14.0
_FAULT_FREE_S = 8.0
_DRAIN_S = 3.0
# Whether a replica announces in its entry, and says in responses, that it leaves.
_WAYS_TO_LEAVE = ((True, False), (True, True), (False, True))
# How long it says so before it announces it.
_SAYING_S = 1.0
_MAX_BACK_OFF_S = 3.0
_BAD_VALUE_SHARE = 0.3
_BAD_RETRY_AFTER = (
    b'soon',
    b'-1',
    b'nan',
    b'1e9',
    b' ',
    b'9' * 20,
    b'Fri, 31 Dec 2999 23:59:59 GMT',
)
_DELAY_S = 0.15


class FaultInjector:
    """Starts randomly chosen faults and planned maintenance.

    Parameters
    ----------
    environment : SoakEnvironment
        The system under test.
    random : Random
        Seeded random generator.
    settings : SoakSettings
        Whether faults are injected, or only planned maintenance.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        random: Random,
        settings: SoakSettings,
    ) -> None:
        self._environment = environment
        self._settings = settings
        self._retry_slack = random.choice(_RETRY_SLACKS)
        self._ground_truth = environment.ground_truth
        self._random = random
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._reserved: set[str] = set()
        self._backing_off: set[str] = set()
        self._faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill_node,
            self._pause_node,
            self._partition_node,
            self._drop_responses,
            self._reset_store,
            self._make_store_busy,
            self._lose_store_responses,
            self._compact_store_history,
            self._crash_replica,
            self._stall_replica,
            self._delay_replica,
            self._reset_replica,
            self._kill_all_nodes,
        )
        self._maintenance: tuple[Callable[[], Awaitable[None]], ...] = (
            self._restart_node,
            self._rewrite_settings,
            self._reload_settings,
            self._configure,
            self._configure,
            self._drain_replica,
            self._back_off_replica,
        )

    async def run(self, until: float) -> None:
        """Start actions until a loop time, then wait for them to finish."""
        started_at = self._loop.time()
        injects_faults = self._settings.injects_faults
        mean_s = _MEAN_INTERVAL_S if injects_faults else _PLANNED_INTERVAL_S
        for node in self._environment.nodes:
            node.write_settings(retry_slack=self._retry_slack)
        while self._loop.time() < until:
            await asyncio.sleep(self._random.expovariate(1 / mean_s))
            passed_s = (self._loop.time() - started_at) % _CYCLE_S
            is_fault_free_phase = passed_s > _CYCLE_S - _FAULT_FREE_S
            self._start_action(
                is_fault_free_phase=is_fault_free_phase or not injects_faults
            )
        await asyncio.gather(*self._tasks)
        self._environment.clear_faults()

    def _start_action(self, *, is_fault_free_phase: bool) -> None:
        actions = self._maintenance
        if not is_fault_free_phase and self._random.random() < _FAULT_SHARE:
            actions = self._faults
        action = self._random.choice(actions)
        times = 1
        if self._random.random() < _SERIES_SHARE:
            times += self._random.randrange(1, 4)
        task = asyncio.create_task(self._repeat(action, times))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _repeat(
        self, action: Callable[[], Awaitable[None]], times: int
    ) -> None:
        for _ in range(times):
            await action()
            await asyncio.sleep(_SERIES_GAP_S * self._random.random())

    @asynccontextmanager
    async def _fault(self, name: str, *targets: str) -> AsyncIterator[None]:
        """Record a fault as active for the duration of the block.

        Parameters
        ----------
        name : str
            Kind of fault.
        targets : str
            Names of the nodes and addresses of the replicas that it affects.
        """
        fault = Fault(name, self._loop.time(), targets=frozenset(targets))
        self._ground_truth.faults.append(fault)
        self._ground_truth.counts[f'fault.{name}'] += 1
        self._log(f'{name}: {targets} begins')
        try:
            yield
        finally:
            fault.until = self._loop.time()
            self._log(f'{name}: {targets} ends')

    def _log(self, description: str) -> None:
        self._ground_truth.log(self._loop.time(), description)

    async def _wait_random(self) -> None:
        range_s = _MAX_FAULT_S - _MIN_FAULT_S
        await asyncio.sleep(_MIN_FAULT_S + range_s * self._random.random())

    def _choose_node(self) -> SoakNode | None:
        """Return a random node without an action in progress, if any."""
        free = [
            node
            for node in self._environment.nodes
            if node.name not in self._reserved and not node.is_frozen
        ]
        return self._random.choice(free) if free else None

    def _choose_store_proxy(self) -> tuple[str, LoopbackProxy]:
        """Return a node's name and its proxy to the store."""
        return self._random.choice(
            tuple(self._environment.store_proxies.items())
        )

    def _choose_slot(self) -> ReplicaSlot | None:
        """Return a random running replica without an action in progress."""
        free = [
            slot
            for slot in self._environment.slots
            if slot.address not in self._reserved and slot.replica is not None
        ]
        return self._random.choice(free) if free else None

    def _has_enough_nodes(self) -> bool:
        """Return whether one more node may be taken out of service."""
        nodes = self._environment.nodes
        reserved = sum(node.name in self._reserved for node in nodes)
        return reserved < max(1, len(nodes) // _NODES_PER_RESTART)

    @asynccontextmanager
    async def _reserve(self, name: str) -> AsyncIterator[None]:
        """Exclude a node or replica from other actions meanwhile."""
        self._reserved.add(name)
        try:
            yield
        finally:
            self._reserved.discard(name)

    async def _kill_node(self) -> None:
        node = self._choose_node()
        if node is None:
            return
        async with (
            self._reserve(node.name),
            self._fault('node killed', node.name),
        ):
            node.kill()
            await self._wait_random()
            node.start()

    async def _kill_all_nodes(self) -> None:
        names = [node.name for node in self._environment.nodes]
        async with self._fault('all nodes killed', *names):
            for node in self._environment.nodes:
                node.kill()
            await self._wait_random()
            for node in self._environment.nodes:
                node.start()

    async def _pause_node(self) -> None:
        node = self._choose_node()
        if node is None:
            return
        async with (
            self._reserve(node.name),
            self._fault('node paused', node.name),
        ):
            node.send_signal(signal.SIGSTOP)
            await self._wait_random()
            node.send_signal(signal.SIGCONT)

    async def _partition_node(self) -> None:
        name, proxy = self._choose_store_proxy()
        async with self._fault('node cut from the store', name):
            proxy.is_stalled = True
            await self._wait_random()
            proxy.clear_faults()

    async def _drop_responses(self) -> None:
        name, proxy = self._choose_store_proxy()
        async with self._fault('answers of the store lost on the way', name):
            proxy.drops_responses = True
            await self._wait_random()
            proxy.clear_faults()
            proxy.reset()

    async def _reset_store(self) -> None:
        async with self._fault('connections to the store reset'):
            for proxy in self._environment.store_proxies.values():
                proxy.reset()
            await self._wait_random()

    async def _make_store_busy(self) -> None:
        async with self._fault('store busy'):
            self._environment.service.is_unavailable = True
            await self._wait_random()
            self._environment.service.is_unavailable = False

    async def _lose_store_responses(self) -> None:
        async with self._fault('store loses answers'):
            self._environment.service.responses_to_lose += (
                self._random.randrange(1, 6)
            )
            await self._wait_random()

    async def _compact_store_history(self) -> None:
        async with self._fault('store forgets its history'):
            self._environment.service.withholds_changes = True
            await self._environment.configure()
            await self._wait_random()
            self._environment.service.compact_history()
            self._environment.service.withholds_changes = False
            for proxy in self._environment.store_proxies.values():
                proxy.reset()

    async def _crash_replica(self) -> None:
        slot = self._choose_slot()
        if slot is None:
            return
        async with (
            self._reserve(slot.address),
            self._fault('replica crashed', slot.address),
        ):
            self._environment.crash_replica(slot)
            await self._wait_random()
            await self._environment.start_replica(slot)

    async def _stall_replica(self) -> None:
        slot = self._choose_slot()
        if slot is None:
            return
        async with (
            self._reserve(slot.address),
            self._fault('replica silent', slot.address),
        ):
            slot.proxy.is_stalled = True
            await self._wait_random()
            slot.proxy.clear_faults()

    async def _delay_replica(self) -> None:
        slot = self._choose_slot()
        if slot is None:
            return
        async with (
            self._reserve(slot.address),
            self._fault('replica delayed', slot.address),
        ):
            slot.proxy.delay_s = _DELAY_S
            await self._wait_random()
            slot.proxy.clear_faults()

    async def _reset_replica(self) -> None:
        slot = self._choose_slot()
        if slot is None:
            return
        async with self._fault('connections to a replica reset', slot.address):
            slot.proxy.reset()
            await self._wait_random()

    async def _restart_node(self) -> None:
        """Restart a node gracefully, as a rolling release does.

        Few nodes at a time, so that others can take its requests.
        """
        node = self._choose_node()
        if node is None or not self._has_enough_nodes():
            return
        async with self._reserve(node.name):
            self._ground_truth.counts['planned.rolled'] += 1
            self._log(f'{node.name}: SIGTERM')
            node.send_signal(signal.SIGTERM)
            code = await node.wait_for_exit()
            if code is None:
                self._ground_truth.record_violation(
                    f'{node.name}: did not exit after SIGTERM'
                )
                node.kill()
            node.start()

    async def _rewrite_settings(self) -> None:
        node = self._choose_node()
        if node is None:
            return
        self._ground_truth.counts['planned.settings'] += 1
        node.write_settings(retry_slack=self._choose_retry_slack())
        if self._random.random() < _SIGHUP_SHARE and not self._is_starting(
            node
        ):
            self._log(f'{node.name}: SIGHUP')
            node.send_signal(signal.SIGHUP)

    async def _reload_settings(self) -> None:
        """Send signals in series, also to a node that is shutting down."""
        node = self._random.choice(self._environment.nodes)
        for _ in range(self._random.randrange(1, _MAX_SIGHUPS + 1)):
            if self._is_starting(node):
                return
            self._ground_truth.counts['planned.reloaded'] += 1
            self._log(f'{node.name}: SIGHUP')
            node.write_settings(retry_slack=self._choose_retry_slack())
            node.send_signal(signal.SIGHUP)
            await asyncio.sleep(_SERIES_GAP_S * self._random.random())

    def _is_starting(self, node: SoakNode) -> bool:
        """Return whether its signal handlers may not be installed yet."""
        return node.started_at + _STARTUP_S > self._loop.time()

    def _choose_retry_slack(self) -> int:
        third = self._retry_slack // 3
        return self._random.randint(2 * third, 4 * third)

    async def _configure(self) -> None:
        self._ground_truth.counts['planned.configured'] += 1
        await self._environment.configure()
        self._log(f'configuration {self._environment.version}')

    async def _drain_replica(self) -> None:
        slot = self._choose_slot()
        if slot is None:
            return
        async with self._reserve(slot.address):
            self._ground_truth.counts['planned.left'] += 1
            self._log(f'{slot.address}: drains')
            if self._leaves_enough(slot):
                await self._drain(slot)
            else:
                # Refusals for lack of replicas are truthful.
                async with self._fault(
                    'few replicas of a service left', slot.address
                ):
                    await self._drain(slot)
            # Requests that are still running end with the replica.
            async with self._fault('replica gone', slot.address):
                self._environment.crash_replica(slot)
                await self._environment.start_replica(slot)

    async def _drain(self, slot: ReplicaSlot) -> None:
        """Announce a drain, say so in responses before, or say so only."""
        announces, says = self._random.choice(_WAYS_TO_LEAVE)
        self._log(f'{slot.address}: announces: {announces}, says: {says}')
        if says:
            self._environment.start_saying_leaving(slot)
            await asyncio.sleep(_SAYING_S)
        if announces:
            await self._environment.announce_drain(slot)
        await asyncio.sleep(_DRAIN_S)

    async def _back_off_replica(self) -> None:
        """Let a replica refuse for a time, and say how long or nonsense."""
        slot = self._choose_slot()
        if slot is None or slot.replica is None:
            return
        async with self._reserve(slot.address):
            back_off_s = _MAX_BACK_OFF_S * self._random.random()
            retry_after = b''
            if self._random.random() < _BAD_VALUE_SHARE:
                retry_after = self._random.choice(_BAD_RETRY_AFTER)
            self._ground_truth.counts['planned.rested'] += 1
            self._log(
                f'{slot.address}: asks for {back_off_s:.2f} s of back-off, {retry_after!r}'
            )
            self._backing_off.add(slot.address)
            slot.replica.request_back_off(back_off_s, retry_after)
            if self._leaves_enough(slot):
                await asyncio.sleep(back_off_s)
            else:
                async with self._fault(
                    'few replicas of a service left', slot.address
                ):
                    await asyncio.sleep(back_off_s)
            self._backing_off.discard(slot.address)

    def _leaves_enough(self, leaving: ReplicaSlot) -> bool:
        """Return whether a service's other replicas can serve its requests.

        Half of them can, or all but one if one refuses without leaving.
        """
        slots = [
            slot
            for slot in self._environment.slots
            if slot.service == leaving.service
        ]
        staying = [
            slot
            for slot in slots
            if slot.replica is not None and slot.address not in self._reserved
        ]
        if any(slot.address in self._backing_off for slot in slots):
            return len(staying) >= max(1, len(slots) - 1)
        return len(staying) >= len(slots) / 2
