"""Demo: a streamed response continues after one of its stages is killed."""

from __future__ import annotations

import sys
import threading
from typing import Any

from samphirerill.testing.clients import ClientResponse, request_completion
from samphirerill.testing.cluster import Cluster
from samphirerill.testing.engine import make_token
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, build_three_stages

_NODE_COUNT = 3
_TOKEN_COUNT = 60
_KILL_AFTER_S = 0.6
Group = tuple[int, int, Any]
_PROMPT = 'Draft a training block after a knee injury.'


def run_demo() -> int:
    """Run the demo; return 0 if each token arrived exactly once."""
    layout = build_three_stages()
    _print_line(f'Starting fake engines and {_NODE_COUNT} nodes on loopback.')
    with Cluster(layout, _NODE_COUNT) as cluster:
        names = {
            address: name
            for name, address in cluster.addresses['engines'].items()
        }
        _print_line('Sending one streamed request and killing a stage in use.')
        kill_timer = threading.Timer(_KILL_AFTER_S, _kill_stage, (cluster,))
        kill_timer.start()
        answer = request_completion(
            cluster.nodes[0].callers,
            FIRST_ACCOUNT_KEY,
            'plans',
            _PROMPT,
            _TOKEN_COUNT,
            headers={'Samphirerill-Trace': '1'},
        )
        kill_timer.join()
    return _report_response(answer, names)


def _kill_stage(cluster: Cluster) -> None:
    """Kill the middle stage that serves the stream."""
    state = cluster.nodes[0].read_state()
    busy = [
        name
        for name, endpoint in state['core']['endpoints'].items()
        if endpoint['in_flight'] and name.startswith('stage1')
    ]
    for name in busy:
        cluster.control(cluster.addresses['engines'][name], die=True)
        _print_line(f'Killed {name}.')


def _report_response(answer: ClientResponse, names: dict[str, str]) -> int:
    _print_line(f'Response: {answer.text}')
    for group in _group_layers(answer.layers):
        _print_line(_describe_group(group, names))
    expected = [make_token(_PROMPT, index) for index in range(_TOKEN_COUNT)]
    is_complete = answer.texts == expected
    was_handed_over = len(_group_layers(answer.layers)) > 1
    _print_line(
        f'Outcome: {answer.outcome}. Every token once, in order: {is_complete}.'
    )
    return (
        0
        if is_complete and was_handed_over and answer.outcome == 'answered'
        else 1
    )


def _describe_group(group: Group, names: dict[str, str]) -> str:
    first, last, stages = group
    description = ', '.join(
        f'{names[address]} ran layers {low}-{high}'
        for address, low, high in stages
    )
    return f'Tokens {first}-{last}: {description}.'


def _group_layers(layers: list[Any]) -> list[Group]:
    """Group consecutive tokens that the same stages ran."""
    groups: list[Group] = []
    for index, stages in enumerate(layers):
        if groups and groups[-1][2] == stages:
            groups[-1] = (groups[-1][0], index, stages)
        else:
            groups.append((index, index, stages))
    return groups


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(run_demo())
