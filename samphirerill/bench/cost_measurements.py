"""Measurements of CPU time, memory and traffic of a node's components.

:mod:`samphirerill.bench.capacity` runs them at several sizes, fits a line
through the results and extrapolates to the planned size.
"""

from __future__ import annotations

import asyncio
import gc
import json
import random
import time
import tracemalloc
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from samphirerill.backends.etcd import EtcdStore
from samphirerill.backends.peers import measure_message
from samphirerill.bench.http_client import (
    ClientRequest,
    RequestResult,
    send_request,
)
from samphirerill.control.claims import (
    ClaimBatch,
    Settlement,
    build_claim,
    build_transaction,
)
from samphirerill.control.configuration_log import Change
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.freshness import ConfigurationFreshness
from samphirerill.control.patches import apply_patch
from samphirerill.core.commands import OpenAttempt, Outcome, WriteClaim
from samphirerill.core.configuration import build_configuration
from samphirerill.core.events import (
    AttemptSent,
    ConfigurationAccepted,
    NodeCountReported,
    RequestArrived,
    TokenArrived,
)
from samphirerill.core.router import Router
from samphirerill.node.gossip import FANOUT, Gossip
from samphirerill.node.health_checks import build_fetch_request
from samphirerill.node.key_index import KeyIndex
from samphirerill.settings.model import StoreSettings
from samphirerill.testing.cluster import Cluster
from samphirerill.testing.engine import FakeEngine
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, build_three_stages

# Also the number of nanoseconds in a millisecond.
US_PER_S = 1_000_000
_STAGES = 4
_LAYERS = 48
_SAMPLES = 300
_TOKENS = 2000


@dataclass(slots=True)
class Line:
    """A fitted line ``base + slope * size``."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.base + self.slope * size


def fit_line(points: dict[float, float]) -> Line:
    """Fit a line by least squares, to three points or more."""
    count = len(points)
    mean_x = sum(points) / count
    mean_y = sum(points.values()) / count
    squared_deviations = sum((size - mean_x) ** 2 for size in points)
    slope = (
        sum((size - mean_x) * (cost - mean_y) for size, cost in points.items())
        / squared_deviations
    )
    return Line(mean_y - slope * mean_x, slope)


def build_configuration_document(
    replicas: int, accounts: int, models: int
) -> dict[str, Any]:
    """Return a configuration with four stages for each model."""
    accelerators = ('h', 'l', 'm', 's')
    step = _LAYERS // _STAGES
    endpoints = {}
    for number in range(replicas):
        stage = number // models % _STAGES
        endpoints[f'e{number}'] = {
            'kind': 'engine',
            'address': f'10.{number // 250}.{number % 250}.1:8000',
            'data_centre': f'dc{number % 7}',
            'accelerator': accelerators[number % 4],
            'model': f'm{number % models}',
            'layers': [step * stage, step * stage + step - 1],
            'slots': 32,
            'layer_ms': 0.1 + 0.05 * (number % 4),
        }
    routes = {
        f'r{number}': {'kind': 'model', 'model': f'm{number}'}
        for number in range(models)
    }
    return {
        'models': {f'm{at}': {'layers': _LAYERS} for at in range(models)},
        'endpoints': endpoints,
        'routes': routes,
        'accounts': {
            f'account-{number}': {
                'keys': [f'sha256:{number:064x}'],
                'routes': list(routes)[:4],
            }
            for number in range(accounts)
        },
        'links': {
            f'dc{one}/dc{two}': 0.25 * (1 + one + two)
            for one in range(7)
            for two in range(one)
        },
    }


def measure_decisions(replicas: int, accounts: int) -> dict[str, float]:
    """Return the router core's CPU time per request and per token, in µs."""
    router = _build_router(replicas, accounts)
    now = 0.0
    request_us = []
    token_us = []
    for number in range(_SAMPLES):
        now += 0.001
        event = RequestArrived(
            f'r{number}',
            f'account-{number % accounts}',
            f'r{number % 4}',
            now + 100,
            tokens=273,
        )
        started = time.process_time_ns()
        commands = router.apply(event, now)
        request_us.append((time.process_time_ns() - started) / 1000)
        attempts = [item for item in commands if isinstance(item, OpenAttempt)]
        router.apply(AttemptSent(attempts[0].attempt_id), now)
        if number < 3:
            token_us.append(_time_tokens(router, attempts[0], now))
    return {
        'request_us': _median(request_us),
        'token_us': _median(token_us),
    }


def measure_core_memory(replicas: int, accounts: int) -> float:
    """Return the memory of a router core and its configuration, in MB."""
    gc.collect()
    tracemalloc.start()
    router = _build_router(replicas, accounts)
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    router.state.deadlines.clear()
    return used / 1_048_576


def measure_change(replicas: int, accounts: int) -> dict[str, float]:
    """Return CPU time and size of a configuration change at one node."""
    document = build_configuration_document(replicas, accounts, 16)
    patch = [
        {'op': 'replace', 'path': '/endpoints/e1/slots', 'value': 16},
    ]
    change = Change(2, 'f' * 32, patch, 'operator', time.time())
    keys = KeyIndex()
    durations = []
    for _ in range(5):
        router = _build_router(replicas, accounts)
        before = router.state.configuration
        started = time.process_time_ns()
        changed = apply_patch(document, patch)
        configuration = build_configuration(changed, 2, before, document)
        if configuration.accounts is not before.accounts:
            keys.rebuild(configuration)
        router.apply(ConfigurationAccepted(configuration), 1)
        durations.append((time.process_time_ns() - started) / US_PER_S)
    return {
        'change_ms': _median(durations),
        'change_bytes': len(json.dumps(change.to_json())),
        'document_bytes': len(json.dumps(document)),
    }


def measure_gossip(nodes: int, seed: int = 0) -> dict[str, float]:
    """Simulate gossip between many nodes in one process, without sockets.

    Returns the rounds until a change has reached all nodes, and the bytes and
    the CPU time of one node in one round.
    """
    rng = random.Random(seed)  # noqa: S311
    gossips = [_build_gossip(number) for number in range(nodes)]
    for gossip in gossips:
        gossip.follower.view.replace_document(1, {'seen': []})
    patch = [{'op': 'add', 'path': '/seen/-', 'value': 1}]
    gossips[0].follower.apply_change(Change(2, 'f' * 32, patch, 'operator', 0))
    rounds = 0
    total_bytes = 0
    started = time.process_time_ns()
    while any(item.follower.view.version < 2 for item in gossips):
        rounds += 1
        for gossip in gossips:
            for peer in rng.sample(gossips, FANOUT):
                total_bytes += gossip.exchange_with(peer)
    spent_us = (time.process_time_ns() - started) / 1000
    return {
        'rounds': rounds,
        'bytes_a_round': total_bytes / rounds / nodes,
        'us_a_round': spent_us / rounds / nodes,
    }


def measure_idle(nodes: int, seconds: float = 8.0) -> dict[str, float]:
    """Return CPU use, memory and store calls of one idle node."""
    with Cluster(build_three_stages(), nodes) as cluster:
        time.sleep(2)
        store = cluster.addresses['kv']
        before = cluster.read_stats(store)['calls']
        cpu_before_s = [node.read_state()['cpu_s'] for node in cluster.nodes]
        time.sleep(seconds)
        durations = [
            node.read_state()['cpu_s'] - before_s
            for node, before_s in zip(cluster.nodes, cpu_before_s, strict=True)
        ]
        after = cluster.read_stats(store)['calls']
        memory = [
            node.read_state()['max_memory_bytes'] for node in cluster.nodes
        ]
    node_seconds = nodes * seconds
    return {
        'cpu_share': sum(durations) / node_seconds,
        'reads_s': (after.get('reads', 0) - before.get('reads', 0))
        / node_seconds,
        'writes_s': (after.get('writes', 0) - before.get('writes', 0))
        / node_seconds,
        'memory_mb': max(memory) / 1_048_576,
    }


def measure_full_node(seconds: float = 8.0) -> dict[str, float]:
    """Return CPU use and memory of a node with the whole planned fleet.

    The address of all endpoints is a closed local port, so every load poll
    fails at once.
    """
    document = build_configuration_document(770, 1100, 16)
    for endpoint in document['endpoints'].values():
        endpoint['address'] = '127.0.0.1:9'
    with Cluster(build_three_stages(), 1) as cluster:
        node = cluster.nodes[0]
        cluster.submit([{'op': 'replace', 'path': '', 'value': document}])
        cluster.wait_ready(cluster.version)
        time.sleep(2)
        cpu_before_s = node.read_state()['cpu_s']
        time.sleep(seconds)
        state = node.read_state()
    return {
        'cpu_share': (state['cpu_s'] - cpu_before_s) / seconds,
        'memory_mb': state['max_memory_bytes'] / 1_048_576,
    }


def measure_polls() -> dict[str, float]:
    """Return the bytes of a load poll and of an entry of the VM list."""
    return asyncio.run(_measure_polls())


def measure_streams(streams: int, tokens: int) -> dict[str, float]:
    """Return the CPU time and memory of one node for concurrent streams."""
    layout = build_three_stages(2, slots=streams, step_ms=26)
    with Cluster(layout, 1) as cluster:
        node = cluster.nodes[0]
        before = node.read_state()
        started = time.monotonic()
        results = asyncio.run(_run_streams(node.callers, streams, tokens))
        wall_s = time.monotonic() - started
        after = node.read_state()
    return {
        'cpu_s': after['cpu_s'] - before['cpu_s'],
        'wall_s': wall_s,
        'tokens': sum(len(item.texts) for item in results),
        'memory_mb': after['max_memory_bytes'] / 1_048_576,
    }


def measure_claim_batch(size: int) -> dict[str, float]:
    """Return bytes and calls to store a batch of claims and their outcomes."""
    claims = [
        build_claim(
            WriteClaim(f'{at:032x}', 'viti', 'notices', f'k{at}', 'f' * 64),
            'n1-12345678',
            '/samphirerill/',
        )
        for at in range(size)
    ]
    answer = {'status': 200, 'headers': [], 'body': 'x' * 400}
    settlements = [
        Settlement(claim, Outcome.ANSWERED, answer) for claim in claims
    ]
    store = _CountingStore()
    store.commit(build_transaction(ClaimBatch(claims, []), ''))
    store.commit(build_transaction(ClaimBatch([], settlements), ''))
    return {'bytes': store.bytes_sent, 'calls': store.calls}


class _CountingStore(EtcdStore):
    """Store client that counts calls and bytes instead of sending them."""

    def __init__(self) -> None:
        super().__init__(StoreSettings())
        self.bytes_sent = 0
        self.calls = 0

    def _call(self, path: str, payload: dict[str, Any]) -> dict[str, Any]:
        self.bytes_sent += len(json.dumps(payload))
        self.calls += 1
        return {'succeeded': True, 'header': {'revision': '1'}}


class _LocalGossip(Gossip):
    """Gossip of a node that exchanges messages without sockets."""

    def __init__(self, node: Any, follower: Any) -> None:
        self.follower = follower
        self._node = node
        self._follower = follower
        self._peer_statuses = {}

    def exchange_with(self, other: _LocalGossip) -> int:
        """Exchange messages with another node; return the bytes of both."""
        message = self._build_message()
        reply = other._build_reply(message)  # noqa: SLF001
        self._handle_message(reply)
        return measure_message(message) + measure_message(reply)


def _build_gossip(number: int) -> _LocalGossip:
    view = ConfigurationView()
    router = SimpleNamespace(state=SimpleNamespace(leaving={}, draining=False))
    node = SimpleNamespace(
        node_id=f'node-{number:03}-12345678',
        loop=SimpleNamespace(time=lambda: 0.0),
        router=router,
    )
    follower = SimpleNamespace(
        view=view,
        evidence=ConfigurationFreshness(0),
        apply_change=view.apply_change,
    )
    return _LocalGossip(node, follower)


async def _measure_polls() -> dict[str, float]:
    engine = FakeEngine()
    address = await engine.start('127.0.0.1', 0)
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    request = build_fetch_request('/load', address)
    writer.write(request)
    head = await reader.readuntil(b'\r\n\r\n')
    body = await reader.readuntil(b'}}')
    writer.close()
    entry = {'targets': ['stage-0-1234'], 'labels': {'state': 'live'}}
    return {
        'poll_bytes': len(request) + len(head) + len(body),
        'vm_entry_bytes': len(json.dumps(entry)) + 2,
    }


def _build_router(replicas: int, accounts: int) -> Router:
    router = Router('n1', seed=1)
    document = build_configuration_document(replicas, accounts, 16)
    event = ConfigurationAccepted(build_configuration(document, 1))
    router.apply(event, 0)
    router.apply(NodeCountReported(400), 0)
    return router


def _time_tokens(router: Router, attempt: OpenAttempt, now: float) -> float:
    started = time.process_time_ns()
    for index in range(_TOKENS):
        token = TokenArrived(attempt.attempt_id, attempt.epoch, index, 'press ')
        router.apply(token, now)
    return (time.process_time_ns() - started) / 1000 / _TOKENS


async def _run_streams(
    address: str, streams: int, tokens: int
) -> list[RequestResult]:
    results: list[RequestResult] = []
    tasks = []
    for number in range(streams):
        request = ClientRequest(
            time.monotonic(), f's{number}', tokens, FIRST_ACCOUNT_KEY
        )
        results.append(RequestResult(request))
        tasks.append(
            asyncio.ensure_future(
                send_request(address, request, results[-1], 60)
            )
        )
        await asyncio.sleep(0.01)
    await asyncio.gather(*tasks)
    return results


def _median(samples: list[float]) -> float:
    return sorted(samples)[len(samples) // 2]
