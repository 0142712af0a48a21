"""What of a node's state limits and permits act on."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections import Counter
    from random import Random

    from samphirerill.fleet.view import FleetView
    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.limits.known_limits import RequestLimits
    from samphirerill.relay.replica_ids import ReplicaIdIndex


class LimitContext(Protocol):
    """The known replicas, and the event counters."""

    @property
    def view(self) -> FleetView:
        """Return the known replicas."""

    @property
    def counters(self) -> Counter[str]:
        """Return the event counters."""


class ExchangeContext(LimitContext, Protocol):
    """What the exchange with the other nodes needs besides."""

    @property
    def settings(self) -> EdgeSettings:
        """Return the settings of this node."""

    @property
    def random(self) -> Random:
        """Return the source of randomness."""

    @property
    def incarnation(self) -> int:
        """Return the number that identifies this process run."""

    @property
    def replica_names(self) -> ReplicaIdIndex:
        """Return the replica ids by checksum."""

    @property
    def request_limits(self) -> RequestLimits:
        """Return the limits that replicas have named."""

    def notify_listeners(self) -> None:
        """Tell all components that the state has changed."""
