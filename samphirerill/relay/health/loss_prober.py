"""Probe the whole fleet when several replicas are lost together.

A stalled stream only reveals the replica that it waits for. When a loss begins,
the nodes divide the replicas among them so that each is probed by two nodes; a
replica that both find unresponsive is dead for all nodes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.failure_detection import ProberAssignment
from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Mapping

    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('survey')
# Both probing nodes of a replica have reported by then. If only one has, the
# other may be lost too, and the next two nodes probe.
_FALLBACK_DELAY_S = 0.12
# Interval at which this node probes a dead replica.
_REPROBE_INTERVAL_S = 1.2
# Dead replicas are probed again before their suspicion expires, as a stream
# that was sent there would stall.
_REPROBE_BEFORE_EXPIRY_S = 0.6
_POLL_INTERVAL_S = 0.25


class LossProber:
    """Probes this node's share of the fleet when a loss begins.

    Parameters
    ----------
    state : EdgeState
        State of this node.
    prober : ReplicaProber
        Probes the replicas.
    alarms : Alarms
        Reports the results, and knows the other nodes.
    find_leader : callable
        Returns the name of the leader node; empty if there is none.
    """

    def __init__(
        self,
        state: EdgeState,
        prober: ReplicaProber,
        alarms: Alarms,
        find_leader: Callable[[], str],
    ) -> None:
        self._state = state
        self._prober = prober
        self._alarms = alarms
        self._find_leader = find_leader
        self._loop = asyncio.get_running_loop()
        self._nodes: Mapping[str, str] = {}
        self._assignment = ProberAssignment({})
        self._next_probe_at: dict[str, float] = {}
        self._loss_began_at = float('-inf')
        # Replicas suspected by one node that were handled, and when they were
        # reported.
        self._seen_unconfirmed: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        state.add_listener(self._on_state_change)

    async def run(self) -> None:
        """Probe dead replicas before their suspicions expire.

        Replicas whose probes proved nothing, as this node's link was saturated,
        are probed again too.
        """
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            await self._reprobe_dead()
            await self._prober.probe_inconclusive()

    async def probe_unconfirmed(self, replicas: Iterable[Replica]) -> set[str]:
        """Probe replicas that are not known to work since the loss began.

        Returns
        -------
        set of str
            The ids of those that are dead.
        """
        loss = self._state.view.current_failure
        alive = self._prober.find_alive(loss.last_extended_at)
        unconfirmed = [
            replica
            for replica in replicas
            if replica.replica_id not in alive
            and not loss.is_known_alive(replica.replica_id)
        ]
        return await self._prober.probe_replicas(unconfirmed)

    def _on_state_change(self) -> None:
        """Probe if a loss has begun or continues."""
        loss = self._state.view.current_failure
        if loss.last_extended_at > self._loss_began_at:
            self._loss_began_at = loss.last_extended_at
            self._start_task(self._probe_share())
        elif loss.unconfirmed != self._seen_unconfirmed:
            new = [
                name
                for name, at in loss.unconfirmed.items()
                if self._seen_unconfirmed.get(name) != at
            ]
            self._seen_unconfirmed = dict(loss.unconfirmed)
            self._start_task(self._confirm_suspicions(new))

    def _schedule_fallback(self) -> None:
        """Schedule probes of replicas that lack a second vote by then."""
        at = self._loop.time() + _FALLBACK_DELAY_S
        self._loop.call_at(
            at, lambda: self._start_task(self._probe_as_fallback())
        )

    async def _probe(self, names: Iterable[str]) -> set[str]:
        """Probe known replicas; return the ids of those that are dead."""
        known = self._state.view.replicas
        return await self._prober.probe_replicas(
            [known[name].replica for name in names]
        )

    async def _probe_as_fallback(self) -> None:
        """Probe replicas whose second probing node may be lost."""
        now = self._loop.time()
        view = self._state.view
        single_vote = [
            name
            for name, replica_state in view.replicas.items()
            if replica_state.suspicion.count_votes(now) == 1
            and replica_state.suspicion.get_own_report() is None
            and replica_state.replica.layers is not None
        ]
        if single_vote:
            await self._probe(self._select_own(single_vote, turn=1))

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(work, name='survey')
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _confirm_suspicions(self, names: Iterable[str]) -> None:
        """Probe replicas of this node's share that one other node suspects."""
        view = self._state.view
        unconfirmed = [
            name
            for name in names
            if name in view.replicas
            and view.replicas[name].suspicion.get_own_report() is None
        ]
        await self._probe(self._select_own(unconfirmed))

    async def _probe_share(self) -> None:
        since = self._loss_began_at
        alive = self._prober.find_alive(since)
        share = self._list_share()
        unconfirmed = [
            replica_state.replica
            for replica_state in share
            if replica_state.replica.replica_id not in alive
            and replica_state.suspicion.confirmed_until <= since
        ]
        dead = await self._prober.probe_replicas(unconfirmed)
        self._schedule_fallback()
        self._send_alive(share, since)
        if not unconfirmed:
            return
        _LOG.info(
            'replicas probed after a loss',
            extra={
                'share': len(share),
                'asked': len(unconfirmed),
                'dead': len(dead),
                'ms': round((self._loop.time() - since) * MS_PER_S),
            },
        )

    def _send_alive(self, share: Iterable[ReplicaState], since: float) -> None:
        """Report to the leader which replicas of the share work."""
        leader = self._find_leader()
        if leader == self._state.settings.name:
            return
        names = {replica_state.replica.replica_id for replica_state in share}
        alive = self._prober.find_alive(since)
        self._alarms.send_alive(
            leader,
            {name: at for name, at in alive.items() if name in names},
        )

    def _list_share(self) -> list[ReplicaState]:
        """Return the replicas of this node's share, except leaving ones."""
        view = self._state.view
        present = [
            name
            for name, replica_state in view.replicas.items()
            if replica_state.replica.layers is not None
            and not view.is_leaving(name)
        ]
        return [view.replicas[name] for name in self._select_own(present)]

    def _select_own(
        self, replica_ids: Iterable[str], turn: int = 0
    ) -> list[str]:
        nodes = self._alarms.list_nodes()
        if nodes != self._nodes:
            self._nodes = nodes
            self._assignment = ProberAssignment(nodes)
        name = self._state.settings.name
        return self._assignment.list_assigned(name, replica_ids, turn)

    async def _reprobe_dead(self) -> None:
        """Probe dead replicas of the share whose suspicion is about to expire.

        Both probing nodes of a replica renew their suspicion, as a death needs
        two votes.
        """
        now = self._loop.time()
        view = self._state.view
        due = [
            name
            for name, replica_state in view.replicas.items()
            if replica_state.suspicion.suspected_until > now
            and replica_state.suspicion.self_suspected_until
            <= now + _REPROBE_BEFORE_EXPIRY_S
            and self._next_probe_at.get(name, now) <= now
            and not view.is_leaving(name)
        ]
        own_share = self._select_own(due) if due else []
        if not own_share:
            return
        self._next_probe_at = {
            name: at for name, at in self._next_probe_at.items() if at > now
        }
        self._next_probe_at.update(
            dict.fromkeys(own_share, now + _REPROBE_INTERVAL_S)
        )
        dead = await self._probe(own_share)
        alive = self._prober.find_alive(now)
        self._alarms.broadcast_alive(
            {
                name: alive[name]
                for name in own_share
                if name in alive.keys() - dead
            }
        )
