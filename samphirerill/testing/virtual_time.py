"""An event loop whose clock moves on as soon as nothing is left to do.

Timers fire in order and at once, so that seconds of a fleet pass in a moment and
alike on an idle machine and a busy one. For code without sockets of its own.
"""

from __future__ import annotations

import asyncio
from selectors import DefaultSelector
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from selectors import SelectorKey
    from typing import TypeVar

    Outcome = TypeVar('Outcome')

# Some points on the clock are held as 0 for "never".
_FIRST_S = 1000.0


class _Waiter(DefaultSelector):
    """Adds up the time that the loop would have waited for its next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _FIRST_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Let the time pass; return what is ready without it."""
        self.now += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs on a clock of its own."""

    def __init__(self) -> None:
        self._waiter = _Waiter()
        super().__init__(self._waiter)

    def time(self) -> float:
        """Return seconds on the loop's clock."""
        return self._waiter.now


def run_virtually(work: Coroutine[None, None, Outcome]) -> Outcome:
    """Run something to its end on a clock of its own."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
