"""Control loop that assigns model layers to engines, run by the leader.

Before each order the leader reads the replica's order count and includes it in
the order as a precondition, so that the engine rejects an order that arrives
late, after others. Which layers a replica holds is always read from the
replica, never inferred from orders that were sent.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from samphirerill.backends.store import StoreError
from samphirerill.fleet.goodput import PlanTargets
from samphirerill.fleet.model import MS_PER_S, format_layers
from samphirerill.fleet.rates import DEFAULT_PAUSE_MS
from samphirerill.fleet.repair import count_complete, plan_moves
from samphirerill.fleet.timing import PlanTiming
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.probing import fetch_report
from samphirerill.relay.orders import ACCEPTED_STATUSES, send_order

if TYPE_CHECKING:
    from samphirerill.fleet.model import (
        EngineSpec,
        FleetConfiguration,
        LayerRange,
        Replica,
    )
    from samphirerill.fleet.repair import Moves
    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.health.loss_prober import LossProber
    from samphirerill.relay.leadership import Leadership
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('commander')
_RECONCILE_INTERVAL_S = 0.2
# An assignment not reached within this time is dropped and planned again. It
# allows for streams to drain from the layers that a replica unloads.
_ASSIGNMENT_TIMEOUT_S = 12.0
# Between attempts to send an order to a replica. Each attempt first fetches its
# report, which uses a connection.
_ORDER_RETRY_S = 0.5


@dataclass(slots=True)
class _Assignment:
    """Layers assigned to a replica.

    Attributes
    ----------
    layers : LayerRange
        The layers that it should hold.
    expires_at : float
        When the assignment expires, on the loop's clock.
    replica : Replica
        The replica as announced when it was assigned; a restarted process
        with the same id does not inherit the assignment.
    is_accepted : bool
        Whether the engine has accepted the order.
    next_attempt_at : float
        When the order may be sent at the earliest, on the loop's clock.
    """

    layers: LayerRange
    expires_at: float
    replica: Replica
    is_accepted: bool = False
    next_attempt_at: float = 0.0

    def is_same_process(self, replica: Replica) -> bool:
        """Return whether `replica` is still the same engine process."""
        return not replica.is_different_process(self.replica.started_ms)


class LayerController:
    """Reassigns layers among replicas while this node is the leader.

    Parameters
    ----------
    state : EdgeState
        Replicas and configuration.
    leadership : Leadership
        Leader election by a lease in the store.
    health : StoreHealth
        Tells whether announcements may be missing because their leases
        expired during a store outage.
    loss_prober : LossProber
        Probes replicas that have sent nothing since a failure began.
    """

    def __init__(
        self,
        state: EdgeState,
        leadership: Leadership,
        health: StoreHealth,
        loss_prober: LossProber,
    ) -> None:
        self._loss_prober = loss_prober
        self._state = state
        self._leadership = leadership
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._assignments: dict[str, _Assignment] = {}
        self._timings: defaultdict[str, PlanTiming] = defaultdict(PlanTiming)
        self._is_stopping = False
        self._wake_event = asyncio.Event()

    async def run(self) -> None:
        """Acquire or renew leadership, and reconcile layers while leading."""
        while not self._is_stopping:
            try:
                await self._leadership.campaign_or_renew()
            except StoreError as exc:
                self._health.record_failure(exc, self._loop.time())
            await self._reconcile()
            await self._wait_for_next_step()

    def trigger(self) -> None:
        """Start the next iteration at once, because a replica was lost."""
        self._wake_event.set()

    async def stop(self) -> None:
        """Stop sending orders and release leadership to another node."""
        self._is_stopping = True
        await self._leadership.resign()

    async def _wait_for_next_step(self) -> None:
        self._wake_event.clear()
        try:
            async with asyncio.timeout(_RECONCILE_INTERVAL_S):
                await self._wake_event.wait()
        except TimeoutError:
            return

    async def _reconcile(self) -> None:
        cfg = self._state.cfg
        if cfg is None or not self._leadership.is_leader():
            return
        now = self._loop.time()
        presence_s = self._state.compute_leaving_deadline(now) - now
        if not self._health.is_view_complete(now, presence_s):
            # Announcements may be missing only because their leases expired.
            return
        if self._state.view.current_failure.is_in_progress(now):
            # Failures are still being detected: plan once for all of them
            # rather than once for each. The loss of nine replicas led to eight
            # plans in a second, and one replica was ordered four times.
            return
        await asyncio.gather(
            *(
                self._reconcile_service(cfg, service.name, service.engine)
                for service in cfg.services.values()
                if service.engine is not None and service.engine.layers
            )
        )

    async def _reconcile_service(
        self, cfg: FleetConfiguration, service: str, engine: EngineSpec
    ) -> None:
        present = await self._list_responsive(service)
        now = self._loop.time()
        if self._state.view.current_failure.is_in_progress(now):
            # Further failures were detected while replicas were probed.
            return
        timing = self._timings[service]
        timing.observe(present, now)
        if not timing.has_settled(present, now):
            return
        settled = timing.list_settled(now)
        is_stable = timing.is_stable(now) and not self._has_assignments(present)
        scope = (engine, service, _list_ids(present), settled, is_stable)
        if timing.should_plan(scope, present):
            complete_pipelines = count_complete(engine, present)
            timing.note_complete(complete_pipelines)
            moves = plan_moves(
                engine,
                present,
                PlanTargets(
                    _find_gap_target_ms(cfg, service),
                    policy=self._state.settings.policy,
                ),
                settled,
                is_stable=is_stable,
                max_complete=timing.max_complete,
            )
            self._record_plan(service, present, complete_pipelines, moves)
        await self._send_due_orders(engine, present)

    def _has_assignments(self, present: list[Replica]) -> bool:
        """Return whether any assignment is in progress.

        Rebalancing meanwhile would unload layers that are still being loaded
        and could break every pipeline at once.
        """
        return any(
            replica.replica_id in self._assignments for replica in present
        )

    async def _list_responsive(self, service: str) -> list[Replica]:
        """Return the present replicas, leaving out those that do not answer.

        They are probed only shortly after a failure; a plan that counts dead
        replicas as present takes broken pipelines for complete ones.
        """
        now = self._loop.time()
        present = self._list_present(service, now)
        if not self._state.view.current_failure.is_recent(now):
            return present
        dead = await self._loss_prober.probe_unconfirmed(present)
        return [
            replica
            for replica in self._list_present(service, self._loop.time())
            if replica.replica_id not in dead
        ]

    def _list_present(self, service: str, now: float) -> list[Replica]:
        """Return the present replicas as if all assignments were complete.

        A replica that only one node suspects counts as present: one stalled
        node must not cause layers to be reloaded.
        """
        return [
            self._apply_assignment(known, now)
            for known in self._state.view.list_unconfirmed(service, now)
        ]

    def _apply_assignment(self, known: ReplicaState, now: float) -> Replica:
        replica = known.replica
        assignment = self._assignments.get(replica.replica_id)
        if assignment is None:
            return replica
        if not assignment.is_same_process(replica):
            self._assignments.pop(replica.replica_id)
            return replica
        if replica.layers != assignment.layers and now < assignment.expires_at:
            return replace(replica, layers=assignment.layers)
        if replica.layers != assignment.layers:
            _LOG.warning(
                'replica did not load its assigned layers in time',
                extra={
                    'replica': replica.replica_id,
                    'wanted': format_layers(assignment.layers),
                    'held': format_layers(replica.layers),
                },
            )
        self._assignments.pop(replica.replica_id)
        return replica

    def _record_plan(
        self,
        service: str,
        present: list[Replica],
        complete_pipelines: dict[str, int],
        moves: Moves,
    ) -> None:
        expires_at = self._loop.time() + _ASSIGNMENT_TIMEOUT_S
        for replica in present:
            layers = moves.get(replica.replica_id)
            if layers is not None:
                assignment = _Assignment(layers, expires_at, replica)
                self._assignments[replica.replica_id] = assignment
        _LOG.info(
            'layers planned',
            extra={
                'service': service,
                'replicas': len(present),
                'empty': sum(item.layers is None for item in present),
                'whole': complete_pipelines,
                'moves': len(moves),
            },
        )

    async def _send_due_orders(
        self, engine: EngineSpec, present: list[Replica]
    ) -> None:
        """Send the orders that are due and not yet accepted."""
        now = self._loop.time()
        orders = []
        for replica in present:
            assignment = self._assignments.get(replica.replica_id)
            is_due = (
                assignment is not None and assignment.next_attempt_at <= now
            )
            if assignment is not None and is_due and not assignment.is_accepted:
                orders.append(
                    self._send_layer_order(engine, replica, assignment)
                )
        await asyncio.gather(*orders)

    async def _send_layer_order(
        self, engine: EngineSpec, replica: Replica, assignment: _Assignment
    ) -> None:
        """Send one order, unless the layers exceed the replica's memory."""
        assignment.next_attempt_at = self._loop.time() + _ORDER_RETRY_S
        accelerator = engine.accelerators.get(replica.accelerator)
        if (
            accelerator is None
            or assignment.layers.count * engine.layer_mb > accelerator.size_mb
        ):
            _LOG.error(
                'assigned layers exceed the memory of the replica',
                extra={'replica': replica.replica_id},
            )
            self._assignments.pop(replica.replica_id, None)
            return
        report = await fetch_report(self._state, replica)
        if (
            report is None
            or report.is_busy
            or report.layers == assignment.layers
        ):
            return
        if replica.is_different_process(report.started_ms):
            # The replica restarted; its new announcement will follow.
            return
        if not self._leadership.is_leader():
            return
        order = self._state.adapter.encode_load_order(
            assignment.layers,
            report.order_count,
            self._leadership.fencing_token,
        )
        status = await send_order(self._state, replica, order)
        assignment.is_accepted = status in ACCEPTED_STATUSES
        if assignment.is_accepted:
            assignment.expires_at = self._loop.time() + _ASSIGNMENT_TIMEOUT_S
        _LOG.info(
            'layer order sent',
            extra={
                'replica': replica.replica_id,
                'kind': replica.accelerator,
                'layers': format_layers(assignment.layers),
                'held': format_layers(report.layers),
                'status': status,
            },
        )


def _list_ids(replicas: list[Replica]) -> frozenset[str]:
    return frozenset(replica.replica_id for replica in replicas)


def _find_gap_target_ms(cfg: FleetConfiguration, service: str) -> float:
    """Return the shortest gap target of the service's routes.

    A route's gap target is the longest pause allowed between two events.
    """
    gap_targets = [
        route.gap_s * MS_PER_S
        for route in cfg.routes
        if route.gap_s
        and any(share.service == service for share in route.service_weights)
    ]
    return min(gap_targets, default=DEFAULT_PAUSE_MS)
