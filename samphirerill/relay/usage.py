"""What a node has used of the store and of endpoints, as metrics and log lines.

Calls to the store, questions to replicas and new connections are paid for and shared
by the whole fleet; who makes them, and for what, is seen here. One line in ten
seconds, and none if nothing was used.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('usage')
_PERIOD_S = 10.0
_COUNTERS = ('connections.made', 'reports.sent', 'orders', 'alarms.sent')


class Usage:
    """Counts of one node since its start.

    Parameters
    ----------
    state : EdgeState
        Counters of endpoints.
    store : PlatformStore
        Counts its calls by purpose.
    """

    def __init__(self, state: EdgeState, store: PlatformStore) -> None:
        self._state = state
        self._store = store
        self._logged: Counter[str] = Counter()

    async def run(self) -> None:
        """Log what was used, now and then."""
        while True:
            await asyncio.sleep(_PERIOD_S)
            self.log()

    def count(self) -> Counter[str]:
        """Return everything used since the start, by name."""
        used = Counter(
            {f'store.{name}': made for name, made in self._store.calls.items()}
        )
        for name in _COUNTERS:
            used[name] = self._state.counters[name]
        return used

    def log(self) -> None:
        """Log what was used since the last line."""
        used = self.count()
        fresh = used - self._logged
        self._logged = used
        if fresh:
            _LOG.info('used', extra={'counts': dict(fresh)})
