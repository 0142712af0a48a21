"""Benchmarks of model routes: throughput, overload and endpoint faults."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from samphirerill.bench.latency_metrics import (
    compute_p95_s,
    list_interruptions,
    list_token_gaps,
)
from samphirerill.bench.load_generator import (
    LoadAccount,
    LoadPlan,
    LoadRun,
    run_load,
)
from samphirerill.bench.oracle import Verdict, check_results
from samphirerill.bench.targets import Target, list_executed_prompts
from samphirerill.edges.operator_api import hash_api_key
from samphirerill.testing.layout import (
    FIRST_ACCOUNT_KEY,
    SECOND_ACCOUNT_KEY,
    Layout,
    build_three_stages,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 24
STEP_MS = 26.0
TOKENS = 100
SMALL_ACCOUNT_KEY = 'small-key'
_WARM_UP_S = 3.0
_MIN_INTERRUPTION_S = 0.045
_ACCOUNTS = [LoadAccount(FIRST_ACCOUNT_KEY, 'plans', 1)]


@dataclass(slots=True)
class BenchmarkResult:
    """Result of one run of a benchmark.

    `metrics` are specific to the benchmark; `verdict` counts violations.
    """

    metrics: dict[str, Any]
    verdict: Verdict


def build_layout(replicas: int = 2, **shape: Any) -> Layout:
    """Return the default layout: three stages with `replicas` each."""
    return build_three_stages(replicas, slots=SLOTS, step_ms=STEP_MS, **shape)


def compute_max_throughput(replicas: int) -> float:
    """Return the maximum rate of the simulated engines, in tokens a second."""
    return replicas * SLOTS * 1000 / STEP_MS


def run_throughput(target: Target, seed: int) -> BenchmarkResult:
    """Measure latency at 70 % of the maximum rate, then goodput above it."""
    max_tokens_per_s = compute_max_throughput(2)
    cpu_before_s = target.read_cpu_s()
    normal_load = load_target(
        target,
        LoadPlan(0.7 * max_tokens_per_s / TOKENS, 8, TOKENS, _ACCOUNTS, seed),
    )
    used_cpu_s = target.read_cpu_s() - cpu_before_s
    tokens = sum(len(result.texts) for result in normal_load.results)
    full_load = load_target(
        target,
        LoadPlan(
            1.2 * max_tokens_per_s / TOKENS, 12, TOKENS, _ACCOUNTS, seed, 'full'
        ),
    )
    metrics = {
        'goodput_ratio': _compute_goodput(full_load, max_tokens_per_s, 12),
        'cpu_us_per_token': used_cpu_s * 1e6 / max(1, tokens),
        'first_token_p95_s': compute_p95_s(
            result.first_token_s for result in normal_load.list_answered()
        ),
        'token_gap_p95_ms': 1000
        * compute_p95_s(list_token_gaps(normal_load.results)),
    }
    return BenchmarkResult(
        metrics,
        check_results(
            normal_load.results + full_load.results,
            list_executed_prompts(target),
        ),
    )


def run_overload(target: Target, seed: int) -> BenchmarkResult:
    """Request twice the maximum rate, mostly for one large account."""
    max_tokens_per_s = compute_max_throughput(2)
    accounts = [
        LoadAccount(FIRST_ACCOUNT_KEY, 'plans', 0.7),
        LoadAccount(SECOND_ACCOUNT_KEY, 'fittings', 0.1),
        LoadAccount(SMALL_ACCOUNT_KEY, 'plans', 0.2),
    ]
    plan = LoadPlan(2 * max_tokens_per_s / TOKENS, 12, TOKENS, accounts, seed)
    run = load_target(target, plan)
    high_priority = [
        result
        for result in run.list_answered()
        if result.request.route == 'fittings'
    ]
    refused = [result for result in run.results if result.outcome == 'not-run']
    metrics = {
        'goodput_ratio': _compute_goodput(run, max_tokens_per_s, plan.seconds),
        'high_priority_p95_s': compute_p95_s(
            result.first_token_s for result in high_priority
        ),
        'refused_not_run': len(refused),
        'smallest_account_share': _compute_fair_share_ratio(
            run, SMALL_ACCOUNT_KEY
        ),
    }
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def run_stage_death(target: Target, seed: int) -> BenchmarkResult:
    """Kill a replica of the middle stage under load."""
    return _run_with_fault(
        target,
        seed,
        lambda: target.cluster.control(
            _get_address(target, 'stage1-0'), die=True
        ),
        reports_completion=True,
    )


def run_silent_link(target: Target, seed: int) -> BenchmarkResult:
    """Make a replica of the first stage accept requests and never answer."""
    return _run_with_fault(
        target,
        seed,
        lambda: target.cluster.control(
            _get_address(target, 'stage0-0'), frozen=True
        ),
        reports_completion=False,
    )


def run_two_faults(target: Target, seed: int) -> BenchmarkResult:
    """Kill one replica and freeze another at once during a store outage."""

    def inject_faults() -> None:
        target.cluster.control(target.cluster.addresses['kv'], down=True)
        target.cluster.control(_get_address(target, 'stage0-0'), frozen=True)
        target.cluster.control(_get_address(target, 'stage1-0'), die=True)

    return _run_with_fault(target, seed, inject_faults, reports_completion=True)


def run_slow_link(target: Target, seed: int) -> BenchmarkResult:
    """Add 120 ms of latency to the link of a middle-stage replica."""
    max_tokens_per_s = compute_max_throughput(3)
    plan = LoadPlan(
        0.5 * max_tokens_per_s / TOKENS, 12, TOKENS, _ACCOUNTS, seed
    )
    slow_replica = 'stage1-0'
    fault_times: list[float] = []

    def slow_down_link() -> None:
        target.cluster.control(_get_address(target, slow_replica), link_ms=120)
        fault_times.append(time.monotonic())

    run = load_target(target, plan, slow_down_link, _WARM_UP_S)
    slow_token_times = [
        later
        for result in run.results
        for earlier, later in zip(
            result.token_times, result.token_times[1:], strict=False
        )
        if later - earlier > 0.1 and later > fault_times[0]
    ]
    first_s = _WARM_UP_S + 1
    ideal_tokens = count_ideal_tokens(run, first_s, plan.seconds)
    metrics = {
        'goodput_ratio': run.count_tokens(first_s, plan.seconds) / ideal_tokens,
        'seconds_to_route_around': max(slow_token_times, default=fault_times[0])
        - fault_times[0],
    }
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def run_crossed_answers(target: Target, seed: int) -> BenchmarkResult:
    """Make one engine mix up answers, and another repeat tokens."""

    def corrupt_answers() -> None:
        address = _get_address(target, 'stage0-0')
        target.cluster.control(address, crossed=True)
        target.cluster.control(_get_address(target, 'stage0-1'), repeat=True)

    max_tokens_per_s = compute_max_throughput(3)
    plan = LoadPlan(0.4 * max_tokens_per_s / TOKENS, 6, TOKENS, _ACCOUNTS, seed)
    run = load_target(target, plan, corrupt_answers, _WARM_UP_S)
    verdict = check_results(run.results, list_executed_prompts(target))
    return BenchmarkResult({'leaked': verdict.wrong_tokens}, verdict)


def build_overload_layout() -> Layout:
    """Return the default layout with a third, small client account."""
    layout = build_layout()
    layout.accounts['small'] = {'keys': [hash_api_key(SMALL_ACCOUNT_KEY)]}
    layout.routes['plans'] = {
        'kind': 'model',
        'model': 'strength',
        'queue_timeout_s': 3,
    }
    return layout


def count_ideal_tokens(run: LoadRun, first_s: float, last_s: float) -> int:
    """Count the tokens that engines without faults would have generated."""
    step_s = STEP_MS / 1000
    first = run.started_at + first_s
    last = run.started_at + last_s
    return sum(
        1
        for result in run.results
        for index in range(result.request.token_count)
        if first <= result.request.due_at + (index + 1) * step_s < last
    )


def _run_with_fault(
    target: Target,
    seed: int,
    inject_fault: Callable[[], None],
    *,
    reports_completion: bool,
) -> BenchmarkResult:
    """Inject a fault at half load, and measure interruptions of answers."""
    plan = LoadPlan(
        0.5 * compute_max_throughput(3) / TOKENS, 8, TOKENS, _ACCOUNTS, seed
    )
    fault_times: list[float] = []

    def inject_and_record() -> None:
        fault_times.append(time.monotonic())
        inject_fault()

    run = load_target(target, plan, inject_and_record, _WARM_UP_S)
    interruptions = list_interruptions(
        run.results, fault_times[0], _MIN_INTERRUPTION_S
    )
    metrics: dict[str, Any] = {
        'recovery_p95_s': compute_p95_s(interruptions),
        'recovered_streams': len(interruptions),
    }
    if reports_completion:
        answered = len(run.list_answered())
        metrics['answers_whole'] = answered / len(run.results)
    return BenchmarkResult(
        metrics, check_results(run.results, list_executed_prompts(target))
    )


def load_target(
    target: Target,
    plan: LoadPlan,
    inject_fault: Callable[[], None] | None = None,
    fault_at_s: float = 0,
) -> LoadRun:
    """Run a load against a target; `inject_fault` is called `fault_at_s` in."""
    return asyncio.run(
        run_load(target.list_addresses, plan, inject_fault, fault_at_s)
    )


def _compute_goodput(
    run: LoadRun, max_tokens_per_s: float, seconds: float
) -> float:
    """Return the delivered tokens as a share of the maximum.

    The warm-up, until the first answers have filled the engines, is left out.
    """
    tokens = run.count_tokens(_WARM_UP_S, seconds)
    return tokens / (max_tokens_per_s * (seconds - _WARM_UP_S))


def _compute_fair_share_ratio(run: LoadRun, api_key: str) -> float:
    """Return the tokens of an account as a share of its fair share.

    The fair share is an equal share of all tokens, or what the account
    requested if that is less.
    """
    tokens_by_key: dict[str, int] = {}
    requested_tokens = 0
    for result in run.results:
        count = len(result.texts) if result.is_answered else 0
        tokens_by_key[result.request.api_key] = (
            tokens_by_key.get(result.request.api_key, 0) + count
        )
        requested_tokens += (
            result.request.token_count
            if result.request.api_key == api_key
            else 0
        )
    fair_share = min(
        requested_tokens, sum(tokens_by_key.values()) / len(tokens_by_key)
    )
    return tokens_by_key[api_key] / max(1.0, fair_share)


def _get_address(target: Target, name: str) -> str:
    return str(target.cluster.addresses['engines'][name])
