"""The command ``samphirerill soak``."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from samphirerill.testing.soak.seeds import REGRESSIONS

if TYPE_CHECKING:
    import argparse

_LENGTH_S = 14.0
_COUNT = 10
_SEEDS = 1_000_000


def add_soak_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the command."""
    parser.add_argument(
        '--first',
        type=int,
        default=-1,
        metavar='SEED',
        help='the first seed; by default a fresh one',
    )
    parser.add_argument(
        '--count',
        type=int,
        default=_COUNT,
        metavar='N',
        help='how many seeds, one after another (%(default)s)',
    )
    parser.add_argument(
        '--seconds',
        type=float,
        default=_LENGTH_S,
        metavar='S',
        help='how long faults last for each seed (%(default)s)',
    )
    parser.add_argument(
        '--regressions',
        action='store_true',
        help='run the seeds that once broke a promise instead',
    )
    parser.add_argument(
        '--keep',
        default='',
        metavar='DIR',
        help="keep the nodes' logs there, a folder for each seed",
    )
    parser.set_defaults(command=_soak)


def _soak(options: argparse.Namespace) -> int:
    """Return 1 if any seed broke a promise."""
    # The stand-ins are loaded only for this command.
    from samphirerill.testing.soak.run import run_seeds

    seeds = list(REGRESSIONS)
    if not options.regressions:
        first = options.first
        if first < 0:
            first = time.time_ns() % _SEEDS
        seeds = list(range(first, first + options.count))
    failed = run_seeds(iter(seeds), options.seconds, options.keep)
    return int(failed > 0)
