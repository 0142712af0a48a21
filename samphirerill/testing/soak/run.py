"""Run the soak test for each seed and report violated guarantees."""

from __future__ import annotations

import asyncio
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING, Protocol

from samphirerill.fleet.model import MS_PER_S
from samphirerill.testing.free_ports import is_free
from samphirerill.testing.soak.balancer import LoadBalancer
from samphirerill.testing.soak.clients import KINDS, create_clients
from samphirerill.testing.soak.crowds import Crowds
from samphirerill.testing.soak.environment import SoakEnvironment
from samphirerill.testing.soak.faults import FaultInjector
from samphirerill.testing.soak.flood import Floods
from samphirerill.testing.soak.ground_truth import Fault
from samphirerill.testing.soak.limit_naming import LimitNaming
from samphirerill.testing.soak.node_cuts import NodeCuts
from samphirerill.testing.soak.store_restores import StoreRestores
from samphirerill.testing.soak.stutters import Stutters
from samphirerill.testing.soak.version_probe import VersionProbe
from samphirerill.testing.soak.watcher_faults import WatcherFaults

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.testing.soak.settings import SoakSettings

_STARTUP_S = 4.0
# On a loaded machine.
_MAX_STARTUP_S = 30.0
# Time allowed for recovery after the last fault.
_RECOVERY_S = 6.0
_RECOVERY_CHECK_S = 2.0
# The replicas may be held up during a check.
_MAX_RECOVERY_CHECKS = 3
_PORTS = range(21_000, 28_000, 10)
_PORT_COUNT = 6
_MAX_SHOWN = 12
_LAG_INTERVAL_S = 0.05
_MIN_LOGGED_LAG_MS = 100
_LOG_NAME = 'soak.log'
_CUTTABLE_NODE = 'samphirerill.testing.soak.cuttable_node'


class _Action(Protocol):
    """Something that happens during a run, until a loop time."""

    async def run(self, until: float) -> None:
        """Run until then."""


@dataclass(slots=True)
class SoakReport:
    """Result of one seed."""

    seed: int
    violations: list[str]
    counts: dict[str, int] = field(default_factory=dict)

    def format(self) -> str:
        """Return the report as text."""
        verdict = (
            f'{len(self.violations)} broken' if self.violations else 'kept'
        )
        lines = [f'seed {self.seed}: {verdict}']
        lines.extend(f'  {text}' for text in self.violations[:_MAX_SHOWN])
        counts = ', '.join(
            f'{name} {count}' for name, count in sorted(self.counts.items())
        )
        lines.append(f'  {counts}')
        return '\n'.join(lines)


def run_seed(seed: int, settings: SoakSettings, folder: Path) -> SoakReport:
    """Run one seed; the nodes' settings and logs are written to `folder`."""
    return asyncio.run(_run(seed, settings, folder))


def run_seeds(seeds: Iterator[int], settings: SoakSettings, keep: str) -> int:
    """Run seeds in turn; return how many violated a guarantee.

    Parameters
    ----------
    seeds : iterator of int
        The seeds to run.
    settings : SoakSettings
        What is run for each seed.
    keep : str
        Directory in which the logs of each seed are kept; empty to discard
        them.
    """
    failed = 0
    for seed in seeds:
        with TemporaryDirectory() as scratch:
            folder = Path(keep) / f'seed-{seed}' if keep else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            report = run_seed(seed, settings, folder)
        failed += bool(report.violations)
        sys.stdout.write(f'{report.format()}\n')
        sys.stdout.flush()
    return failed


async def _run(seed: int, settings: SoakSettings, folder: Path) -> SoakReport:
    random = Random(seed)
    environment = SoakEnvironment(
        folder,
        _find_ports(random),
        settings.nodes,
        is_loaded=settings.floods,
    )
    try:
        await _run_workload(environment, random, settings, seed)
    finally:
        await environment.stop()
        _write_log(environment, folder)
    return SoakReport(
        seed,
        environment.ground_truth.violations,
        dict(environment.ground_truth.counts),
    )


def _write_log(environment: SoakEnvironment, folder: Path) -> None:
    """Write the events of the run beside the nodes' logs."""
    started_at = time.time() - asyncio.get_running_loop().time()
    lines = []
    for at, description in environment.ground_truth.events:
        moment = datetime.fromtimestamp(started_at + at, UTC)
        lines.append(f'{moment.isoformat()} {description}\n')
    (folder / _LOG_NAME).write_text(''.join(lines))


async def _wait_for_startup(balancer: LoadBalancer) -> None:
    """Wait until engines have loaded their layers and nodes are ready."""
    await asyncio.sleep(_STARTUP_S)
    await balancer.wait_until_ready(_MAX_STARTUP_S)


async def _run_workload(
    environment: SoakEnvironment,
    random: Random,
    settings: SoakSettings,
    seed: int,
) -> None:
    """Run clients while faults are injected, then check recovery."""
    if settings.cuts_nodes:
        for node in environment.nodes:
            node.entry_point = _CUTTABLE_NODE
    await environment.start()
    balancer = LoadBalancer(environment)
    tasks = [asyncio.create_task(balancer.run())]
    await _wait_for_startup(balancer)
    probe = VersionProbe(environment, Random(random.random()))
    clients = create_clients(environment, balancer, random, settings)
    tasks.append(asyncio.create_task(probe.run()))
    tasks.append(asyncio.create_task(_measure_lag(environment)))
    tasks.extend(asyncio.create_task(client.run()) for client in clients)
    await _perform_actions(environment, balancer, random, settings, seed)
    await _check_recovery(environment)
    await _cancel_tasks(tasks)


async def _perform_actions(
    environment: SoakEnvironment,
    balancer: LoadBalancer,
    random: Random,
    settings: SoakSettings,
    seed: int,
) -> None:
    """Let everything happen that the settings ask for."""
    actions = _list_actions(environment, random, settings, seed)
    if settings.floods:
        floods = Floods(environment, balancer, seed)
        await floods.run_first()
        actions.append(floods)
    until = asyncio.get_running_loop().time() + settings.length_s
    await asyncio.gather(*(action.run(until) for action in actions))


def _list_actions(
    environment: SoakEnvironment,
    random: Random,
    settings: SoakSettings,
    seed: int,
) -> list[_Action]:
    """Return what happens during the run."""
    actions: list[_Action] = [FaultInjector(environment, random, settings)]
    if settings.names_limits:
        actions.append(LimitNaming(environment, seed))
    if settings.crowds:
        actions.append(Crowds(environment, seed))
    if settings.stutters:
        actions.append(Stutters(environment, seed))
    if settings.restores_store:
        actions.append(StoreRestores(environment, seed))
    if settings.cuts_nodes:
        actions.append(NodeCuts(environment, seed))
    if settings.stops_watchers:
        probe = VersionProbe(environment, Random(f'dropped routes {seed}'))
        actions.append(WatcherFaults(environment, probe, seed))
    return actions


async def _check_recovery(environment: SoakEnvironment) -> None:
    """Check that every request succeeds once the faults have ended."""
    ground_truth = environment.ground_truth
    loop = asyncio.get_running_loop()
    for _ in range(_MAX_RECOVERY_CHECKS):
        since = loop.time()
        await asyncio.sleep(_RECOVERY_S)
        before = _count_statuses(environment)
        await asyncio.sleep(_RECOVERY_CHECK_S)
        new = _count_statuses(environment)
        if ground_truth.is_fault_free(since, loop.time()):
            break
    new.subtract(before)
    answered = new.pop('200', 0)
    if not answered or new.total():
        ground_truth.record_violation(
            f'not recovered: {answered} requests succeeded, '
            f'{new.total()} failed'
        )


async def _measure_lag(environment: SoakEnvironment) -> None:
    """Log when this process, with all replicas and clients, was held up."""
    loop = asyncio.get_running_loop()
    counts = environment.ground_truth.counts
    while True:
        due_at = loop.time() + _LAG_INTERVAL_S
        await asyncio.sleep(_LAG_INTERVAL_S)
        lag_ms = int((loop.time() - due_at) * MS_PER_S)
        counts['lag_ms'] = max(counts['lag_ms'], lag_ms)
        if lag_ms > _MIN_LOGGED_LAG_MS:
            environment.ground_truth.log(
                loop.time(), f'soak process held up for {lag_ms} ms'
            )
            # All replicas were silent, which excuses no unanswered request.
            environment.ground_truth.faults.append(
                Fault('replicas held up', due_at, loop.time())
            )


def _count_statuses(environment: SoakEnvironment) -> Counter[str]:
    """Return the number of requests by status."""
    statuses: Counter[str] = Counter()
    for name, count in environment.ground_truth.counts.items():
        kind, _, status = name.partition('.')
        if kind in KINDS:
            statuses[status] += count
    return statuses


async def _cancel_tasks(tasks: list[asyncio.Task[None]]) -> None:
    """Cancel the checkers; raise the error of one that failed early."""
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _find_ports(random: Random) -> int:
    """Return the start of a range of ports that are free on all addresses."""
    starts = list(_PORTS)
    random.shuffle(starts)
    for start in starts:
        if all(is_free(start + offset) for offset in range(_PORT_COUNT)):
            return start
    raise RuntimeError(f'found no {_PORT_COUNT} consecutive free ports')
