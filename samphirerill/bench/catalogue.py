"""Every bench by name: its stand-ins, its size and what it runs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from samphirerill.bench import overhead, scenes, state_scenes
from samphirerill.bench.scenes import Scene, build_layout
from samphirerill.bench.targets import OurTarget, RivalTarget, Target
from samphirerill.testing.layout import Layout


@dataclass(slots=True, frozen=True)
class Bench:
    """One bench; `summary` is one line of help."""

    name: str
    summary: str
    run: Callable[[Target, int], Scene]
    layout: Callable[[], Layout] = build_layout
    nodes: int = 1
    overrides: dict[str, Any] = field(default_factory=dict)


def _build_wide() -> Layout:
    return build_layout(3)


_NOTES = 20


def _build_lagging() -> Layout:
    layout = build_layout(3)
    layout.vm_list_lag_s = 1
    return layout


BENCHES = {
    bench.name: bench
    for bench in (
        Bench(
            'throughput',
            'goodput at the bound; times and processor cost below it',
            scenes.run_throughput,
        ),
        Bench(
            'overhead',
            'what a node adds to direct calls, at 1 to 200 live streams',
            overhead.run_overhead,
            overhead.build_overhead_layout,
        ),
        Bench(
            'overload',
            'twice the bound, priorities and a small account',
            scenes.run_overload,
            scenes.build_overload_layout,
        ),
        Bench(
            'stage-death',
            'a middle stage is killed under load',
            scenes.run_stage_death,
            _build_wide,
        ),
        Bench(
            'silent-link',
            'a first stage goes silent for good',
            scenes.run_silent_link,
            _build_wide,
        ),
        Bench(
            'two-faults',
            'a stage dies and another goes silent in a store outage',
            scenes.run_two_faults,
            _build_wide,
        ),
        Bench(
            'slow-link',
            'a link degrades without warning',
            scenes.run_slow_link,
            _build_wide,
        ),
        Bench(
            'crossed-answers',
            'engines cross answers and repeat tokens',
            scenes.run_crossed,
            _build_wide,
        ),
        Bench(
            'at-most-once',
            'keyed notices sent twice, through faults and an outage',
            state_scenes.run_at_most_once,
            nodes=3,
        ),
        Bench(
            'kv-outage',
            'the key-value service goes and comes back',
            state_scenes.run_kv_outage,
            nodes=2,
        ),
        Bench(
            'patch-race',
            'operators race with patches to one number',
            state_scenes.run_patch_race,
            nodes=8,
        ),
        Bench(
            'leaving',
            'an endpoint leaves under load; the list lags by a second',
            state_scenes.run_leaving,
            _build_lagging,
            nodes=3,
        ),
        Bench(
            'shutdown',
            'one of two nodes is shut down under load',
            state_scenes.run_shutdown,
            nodes=2,
        ),
        Bench(
            'node-kill',
            'one of three nodes is killed without a warning',
            state_scenes.run_node_kill,
            nodes=3,
        ),
        Bench(
            'restart-all',
            'every node is replaced, one by one, under load',
            state_scenes.run_restart_all,
            nodes=3,
        ),
    )
}


def run_bench(
    name: str, seed: int, tell: Callable[[str], None]
) -> dict[str, Any]:
    """Run a bench for our nodes and for the rival; return its document."""
    bench = BENCHES[name]
    tell(f'{name}: our nodes ({bench.nodes})')
    with OurTarget(bench.layout(), bench.nodes, bench.overrides) as ours:
        scene = bench.run(ours, seed)
    tell(f'{name}: the rival')
    with RivalTarget(bench.layout(), bench.nodes) as rival:
        baseline = bench.run(rival, seed)
    return {
        'name': name,
        'seed': seed,
        'violations': scene.verdict.violations,
        'figures': scene.figures,
        'baseline': {
            **baseline.figures,
            'violations': baseline.verdict.violations,
        },
        'notes': scene.verdict.notes[:_NOTES],
    }
