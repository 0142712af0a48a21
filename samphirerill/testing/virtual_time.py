"""An event loop with a virtual clock that skips idle time.

Timers fire in order without waiting, so that simulated time passes fast and does
not depend on the load of the machine. Only for code without sockets.
"""

from __future__ import annotations

import asyncio
from selectors import DefaultSelector
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from selectors import SelectorKey
    from typing import TypeVar

    Result = TypeVar('Result')

# Not 0, which some timestamps use for "never".
_START_TIME_S = 1000.0


class _VirtualSelector(DefaultSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = _START_TIME_S

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[SelectorKey, int]]:
        """Advance the clock by the timeout; return what is ready now."""
        self.now += timeout or 0.0
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on a virtual clock."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now


def run_with_virtual_time(coroutine: Coroutine[None, None, Result]) -> Result:
    """Run a coroutine to completion on a virtual clock."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(coroutine)
