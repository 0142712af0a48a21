"""Order engines to hold layers, while this node commands.

Before each order the replica is asked how many orders it has taken, and the
order names that count: one that is carried out late, after others, is refused.
What replicas hold is read from them, never from what was ordered.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from samphirerill.backends.store import StoreError
from samphirerill.fleet.model import MS_PER_S, format_layers
from samphirerill.fleet.rates import DEFAULT_PAUSE_MS
from samphirerill.fleet.repair import count_whole, plan_moves
from samphirerill.fleet.timing import PlanTiming
from samphirerill.fleet.worth import Aims
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.probing import ask_report
from samphirerill.relay.orders import ACCEPTED, send_order

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        EngineSpec,
        FleetConfiguration,
        LayerRange,
        Replica,
    )
    from samphirerill.fleet.repair import Moves
    from samphirerill.fleet.view import Known
    from samphirerill.relay.health.survey import Survey
    from samphirerill.relay.leadership import Leadership
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('commander')
_STEP_S = 0.2
# A goal not reached by then is given up and planned anew. Layers that are
# given up first wait for the streams that pass through them.
_GOAL_S = 12.0
# One that is busy is asked again after so long; a load takes seconds, and each
# question costs a connection.
_ASK_AGAIN_S = 0.5


@dataclass(slots=True)
class _Goal:
    """Layers that a replica should hold; given up at `until`.

    `replica` is the start of it that the goal is for; it is not asked again
    before `ask_at`.
    """

    layers: LayerRange
    until: float
    replica: Replica
    is_accepted: bool = False
    ask_at: float = 0.0

    def is_for(self, replica: Replica) -> bool:
        """Return whether this start of a replica was meant."""
        return not replica.is_other_start(self.replica.started_ms)


class Commander:
    """Moves layers while this node holds the lease.

    Parameters
    ----------
    state : EdgeState
        Replicas and configuration.
    leadership : Leadership
        Whether this node commands.
    health : StoreHealth
        Whether announcements may be missing that are only lapsed.
    survey : Survey
        Asks whom nobody has heard from since a loss began.
    """

    def __init__(
        self,
        state: EdgeState,
        leadership: Leadership,
        health: StoreHealth,
        survey: Survey,
    ) -> None:
        self._survey = survey
        self._state = state
        self._leadership = leadership
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._goals: dict[str, _Goal] = {}
        self._timings: defaultdict[str, PlanTiming] = defaultdict(PlanTiming)
        self._is_leaving = False
        self._woken = asyncio.Event()

    async def run(self) -> None:
        """Seek the lease, and order while it is held."""
        while not self._is_leaving:
            try:
                await self._leadership.seek()
            except StoreError as exc:
                self._health.note_failure(exc, self._loop.time())
            await self._command()
            await self._pause()

    def wake(self) -> None:
        """A replica was lost: don't wait for the next step."""
        self._woken.set()

    async def leave(self) -> None:
        """Order nothing more, and let another node command."""
        self._is_leaving = True
        await self._leadership.leave()

    async def _pause(self) -> None:
        self._woken.clear()
        try:
            async with asyncio.timeout(_STEP_S):
                await self._woken.wait()
        except TimeoutError:
            return

    async def _command(self) -> None:
        cfg = self._state.cfg
        if cfg is None or not self._leadership.is_held():
            return
        now = self._loop.time()
        counted_s = self._state.find_leaves_at(now) - now
        if not self._health.knows_fleet(now, counted_s):
            # Layers must not be loaded anew because entries have lapsed.
            return
        if self._state.view.loss_round.is_under_way(now):
            # One loss gets one plan. Planned for while it came to light, nine
            # replicas cost eight plans in a second, each for what had just
            # been learned, and one replica was ordered four times.
            return
        await asyncio.gather(
            *(
                self._command_service(cfg, service.name, service.engine)
                for service in cfg.services.values()
                if service.engine is not None and service.engine.layers
            )
        )

    async def _command_service(
        self, cfg: FleetConfiguration, service: str, engine: EngineSpec
    ) -> None:
        present = await self._list_heard_present(service)
        now = self._loop.time()
        if self._state.view.loss_round.is_under_way(now):
            # More was lost while replicas were asked.
            return
        timing = self._timings[service]
        timing.observe(present, now)
        if not timing.has_settled(present, now):
            return
        settled = timing.list_settled(now)
        is_calm = timing.is_calm(now) and not self._is_busy(present)
        fleet = (engine, service, _list_ids(present), settled, is_calm)
        if timing.may_plan(fleet, present):
            whole = count_whole(engine, present)
            timing.note_whole(whole)
            moves = plan_moves(
                engine,
                present,
                Aims(
                    _find_pause_ms(cfg, service),
                    policy=self._state.settings.policy,
                ),
                settled,
                is_calm=is_calm,
                had=timing.had,
            )
            self._note_plan(service, present, whole, moves)
        await self._pursue(engine, present)

    def _is_busy(self, present: list[Replica]) -> bool:
        """Return whether a change is under way.

        A second one would take apart what the first is still loading, and
        with it every pipeline at once.
        """
        return any(replica.replica_id in self._goals for replica in present)

    async def _list_heard_present(self, service: str) -> list[Replica]:
        """Return replicas that are there; right after a loss, that answer.

        A plan that counted seven dead replicas as there reported three
        pipelines whole that were not, and had four others loaded for nothing.
        """
        now = self._loop.time()
        present = self._list_present(service, now)
        if not self._state.view.loss_round.is_recent(now):
            return present
        dead = await self._survey.ask_unheard(present)
        return [
            replica
            for replica in self._list_present(service, self._loop.time())
            if replica.replica_id not in dead
        ]

    def _list_present(self, service: str, now: float) -> list[Replica]:
        """Return replicas that are there, as if all goals had been reached.

        What only one node takes for dead is there: layers are not loaded
        anew because of a node that was held up.
        """
        return [
            self._assume_goal(found, now)
            for found in self._state.view.list_present(service, now)
        ]

    def _assume_goal(self, found: Known, now: float) -> Replica:
        replica = found.replica
        goal = self._goals.get(replica.replica_id)
        if goal is None:
            return replica
        if not goal.is_for(replica):
            self._goals.pop(replica.replica_id)
            return replica
        if replica.layers != goal.layers and now < goal.until:
            return replace(replica, layers=goal.layers)
        if replica.layers != goal.layers:
            _LOG.warning(
                'layers not reached',
                extra={
                    'replica': replica.replica_id,
                    'wanted': format_layers(goal.layers),
                    'held': format_layers(replica.layers),
                },
            )
        self._goals.pop(replica.replica_id)
        return replica

    def _note_plan(
        self,
        service: str,
        present: list[Replica],
        whole: dict[str, int],
        moves: Moves,
    ) -> None:
        until = self._loop.time() + _GOAL_S
        for replica in present:
            layers = moves.get(replica.replica_id)
            if layers is not None:
                goal = _Goal(layers, until, replica)
                self._goals[replica.replica_id] = goal
        _LOG.info(
            'fleet',
            extra={
                'service': service,
                'replicas': len(present),
                'empty': sum(item.layers is None for item in present),
                'whole': whole,
                'moves': len(moves),
            },
        )

    async def _pursue(self, engine: EngineSpec, present: list[Replica]) -> None:
        """Order what is wanted and not yet accepted."""
        now = self._loop.time()
        orders = []
        for replica in present:
            goal = self._goals.get(replica.replica_id)
            is_due = goal is not None and goal.ask_at <= now
            if goal is not None and is_due and not goal.is_accepted:
                orders.append(self._order(engine, replica, goal))
        await asyncio.gather(*orders)

    async def _order(
        self, engine: EngineSpec, replica: Replica, goal: _Goal
    ) -> None:
        """Order one replica; a replica never gets more than it can hold."""
        goal.ask_at = self._loop.time() + _ASK_AGAIN_S
        kind = engine.accelerators.get(replica.accelerator)
        if kind is None or goal.layers.count * engine.layer_mb > kind.size_mb:
            _LOG.error('order refused', extra={'replica': replica.replica_id})
            self._goals.pop(replica.replica_id, None)
            return
        report = await ask_report(self._state, replica)
        if report is None or report.is_busy or report.layers == goal.layers:
            return
        if replica.is_other_start(report.started_ms):
            # It started again; its new announcement is on its way.
            return
        if not self._leadership.is_held():
            return
        order = self._state.dialect.encode_place(
            goal.layers, report.orders_taken, self._leadership.token
        )
        status = await send_order(self._state, replica, order)
        goal.is_accepted = status in ACCEPTED
        if goal.is_accepted:
            goal.until = self._loop.time() + _GOAL_S
        _LOG.info(
            'ordered',
            extra={
                'replica': replica.replica_id,
                'kind': replica.accelerator,
                'layers': format_layers(goal.layers),
                'held': format_layers(report.layers),
                'status': status,
            },
        )


def _list_ids(replicas: list[Replica]) -> frozenset[str]:
    return frozenset(replica.replica_id for replica in replicas)


def _find_pause_ms(cfg: FleetConfiguration, service: str) -> float:
    """Return the shortest pause that a route of the service asks for."""
    pauses = [
        route.gap_s * MS_PER_S
        for route in cfg.routes
        if route.gap_s and any(part.service == service for part in route.shares)
    ]
    return min(pauses, default=DEFAULT_PAUSE_MS)
