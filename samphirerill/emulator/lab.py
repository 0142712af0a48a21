"""The command ``samphirerill lab``: run, compare, plan."""

from __future__ import annotations

import sys
from collections import Counter
from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.emulator.ablation import ablate
from samphirerill.emulator.agenda import Agenda
from samphirerill.emulator.play import build_fleet, play
from samphirerill.emulator.scenario import load_scenario
from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.doubling import list_uncovered
from samphirerill.fleet.migration import build_pipeline
from samphirerill.fleet.planner import group_by_zone
from samphirerill.fleet.rates import predict_event_ms, predict_rate

if TYPE_CHECKING:
    import argparse

    from samphirerill.emulator.scenario import Scenario
    from samphirerill.fleet.chains import Chain
    from samphirerill.fleet.model import LayerRange, Replica

_SHOWN_AT = 20


def add_lab_options(parser: argparse.ArgumentParser) -> None:
    """Add the verbs of the command."""
    verbs = parser.add_subparsers(required=True, metavar='VERB')
    run = verbs.add_parser('run', help='play a scenario')
    compare = verbs.add_parser('compare', help='play two, side by side')
    plan = verbs.add_parser('plan', help='show the placement of a scenario')
    for verb, names in ((run, 'S'), (compare, 'AB'), (plan, 'S')):
        for name in names:
            verb.add_argument(f'scenario_{name.lower()}', metavar=name)
        verb.add_argument('--seed', type=int, default=0)
        verb.add_argument('--json', action='store_true')
    ablate = verbs.add_parser('ablate', help='switch off each mechanism')
    ablate.add_argument('scenario_s', metavar='S')
    ablate.add_argument('--seeds', type=int, default=4, metavar='N')
    ablate.add_argument('--json', action='store_true')
    ablate.set_defaults(command=_ablate)
    run.set_defaults(command=_run)
    compare.set_defaults(command=_compare)
    plan.set_defaults(command=_plan)


def describe_plan(scenario: Scenario) -> list[str]:
    """Return a line for each pipeline: its rate, its parts, what is exposed."""
    engine = scenario.build_engine()
    held = build_fleet(scenario, Agenda()).list_held()
    lines: list[str] = []
    for zone, cards in group_by_zone(held).items():
        chains = [
            chain for chain in extract_chains(engine, cards) if not chain.gaps
        ]
        doubles = _list_doubles(cards, chains)
        lines.extend(
            f'{zone}: {_describe_pipeline(scenario, chain, doubles)}'
            for chain in chains
        )
    return lines


def _list_doubles(
    cards: list[Replica], chains: list[Chain]
) -> list[LayerRange]:
    """Return what replicas hold that no pipeline needs."""
    used = {
        stage.replica.replica_id for chain in chains for stage in chain.stages
    }
    return [card.held for card in cards if card.replica_id not in used]


def _describe_pipeline(
    scenario: Scenario, chain: Chain, doubles: list[LayerRange]
) -> str:
    engine = scenario.build_engine()
    pipeline = build_pipeline(chain)
    exposed = sum(
        bool(list_uncovered(stage.layers, doubles)) for stage in chain.stages
    )
    rate = predict_rate(engine, pipeline, scenario.traffic.pause_aim_ms)
    event_ms = predict_event_ms(engine, pipeline, _SHOWN_AT)
    return (
        f'{rate:.1f} answers/s, {event_ms:.0f} ms an event at {_SHOWN_AT} '
        f'streams, {exposed} of {len(chain.stages)} parts not doubled: '
        f'{_describe_parts(pipeline.parts)}'
    )


def _describe_parts(parts: list[tuple[Replica, int]]) -> str:
    counts = Counter(
        f'{replica.accelerator} {layers}' for replica, layers in parts
    )
    return ', '.join(f'{count} x {name}' for name, count in counts.items())


def _run(options: argparse.Namespace) -> int:
    figures = play(load_scenario(options.scenario_s), options.seed)
    if options.json:
        _print(json.encode(figures).decode())
        return 0
    for name, figure in figures.items():
        _print(f'{name:<16} {figure:g}')
    return 0


def _compare(options: argparse.Namespace) -> int:
    one = play(load_scenario(options.scenario_a), options.seed)
    other = play(load_scenario(options.scenario_b), options.seed)
    if options.json:
        _print(json.encode([one, other]).decode())
        return 0
    for name, figure in {**other, **one}.items():
        beside = other.get(name, 0)
        _print(f'{name:<16} {figure:>10g} {beside:>10g}')
    return 0


def _ablate(options: argparse.Namespace) -> int:
    rows = ablate(load_scenario(options.scenario_s), options.seeds)
    if options.json:
        _print(json.encode(rows).decode())
        return 0
    for name, (mean, spread) in rows.items():
        _print(f'{name:<20} {mean:.4f}  +- {spread:.4f}')
    return 0


def _plan(options: argparse.Namespace) -> int:
    lines = describe_plan(load_scenario(options.scenario_s))
    _print(json.encode(lines).decode() if options.json else '\n'.join(lines))
    return 0


def _print(text: str) -> None:
    sys.stdout.write(f'{text}\n')
