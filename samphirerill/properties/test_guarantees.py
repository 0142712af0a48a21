"""Short run of the stateful tests; ``make fuzz`` does a long one."""

from __future__ import annotations

from hypothesis import HealthCheck, settings

from samphirerill.properties.coordination import CoordinationMachine
from samphirerill.properties.router_machine import RouterMachine

_SHORT_RUN = settings(
    max_examples=200,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)

TestRouterGuarantees = RouterMachine.TestCase
TestRouterGuarantees.settings = _SHORT_RUN

TestCoordination = CoordinationMachine.TestCase
TestCoordination.settings = _SHORT_RUN
