"""Read the platform's list of VMs and share what it says.

The list names every endpoint, some 60 KB at 770 of them. Were each of 400
nodes to read it every second, each would spend seven times its budget of
bytes. So the fleet together reads it a fixed number of times a second, and
whoever sees an endpoint leave writes one small key that all nodes watch.
Peers tell each other too, for times when the service is away.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from samphirerill.backends.store import Put, Transaction
from samphirerill.backends.vms import VmList
from samphirerill.core.events import VmListRead
from samphirerill.node.jitter import spread
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.backends.store import WatchBatch
    from samphirerill.node.members import Members
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

LEAVING = 'shared/leaving/'
FLEET_READERS = 8
_LOG = get_logger('vms')


class VmReader:
    """This node's part of reading the list."""

    def __init__(
        self, node: Node, worker: StoreWorker, members: Members
    ) -> None:
        self._node = node
        self._worker = worker
        self._members = members
        self._vms = VmList(node.settings.vm_list.address)

    async def run(self) -> None:
        """Read and share for ever."""
        while True:
            found = await self._worker.run(self._vms.read)
            if isinstance(found, Err):
                _LOG.debug('no list', extra={'error': str(found.err_value)})
            else:
                await self._take(found.ok_value)
            await asyncio.sleep(spread(self._gap_s()))

    async def _take(self, event: VmListRead) -> None:
        """Apply a read and share what this node did not know before."""
        state = self._node.router.state
        before = set(state.leaving)
        self._node.apply(event)
        after = set(state.leaving)
        if before != after:
            await self._share(sorted(after - before), sorted(before - after))

    def _gap_s(self) -> float:
        """Return the time between two reads of this node."""
        every_s = self._node.settings.vm_list.every_s
        return every_s * max(1, self._members.count / FLEET_READERS)

    async def _share(self, new: list[str], back: list[str]) -> None:
        prefix = f'{self._node.settings.store.prefix}{LEAVING}'
        transaction = Transaction(
            puts=[Put(f'{prefix}{name}', 'leaving') for name in new],
            deletes=[f'{prefix}{name}' for name in back],
        )
        done = await self._worker.attempt(
            self._worker.store.commit, transaction
        )
        if isinstance(done, Err):
            _LOG.debug('not shared', extra={'error': str(done.err_value)})


def read_leaving(prefix: str, batch: WatchBatch) -> VmListRead | None:
    """Return what a batch says of leaving endpoints, if anything."""
    start = f'{prefix}{LEAVING}'
    leaving = {
        entry.key.removeprefix(start)
        for entry in batch.changed
        if entry.key.startswith(start)
    }
    back = {
        key.removeprefix(start) for key in batch.gone if key.startswith(start)
    }
    if not leaving and not back:
        return None
    return VmListRead(frozenset(back), frozenset(leaving))
