"""The other nodes: who they are, and telling them of this one.

Nodes announce themselves in the store under a lease. Each tells the others its
load and its suspicions by datagram, soon after a change and now and then
besides.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from msgspec import DecodeError, ValidationError, json, msgpack

from samphirerill.backends.store import StoreError
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import NoSuchLeaseError
from samphirerill.relay.leases import give_up_lease
from samphirerill.relay.listeners import listen
from samphirerill.relay.messages import (
    Announced,
    ReplicaNames,
    Told,
    build_told,
    take_told,
)
from samphirerill.relay.news import PeerPages
from samphirerill.relay.peer_help import PeerHelp

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.follower import StoreHealth
    from samphirerill.relay.news import ChangeLog, NewsSource
    from samphirerill.relay.server import CallerConnection
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('members')
PREFIX = 'samphirerill/nodes/'
# A lease outlives two renewals that were lost.
_LEASE_S = 6.0
_RENEW_S = 1.5
# Load is told this soon after a change, and this often without one. At 8
# nodes it costs some 20 KB/s in all. Every node hears every other one: at 84
# nodes, told each 0.46 s, it took half of the nodes' processor time and most of
# the bytes between data centres; the pace falls with the number of nodes.
_TELL_S = 0.08
_TELL_PER_NODE_S = 0.012
_REPEAT_S = 0.4
_REPEAT_PER_NODE_S = 0.015
# A peer not heard of for so long is no longer told.
_FORGET_S = 20.0
_START_NUMBERS = 2_000_000_000


class _Peer:
    """Another node as this one knows it."""

    __slots__ = ('announced', 'exchange', 'heard_at', 'last', 'peers')

    def __init__(self, exchange: str, peers: str, *, announced: bool) -> None:
        self.exchange = exchange
        self.peers = peers
        self.announced = announced
        self.heard_at = 0.0
        self.last = (0, 0)


class Members(asyncio.DatagramProtocol):
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
    """

    prefix = PREFIX

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        news: NewsSource,
        log: ChangeLog,
    ) -> None:
        self._news = news
        self._log = log
        self._state = state
        self._store = store
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._help = PeerHelp(state, health)
        self._names = ReplicaNames(state.view)
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._connections: set[CallerConnection] = set()
        self._peers: dict[str, _Peer] = {}
        self._lease = 0
        self._number = 0
        self._started = state.random.randrange(_START_NUMBERS)
        self._told = (-1, -1)
        self._tell_at = 0.0

    async def start(self) -> None:
        """Open the ports for the other nodes."""
        pages = PeerPages(
            self._help.list_pages(), self._log, lambda: self._health.is_up
        )
        self._server = await listen(
            self._state.settings.peers, pages, self._connections
        )
        await self._loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(
                self._state.settings.host,
                self._state.settings.exchange_port,
            ),
        )
        self._state.listen(self._schedule)

    def close(self) -> None:
        """Close the ports for the other nodes."""
        if self._transport is not None:
            self._transport.close()
        if self._server is not None:
            self._server.close()
        for conn in tuple(self._connections):
            conn.cut()

    async def run(self) -> None:
        """Keep the announcement alive and the others informed."""
        renew_at = 0.0
        while True:
            now = self._loop.time()
            if now >= renew_at:
                self._loop.create_task(self._renew(), name='renew')
                renew_at = now + _RENEW_S
            self._tell()
            await asyncio.sleep(self._choose_repeat_s())

    async def leave(self) -> None:
        """End the announcement."""
        await give_up_lease(self._store, self._lease, _LOG)

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading of the announcements."""
        for peer in self._peers.values():
            peer.announced = False
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
        peer = self._peers.get(name)
        if peer is None or peer.exchange != found.exchange:
            peer = _Peer(found.exchange, found.peers, announced=True)
            self._peers[name] = peer
        peer.announced = True
        self._count()

    def take_gone(self, gone: DeletedKey) -> None:
        """A node has left, or its lease has lapsed."""
        peer = self._peers.get(gone.key.removeprefix(PREFIX))
        if peer is not None:
            peer.announced = False
        self._count()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note where datagrams are sent."""
        # The loop's own class does not say that it is one for datagrams.
        self._transport = cast('asyncio.DatagramTransport', transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take what another node tells."""
        try:
            told = msgpack.decode(data, type=Told)
        except (DecodeError, ValidationError) as exc:
            _LOG.warning('datagram is unreadable', extra={'error': str(exc)})
            return
        if told.node == self._state.settings.name:
            return
        peer = self._peers.get(told.node)
        if peer is None:
            port = self._state.settings.peers.rpartition(':')[2]
            peer = _Peer(
                f'{addr[0]}:{addr[1]}', f'{addr[0]}:{port}', announced=False
            )
            self._peers[told.node] = peer
        self._take_told(told, peer)

    def error_received(self, exc: Exception) -> None:
        """A datagram did not arrive; the next one says the same."""
        self._state.counters['datagrams.refused'] += 1

    def _take_told(self, told: Told, peer: _Peer) -> None:
        """Take news; datagrams may overtake each other."""
        if told.started == peer.last[0] and told.number <= peer.last[1]:
            return
        now = self._loop.time()
        peer.last = (told.started, told.number)
        peer.heard_at = now
        take_told(self._state, self._names, told, now)
        self._count()
        self._state.notify()
        self._news.note_others(told.revision, self._log.revision)
        self._help.consider(peer.peers, told.version, told.revision)

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
        mine = Announced(self._own_exchange(), self._state.settings.peers)
        key = f'{PREFIX}{self._state.settings.name}'
        await self._store.write({key: json.encode(mine)}, {}, lease)
        self._lease = lease

    def _schedule(self) -> None:
        """Something has changed: tell it soon, and once for many changes."""
        if self._versions() == self._told or self._tell_at:
            return
        wait_s = max(_TELL_S, _TELL_PER_NODE_S * len(self._peers))
        self._tell_at = self._loop.time() + wait_s
        self._loop.call_at(self._tell_at, self._tell)

    def _tell(self) -> None:
        self._tell_at = 0.0
        if self._transport is None:
            return
        self._told = self._versions()
        self._number += 1
        now = self._loop.time()
        told = build_told(self._state, self._started, self._number, now)
        data = msgpack.encode(told)
        for address in self._list_addresses(now):
            host, _, port = address.rpartition(':')
            self._transport.sendto(data, (host, int(port)))

    def _versions(self) -> tuple[int, int]:
        return self._state.book.own_version, self._state.view.own_version

    def _choose_repeat_s(self) -> float:
        """Return how often load is told though nothing has changed."""
        return max(_REPEAT_S, _REPEAT_PER_NODE_S * len(self._peers))

    def _list_addresses(self, now: float) -> set[str]:
        addresses = {
            peer.exchange
            for peer in self._peers.values()
            if peer.announced or peer.heard_at + _FORGET_S > now
        }
        seeds = self._state.settings.seeds
        if len(addresses) < len(seeds):
            # Ports are the same on all nodes.
            port = self._state.settings.exchange_port
            addresses.update(
                f'{seed.rpartition(":")[0]}:{port}' for seed in seeds
            )
        addresses.discard(self._own_exchange())
        return addresses

    def _own_exchange(self) -> str:
        return (
            f'{self._state.settings.host}:{self._state.settings.exchange_port}'
        )

    def _count(self) -> None:
        announced = {
            name: peer.peers
            for name, peer in self._peers.items()
            if peer.announced
        }
        self._state.peer_count = len(announced)
        self._news.take_peers(announced)
