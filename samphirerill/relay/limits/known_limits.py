"""The request rates that replicas name, and this node's use of them.

A replica that names a rate gets a request only with a permit, which the exchange
with the other nodes obtains while there is demand.
"""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.permits import VALIDITY_S
from samphirerill.fleet.request_limits import LimitChange, note_limit
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit
    from samphirerill.relay.limits.context import LimitContext
    from samphirerill.relay.platform_adapter import NamedLimit

_LOG = get_logger('limits')
# Invalid values that are remembered, so that each is logged only once.
_MAX_LOGGED_VALUES = 256
# Upper bound of the permits that one node asks for at a time.
_MAX_WANTED = 16


class LimitExchange(Protocol):
    """Exchanges limits and permits with the other nodes."""

    def broadcast_limit(self, replica: Replica) -> None:
        """Tell the other nodes what a replica has said."""

    def refresh(self) -> None:
        """Ask for the permits that are needed."""


@dataclass(slots=True)
class _Demand:
    """Requests for one service: when recent ones came, and how many wait."""

    arrivals: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_WANTED)
    )
    waiting: int = 0

    def count(self, now: float, limited: int) -> int:
        """Return how many permits for each of `limited` replicas are of use.

        A request that waits goes to whichever replica has room first. Those
        that are expected while a permit is valid are divided.
        """
        expected = sum(at > now - VALIDITY_S for at in self.arrivals)
        return min(_MAX_WANTED, self.waiting + expected // max(1, limited))


class RequestLimits:
    """Records the limits that replicas name, and takes permits to send.

    Parameters
    ----------
    state : LimitContext
        Holds the view of the fleet.
    """

    __slots__ = (
        '_demands',
        '_exchange',
        '_limited',
        '_logged_values',
        '_state',
    )

    def __init__(self, state: LimitContext) -> None:
        self._state = state
        self._exchange: LimitExchange | None = None
        self._demands: dict[str, _Demand] = {}
        # Replicas with a limit in force.
        self._limited: dict[str, Replica] = {}
        self._logged_values: set[tuple[str, str]] = set()

    def bind(self, exchange: LimitExchange) -> None:
        """Exchange limits and permits by this from now on."""
        self._exchange = exchange

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
        if change is not None and self._exchange is not None:
            self._exchange.broadcast_limit(replica)

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
        if change is None:
            return None
        if rate_per_s is None:
            self._limited.pop(replica.replica_id, None)
        else:
            self._limited[replica.replica_id] = replica
        self._log_change(
            replica.replica_id,
            change.value,
            before=before,
            rate_per_s=rate_per_s,
            source=source or 'own response',
            age_ms=round((now - said_at) * MS_PER_S),
        )
        self._state.counters[f'limits.{change.name.lower()}'] += 1
        self._refresh()
        return change

    def note_arrival(self, service: str) -> None:
        """Record that a request for a service has come."""
        if not self._limited:
            return
        now = asyncio.get_running_loop().time()
        self._demands.setdefault(service, _Demand()).arrivals.append(now)
        for replica, limit in self.list_in_force():
            if replica.service == service and not limit.permits.count(now):
                limit.withheld += 1
        self._refresh()

    @contextmanager
    def waiting(self, service: str) -> Iterator[None]:
        """Count a request as waiting for a replica of a service meanwhile."""
        demand = self._demands.setdefault(service, _Demand())
        demand.waiting += 1
        self._refresh()
        try:
            yield
        finally:
            demand.waiting -= 1

    def take(self, replicas: Iterable[Replica]) -> None:
        """Use one permit for each of these replicas that has a limit."""
        if not self._limited:
            return
        now = asyncio.get_running_loop().time()
        for replica in replicas:
            state = self._state.view.replicas.get(replica.replica_id)
            if state is None or state.limit is None:
                continue
            if state.limit.is_in_force(now) and not state.limit.permits.take(
                now
            ):
                self._state.counters['limits.exceeded'] += 1

    def count_wanted(self, replica: Replica) -> int:
        """Return how many more permits are of use; negative if too many are held."""
        now = asyncio.get_running_loop().time()
        limit = self._state.view.notices.find_limit(replica)
        held = 0 if limit is None else limit.permits.count(now)
        demand = self._demands.get(replica.service)
        if demand is None:
            return -held
        limited = sum(
            other.service == replica.service for other in self._limited.values()
        )
        return demand.count(now, limited) - held

    def list_in_force(self) -> Iterator[tuple[Replica, RequestLimit]]:
        """Yield the announced replicas with a limit in force."""
        now = asyncio.get_running_loop().time()
        for replica_id in tuple(self._limited):
            state = self._state.view.replicas.get(replica_id)
            limit = None if state is None else state.limit
            if (
                state is not None
                and limit is not None
                and limit.is_in_force(now)
            ):
                yield state.replica, limit

    def remove_ended(self) -> None:
        """Forget limits that have lapsed, and those of processes that ended.

        A limit outlasts a missing announcement of its replica.
        """
        now = asyncio.get_running_loop().time()
        notices = self._state.view.notices
        for replica_id, replica in tuple(self._limited.items()):
            limit = notices.find_limit(replica)
            if limit is not None and limit.is_in_force(now):
                continue
            self._limited.pop(replica_id)
            self._log_change(
                replica_id, 'process ended' if limit is None else 'lapsed'
            )
            self._state.counters['limits.lapsed'] += 1

    def describe(self) -> list[dict[str, object]]:
        """Return the limits in force, for operators."""
        now = asyncio.get_running_loop().time()
        return [
            {
                'replica': replica.replica_id,
                'rate_per_s': limit.rate_per_s,
                'source': limit.source or 'own response',
                'age_ms': round((now - limit.said_at) * MS_PER_S),
                'lapses_ms': round((limit.lapses_at - now) * MS_PER_S),
                'permits': limit.permits.count(now),
                'permits_used': limit.permits.used,
                'withheld': limit.withheld,
            }
            for replica, limit in self.list_in_force()
        ]

    def _refresh(self) -> None:
        if self._limited and self._exchange is not None:
            self._exchange.refresh()

    def _log_change(
        self, replica_id: str, change: str, **details: object
    ) -> None:
        _LOG.info(
            'replica changes its request limit',
            extra={'replica': replica_id, 'change': change, **details},
        )

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
