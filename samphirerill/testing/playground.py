"""A small fleet on loopback to try things on, until interrupted."""

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

_NODES = 3


def run_playground() -> int:
    """Start stand-ins and nodes, say where they are, wait for Ctrl-C."""
    ended = threading.Event()
    signal.signal(signal.SIGINT, lambda *_: ended.set())
    signal.signal(signal.SIGTERM, lambda *_: ended.set())
    with Cluster(build_three_stages(), _NODES) as cluster:
        for node in cluster.nodes:
            _say(f'{node.name}: callers {node.callers}')
            _say(f'    operators {node.operators}')
        for account, key in ACCOUNT_KEYS.items():
            _say(f'account {account}: key {key}')
        _say(f'operators: key {OPERATOR_KEY}')
        _say('routes: plans, fittings, notices (needs a key), lookups')
        _say('Ctrl-C ends it.')
        ended.wait()
    return 0


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_playground())
