"""Order engines to hold layers: one node does, elected through the store.

The lease's holder orders; before each order it asks the replica for the count
of orders it has taken and names it, so that an order that is carried out late,
after others, is refused. What replicas hold is read from them, never from what
was ordered.
"""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

from samphirerill.backends.store import StoreError
from samphirerill.fleet.chains import extract_chains
from samphirerill.fleet.model import format_layers
from samphirerill.fleet.repair import plan_moves
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import (
    ConditionFailedError,
    NoSuchLeaseError,
)
from samphirerill.relay.examiner import ask_report
from samphirerill.relay.orders import ACCEPTED, send_order

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        EngineSpec,
        LayerRange,
        Replica,
        Service,
    )
    from samphirerill.fleet.repair import Moves
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.follower import StoreHealth
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('commander')
KEY = 'samphirerill/commander'
_LEASE_S = 2.0
_RENEW_S = 0.6
_STEP_S = 0.2
# Replicas announce themselves one by one at the start; the first plan waits
# until no new one has come for this long.
_SETTLE_S = 0.6
# A goal not reached by then is given up and planned anew. Layers that are
# given up first wait for the streams that pass through them.
_GOAL_S = 12.0
_MOST_ROUNDS = 8
# A release replaces a replica about once a second.
_CALM_S = 1.2
# How long a replica is new; in a release the old one leaves within a second.
_NEWCOMER_S = 2.5
_DEFAULT_PAUSE_MS = 200.0
_MS_PER_S = 1000


class _Goal:
    """Layers that a replica should hold; given up at `until`."""

    __slots__ = ('is_accepted', 'layers', 'until')

    def __init__(self, layers: LayerRange, until: float) -> None:
        self.layers = layers
        self.until = until
        self.is_accepted = False


class _Planned:
    """For which fleet, and from which holdings, has been planned last."""

    __slots__ = ('fleet', 'holdings', 'rounds')

    def __init__(self, fleet: object) -> None:
        self.fleet = fleet
        self.holdings: tuple[Replica, ...] = ()
        self.rounds = 0


class Commander:
    """Holds the lease, if it can, and moves layers while it does.

    Parameters
    ----------
    state : EdgeState
        Replicas and configuration.
    store : PlatformStore
        Where the lease lies.
    health : StoreHealth
        Shared by all who call the store.
    """

    prefix = KEY

    def __init__(
        self, state: EdgeState, store: PlatformStore, health: StoreHealth
    ) -> None:
        self._state = state
        self._store = store
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._holder = ''
        self._seen = False
        self._lease = 0
        self._token = 0
        self._lease_until = 0.0
        self._renew_at = 0.0
        self._goals: dict[str, _Goal] = {}
        self._count = 0
        self._settled_at = 0.0
        self._is_leaving = False
        self._woken = asyncio.Event()
        self._planned: dict[str, _Planned] = {}
        self._calm: dict[str, tuple[frozenset[str] | None, float]] = {}
        self._first_seen: dict[str, float] = {}

    def take_all(self, items: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        self._seen = True
        self._holder = ''
        for item in items:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Somebody has become commander."""
        self._holder = item.text.decode()

    def take_gone(self, gone: DeletedKey) -> None:
        """There is no commander."""
        self._holder = ''

    async def run(self) -> None:
        """Seek the lease, and order while it is held."""
        while not self._is_leaving:
            try:
                await self._seek()
            except StoreError as exc:
                self._health.note_failure(exc, self._loop.time())
            if self._is_holder():
                await self._command()
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next step, or until a replica is lost."""
        self._woken.clear()
        try:
            async with asyncio.timeout(_STEP_S):
                await self._woken.wait()
        except TimeoutError:
            return

    def wake(self) -> None:
        """A replica was lost: don't wait for the next step."""
        self._woken.set()

    async def leave(self) -> None:
        """Let another node take over at once."""
        self._is_leaving = True
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as exc:
            _LOG.info('lease not ended', extra={'error': str(exc)})
        self._lease = 0

    def _is_holder(self) -> bool:
        return bool(self._lease) and self._loop.time() < self._lease_until

    async def _seek(self) -> None:
        now = self._loop.time()
        if self._lease:
            await self._keep(now)
        elif self._seen and not self._holder and now >= self._renew_at:
            await self._acquire(now)

    async def _keep(self, now: float) -> None:
        if now < self._renew_at:
            return
        self._renew_at = now + _RENEW_S
        try:
            await self._store.renew_lease(self._lease)
        except NoSuchLeaseError:
            _LOG.warning('command lost', extra={'token': self._token})
            self._lease = 0
            self._holder = ''
            return
        self._lease_until = now + _LEASE_S

    async def _acquire(self, now: float) -> None:
        self._renew_at = now + _RENEW_S * (0.5 + self._state.random.random())
        lease = await self._store.grant_lease(_LEASE_S)
        name = self._state.settings.name.encode()
        try:
            self._token = await self._store.write({KEY: name}, {KEY: 0}, lease)
        except ConditionFailedError:
            await self._store.end_lease(lease)
            return
        self._lease = lease
        self._lease_until = now + _LEASE_S
        self._renew_at = now + _RENEW_S
        _LOG.info('command taken', extra={'token': self._token})

    async def _command(self) -> None:
        cfg = self._state.cfg
        if cfg is None or self._health.may_lapse(self._loop.time()):
            # Announcements that are missing may only have lapsed; layers must
            # not be loaded anew because of that.
            return
        for service in cfg.services.values():
            if service.engine is not None and service.engine.layers:
                await self._command_service(service, service.engine)

    def _has_settled(self, present: list[Replica], now: float) -> bool:
        """Return whether all replicas of a first plan have announced."""
        if any(replica.layers is not None for replica in present):
            return True
        if len(present) != self._count:
            self._count = len(present)
            self._settled_at = now + _SETTLE_S
        return now >= self._settled_at

    async def _command_service(
        self, service: Service, engine: EngineSpec
    ) -> None:
        now = self._loop.time()
        present = self._list_present(service.name, now)
        if not self._has_settled(present, now):
            return
        settled = self._list_settled(present, now)
        is_calm = self._is_calm(service.name, present, now)
        fleet = (engine, frozenset(replicas_by_id(present)), settled, is_calm)
        if not self._may_plan(service.name, fleet, tuple(present)):
            await self._pursue(engine, present)
            return
        moves = plan_moves(
            engine,
            present,
            self._get_pause_ms(service),
            settled,
            is_calm=is_calm,
        )
        self._log_fleet(service, engine, present, moves)
        for replica_id, layers in moves.items():
            self._goals[replica_id] = _Goal(layers, now + _GOAL_S)
        await self._pursue(engine, present)

    def _is_calm(
        self, service: str, present: list[Replica], now: float
    ) -> bool:
        """Return whether nothing is under way and nobody came or went."""
        ids = frozenset(replicas_by_id(present))
        if any(name in self._goals for name in ids):
            # One change at a time: a second one would take apart what the
            # first is still loading, and with it every pipeline at once.
            return False
        known_ids, since = self._calm.get(service, (None, 0.0))
        if ids != known_ids:
            self._calm[service] = (ids, now)
            return False
        return since + _CALM_S <= now

    def _may_plan(
        self, service: str, fleet: object, holdings: tuple[Replica, ...]
    ) -> bool:
        """Return whether something has changed that a plan should answer.

        Plans that answered to their own effects have moved the same layers to
        and fro for ever; each fleet is planned for a few times only.
        """
        known = self._planned.get(service)
        if known is None or known.fleet != fleet:
            known = _Planned(fleet)
            self._planned[service] = known
        elif known.holdings == holdings or known.rounds >= _MOST_ROUNDS:
            return False
        known.rounds += 1
        known.holdings = holdings
        return True

    async def _pursue(self, engine: EngineSpec, present: list[Replica]) -> None:
        """Order what is wanted and not yet accepted."""
        orders = [
            self._order(engine, replica, self._goals[replica.replica_id])
            for replica in present
            if self._is_open(replica.replica_id)
        ]
        if orders:
            await asyncio.gather(*orders)

    def _is_open(self, replica_id: str) -> bool:
        goal = self._goals.get(replica_id)
        return goal is not None and not goal.is_accepted

    def _log_fleet(
        self,
        service: Service,
        engine: EngineSpec,
        present: list[Replica],
        moves: Moves,
    ) -> None:
        chains = extract_chains(engine, present)
        _LOG.info(
            'fleet',
            extra={
                'service': service.name,
                'replicas': len(present),
                'empty': sum(item.layers is None for item in present),
                'missing': [chain.count_missing() for chain in chains],
                'moves': len(moves),
            },
        )

    def _list_present(self, service: str, now: float) -> list[Replica]:
        """Return live replicas as if all goals had been reached."""
        present = []
        for found in self._state.view.list_live(service, now):
            replica = found.replica
            goal = self._goals.get(replica.replica_id)
            if goal is not None and replica.layers == goal.layers:
                self._goals.pop(replica.replica_id)
            elif goal is not None and now >= goal.until:
                _LOG.warning(
                    'layers not reached',
                    extra={
                        'replica': replica.replica_id,
                        'wanted': format_layers(goal.layers),
                        'held': format_layers(replica.layers),
                    },
                )
                self._goals.pop(replica.replica_id)
            elif goal is not None:
                replica = replace(replica, layers=goal.layers)
            present.append(replica)
        return present

    def _list_settled(
        self, present: list[Replica], now: float
    ) -> frozenset[str]:
        """Return the replicas that have been there for a while.

        In a release the new replica starts just before an old one leaves;
        it should wait for that one's layers rather than load others.
        """
        ids = {replica.replica_id for replica in present}
        self._first_seen = {
            name: self._first_seen.get(name, now) for name in ids
        }
        return frozenset(
            name
            for name, since in self._first_seen.items()
            if since + _NEWCOMER_S <= now
        )

    def _get_pause_ms(self, service: Service) -> float:
        pauses = [
            route.gap_s * _MS_PER_S
            for route in self._state.cfg.routes
            if route.gap_s
            and any(share.service == service.name for share in route.shares)
        ]
        return min(pauses, default=_DEFAULT_PAUSE_MS)

    async def _order(
        self, engine: EngineSpec, replica: Replica, goal: _Goal
    ) -> None:
        """Order one replica; a replica never gets more than it can hold."""
        layers = goal.layers
        kind = engine.accelerators.get(replica.accelerator)
        if kind is None or layers.count * engine.layer_mb > kind.size_mb:
            _LOG.error('order refused', extra={'replica': replica.replica_id})
            self._goals.pop(replica.replica_id, None)
            return
        report = await ask_report(self._state, replica)
        if report is None:
            return
        if report.is_busy or report.layers == layers or not self._is_holder():
            return
        order = self._state.dialect.encode_place(
            layers, report.orders_taken, self._token
        )
        status = await send_order(self._state, replica, order)
        _LOG.info(
            'ordered',
            extra={
                'replica': replica.replica_id,
                'kind': replica.accelerator,
                'layers': format_layers(layers),
                'held': format_layers(report.layers),
                'status': status,
            },
        )
        if status in ACCEPTED:
            goal.is_accepted = True


def replicas_by_id(replicas: list[Replica]) -> dict[str, Replica]:
    """Return replicas by their id."""
    return {replica.replica_id: replica for replica in replicas}
