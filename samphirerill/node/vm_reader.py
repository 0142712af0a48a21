"""Detection of leaving endpoints in the platform's VM list.

The list contains all endpoints, so it is too large to be read often by every
node. The rate of reads is limited for the fleet as a whole; a node that finds a
leaving endpoint writes a key that all nodes watch. Gossip spreads the same
information while the key-value service is unavailable.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err

from samphirerill.backends.store import Put, Transaction
from samphirerill.backends.vm_list import VmList
from samphirerill.core.events import VmListRead
from samphirerill.node.jitter import add_jitter
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.backends.store import WatchBatch
    from samphirerill.node.membership import Membership
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

LEAVING_PREFIX = 'shared/leaving/'
FLEET_READS_PER_INTERVAL = 8
_LOG = get_logger('vms')


class VmReader:
    """Periodically reads the VM list and publishes leaving endpoints."""

    def __init__(
        self, node: Node, worker: StoreWorker, membership: Membership
    ) -> None:
        self._node = node
        self._worker = worker
        self._membership = membership
        self._client = VmList(node.settings.vm_list.address)

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            vm_list = await self._worker.run(self._client.read)
            if isinstance(vm_list, Err):
                _LOG.debug(
                    'VM list is not available',
                    extra={'error': str(vm_list.err_value)},
                )
            else:
                await self._handle_list(vm_list.ok_value)
            await asyncio.sleep(add_jitter(self._get_read_interval_s()))

    async def _handle_list(self, event: VmListRead) -> None:
        """Apply a list and publish what has changed."""
        state = self._node.router.state
        previous = set(state.leaving)
        self._node.apply(event)
        current = set(state.leaving)
        if previous != current:
            await self._publish(
                sorted(current - previous), sorted(previous - current)
            )

    def _get_read_interval_s(self) -> float:
        """Return the interval between reads within the fleet's limit."""
        every_s = self._node.settings.vm_list.every_s
        return every_s * max(
            1, self._membership.count / FLEET_READS_PER_INTERVAL
        )

    async def _publish(self, added: list[str], removed: list[str]) -> None:
        prefix = f'{self._node.settings.store.prefix}{LEAVING_PREFIX}'
        transaction = Transaction(
            puts=[Put(f'{prefix}{name}', 'leaving') for name in added],
            deletes=[f'{prefix}{name}' for name in removed],
        )
        outcome = await self._worker.try_run(
            self._worker.store.commit, transaction
        )
        if isinstance(outcome, Err):
            _LOG.debug(
                'cannot publish leaving endpoints',
                extra={'error': str(outcome.err_value)},
            )


def parse_leaving_endpoints(
    prefix: str, batch: WatchBatch
) -> VmListRead | None:
    """Return the changes of leaving endpoints in a batch, or None."""
    key_prefix = f'{prefix}{LEAVING_PREFIX}'
    leaving = {
        entry.key.removeprefix(key_prefix)
        for entry in batch.puts
        if entry.key.startswith(key_prefix)
    }
    removed = {
        key.removeprefix(key_prefix)
        for key in batch.deleted_keys
        if key.startswith(key_prefix)
    }
    if not leaving and not removed:
        return None
    return VmListRead(frozenset(removed), frozenset(leaving))
