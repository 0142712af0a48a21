"""The replicas that one request was sent to, and its route's limit on them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.view import is_suspected
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('streams')


class UsedReplicas:
    """Counts the replicas that a request may have run on.

    A route limits their number. Replicas that have ended do not count; for one
    that is unresponsive or no longer announced, that has to be proven.

    Parameters
    ----------
    state : EdgeState
        Which replicas are announced, and which have ended.
    context : RequestContext
        The request, whose route sets the limit.
    prober : ReplicaProber
        Probes replicas that may have ended.
    """

    __slots__ = ('_broken_ids', '_context', '_prober', '_state', '_used')

    def __init__(
        self, state: EdgeState, context: RequestContext, prober: ReplicaProber
    ) -> None:
        self._state = state
        self._context = context
        self._prober = prober
        self._used: dict[str, Replica] = {}
        # Replicas that broke off a run and may have ended.
        self._broken_ids: set[str] = set()

    def __len__(self) -> int:
        """Return how many replicas the request was sent to."""
        return len(self._used)

    def note_sent(self, replica: Replica) -> bool:
        """Record that the request is sent; return whether the replica is new."""
        is_new = replica.replica_id not in self._used
        self._used[replica.replica_id] = replica
        return is_new

    def note_broken(self, replica_id: str) -> None:
        """Record that a replica has broken off a run."""
        self._broken_ids.add(replica_id)

    def discard(self, replica_id: str) -> None:
        """Forget a replica that has rejected the request without running it."""
        self._used.pop(replica_id, None)

    def may_send(self, replica: Replica) -> bool:
        """Return whether the request may be sent to a replica."""
        allowed = self.get_allowed()
        return not allowed or replica.replica_id in allowed

    def get_allowed(self) -> frozenset[str]:
        """Return the replicas that are allowed; empty for any."""
        counted = self._list_counted()
        if len(counted) < self._context.route.max_attempts:
            return frozenset()
        return frozenset(replica.replica_id for replica in counted)

    async def verify(self) -> bool:
        """Probe the used replicas that may have ended, if the limit is reached.

        One that does not answer, though others do, and that has not renewed its
        entry either, is taken for ended.

        Returns
        -------
        bool
            Whether one of them has ended.
        """
        doubtful = self._list_doubtful()
        if not doubtful:
            return False
        dead = await self._prober.probe_replicas(doubtful)
        now = asyncio.get_running_loop().time()
        view = self._state.view
        for replica in doubtful:
            replica_id = replica.replica_id
            if replica_id in dead and replica_id not in view.replicas:
                view.ended.note(replica, now)
            self._log_verified(replica)
        return any(map(view.has_ended, doubtful))

    def _list_counted(self) -> list[Replica]:
        return [
            replica
            for replica in self._used.values()
            if not self._state.view.has_ended(replica)
        ]

    def _list_doubtful(self) -> list[Replica]:
        """Return the counted replicas that may have ended."""
        counted = self._list_counted()
        if len(counted) < self._context.route.max_attempts:
            return []
        return [replica for replica in counted if self._is_doubtful(replica)]

    def _is_doubtful(self, replica: Replica) -> bool:
        view = self._state.view
        replica_id = replica.replica_id
        now = asyncio.get_running_loop().time()
        return (
            replica_id in self._broken_ids
            or replica_id not in view.replicas
            or is_suspected(view, replica_id, now)
        )

    def _log_verified(self, replica: Replica) -> None:
        view = self._state.view
        replica_id = replica.replica_id
        _LOG.info(
            'used replica verified',
            extra={
                'request': self._context.request_id,
                'replica': replica_id,
                'has_ended': view.has_ended(replica),
                'is_announced': replica_id in view.replicas,
                'is_leaving': view.is_leaving(replica_id),
            },
        )
