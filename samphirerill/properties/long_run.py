"""The long run of the stateful fuzzing, apart from the tests.

``make fuzz`` runs it; ``EXAMPLES`` and ``SEED`` in the environment change how
much and which.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import ClassVar

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import invariant, run_state_machine_as_test

from samphirerill.properties.agreement import AgreementMachine
from samphirerill.properties.machine import RouterMachine

_STEPS = 80
_EXAMPLES = 1500


class _CountingRouter(RouterMachine):
    """Counts the steps, and how requests ended."""

    counts: ClassVar[Counter[str]] = Counter()

    @invariant()
    def count_step(self) -> None:
        """Count one step."""
        self.counts['steps'] += 1

    def teardown(self) -> None:
        """Count how the example's requests ended."""
        for asked in self.world.asked.values():
            self.counts.update(asked.ends or ('open at the end',))


class _CountingAgreement(AgreementMachine):
    """Counts the steps, and what was accepted."""

    counts: ClassVar[Counter[str]] = Counter()

    @invariant()
    def count_step(self) -> None:
        """Count one step."""
        self.counts['steps'] += 1

    def teardown(self) -> None:
        """Count the patches that were accepted and those submitted."""
        self.counts['accepted'] += len(self.accepted)
        self.counts['submitted'] += self.number


def run_long() -> int:
    """Fuzz until done; a broken promise ends it with its shortest story."""
    examples = int(os.environ.get('EXAMPLES', _EXAMPLES))
    number = int(os.environ.get('SEED', '0'))
    chosen = settings(
        max_examples=examples,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        phases=(Phase.generate, Phase.shrink),
        suppress_health_check=list(HealthCheck),
    )
    for machine in (_CountingRouter, _CountingAgreement):
        started = time.monotonic()
        run_state_machine_as_test(seed(number)(machine), settings=chosen)
        spent_s = time.monotonic() - started
        sys.stdout.write(
            f'{machine.__name__}, seed {number}: {examples} examples, '
            f'{spent_s:.0f} s, 0 broken promises, {dict(machine.counts)}\n'
        )
    return 0


if __name__ == '__main__':
    sys.exit(run_long())
