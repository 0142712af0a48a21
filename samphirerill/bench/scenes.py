"""The benches over model routes: throughput, load and faults of endpoints."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from samphirerill.bench.figures import (
    list_gaps,
    list_recoveries,
    read_p95_s,
)
from samphirerill.bench.load import Caller, Plan, Results, run_load
from samphirerill.bench.oracle import Verdict, judge
from samphirerill.bench.targets import Target, list_ran
from samphirerill.edges.operators import hash_key
from samphirerill.testing.layout import (
    BRIDAL_KEY,
    COACH_KEY,
    Layout,
    build_three_stages,
)

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 24
STEP_MS = 26.0
TOKENS = 100
SMALL_KEY = 'small-key'
_WARM_S = 3.0
_LEAST_GAP_S = 0.045
_ORDINARY = [Caller(COACH_KEY, 'plans', 1)]


@dataclass(slots=True)
class Scene:
    """What one run of a bench brought.

    `figures` are the bench's own; `verdict` counts broken promises.
    """

    figures: dict[str, Any]
    verdict: Verdict


def build_layout(replicas: int = 2, **shape: Any) -> Layout:
    """Return the benches' usual stand-ins: three stages, each `replicas`."""
    return build_three_stages(replicas, slots=SLOTS, step_ms=STEP_MS, **shape)


def read_bound(replicas: int) -> float:
    """Return the tokens a second that the stand-ins can generate at most."""
    return replicas * SLOTS * 1000 / STEP_MS


def run_throughput(target: Target, seed: int) -> Scene:
    """Measure below the bound for times, then at it for goodput."""
    bound = read_bound(2)
    cpu_s = target.read_cpu_s()
    calm = load_target(
        target, Plan(0.7 * bound / TOKENS, 8, TOKENS, _ORDINARY, seed)
    )
    spent_s = target.read_cpu_s() - cpu_s
    tokens = sum(len(got.texts) for got in calm.got)
    full = load_target(
        target,
        Plan(1.2 * bound / TOKENS, 12, TOKENS, _ORDINARY, seed, 'full'),
    )
    figures = {
        'goodput_ratio': _read_goodput(full, bound, 12),
        'cpu_us_per_token': spent_s * 1e6 / max(1, tokens),
        'first_token_p95_s': read_p95_s(
            got.first_token_s for got in calm.list_answered()
        ),
        'token_gap_p95_ms': 1000 * read_p95_s(list_gaps(calm.got)),
    }
    return Scene(figures, judge(calm.got + full.got, list_ran(target)))


def run_overload(target: Target, seed: int) -> Scene:
    """Ask for twice the bound, mostly by one large account."""
    bound = read_bound(2)
    callers = [
        Caller(COACH_KEY, 'plans', 0.7),
        Caller(BRIDAL_KEY, 'fittings', 0.1),
        Caller(SMALL_KEY, 'plans', 0.2),
    ]
    plan = Plan(2 * bound / TOKENS, 12, TOKENS, callers, seed)
    results = load_target(target, plan)
    high = [
        got for got in results.list_answered() if got.ask.route == 'fittings'
    ]
    refused = [got for got in results.got if got.outcome == 'not-run']
    figures = {
        'goodput_ratio': _read_goodput(results, bound, plan.seconds),
        'high_priority_p95_s': read_p95_s(got.first_token_s for got in high),
        'refused_not_run': len(refused),
        'smallest_account_share': _read_share(results, SMALL_KEY),
    }
    return Scene(figures, judge(results.got, list_ran(target)))


def run_stage_death(target: Target, seed: int) -> Scene:
    """Kill one of the middle stages under load."""
    return _run_upset(
        target,
        seed,
        lambda: target.cluster.control(_address(target, 'stage1-0'), die=True),
        with_whole=True,
    )


def run_silent_link(target: Target, seed: int) -> Scene:
    """Let one first stage accept everything and never answer again."""
    return _run_upset(
        target,
        seed,
        lambda: target.cluster.control(
            _address(target, 'stage0-0'), frozen=True
        ),
        with_whole=False,
    )


def run_two_faults(target: Target, seed: int) -> Scene:
    """Kill one stage and silence another at once, while the store is away."""

    def strike() -> None:
        target.cluster.control(target.cluster.addresses['kv'], down=True)
        target.cluster.control(_address(target, 'stage0-0'), frozen=True)
        target.cluster.control(_address(target, 'stage1-0'), die=True)

    return _run_upset(target, seed, strike, with_whole=True)


def run_slow_link(target: Target, seed: int) -> Scene:
    """Add 120 ms to the way into one middle stage."""
    bound = read_bound(3)
    plan = Plan(0.5 * bound / TOKENS, 12, TOKENS, _ORDINARY, seed)
    slow = 'stage1-0'
    felt: list[float] = []

    def degrade() -> None:
        target.cluster.control(_address(target, slow), link_ms=120)
        felt.append(time.monotonic())

    results = load_target(target, plan, degrade, _WARM_S)
    slowed = [
        later
        for got in results.got
        for earlier, later in zip(
            got.token_times, got.token_times[1:], strict=False
        )
        if later - earlier > 0.1 and later > felt[0]
    ]
    first_s = _WARM_S + 1
    wanted = count_ideal(results, first_s, plan.seconds)
    figures = {
        'goodput_ratio': results.count_tokens(first_s, plan.seconds) / wanted,
        'seconds_to_route_around': max(slowed, default=felt[0]) - felt[0],
    }
    return Scene(figures, judge(results.got, list_ran(target)))


def run_crossed(target: Target, seed: int) -> Scene:
    """Let engines cross answers and repeat tokens."""

    def cross() -> None:
        address = _address(target, 'stage0-0')
        target.cluster.control(address, crossed=True)
        target.cluster.control(_address(target, 'stage0-1'), repeat=True)

    bound = read_bound(3)
    plan = Plan(0.4 * bound / TOKENS, 6, TOKENS, _ORDINARY, seed)
    results = load_target(target, plan, cross, _WARM_S)
    verdict = judge(results.got, list_ran(target))
    return Scene({'leaked': verdict.leaked}, verdict)


def build_overload_layout() -> Layout:
    """Return stand-ins with a third, small account."""
    layout = build_layout()
    layout.accounts['small'] = {'keys': [hash_key(SMALL_KEY)]}
    layout.routes['plans'] = {
        'kind': 'model',
        'model': 'strength',
        'queue_timeout_s': 3,
    }
    return layout


def count_ideal(results: Results, first_s: float, last_s: float) -> int:
    """Count the tokens that faultless engines would have made in a time."""
    step_s = STEP_MS / 1000
    first = results.started_at + first_s
    last = results.started_at + last_s
    return sum(
        1
        for got in results.got
        for at in range(got.ask.tokens)
        if first <= got.ask.due_at + (at + 1) * step_s < last
    )


def _run_upset(
    target: Target, seed: int, upset: Callable[[], None], *, with_whole: bool
) -> Scene:
    """Cause a fault under half load and measure how answers recover."""
    plan = Plan(0.5 * read_bound(3) / TOKENS, 8, TOKENS, _ORDINARY, seed)
    felt: list[float] = []

    def note() -> None:
        felt.append(time.monotonic())
        upset()

    results = load_target(target, plan, note, _WARM_S)
    recoveries = list_recoveries(results.got, felt[0], _LEAST_GAP_S)
    figures: dict[str, Any] = {
        'recovery_p95_s': read_p95_s(recoveries),
        'recovered_streams': len(recoveries),
    }
    if with_whole:
        whole = len(results.list_answered())
        figures['answers_whole'] = whole / len(results.got)
    return Scene(figures, judge(results.got, list_ran(target)))


def load_target(
    target: Target,
    plan: Plan,
    upset: Callable[[], None] | None = None,
    upset_at_s: float = 0,
) -> Results:
    return asyncio.run(run_load(target.list_addresses, plan, upset, upset_at_s))


def _read_goodput(results: Results, bound: float, seconds: float) -> float:
    """Return tokens delivered over what the stand-ins could have made.

    Counted once the first answers have filled the engines.
    """
    tokens = results.count_tokens(_WARM_S, seconds)
    return tokens / (bound * (seconds - _WARM_S))


def _read_share(results: Results, key: str) -> float:
    """Return an account's tokens over the least that fairness owes it.

    It is owed what it asked for, or an equal share if that is less.
    """
    by_key: dict[str, int] = {}
    asked = 0
    for got in results.got:
        count = len(got.texts) if got.is_answered else 0
        by_key[got.ask.key] = by_key.get(got.ask.key, 0) + count
        asked += got.ask.tokens if got.ask.key == key else 0
    fair = min(asked, sum(by_key.values()) / len(by_key))
    return by_key[key] / max(1.0, fair)


def _address(target: Target, name: str) -> str:
    return str(target.cluster.addresses['engines'][name])
