"""The plain requests of one service that wait at this node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.relay.plain_order import find_arrival_level
from samphirerill.relay.shared_service import NO_LEVEL

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.plain_request import PlainRequest


class PlainWaiting:
    """The waiting requests, as counted for other nodes.

    Parameters
    ----------
    notify : callable
        Called when a request begins or ceases to count.
    """

    __slots__ = ('_notify', '_requests')

    def __init__(self, notify: Callable[[], None]) -> None:
        self._notify = notify
        self._requests: list[PlainRequest] = []

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._requests)

    def list_open(self) -> list[PlainRequest]:
        """Return the requests that wait for a decision."""
        return [item for item in self._requests if not item.is_granted()]

    def add(self, request: PlainRequest) -> None:
        """Add a request."""
        request.is_accepted = True
        request.counts_as_waiting = True
        self._requests.append(request)
        request.shared.fleet_room.enqueue(request.item)
        self._notify()

    def remove(self, request: PlainRequest) -> None:
        """Remove a request, if it is there."""
        if request in self._requests:
            self._requests.remove(request)
            self._stop_counting(request)

    def exclude_late(self, now: float) -> None:
        """Stop counting requests that cannot be in time any more.

        They get what others leave, so that nothing must wait for them.
        """
        for request in self.list_open():
            if request.item.due < now:
                self._stop_counting(request)

    def count_ahead(self, request: PlainRequest, now: float) -> int:
        """Return how many requests are served before another."""
        waiting = self.list_open()
        if not waiting:
            return 0
        level = find_arrival_level(request, waiting, now)
        return sum(
            other.find_level(now) <= level
            for other in waiting
            if other.counts_as_waiting
        )

    def find_lowest_level(self, now: float) -> int:
        """Return the lowest level; above all others without requests."""
        levels = (request.find_level(now) for request in self.list_open())
        return min(levels, default=NO_LEVEL)

    def _stop_counting(self, request: PlainRequest) -> None:
        if request.counts_as_waiting:
            request.counts_as_waiting = False
            request.shared.fleet_room.leave_queue(request.item)
            self._notify()
