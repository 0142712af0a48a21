"""Evidence on whether this node reaches endpoints over its own links.

A failed connect says that the endpoint has ended, or that the path between this
node and the endpoint is broken. Where another node reaches the endpoint at the
same time, the path is broken.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

# Older failures are not related to newer ones.
_FAILURE_WINDOW_S = 2.0
# Endpoints that fail together without a success in between.
MIN_UNREACHED = 3
# Endpoints that have to be reached before a partition counts as healed: links
# may flap.
_MIN_REACHED = 2


class ConnectFailure(Enum):
    """How a connect failed; values are used in metrics and logs."""

    REFUSED = 'refused'
    TIMED_OUT = 'timed_out'
    OTHER = 'other'


class DirectPaths:
    """Outcomes of the latest direct connects, by address of the endpoint.

    `last_success_at` is when an endpoint was last reached, on the loop's clock.
    `is_partitioned` is whether all paths count as broken: several were, and none
    worked in between.
    """

    __slots__ = (
        '_failures',
        '_lost',
        '_peers_failed_at',
        '_reached',
        'is_partitioned',
        'last_success_at',
    )

    def __init__(self) -> None:
        self._failures: dict[str, tuple[float, ConnectFailure]] = {}
        # Endpoints that another node reached and this one did not, and when.
        self._lost: dict[str, float] = {}
        # Endpoints that were reached since the partition began.
        self._reached: set[str] = set()
        # When the other nodes could not help last, unless they could since.
        self._peers_failed_at = float('-inf')
        self.is_partitioned = False
        self.last_success_at = float('-inf')

    def needs_tunnel(self, address: str) -> bool:
        """Return whether an endpoint is to be reached through another node."""
        return self.is_partitioned or address in self._lost

    def list_lost(self) -> list[str]:
        """Return the endpoints whose paths are known to be broken."""
        return list(self._lost)

    def reaches_none(self, now: float) -> bool:
        """Return whether several endpoints failed and none was reached since."""
        since = now - _FAILURE_WINDOW_S
        recent = sum(at > since for at, _ in self._failures.values())
        return recent >= MIN_UNREACHED

    def is_isolated(self, now: float) -> bool:
        """Return whether neither this node nor another one reaches endpoints."""
        since = now - _FAILURE_WINDOW_S
        return self._peers_failed_at > since and self.reaches_none(now)

    def count_failures(self) -> dict[str, int]:
        """Return how many endpoints failed since the last success, by kind."""
        kinds = [kind for _, kind in self._failures.values()]
        return {
            failure.value: kinds.count(failure)
            for failure in ConnectFailure
            if failure in kinds
        }

    def note_failure(
        self, address: str, failure: ConnectFailure, now: float
    ) -> None:
        """Record that a direct connect failed."""
        self._reached.clear()
        self._failures = {
            failed: (at, kind)
            for failed, (at, kind) in self._failures.items()
            if at + _FAILURE_WINDOW_S > now
        }
        self._failures[address] = (now, failure)

    def note_peers(self, now: float, *, are_available: bool) -> None:
        """Record whether another node could help to reach an endpoint."""
        self._peers_failed_at = float('-inf') if are_available else now

    def note_lost(self, address: str, now: float) -> None:
        """Record that only another node reached an endpoint."""
        self._lost[address] = now
        since = max(self.last_success_at, now - _FAILURE_WINDOW_S)
        lost_together = sum(at > since for at in self._lost.values())
        self.is_partitioned |= lost_together >= MIN_UNREACHED

    def note_success(self, address: str, now: float) -> None:
        """Record that an endpoint was reached directly."""
        self.last_success_at = now
        self._failures.clear()
        self._lost.pop(address, None)
        self._reached.add(address)
        if self.is_partitioned and len(self._reached) >= _MIN_REACHED:
            self.is_partitioned = False
            self._lost.clear()

    def keep_only(self, addresses: Collection[str]) -> None:
        """Forget endpoints that are no longer announced."""
        for address in self._lost.keys() - set(addresses):
            self._lost.pop(address)
