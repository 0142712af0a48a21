"""Which node commands the engines: a lease in the store decides."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.platform.store import (
    ConditionFailedError,
    NoSuchLeaseError,
)
from samphirerill.relay.leases import give_up_lease

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('leadership')
KEY = 'samphirerill/commander'
# Short, so that another node takes over soon; renewals cost a tenth of a read.
_LEASE_S = 2.0
_RENEW_S = 0.6
# Over how long the nodes spread their asking for a free lease: the first of them
# asks about this long after it has become free, whatever their number.
_SPREAD_PER_NODE_S = 0.02
_MOST_SPREAD_S = 1.0


class Leadership:
    """Seeks the lease and keeps it.

    Parameters
    ----------
    state : EdgeState
        The node's name and source of chance.
    store : PlatformStore
        Where the lease lies.
    """

    prefix = KEY

    def __init__(self, state: EdgeState, store: PlatformStore) -> None:
        self.token = 0
        self._state = state
        self._store = store
        self._loop = asyncio.get_running_loop()
        self._holder = ''
        self._has_read = False
        self._lease = 0
        self._lease_until = 0.0
        self._next_call = 0.0
        self._ask_at = 0.0

    @property
    def holder(self) -> str:
        """Return the name of the node that commands; empty if none does."""
        return self._holder

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        self._has_read = True
        self._holder = ''
        for item in found:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Some node commands now."""
        self._holder = item.text.decode()
        self._ask_at = 0.0

    def take_gone(self, gone: DeletedKey) -> None:
        """No node commands."""
        self._holder = ''

    def is_held(self) -> bool:
        """Return whether this node surely holds the lease."""
        return bool(self._lease) and self._loop.time() < self._lease_until

    async def seek(self) -> None:
        """Acquire the lease if it is free, renew it if it is held."""
        now = self._loop.time()
        if now < self._next_call:
            return
        if self._lease:
            await self._renew(now)
        elif self._has_read and not self._holder:
            await self._try_acquire(now)

    async def leave(self) -> None:
        """Let another node take over at once."""
        lease = self._lease
        self._lease = 0
        await give_up_lease(self._store, lease, _LOG)

    async def _renew(self, now: float) -> None:
        self._next_call = now + _RENEW_S
        try:
            await self._store.renew_lease(self._lease)
        except NoSuchLeaseError:
            _LOG.warning('command lost', extra={'token': self.token})
            self._lease = 0
            self._holder = ''
            return
        self._lease_until = now + _LEASE_S

    async def _try_acquire(self, now: float) -> None:
        """Acquire a free lease, unless another node does it sooner.

        All nodes see it free at the same time; of 70 that ask at once 69
        would have made three calls in vain.
        """
        if not self._ask_at:
            spread_s = _SPREAD_PER_NODE_S * self._state.count_nodes()
            spread_s = min(_MOST_SPREAD_S, spread_s)
            self._ask_at = now + spread_s * self._state.random.random()
        if now >= self._ask_at:
            self._ask_at = 0.0
            await self._acquire(now)

    async def _acquire(self, now: float) -> None:
        self._next_call = now + _RENEW_S * (0.5 + self._state.random.random())
        lease = await self._store.grant_lease(_LEASE_S)
        name = self._state.settings.name.encode()
        try:
            self.token = await self._store.write({KEY: name}, {KEY: 0}, lease)
        except ConditionFailedError:
            await self._store.end_lease(lease)
            return
        self._lease = lease
        self._lease_until = now + _LEASE_S
        self._next_call = now + _RENEW_S
        _LOG.info('command taken', extra={'token': self.token})
