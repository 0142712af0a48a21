"""The other nodes: who they are, what load they carry, what they know.

Nodes announce themselves in the store under a lease. Each tells the others its
load and its suspicions by datagram, at once when it changes and now and then
besides. A node that the store turns away fetches what it lacks, a newer
configuration or list of replicas, from one that is served.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING, Any

from msgspec import DecodeError, Struct, ValidationError, json, msgpack

from samphirerill.backends.store import StoreError
from samphirerill.fleet.load import Held
from samphirerill.fleet.model import Replica
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import NoSuchLeaseError
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.listeners import Page, PageHandler, listen
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.follower import StoreHealth
    from samphirerill.relay.server import CallerConnection
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('members')
_OK = 200
PREFIX = 'samphirerill/nodes/'
# A lease outlives two renewals that were lost.
_LEASE_S = 6.0
_RENEW_S = 1.5
_RETRY_S = 0.4
# Load is told this soon after a change, and this often without one. At 8
# nodes it costs some 20 KB/s in all; the pace falls with the number of nodes.
_TELL_S = 0.04
_TELL_PER_NODE_S = 0.005
_REPEAT_S = 0.4
# A peer not heard of for so long is no longer told.
_FORGET_S = 20.0
_FETCH_TIMEOUT_S = 0.6
# News that the store should bring are fetched from a peer if they don't come.
_FETCH_AFTER_S = 0.3
_TOKENS_UNIT = 16
_MS_PER_S = 1000
_KNOWN_PATH = b'/replicas'
_CONFIGURATION_PATH = b'/configuration'


class _Announced(Struct):
    """What a node writes into the store: addresses, ``IP:PORT``."""

    exchange: str
    peers: str


class _Told(Struct, array_like=True):
    """A datagram. Replicas are named by the checksum of their id."""

    node: str
    started: int
    number: int
    version: int
    revision: int
    held: dict[int, tuple[int, int]]
    avoided: dict[int, int]
    # Milliseconds of transfer through each pipe since the node started.
    pipes: list[tuple[str, str, int]]


class _Peer:
    """Another node as this one knows it."""

    __slots__ = (
        'announced',
        'exchange',
        'heard_at',
        'last',
        'peers',
        'revision',
        'version',
    )

    def __init__(self, exchange: str, peers: str) -> None:
        self.exchange = exchange
        self.peers = peers
        self.announced = True
        self.heard_at = 0.0
        self.last = (0, 0)
        self.version = 0
        self.revision = 0


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
    """

    prefix = PREFIX

    def __init__(
        self, state: EdgeState, store: PlatformStore, health: StoreHealth
    ) -> None:
        self._state = state
        self._store = store
        self._health = health
        self._settings = state.settings
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._connections: set[CallerConnection] = set()
        self._peers: dict[str, _Peer] = {}
        self._seeds = self._list_seeds()
        self._lease = 0
        self._number = 0
        self._started = int(state.random.random() * (1 << 31))
        self._told = (-1, -1)
        self._tell_at = 0.0
        self._is_fetching = False
        self._names: dict[int, str] = {}
        self._names_of = -1
        self._own_exchange = (
            f'{self._settings.host}:{self._settings.exchange_port}'
        )

    async def start(self) -> None:
        """Open the ports for the other nodes."""
        pages = PageHandler(
            {
                _CONFIGURATION_PATH: self._get_configuration,
                _KNOWN_PATH: self._get_replicas,
            }
        )
        await listen(self._settings.peers, pages, self._connections)
        self._transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self,
            local_addr=(self._settings.host, self._settings.exchange_port),
        )
        self._state.listen(self._schedule)

    async def run(self) -> None:
        """Keep the announcement alive and the others informed."""
        renew_at = 0.0
        while True:
            now = self._loop.time()
            if now >= renew_at:
                self._loop.create_task(self._renew(), name='renew')
                renew_at = now + _RENEW_S
            self._tell()
            await asyncio.sleep(_REPEAT_S)

    async def leave(self) -> None:
        """End the announcement."""
        if not self._lease:
            return
        try:
            await self._store.end_lease(self._lease)
        except StoreError as exc:
            _LOG.info('lease not ended', extra={'error': str(exc)})

    def take_all(self, items: list[StoredItem], revision: int) -> None:
        """Take a whole reading of the announcements."""
        for peer in self._peers.values():
            peer.announced = False
        for item in items:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Take one announcement."""
        name = item.key.removeprefix(PREFIX)
        if name == self._settings.name:
            return
        try:
            found = json.decode(item.text, type=_Announced)
        except (DecodeError, ValidationError) as exc:
            _LOG.error('node is unreadable', extra={'error': str(exc)})
            return
        peer = self._peers.get(name)
        if peer is None or peer.exchange != found.exchange:
            peer = _Peer(found.exchange, found.peers)
            self._peers[name] = peer
        peer.announced = True
        self._count()

    def take_gone(self, gone: DeletedKey) -> None:
        """A node has left, or its lease has lapsed."""
        peer = self._peers.get(gone.key.removeprefix(PREFIX))
        if peer is not None:
            peer.announced = False
        self._count()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take what another node tells."""
        try:
            told = msgpack.decode(data, type=_Told)
        except (DecodeError, ValidationError) as exc:
            _LOG.warning('datagram is unreadable', extra={'error': str(exc)})
            return
        if told.node == self._settings.name:
            return
        peer = self._peers.get(told.node)
        if peer is None:
            peer = _Peer(f'{addr[0]}:{addr[1]}', self._guess_peers(addr[0]))
            peer.announced = False
            self._peers[told.node] = peer
        self._take_told(told, peer)

    def error_received(self, exc: Exception) -> None:
        """A datagram did not arrive; the next one says the same."""
        self._state.counters['datagrams.refused'] += 1

    def _take_told(self, told: _Told, peer: _Peer) -> None:
        now = self._loop.time()
        if told.started == peer.last[0] and told.number <= peer.last[1]:
            return
        peer.last = (told.started, told.number)
        peer.heard_at = now
        peer.version = told.version
        peer.revision = told.revision
        names = self._index()
        held = {
            names[key]: Held(count, tokens * _TOKENS_UNIT)
            for key, (count, tokens) in told.held.items()
            if key in names
        }
        self._state.book.hear(told.node, held, now)
        for key, left_ms in told.avoided.items():
            if key in names:
                until = now + left_ms / _MS_PER_S
                self._state.view.suspect(names[key], until, now, is_own=False)
        node = f'{told.node}/{told.started}'
        for one, other, sent_ms in told.pipes:
            pair = frozenset((one, other))
            self._state.pipes.hear(node, pair, sent_ms, now)
        self._count()
        self._state.notify()
        self._fetch_if_behind(peer)

    def _fetch_if_behind(self, peer: _Peer) -> None:
        """Ask a peer for what the store has not brought."""
        version = self._state.cfg.version if self._state.cfg else 0
        is_behind = peer.version > version
        if not self._health.is_up and peer.revision > self._state.view.revision:
            is_behind = True
        if is_behind and not self._is_fetching and peer.peers:
            self._is_fetching = True
            self._loop.create_task(self._fetch(peer), name='fetch')

    async def _fetch(self, peer: _Peer) -> None:
        try:
            await asyncio.sleep(_FETCH_AFTER_S)
            if peer.version > (
                self._state.cfg.version if self._state.cfg else 0
            ):
                self._take_configuration(
                    await self._ask(peer, _CONFIGURATION_PATH)
                )
            if not self._health.is_up:
                self._take_replicas(await self._ask(peer, _KNOWN_PATH))
        except (EndpointError, DocumentError, DecodeError) as exc:
            _LOG.info('peer does not help', extra={'error': str(exc)})
        finally:
            self._is_fetching = False

    async def _ask(self, peer: _Peer, path: bytes) -> bytes:
        deadline = self._loop.time() + _FETCH_TIMEOUT_S
        status, body = await call_once(peer.peers, b'GET', path, b'', deadline)
        if status != _OK:
            raise DocumentError(f'{peer.peers}: got status {status}')
        return body

    def _take_configuration(self, text: bytes) -> None:
        cfg = self._state.dialect.decode_configuration(text)
        if self._state.put_in_force(cfg, text):
            _LOG.info(
                'configuration from a peer', extra={'version': cfg.version}
            )

    def _take_replicas(self, text: bytes) -> None:
        revision, rows = json.decode(
            text, type=tuple[int, list[tuple[Replica, int]]]
        )
        if revision > self._state.view.revision and not self._health.is_up:
            self._state.view.replace_all(rows, revision, 0)
            _LOG.info('replicas from a peer', extra={'revision': revision})
            self._state.notify()

    def _get_configuration(self) -> Page:
        text = self._state.cfg_text
        return (_OK, text) if text else (404, b'')

    def _get_replicas(self) -> Page:
        view = self._state.view
        rows = [
            (found.replica, found.revision) for found in view.known.values()
        ]
        return _OK, json.encode((view.revision, rows))

    async def _renew(self) -> None:
        try:
            await self._renew_lease()
        except NoSuchLeaseError:
            self._lease = 0
            self._loop.call_later(_RETRY_S, self._renew_soon)
        except StoreError as exc:
            self._health.note_failure(exc, self._loop.time())

    def _renew_soon(self) -> None:
        self._loop.create_task(self._renew(), name='renew')

    async def _renew_lease(self) -> None:
        if self._lease:
            await self._store.renew_lease(self._lease)
            return
        lease = await self._store.grant_lease(_LEASE_S)
        mine = _Announced(self._own_exchange, self._settings.peers)
        key = f'{PREFIX}{self._settings.name}'
        await self._store.write({key: json.encode(mine)}, {}, lease)
        self._lease = lease

    def _schedule(self) -> None:
        """Load has changed: tell it soon, and once for many changes."""
        seen = (self._state.book.own_version, self._state.view.own_version)
        if seen == self._told or self._tell_at:
            return
        wait_s = _TELL_S + _TELL_PER_NODE_S * len(self._peers)
        self._tell_at = self._loop.time() + wait_s
        self._loop.call_at(self._tell_at, self._tell)

    def _tell(self) -> None:
        self._tell_at = 0.0
        if self._transport is None:
            return
        self._told = (
            self._state.book.own_version,
            self._state.view.own_version,
        )
        self._number += 1
        data = msgpack.encode(self._build_told())
        now = self._loop.time()
        for address in self._list_addresses(now):
            host, _, port = address.rpartition(':')
            self._transport.sendto(data, (host, int(port)))

    def _build_told(self) -> _Told:
        now = self._loop.time()
        state = self._state
        held = {
            _checksum(replica_id): (
                held.requests,
                int(held.tokens) // _TOKENS_UNIT,
            )
            for replica_id, held in state.book.own().items()
        }
        avoided = {
            _checksum(replica_id): int((found.found_until - now) * _MS_PER_S)
            for replica_id, found in state.view.known.items()
            if found.found_until > now
        }
        return _Told(
            self._settings.name,
            self._started,
            self._number,
            state.cfg.version if state.cfg else 0,
            state.view.revision,
            held,
            avoided,
            [(*sorted(pair), int(ms)) for pair, ms in state.pipes.sent.items()],
        )

    def _list_addresses(self, now: float) -> set[str]:
        addresses = {
            peer.exchange
            for peer in self._peers.values()
            if peer.announced or peer.heard_at + _FORGET_S > now
        }
        if len(addresses) < len(self._seeds):
            addresses.update(self._seeds)
        addresses.discard(self._own_exchange)
        return addresses

    def _list_seeds(self) -> list[str]:
        """Return where the seeds listen; ports are the same on all nodes."""
        port = self._settings.exchange_port
        return [
            f'{seed.rpartition(":")[0]}:{port}' for seed in self._settings.seeds
        ]

    def _guess_peers(self, host: str) -> str:
        return f'{host}:{self._settings.peers.rpartition(":")[2]}'

    def _count(self) -> None:
        self._state.peer_count = sum(
            peer.announced for peer in self._peers.values()
        )

    def _index(self) -> dict[int, str]:
        """Return replica ids by checksum, made anew when replicas change."""
        view = self._state.view
        if self._names_of != view.ids_version:
            self._names = {_checksum(name): name for name in view.known}
            self._names_of = view.ids_version
        return self._names


def _checksum(replica_id: str) -> int:
    return zlib.crc32(replica_id.encode())
