"""The ``bench`` command: list, run, a table and the figures as JSON."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import argparse

EXIT_OK = 0
EXIT_BROKEN = 1
_WIDTH = 28


def add_bench_options(parser: argparse.ArgumentParser) -> None:
    """Add the bench's own commands and options."""
    actions = parser.add_subparsers(required=True, metavar='ACTION')
    listing = actions.add_parser('list', help='name every bench')
    listing.set_defaults(command=_list_benches)
    run = actions.add_parser(
        'run',
        help='run one bench beside the simplest rival',
        description='Starts stand-ins and nodes on loopback. Exits 1 if the '
        'oracle found a promise broken.',
    )
    run.add_argument('name', metavar='NAME')
    run.add_argument('--seed', type=int, default=0, metavar='N')
    run.add_argument('--json', metavar='FILE', help='write the figures there')
    run.add_argument(
        '--plot', metavar='FILE', help='draw the figures (needs matplotlib)'
    )
    run.set_defaults(command=_run_one)


def _list_benches(options: argparse.Namespace) -> int:
    from samphirerill.bench.catalogue import BENCHES

    for bench in BENCHES.values():
        _say(f'{bench.name:<18}{bench.summary}')
    return EXIT_OK


def _run_one(options: argparse.Namespace) -> int:
    from samphirerill.bench.catalogue import BENCHES, run_bench

    if options.name not in BENCHES:
        known = ', '.join(BENCHES)
        sys.stderr.write(f'got bench {options.name!r}, expected {known}\n')
        return EXIT_BROKEN
    document = run_bench(options.name, options.seed, _say)
    print_table(document)
    if options.json:
        with open(options.json, 'w', encoding='utf-8') as stream:
            json.dump(document, stream, indent=1)
    if options.plot:
        from samphirerill.bench.plot import draw_figures

        draw_figures(document, options.plot)
    return EXIT_BROKEN if document['violations'] else EXIT_OK


def print_table(document: dict[str, Any]) -> None:
    """Print a bench's figures beside the rival's."""
    _say(f'{"figure":<{_WIDTH}}{"samphirerill":>14}{"rival":>14}')
    rows = {'violations': document['violations'], **document['figures']}
    for name, figure in rows.items():
        other = document['baseline'].get(name)
        _say(f'{name:<{_WIDTH}}{_show(figure):>14}{_show(other):>14}')
    for note in document['notes']:
        _say(f'note: {note}')


def _show(figure: Any) -> str:
    if figure is None:
        return '-'
    return f'{figure:.4g}' if isinstance(figure, float) else str(figure)


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
