"""Membership: the other nodes of the fleet, and the announcement of this one.

Nodes announce themselves in the store under a lease.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import json

from samphirerill.backends.store import StoreError
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import LeaseNotFoundError
from samphirerill.relay.change_source import PeerRequestHandler
from samphirerill.relay.datagram_receiver import DatagramReceiver
from samphirerill.relay.leases import revoke_lease
from samphirerill.relay.node_announcements import (
    AnnouncementReader,
    NodeAnnouncement,
)
from samphirerill.relay.peer_directory import PeerDirectory
from samphirerill.relay.path_checks import PathChecks
from samphirerill.relay.peer_sync import PeerSync
from samphirerill.relay.status_sender import StatusSender
from samphirerill.relay.tunnels import (
    TunnelPeers,
    TunnelServer,
    listen_for_peers,
)

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.change_source import ChangeSource
    from samphirerill.relay.datagrams import DatagramHandler
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.server import ClientConnection
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('members')
PREFIX = 'samphirerill/nodes/'
# The lease survives two lost renewals. Crashed nodes are detected earlier by
# missing datagrams, so frequent renewals would only load the store.
_LEASE_TTL_S = 12.0
_RENEW_INTERVAL_S = 4.0
# Spreads the renewals of all nodes after the store was restored.
_RENEWAL_SPREAD_S = 0.5
# By then a node that starts has heard the status of those that started with it.
_FIRST_REPORTS_S = 1.5


class Membership:
    """Maintains the list of nodes and the communication between them.

    Parameters
    ----------
    state : EdgeState
        Load, replicas and configuration.
    store : PlatformStore
        Where nodes announce themselves.
    health : StoreHealth
        Tracks whether the store answers; shared by all its users.
    change_source : ChangeSource
        Notified of the other nodes and of the store revisions that they have.
    log : ChangeLog
        Store changes that this node serves to others.
    alarms : Alarms
        Exchanged with other nodes through the same port.

    Attributes
    ----------
    tunnels : TunnelServer
        Connections to endpoints that this node relays for others.
    path_checks : PathChecks
        Checks whether this node reaches endpoints itself.
    """

    prefix = PREFIX

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        change_source: ChangeSource,
        log: ChangeLog,
        alarms: Alarms,
    ) -> None:
        self._change_source = change_source
        self._log = log
        self._state = state
        self._store = store
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._peer_sync = PeerSync(state, health)
        self._peers = PeerDirectory(
            state.settings.name, state.settings.data_centre
        )
        self._status_sender = StatusSender(state, self._peers)
        self._receiver = DatagramReceiver(
            state,
            self._peers,
            self._status_sender,
            change_source,
            log,
            self._peer_sync,
            alarms,
        )
        alarms.bind(self._status_sender)
        self.tunnels = TunnelServer(state)
        self.path_checks = PathChecks(
            state, TunnelPeers(state, self._peers), self.tunnels
        )
        self._server: asyncio.Server | None = None
        self._connections: set[ClientConnection] = set()
        self._lease = 0
        self._has_left = False
        self._has_listed = False
        self._reader = AnnouncementReader()
        self._renewal: asyncio.Task[None] | None = None
        store.era.add_restore_listener(self.renew_soon)

    async def start(self) -> None:
        """Open the ports for the other nodes."""
        handler = PeerRequestHandler(
            self._peer_sync.list_pages(), self._log, self._receives_from_store
        )
        self._server = await listen_for_peers(
            self._state.settings.peers, self.tunnels, handler, self._connections
        )
        await self._receiver.start()

    def add_datagram_handler(self, handler: DatagramHandler) -> None:
        """Let another component use the nodes' datagram port."""
        handler.bind(self._status_sender)
        self._receiver.add_handler(handler.type_prefix, handler.handle_datagram)

    def close(self) -> None:
        """Close the ports for the other nodes."""
        self._receiver.close()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.abort()
        self.tunnels.close()

    async def run(self) -> None:
        """Renew the lease and send the status until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._status_sender.run())
            group.create_task(self._keep_lease())
            group.create_task(self.path_checks.run())

    async def leave(self) -> None:
        """Remove the announcement; this node does not announce itself again."""
        self._has_left = True
        await revoke_lease(self._store, self._lease, _LOG)

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Replace all announcements by those of a full read."""
        self._peers.clear_announcements()
        for item in found:
            self.apply_write(item)
        if self._get_own_key() not in {entry.key for entry in found}:
            self._handle_lost_announcement()
        if not self._has_listed:
            self._has_listed = True
            self._expect_reports()
            self._loop.create_task(
                self._peer_sync.ask_at_start(
                    self._peers.list_announced().values()
                ),
                name='ask at start',
            )

    def apply_write(self, item: StoredItem) -> None:
        """Add an announcement."""
        name = item.key.removeprefix(PREFIX)
        if name == self._state.settings.name:
            return
        announcement = self._reader.read(item.key, item.text)
        if announcement is None:
            return
        self._peers.add_announcement(name, announcement)
        self._update_peers()

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Remove an announcement that was deleted or whose lease expired."""
        if gone.key == self._get_own_key():
            self._handle_lost_announcement()
            return
        self._peers.remove_announcement(gone.key.removeprefix(PREFIX))
        self._update_peers()

    def renew_soon(self) -> None:
        """Renew the lease soon, as the store may have lost it."""
        delay_s = _RENEWAL_SPREAD_S * self._state.random.random()
        self._loop.call_later(delay_s, self._start_renewal)

    def _get_own_key(self) -> str:
        return f'{PREFIX}{self._state.settings.name}'

    def _handle_lost_announcement(self) -> None:
        """Announce this node again, unless it has not done so yet."""
        if self._lease and not self._has_left:
            self._lease = 0
            self.renew_soon()

    def _start_renewal(self) -> None:
        """Renew the lease, unless that is in progress."""
        is_renewing = self._renewal is not None and not self._renewal.done()
        if not is_renewing and not self._has_left:
            self._renewal = self._loop.create_task(
                self._renew_or_reset(), name='renew'
            )

    def _expect_reports(self) -> None:
        """Assume load of the announced nodes until they have reported theirs."""
        self._state.load_tracker.expected_peers = self._state.peer_count
        self._loop.call_later(_FIRST_REPORTS_S, self._end_expectation)

    def _end_expectation(self) -> None:
        self._state.load_tracker.expected_peers = 0
        self._state.notify_listeners()

    def _receives_from_store(self) -> bool:
        """Return whether this node receives changes from the store itself."""
        return (
            self._health.is_up
            and not self._change_source.was_refused_by_store()
        )

    async def _keep_lease(self) -> None:
        while not self._has_left:
            self._start_renewal()
            await asyncio.sleep(_RENEW_INTERVAL_S)

    async def _renew_or_reset(self) -> None:
        try:
            await self._renew_lease()
        except LeaseNotFoundError:
            # The next renewal creates a new lease and announcement.
            self._lease = 0
            self.renew_soon()
        except StoreError as exc:
            self._health.record_failure(exc, self._loop.time())

    async def _renew_lease(self) -> None:
        if self._lease:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.grant_lease(_LEASE_TTL_S)
        settings = self._state.settings
        announcement = NodeAnnouncement(
            f'{settings.host}:{settings.exchange_port}',
            settings.peers,
            settings.data_centre,
        )
        key = self._get_own_key()
        await self._store.write({key: json.encode(announcement)}, {}, lease)
        self._lease = lease
        if self._has_left:
            # The node was shut down during the calls to the store.
            await revoke_lease(self._store, lease, _LOG)

    def _update_peers(self) -> None:
        announced = self._peers.list_announced()
        self._state.peer_count = len(announced)
        self._change_source.update_peers(announced)
