"""Command-line interface of ``samphirerill soak``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from samphirerill.testing.soak.seeds import PLANNED_REGRESSIONS, REGRESSIONS

if TYPE_CHECKING:
    import argparse

_FAULT_DURATION_S = 14.0
_NODE_COUNT = 5
_SEED_COUNT = 10
_SEED_RANGE = 1_000_000


def add_soak_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of ``samphirerill soak``."""
    parser.add_argument(
        '--first',
        type=int,
        default=-1,
        metavar='SEED',
        help='first seed; derived from the clock by default',
    )
    parser.add_argument(
        '--count',
        type=int,
        default=_SEED_COUNT,
        metavar='N',
        help='number of consecutive seeds to run (%(default)s)',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=_FAULT_DURATION_S,
        metavar='S',
        help='duration of fault injection for each seed (%(default)s)',
    )
    parser.add_argument(
        '--nodes',
        type=int,
        default=_NODE_COUNT,
        metavar='N',
        help='number of router nodes (%(default)s)',
    )
    parser.add_argument(
        '--keep',
        default='',
        metavar='DIR',
        help="keep the nodes' logs in DIR, one subdirectory for each seed",
    )
    _add_switches(parser)
    parser.set_defaults(command=_run_soak)


def _add_switches(parser: argparse.ArgumentParser) -> None:
    """Add the options that choose what happens during a run."""
    parser.add_argument(
        '--planned',
        action='store_true',
        help='inject no faults; run planned maintenance in close succession',
    )
    parser.add_argument(
        '--limits',
        action='store_true',
        help='let replicas name request limits meanwhile',
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run the regression seeds instead; others with --planned',
    )
    parser.add_argument(
        '--restores',
        action='store_true',
        help='restore the store from copies now and then',
    )
    parser.add_argument(
        '--cuts',
        action='store_true',
        help='cut nodes off from all replicas now and then',
    )
    parser.add_argument(
        '--watchers',
        action='store_true',
        help='cut the nodes that watch the store off from it, or freeze them',
    )
    parser.add_argument(
        '--load',
        action='store_true',
        help='let one account send more than the engines can run now and then',
    )
    parser.add_argument(
        '--crowds',
        action='store_true',
        help='let crowds of clients send parts of requests',
    )
    parser.add_argument(
        '--stutters',
        action='store_true',
        help='let replicas send copies of responses, whole or cut short',
    )


def _run_soak(options: argparse.Namespace) -> int:
    """Run the selected seeds; return 1 if any violated a guarantee."""
    # Imported here so that other commands do not load the test code.
    from samphirerill.testing.soak.run import run_seeds
    from samphirerill.testing.soak.settings import SoakSettings

    seeds = list(PLANNED_REGRESSIONS if options.planned else REGRESSIONS)
    if not options.regressions:
        first = options.first
        if first < 0:
            first = time.time_ns() % _SEED_RANGE
        seeds = list(range(first, first + options.count))
    settings = SoakSettings(
        options.seconds,
        options.nodes,
        injects_faults=not options.planned,
        names_limits=options.limits,
        restores_store=options.restores,
        cuts_nodes=options.cuts,
        stops_watchers=options.watchers,
        floods=options.load,
        crowds=options.crowds,
        stutters=options.stutters,
    )
    failed = run_seeds(iter(seeds), settings, options.keep)
    return int(failed > 0)
