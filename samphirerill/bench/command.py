"""The command ``samphirerill bench``: list and run benchmarks."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import argparse

EXIT_OK = 0
EXIT_FAILED = 1
_NAME_WIDTH = 28


def add_bench_options(parser: argparse.ArgumentParser) -> None:
    """Add the subcommands and their options."""
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    list_parser = actions.add_parser('list', help='list all benchmarks')
    list_parser.set_defaults(command=_list_benchmarks)
    run_parser = actions.add_parser(
        'run',
        help='run a benchmark and a baseline for comparison',
        description='Starts simulated endpoints and nodes on loopback. Exits 1 '
        'if results violate a guarantee.',
    )
    run_parser.add_argument('name', metavar='NAME')
    run_parser.add_argument('--seed', type=int, default=0, metavar='N')
    run_parser.add_argument(
        '--json', metavar='FILE', help='write the metrics to this file'
    )
    run_parser.add_argument(
        '--plot', metavar='FILE', help='plot the metrics (needs matplotlib)'
    )
    run_parser.set_defaults(command=_run)


def _list_benchmarks(options: argparse.Namespace) -> int:
    from samphirerill.bench.catalogue import BENCHMARKS

    for benchmark in BENCHMARKS.values():
        _print_line(f'{benchmark.name:<18}{benchmark.summary}')
    return EXIT_OK


def _run(options: argparse.Namespace) -> int:
    from samphirerill.bench.catalogue import BENCHMARKS, run_benchmark

    if options.name not in BENCHMARKS:
        known_names = ', '.join(BENCHMARKS)
        sys.stderr.write(
            f'unknown benchmark {options.name!r}, expected {known_names}\n'
        )
        return EXIT_FAILED
    document = run_benchmark(options.name, options.seed, _print_line)
    print_table(document)
    if options.json:
        with open(options.json, 'w', encoding='utf-8') as stream:
            json.dump(document, stream, indent=1)
    if options.plot:
        from samphirerill.bench.plot import plot_metrics

        plot_metrics(document, options.plot)
    return EXIT_FAILED if document['violations'] else EXIT_OK


def print_table(document: dict[str, Any]) -> None:
    """Print the metrics of a benchmark next to those of the baseline."""
    _print_line(f'{"figure":<{_NAME_WIDTH}}{"samphirerill":>14}{"rival":>14}')
    rows = {'violations': document['violations'], **document['figures']}
    for name, metric in rows.items():
        baseline = document['baseline'].get(name)
        _print_line(
            f'{name:<{_NAME_WIDTH}}{_format(metric):>14}{_format(baseline):>14}'
        )
    for note in document['notes']:
        _print_line(f'note: {note}')


def _format(metric: Any) -> str:
    if metric is None:
        return '-'
    return f'{metric:.4g}' if isinstance(metric, float) else str(metric)


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
