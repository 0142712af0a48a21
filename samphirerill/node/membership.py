"""Membership: each node registers a key under a lease of its own."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from samphirerill.backends.store import Put, StoreError, Transaction
from samphirerill.core.events import NodeCountReported
from samphirerill.decoding.decoders import parse_json
from samphirerill.node.jitter import add_jitter
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.backends.store import StoredEntry, WatchBatch
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

NODES_PREFIX = 'shared/nodes/'
REMOVAL_DELAY_S = 10.0
RENEWALS_PER_LEASE = 3
_RETRY_INTERVAL_S = 0.5
_REMOVAL_CHECK_INTERVAL_S = 1.0
_LOG = get_logger('members')


@dataclass(slots=True, frozen=True)
class Member:
    """A node; `peer_address` is its address for other nodes."""

    node_id: str
    data_centre: str
    peer_address: str


class Membership:
    """The known nodes.

    A node whose key was deleted is removed after a delay. After an outage of
    the service all leases have expired at once; without the delay every node
    would see itself as the only one and use the capacity of each endpoint that
    is meant for the whole fleet.
    """

    def __init__(self, node: Node, worker: StoreWorker) -> None:
        self.peer_address = ''
        self.peers: dict[str, Member] = {}
        self._node = node
        self._worker = worker
        self._prefix = node.settings.store.prefix
        self._lease = ''
        self._removal_deadlines: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of nodes, including this one."""
        return len(self.peers) + 1

    def is_alive(self, node_id: str) -> bool:
        """Return whether a node id belongs to a known node."""
        return node_id == self._node.node_id or node_id in self.peers

    def handle_watch_batch(self, batch: WatchBatch) -> None:
        """Update the membership from the watch."""
        for entry in batch.puts:
            self._add_member(entry)
        for key in batch.deleted_keys:
            if key.startswith(f'{self._prefix}{NODES_PREFIX}'):
                node_id = key.rpartition('/')[2]
                now = self._node.loop.time()
                self._removal_deadlines.setdefault(
                    node_id, now + REMOVAL_DELAY_S
                )
        self._report_node_count()

    def list_missing_keys(self, entries: Iterable[StoredEntry]) -> list[str]:
        """Return the keys of known nodes that are not among `entries`."""
        existing_keys = {entry.key for entry in entries}
        keys = (
            f'{self._prefix}{NODES_PREFIX}{node_id}' for node_id in self.peers
        )
        return [key for key in keys if key not in existing_keys]

    async def run(self) -> None:
        """Load the members, then keep this node registered until cancelled."""
        await self._load_members()
        lease_s = self._node.settings.store.lease_s
        while True:
            interval_s = lease_s / RENEWALS_PER_LEASE
            try:
                await self._renew(lease_s)
            except StoreError as exc:
                _LOG.debug('lease renewal failed', extra={'error': str(exc)})
                interval_s = _RETRY_INTERVAL_S
            await asyncio.sleep(add_jitter(interval_s))

    async def remove_expired(self) -> None:
        """Remove nodes whose key was deleted longer ago than the delay."""
        while True:
            await asyncio.sleep(_REMOVAL_CHECK_INTERVAL_S)
            now = self._node.loop.time()
            for node_id, deadline in tuple(self._removal_deadlines.items()):
                if deadline <= now:
                    self._removal_deadlines.pop(node_id)
                    self.peers.pop(node_id, None)
                    _LOG.info('node removed', extra={'node': node_id})
            self._report_node_count()

    async def deregister(self) -> None:
        """Deregister this node by revoking its lease."""
        if not self._lease:
            return
        revoked = await self._worker.try_run(
            self._worker.store.revoke_lease, self._lease
        )
        if isinstance(revoked, Err):
            _LOG.info('cannot revoke the lease; it will expire')

    async def _renew(self, lease_s: int) -> None:
        store = self._worker.store
        if self._lease:
            is_renewed = await self._worker.run(store.renew_lease, self._lease)
            if is_renewed:
                return
            _LOG.warning('lease expired', extra={'lease': self._lease})
        self._lease = ''
        lease = await self._worker.run(store.grant_lease, lease_s)
        put = Put(self._build_key(), self._serialize(), lease)
        await self._worker.run(store.commit, Transaction(puts=[put]))
        self._lease = lease

    async def _load_members(self) -> None:
        """Load the members once; afterwards the watch delivers changes."""
        prefix = f'{self._prefix}{NODES_PREFIX}'
        while True:
            loaded = await self._worker.try_run(
                self._worker.store.read_prefix, prefix
            )
            if isinstance(loaded, Err):
                await asyncio.sleep(_RETRY_INTERVAL_S)
                continue
            for entry in loaded.ok_value.entries:
                self._add_member(entry)
            self._report_node_count()
            return

    def _add_member(self, entry: StoredEntry) -> None:
        if not entry.key.startswith(f'{self._prefix}{NODES_PREFIX}'):
            return
        try:
            member = _parse_member(entry.stored_value)
        except (LookupError, TypeError, ValueError) as exc:
            _LOG.error(
                'cannot decode node announcement',
                extra={'key': entry.key, 'error': repr(exc)},
            )
            return
        self._removal_deadlines.pop(member.node_id, None)
        if member.node_id != self._node.node_id:
            self.peers[member.node_id] = member

    def _report_node_count(self) -> None:
        if self._node.router.state.node_count != self.count:
            self._node.apply(NodeCountReported(self.count))

    def _build_key(self) -> str:
        return f'{self._prefix}{NODES_PREFIX}{self._node.node_id}'

    def _serialize(self) -> str:
        return json.dumps(
            {
                'id': self._node.node_id,
                'data_centre': self._node.settings.data_centre,
                'peer': self.peer_address,
            }
        )


def _parse_member(text: str) -> Member:
    spec = parse_json(text)
    names = (spec['id'], spec['data_centre'], spec['peer'])
    for name in names:
        if not isinstance(name, str):
            raise TypeError(f'got {name!r}, expected a text')
    return Member(*names)
