"""A small local cluster for manual experiments, until interrupted."""

from __future__ import annotations

import signal
import sys
import threading

from samphirerill.testing.cluster import Cluster
from samphirerill.testing.layout import (
    ACCOUNT_KEYS,
    OPERATOR_KEY,
    build_three_stages,
)

_NODE_COUNT = 3


def run_playground() -> int:
    """Start fakes and nodes, print their addresses, wait for Ctrl-C."""
    stopped = threading.Event()
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    with Cluster(build_three_stages(), _NODE_COUNT) as cluster:
        for node in cluster.nodes:
            _print_line(f'{node.name}: callers {node.callers}')
            _print_line(f'    operators {node.operators}')
        for account, key in ACCOUNT_KEYS.items():
            _print_line(f'account {account}: key {key}')
        _print_line(f'operators: key {OPERATOR_KEY}')
        _print_line(
            'routes: plans, fittings, lookups, notices (with Idempotency-Key)'
        )
        _print_line('Press Ctrl-C to stop.')
        stopped.wait()
    return 0


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_playground())
