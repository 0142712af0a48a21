"""Switch off one mechanism at a time, and see what callers lose by it."""

from __future__ import annotations

from dataclasses import replace
from statistics import mean, stdev
from typing import TYPE_CHECKING

from msgspec import structs

from samphirerill.emulator.play import play
from samphirerill.fleet.policy import Policy

if TYPE_CHECKING:
    from samphirerill.emulator.scenario import Scenario

_ALL = 'all on'
# The mechanisms that the emulator plays; the others are a node's own.
_PLAYED = ('spread', 'lean_plans')


def ablate(scenario: Scenario, seeds: int) -> dict[str, tuple[float, float]]:
    """Return the share of streams on time, and how far seeds differ.

    Parameters
    ----------
    scenario : Scenario
        What is played.
    seeds : int
        How many seeds each row is the mean of.

    Returns
    -------
    dict of str to tuple of float
        For all mechanisms, and with each one switched off: the mean share and
        its standard deviation.
    """
    policies = {_ALL: Policy()}
    for switch in _PLAYED:
        policies[f'no {switch}'] = replace(Policy(), **{switch: False})
    return {
        name: _play_seeds(structs.replace(scenario, policy=policy), seeds)
        for name, policy in policies.items()
    }


def _play_seeds(scenario: Scenario, seeds: int) -> tuple[float, float]:
    shares = [play(scenario, seed)['in_time'] for seed in range(seeds)]
    spread = stdev(shares) if len(shares) > 1 else 0.0
    return mean(shares), spread
