"""Catalogue of the benchmarks: function, layout and number of nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from samphirerill.bench import overhead, route_benchmarks, state_benchmarks
from samphirerill.bench.route_benchmarks import BenchmarkResult, build_layout
from samphirerill.bench.targets import BaselineTarget, NodesTarget, Target
from samphirerill.testing.layout import Layout


@dataclass(slots=True, frozen=True)
class Benchmark:
    """A benchmark; `summary` is its line in the list of benchmarks."""

    name: str
    summary: str
    run: Callable[[Target, int], BenchmarkResult]
    layout: Callable[[], Layout] = build_layout
    nodes: int = 1
    overrides: dict[str, Any] = field(default_factory=dict)


def _build_three_replicas() -> Layout:
    return build_layout(3)


_MAX_NOTES = 20


def _build_lagging_vm_list() -> Layout:
    layout = build_layout(3)
    layout.vm_list_lag_s = 1
    return layout


BENCHMARKS = {
    benchmark.name: benchmark
    for benchmark in (
        Benchmark(
            'throughput',
            'goodput at full load; latency and CPU cost below it',
            route_benchmarks.run_throughput,
        ),
        Benchmark(
            'overhead',
            'latency and CPU cost added to direct calls, 1 to 200 streams',
            overhead.run_overhead,
            overhead.build_overhead_layout,
        ),
        Benchmark(
            'overload',
            'twice the maximum load, with priorities and a small account',
            route_benchmarks.run_overload,
            route_benchmarks.build_overload_layout,
        ),
        Benchmark(
            'stage-death',
            'a replica of the middle stage is killed under load',
            route_benchmarks.run_stage_death,
            _build_three_replicas,
        ),
        Benchmark(
            'silent-link',
            'a replica of the first stage stops answering',
            route_benchmarks.run_silent_link,
            _build_three_replicas,
        ),
        Benchmark(
            'two-faults',
            'one replica dies and one stops answering in a store outage',
            route_benchmarks.run_two_faults,
            _build_three_replicas,
        ),
        Benchmark(
            'slow-link',
            'the latency of a link rises',
            route_benchmarks.run_slow_link,
            _build_three_replicas,
        ),
        Benchmark(
            'crossed-answers',
            'engines mix up answers and repeat tokens',
            route_benchmarks.run_crossed_answers,
            _build_three_replicas,
        ),
        Benchmark(
            'at-most-once',
            'requests with idempotency keys sent twice, during faults',
            state_benchmarks.run_at_most_once,
            nodes=3,
        ),
        Benchmark(
            'kv-outage',
            'an outage of the key-value store',
            state_benchmarks.run_store_outage,
            nodes=2,
        ),
        Benchmark(
            'patch-race',
            'operators patch the same number concurrently',
            state_benchmarks.run_patch_race,
            nodes=8,
        ),
        Benchmark(
            'leaving',
            'an endpoint drains under load; the VM list lags by a second',
            state_benchmarks.run_draining,
            _build_lagging_vm_list,
            nodes=3,
        ),
        Benchmark(
            'shutdown',
            'one of two nodes is shut down under load',
            state_benchmarks.run_shutdown,
            nodes=2,
        ),
        Benchmark(
            'node-kill',
            'one of three nodes is killed',
            state_benchmarks.run_node_kill,
            nodes=3,
        ),
        Benchmark(
            'restart-all',
            'all nodes are replaced one after another under load',
            state_benchmarks.run_restart_all,
            nodes=3,
        ),
    )
}


def run_benchmark(
    name: str, seed: int, report: Callable[[str], None]
) -> dict[str, Any]:
    """Run a benchmark for our nodes and the baseline; return its results."""
    benchmark = BENCHMARKS[name]
    report(f'{name}: running our nodes ({benchmark.nodes})')
    with NodesTarget(
        benchmark.layout(), benchmark.nodes, benchmark.overrides
    ) as nodes_target:
        result = benchmark.run(nodes_target, seed)
    report(f'{name}: running the baseline')
    with BaselineTarget(benchmark.layout(), benchmark.nodes) as baseline_target:
        baseline = benchmark.run(baseline_target, seed)
    return {
        'name': name,
        'seed': seed,
        'violations': result.verdict.violations,
        'figures': result.metrics,
        'baseline': {
            **baseline.metrics,
            'violations': baseline.verdict.violations,
        },
        'notes': result.verdict.notes[:_MAX_NOTES],
    }
