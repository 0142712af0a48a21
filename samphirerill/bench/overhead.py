"""What a node adds to direct calls of an engine, at several live streams."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

from samphirerill.bench.calls import Ask, Got, send_ask
from samphirerill.bench.figures import list_gaps, read_p95_s
from samphirerill.bench.oracle import judge
from samphirerill.bench.scenes import Scene
from samphirerill.bench.targets import list_ran
from samphirerill.testing.layout import (
    COACH_KEY,
    Layout,
    build_three_stages,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.bench.targets import Target

STREAMS = (1, 50, 100, 200)
_TOKENS = 120
_PACE_S = 0.01
_LIMIT_S = 30.0


def build_overhead_layout() -> Layout:
    """Return stand-ins with room for every stream at once."""
    return build_three_stages(2, slots=max(STREAMS), step_ms=26)


def run_overhead(target: Target, seed: int) -> Scene:
    """Measure through the target and, beside it, directly."""
    figures: dict[str, Any] = {}
    everything: list[Got] = []
    for count in STREAMS:
        name = f'{seed}-{count}'
        direct = _run(_plan_direct(target, name, count))
        cpu_s = target.read_cpu_s()
        through = _run(_plan_through(target, name, count))
        spent_s = target.read_cpu_s() - cpu_s
        everything += through
        tokens = sum(len(got.texts) for got in through)
        first_s = _read_first_s(through)
        figures |= {
            f'added_first_token_p95_ms.{count}': 1000
            * (first_s - _read_first_s(direct)),
            f'token_gap_p95_ms.{count}': 1000 * read_p95_s(list_gaps(through)),
            f'direct_gap_p95_ms.{count}': 1000 * read_p95_s(list_gaps(direct)),
            f'cpu_us_per_token.{count}': 1e6 * spent_s / max(1, tokens),
        }
    return Scene(figures, judge(everything, list_ran(target)))


def _plan_through(
    target: Target, name: str, count: int
) -> list[tuple[str, Ask]]:
    address = target.list_addresses()[0]
    return [
        (address, Ask(0, f'through {name} {at}', _TOKENS, COACH_KEY))
        for at in range(count)
    ]


def _plan_direct(
    target: Target, name: str, count: int
) -> list[tuple[str, Ask]]:
    """Return calls that name a pipeline and go to its first stage."""
    engines = target.cluster.addresses['engines']
    pipelines = itertools.cycle(_list_pipelines(engines))
    plan = []
    for at in range(count):
        stages = next(pipelines)
        extra = {
            'samphirerill': {
                'attempt': f'direct-{name}-{at}',
                'epoch': 0,
                'resume_at': 0,
                'stages': stages,
            },
        }
        ask = Ask(0, f'direct {name} {at}', _TOKENS, '', extra=extra)
        plan.append((stages[0]['address'], ask))
    return plan


def _list_pipelines(engines: dict[str, str]) -> Iterator[list[dict[str, Any]]]:
    ranges = ((0, 4), (5, 8), (9, 11))
    for replica in range(2):
        yield [
            {
                'address': engines[f'stage{stage}-{replica}'],
                'first': first,
                'last': last,
            }
            for stage, (first, last) in enumerate(ranges)
        ]


def _run(plan: list[tuple[str, Ask]]) -> list[Got]:
    return asyncio.run(_send_all(plan))


async def _send_all(plan: list[tuple[str, Ask]]) -> list[Got]:
    got = []
    sending = []
    for address, ask in plan:
        ask.due_at = time.monotonic()
        got.append(Got(ask))
        work = send_ask(address, ask, got[-1], _LIMIT_S)
        sending.append(asyncio.ensure_future(work))
        await asyncio.sleep(_PACE_S)
    await asyncio.gather(*sending)
    return got


def _read_first_s(found: list[Got]) -> float:
    return read_p95_s(got.first_token_s for got in found if got.texts)
