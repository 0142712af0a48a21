"""Writes claims and their outcomes in groups, one call at a time.

While one call is under way, what comes next gathers. The slower the service,
the larger the groups; the calls a second never rise above one node's share.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from samphirerill.backends.store import StoreError
from samphirerill.control.claims import (
    Batch,
    Claim,
    Settlement,
    Verdict,
    build_claim,
    build_release,
    build_transaction,
    read_verdicts,
)
from samphirerill.core.events import ClaimFailed, ClaimTaken, ClaimWon
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.backends.calls import Sink
    from samphirerill.core.commands import SettleClaim, WriteClaim
    from samphirerill.node.store_worker import StoreWorker

_LOG = get_logger('claims')
FLEET_WRITES_PER_S = 150
LEAST_GAP_S = 0.02
GIVE_UP_S = 2.0
KEEP_S = 86_400
_LEASE_RENEWAL_S = 3600.0
_BACKOFF_S = 0.25
_MAX_BATCH = 50


@dataclass(slots=True)
class _Pending:
    """A claim that waits for its verdict until its deadline."""

    claim: Claim
    deadline: float


@dataclass(slots=True)
class ClaimFigures:
    """How many claims and outcomes went out in how many calls."""

    claims: int = 0
    settlements: int = 0
    calls: int = 0
    failed: int = 0
    waiting: int = 0
    abandoned: int = 0


@dataclass(slots=True)
class _Gathered:
    pending: list[_Pending] = field(default_factory=list)
    settlements: list[Settlement] = field(default_factory=list)
    abandoned: list[Claim] = field(default_factory=list)


class ClaimWriter:
    """The node's only writer of claims.

    Parameters
    ----------
    worker : StoreWorker
        Carries out the calls.
    holder : str
        This node's id, unique for each start of the process.
    prefix : str
        Where the project's keys start.
    sink : Sink
        Hears the verdicts.
    is_alive : callable
        Tells whether a node id is a living node's.
    """

    def __init__(
        self,
        worker: StoreWorker,
        holder: str,
        prefix: str,
        sink: Sink,
        is_alive: Callable[[str], bool],
    ) -> None:
        self.node_count = 1
        self.answers: dict[str, dict[str, Any]] = {}
        self.figures = ClaimFigures()
        self._worker = worker
        self._holder = holder
        self._prefix = prefix
        self._sink = sink
        self._is_alive = is_alive
        self._gathered = _Gathered()
        self._held: dict[str, Claim] = {}
        self._wake = asyncio.Event()
        self._lease = ''
        self._lease_until = 0.0

    def write(self, command: WriteClaim) -> None:
        """Queue a claim; its verdict comes as an event."""
        claim = build_claim(command, self._holder, self._prefix)
        deadline = time.monotonic() + GIVE_UP_S
        self._held[command.request_id] = claim
        self._gathered.pending.append(_Pending(claim, deadline))
        self._wake.set()

    def settle(self, command: SettleClaim, answer: dict[str, Any]) -> None:
        """Queue the outcome of a claim that was won."""
        claim = self._held.pop(command.request_id, None)
        if claim is None:
            return
        settlement = Settlement(claim, command.outcome, answer)
        self._gathered.settlements.append(settlement)
        self._wake.set()

    def is_idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        gathered = self._gathered
        return not (gathered.pending or gathered.settlements)

    def describe(self) -> ClaimFigures:
        """Return the figures for the state dump."""
        self.figures.waiting = len(self._gathered.pending)
        self.figures.abandoned = len(self._gathered.abandoned)
        return self.figures

    async def run(self) -> None:
        """Write what gathers, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while not self.is_idle() or self._gathered.abandoned:
                await self._flush()
                await asyncio.sleep(self._gap_s())

    def _gap_s(self) -> float:
        """Return the time between two calls that the fleet can afford."""
        return max(LEAST_GAP_S, self.node_count / FLEET_WRITES_PER_S)

    async def _flush(self) -> None:
        taken = self._take()
        claims = [item.claim for item in taken.pending]
        batch = Batch(claims, taken.settlements)
        try:
            lease = await self._find_lease()
            if batch:
                transaction = build_transaction(batch, lease)
                self.figures.calls += 1
                done = await self._worker.run(
                    self._worker.store.commit, transaction
                )
        except StoreError as exc:
            self._put_back(taken, exc)
            await asyncio.sleep(_BACKOFF_S)
            return
        if batch:
            self.figures.settlements += len(taken.settlements)
            verdicts, again = read_verdicts(claims, done)
            self._tell_all(verdicts)
            self._gathered.pending.extend(
                item for item in taken.pending if item.claim in again
            )
        await self._release_abandoned()

    def _take(self) -> _Gathered:
        gathered = self._gathered
        taken = _Gathered(
            gathered.pending[:_MAX_BATCH], gathered.settlements[:_MAX_BATCH]
        )
        gathered.pending = gathered.pending[_MAX_BATCH:]
        gathered.settlements = gathered.settlements[_MAX_BATCH:]
        return taken

    def _put_back(self, taken: _Gathered, exc: StoreError) -> None:
        """Keep what can still be written; give up what is too late.

        A claim given up may have been written all the same. It is kept to
        be removed later: otherwise a retry would for a day be told that the
        request may have run.
        """
        now = time.monotonic()
        later = self._gathered.settlements
        self._gathered.settlements = [*taken.settlements, *later]
        for item in taken.pending:
            if item.deadline > now:
                self._gathered.pending.append(item)
                continue
            self.figures.failed += 1
            self._gathered.abandoned.append(item.claim)
            self._held.pop(item.claim.request_id, None)
            _LOG.warning('claim given up', extra={'reason': type(exc).__name__})
            self._sink.apply(ClaimFailed(item.claim.request_id))

    async def _release_abandoned(self) -> None:
        while self._gathered.abandoned:
            claim = self._gathered.abandoned[-1]
            try:
                await self._worker.run(
                    self._worker.store.commit, build_release(claim)
                )
            except StoreError:
                return
            self._gathered.abandoned.pop()

    async def _find_lease(self) -> str:
        """Return the lease that lets claims vanish after a day."""
        now = time.monotonic()
        if now >= self._lease_until:
            self._lease = await self._worker.run(
                self._worker.store.grant_lease, KEEP_S
            )
            self._lease_until = now + _LEASE_RENEWAL_S
        return self._lease

    def _tell_all(self, verdicts: list[Verdict]) -> None:
        for verdict in verdicts:
            self.figures.claims += 1
            request_id = verdict.claim.request_id
            if verdict.state == 'won':
                self._sink.apply(ClaimWon(request_id))
                continue
            self._held.pop(request_id, None)
            if verdict.state == 'answered':
                self.answers[request_id] = verdict.answer
            self._sink.apply(
                ClaimTaken(
                    request_id, verdict.state, self._is_alive(verdict.holder)
                ),
            )
