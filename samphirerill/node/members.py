"""Which nodes there are: each keeps a key under a lease of its own."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err

from samphirerill.backends.store import Put, StoreError, Transaction
from samphirerill.core.events import NodesSeen
from samphirerill.node.jitter import spread
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from samphirerill.backends.store import Stored, WatchBatch
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

NODES = 'shared/nodes/'
FORGET_AFTER_S = 10.0
RENEWALS_A_LEASE = 3
_RETRY_S = 0.5
_SWEEP_S = 1.0
_LOG = get_logger('members')


@dataclass(slots=True, frozen=True)
class Member:
    """One node; `peer_address` is where other nodes reach it."""

    node_id: str
    data_centre: str
    peer_address: str


class Members:
    """The known nodes, this one included.

    A node whose key has gone is forgotten only after a while. When the
    service comes back from an outage all leases have lapsed at once; without
    the wait every node would for a moment take itself for the only one and
    claim the whole fleet's share of each endpoint.
    """

    def __init__(self, node: Node, worker: StoreWorker) -> None:
        self.peer_address = ''
        self.others: dict[str, Member] = {}
        self._node = node
        self._worker = worker
        self._prefix = node.settings.store.prefix
        self._lease = ''
        self._gone_at: dict[str, float] = {}

    @property
    def count(self) -> int:
        """How many nodes share the work, at least this one."""
        return len(self.others) + 1

    def is_alive(self, node_id: str) -> bool:
        """Tell whether a node id belongs to a known node."""
        return node_id == self._node.node_id or node_id in self.others

    def take_batch(self, batch: WatchBatch) -> None:
        """Take changes of the list from the watch."""
        for entry in batch.changed:
            self._take_entry(entry)
        for key in batch.gone:
            if key.startswith(f'{self._prefix}{NODES}'):
                node_id = key.rpartition('/')[2]
                now = self._node.loop.time()
                self._gone_at.setdefault(node_id, now + FORGET_AFTER_S)
        self._tell()

    def list_missing(self, entries: Iterable[Stored]) -> list[str]:
        """Return the keys of nodes that a whole reading does not have."""
        there = {entry.key for entry in entries}
        keys = (f'{self._prefix}{NODES}{node_id}' for node_id in self.others)
        return [key for key in keys if key not in there]

    async def run(self) -> None:
        """Keep this node's key alive for ever."""
        await self._read_all()
        lease_s = self._node.settings.store.lease_s
        while True:
            pause_s = lease_s / RENEWALS_A_LEASE
            try:
                await self._renew(lease_s)
            except StoreError as exc:
                _LOG.debug('renewal failed', extra={'error': str(exc)})
                pause_s = _RETRY_S
            await asyncio.sleep(spread(pause_s))

    async def sweep(self) -> None:
        """Forget nodes that have been gone for long enough."""
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = self._node.loop.time()
            for node_id, deadline in tuple(self._gone_at.items()):
                if deadline <= now:
                    self._gone_at.pop(node_id)
                    self.others.pop(node_id, None)
                    _LOG.info('node forgotten', extra={'node': node_id})
            self._tell()

    async def leave(self) -> None:
        """Take this node's key away at once."""
        if not self._lease:
            return
        revoked = await self._worker.attempt(
            self._worker.store.revoke_lease, self._lease
        )
        if isinstance(revoked, Err):
            _LOG.info('the lease will lapse by itself')

    async def _renew(self, lease_s: int) -> None:
        store = self._worker.store
        if self._lease:
            held = await self._worker.run(store.renew_lease, self._lease)
            if held:
                return
            _LOG.warning('lease lapsed', extra={'lease': self._lease})
        self._lease = ''
        lease = await self._worker.run(store.grant_lease, lease_s)
        put = Put(self._key(), self._describe(), lease)
        await self._worker.run(store.commit, Transaction(puts=[put]))
        self._lease = lease

    async def _read_all(self) -> None:
        """Read the list once; afterwards the watch brings its changes."""
        prefix = f'{self._prefix}{NODES}'
        while True:
            found = await self._worker.attempt(
                self._worker.store.read_prefix, prefix
            )
            if isinstance(found, Err):
                await asyncio.sleep(_RETRY_S)
                continue
            for entry in found.ok_value.entries:
                self._take_entry(entry)
            self._tell()
            return

    def _take_entry(self, entry: Stored) -> None:
        if not entry.key.startswith(f'{self._prefix}{NODES}'):
            return
        spec = json.loads(entry.text)
        member = Member(spec['id'], spec['data_centre'], spec['peer'])
        self._gone_at.pop(member.node_id, None)
        if member.node_id != self._node.node_id:
            self.others[member.node_id] = member

    def _tell(self) -> None:
        if self._node.router.state.node_count != self.count:
            self._node.apply(NodesSeen(self.count))

    def _key(self) -> str:
        return f'{self._prefix}{NODES}{self._node.node_id}'

    def _describe(self) -> str:
        return json.dumps(
            {
                'id': self._node.node_id,
                'data_centre': self._node.settings.data_centre,
                'peer': self.peer_address,
            }
        )
