"""The other nodes: who they are, and that this one is there.

Nodes announce themselves in the store under a lease.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, ValidationError, json

from samphirerill.backends.store import StoreError
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import NoSuchLeaseError
from samphirerill.relay.hearing import Hearing
from samphirerill.relay.leases import give_up_lease
from samphirerill.relay.listeners import listen
from samphirerill.relay.messages import Announced
from samphirerill.relay.news import PeerPages
from samphirerill.relay.peer_help import PeerHelp
from samphirerill.relay.roster import Roster
from samphirerill.relay.telling import Telling

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.news import NewsSource
    from samphirerill.relay.post import Talk
    from samphirerill.relay.server import CallerConnection
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('members')
PREFIX = 'samphirerill/nodes/'
# A lease outlives two renewals that were lost. Who has died is known sooner by its
# silence; with renewals each 1.5 s, 195 nodes spent a third of their calls to the store
# on a calm day on them.
_LEASE_S = 12.0
_RENEW_S = 4.0


class Members:
    """Membership and what nodes tell each other.

    Parameters
    ----------
    state : EdgeState
        Load, replicas and configuration.
    store : PlatformStore
        Where nodes announce themselves.
    health : StoreHealth
        Shared by all who call the store.
    news : NewsSource
        Told of the other nodes, and of what they know.
    log : ChangeLog
        What this node passes on.
    alarms : Alarms
        Told to other nodes, and heard from them, by the same port.
    """

    prefix = PREFIX

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        news: NewsSource,
        log: ChangeLog,
        alarms: Alarms,
    ) -> None:
        self._news = news
        self._log = log
        self._state = state
        self._store = store
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._help = PeerHelp(state, health)
        self._roster = Roster(state.settings.name, state.settings.data_centre)
        self._telling = Telling(state, self._roster)
        self._hearing = Hearing(
            state, self._roster, self._telling, news, log, self._help, alarms
        )
        alarms.begin(self._telling)
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._lease = 0
        self._has_left = False

    async def start(self) -> None:
        """Open the ports for the other nodes."""
        pages = PeerPages(self._help.list_pages(), self._log, self._hears_store)
        self._server = await listen(
            self._state.settings.peers, pages, self._connections
        )
        await self._hearing.start()

    def add_talk(self, talk: Talk) -> None:
        """Let something else tell and hear by the same port."""
        talk.begin(self._telling)
        self._hearing.listen_for(talk.mark, talk.take)

    def close(self) -> None:
        """Close the ports for the other nodes."""
        self._hearing.close()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.cut()

    async def run(self) -> None:
        """Keep the announcement alive and the others informed."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._telling.run())
            group.create_task(self._keep_lease())

    async def leave(self) -> None:
        """End the announcement, for good."""
        self._has_left = True
        await give_up_lease(self._store, self._lease, _LOG)

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading of the announcements."""
        self._roster.forget_announced()
        for item in found:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Take one announcement."""
        name = item.key.removeprefix(PREFIX)
        if name == self._state.settings.name:
            return
        try:
            found = json.decode(item.text, type=Announced)
        except (DecodeError, ValidationError) as exc:
            _LOG.error('node is unreadable', extra={'error': str(exc)})
            return
        self._roster.note_announced(name, found)
        self._count()

    def take_gone(self, gone: DeletedKey) -> None:
        """A node has left, or its lease has lapsed."""
        self._roster.note_gone(gone.key.removeprefix(PREFIX))
        self._count()

    def _hears_store(self) -> bool:
        """Return whether what this node passes on comes from the store."""
        return self._health.is_up and not self._news.is_turned_away()

    async def _keep_lease(self) -> None:
        while not self._has_left:
            self._loop.create_task(self._renew(), name='renew')
            await asyncio.sleep(_RENEW_S)

    async def _renew(self) -> None:
        try:
            await self._renew_lease()
        except NoSuchLeaseError:
            # The next renewal announces this node anew.
            self._lease = 0
        except StoreError as exc:
            self._health.note_failure(exc, self._loop.time())

    async def _renew_lease(self) -> None:
        if self._lease:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.grant_lease(_LEASE_S)
        settings = self._state.settings
        mine = Announced(
            f'{settings.host}:{settings.exchange_port}',
            settings.peers,
            settings.data_centre,
        )
        key = f'{PREFIX}{self._state.settings.name}'
        await self._store.write({key: json.encode(mine)}, {}, lease)
        self._lease = lease
        if self._has_left:
            # The node left while the store was asked.
            await give_up_lease(self._store, lease, _LOG)

    def _count(self) -> None:
        announced = self._roster.list_announced()
        self._state.peer_count = len(announced)
        self._news.take_peers(announced)
