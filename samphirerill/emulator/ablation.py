"""Ablation study: measure the effect of disabling each policy mechanism."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean, stdev
from typing import TYPE_CHECKING

from msgspec import structs

from samphirerill.emulator.simulation import run_scenario
from samphirerill.fleet.policy import Policy

if TYPE_CHECKING:
    from samphirerill.emulator.scenario import Scenario

_BASELINE = 'all on'
# Policy switches that affect simulated code; the others affect nodes only.
_MECHANISMS = ('spread', 'lean_plans')


def ablate(scenario: Scenario, seeds: int) -> dict[str, tuple[float, float]]:
    """Return the share of streams on time with each mechanism disabled.

    Parameters
    ----------
    scenario : Scenario
        The scenario to run.
    seeds : int
        Number of runs, with the seeds 0 to ``seeds - 1``.

    Returns
    -------
    dict of str to tuple of float
        Mean share and standard deviation over the seeds, by name of the row:
        all mechanisms enabled, then one row for each disabled mechanism.
    """
    policies = {_BASELINE: Policy()}
    for mechanism in _MECHANISMS:
        policies[f'no {mechanism}'] = replace(Policy(), **{mechanism: False})
    return {
        name: _run_seeds(structs.replace(scenario, policy=policy), seeds)
        for name, policy in policies.items()
    }


def _run_seeds(scenario: Scenario, seeds: int) -> tuple[float, float]:
    shares = [run_scenario(scenario, seed)['in_time'] for seed in range(seeds)]
    deviation = stdev(shares) if len(shares) > 1 else 0.0
    return mean(shares), deviation
