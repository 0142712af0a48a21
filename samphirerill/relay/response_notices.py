"""Act on what replicas say about themselves in the headers of responses.

A replica that refuses a request may ask for a back-off with ``Retry-After``.
This node then sends it nothing for that time; streams in progress go on. A
replica may also say that it is leaving, before its announcement does, and then
gets no new work.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.replica_notices import (
    MAX_BACKOFF_S,
    note_leaving,
    note_requested_backoff,
)
from samphirerill.fleet.reported_load import ReportedLoads
from samphirerill.node.logs import get_logger
from samphirerill.relay.limits.known_limits import RequestLimits

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable
    from random import Random

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import FleetView
    from samphirerill.relay.platform_adapter import (
        NamedLoad,
        ResponseMetadata,
        RetryAfter,
    )

_LOG = get_logger('notices')
_BACKOFF_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)
# Longer times are taken for an error of the replica and ignored.
_MAX_PLAUSIBLE_BACKOFF_S = 86_400.0
# Random share of the time that is added, up to a limit, so that the nodes do
# not come back to a replica all at once.
_JITTER_SHARE = 0.1
_MAX_JITTER_S = 0.3
# Responses of requests in flight together extend a back-off by less; only a
# longer extension is logged and reported to other nodes.
_MIN_EXTENSION_S = 0.5
# Invalid values that are remembered, so that each is logged only once.
_MAX_LOGGED_VALUES = 256


class NoticeContext(Protocol):
    """What of a node's state notices act on."""

    @property
    def view(self) -> FleetView:
        """Return the known replicas."""

    @property
    def counters(self) -> Counter[str]:
        """Return the event counters."""

    @property
    def random(self) -> Random:
        """Return the source of randomness."""

    def compute_leaving_deadline(self, now: float) -> float:
        """Return until when a replica that starts leaving now still serves."""

    def notify_listeners(self) -> None:
        """Tell all components that the state has changed."""


class ResponseNotices:
    """Records what replicas say about themselves, and wakes what waits for them.

    Parameters
    ----------
    state : NoticeContext
        Holds the view of the fleet.

    Attributes
    ----------
    limits : RequestLimits
        Records the request rates that they name.
    loads : ReportedLoads
        Records the load that endpoints of plain services report.
    """

    __slots__ = (
        '_broadcast',
        '_logged_values',
        '_state',
        '_wake_timers',
        'limits',
        'loads',
    )

    def __init__(self, state: NoticeContext) -> None:
        self._state = state
        self._logged_values: set[tuple[str, str]] = set()
        self._broadcast: Callable[[Replica], None] | None = None
        self._wake_timers: dict[str, asyncio.TimerHandle] = {}
        self.limits = RequestLimits(state)
        self.loads = ReportedLoads()

    def bind(self, broadcast: Callable[[Replica], None]) -> None:
        """Tell the other nodes what replicas say by this from now on."""
        self._broadcast = broadcast

    def handle(
        self,
        replica: Replica,
        status: int,
        metadata: ResponseMetadata,
        sent_at: float | None = None,
    ) -> None:
        """Handle a response to a request that was sent to a replica.

        A response that names another replica, or has status 421, comes from
        another process at the same address and says nothing about this one.

        Parameters
        ----------
        replica : Replica
            The replica that the request was sent to.
        status : int
            The HTTP status.
        metadata : ResponseMetadata
            What the headers say.
        sent_at : float, optional
            When the request was sent, on the loop's clock; by default now.
        """
        if (
            status == HTTPStatus.MISDIRECTED_REQUEST
            or metadata.replica_id not in {'', replica.replica_id}
        ):
            return
        if metadata.is_leaving:
            self._mark_leaving(replica, status)
        if metadata.retry_after is not None and status in _BACKOFF_STATUSES:
            self._handle_retry_after(replica, metadata.retry_after)
        self._handle_load(replica, metadata.server_load)
        if sent_at is None:
            sent_at = asyncio.get_running_loop().time()
        self.limits.handle(replica, metadata.request_limit, sent_at)

    def describe(self) -> list[dict[str, object]]:
        """Return the replicas that get no new work, for operators."""
        now = asyncio.get_running_loop().time()
        view = self._state.view
        return [
            {
                'replica': notice.replica.replica_id,
                'started_ms': notice.replica.started_ms,
                'left_ms': max(
                    0, round((notice.backoff_until - now) * MS_PER_S)
                ),
                'is_leaving': notice.leaving_deadline > 0,
            }
            for notice in view.notices.list_in_force(now)
            if notice.backoff_until > now
            or (
                notice.leaving_deadline
                and notice.replica.replica_id in view.replicas
            )
        ]

    def _mark_leaving(self, replica: Replica, status: int) -> None:
        state = self._state
        loop = asyncio.get_running_loop()
        deadline = state.compute_leaving_deadline(loop.time())
        if not note_leaving(state.view, replica, deadline):
            return
        state.counters['replicas.reported_leaving'] += 1
        if self._broadcast is not None:
            self._broadcast(replica)
        _LOG.info(
            'replica says that it is leaving',
            extra={
                'replica': replica.replica_id,
                'status': status,
                'streams_until_ms': round((deadline - loop.time()) * MS_PER_S),
            },
        )
        loop.call_soon(state.notify_listeners)

    def _handle_retry_after(
        self, replica: Replica, retry_after: RetryAfter
    ) -> None:
        delay_s = retry_after.delay_s
        if delay_s is None or delay_s > _MAX_PLAUSIBLE_BACKOFF_S:
            self._state.counters['replicas.invalid_retry_after'] += 1
            self._log_invalid(
                replica.replica_id, 'Retry-After', retry_after.text
            )
        elif delay_s:
            self._back_off(replica, retry_after.text, delay_s)

    def _back_off(self, replica: Replica, text: str, delay_s: float) -> None:
        state = self._state
        now = asyncio.get_running_loop().time()
        accepted_s = min(MAX_BACKOFF_S, delay_s)
        jitter_s = state.random.uniform(
            0, min(_MAX_JITTER_S, _JITTER_SHARE * accepted_s)
        )
        until = now + accepted_s + jitter_s
        previous = max(now, state.view.notices.get_backoff_end(replica))
        if not note_requested_backoff(state.view, replica, until):
            return
        state.view.note_alive(replica.replica_id, now)
        state.counters['replicas.backoff_requested'] += 1
        if until > previous + _MIN_EXTENSION_S or previous == now:
            if self._broadcast is not None:
                self._broadcast(replica)
            _LOG.info(
                'replica asked for a back-off',
                extra={
                    'replica': replica.replica_id,
                    'received': text,
                    'for_ms': round((until - now) * MS_PER_S),
                },
            )
        self._schedule_wake(replica, until)

    def _schedule_wake(self, replica: Replica, until: float) -> None:
        """Wake waiting requests once the back-off has ended."""
        if replica.replica_id not in self._wake_timers:
            self._wake_timers[replica.replica_id] = (
                asyncio.get_running_loop().call_at(until, self._wake, replica)
            )

    def _wake(self, replica: Replica) -> None:
        self._wake_timers.pop(replica.replica_id, None)
        until = self._state.view.notices.get_backoff_end(replica)
        if until > asyncio.get_running_loop().time():
            self._schedule_wake(replica, until)
        else:
            self._state.notify_listeners()

    def _handle_load(self, replica: Replica, named: NamedLoad | None) -> None:
        now = asyncio.get_running_loop().time()
        if named is None:
            self.loads.note_response(replica, None, now)
        elif named.load is None:
            self._state.counters['replicas.invalid_load'] += 1
            self._log_invalid(replica.replica_id, 'load', named.text)
        else:
            self.loads.note_response(replica, named.load, now)

    def _log_invalid(self, replica_id: str, name: str, text: str) -> None:
        """Log an invalid value, once for each replica and value."""
        entry = (replica_id, f'{name}: {text}')
        if entry in self._logged_values:
            return
        if len(self._logged_values) >= _MAX_LOGGED_VALUES:
            self._logged_values.clear()
        self._logged_values.add(entry)
        _LOG.warning(
            f'{name} of a replica is invalid and ignored',
            extra={'replica': replica_id, 'received': text},
        )
