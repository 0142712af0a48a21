"""Latency and CPU time that a node adds to direct calls of an engine."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

from samphirerill.bench.http_client import (
    ClientRequest,
    RequestResult,
    send_request,
)
from samphirerill.bench.latency_metrics import compute_p95_s, list_token_gaps
from samphirerill.bench.oracle import check_results
from samphirerill.bench.route_benchmarks import BenchmarkResult
from samphirerill.bench.targets import list_executed_prompts
from samphirerill.testing.layout import (
    FIRST_ACCOUNT_KEY,
    Layout,
    build_three_stages,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.bench.targets import Target

STREAMS = (1, 50, 100, 200)
_TOKENS = 120
_SEND_INTERVAL_S = 0.01
_TIMEOUT_S = 30.0


def build_overhead_layout() -> Layout:
    """Return a layout with enough slots for all streams at once."""
    return build_three_stages(2, slots=max(STREAMS), step_ms=26)


def run_overhead(target: Target, seed: int) -> BenchmarkResult:
    """Measure requests through the target, and direct ones for comparison."""
    metrics: dict[str, Any] = {}
    all_results: list[RequestResult] = []
    for count in STREAMS:
        name = f'{seed}-{count}'
        direct = _run_requests(_build_direct_requests(target, name, count))
        cpu_before_s = target.read_cpu_s()
        routed = _run_requests(_build_routed_requests(target, name, count))
        used_cpu_s = target.read_cpu_s() - cpu_before_s
        all_results += routed
        tokens = sum(len(result.texts) for result in routed)
        first_token_p95_s = _compute_first_token_p95_s(routed)
        metrics |= {
            f'added_first_token_p95_ms.{count}': 1000
            * (first_token_p95_s - _compute_first_token_p95_s(direct)),
            f'token_gap_p95_ms.{count}': 1000
            * compute_p95_s(list_token_gaps(routed)),
            f'direct_gap_p95_ms.{count}': 1000
            * compute_p95_s(list_token_gaps(direct)),
            f'cpu_us_per_token.{count}': 1e6 * used_cpu_s / max(1, tokens),
        }
    return BenchmarkResult(
        metrics, check_results(all_results, list_executed_prompts(target))
    )


def _build_routed_requests(
    target: Target, name: str, count: int
) -> list[tuple[str, ClientRequest]]:
    address = target.list_addresses()[0]
    return [
        (
            address,
            ClientRequest(
                0, f'through {name} {index}', _TOKENS, FIRST_ACCOUNT_KEY
            ),
        )
        for index in range(count)
    ]


def _build_direct_requests(
    target: Target, name: str, count: int
) -> list[tuple[str, ClientRequest]]:
    """Return requests with a given pipeline, sent to its first stage."""
    engines = target.cluster.addresses['engines']
    pipelines = itertools.cycle(_list_pipelines(engines))
    requests = []
    for index in range(count):
        stages = next(pipelines)
        extra = {
            'samphirerill': {
                'attempt': f'direct-{name}-{index}',
                'epoch': 0,
                'resume_at': 0,
                'stages': stages,
            },
        }
        request = ClientRequest(
            0, f'direct {name} {index}', _TOKENS, '', extra=extra
        )
        requests.append((stages[0]['address'], request))
    return requests


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


def _run_requests(
    requests: list[tuple[str, ClientRequest]],
) -> list[RequestResult]:
    return asyncio.run(_send_all(requests))


async def _send_all(
    requests: list[tuple[str, ClientRequest]],
) -> list[RequestResult]:
    results = []
    tasks = []
    for address, request in requests:
        request.due_at = time.monotonic()
        results.append(RequestResult(request))
        call = send_request(address, request, results[-1], _TIMEOUT_S)
        tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(_SEND_INTERVAL_S)
    await asyncio.gather(*tasks)
    return results


def _compute_first_token_p95_s(results: list[RequestResult]) -> float:
    return compute_p95_s(
        result.first_token_s for result in results if result.texts
    )
