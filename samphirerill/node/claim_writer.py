"""Batched writes of claims and their outcomes, one call at a time.

A claim reserves an idempotency key for one request. Claims that arrive during
a call form the next batch, so batches grow if the service is slow, and the
rate of calls stays within the node's share of the fleet's limit.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

from samphirerill.backends.store import StoreError
from samphirerill.control.claims import (
    Claim,
    ClaimBatch,
    ClaimResult,
    Settlement,
    build_claim,
)
from samphirerill.core.commands import Outcome
from samphirerill.core.events import ClaimAcquired, ClaimConflicted, ClaimFailed
from samphirerill.node.claim_batches import (
    AGGREGATOR_COUNT,
    MAX_DIRECT_WRITERS,
    UNKNOWN_STATE,
    BatchWriter,
    DirectBatchWriter,
    PeerBatchWriter,
    choose_aggregator,
)
from samphirerill.node.claim_releases import ClaimReleaseQueue
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.backends.endpoint_call import EventSink
    from samphirerill.backends.peers import PeerClients
    from samphirerill.core.commands import SettleClaim, WriteClaim
    from samphirerill.node.membership import Membership
    from samphirerill.node.store_worker import StoreWorker

_LOG = get_logger('claims')
FutureResult = TypeVar('FutureResult')
FLEET_WRITES_PER_S = 150
MIN_WRITE_INTERVAL_S = 0.02
CLAIM_TIMEOUT_S = 2.0
RELEASE_DELAY_S = 4.0
_PEER_CLAIM_TIMEOUT_S = 1.0
_RETRY_DELAY_S = 0.25
_MAX_BATCH = 50


@dataclass(slots=True)
class _PendingClaim:
    """A queued claim.

    `result_future` is resolved with the result if the claim belongs to another
    node.
    """

    claim: Claim
    deadline: float
    result_future: asyncio.Future[ClaimResult] | None = None


@dataclass(slots=True)
class _PendingSettlement:
    """A queued settlement, which records the outcome of a claim.

    `written_future` is resolved after the write if the claim belongs to
    another node.
    """

    settlement: Settlement
    written_future: asyncio.Future[None] | None = None


@dataclass(slots=True)
class ClaimCounters:
    """Counters of claims, outcomes and calls.

    `waiting` is the number of claims still queued, `abandoned` that of claims
    still to be released, and `collected` counts claims of other nodes.
    """

    claims: int = 0
    settlements: int = 0
    calls: int = 0
    failed: int = 0
    waiting: int = 0
    abandoned: int = 0
    collected: int = 0


@dataclass(slots=True)
class _WriteQueue:
    pending: list[_PendingClaim] = field(default_factory=list)
    settlements: list[_PendingSettlement] = field(default_factory=list)


class ClaimWriter:
    """Writes the claims of a node and those of the nodes it aggregates for.

    Parameters
    ----------
    worker : StoreWorker
        Runs the calls to the service.
    node_id : str
        The id of this node, unique for each start of the process.
    prefix : str
        Prefix of the project's keys.
    sink : EventSink
        Receives the results as events.
    membership : Membership
        The known nodes, from which aggregators are chosen.
    clients : PeerClients
        Channels to the aggregating node of a large fleet.
    """

    def __init__(
        self,
        worker: StoreWorker,
        node_id: str,
        prefix: str,
        sink: EventSink,
        membership: Membership,
        clients: PeerClients,
    ) -> None:
        self.stored_responses: dict[str, dict[str, Any]] = {}
        self.counters = ClaimCounters()
        self._worker = worker
        self.node_id = node_id
        self._prefix = prefix
        self._sink = sink
        self._membership = membership
        self._clients = clients
        self._direct = DirectBatchWriter(worker)
        self._releases = ClaimReleaseQueue(worker)
        self._queue = _WriteQueue()
        self._own_claims: dict[str, Claim] = {}
        self._has_work = asyncio.Event()
        self._is_writing = False

    def queue_claim(self, command: WriteClaim) -> None:
        """Queue a claim; its result is emitted as an event."""
        claim = build_claim(command, self.node_id, self._prefix)
        deadline = time.monotonic() + CLAIM_TIMEOUT_S
        self._own_claims[command.request_id] = claim
        self._queue.pending.append(_PendingClaim(claim, deadline))
        self._has_work.set()

    def queue_outcome(
        self, command: SettleClaim, answer: dict[str, Any]
    ) -> None:
        """Queue the outcome of an acquired claim, or its release."""
        claim = self._own_claims.pop(command.request_id, None)
        if claim is None:
            return
        if command.outcome is Outcome.NOT_RUN:
            self._releases.add(claim, time.monotonic())
        else:
            settlement = Settlement(claim, command.outcome, answer)
            self._queue.settlements.append(_PendingSettlement(settlement))
        self._has_work.set()

    async def write_for_peer(self, batch: ClaimBatch) -> list[ClaimResult]:
        """Write a batch for another node; return a result for each claim.

        An empty state in a result means that the result is unknown.
        """
        loop = asyncio.get_running_loop()
        deadline = time.monotonic() + _PEER_CLAIM_TIMEOUT_S
        waiting = [
            _PendingClaim(claim, deadline, loop.create_future())
            for claim in batch.claims
        ]
        self._queue.pending.extend(waiting)
        settlements = [
            _PendingSettlement(settlement, loop.create_future())
            for settlement in batch.settlements
        ]
        self._queue.settlements.extend(settlements)
        self.counters.collected += len(waiting)
        self._has_work.set()
        await asyncio.gather(
            *(
                item.written_future
                for item in settlements
                if item.written_future
            )
        )
        return list(
            await asyncio.gather(
                *(item.result_future for item in waiting if item.result_future)
            )
        )

    def is_idle(self) -> bool:
        """Return whether nothing is being written or waiting for it."""
        if self._is_writing:
            return False
        queue = self._queue
        due = self._releases.has_due()
        return not (queue.pending or queue.settlements or due)

    def describe(self) -> ClaimCounters:
        """Return the counters for the state dump."""
        self.counters.waiting = len(self._queue.pending)
        self.counters.abandoned = self._releases.size()
        return self.counters

    async def run(self) -> None:
        """Write queued claims and outcomes until cancelled."""
        while True:
            await self._has_work.wait()
            self._has_work.clear()
            while not self.is_idle() or self._releases.size():
                self._is_writing = True
                try:
                    await self._flush()
                finally:
                    self._is_writing = False
                await asyncio.sleep(self._get_write_interval_s())

    def _get_write_interval_s(self) -> float:
        """Return the time between two calls within the fleet's limit."""
        writers = self._membership.count
        if writers > MAX_DIRECT_WRITERS:
            writers = AGGREGATOR_COUNT
        return max(MIN_WRITE_INTERVAL_S, writers / FLEET_WRITES_PER_S)

    async def _flush(self) -> None:
        dequeued = self._dequeue()
        claims = [item.claim for item in dequeued.pending]
        batch = ClaimBatch(
            claims, [item.settlement for item in dequeued.settlements]
        )
        claim_results: list[ClaimResult] = []
        retries: list[Claim] = []
        try:
            if batch:
                claim_results, retries = await self._write_batch(batch)
        except StoreError as exc:
            self._requeue(dequeued, exc)
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        self._confirm_settlements(dequeued.settlements)
        self._dispatch_results(dequeued.pending, claim_results)
        self._queue.pending.extend(
            item for item in dequeued.pending if item.claim in retries
        )
        await self._releases.release_due()

    def _confirm_settlements(
        self, settlements: list[_PendingSettlement]
    ) -> None:
        self.counters.settlements += len(settlements)
        for item in settlements:
            if item.written_future is not None:
                _resolve_future(item.written_future, None)

    async def _write_batch(
        self, batch: ClaimBatch
    ) -> tuple[list[ClaimResult], list[Claim]]:
        """Write a batch, directly or through the aggregating node."""
        self.counters.calls += 1
        address = choose_aggregator(self.node_id, self._membership)
        batch_writer: BatchWriter = self._direct
        if address:
            batch_writer = PeerBatchWriter(self._clients, address)
        return await batch_writer.write_batch(batch)

    def _dequeue(self) -> _WriteQueue:
        queue = self._queue
        dequeued = _WriteQueue(
            queue.pending[:_MAX_BATCH], queue.settlements[:_MAX_BATCH]
        )
        queue.pending = queue.pending[_MAX_BATCH:]
        queue.settlements = queue.settlements[_MAX_BATCH:]
        return dequeued

    def _requeue(self, dequeued: _WriteQueue, exc: StoreError) -> None:
        """Requeue after a failed call; abandon claims past their deadline.

        An abandoned claim may have been written. It is released later, because
        until it expired a retry would learn that the request may have run.
        """
        now = time.monotonic()
        queued = self._queue.settlements
        self._queue.settlements = [*dequeued.settlements, *queued]
        for item in dequeued.pending:
            if item.deadline > now:
                self._queue.pending.append(item)
            elif item.result_future is None:
                self._abandon_claim(item.claim, exc)
            else:
                _resolve_future(
                    item.result_future, ClaimResult(item.claim, UNKNOWN_STATE)
                )

    def _abandon_claim(self, claim: Claim, exc: StoreError) -> None:
        self.counters.failed += 1
        self._releases.add(claim, time.monotonic() + RELEASE_DELAY_S)
        self._own_claims.pop(claim.request_id, None)
        _LOG.warning(
            'claim not written in time', extra={'reason': type(exc).__name__}
        )
        self._sink.apply(ClaimFailed(claim.request_id))

    def _dispatch_results(
        self, pending: list[_PendingClaim], claim_results: list[ClaimResult]
    ) -> None:
        futures = {
            item.claim.request_id: item.result_future for item in pending
        }
        for claim_result in claim_results:
            future = futures.get(claim_result.claim.request_id)
            if future is None:
                self._handle_own_result(claim_result)
                continue
            _resolve_future(future, claim_result)

    def _handle_own_result(self, claim_result: ClaimResult) -> None:
        self.counters.claims += 1
        request_id = claim_result.claim.request_id
        if claim_result.state == 'won':
            self._sink.apply(ClaimAcquired(request_id))
            return
        self._own_claims.pop(request_id, None)
        if claim_result.state == 'answered':
            self.stored_responses[request_id] = claim_result.answer
        is_holder_alive = self._membership.is_alive(claim_result.holder)
        self._sink.apply(
            ClaimConflicted(request_id, claim_result.state, is_holder_alive)
        )
        self.stored_responses.pop(request_id, None)


def _resolve_future(
    future: asyncio.Future[FutureResult], outcome: FutureResult
) -> None:
    """Resolve a future of another node's call unless it is cancelled.

    Resolving a cancelled future would raise and stop the writer task.
    """
    if not future.done():
        future.set_result(outcome)
