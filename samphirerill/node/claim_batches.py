"""The two ways to write a batch of claims to the key-value service.

In a small fleet every node writes its own batches. In a large fleet, where the
limit on writes would leave each node few writes with one claim each, a few
nodes aggregate the claims of all. Which node writes does not affect which
request acquires a key; the transaction in the service decides that.
"""

from __future__ import annotations

import time
from hashlib import sha256
from typing import TYPE_CHECKING, Protocol

from result import Err

from samphirerill.backends.store import StoreUnreachableError
from samphirerill.control.claims import (
    Claim,
    ClaimBatch,
    ClaimResult,
    build_transaction,
    read_results,
)

if TYPE_CHECKING:
    from samphirerill.backends.peers import PeerClients
    from samphirerill.node.membership import Membership
    from samphirerill.node.store_worker import StoreWorker

AGGREGATOR_COUNT = 8
MAX_DIRECT_WRITERS = 16
UNKNOWN_STATE = ''
CLAIM_TTL_S = 86_400
_LEASE_REUSE_S = 3600.0


class BatchWriter(Protocol):
    """Writes batches of claims to the service."""

    async def write_batch(
        self, batch: ClaimBatch
    ) -> tuple[list[ClaimResult], list[Claim]]:
        """Write a batch; return the results and the claims to retry.

        Raises
        ------
        StoreError
            The batch was not written, or that is unknown.
        """


class DirectBatchWriter:
    """Writes batches directly to the service."""

    def __init__(self, worker: StoreWorker) -> None:
        self._worker = worker
        self._lease = ''
        self._lease_until = 0.0

    async def write_batch(
        self, batch: ClaimBatch
    ) -> tuple[list[ClaimResult], list[Claim]]:
        """Write a batch in one transaction."""
        lease = await self._get_lease()
        transaction_result = await self._worker.run(
            self._worker.store.commit, build_transaction(batch, lease)
        )
        return read_results(batch.claims, transaction_result)

    async def _get_lease(self) -> str:
        """Return a lease with which claims expire after `CLAIM_TTL_S`."""
        now = time.monotonic()
        if now >= self._lease_until:
            self._lease = await self._worker.run(
                self._worker.store.grant_lease, CLAIM_TTL_S
            )
            self._lease_until = now + _LEASE_REUSE_S
        return self._lease


class PeerBatchWriter:
    """Writes batches through another node."""

    def __init__(self, clients: PeerClients, address: str) -> None:
        self._clients = clients
        self._address = address

    async def write_batch(
        self, batch: ClaimBatch
    ) -> tuple[list[ClaimResult], list[Claim]]:
        """Send a batch to the aggregating node and wait for the results."""
        peer_results = await self._clients.write_claims(self._address, batch)
        if isinstance(peer_results, Err):
            raise StoreUnreachableError(
                str(peer_results.err_value), may_have_applied=True
            )
        claim_results = peer_results.ok_value
        if any(
            claim_result.state == UNKNOWN_STATE
            for claim_result in claim_results
        ):
            raise StoreUnreachableError(
                'the aggregating node did not write the claims in time',
                may_have_applied=True,
            )
        return claim_results, []


def choose_aggregator(node_id: str, membership: Membership) -> str:
    """Return the address of the node that aggregates for this one, or ''.

    Empty if this node writes directly: the fleet is small, or this node is an
    aggregator. Nodes with different views of the membership may choose
    differently, which only costs additional writes.
    """
    if membership.count <= MAX_DIRECT_WRITERS:
        return ''
    ids = sorted([node_id, *membership.peers], key=_compute_rank)
    aggregators = ids[:AGGREGATOR_COUNT]
    if node_id in aggregators:
        return ''
    chosen = min(
        aggregators, key=lambda other: _compute_rank(f'{node_id}/{other}')
    )
    return membership.peers[chosen].peer_address


def _compute_rank(name: str) -> str:
    return sha256(name.encode()).hexdigest()
