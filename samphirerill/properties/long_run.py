"""Long run of the stateful tests, with counts of what was covered.

Started by ``make fuzz``. The environment variables ``EXAMPLES`` and ``SEED`` set
the number of examples and the random seed.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import ClassVar

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import invariant, run_state_machine_as_test

from samphirerill.properties.coordination import CoordinationMachine
from samphirerill.properties.router_machine import RouterMachine

_STEP_COUNT = 80
_EXAMPLE_COUNT = 1500


class _CountingRouter(RouterMachine):
    """Counts steps and the outcomes of requests."""

    counts: ClassVar[Counter[str]] = Counter()

    @invariant()
    def count_step(self) -> None:
        """Count one step."""
        self.counts['steps'] += 1

    def teardown(self) -> None:
        """Count the outcomes of the example's requests."""
        for request in self.simulation.requests.values():
            self.counts.update(request.outcomes or ('open at the end',))


class _CountingCoordination(CoordinationMachine):
    """Counts steps, and submitted and accepted patches."""

    counts: ClassVar[Counter[str]] = Counter()

    @invariant()
    def count_step(self) -> None:
        """Count one step."""
        self.counts['steps'] += 1

    def teardown(self) -> None:
        """Count the submitted and the accepted patches."""
        self.counts['accepted'] += len(self.accepted)
        self.counts['submitted'] += self.patch_count


def run_long() -> int:
    """Run all examples; a violation fails with a minimal example."""
    examples = int(os.environ.get('EXAMPLES', _EXAMPLE_COUNT))
    seed_number = int(os.environ.get('SEED', '0'))
    run_settings = settings(
        max_examples=examples,
        stateful_step_count=_STEP_COUNT,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    for machine in (_CountingRouter, _CountingCoordination):
        started = time.monotonic()
        run_state_machine_as_test(
            seed(seed_number)(machine), settings=run_settings
        )
        spent_s = time.monotonic() - started
        sys.stdout.write(
            f'{machine.__name__}, seed {seed_number}: {examples} examples, '
            f'{spent_s:.0f} s, 0 violations, {dict(machine.counts)}\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(run_long())
