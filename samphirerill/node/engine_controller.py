"""Brings engines to their desired state if this node is the leader."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct
from result import Err

from samphirerill.backends.store import (
    KeyAbsent,
    Put,
    StoreError,
    Transaction,
)
from samphirerill.control.orders import (
    LEASE_S,
    ORDER_TIMEOUT_S,
    RENEW_EVERY_S,
    EngineStatus,
    LeaderTerm,
    Order,
    plan_orders,
)
from samphirerill.decoding.decoders import build_json_decoder
from samphirerill.node.health_checks import try_fetch_from
from samphirerill.node.jitter import add_jitter
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.backends.store import WatchBatch
    from samphirerill.core.configuration import Endpoint
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

LEADER_KEY = 'shared/commander'
_RUN_INTERVAL_S = 1.0
_MAX_POLLS = 32
_LOG = get_logger('orders')


class _StatusResponse(Struct):
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''
    loading: bool = False


_STATUS_DECODER = build_json_decoder(_StatusResponse)


class EngineController:
    """Leader election and, on the leader, control of the engines.

    The leader holds a key in the key-value service under a lease and sends
    orders with the desired state. Other nodes learn from the watch whether the
    key exists, and need no calls to the service for it.
    """

    def __init__(self, node: Node, worker: StoreWorker) -> None:
        self._node = node
        self._worker = worker
        self._leader_key = f'{node.settings.store.prefix}{LEADER_KEY}'
        self._term: LeaderTerm | None = None
        self._lease = ''
        self._renew_at = 0.0
        self._leader_id = ''
        self._statuses: dict[str, EngineStatus] = {}

    def handle_watch_batch(self, batch: WatchBatch) -> None:
        """Update the id of the leader from the watch."""
        for entry in batch.puts:
            if entry.key == self._leader_key:
                self._leader_id = entry.stored_value
        if self._leader_key in batch.deleted_keys:
            self._leader_id = ''

    def describe(self) -> dict[str, object]:
        """Return the leader, for the state dump."""
        term = self._term
        fencing_token = 0 if term is None else term.fencing_token
        return {'commander': self._leader_id, 'own_fence': fencing_token}

    async def run(self) -> None:
        """Run for leader, and send orders while this node is the leader."""
        while True:
            await asyncio.sleep(add_jitter(_RUN_INTERVAL_S))
            if not self._list_controlled():
                continue
            try:
                await self._maintain_leadership()
            except StoreError as exc:
                _LOG.debug('leader election failed', extra={'why': str(exc)})
            if self._term is not None:
                await self._send_orders(self._term)

    async def release_leadership(self) -> None:
        """Release the leader key."""
        if not self._lease:
            return
        lease = self._lease
        self._lease = ''
        self._term = None
        revoked = await self._worker.try_run(
            self._worker.store.revoke_lease, lease
        )
        if isinstance(revoked, Err):
            _LOG.info('cannot revoke the leader lease; it will expire')

    async def _maintain_leadership(self) -> None:
        now = self._node.loop.time()
        if self._term is not None and now >= self._term.valid_until:
            _LOG.warning(
                'leadership expired', extra={'fence': self._term.fencing_token}
            )
            self._term = None
        if self._term is None:
            await self._campaign()
        elif now >= self._renew_at:
            await self._renew(self._term)

    async def _campaign(self) -> None:
        if self._leader_id and self._leader_id != self._node.node_id:
            return
        store = self._worker.store
        requested_at = self._node.loop.time()
        self._lease = await self._worker.run(store.grant_lease, LEASE_S)
        transaction = Transaction(
            conditions=[KeyAbsent(self._leader_key)],
            puts=[Put(self._leader_key, self._node.node_id, self._lease)],
            else_reads=[self._leader_key],
        )
        outcome = await self._worker.run(store.commit, transaction)
        if not outcome.succeeded:
            self._leader_id = (
                outcome.entries[self._leader_key].stored_value
                if outcome.entries
                else ''
            )
            return
        now = self._node.loop.time()
        self._term = LeaderTerm.start(outcome.revision, requested_at, now)
        self._renew_at = requested_at + RENEW_EVERY_S
        _LOG.info('leadership acquired', extra={'fence': outcome.revision})

    async def _renew(self, term: LeaderTerm) -> None:
        requested_at = self._node.loop.time()
        is_renewed = await self._worker.run(
            self._worker.store.renew_lease, self._lease
        )
        if not is_renewed:
            self._term = None
            return
        term.renew(requested_at)
        self._renew_at = requested_at + RENEW_EVERY_S

    async def _send_orders(self, term: LeaderTerm) -> None:
        polled = self._choose_engines_to_poll()
        responses = await asyncio.gather(
            *(_fetch_status(endpoint, self._node) for endpoint in polled)
        )
        status_by_name = dict(
            zip([endpoint.name for endpoint in polled], responses, strict=True)
        )
        for name, status in status_by_name.items():
            self._statuses.pop(name, None)
            if status is not None:
                self._statuses[name] = status
        polled = [
            item
            for item in polled
            if status_by_name[item.name] is not None
            and self._accepts_orders(item)
        ]
        limits = self._node.router.state.configuration.limits
        now = self._node.loop.time()
        orders = plan_orders(
            polled, self._statuses, term, now, limits.loads_at_once
        )
        await asyncio.gather(
            *(self._send_order(order, term) for order in orders)
        )

    async def _send_order(self, order: Order, term: LeaderTerm) -> None:
        now = self._node.loop.time()
        if now + ORDER_TIMEOUT_S >= term.valid_until:
            return
        desired = order.desired
        body = json.dumps(
            {
                'fence': order.fencing_token,
                'version': desired.version,
                'adapters': desired.adapters,
                'role': desired.role,
            }
        )
        response = await try_fetch_from(
            order.endpoint,
            order.address,
            '/orders',
            self._node,
            body.encode(),
        )
        _LOG.info(
            'order sent',
            extra={
                'endpoint': order.endpoint,
                'fence': order.fencing_token,
                'answered': response is not None,
            },
        )

    def _choose_engines_to_poll(self) -> list[Endpoint]:
        """Return the engines to poll: loading ones, then the least recent.

        Resting and leaving ones get neither polls nor orders. The number is limited,
        because polling all engines of a large deployment every second would
        cost too much CPU time.
        """
        order = {name: at for at, name in enumerate(self._statuses)}
        polled = [
            endpoint
            for endpoint in self._list_controlled()
            if self._accepts_orders(endpoint)
        ]
        polled.sort(
            key=lambda endpoint: (
                not self._is_loading(endpoint.name),
                order.get(endpoint.name, -1),
            ),
        )
        return polled[:_MAX_POLLS]

    def _accepts_orders(self, endpoint: Endpoint) -> bool:
        state = self._node.router.state
        if state.departures.is_leaving(endpoint.address):
            return False
        now = self._node.loop.time()
        return not state.back_offs.get_until(endpoint.address, now)

    def _is_loading(self, name: str) -> bool:
        status = self._statuses.get(name)
        return status is not None and status.is_loading

    def _list_controlled(self) -> list[Endpoint]:
        endpoints = self._node.router.state.configuration.endpoints
        return [
            endpoint
            for endpoint in endpoints.values()
            if endpoint.desired is not None
        ]


async def _fetch_status(endpoint: Endpoint, node: Node) -> EngineStatus | None:
    body = await try_fetch_from(
        endpoint.name, endpoint.address, '/status', node
    )
    if body is None:
        return None
    try:
        response = _STATUS_DECODER.decode(body)
    except DecodeError:
        return None
    return EngineStatus(
        response.version, response.adapters, response.role, response.loading
    )
