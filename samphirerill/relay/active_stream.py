"""What components may do with the streams that a node serves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from samphirerill.fleet.model import Stage


class ObservedStream(Protocol):
    """A stream, with its path and the time of its last event."""

    @property
    def stages(self) -> tuple[Stage, ...]:
        """Return the path of the stream."""

    @property
    def last_event_at(self) -> float:
        """Return the loop time of the last event; 0 before the first."""


class ActiveStream(ObservedStream, Protocol):
    """A stream that is told what happens to the fleet."""

    def handle_view_change(self) -> None:
        """React to replicas that were lost or are leaving."""

    def check_quarantine(self) -> None:
        """React to requests that were quarantined."""
