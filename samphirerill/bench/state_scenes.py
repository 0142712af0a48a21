"""The benches over kept state: claims, configuration, leaving, shutdown."""

from __future__ import annotations

import json
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

from samphirerill.backends.etcd import EtcdStore
from samphirerill.backends.store import Put, Transaction
from samphirerill.bench.figures import read_p95_s
from samphirerill.bench.load import Caller, Plan
from samphirerill.bench.oracle import Verdict, judge
from samphirerill.bench.scenes import (
    TOKENS,
    Scene,
    count_ideal,
    load_target,
    read_bound,
)
from samphirerill.bench.targets import Target, list_ran
from samphirerill.settings.model import StoreSettings
from samphirerill.testing.clients import (
    Answer,
    CallError,
    call_json,
    call_raw,
)
from samphirerill.testing.cluster import NodeProcess, wait_for
from samphirerill.testing.layout import COACH_KEY, OPERATOR_KEY

if TYPE_CHECKING:
    from collections.abc import Callable

_PLANS = [Caller(COACH_KEY, 'plans', 1)]
_OUTAGE_AT_S = 3.0
_OUTAGE_S = 5.0
_KEYS = 60
_OPERATORS = 4
_PATCHES = 10
_THREADS = 16
_OK = 200
_STEP_S = 0.02
_COUNTER = '/bench/counter'


def run_at_most_once(target: Target, seed: int) -> Scene:
    """Send each keyed notice twice while services and the store misbehave."""
    store = target.cluster.addresses['kv']
    desk = target.cluster.addresses['services']['desk']
    before = _count_writes(target)
    answers = _send_notices(target, f'calm-{seed}', _KEYS)
    target.cluster.control(desk, fault='cut')
    answers += _send_notices(target, f'cut-{seed}', _KEYS // 2)
    target.cluster.control(desk, fault='')
    target.cluster.control(store, lose_replies=5)
    answers += _send_notices(target, f'lost-{seed}', _KEYS // 2)
    writes = _count_writes(target) - before
    target.cluster.control(store, down=True)
    refused = _send_notices(target, f'outage-{seed}', _KEYS // 4)
    target.cluster.control(store, down=False)
    runs = target.cluster.read_stats(desk)
    verdict = Verdict()
    ran = Counter(runs)
    for answer in answers + refused:
        _judge_notice(answer, verdict)
    twice = [key for key, count in ran.items() if count > 1]
    verdict.not_whole += len(twice)
    figures = {
        'runs_max': max(ran.values(), default=0),
        'refused_in_outage': sum(
            1 for answer in refused if answer.outcome == 'not-run'
        ),
        'kv_writes_per_claim': writes / (2 * _KEYS),
        'answered': sum(1 for answer in answers if answer.status == _OK),
    }
    return Scene(figures, verdict)


def run_kv_outage(target: Target, seed: int) -> Scene:
    """Take the key-value service away under load, then bring it back."""
    store = target.cluster.addresses['kv']
    plan = Plan(0.6 * read_bound(2) / TOKENS, 13, TOKENS, _PLANS, seed)
    versions: list[int] = []
    calls: Counter[str] = Counter()

    def outage() -> None:
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

    results = load_target(target, plan, outage, _OUTAGE_AT_S)
    last_s = _OUTAGE_AT_S + _OUTAGE_S
    figures = {
        'goodput_ratio': (
            results.count_tokens(_OUTAGE_AT_S, last_s)
            / count_ideal(results, _OUTAGE_AT_S, last_s)
        ),
        'config_reverts': sum(
            1 for version in versions if version < max(versions, default=0)
        ),
        'calls_in_first_second_back': sum(calls.values()),
    }
    return Scene(figures, judge(results.got, list_ran(target)))


def run_patch_race(target: Target, seed: int) -> Scene:
    """Let operators race to add one to the same number."""
    if target.is_rival:
        return _race_without_versions(target)
    cluster = target.cluster
    accepted: list[float] = []
    in_force: list[float] = []
    lock = threading.Lock()

    def operate(number: int) -> None:
        node = cluster.nodes[number % len(cluster.nodes)]
        for _ in range(_PATCHES):
            version = _add_one(node)
            done = time.monotonic()
            wait_for(
                lambda: all(  # noqa: B023
                    other.is_ready(version)  # noqa: B023
                    for other in cluster.nodes
                ),
                f'version {version} everywhere',
            )
            with lock:
                accepted.append(done)
                in_force.append(time.monotonic() - done)

    _run_threads(operate, _OPERATORS)
    counted = _read_weight(cluster.nodes[0])
    lost = len(accepted) - (counted - 1)
    verdict = Verdict(not_whole=abs(round(lost)))
    return Scene(
        {
            'accepted': len(accepted),
            'lost_updates': lost,
            'in_force_p95_s': read_p95_s(in_force),
        },
        verdict,
    )


def run_leaving(target: Target, seed: int) -> Scene:
    """Mark a first stage as leaving and watch for its last new work."""
    address = target.cluster.addresses['engines']['stage0-0']
    plan = Plan(0.5 * read_bound(3) / TOKENS, 9, TOKENS, _PLANS, seed)
    marked: list[float] = []

    def leave() -> None:
        marked.append(time.monotonic())
        target.cluster.control(
            target.cluster.addresses['vm_list'], **{'stage0-0': 'leaving'}
        )

    results = load_target(target, plan, leave, _OUTAGE_AT_S)
    last = target.cluster.read_stats(address)['last_start']
    figures = {'new_work_after_s': max(0.0, last - marked[0])}
    return Scene(figures, judge(results.got, list_ran(target)))


def run_shutdown(target: Target, seed: int) -> Scene:
    """Ask one of two processes to end under load."""
    plan = Plan(0.5 * read_bound(2) / TOKENS, 8, TOKENS, _PLANS, seed)
    codes: list[int] = []

    def end() -> None:
        codes.append(target.terminate(0))

    results = load_target(target, plan, end, _OUTAGE_AT_S)
    cut = sum(1 for got in results.got if got.broken)
    figures = {
        'cut': cut,
        'exit_code': codes[0],
        'answered_ratio': len(results.list_answered()) / len(results.got),
    }
    return Scene(figures, judge(results.got, list_ran(target)))


def run_node_kill(target: Target, seed: int) -> Scene:
    """Kill one process of three, a third of all, without a warning."""
    plan = Plan(0.5 * read_bound(2) / TOKENS, 8, TOKENS, _PLANS, seed)
    killed: list[str] = []
    results = load_target(
        target, plan, lambda: killed.append(target.kill(0)), _OUTAGE_AT_S
    )
    broken = [got for got in results.got if got.broken]
    elsewhere = [got for got in broken if got.address != killed[0]]
    cut_at = max((got.ended_at for got in broken), default=0)
    figures = {
        'cut_on_killed': len(broken) - len(elsewhere),
        'cut_elsewhere': len(elsewhere),
        'recovery_s': max(0.0, cut_at - results.started_at - _OUTAGE_AT_S),
        'answered_ratio': len(results.list_answered()) / len(results.got),
    }
    others = [got for got in results.got if got.address != killed[0]]
    return Scene(figures, judge(others, list_ran(target)))


def run_restart_all(target: Target, seed: int) -> Scene:
    """Replace every process, one by one, under load."""
    plan = Plan(0.5 * read_bound(2) / TOKENS, 14, TOKENS, _PLANS, seed)
    spans: list[float] = []

    def replace_all() -> None:
        started = time.monotonic()
        for _ in range(len(target.list_addresses())):
            target.replace(0)
        spans.append(time.monotonic() - started)

    results = load_target(target, plan, replace_all, 2)
    figures = {
        'recovery_s': spans[0],
        'cut': sum(1 for got in results.got if got.broken),
        'answered_ratio': len(results.list_answered()) / len(results.got),
    }
    return Scene(figures, judge(results.got, list_ran(target)))


def _send_notices(target: Target, name: str, count: int) -> list[Answer]:
    """Send each of many keys twice at once, through different processes."""
    addresses = target.list_addresses()

    def send(number: int) -> Answer:
        key = f'{name}-{number // 2}'
        address = addresses[number % len(addresses)]
        return call_raw(
            address,
            '/svc/notices/pickup',
            COACH_KEY,
            json.dumps({'notice': key}).encode(),
            headers={'Idempotency-Key': key},
            timeout_s=8,
        )

    with ThreadPoolExecutor(_THREADS) as threads:
        return list(threads.map(send, range(2 * count)))


def _judge_notice(answer: Answer, verdict: Verdict) -> None:
    if not answer.outcome and not (answer.status == _OK and answer.body):
        verdict.without_end += 1
        verdict.notes.append(f'a notice without outcome: {answer.status}')


def _count_writes(target: Target) -> int:
    store = target.cluster.addresses['kv']
    calls = target.cluster.read_stats(store)['calls']
    return int(calls.get('/v3/kv/txn', 0))


def _read_versions(target: Target) -> list[int]:
    return [
        int(node.read_state()['core']['configuration_version'])
        for node in target.cluster.nodes
    ]


def _add_one(node: NodeProcess) -> int:
    """Read the number, add one, submit; start over when told it is stale."""
    while True:
        known = call_json(node.operators, '/config', OPERATOR_KEY)
        weight = known['document']['accounts']['tromsvik'].get('weight', 1)
        operation = {
            'op': 'add',
            'path': '/accounts/tromsvik/weight',
            'value': weight + 1,
        }
        order = {'base': known['version'], 'patch': [operation]}
        try:
            answer = call_json(node.operators, '/patch', OPERATOR_KEY, order)
        except CallError as exc:
            if exc.document.get('title') != 'stale base':
                raise
            time.sleep(_STEP_S)
            continue
        return int(answer['version'])


def _read_weight(node: NodeProcess) -> float:
    known = call_json(node.operators, '/config', OPERATOR_KEY)
    return float(known['document']['accounts']['tromsvik'].get('weight', 1))


def _race_without_versions(target: Target) -> Scene:
    """The simplest rival: read, add one, write, with no version compared."""
    store = EtcdStore(
        StoreSettings(addresses=(target.cluster.addresses['kv'],))
    )

    def operate(number: int) -> None:
        for _ in range(_PATCHES):
            found = store.read_prefix(_COUNTER).entries
            count = int(found[0].text) if found else 0
            put = Put(_COUNTER, str(count + 1))
            store.commit(Transaction(puts=[put]))

    _run_threads(operate, _OPERATORS)
    counted = int(store.read_prefix(_COUNTER).entries[0].text)
    accepted = _OPERATORS * _PATCHES
    figures: dict[str, Any] = {
        'accepted': accepted,
        'lost_updates': accepted - counted,
    }
    return Scene(figures, Verdict(not_whole=accepted - counted))


def _run_threads(work: Callable[[int], None], count: int) -> None:
    with ThreadPoolExecutor(count) as threads:
        for done in [threads.submit(work, at) for at in range(count)]:
            done.result()
