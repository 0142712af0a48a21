"""Memory that requests of clients take up until they are answered.

Clients may send requests of legal size, stop before their end, and keep their
connections. What all of them hold is limited together. Beyond that, the requests
that have held the most memory for the longest time are rejected; requests that
are being served stay.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.log_rate import LogRate
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import ClientLimits
    from samphirerill.platform.settings import EdgeSettings

_LOG = get_logger('callers')
_BYTES_PER_MB = 1_048_576
_MAX_LOG_LINES_PER_S = 5
# What a connection may hold in any case: ordinary requests fit.
_EXEMPT_BYTES = 8192
# Rejections go on until this share of the limit is in use, so that not each
# read has to look for the next connection.
_TARGET_SHARE = 0.875
# A request that is served, and the copy of it that is sent to an endpoint.
_SERVED_COPIES = 2


class RequestMemory:
    """The memory of all requests at a node.

    Parameters
    ----------
    get_settings : callable, optional
        Returns the settings; without it there is no limit.

    Attributes
    ----------
    used_bytes : int
        What the requests hold.
    rejected : int
        How many connections had their unserved requests rejected.
    """

    def __init__(
        self, get_settings: Callable[[], EdgeSettings] | None = None
    ) -> None:
        self.used_bytes = 0
        self.rejected = 0
        self._get_settings = get_settings
        self._log_rate = LogRate(_MAX_LOG_LINES_PER_S)
        self._loop = asyncio.get_running_loop()
        # The shares whose unserved requests may be rejected.
        self._candidates: set[RequestShare] = set()

    def open(self, reject: Callable[[], None]) -> RequestShare:
        """Return the share of a connection.

        Parameters
        ----------
        reject : callable
            Rejects and releases the unserved requests of the connection.
        """
        return RequestShare(self, reject)

    def record(self, share: RequestShare, growth: int) -> None:
        """Record that a share has grown or, if negative, shrunk."""
        self.used_bytes += growth
        if share.unserved_bytes > _EXEMPT_BYTES:
            self._candidates.add(share)
        else:
            self._candidates.discard(share)

    def enforce(self, limits: ClientLimits) -> None:
        """Reject unserved requests while there is too much of them.

        Parameters
        ----------
        limits : ClientLimits
            One request that keeps to them always fits.
        """
        max_bytes = self._get_max_bytes(limits)
        if self.used_bytes > max_bytes:
            self._reject_costliest(max_bytes)

    def _get_max_bytes(self, limits: ClientLimits) -> float:
        if self._get_settings is None:
            return float('inf')
        configured = self._get_settings().request_memory_mb * _BYTES_PER_MB
        largest = limits.max_header_bytes + limits.max_body_bytes
        return max(configured, _SERVED_COPIES * largest)

    def _reject_costliest(self, max_bytes: float) -> None:
        """Reject what has held the most memory for the longest time."""
        now = self._loop.time()
        by_cost = sorted(
            self._candidates,
            key=lambda share: share.unserved_bytes * (now - share.held_since),
        )
        used_bytes = self.used_bytes
        rejected: list[RequestShare] = []
        while by_cost and self.used_bytes > max_bytes * _TARGET_SHARE:
            share = by_cost.pop()
            rejected.append(share)
            share.reject()
        self.rejected += len(rejected)
        if rejected and self._log_rate.may_log(now):
            _LOG.warning(
                'unserved requests rejected for their memory',
                extra={
                    'connections': len(rejected),
                    'bytes': used_bytes - self.used_bytes,
                    'longest_held_s': round(now - rejected[0].held_since, 3),
                    'used_bytes': used_bytes,
                    'allowed_bytes': max_bytes,
                },
            )


class RequestShare:
    """What the requests of one connection hold.

    Attributes
    ----------
    unserved_bytes : int
        What requests hold that are being read or wait for earlier ones.
    held_since : float
        Since when there has been any of them, on the loop's clock.
    """

    __slots__ = (
        '_memory',
        '_reject',
        '_served_bytes',
        'held_since',
        'unserved_bytes',
    )

    def __init__(
        self, memory: RequestMemory, reject: Callable[[], None]
    ) -> None:
        self.unserved_bytes = 0
        self.held_since = 0.0
        self._served_bytes = 0
        self._memory = memory
        self._reject = reject

    def set_unserved(self, size: int, now: float) -> None:
        """Set the size of what is not served yet."""
        if not self.unserved_bytes:
            self.held_since = now
        growth = size - self.unserved_bytes
        if growth:
            self.unserved_bytes = size
            self._memory.record(self, growth)

    def set_served(self, size: int) -> None:
        """Set the size of the request that is being served; 0 for none."""
        copies = size * _SERVED_COPIES
        growth = copies - self._served_bytes
        self._served_bytes = copies
        self._memory.used_bytes += growth

    def enforce(self, limits: ClientLimits) -> None:
        """Keep the limit of all connections after this one has grown.

        Does nothing for small connections, which are exempt.
        """
        if self.unserved_bytes > _EXEMPT_BYTES:
            self._memory.enforce(limits)

    def reject(self) -> None:
        """Reject and release the unserved requests."""
        self.set_unserved(0, self.held_since)
        self._reject()

    def close(self) -> None:
        """Release everything, as the connection has ended."""
        self.set_unserved(0, self.held_since)
        self.set_served(0)
