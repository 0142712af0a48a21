"""Record which request rates replicas name in their responses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.request_limits import LimitChange, note_limit
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import FleetView
    from samphirerill.relay.platform_adapter import NamedLimit

_LOG = get_logger('limits')
# Invalid values that are remembered, so that each is logged only once.
_MAX_LOGGED_VALUES = 256


class LimitContext(Protocol):
    """What of a node's state limits act on."""

    @property
    def view(self) -> FleetView:
        """Return the known replicas."""

    @property
    def counters(self) -> Counter[str]:
        """Return the event counters."""


class LimitNotices:
    """Records the limits that replicas name, and logs each change.

    Parameters
    ----------
    state : LimitContext
        Holds the view of the fleet.
    """

    __slots__ = ('_broadcast', '_logged_values', '_state')

    def __init__(self, state: LimitContext) -> None:
        self._state = state
        self._broadcast: Callable[[Replica], None] | None = None
        self._logged_values: set[tuple[str, str]] = set()

    def bind(self, broadcast: Callable[[Replica], None]) -> None:
        """Tell the other nodes of changes by this from now on."""
        self._broadcast = broadcast

    def handle(
        self, replica: Replica, named: NamedLimit | None, sent_at: float
    ) -> None:
        """Handle a response of a replica to a request sent at `sent_at`.

        An invalid value says nothing: what is known stays.
        """
        if named is not None and named.rate_per_s is None:
            self._log_invalid(replica.replica_id, named.text)
            return
        if named is None and not self._state.view.notices:
            return
        rate_per_s = None if named is None else named.rate_per_s
        change = self.apply(replica, rate_per_s, sent_at)
        if change is not None and self._broadcast is not None:
            self._broadcast(replica)

    def apply(
        self,
        replica: Replica,
        rate_per_s: float | None,
        said_at: float,
        source: str = '',
    ) -> LimitChange | None:
        """Record what a replica has said, here or to another node."""
        now = asyncio.get_running_loop().time()
        view = self._state.view
        known = view.notices.find_limit(replica)
        before = None if known is None else known.rate_per_s
        change = note_limit(view, replica, rate_per_s, said_at, now, source)
        if change is not None:
            self._state.counters[f'limits.{change.name.lower()}'] += 1
            _LOG.info(
                'replica changes its request limit',
                extra={
                    'replica': replica.replica_id,
                    'change': change.value,
                    'rate_per_s': rate_per_s,
                    'before': before,
                    'source': source or 'own response',
                    'age_ms': round((now - said_at) * MS_PER_S),
                },
            )
        return change

    def _log_invalid(self, replica_id: str, text: str) -> None:
        """Log an invalid value, once for each replica and value."""
        self._state.counters['limits.invalid'] += 1
        if (replica_id, text) in self._logged_values:
            return
        if len(self._logged_values) >= _MAX_LOGGED_VALUES:
            self._logged_values.clear()
        self._logged_values.add((replica_id, text))
        _LOG.warning(
            'request limit of a replica is invalid and ignored',
            extra={'replica': replica_id, 'received': text},
        )
