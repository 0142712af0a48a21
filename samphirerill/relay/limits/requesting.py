"""Request the permits that this node can use."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.fleet.permit_allocation import PermitAllocation
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.request_limits import RequestLimit
    from samphirerill.relay.limits.context import ExchangeContext
    from samphirerill.relay.limits.granters import GranterChoice

_LOG = get_logger('limits')
# While a node waits for permits, it looks at this interval for answers.
_REFRESH_S = 0.1
# A request without an answer is sent again, once; then its granter counts as
# unreachable.
_ANSWER_TIMEOUT_S = 0.2
_MAX_TRIES = 2
# Requests are renewed at this interval, which grows with the number of nodes,
# and lapse after some missed renewals.
_MIN_RENEWAL_S = 0.25
_RENEWAL_PER_NODE_S = 0.01
_LIFETIME_RENEWALS = 3
# Nodes without a granter divide this share of the rate evenly, so that those
# with and those without one together keep the limit.
_UNCOORDINATED_SHARE = 0.5


@dataclass(slots=True)
class _Request:
    """This node's request for the permits of one replica.

    `sent_at` is when the first try without an answer was sent, 0 if there is
    none. `own_share` grants permits to this node as long as no other does.
    """

    granter: str = ''
    count: int = 0
    renews_at: float = 0.0
    sent_at: float = 0.0
    tries: int = 0
    own_share: PermitAllocation | None = None

    def change_granter(self, granter: str) -> None:
        """Ask another node from now on."""
        if granter != self.granter:
            self.granter = granter
            self.count = 0
            self.renews_at = 0.0
            self.forget_tries()

    def forget_tries(self) -> None:
        """Record that the granter has answered, or is not asked any more."""
        self.sent_at = 0.0
        self.tries = 0


class PermitRequester:
    """Requests permits while there are requests that need them.

    Parameters
    ----------
    state : ExchangeContext
        The limits that replicas have named.
    granters : GranterChoice
        Whom to ask.
    ask : callable
        Asks a node for a number of permits of a replica, until a deadline.
    give_back : callable
        Returns a number of permits of a replica to a node.
    """

    __slots__ = (
        '_ask',
        '_give_back',
        '_granters',
        '_loop',
        '_requests',
        '_state',
        '_timer',
    )

    def __init__(
        self,
        state: ExchangeContext,
        granters: GranterChoice,
        ask: Callable[[Replica, str, int, float], None],
        give_back: Callable[[Replica, str, int], None],
    ) -> None:
        self._state = state
        self._granters = granters
        self._ask = ask
        self._give_back = give_back
        self._loop = asyncio.get_running_loop()
        self._requests: dict[str, _Request] = {}
        self._timer: asyncio.TimerHandle | None = None

    def refresh(self) -> None:
        """Ask for the permits that this node can use; return the others."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        limits = self._state.request_limits
        is_active = False
        for replica, limit in limits.list_in_force():
            req = self._requests.setdefault(replica.replica_id, _Request())
            wanted = limits.count_wanted(replica)
            if wanted > 0:
                self._obtain(replica, limit, req, wanted)
            else:
                self._release(replica, limit, req, -wanted)
            is_active = is_active or wanted > 0 or req.count > 0
        if is_active:
            self._timer = self._loop.call_later(_REFRESH_S, self.refresh)

    def remove_ended(self) -> None:
        """Forget the requests for replicas without a limit."""
        limited = {
            replica.replica_id
            for replica, _ in self._state.request_limits.list_in_force()
        }
        for replica_id in self._requests.keys() - limited:
            self._requests.pop(replica_id)

    def handle_answer(self, replica: Replica, node: str) -> None:
        """Record that a node answers; no other share is used then."""
        req = self._requests.get(replica.replica_id)
        if req is not None and req.granter == node:
            req.forget_tries()
            req.own_share = None

    def handle_declined(self, replica: Replica, node: str) -> None:
        """Use the own share until nodes agree on the granter."""
        req = self._requests.get(replica.replica_id)
        limit = self._state.view.notices.find_limit(replica)
        if req is None or req.granter != node or limit is None:
            return
        req.forget_tries()
        self._use_own_share(replica, limit, req, max(1, req.count))

    def receive(
        self, replica: Replica, count: int, wait_s: float, interval_s: float
    ) -> None:
        """Record permits, when the next one is expected, and their interval."""
        limit = self._state.view.notices.find_limit(replica)
        if limit is None:
            return
        now = self._loop.time()
        expected_at = now + wait_s
        if expected_at > limit.permits.expected_at + _REFRESH_S:
            self._state.view.notices.note_obstacle(expected_at)
        limit.permits.add(count, now)
        limit.permits.expected_at = expected_at
        limit.permits.interval_s = interval_s
        req = self._requests.get(replica.replica_id)
        if req is not None:
            req.count = max(0, req.count - count)
        self._state.counters['limits.permits_received'] += count
        self._loop.call_soon(self._state.notify_listeners)

    def _obtain(
        self, replica: Replica, limit: RequestLimit, req: _Request, wanted: int
    ) -> None:
        """Ask for permits, or use the own share without an answer."""
        now = self._loop.time()
        self._note_missing_answer(req, now)
        req.change_granter(self._granters.choose(replica))
        if not req.granter or req.own_share is not None:
            self._use_own_share(replica, limit, req, wanted)
        if req.granter and (wanted > req.count or now >= req.renews_at):
            self._send(replica, req, wanted)

    def _release(
        self, replica: Replica, limit: RequestLimit, req: _Request, surplus: int
    ) -> None:
        """Return permits that are not needed, and end the wait for others."""
        if req.granter and surplus and req.own_share is None:
            now = self._loop.time()
            dropped = sum(limit.permits.drop(now) for _ in range(surplus))
            if dropped:
                self._give_back(replica, req.granter, dropped)
        if req.count and req.granter:
            self._ask(replica, req.granter, 0, 0)
        req.count = 0
        req.forget_tries()

    def _note_missing_answer(self, req: _Request, now: float) -> None:
        if not req.sent_at or now - req.sent_at < _ANSWER_TIMEOUT_S:
            return
        req.sent_at = 0.0
        req.renews_at = 0.0
        if req.tries >= _MAX_TRIES:
            req.tries = 0
            self._granters.note_unreachable(req.granter)

    def _send(self, replica: Replica, req: _Request, wanted: int) -> None:
        now = self._loop.time()
        renewal_s = max(
            _MIN_RENEWAL_S, _RENEWAL_PER_NODE_S * self._granters.count_nodes()
        )
        req.count = wanted
        req.renews_at = now + renewal_s
        if req.granter != self._state.settings.name:
            req.sent_at = req.sent_at or now
            req.tries += 1
        self._ask(
            replica, req.granter, wanted, now + renewal_s * _LIFETIME_RENEWALS
        )

    def _use_own_share(
        self, replica: Replica, limit: RequestLimit, req: _Request, wanted: int
    ) -> None:
        """Take permits of the share that this node has without a granter."""
        now = self._loop.time()
        rate = limit.permitted_per_s * _UNCOORDINATED_SHARE
        share = rate / self._granters.count_nodes()
        if req.own_share is None:
            # Nodes begin at different points of their interval.
            accrued = self._state.random.random()
            req.own_share = PermitAllocation(share, now, accrued)
            self._log_uncoordinated(replica, share)
        name = self._state.settings.name
        req.own_share.change_rate(share, now)
        req.own_share.request(name, wanted, now + 2 * _REFRESH_S)
        granted = req.own_share.grant(now).get(name, 0)
        wait_s = req.own_share.predict_grant(name) - now
        self.receive(
            replica, granted, wait_s, req.own_share.predict_interval_s()
        )

    def _log_uncoordinated(self, replica: Replica, share_per_s: float) -> None:
        self._state.counters['limits.uncoordinated'] += 1
        _LOG.info(
            'no node grants permits: this one uses a part of the rate',
            extra={
                'replica': replica.replica_id,
                'rate_per_s': share_per_s,
                'unreachable': self._granters.list_unreachable(),
            },
        )
