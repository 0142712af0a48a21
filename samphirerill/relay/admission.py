"""Let streams in where a path has room, in order, or refuse them at once.

Requests wait here only while waiting can still bring a timely first event;
an engine that is too full would preempt the stream of another client instead.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from itertools import pairwise
from typing import TYPE_CHECKING

from samphirerill.fleet.explain import explain_no_path
from samphirerill.fleet.load import list_ids
from samphirerill.fleet.outage import Outage
from samphirerill.fleet.paths import choose_path
from samphirerill.fleet.prediction import predict_transfer_ms

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.fleet.paths import PathRequest
    from samphirerill.relay.state import EdgeState

# What a first event takes from the send on: reading a usual prompt through all
# stages beside other streams.
_FIRST_EVENT_S = 0.15
# Smoothing of the time between two admissions of waiting requests.
_SMOOTHING = 0.2
# A request is only refused for a long queue when so many are before it.
_SHORT_QUEUE = 4
# So many streams that have begun and find no path are passed over each time: to
# look for a path takes 1 ms at 98 replicas, and is done 80 times a second.
_MOST_PASSED = 3


@dataclass(slots=True, eq=False)
class _Ticket:
    """A waiting request; lower ranks go first.

    `timely_until` is until when a path still brings a timely first event.
    """

    rank: int
    timely_until: float
    service: str
    engine: EngineSpec
    wanted: PathRequest
    granted: asyncio.Future[tuple[Stage, ...]]


class HopelessError(Exception):
    """No path will have room in time; `wait_s` is when one might."""

    def __init__(self, wait_s: float, reason: str) -> None:
        super().__init__(f'no path in time: {reason}')
        self.wait_s = wait_s


class OutageError(HopelessError):
    """Nobody holds some layers; `wait_s` is when somebody should."""


class Admission:
    """The queue of this node's streams.

    Parameters
    ----------
    state : EdgeState
        Replicas and load.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._queue: list[_Ticket] = []
        self._outages: dict[str, Outage] = {}
        self._gap_s = 0.0
        self._last_grant = 0.0
        self._is_pumping = False
        state.listen(self._schedule)

    def count_waiting(self) -> int:
        """Return how many requests wait."""
        return sum(not ticket.granted.done() for ticket in self._queue)

    def predict_wait_s(self) -> float:
        """Return how long the queue as it is takes to pass."""
        return self._gap_s * (1 + self.count_waiting())

    async def admit(
        self,
        service: str,
        engine: EngineSpec,
        wanted: PathRequest,
        rank: int,
        deadline: float,
        target: float,
    ) -> tuple[Stage, ...]:
        """Return a path with room, already counted as taken.

        Parameters
        ----------
        service, engine : str, EngineSpec
            Whose replicas.
        wanted : PathRequest
            What the path must offer.
        rank : int
            Its priority, 0 first.
        deadline : float
            Until when it may wait.
        target : float
            When the first event should be there.

        Raises
        ------
        HopelessError
            None will be free before the deadline.
        """
        waiting = self._count_before(rank)
        if not waiting:
            stages = self._try(service, engine, wanted)
            if stages:
                return stages
        ticket = _Ticket(
            rank,
            target - _FIRST_EVENT_S,
            service,
            engine,
            wanted,
            self._loop.create_future(),
        )
        self._refuse_hopeless(waiting, ticket, deadline)
        if not wanted.is_urgent:
            self._refuse_in_outage(ticket, deadline)
        return await self._wait(ticket, deadline)

    def hold(
        self, engine: EngineSpec, stages: tuple[Stage, ...], tokens: float
    ) -> None:
        """Count a path that `find` returned as taken."""
        self._state.book.take(list_ids(stages), tokens)
        self._note_crossings(engine, stages, tokens)

    def release(self, stages: tuple[Stage, ...], tokens: float) -> None:
        """A stream has ended: its room is free."""
        self._state.book.give_back(list_ids(stages), tokens)
        self._state.notify()

    def find(
        self, service: str, engine: EngineSpec, wanted: PathRequest
    ) -> tuple[Stage, ...]:
        """Return a path with room, or none; nothing is taken."""
        now = self._loop.time()
        state = self._state
        wanted.pipes = state.pipes
        wanted.home = state.settings.data_centre
        wanted.policy = state.settings.policy
        usable = state.view.list_usable(service, now)
        return choose_path(engine, usable, state.book, wanted, now)

    async def _wait(
        self, ticket: _Ticket, deadline: float
    ) -> tuple[Stage, ...]:
        self._queue.append(ticket)
        try:
            async with asyncio.timeout_at(deadline):
                return await ticket.granted
        except TimeoutError as exc:
            self._abandon(ticket)
            raise HopelessError(
                self.predict_wait_s(), self._explain(ticket)
            ) from exc
        except asyncio.CancelledError:
            self._abandon(ticket)
            raise

    def _count_before(self, rank: int) -> int:
        """Return how many of those that wait go before a newcomer.

        Streams that have begun rank before all new ones; counted behind them,
        they were refused for a queue that was not theirs.
        """
        return sum(
            ticket.rank <= rank and not ticket.granted.done()
            for ticket in self._queue
        )

    def _abandon(self, ticket: _Ticket) -> None:
        """Give back what was granted in the moment of giving up."""
        granted = ticket.granted
        if granted.done() and not granted.cancelled():
            self.release(granted.result(), ticket.wanted.tokens)
        granted.cancel()

    def _refuse_hopeless(
        self, waiting: int, ticket: _Ticket, deadline: float
    ) -> None:
        """Refuse at once what the queue before it will not let through."""
        left_s = deadline - self._loop.time()
        expected_s = self._gap_s * waiting
        if waiting > _SHORT_QUEUE and expected_s > left_s:
            raise HopelessError(expected_s, self._explain(ticket))

    def _refuse_in_outage(self, ticket: _Ticket, deadline: float) -> None:
        """Refuse at once what no replicas can serve in its time.

        A stream that has begun waits: it can't come back.
        """
        service, now = ticket.service, self._loop.time()
        outage = self._outages.get(service)
        if outage is None:
            outage = Outage(ticket.engine)
            self._outages[service] = outage
        live = self._state.view.list_live(service, now)
        if not outage.observe(live, now):
            return
        wait_s = outage.predict_wait_s(live, now)
        if now + wait_s > deadline:
            raise OutageError(wait_s, self._explain(ticket))

    def _explain(self, ticket: _Ticket) -> str:
        state = self._state
        usable = state.view.list_usable(ticket.service, self._loop.time())
        return explain_no_path(ticket.engine, usable, state.book, ticket.wanted)

    def _schedule(self) -> None:
        if self._queue and not self._is_pumping:
            self._is_pumping = True
            self._loop.call_soon(self._pump)

    def _pump(self) -> None:
        """Grant what there is room for.

        Under overload, first come first served would make every stream late
        by the length of the queue. Those that can still be on time go first,
        the others when there is room left. One that has begun and finds no
        path holds up nobody: it may have tried all replicas, and those behind
        it have not.
        """
        self._is_pumping = False
        self._queue = [item for item in self._queue if not item.granted.done()]
        now = self._loop.time()
        self._queue.sort(key=lambda item: (item.rank, item.timely_until < now))
        passed_over = 0
        for ticket in tuple(self._queue):
            stages = self._try(ticket.service, ticket.engine, ticket.wanted)
            if stages:
                self._queue.remove(ticket)
                ticket.granted.set_result(stages)
                self._note_grant()
            elif not ticket.wanted.is_urgent or passed_over >= _MOST_PASSED:
                return
            else:
                passed_over += 1

    def _note_grant(self) -> None:
        now = self._loop.time()
        gap_s = min(1.0, now - self._last_grant)
        self._gap_s += _SMOOTHING * (gap_s - self._gap_s)
        self._last_grant = now

    def _try(
        self, service: str, engine: EngineSpec, wanted: PathRequest
    ) -> tuple[Stage, ...]:
        stages = self.find(service, engine, wanted)
        if stages:
            self.hold(engine, stages, wanted.tokens)
        return stages

    def _note_crossings(
        self,
        engine: EngineSpec,
        stages: tuple[Stage, ...],
        tokens: float,
    ) -> None:
        now = self._loop.time()
        transfer_ms = predict_transfer_ms(engine, tokens)
        for stage, following in pairwise(stages):
            here = stage.replica.data_centre
            there = following.replica.data_centre
            if here != there:
                self._state.pipes.note(here, there, transfer_ms, now)
