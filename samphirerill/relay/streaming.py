"""Serve a stream through a path of engines, resuming it where one fails.

Events are passed on whole and as they arrive. If the path breaks or falls
silent, the same answer goes on over another path, after the last event that
the client has: each event once, in order.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.admission import NoPathError, OutageError
from samphirerill.relay.answers import (
    filter_headers,
    is_success,
    read_body,
)
from samphirerill.relay.connection import (
    Head,
    HttpConnection,
    Part,
    Whole,
)
from samphirerill.relay.errors import BrokenAnswerError, EndpointError
from samphirerill.relay.events import EventSplitter
from samphirerill.relay.leaving import may_leave, must_begin_here
from samphirerill.relay.refusals import (
    FAILED,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
    refuse,
)
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_limits import StreamLimits
from samphirerill.relay.stream_path import StreamPath, format_path
from samphirerill.relay.stream_sender import StreamProgress, StreamSender
from samphirerill.relay.stream_times import RunTimes, StreamTimes
from samphirerill.relay.succession import Handover, StreamRun

if TYPE_CHECKING:
    from collections.abc import Awaitable, Coroutine

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.health.examiner import Examiner
    from samphirerill.relay.quarantine import Witness
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

_LOG = get_logger('streams')
# One that has begun is worth more: it goes before any new one.
_URGENT = -1
# Reading the prompt through all stages takes up to half a second under load.
_FIRST_SILENCE_S = 0.22
# A run that should take a stream over gets so long to begin at the least: reading
# the prompt takes up to half a second under load.
_TAKE_OVER_S = 0.7
# When to come back if nothing better is known.
_RETRY_S = 0.3
# Requests are refused for want of room while a pipeline is out of work; a part
# that is lost is noticed and loaded again in two to four seconds.
_REPAIR_S = 2.5


class StreamExchange:
    """One stream.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    engine : EngineSpec
        The service's figures.
    admission : Admission
        Grants paths.
    examiner : Examiner
        Asks silent replicas.
    quarantine : Witness
        Told of runs that break off, and of those that go on.
    """

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        engine: EngineSpec,
        admission: Admission,
        examiner: Examiner,
        quarantine: Witness,
    ) -> None:
        self._state = state
        self._task = task
        self._quarantine = quarantine
        self._loop = asyncio.get_running_loop()
        self._admission = admission
        self._path = StreamPath(state, task, engine, admission)
        self._times = StreamTimes(
            state.metrics,
            task.req.arrived_at,
            state.settings.policy,
            task.route.gap_s,
        )
        self._progress = StreamProgress(task)
        self._sender = StreamSender(
            state, task, self._path, self._progress, examiner, quarantine
        )
        self._limits = StreamLimits(
            state, task, self._progress, self._times, quarantine
        )
        self._ended = False
        self._failure: tuple[Head, bytes] | None = None
        self._run = RunTimes(0.0)
        self._conn: HttpConnection | None = None
        self._waiting: asyncio.Timeout | None = None
        self._handover = Handover(self._begin_beside, self._drop_run)
        self._guard = StreamGuard(
            task, self._path, examiner, self._limits.may_retry, self._seek
        )

    @property
    def stages(self) -> tuple[Stage, ...]:
        """Return the path that it passes through now."""
        return self._path.stages

    @property
    def last_event_at(self) -> float:
        """Return when its last event came; 0 before the first one."""
        return self._times.last_at

    async def run(self) -> None:
        """Answer the request."""
        self._note_start()
        try:
            await self._serve()
        finally:
            self._handover.cancel()
            self._note_end()

    def check_path(self) -> None:
        """Leave replicas that are lost, without waiting for a silence."""
        self._guard.check_path()

    def check_quarantine(self) -> None:
        """End at once what may not run any more: it ends replicas.

        A run that goes on shows the contrary, and is left alone.
        """
        if self._ended or not self._limits.is_quarantined():
            return
        if self._waiting is not None:
            self._waiting.reschedule(self._loop.time())
        if self._run.has_survived:
            return
        self._handover.cancel()
        if self._conn is not None:
            self._conn.close()

    async def _serve(self) -> None:
        while not self._ended:
            obstacle = self._limits.acquire_attempt()
            if obstacle is not None:
                self._give_up(obstacle.reason, obstacle.wait_s)
                return
            before = self._progress.attempts
            has_path = await self._take_path()
            if has_path:
                await self._attempt()
            if self._progress.attempts == before:
                self._limits.return_attempt()
            if has_path:
                await self._follow()
                await self._rest()

    async def _rest(self) -> None:
        """Wait a while if several sends have brought nothing."""
        rest_s = self._limits.compute_backoff_s()
        if self._ended:
            return
        if rest_s:
            await self._wait(asyncio.sleep(rest_s))
        if self._quarantine.is_suspect(self._task):
            await self._wait(self._quarantine.rest(self._task))

    async def _take_path(self) -> bool:
        """Wait for a path; give up and return false if none comes."""
        try:
            return await self._wait(self._find_path())
        except OutageError as exc:
            self._give_up(str(exc), exc.wait_s)
        except NoPathError as exc:
            self._give_up(str(exc), max(_REPAIR_S, exc.wait_s))
        return False

    async def _find_path(self) -> None:
        has_begun = self._progress.has_begun
        until = self._limits.get_admission_deadline()
        heads = await self._path.find_isolated_head(self._quarantine, until)
        await self._path.acquire(
            _URGENT if has_begun else self._task.priority,
            until,
            is_urgent=has_begun,
            heads=heads,
        )

    async def _wait(self, work: Awaitable[None]) -> bool:
        """Wait for something; return false if the stream is held meanwhile.

        Held back, it should get its answer now and not when its turn comes.
        """
        scope = asyncio.timeout(None)
        self._waiting = scope
        try:
            async with scope:
                await work
        except TimeoutError:
            return False
        finally:
            self._waiting = None
        return True

    async def _attempt(self) -> None:
        """Send to the path once and pass on what comes."""
        try:
            await self._send_once()
        finally:
            self._path.release()

    async def _send_once(self) -> None:
        stages = self._path.stages
        conn = await self._sender.connect(stages[0].replica)
        if conn is None:
            return
        is_new_head = self._sender.send(conn, stages, 'stream sent')
        await self._carry(
            conn, self._read_answer(conn, is_new_head=is_new_head)
        )

    async def _follow(self) -> None:
        """Go on over the runs that take over, one after another."""
        while not self._ended:
            run = await self._handover.wait()
            if run is None:
                return
            self._path.stages = run.stages
            try:
                await self._carry(run.conn, self._relay(run.conn, run.head))
            finally:
                self._path.release()

    async def _carry(
        self, conn: HttpConnection, reading: Coroutine[None, None, None]
    ) -> None:
        """Let a run be read to its end, under guard."""
        replica = self._path.stages[0].replica
        self._run = RunTimes(self._loop.time())
        self._conn = conn
        self._guard.start(conn)
        try:
            await reading
        except EndpointError as exc:
            conn.close()
            self._note_break(exc)
        except asyncio.CancelledError:
            conn.close()
            raise
        else:
            self._state.pool.give_back(replica, conn)
        finally:
            self._conn = None
            self._guard.stop()

    def _seek(self, conn: HttpConnection, reason: str) -> bool:
        """Let another run take over; return whether the stream has begun."""
        if self._progress.has_begun and self._task.is_retryable:
            self._log('stream leaves', reason=reason)
            if must_begin_here(self._path) and self._limits.may_retry():
                # No replica is sent a stream that it still runs.
                conn.close()
            else:
                self._handover.start(conn)
        return self._progress.has_begun

    async def _begin_beside(self) -> StreamRun | None:
        """Begin another run beside the present one, if somebody takes it."""
        if not may_leave(self._path):
            return None
        until = self._limits.get_admission_deadline()
        try:
            stages = await self._path.acquire_parallel(_URGENT, until)
        except NoPathError as exc:
            self._log('stream stays', reason=str(exc))
            return None
        run = None
        try:
            run = await self._send_beside(stages, until)
        finally:
            if run is None:
                self._admission.release(stages, self._path.tokens)
        return run

    async def _send_beside(
        self, stages: tuple[Stage, ...], until: float
    ) -> StreamRun | None:
        """Take a repeat and send; none if there is no repeat or no answer."""
        obstacle = self._limits.acquire_attempt()
        if obstacle is not None:
            self._log('stream stays', reason=obstacle.reason)
            return None
        before = self._progress.attempts
        run = await self._sender.start_parallel_run(
            stages, max(until, self._loop.time() + _TAKE_OVER_S)
        )
        if self._progress.attempts == before:
            self._limits.return_attempt()
        return run

    def _drop_run(self, run: StreamRun) -> None:
        run.conn.close()
        self._admission.release(run.stages, self._path.tokens)

    async def _read_answer(
        self, conn: HttpConnection, *, is_new_head: bool
    ) -> None:
        head, facts = await self._guard.read(
            conn, _FIRST_SILENCE_S, self._sender.read_head
        )
        if facts.is_not_run:
            await read_body(conn, self._task.deadline)
            self._sender.handle_rejection(
                self._path.head_id,
                head,
                facts.at_fault,
                is_new_head=is_new_head,
            )
            return
        self._progress.may_have_run = True
        if is_success(head.status):
            await self._relay(conn, head)
            return
        self._failure = (head, await read_body(conn, self._task.deadline))
        self._progress.reason = f'engine answered {head.status}'
        self._path.avoid.add(self._path.head_id)
        if not self._task.is_retryable:
            self._give_up('it may have run', 0)

    async def _relay(self, conn: HttpConnection, head: Head) -> None:
        """Pass the events on."""
        caller = self._task.conn
        if not self._progress.has_begun:
            self._progress.begun_at = self._loop.time()
            caller.start_answer(head.status, filter_headers(head), None)
        splitter = EventSplitter()
        predicted_s = self._path.predict_gap_s(self._path.stages)
        while not self._ended:
            silence_s = self._times.find_silence_s(predicted_s)
            part = await self._guard.read(conn, silence_s, _read_part)
            if isinstance(part, Whole):
                if self._run.events:
                    self._quarantine.note_whole(self._task)
                caller.write_body(splitter.rest)
                caller.end_answer()
                self._ended = True
            elif isinstance(part, Part):
                self._pass_on(splitter, part.body)
                await caller.drain()

    def _pass_on(self, splitter: EventSplitter, body: bytes) -> None:
        fresh = []
        events = splitter.feed(body)
        if events:
            if not self._run.events:
                self._trust_path()
            self._run.record_events(len(events), self._loop.time())
            self._quarantine.note_progress(self._task, self._run)
        for event in events:
            if event.number < 0 or event.number > self._progress.last_id:
                self._progress.last_id = max(
                    self._progress.last_id, event.number
                )
                fresh.append(event.raw)
        if fresh:
            self._times.note_event(self._loop.time())
            self._task.conn.write_body(b''.join(fresh))

    def _trust_path(self) -> None:
        """The first event has passed through all replicas of the path.

        A head alone proves nothing: some engines begin an answer and break off.
        """
        for stage in self._path.stages:
            self._state.view.trust(stage.replica.replica_id)

    def _note_break(self, exc: EndpointError) -> None:
        if isinstance(exc, BrokenAnswerError):
            head = self._path.stages[0].replica
            self._quarantine.note_break(self._task, head, self._run)
        if self._handover.has_replacement:
            self._state.counters['streams.taken_over'] += 1
            return
        if exc.may_have_run:
            self._progress.may_have_run = True
            self._progress.has_broken_run = True
        self._progress.reason = str(exc)
        self._path.avoid.update(self._path.list_lost(), (self._path.head_id,))
        if not self._progress.has_advanced():
            # It accepts and breaks off, as one that goes down and up by turns:
            # none of this node's streams should be sent there at once.
            self._state.view.refuse(self._path.head_id, self._loop.time())
            self._path.finder.failed_sends[self._path.head_id] += 1
        if self._path.head_id not in self._state.view.known:
            # Counted as there for half a minute more, such replicas were all
            # that a stream might be sent to; it was cut with others free.
            self._path.finder.departed_heads.add(self._path.head_id)
        self._state.counters['streams.broken'] += 1
        self._log(
            'stream broke',
            path=format_path(self._path.stages),
            last_event=self._progress.last_id,
            reason=self._progress.reason,
            **self._run.describe(self._loop.time()),
        )

    def _give_up(self, obstacle: str, wait_s: float) -> None:
        """Give the final answer, or cut one that has begun."""
        self._ended = True
        caller = self._task.conn
        if self._progress.has_begun:
            self._state.counters['streams.cut'] += 1
            self._log(
                'stream cut',
                last_event=self._progress.last_id,
                reason=self._progress.reason,
                obstacle=obstacle,
            )
            caller.cut()
        elif self._failure is None:
            refusal = self._build_refusal(obstacle, wait_s)
            refuse(self._state, caller, self._task.facts, refusal)
        else:
            head, body = self._failure
            caller.answer(head.status, filter_headers(head), body)

    def _build_refusal(self, obstacle: str, wait_s: float) -> Refusal:
        reasons = filter(None, (self._progress.reason, obstacle))
        reason = '; '.join(reasons)
        if not self._progress.may_have_run:
            return Refusal(UNAVAILABLE, reason, wait_s or _RETRY_S)
        if self._loop.time() >= self._task.deadline:
            return Refusal(TIMED_OUT, reason)
        return Refusal(FAILED, reason)

    def _note_start(self) -> None:
        self._state.streams.add(self)
        self._state.get_budget(self._task.service.name).streams += 1

    def _note_end(self) -> None:
        self._state.streams.discard(self)
        self._state.get_budget(self._task.service.name).streams -= 1
        facts = self._times.describe(self._loop.time())
        self._log('stream ended', sends=self._progress.attempts, **facts)

    def _log(self, event: str, **facts: object) -> None:
        _LOG.info(event, extra={'request': self._task.request_id, **facts})


async def _read_part(
    conn: HttpConnection, deadline: float
) -> Head | Part | Whole:
    return await conn.read(deadline)
