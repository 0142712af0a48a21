"""The decision core as one object: events in, commands out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.core import (
    on_attempts,
    on_back_offs,
    on_claims,
    on_crashes,
    on_deadlines,
    on_departures,
    on_fleet,
    on_request_limits,
    on_requests,
)
from samphirerill.core.handling import handle
from samphirerill.core.state import CoreState

if TYPE_CHECKING:
    from samphirerill.core.commands import Command

HANDLER_MODULES = (
    on_attempts,
    on_claims,
    on_crashes,
    on_fleet,
    on_requests,
    on_back_offs,
    on_departures,
    on_request_limits,
    on_deadlines,
)


class Router:
    """Decide what happens to requests, without I/O, clock or threads.

    Parameters
    ----------
    node : str
        This node's name.
    seed : int
        Seed of the core's random number generator.

    Examples
    --------
    >>> from samphirerill.core.events import DrainRequested
    >>> Router('n1', seed=1).apply(DrainRequested(), now=0.0)
    []
    """

    __slots__ = ('state',)

    def __init__(self, node: str, seed: int = 0) -> None:
        self.state = CoreState(node, seed)

    def apply(self, event: object, now: float) -> list[Command]:
        """Handle one event and return the commands to carry out, in order.

        Parameters
        ----------
        event : object
            One of the classes of :mod:`samphirerill.core.events`.
        now : float
            Seconds on the node's monotonic clock; never decreases.
        """
        self.state.now = now
        handle(event, self.state, now)
        commands = self.state.commands
        self.state.commands = []
        return commands

    def next_deadline(self) -> float | None:
        """Return when ``TimerFired`` is due next, or None."""
        deadlines = self.state.deadlines
        return deadlines[0][0] if deadlines else None
