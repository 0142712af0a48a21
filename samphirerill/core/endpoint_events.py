"""Events about what endpoints say of themselves in their answers.

They are emitted before the outcome of the request that was answered.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class EndpointRequestedBackOff:
    """An endpoint answered that it wants nothing from this node for a while.

    `received` is the beginning of what the answer said.
    """

    endpoint: str
    address: str
    until: float
    received: str = ''


@dataclass(slots=True)
class RetryAfterIgnored:
    """An endpoint asked for a back-off with an invalid value."""

    endpoint: str
    address: str
    received: str


@dataclass(slots=True)
class EndpointLeaving:
    """An endpoint answered that its process leaves."""

    endpoint: str
    address: str


@dataclass(slots=True)
class EndpointNamedLimit:
    """An endpoint named how many requests a second it takes from all nodes.

    `rate_per_s` is None if the answer names none. `said_at` is when the request
    was sent that was answered.
    """

    endpoint: str
    address: str
    rate_per_s: float | None
    said_at: float


@dataclass(slots=True)
class RequestLimitIgnored:
    """An endpoint named its request limit with an invalid value."""

    endpoint: str
    address: str
    received: str
