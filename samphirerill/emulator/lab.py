"""The command ``samphirerill lab``: run scenarios in the emulator."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.emulator.ablation import ablate
from samphirerill.emulator.event_loop import EventLoop
from samphirerill.emulator.scenario import load_scenario
from samphirerill.emulator.simulation import build_fleet, run_scenario
from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.planner import group_by_data_centre
from samphirerill.fleet.rates import predict_event_ms, predict_rate
from samphirerill.fleet.rebalancing import build_pipeline
from samphirerill.fleet.redundancy import list_uncovered

if TYPE_CHECKING:
    import argparse

    from samphirerill.emulator.scenario import Scenario
    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import LayerRange, Replica

_STREAM_COUNT = 20


def add_lab_options(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands and their options."""
    subcommands = parser.add_subparsers(required=True, metavar='VERB')
    run = subcommands.add_parser('run', help='run a scenario')
    compare = subcommands.add_parser(
        'compare', help='run two scenarios and compare them'
    )
    plan = subcommands.add_parser(
        'plan', help='show the planned pipelines of a scenario'
    )
    for subcommand, names in ((run, 'S'), (compare, 'AB'), (plan, 'S')):
        for name in names:
            subcommand.add_argument(f'scenario_{name.lower()}', metavar=name)
        subcommand.add_argument('--seed', type=int, default=0)
        subcommand.add_argument('--json', action='store_true')
    ablation = subcommands.add_parser(
        'ablate', help='measure the effect of disabling each mechanism'
    )
    ablation.add_argument('scenario_s', metavar='S')
    ablation.add_argument('--seeds', type=int, default=4, metavar='N')
    ablation.add_argument('--json', action='store_true')
    ablation.set_defaults(command=_ablate)
    run.set_defaults(command=_run)
    compare.set_defaults(command=_compare)
    plan.set_defaults(command=_plan)


def describe_plan(scenario: Scenario) -> list[str]:
    """Return a line for each pipeline: rate, event time, and its parts.

    It also counts the stages that no replica outside the pipelines backs up.
    """
    engine = scenario.build_engine()
    replicas = build_fleet(scenario, EventLoop()).list_replicas()
    lines: list[str] = []
    for data_centre, data_centre_replicas in group_by_data_centre(
        replicas
    ).items():
        chains = [
            chain
            for chain in extract_chains(engine, data_centre_replicas)
            if not chain.gaps
        ]
        backups = _list_backups(data_centre_replicas, chains)
        lines.extend(
            f'{data_centre}: {_describe_pipeline(scenario, chain, backups)}'
            for chain in chains
        )
    return lines


def _list_backups(
    data_centre_replicas: list[Replica], chains: list[Chain]
) -> list[LayerRange]:
    """Return the layers of replicas that are in no pipeline."""
    used = {
        stage.replica.replica_id for chain in chains for stage in chain.stages
    }
    return [
        replica.held
        for replica in data_centre_replicas
        if replica.replica_id not in used
    ]


def _describe_pipeline(
    scenario: Scenario, chain: Chain, backups: list[LayerRange]
) -> str:
    engine = scenario.build_engine()
    pipeline = build_pipeline(chain)
    uncovered = sum(
        bool(list_uncovered(stage.layers, backups)) for stage in chain.stages
    )
    rate = predict_rate(engine, pipeline, scenario.traffic.pause_aim_ms)
    event_ms = predict_event_ms(engine, pipeline, _STREAM_COUNT)
    return (
        f'{rate:.1f} answers/s, {event_ms:.0f} ms an event at {_STREAM_COUNT} '
        f'streams, {uncovered} of {len(chain.stages)} parts not doubled: '
        f'{_describe_parts(pipeline.members)}'
    )


def _describe_parts(parts: list[tuple[Replica, int]]) -> str:
    counts = Counter(
        f'{replica.accelerator} {layers}' for replica, layers in parts
    )
    return ', '.join(f'{count} x {name}' for name, count in counts.items())


def _run(options: argparse.Namespace) -> int:
    metrics = run_scenario(load_scenario(options.scenario_s), options.seed)
    if options.json:
        _print(json.encode(metrics).decode())
        return 0
    for name, metric in metrics.items():
        _print(f'{name:<16} {metric:g}')
    return 0


def _compare(options: argparse.Namespace) -> int:
    first = run_scenario(load_scenario(options.scenario_a), options.seed)
    second = run_scenario(load_scenario(options.scenario_b), options.seed)
    if options.json:
        _print(json.encode([first, second]).decode())
        return 0
    for name, metric in {**second, **first}.items():
        other_value = second.get(name, 0)
        _print(f'{name:<16} {metric:>10g} {other_value:>10g}')
    return 0


def _ablate(options: argparse.Namespace) -> int:
    rows = ablate(load_scenario(options.scenario_s), options.seeds)
    if options.json:
        _print(json.encode(rows).decode())
        return 0
    for name, (mean, deviation) in rows.items():
        _print(f'{name:<20} {mean:.4f}  +- {deviation:.4f}')
    return 0


def _plan(options: argparse.Namespace) -> int:
    lines = describe_plan(load_scenario(options.scenario_s))
    _print(json.encode(lines).decode() if options.json else '\n'.join(lines))
    return 0


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
