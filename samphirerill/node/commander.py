"""Command the engines, if this node holds the commander's key."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct
from msgspec.json import Decoder
from result import Err

from samphirerill.backends.store import (
    Absent,
    Put,
    StoreError,
    Transaction,
)
from samphirerill.control.orders import (
    LEASE_S,
    ORDER_TIMEOUT_S,
    RENEW_EVERY_S,
    Order,
    Status,
    Tenure,
    plan_orders,
)
from samphirerill.node.jitter import spread
from samphirerill.node.logs import get_logger
from samphirerill.node.probes import fetch

if TYPE_CHECKING:
    from samphirerill.backends.store import WatchBatch
    from samphirerill.core.model import Endpoint
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

COMMANDER = 'shared/commander'
_EVERY_S = 1.0
_ASKED_AT_ONCE = 32
_LOG = get_logger('orders')


class _Answer(Struct):
    version: str = ''
    adapters: tuple[str, ...] = ()
    role: str = ''
    loading: bool = False


_ANSWERS = Decoder(_Answer)


class Commander:
    """This node's part in commanding the engines.

    The watch tells whether the key is taken, so that a fleet of nodes that
    don't command asks the service nothing.
    """

    def __init__(self, node: Node, worker: StoreWorker) -> None:
        self._node = node
        self._worker = worker
        self._key = f'{node.settings.store.prefix}{COMMANDER}'
        self._tenure: Tenure | None = None
        self._lease = ''
        self._renew_at = 0.0
        self._holder = ''
        self._statuses: dict[str, Status] = {}

    def take_batch(self, batch: WatchBatch) -> None:
        """Learn from the watch who commands."""
        for entry in batch.changed:
            if entry.key == self._key:
                self._holder = entry.text
        if self._key in batch.gone:
            self._holder = ''

    def describe(self) -> dict[str, object]:
        """Return who commands, for the state dump."""
        tenure = self._tenure
        fence = 0 if tenure is None else tenure.fence
        return {'commander': self._holder, 'own_fence': fence}

    async def run(self) -> None:
        """Command whenever the key can be had, for ever."""
        while True:
            await asyncio.sleep(spread(_EVERY_S))
            if not self._list_wanted():
                continue
            try:
                await self._hold_office()
            except StoreError as exc:
                _LOG.debug('no word from the service', extra={'why': str(exc)})
            if self._tenure is not None:
                await self._order_all(self._tenure)

    async def leave(self) -> None:
        """Give the key back at once."""
        if not self._lease:
            return
        lease = self._lease
        self._lease = ''
        self._tenure = None
        revoked = await self._worker.attempt(
            self._worker.store.revoke_lease, lease
        )
        if isinstance(revoked, Err):
            _LOG.info('the key will lapse by itself')

    async def _hold_office(self) -> None:
        now = self._node.loop.time()
        if self._tenure is not None and now >= self._tenure.act_until:
            _LOG.warning('tenure lapsed', extra={'fence': self._tenure.fence})
            self._tenure = None
        if self._tenure is None:
            await self._try_win()
        elif now >= self._renew_at:
            await self._renew(self._tenure)

    async def _try_win(self) -> None:
        if self._holder and self._holder != self._node.node_id:
            return
        store = self._worker.store
        asked_at = self._node.loop.time()
        self._lease = await self._worker.run(store.grant_lease, LEASE_S)
        transaction = Transaction(
            conditions=[Absent(self._key)],
            puts=[Put(self._key, self._node.node_id, self._lease)],
            read=[self._key],
        )
        done = await self._worker.run(store.commit, transaction)
        if not done.succeeded:
            self._holder = done.found[self._key].text if done.found else ''
            return
        now = self._node.loop.time()
        self._tenure = Tenure.begin(done.revision, asked_at, now)
        self._renew_at = asked_at + RENEW_EVERY_S
        _LOG.info('commanding', extra={'fence': done.revision})

    async def _renew(self, tenure: Tenure) -> None:
        asked_at = self._node.loop.time()
        held = await self._worker.run(
            self._worker.store.renew_lease, self._lease
        )
        if not held:
            self._tenure = None
            return
        tenure.renew(asked_at)
        self._renew_at = asked_at + RENEW_EVERY_S

    async def _order_all(self, tenure: Tenure) -> None:
        wanted = self._pick_asked()
        found = await asyncio.gather(*map(_ask_status, wanted))
        answered = dict(
            zip([endpoint.name for endpoint in wanted], found, strict=True)
        )
        for name, status in answered.items():
            self._statuses.pop(name, None)
            if status is not None:
                self._statuses[name] = status
        wanted = [item for item in wanted if answered[item.name] is not None]
        limits = self._node.router.state.configuration.limits
        now = self._node.loop.time()
        orders = plan_orders(
            wanted, self._statuses, tenure, now, limits.loads_at_once
        )
        await asyncio.gather(*(self._send(order, tenure) for order in orders))

    async def _send(self, order: Order, tenure: Tenure) -> None:
        now = self._node.loop.time()
        if now + ORDER_TIMEOUT_S >= tenure.act_until:
            return
        desired = order.desired
        body = json.dumps(
            {
                'fence': order.fence,
                'version': desired.version,
                'adapters': desired.adapters,
                'role': desired.role,
            }
        )
        answer = await fetch(order.address, '/orders', body.encode())
        _LOG.info(
            'ordered',
            extra={
                'endpoint': order.endpoint,
                'fence': order.fence,
                'answered': answer is not None,
            },
        )

    def _pick_asked(self) -> list[Endpoint]:
        """Return whom to ask: who may be loading, then the longest unasked.

        Asking 770 engines every second would cost the commander half a core.
        """
        order = {name: at for at, name in enumerate(self._statuses)}
        wanted = self._list_wanted()
        wanted.sort(
            key=lambda endpoint: (
                not self._is_loading(endpoint.name),
                order.get(endpoint.name, -1),
            ),
        )
        return wanted[:_ASKED_AT_ONCE]

    def _is_loading(self, name: str) -> bool:
        status = self._statuses.get(name)
        return status is not None and status.is_loading

    def _list_wanted(self) -> list[Endpoint]:
        endpoints = self._node.router.state.configuration.endpoints
        return [
            endpoint
            for endpoint in endpoints.values()
            if endpoint.desired is not None
        ]


async def _ask_status(endpoint: Endpoint) -> Status | None:
    body = await fetch(endpoint.address, '/status')
    if body is None:
        return None
    try:
        answer = _ANSWERS.decode(body)
    except DecodeError:
        return None
    return Status(answer.version, answer.adapters, answer.role, answer.loading)
