"""Writes claims and their outcomes in groups, one call at a time.

While one call is under way, what comes next gathers. The slower the service,
the larger the groups; the calls a second never rise above one node's share.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, TypeVar

from samphirerill.backends.store import StoreError
from samphirerill.control.claims import (
    Batch,
    Claim,
    Settlement,
    Verdict,
    build_claim,
)
from samphirerill.core.commands import Outcome
from samphirerill.core.events import ClaimFailed, ClaimTaken, ClaimWon
from samphirerill.node.claim_carriers import (
    COLLECT_ABOVE,
    COLLECTORS,
    UNKNOWN,
    Carrier,
    DirectCarrier,
    PeerCarrier,
    pick_collector,
)
from samphirerill.node.claim_releases import ClaimReleases
from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from samphirerill.backends.calls import EventSink
    from samphirerill.backends.peers import PeerClients
    from samphirerill.core.commands import SettleClaim, WriteClaim
    from samphirerill.node.members import Members
    from samphirerill.node.store_worker import StoreWorker

_LOG = get_logger('claims')
Told = TypeVar('Told')
FLEET_WRITES_PER_S = 150
LEAST_GAP_S = 0.02
GIVE_UP_S = 2.0
RELEASE_AFTER_S = 4.0
_COLLECT_S = 1.0
_BACKOFF_S = 0.25
_MAX_BATCH = 50


@dataclass(slots=True)
class _Pending:
    """A claim that waits for its verdict until its deadline.

    `told` gets the verdict of a claim that is written for another node.
    """

    claim: Claim
    deadline: float
    told: asyncio.Future[Verdict] | None = None


@dataclass(slots=True)
class _Outcome:
    """A claim's outcome; `written` is awaited by the node it belongs to."""

    settlement: Settlement
    written: asyncio.Future[None] | None = None


@dataclass(slots=True)
class ClaimFigures:
    """How many claims and outcomes went out in how many calls."""

    claims: int = 0
    settlements: int = 0
    calls: int = 0
    failed: int = 0
    waiting: int = 0
    abandoned: int = 0
    collected: int = 0


@dataclass(slots=True)
class _Gathered:
    pending: list[_Pending] = field(default_factory=list)
    settlements: list[_Outcome] = field(default_factory=list)


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
    members : Members
        The nodes; they decide who writes, and tell who is alive.
    clients : PeerClients
        Reaches the node that writes for this one, in a large fleet.
    """

    def __init__(
        self,
        worker: StoreWorker,
        holder: str,
        prefix: str,
        sink: EventSink,
        members: Members,
        clients: PeerClients,
    ) -> None:
        self.answers: dict[str, dict[str, Any]] = {}
        self.figures = ClaimFigures()
        self._worker = worker
        self.name = holder
        self._prefix = prefix
        self._sink = sink
        self._members = members
        self._clients = clients
        self._direct = DirectCarrier(worker)
        self._releases = ClaimReleases(worker)
        self._gathered = _Gathered()
        self._held: dict[str, Claim] = {}
        self._wake = asyncio.Event()

    def write(self, command: WriteClaim) -> None:
        """Queue a claim; its verdict comes as an event."""
        claim = build_claim(command, self.name, self._prefix)
        deadline = time.monotonic() + GIVE_UP_S
        self._held[command.request_id] = claim
        self._gathered.pending.append(_Pending(claim, deadline))
        self._wake.set()

    def settle(self, command: SettleClaim, answer: dict[str, Any]) -> None:
        """Queue the outcome of a claim that was won."""
        claim = self._held.pop(command.request_id, None)
        if claim is None:
            return
        if command.outcome is Outcome.NOT_RUN:
            self._releases.add(claim, time.monotonic())
        else:
            settlement = Settlement(claim, command.outcome, answer)
            self._gathered.settlements.append(_Outcome(settlement))
        self._wake.set()

    async def collect(self, batch: Batch) -> list[Verdict]:
        """Write a batch for another node; return a verdict for each claim.

        A verdict with an empty state says that nobody knows.
        """
        loop = asyncio.get_running_loop()
        deadline = time.monotonic() + _COLLECT_S
        waiting = [
            _Pending(claim, deadline, loop.create_future())
            for claim in batch.claims
        ]
        self._gathered.pending.extend(waiting)
        outcomes = [
            _Outcome(settlement, loop.create_future())
            for settlement in batch.settlements
        ]
        self._gathered.settlements.extend(outcomes)
        self.figures.collected += len(waiting)
        self._wake.set()
        await asyncio.gather(
            *(item.written for item in outcomes if item.written)
        )
        return list(
            await asyncio.gather(*(item.told for item in waiting if item.told))
        )

    def is_idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        gathered = self._gathered
        due = self._releases.has_due()
        return not (gathered.pending or gathered.settlements or due)

    def describe(self) -> ClaimFigures:
        """Return the figures for the state dump."""
        self.figures.waiting = len(self._gathered.pending)
        self.figures.abandoned = self._releases.size()
        return self.figures

    async def run(self) -> None:
        """Write what gathers, for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while not self.is_idle() or self._releases.size():
                await self._flush()
                await asyncio.sleep(self._gap_s())

    def _gap_s(self) -> float:
        """Return the time between two calls that the fleet can afford."""
        writers = self._members.count
        if writers > COLLECT_ABOVE:
            writers = COLLECTORS
        return max(LEAST_GAP_S, writers / FLEET_WRITES_PER_S)

    async def _flush(self) -> None:
        taken = self._take()
        claims = [item.claim for item in taken.pending]
        batch = Batch(claims, [item.settlement for item in taken.settlements])
        verdicts: list[Verdict] = []
        again: list[Claim] = []
        try:
            if batch:
                verdicts, again = await self._carry(batch)
        except StoreError as exc:
            self._put_back(taken, exc)
            await asyncio.sleep(_BACKOFF_S)
            return
        self._note_written(taken.settlements)
        self._tell_all(taken.pending, verdicts)
        self._gathered.pending.extend(
            item for item in taken.pending if item.claim in again
        )
        await self._releases.run_due()

    def _note_written(self, outcomes: list[_Outcome]) -> None:
        self.figures.settlements += len(outcomes)
        for item in outcomes:
            if item.written is not None:
                _answer(item.written, None)

    async def _carry(self, batch: Batch) -> tuple[list[Verdict], list[Claim]]:
        """Take a batch to the service, by the way that is right now."""
        self.figures.calls += 1
        address = pick_collector(self.name, self._members)
        carrier: Carrier = self._direct
        if address:
            carrier = PeerCarrier(self._clients, address)
        return await carrier.carry(batch)

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
            elif item.told is None:
                self._give_up(item.claim, exc)
            else:
                _answer(item.told, Verdict(item.claim, UNKNOWN))

    def _give_up(self, claim: Claim, exc: StoreError) -> None:
        self.figures.failed += 1
        self._releases.add(claim, time.monotonic() + RELEASE_AFTER_S)
        self._held.pop(claim.request_id, None)
        _LOG.warning('claim given up', extra={'reason': type(exc).__name__})
        self._sink.apply(ClaimFailed(claim.request_id))

    def _tell_all(
        self, pending: list[_Pending], verdicts: list[Verdict]
    ) -> None:
        told = {item.claim.request_id: item.told for item in pending}
        for verdict in verdicts:
            waiting = told.get(verdict.claim.request_id)
            if waiting is None:
                self._tell_own(verdict)
                continue
            _answer(waiting, verdict)

    def _tell_own(self, verdict: Verdict) -> None:
        self.figures.claims += 1
        request_id = verdict.claim.request_id
        if verdict.state == 'won':
            self._sink.apply(ClaimWon(request_id))
            return
        self._held.pop(request_id, None)
        if verdict.state == 'answered':
            self.answers[request_id] = verdict.answer
        alive = self._members.is_alive(verdict.holder)
        self._sink.apply(ClaimTaken(request_id, verdict.state, alive))
        self.answers.pop(request_id, None)


def _answer(fut: asyncio.Future[Told], answer: Told) -> None:
    """Answer another node's call, unless it has given up waiting.

    A call whose deadline passed is cancelled. An answer set on it all the
    same would raise, and end the only task that writes claims.
    """
    if not fut.done():
        fut.set_result(answer)
