"""Run the soak for one seed after another and report what was broken."""

from __future__ import annotations

import asyncio
import socket
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import TYPE_CHECKING

from samphirerill.testing.soak.clients import (
    KINDS,
    Balancer,
    Client,
    VersionProbe,
)
from samphirerill.testing.soak.faults import Trouble
from samphirerill.testing.soak.world import SoakWorld

if TYPE_CHECKING:
    from collections.abc import Iterator

_CLIENTS = 10
_START_S = 4.0
# After the last fault, all must be well again within this time.
_RECOVERY_S = 6.0
_CHECKED_S = 2.0
_PORTS = range(21_000, 28_000, 10)
_PORTS_NEEDED = 6
_MOST_SHOWN = 12


@dataclass(slots=True)
class SoakReport:
    """What came of one seed."""

    seed: int
    broken: list[str]
    counts: dict[str, int] = field(default_factory=dict)

    def format(self) -> str:
        """Return it as text."""
        verdict = f'{len(self.broken)} broken' if self.broken else 'kept'
        lines = [f'seed {self.seed}: {verdict}']
        lines.extend(f'  {text}' for text in self.broken[:_MOST_SHOWN])
        counts = ', '.join(
            f'{name} {count}' for name, count in sorted(self.counts.items())
        )
        lines.append(f'  {counts}')
        return '\n'.join(lines)


def run_seed(seed: int, length_s: float, folder: Path) -> SoakReport:
    """Run one seed; settings and logs of the nodes lie in `folder`."""
    return asyncio.run(_run(seed, length_s, folder))


def run_seeds(seeds: Iterator[int], length_s: float, keep: str) -> int:
    """Run seeds in turn; return how many broke a promise.

    Parameters
    ----------
    seeds : iterator of int
        What to run.
    length_s : float
        How long faults last for each of them.
    keep : str
        A folder for the logs of those that failed; empty for none.
    """
    failed = 0
    for seed in seeds:
        with TemporaryDirectory() as scratch:
            folder = Path(keep) / f'seed-{seed}' if keep else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            report = run_seed(seed, length_s, folder)
        failed += bool(report.broken)
        sys.stdout.write(f'{report.format()}\n')
        sys.stdout.flush()
    return failed


async def _run(seed: int, length_s: float, folder: Path) -> SoakReport:
    random = Random(seed)
    world = SoakWorld(folder, _find_ports(random))
    try:
        await _harm(world, random, length_s)
    finally:
        await world.stop()
    return SoakReport(seed, world.truth.broken, dict(world.truth.counts))


async def _harm(world: SoakWorld, random: Random, length_s: float) -> None:
    """Let clients ask while trouble is made, and look how it ends."""
    await world.start()
    balancer = Balancer(world)
    tasks = [asyncio.create_task(balancer.run())]
    await asyncio.sleep(_START_S)
    checkers: list[Client | VersionProbe] = [
        Client(world, balancer, Random(random.random()))
        for _ in range(_CLIENTS)
    ]
    checkers.append(VersionProbe(world, Random(random.random())))
    tasks.extend(asyncio.create_task(item.run()) for item in checkers)
    until = asyncio.get_running_loop().time() + length_s
    await Trouble(world, random).run(until)
    await _check_recovery(world)
    await _end_tasks(tasks)


async def _check_recovery(world: SoakWorld) -> None:
    """All requests must be answered again."""
    await asyncio.sleep(_RECOVERY_S)
    before = _count_answers(world)
    await asyncio.sleep(_CHECKED_S)
    new = _count_answers(world)
    new.subtract(before)
    answered = new.pop('200', 0)
    if not answered or new.total():
        world.truth.break_promise(
            f'not recovered: {answered} answered, {new.total()} not'
        )


def _count_answers(world: SoakWorld) -> Counter[str]:
    """Return how many requests ended with each status."""
    statuses: Counter[str] = Counter()
    for name, count in world.truth.counts.items():
        kind, _, status = name.partition('.')
        if kind in KINDS:
            statuses[status] += count
    return statuses


async def _end_tasks(tasks: list[asyncio.Task[None]]) -> None:
    """End the checkers; one that has ended by itself checked nothing more."""
    for task in tasks:
        if task.done():
            task.result()
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _find_ports(random: Random) -> int:
    """Return the first of some ports that are free on all addresses."""
    starts = list(_PORTS)
    random.shuffle(starts)
    for start in starts:
        if all(_is_free(start + at) for at in range(_PORTS_NEEDED)):
            return start
    raise RuntimeError(f'got no free ports, expected {_PORTS_NEEDED} in a row')


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(('0.0.0.0', port))
        except OSError:
            return False
    return True
