"""How many connections clients may keep open at a node.

Endpoints, the store, other nodes and files need descriptors, too. At the limit, new
connections take the place of those that were without a response for longest.
"""

from __future__ import annotations

import asyncio
from heapq import nsmallest
from typing import TYPE_CHECKING

from samphirerill.node.descriptors import derive_max_connections
from samphirerill.node.log_rate import LogRate
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.relay.server import ClientConnection

_LOG = get_logger('callers')
# The share of connections that is closed at once, so that not each new one has to
# look for the next.
_CLOSED_SHARE = 0.03
# The share that is accepted at once; the check comes two turns of the loop later.
_ACCEPTED_SHARE = 0.06
_MAX_LOG_LINES_PER_S = 5


class ConnectionLimit:
    """Limits the open connections of clients.

    Parameters
    ----------
    get_settings : callable
        Returns the settings.
    connections : set of ClientConnection
        The open connections.

    Attributes
    ----------
    closed : int
        How many connections were closed for new ones.
    refused : int
        How many new connections were closed, as all others were in use.
    """

    def __init__(
        self,
        get_settings: Callable[[], EdgeSettings],
        connections: set[ClientConnection],
    ) -> None:
        self.closed = 0
        self.refused = 0
        self._get_settings = get_settings
        self._connections = connections
        self._derived_max = derive_max_connections()
        self._log_rate = LogRate(_MAX_LOG_LINES_PER_S)

    @property
    def max_connections(self) -> int:
        """Return how many connections may be open."""
        return self._get_settings().max_connections or self._derived_max

    @property
    def max_accepted_at_once(self) -> int:
        """Return how many connections may be accepted before the next check."""
        return max(1, int(self.max_connections * _ACCEPTED_SHARE))

    def admit(self) -> bool:
        """Return whether there is room for a new connection; make some."""
        allowed = self.max_connections
        if len(self._connections) < allowed:
            return True
        closed = self._close_longest_unused(1 + int(allowed * _CLOSED_SHARE))
        self.closed += closed
        self.refused += not closed
        now = asyncio.get_running_loop().time()
        if self._log_rate.may_log(now):
            _LOG.warning(
                'too many connections of clients',
                extra={
                    'open': len(self._connections),
                    'allowed': allowed,
                    'closed': closed,
                },
            )
        return bool(closed)

    def _close_longest_unused(self, count: int) -> int:
        """Close connections without a request in progress; return how many."""
        unused = [conn for conn in self._connections if not conn.is_busy]
        for conn in nsmallest(count, unused, key=_get_unused_since):
            conn.make_room()
        return min(count, len(unused))


def _get_unused_since(conn: ClientConnection) -> float:
    return conn.unused_since
