"""Leader election by a lease in the store; the leader controls the engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.revisions import describe_revision
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import (
    LeaseNotFoundError,
    PreconditionFailedError,
)
from samphirerill.relay.leases import revoke_lease

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('leadership')
LEADER_KEY = 'samphirerill/commander'
# Short, so that another node takes over soon after the leader fails.
_LEASE_TTL_S = 2.0
_RENEW_INTERVAL_S = 0.6
# Nodes campaign after a random delay of up to this much per node, so that the
# first one does so about this long after the leader is lost, in any fleet size.
_SPREAD_PER_NODE_S = 0.02
_MAX_SPREAD_S = 1.0


class Leadership:
    """Campaigns for leadership and renews the lease while leading.

    Parameters
    ----------
    state : EdgeState
        The node's name, random source and number of nodes.
    store : PlatformStore
        The store that holds the lease.

    Attributes
    ----------
    fencing_token : int
        The store revision at which this node last became the leader. Sent with
        each layer order, so that engines can reject those of a former leader.
        It includes the store's era, so that it rises even over a restore.
    """

    prefix = LEADER_KEY

    def __init__(self, state: EdgeState, store: PlatformStore) -> None:
        self.fencing_token = 0
        self._state = state
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._leader = ''
        self._has_listed = False
        self._lease = 0
        self._lease_expires_at = 0.0
        self._next_call_at = 0.0
        self._campaign_at = 0.0
        # Whether the lease may have been lost in a restore of the store.
        self._must_confirm = False
        self._no_campaign_until = 0.0
        store.era.add_restore_listener(self.handle_restore)

    @property
    def leader(self) -> str:
        """Return the name of the leader; empty if there is none."""
        return self._leader

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Replace the known leader by a full listing of the store."""
        self._has_listed = True
        self._leader = ''
        for item in found:
            self.apply_write(item)

    def apply_write(self, item: StoredItem) -> None:
        """Record a newly elected leader."""
        self._leader = item.text.decode()
        self._campaign_at = 0.0

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Record that there is no leader any more."""
        self._leader = ''

    def is_leader(self) -> bool:
        """Return whether this node is the leader and its lease is valid."""
        if not self._lease or self._must_confirm:
            return False
        return self._loop.time() < self._lease_expires_at

    def handle_restore(self) -> None:
        """Stop leading until the store has confirmed it, or wait to campaign.

        The restored store may have lost the leader's lease, while the leader
        does not know it yet. Another node must not lead before that lease would
        have expired.
        """
        now = self._loop.time()
        if self._lease:
            self._must_confirm = True
            self._next_call_at = now
        else:
            self._no_campaign_until = now + _LEASE_TTL_S

    async def campaign_or_renew(self) -> None:
        """Renew the lease if this node leads, or campaign if nobody does."""
        now = self._loop.time()
        if now < self._next_call_at:
            return
        if self._lease:
            await self._renew(now)
        elif self._may_campaign(now):
            await self._campaign(now)

    async def resign(self) -> None:
        """Resign, so that another node can take over at once."""
        lease = self._lease
        self._lease = 0
        await revoke_lease(self._store, lease, _LOG)

    async def _renew(self, now: float) -> None:
        self._next_call_at = now + _RENEW_INTERVAL_S
        try:
            await self._store.renew_lease(self._lease)
        except LeaseNotFoundError:
            self._step_down()
            return
        if self._must_confirm and not await self._is_confirmed():
            await self.resign()
            self._step_down()
            return
        self._must_confirm = False
        self._lease_expires_at = now + _LEASE_TTL_S

    async def _is_confirmed(self) -> bool:
        """Return whether the store still holds the leader's key of this node."""
        item, _ = await self._store.read(LEADER_KEY)
        return item is not None and item.lease == self._lease

    def _step_down(self) -> None:
        _LOG.warning(
            'leadership lost',
            extra={'token': describe_revision(self.fencing_token)},
        )
        self._lease = 0
        self._leader = ''
        self._must_confirm = False

    def _may_campaign(self, now: float) -> bool:
        is_vacant = self._has_listed and not self._leader
        return is_vacant and now >= self._no_campaign_until

    async def _campaign(self, now: float) -> None:
        """Campaign after a random delay, unless another node wins before.

        All nodes learn at the same time that there is no leader; without the
        delay, all but one would call the store in vain.
        """
        if not self._campaign_at:
            spread_s = _SPREAD_PER_NODE_S * self._state.count_nodes()
            spread_s = min(_MAX_SPREAD_S, spread_s)
            self._campaign_at = now + spread_s * self._state.random.random()
        if now >= self._campaign_at:
            self._campaign_at = 0.0
            await self._acquire(now)

    async def _acquire(self, now: float) -> None:
        self._next_call_at = now + _RENEW_INTERVAL_S * (
            0.5 + self._state.random.random()
        )
        lease = await self._store.grant_lease(_LEASE_TTL_S)
        name = self._state.settings.name.encode()
        try:
            self.fencing_token = await self._store.write(
                {LEADER_KEY: name}, {LEADER_KEY: 0}, lease
            )
        except PreconditionFailedError:
            await self._store.revoke_lease(lease)
            return
        if self._loop.time() < self._no_campaign_until:
            # The store was restored during these calls.
            await self._store.revoke_lease(lease)
            return
        self._lease = lease
        self._lease_expires_at = now + _LEASE_TTL_S
        self._next_call_at = now + _RENEW_INTERVAL_S
        _LOG.info(
            'leadership acquired',
            extra={'token': describe_revision(self.fencing_token)},
        )
