"""The two ways a group of claims reaches the platform's service.

In a small fleet every node writes its own groups. In a large one a node has
hardly a claim a second, so its groups would hold one claim each and wait long
for their turn; there a few nodes gather for all. Which node writes never
matters for who wins a key: the service's transaction alone decides that.
"""

from __future__ import annotations

import time
from hashlib import sha256
from typing import TYPE_CHECKING, Protocol

from result import Err

from samphirerill.backends.store import StoreUnreachableError
from samphirerill.control.claims import (
    Batch,
    Claim,
    Verdict,
    build_transaction,
    read_verdicts,
)

if TYPE_CHECKING:
    from samphirerill.backends.peers import PeerClients
    from samphirerill.node.members import Members
    from samphirerill.node.store_worker import StoreWorker

COLLECTORS = 8
COLLECT_ABOVE = 16
UNKNOWN = ''
KEEP_S = 86_400
_LEASE_RENEWAL_S = 3600.0


class Carrier(Protocol):
    """Takes a batch to the service; returns verdicts and what to retry."""

    async def carry(self, batch: Batch) -> tuple[list[Verdict], list[Claim]]:
        """Write a batch.

        Raises
        ------
        StoreError
            It was not written, or nobody knows.
        """


class DirectCarrier:
    """Writes to the service itself."""

    def __init__(self, worker: StoreWorker) -> None:
        self._worker = worker
        self._lease = ''
        self._lease_until = 0.0

    async def carry(self, batch: Batch) -> tuple[list[Verdict], list[Claim]]:
        """Write a batch in one transaction."""
        lease = await self._find_lease()
        done = await self._worker.run(
            self._worker.store.commit, build_transaction(batch, lease)
        )
        return read_verdicts(batch.claims, done)

    async def _find_lease(self) -> str:
        """Return the lease that lets claims vanish after a day."""
        now = time.monotonic()
        if now >= self._lease_until:
            self._lease = await self._worker.run(
                self._worker.store.grant_lease, KEEP_S
            )
            self._lease_until = now + _LEASE_RENEWAL_S
        return self._lease


class PeerCarrier:
    """Has another node write."""

    def __init__(self, clients: PeerClients, address: str) -> None:
        self._clients = clients
        self._address = address

    async def carry(self, batch: Batch) -> tuple[list[Verdict], list[Claim]]:
        """Send a batch to the node that gathers, and wait for its word."""
        answer = await self._clients.collect(self._address, batch)
        if isinstance(answer, Err):
            raise StoreUnreachableError(
                str(answer.err_value), may_have_applied=True
            )
        verdicts = answer.ok_value
        if any(verdict.state == UNKNOWN for verdict in verdicts):
            raise StoreUnreachableError(
                'the gathering node gave no verdict', may_have_applied=True
            )
        return verdicts, []


def pick_collector(node_id: str, members: Members) -> str:
    """Return the address of the node to gather for this one, or ''.

    Empty means that this node writes for itself: the fleet is small, or this
    node is one of those that gather. Nodes that know different members may
    choose differently; that costs a write, no more.
    """
    if members.count <= COLLECT_ABOVE:
        return ''
    ids = sorted([node_id, *members.others], key=_rank)
    collectors = ids[:COLLECTORS]
    if node_id in collectors:
        return ''
    chosen = min(collectors, key=lambda other: _rank(f'{node_id}/{other}'))
    return members.others[chosen].peer_address


def _rank(name: str) -> str:
    return sha256(name.encode()).hexdigest()
