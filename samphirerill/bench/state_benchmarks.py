"""Benchmarks of shared state: claims, configuration, draining, restarts."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from samphirerill.backends.etcd import EtcdStore
from samphirerill.backends.store import Put, Transaction
from samphirerill.bench.latency_metrics import compute_p95_s
from samphirerill.bench.load_generator import LoadAccount, LoadPlan
from samphirerill.bench.oracle import Verdict, check_results
from samphirerill.bench.route_benchmarks import (
    TOKENS,
    BenchmarkResult,
    compute_max_throughput,
    count_ideal_tokens,
    load_target,
)
from samphirerill.bench.targets import Target, list_executed_prompts
from samphirerill.settings.model import StoreSettings
from samphirerill.testing.clients import (
    CallError,
    ClientResponse,
    call_json,
    send_request,
)
from samphirerill.testing.cluster import NodeProcess, wait_for
from samphirerill.testing.layout import FIRST_ACCOUNT_KEY, OPERATOR_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

_ACCOUNTS = [LoadAccount(FIRST_ACCOUNT_KEY, 'plans', 1)]
_FAULT_AT_S = 3.0
_OUTAGE_S = 5.0
_KEY_COUNT = 60
_OPERATOR_COUNT = 4
_PATCHES_PER_OPERATOR = 10
_THREADS = 16
_OK = 200
_RETRY_INTERVAL_S = 0.02
_COUNTER_KEY = '/bench/counter'


def run_at_most_once(target: Target, seed: int) -> BenchmarkResult:
    """Send each request with an idempotency key twice, during faults."""
    store = target.cluster.addresses['kv']
    service = target.cluster.addresses['services']['desk']
    before = _count_writes(target)
    answers = _send_keyed_requests(target, f'calm-{seed}', _KEY_COUNT)
    target.cluster.control(service, fault='cut')
    answers += _send_keyed_requests(target, f'cut-{seed}', _KEY_COUNT // 2)
    target.cluster.control(service, fault='')
    target.cluster.control(store, lose_replies=5)
    answers += _send_keyed_requests(target, f'lost-{seed}', _KEY_COUNT // 2)
    writes = _count_writes(target) - before
    target.cluster.control(store, down=True)
    refused = _send_keyed_requests(target, f'outage-{seed}', _KEY_COUNT // 4)
    target.cluster.control(store, down=False)
    executed_keys = target.cluster.read_stats(service)
    verdict = Verdict()
    executions = Counter(executed_keys)
    for answer in answers + refused:
        _check_outcome(answer, verdict)
    duplicates = [key for key, count in executions.items() if count > 1]
    verdict.incomplete += len(duplicates)
    metrics = {
        'runs_max': max(executions.values(), default=0),
        'refused_in_outage': sum(
            1 for answer in refused if answer.outcome == 'not-run'
        ),
        'kv_writes_per_claim': writes / (2 * _KEY_COUNT),
        'answered': sum(1 for answer in answers if answer.status == _OK),
    }
    return BenchmarkResult(metrics, verdict)


def run_store_outage(target: Target, seed: int) -> BenchmarkResult:
    """Make the key-value store unavailable for a while under load."""
    store = target.cluster.addresses['kv']
    plan = LoadPlan(
        0.6 * compute_max_throughput(2) / TOKENS, 13, TOKENS, _ACCOUNTS, seed
    )
    versions: list[int] = []
    calls: Counter[str] = Counter()

    def inject_outage() -> None:
        versions.extend(_read_versions(target))
        target.cluster.control(store, down=True)
        time.sleep(_OUTAGE_S)
        versions.extend(_read_versions(target))
        before = target.cluster.read_stats(store)['calls']
        target.cluster.control(store, down=False)
        time.sleep(1)
        after = target.cluster.read_stats(store)['calls']
        for kind in ('reads', 'writes'):
            calls[kind] = after.get(kind, 0) - before.get(kind, 0)
        versions.extend(_read_versions(target))

    run = load_target(target, plan, inject_outage, _FAULT_AT_S)
    last_s = _FAULT_AT_S + _OUTAGE_S
    metrics = {
        'goodput_ratio': (
            run.count_tokens(_FAULT_AT_S, last_s)
            / count_ideal_tokens(run, _FAULT_AT_S, last_s)
        ),
        'config_reverts': sum(
            1 for version in versions if version < max(versions, default=0)
        ),
        'calls_in_first_second_back': sum(calls.values()),
    }
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def run_patch_race(target: Target, seed: int) -> BenchmarkResult:
    """Let operators increment the same number concurrently."""
    if target.is_baseline:
        return _race_without_version_check(target)
    cluster = target.cluster
    accepted: list[float] = []
    propagation_times_s: list[float] = []
    lock = threading.Lock()

    def submit_patches(number: int) -> None:
        node = cluster.nodes[number % len(cluster.nodes)]
        for _ in range(_PATCHES_PER_OPERATOR):
            version = _increment_number(node)
            accepted_at = time.monotonic()
            wait_for(
                lambda: all(  # noqa: B023
                    other.is_ready(version)  # noqa: B023
                    for other in cluster.nodes
                ),
                f'version {version} everywhere',
            )
            with lock:
                accepted.append(accepted_at)
                propagation_times_s.append(time.monotonic() - accepted_at)

    _run_threads(submit_patches, _OPERATOR_COUNT)
    final_value = _read_number(cluster.nodes[0])
    lost = len(accepted) - (final_value - 1)
    verdict = Verdict(incomplete=abs(round(lost)))
    return BenchmarkResult(
        {
            'accepted': len(accepted),
            'lost_updates': lost,
            'in_force_p95_s': compute_p95_s(propagation_times_s),
        },
        verdict,
    )


def run_draining(target: Target, seed: int) -> BenchmarkResult:
    """Drain a replica of the first stage; find when it last got a request."""
    address = target.cluster.addresses['engines']['stage0-0']
    plan = LoadPlan(
        0.5 * compute_max_throughput(3) / TOKENS, 9, TOKENS, _ACCOUNTS, seed
    )
    drained_at: list[float] = []

    def start_draining() -> None:
        drained_at.append(time.monotonic())
        target.cluster.control(
            target.cluster.addresses['vm_list'], **{'stage0-0': 'leaving'}
        )

    run = load_target(target, plan, start_draining, _FAULT_AT_S)
    last_start = target.cluster.read_stats(address)['last_start']
    metrics = {'new_work_after_s': max(0.0, last_start - drained_at[0])}
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def run_shutdown(target: Target, seed: int) -> BenchmarkResult:
    """Shut down one of two processes gracefully under load."""
    plan = LoadPlan(
        0.5 * compute_max_throughput(2) / TOKENS, 8, TOKENS, _ACCOUNTS, seed
    )
    exit_codes: list[int] = []

    def terminate_node() -> None:
        exit_codes.append(target.terminate(0))

    run = load_target(target, plan, terminate_node, _FAULT_AT_S)
    cut = sum(1 for result in run.results if result.is_broken)
    metrics = {
        'cut': cut,
        'exit_code': exit_codes[0],
        'answered_ratio': len(run.list_answered()) / len(run.results),
    }
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def run_node_kill(target: Target, seed: int) -> BenchmarkResult:
    """Kill one of three processes under load."""
    plan = LoadPlan(
        0.5 * compute_max_throughput(2) / TOKENS, 8, TOKENS, _ACCOUNTS, seed
    )
    killed_addresses: list[str] = []
    run = load_target(
        target,
        plan,
        lambda: killed_addresses.append(target.kill(0)),
        _FAULT_AT_S,
    )
    broken = [result for result in run.results if result.is_broken]
    broken_elsewhere = [
        result for result in broken if result.address != killed_addresses[0]
    ]
    last_broken_at = max((result.ended_at for result in broken), default=0)
    metrics = {
        'cut_on_killed': len(broken) - len(broken_elsewhere),
        'cut_elsewhere': len(broken_elsewhere),
        'recovery_s': max(0.0, last_broken_at - run.started_at - _FAULT_AT_S),
        'answered_ratio': len(run.list_answered()) / len(run.results),
    }
    other_results = [
        result
        for result in run.results
        if result.address != killed_addresses[0]
    ]
    return BenchmarkResult(
        metrics, check_results(other_results, list_executed_prompts(target))
    )


def run_restart_all(target: Target, seed: int) -> BenchmarkResult:
    """Replace all processes one after another under load."""
    plan = LoadPlan(
        0.5 * compute_max_throughput(2) / TOKENS, 14, TOKENS, _ACCOUNTS, seed
    )
    durations_s: list[float] = []

    def replace_all() -> None:
        started = time.monotonic()
        for _ in range(len(target.list_addresses())):
            target.replace(0)
        durations_s.append(time.monotonic() - started)

    run = load_target(target, plan, replace_all, 2)
    metrics = {
        'recovery_s': durations_s[0],
        'cut': sum(1 for result in run.results if result.is_broken),
        'answered_ratio': len(run.list_answered()) / len(run.results),
    }
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def _send_keyed_requests(
    target: Target, name: str, count: int
) -> list[ClientResponse]:
    """Send a request for each key twice at once, to different processes."""
    addresses = target.list_addresses()

    def send(number: int) -> ClientResponse:
        key = f'{name}-{number // 2}'
        address = addresses[number % len(addresses)]
        return send_request(
            address,
            '/svc/notices/pickup',
            FIRST_ACCOUNT_KEY,
            json.dumps({'notice': key}).encode(),
            headers={'Idempotency-Key': key},
            timeout_s=8,
        )

    with ThreadPoolExecutor(_THREADS) as threads:
        return list(threads.map(send, range(2 * count)))


def _check_outcome(answer: ClientResponse, verdict: Verdict) -> None:
    if not answer.outcome and not (answer.status == _OK and answer.body):
        verdict.missing_outcomes += 1
        verdict.notes.append(
            f'response without an outcome, status {answer.status}'
        )


def _count_writes(target: Target) -> int:
    store = target.cluster.addresses['kv']
    calls = target.cluster.read_stats(store)['calls']
    return int(calls.get('/v3/kv/txn', 0))


def _read_versions(target: Target) -> list[int]:
    return [
        int(node.read_state()['core']['configuration_version'])
        for node in target.cluster.nodes
    ]


def _increment_number(node: NodeProcess) -> int:
    """Increment the number; retry if another patch was accepted meanwhile."""
    while True:
        configuration = call_json(node.operators, '/config', OPERATOR_KEY)
        weight = configuration['document']['accounts']['tromsvik'].get(
            'weight', 1
        )
        operation = {
            'op': 'add',
            'path': '/accounts/tromsvik/weight',
            'value': weight + 1,
        }
        request = {'base': configuration['version'], 'patch': [operation]}
        try:
            answer = call_json(node.operators, '/patch', OPERATOR_KEY, request)
        except CallError as exc:
            if exc.document.get('title') != 'stale base':
                raise
            time.sleep(_RETRY_INTERVAL_S)
            continue
        return int(answer['version'])


def _read_number(node: NodeProcess) -> float:
    configuration = call_json(node.operators, '/config', OPERATOR_KEY)
    return float(
        configuration['document']['accounts']['tromsvik'].get('weight', 1)
    )


def _race_without_version_check(target: Target) -> BenchmarkResult:
    """Baseline: read, increment and write without comparing versions."""
    store = EtcdStore(
        StoreSettings(addresses=(target.cluster.addresses['kv'],))
    )

    def submit_patches(number: int) -> None:
        for _ in range(_PATCHES_PER_OPERATOR):
            entries = store.read_prefix(_COUNTER_KEY).entries
            count = int(entries[0].stored_value) if entries else 0
            put = Put(_COUNTER_KEY, str(count + 1))
            store.commit(Transaction(puts=[put]))

    _run_threads(submit_patches, _OPERATOR_COUNT)
    final_value = int(store.read_prefix(_COUNTER_KEY).entries[0].stored_value)
    accepted = _OPERATOR_COUNT * _PATCHES_PER_OPERATOR
    metrics: dict[str, Any] = {
        'accepted': accepted,
        'lost_updates': accepted - final_value,
    }
    return BenchmarkResult(metrics, Verdict(incomplete=accepted - final_value))


def _run_threads(function: Callable[[int], None], count: int) -> None:
    with ThreadPoolExecutor(count) as threads:
        for future in [
            threads.submit(function, index) for index in range(count)
        ]:
            future.result()
