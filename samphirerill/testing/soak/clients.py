"""Clients that check every response against the router's guarantees."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING

from samphirerill.relay.errors import EndpointError, EndpointTimeoutError
from samphirerill.relay.server_sent_events import EventParser
from samphirerill.testing.soak.environment import (
    DROPPED_KINDS,
    KEYS,
    STREAMS,
    get_timeout_s,
)
from samphirerill.testing.soak.exchange import (
    Exchange,
    Outcome,
    PipeliningConnection,
    build_request,
    read_body,
    read_head,
)
from samphirerill.testing.soak.request_traits import count_events, is_long
from samphirerill.testing.soak.unanswered import UnansweredCheck

if TYPE_CHECKING:
    from samphirerill.testing.soak.balancer import LoadBalancer
    from samphirerill.testing.soak.environment import SoakEnvironment
    from samphirerill.testing.soak.nodes import SoakNode
    from samphirerill.testing.soak.settings import SoakSettings

KINDS = frozenset(('notes', 'look', 'book'))
_REQUEST_MIX = ('notes', 'notes', 'look', 'book') * 2 + ('brief', 'extra')
_OK = 200
_UNAVAILABLE = 503
_ID_BITS = 64
_NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# A request on a route that may be dropped is answered, or refused.
_DROPPED_STATUSES = frozenset((404, 503))
_REQUEST_TIMEOUT_S = 9.0
_CLIENTS_PER_NODE = 5
# Beside floods, fewer, as engines have few slots.
_LOAD_CLIENTS_PER_NODE = 2
_PIPELINING_SHARE = 0.1
_MAX_BURST = 4
# Requests may fail because of a fault for this long after the fault ended.
_FAULT_GRACE_S = 5.0


@dataclass(slots=True, frozen=True)
class ClientHabits:
    """How a client uses its connections.

    Parameters
    ----------
    reuse_share : float
        Share of the requests that are sent on the open connection.
    max_pause_s : float
        Longest pause between two requests.
    follows_readiness : bool
        Whether it connects only to nodes that are ready, unless none is.
    """

    reuse_share: float
    max_pause_s: float
    follows_readiness: bool = True


# Some keep a connection until the node closes it, or connect to any node, as
# the load balancer does when few nodes are ready.
_HABITS = (
    ClientHabits(0.6, 0.05),
    ClientHabits(1.0, 0.05),
    ClientHabits(1.0, 4.0),
    ClientHabits(0.3, 0.1, follows_readiness=False),
)


class Client:
    """A client that sends one request after another.

    Parameters
    ----------
    environment : SoakEnvironment
        The nodes, and the ground truth to check against.
    balancer : LoadBalancer
        Selects the nodes to connect to.
    random : Random
        Seeded random generator.
    settings : SoakSettings
        Whether planned maintenance may leave too few replicas.
    habits : ClientHabits
        How it uses its connections.
    """

    def __init__(
        self,
        environment: SoakEnvironment,
        balancer: LoadBalancer,
        random: Random,
        settings: SoakSettings,
        habits: ClientHabits,
    ) -> None:
        self._environment = environment
        self._ground_truth = environment.ground_truth
        self._balancer = balancer
        self._random = random
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._habits = habits
        self._unanswered_check = UnansweredCheck(environment.ground_truth)
        self._conn: PipeliningConnection | None = None
        self._node: SoakNode | None = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await self._send_burst()
            pause_s = self._habits.max_pause_s * self._random.random()
            await asyncio.sleep(pause_s)

    async def _send_burst(self) -> None:
        """Send one request, or several at once on the same connection."""
        size = 1
        if self._random.random() < _PIPELINING_SHARE:
            size = self._random.randrange(2, _MAX_BURST + 1)
        exchanges = [
            self._create_exchange(position, size) for position in range(size)
        ]
        try:
            await self._exchange(exchanges)
        except EndpointError as exc:
            # Each exchange has recorded how it ended.
            self._close_connection()
            for exchange in exchanges:
                exchange.error = str(exc)
                if exchange.outcome is Outcome.UNSENT:
                    exchange.end(Outcome.UNSENT, self._loop.time())
        for exchange in exchanges:
            self._check_exchange(exchange)

    def _create_exchange(self, position: int, size: int) -> Exchange:
        kind = self._random.choice(_REQUEST_MIX)
        request_id = self._create_request_id()
        while size > 1 and is_long(request_id):
            # Those behind it would reach their timeout.
            request_id = self._create_request_id()
        account = self._random.choice(tuple(KEYS))
        self._ground_truth.accounts[request_id] = account
        if kind == 'book':
            self._ground_truth.non_idempotent.add(request_id)
        return Exchange(kind, request_id, account, queued_behind=position)

    def _create_request_id(self) -> str:
        return f'{self._random.getrandbits(_ID_BITS):016x}'

    async def _exchange(self, exchanges: list[Exchange]) -> None:
        for exchange in exchanges:
            exchange.sent_at = self._loop.time()
        is_reused = self._choose_reuse()
        conn = await self._get_connection(is_reused=is_reused)
        if self._node is None:
            raise TypeError('got a connection without a node')
        for exchange in exchanges:
            now = self._loop.time()
            exchange.start(self._node, now, is_reused=is_reused)
            self._ground_truth.notice_checks.record_send(
                exchange.request_id, self._node, now
            )
            conn.send(
                build_request(
                    f'/{exchange.kind}/x', exchange.request_id, exchange.account
                )
            )
        await self._read_responses(conn, exchanges)

    async def _read_responses(
        self, conn: PipeliningConnection, exchanges: list[Exchange]
    ) -> None:
        unread = Outcome.BEHIND_CUT
        remaining = list(exchanges)
        try:
            while remaining:
                await self._read_one(conn, remaining.pop(0))
                if not conn.is_reusable:
                    unread = Outcome.CLOSE_ANNOUNCED
                    break
        finally:
            for exchange in remaining:
                exchange.end(unread, self._loop.time())
        if not conn.is_usable(self._loop.time()):
            self._close_connection()

    async def _read_one(
        self, conn: PipeliningConnection, exchange: Exchange
    ) -> None:
        deadline = exchange.sent_at + _REQUEST_TIMEOUT_S
        outcome = Outcome.CUT
        try:
            await read_head(conn, exchange.response, deadline)
            self._ground_truth.notice_checks.record_response(
                exchange, self._loop.time()
            )
            await read_body(conn, exchange.response, deadline)
            outcome = Outcome.ANSWERED
        except EndpointTimeoutError:
            outcome = Outcome.TIMED_OUT
            raise
        finally:
            exchange.end(outcome, self._loop.time())

    def _choose_reuse(self) -> bool:
        """Return whether to send on the open connection."""
        return (
            self._conn is not None
            and self._random.random() < self._habits.reuse_share
            and self._conn.is_usable(self._loop.time())
        )

    async def _get_connection(self, *, is_reused: bool) -> PipeliningConnection:
        if self._conn is not None and is_reused:
            return self._conn
        self._close_connection()
        self._node = self._random.choice(self._list_candidates())
        self._conn = PipeliningConnection(self._node.callers)
        await self._conn.open()
        return self._conn

    def _list_candidates(self) -> list[SoakNode]:
        if self._habits.follows_readiness:
            return self._balancer.list_ready()
        return self._environment.nodes

    def _close_connection(self) -> None:
        if self._conn is not None:
            self._conn.close()
        self._conn = None

    def _check_exchange(self, exchange: Exchange) -> None:
        request_id = exchange.request_id
        response = exchange.response
        self._ground_truth.counts[f'{exchange.kind}.{response.status}'] += 1
        if exchange.outcome is not Outcome.ANSWERED:
            outcome = exchange.outcome.name.lower()
            self._ground_truth.counts[f'outcome.{outcome}'] += 1
            self._ground_truth.log(self._loop.time(), exchange.describe())
        if response.status in _NOT_EXECUTED_STATUSES:
            self._ground_truth.record_refusal(request_id)
        if response.request_id not in (b'', request_id.encode()):
            self._ground_truth.record_violation(
                f'{request_id}: got the response to {response.request_id!r}'
            )
        if response.status == _OK:
            self._check_body(exchange)
        self._unanswered_check.check(exchange)
        self._check_success(exchange)

    def _check_success(self, exchange: Exchange) -> None:
        if exchange.is_success or self._may_fail(exchange):
            return
        if self._ground_truth.is_fault_free(
            exchange.sent_at - _FAULT_GRACE_S, self._loop.time()
        ):
            self._ground_truth.record_violation(
                f'failed with no fault nearby: {exchange.describe()}'
            )

    def _may_fail(self, exchange: Exchange) -> bool:
        """Return whether a request may fail without any fault."""
        status = exchange.response.status
        if exchange.kind in DROPPED_KINDS and status in _DROPPED_STATUSES:
            return True
        if status == _UNAVAILABLE and not self._settings.injects_faults:
            # Several replicas drain at once.
            return True
        if self._may_be_turned_away(exchange):
            return True
        if exchange.queued_behind:
            # It may not have been read, or its time was used up by those before.
            waited_s = self._loop.time() - exchange.sent_at
            return exchange.outcome is not Outcome.ANSWERED or (
                waited_s >= get_timeout_s(exchange.kind)
            )
        return self._raced_with_close(exchange)

    def _may_be_turned_away(self, exchange: Exchange) -> bool:
        """Return whether the node was shutting down, which the client ignored.

        A client that follows readiness learns of it only when it connects.
        """
        if not self._was_shutting_down():
            return False
        if exchange.outcome is Outcome.UNSENT:
            return not self._habits.follows_readiness
        is_refused = exchange.response.status == _UNAVAILABLE
        return is_refused and (
            exchange.is_reused or not self._habits.follows_readiness
        )

    def _raced_with_close(self, exchange: Exchange) -> bool:
        """Return whether the node closed the connection before the send.

        A new connection may be closed too, if the client has chosen a node that
        is shutting down.
        """
        was_executed = bool(self._ground_truth.runs.get(exchange.request_id))
        if exchange.response.status or was_executed:
            return False
        return exchange.is_reused or (
            exchange.outcome is Outcome.CUT
            and not self._habits.follows_readiness
            and self._was_shutting_down()
        )

    def _was_shutting_down(self) -> bool:
        now = self._loop.time()
        return self._node is not None and self._node.was_terminating(
            now - _FAULT_GRACE_S, now
        )

    def _check_body(self, exchange: Exchange) -> None:
        request_id = exchange.request_id
        response = exchange.response
        if exchange.kind not in STREAMS:
            service = 'extra' if exchange.kind == 'extra' else 'desk'
            expected = f'{request_id} {service}'.encode()
            if response.is_complete and response.body != expected:
                self._ground_truth.record_violation(
                    f'{request_id}: got body {response.body!r}'
                )
            return
        parser = EventParser()
        events = parser.feed(response.body)
        for number, event in enumerate(events, 1):
            expected = f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()
            if event.raw != expected:
                self._ground_truth.record_violation(
                    f'{request_id}: event {number} is {event.raw!r}'
                )
                return
        if response.is_complete and len(events) != count_events(request_id):
            self._ground_truth.record_violation(
                f'{request_id}: ended after {len(events)} events'
            )


def create_clients(
    environment: SoakEnvironment,
    balancer: LoadBalancer,
    random: Random,
    settings: SoakSettings,
) -> list[Client]:
    """Return the clients of a run, with all habits in turn."""
    per_node = _LOAD_CLIENTS_PER_NODE if settings.floods else _CLIENTS_PER_NODE
    return [
        Client(
            environment,
            balancer,
            Random(random.random()),
            settings,
            _HABITS[index % len(_HABITS)],
        )
        for index in range(per_node * settings.nodes)
    ]
