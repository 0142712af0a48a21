"""Evidence on whether this node reaches endpoints over its own links.

A failed connect says that the endpoint has ended, or that the path between this
node and the endpoint is broken. Endpoints fail one by one; all of them at once
point to the path.
"""

from __future__ import annotations

from enum import Enum

# Older failures are not related to newer ones.
_FAILURE_WINDOW_S = 2.0
# Endpoints that fail together without a success in between.
MIN_UNREACHED = 3


class ConnectFailure(Enum):
    """How a connect failed; values are used in metrics and logs."""

    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    OTHER = 'other'


class DirectPaths:
    """Outcomes of the latest direct connects, by address of the endpoint.

    `last_success_at` is when an endpoint was last reached, on the loop's clock.
    """

    __slots__ = ('_failures', 'last_success_at')

    def __init__(self) -> None:
        self._failures: dict[str, tuple[float, ConnectFailure]] = {}
        self.last_success_at = float('-inf')

    def note_failure(
        self, address: str, failure: ConnectFailure, now: float
    ) -> None:
        """Record that a direct connect failed."""
        self._failures = {
            failed: (at, kind)
            for failed, (at, kind) in self._failures.items()
            if at + _FAILURE_WINDOW_S > now
        }
        self._failures[address] = (now, failure)

    def note_success(self, now: float) -> None:
        """Record that an endpoint was reached directly."""
        self.last_success_at = now
        self._failures.clear()

    def reaches_none(self) -> bool:
        """Return whether several endpoints failed and none was reached since."""
        return len(self._failures) >= MIN_UNREACHED

    def count_failures(self) -> dict[str, int]:
        """Return how many endpoints failed since the last success, by kind."""
        kinds = [kind for _, kind in self._failures.values()]
        return {
            failure.value: kinds.count(failure)
            for failure in ConnectFailure
            if failure in kinds
        }
