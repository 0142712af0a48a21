"""The demonstration: a streamed answer that outlives one of its stages."""

from __future__ import annotations

import sys
import threading
from typing import Any

from samphirerill.testing.clients import Answer, complete
from samphirerill.testing.cluster import Cluster
from samphirerill.testing.engine import make_token
from samphirerill.testing.layout import COACH_KEY, build_three_stages

_NODES = 3
_TOKENS = 60
_KILL_AFTER_S = 0.6
Group = tuple[int, int, Any]
_PROMPT = 'Draft a training block after a knee injury.'


def run_demo() -> int:
    """Run the demonstration; return 0 if each token came exactly once."""
    layout = build_three_stages()
    _say(f'Starting stand-ins and {_NODES} nodes on loopback.')
    with Cluster(layout, _NODES) as cluster:
        names = {
            address: name
            for name, address in cluster.addresses['engines'].items()
        }
        _say('One streamed request; a stage in use is killed halfway.')
        killer = threading.Timer(_KILL_AFTER_S, _kill_stage, (cluster,))
        killer.start()
        answer = complete(
            cluster.nodes[0].callers,
            COACH_KEY,
            'plans',
            _PROMPT,
            _TOKENS,
            headers={'Samphirerill-Trace': '1'},
        )
        killer.join()
    return _report(answer, names)


def _kill_stage(cluster: Cluster) -> None:
    """Kill the middle stage that the stream runs through."""
    state = cluster.nodes[0].read_state()
    busy = [
        name
        for name, endpoint in state['core']['endpoints'].items()
        if endpoint['in_flight'] and name.startswith('stage1')
    ]
    for name in busy:
        cluster.control(cluster.addresses['engines'][name], die=True)
        _say(f'Killed {name}.')


def _report(answer: Answer, names: dict[str, str]) -> int:
    _say(f'Answer: {answer.text}')
    for group in _group_layers(answer.layers):
        _say(_describe_group(group, names))
    expected = [make_token(_PROMPT, index) for index in range(_TOKENS)]
    whole = answer.texts == expected
    moved = len(_group_layers(answer.layers)) > 1
    _say(f'Outcome: {answer.outcome}. Every token once, in order: {whole}.')
    return 0 if whole and moved and answer.outcome == 'answered' else 1


def _describe_group(group: Group, names: dict[str, str]) -> str:
    first, last, stages = group
    shown = ', '.join(
        f'{names[address]} ran layers {low}-{high}'
        for address, low, high in stages
    )
    return f'Tokens {first}-{last}: {shown}.'


def _group_layers(layers: list[Any]) -> list[Group]:
    """Join neighbouring tokens that the same stages ran."""
    groups: list[Group] = []
    for index, stages in enumerate(layers):
        if groups and groups[-1][2] == stages:
            groups[-1] = (groups[-1][0], index, stages)
        else:
            groups.append((index, index, stages))
    return groups


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_demo())
