"""Calls that a node made to the store and to endpoints, as metrics and logs.

The store and the endpoints are shared by all nodes, so calls to them and new
connections are accounted for by purpose. They are logged periodically, unless
there were none.
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
_LOG_INTERVAL_S = 10.0
_ENDPOINT_COUNTERS = (
    'connections.made',
    'connections.made.calls',
    'connections.reused',
    'reports.sent',
    'orders',
    'alarms.sent',
)


class UsageReporter:
    """Usage counters of one node since its start.

    Parameters
    ----------
    state : EdgeState
        Has the counters of calls to endpoints.
    store : PlatformStore
        Counts its calls by purpose.
    """

    def __init__(self, state: EdgeState, store: PlatformStore) -> None:
        self._state = state
        self._store = store
        self._logged: Counter[str] = Counter()

    async def run(self) -> None:
        """Log the usage periodically until cancelled."""
        while True:
            await asyncio.sleep(_LOG_INTERVAL_S)
            self.log()

    def collect(self) -> Counter[str]:
        """Return the usage since the start, by counter."""
        used = Counter(
            {
                f'store.{name}': calls
                for name, calls in self._store.calls.items()
            }
        )
        for name in _ENDPOINT_COUNTERS:
            used[name] = self._state.counters[name]
        return used

    def log(self) -> None:
        """Log the usage since the last call, if there was any."""
        used = self.collect()
        increase = used - self._logged
        self._logged = used
        if increase:
            _LOG.info(
                'usage since the last report', extra={'counts': dict(increase)}
            )
