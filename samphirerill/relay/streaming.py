"""Serve a stream through a path of engines, resuming it where one fails.

Events are passed on whole and as they arrive. If the path breaks or falls
silent, the same answer goes on over another path, after the last event that
the client has: each event once, in order.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_ids
from samphirerill.node.logs import get_logger
from samphirerill.relay.admission import HopelessError
from samphirerill.relay.answers import (
    filter_headers,
    is_success,
    read_body,
    read_head,
)
from samphirerill.relay.connection import Head, Part, Whole
from samphirerill.relay.dialect import AnswerFacts
from samphirerill.relay.errors import (
    ConnectError,
    EndpointError,
    NoConnectionLeftError,
)
from samphirerill.relay.events import EventSplitter
from samphirerill.relay.refusals import (
    FAILED,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
    refuse,
)
from samphirerill.relay.stream_call import (
    build_stream_call,
    find_patience_s,
    read_last_id,
)
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_path import StreamPath, describe_stages
from samphirerill.relay.stream_times import StreamTimes
from samphirerill.relay.succession import Run, Succession

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from samphirerill.fleet.model import EngineSpec, Replica, Stage
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.examiner import Examiner
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.task import Task

_LOG = get_logger('streams')
_MS_PER_S = 1000
# Clients give a stream up after a gap of two seconds, also before its first
# event; a request that has waited so long for a path is refused instead.
_ADMISSION_S = 1.4
# One that has begun is worth more: it goes before any new one.
_URGENT = -1
# Reading the prompt through all stages takes up to half a second under load.
_FIRST_SILENCE_S = 0.22
# A run that should take a stream over and has not begun by then is not waited for:
# reading the prompt takes up to half a second under load.
_TAKE_OVER_S = 0.7
# How often a stream may be sent to a path that ran nothing of it. One that has
# begun goes on after that as long as its client waits, but not in a hurry.
_MOST_SENDS = 6
_REST_S = 0.1
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
    """

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        engine: EngineSpec,
        admission: Admission,
        examiner: Examiner,
    ) -> None:
        self._state = state
        self._task = task
        self._loop = asyncio.get_running_loop()
        self._admission = admission
        self._path = StreamPath(state, task, engine, admission)
        self._times = StreamTimes(
            state.metrics, task.req.arrived_at, state.settings.policy
        )
        self._last_id = read_last_id(task.facts.resume_after)
        self._sends = 0
        self._may_have_run = False
        self._started = False
        self._ended = False
        self._begun_at = 0.0
        self._failure: tuple[Head, bytes] | None = None
        self._reason = ''
        self._succession = Succession(self._begin_beside, self._drop_run)
        self._guard = StreamGuard(
            task, self._path, examiner, self._may_resend, self._seek
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
            self._succession.cancel()
            self._note_end()

    def check_path(self) -> None:
        """Leave replicas that are lost, without waiting for a silence."""
        self._guard.check_path()

    async def _serve(self) -> None:
        while not self._ended:
            obstacle = self._find_obstacle()
            if obstacle:
                self._give_up(obstacle, 0)
            elif await self._take_path():
                await self._attempt()
                await self._follow()
            if self._sends >= _MOST_SENDS and not self._ended:
                await asyncio.sleep(_REST_S)

    async def _take_path(self) -> bool:
        """Wait for a path; give up and return false if none comes."""
        rank = _URGENT if self._started else self._task.priority
        try:
            await self._path.take(
                rank, self._limit_admission(), is_urgent=self._started
            )
        except HopelessError as exc:
            self._give_up(str(exc), max(_REPAIR_S, exc.wait_s))
            return False
        return True

    def _find_obstacle(self) -> str:
        """Take a repeat for one more send; return why there is none, if so."""
        now = self._loop.time()
        if now >= self._task.deadline:
            return 'its time is over'
        if self._sends >= _MOST_SENDS and not self._started:
            return f'sent {self._sends} times'
        budget = self._state.get_budget(self._task.service.name)
        if not self._sends:
            budget.note_first(now)
            return ''
        if self._may_have_run and not self._task.may_repeat:
            return 'it may have run'
        nodes = self._state.count_nodes()
        if budget.spend(now, nodes, is_urgent=self._started):
            return ''
        return 'no repeat is left'

    def _may_resend(self) -> bool:
        """Return whether the stream could be sent again, if it were broken.

        A path that may recover is better than one left for nothing.
        """
        budget = self._state.get_budget(self._task.service.name)
        return budget.has_left(
            self._loop.time(),
            self._state.count_nodes(),
            is_urgent=self._started,
        )

    def _limit_admission(self) -> float:
        until = self._task.req.arrived_at + _ADMISSION_S
        if self._started:
            # A path may break before its first event.
            since = max(self._begun_at, self._times.last_at)
            until = since + find_patience_s(self._task.route)
        return min(self._task.deadline, until)

    async def _attempt(self) -> None:
        """Send to the path once and pass on what comes."""
        try:
            await self._send_once()
        finally:
            self._path.give_back()

    async def _send_once(self) -> None:
        stages = self._path.stages
        conn = await self._connect(stages[0].replica)
        if conn is None:
            return
        is_new_head = self._note_send('stream sent', stages)
        conn.send(self._build_call(stages))
        await self._carry(
            conn, self._read_answer(conn, is_new_head=is_new_head)
        )

    async def _follow(self) -> None:
        """Go on over the runs that take over, one after another."""
        while not self._ended:
            run = await self._succession.settle()
            if run is None:
                return
            self._path.stages = run.stages
            try:
                await self._carry(run.conn, self._relay(run.conn, run.head))
            finally:
                self._path.give_back()

    async def _connect(self, replica: Replica) -> HttpConnection | None:
        """Return a connection; none if the path can't be used now."""
        try:
            return await self._state.pool.take(
                replica,
                fresh=not self._task.may_repeat,
                most=self._state.count_connections(self._task.service),
            )
        except NoConnectionLeftError as exc:
            self._put_off(replica.replica_id, str(exc))
        except ConnectError as exc:
            self._shun(replica.replica_id, str(exc))
        return None

    async def _carry(
        self, conn: HttpConnection, reading: Coroutine[None, None, None]
    ) -> None:
        """Let a run be read to its end, under guard."""
        replica = self._path.stages[0].replica
        self._guard.begin(conn)
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
            self._guard.end()

    def _seek(self, conn: HttpConnection) -> bool:
        """Let another run take over; return whether the stream has begun."""
        if self._started and self._task.may_repeat:
            self._succession.seek(conn)
        return self._started

    async def _begin_beside(self) -> Run | None:
        """Begin another run beside the present one, if somebody takes it."""
        if not self._path.stages or not self._path.has_other():
            return None
        obstacle = self._find_obstacle()
        if obstacle:
            self._log('stream stays', reason=obstacle)
            return None
        try:
            stages = await self._path.take_beside(
                _URGENT, self._limit_admission()
            )
        except HopelessError as exc:
            self._log('stream stays', reason=str(exc))
            return None
        run = None
        try:
            run = await self._begin(stages)
        finally:
            if run is None:
                self._admission.release(stages, self._path.tokens)
        return run

    async def _begin(self, stages: tuple[Stage, ...]) -> Run | None:
        """Send to another path; return the run once its engine answers."""
        conn = await self._connect(stages[0].replica)
        if conn is None:
            return None
        head = None
        try:
            head = await self._open(conn, stages)
        except EndpointError as exc:
            self._shun(stages[0].replica.replica_id, str(exc))
        finally:
            if head is None:
                conn.close()
        return None if head is None else Run(stages, conn, head)

    async def _open(
        self, conn: HttpConnection, stages: tuple[Stage, ...]
    ) -> Head | None:
        """Return the head of a run that has begun; none if it was refused."""
        is_new_head = self._note_send('stream sent beside', stages)
        head_id = stages[0].replica.replica_id
        conn.send(self._build_call(stages))
        until = self._loop.time() + _TAKE_OVER_S
        head, facts = await self._read_head(conn, until)
        if facts.is_not_run:
            self._note_not_run(
                head_id, head, facts.at_fault, is_new_head=is_new_head
            )
        return head if is_success(head.status) else None

    def _drop_run(self, run: Run) -> None:
        run.conn.close()
        self._admission.release(run.stages, self._path.tokens)

    def _note_send(self, event: str, stages: tuple[Stage, ...]) -> bool:
        """Count a send; return whether its first replica is a new one."""
        self._sends += 1
        head_id = stages[0].replica.replica_id
        is_new_head = head_id not in self._path.heads
        self._path.heads.add(head_id)
        waited_s = self._loop.time() - self._task.req.arrived_at
        self._log(
            event,
            path=describe_stages(stages),
            send=self._sends,
            nodes=1 + self._state.book.count_peers(),
            after_event=self._last_id,
            tokens=int(self._path.tokens),
            gap_ms=round(self._path.predict_gap_s(stages) * _MS_PER_S),
            waited_ms=round(waited_s * _MS_PER_S),
        )
        return is_new_head

    def _build_call(self, stages: tuple[Stage, ...]) -> bytes:
        """Return the call; it resumes after what the client has of ours.

        A stream may break between its head and its first event; there is
        nothing to go on from then, and the client's own word holds.
        """
        resume = b''
        if self._started and self._last_id >= 0:
            resume = b'%d' % self._last_id
        return build_stream_call(self._state, self._task, stages, resume)

    async def _read_answer(
        self, conn: HttpConnection, *, is_new_head: bool
    ) -> None:
        head, facts = await self._guard.read(
            conn, _FIRST_SILENCE_S, self._read_head
        )
        if facts.is_not_run:
            await read_body(conn, self._task.deadline)
            self._note_not_run(
                self._path.head_id,
                head,
                facts.at_fault,
                is_new_head=is_new_head,
            )
            return
        self._may_have_run = True
        if is_success(head.status):
            await self._relay(conn, head)
            return
        self._failure = (head, await read_body(conn, self._task.deadline))
        self._reason = f'engine answered {head.status}'
        self._path.avoid.add(self._path.head_id)
        if not self._task.may_repeat:
            self._give_up('it may have run', 0)

    async def _read_head(
        self, conn: HttpConnection, deadline: float
    ) -> tuple[Head, AnswerFacts]:
        return await read_head(
            conn, self._state.dialect, self._task.facts.request_id, deadline
        )

    async def _relay(self, conn: HttpConnection, head: Head) -> None:
        """Pass the events on."""
        caller = self._task.conn
        if not self._started:
            self._started = True
            self._begun_at = self._loop.time()
            caller.start_answer(head.status, filter_headers(head), None)
        for replica_id in list_ids(self._path.stages):
            self._state.view.trust(replica_id)
        splitter = EventSplitter()
        predicted_s = self._path.predict_gap_s(self._path.stages)
        while not self._ended:
            silence_s = self._times.find_silence_s(predicted_s)
            part = await self._guard.read(conn, silence_s, _read_part)
            if isinstance(part, Whole):
                caller.write_body(splitter.rest)
                caller.end_answer()
                self._ended = True
            elif isinstance(part, Part):
                self._pass_on(splitter, part.body)
                await caller.drain()

    def _pass_on(self, splitter: EventSplitter, body: bytes) -> None:
        fresh = []
        for event in splitter.feed(body):
            if event.number < 0 or event.number > self._last_id:
                self._last_id = max(self._last_id, event.number)
                fresh.append(event.raw)
        if fresh:
            self._times.note_event(self._loop.time())
            self._task.conn.write_body(b''.join(fresh))

    def _note_not_run(
        self, head_id: str, head: Head, at_fault: str, *, is_new_head: bool
    ) -> None:
        """A path refused and ran nothing; avoid who could not do its part."""
        if is_new_head:
            # One that has run the stream before counts as tried all the same.
            self._path.heads.discard(head_id)
        found = self._state.view.find_address(at_fault) if at_fault else None
        replica_id = head_id if found is None else found.replica.replica_id
        self._shun(replica_id, f'engine refused with {head.status}')

    def _note_break(self, exc: EndpointError) -> None:
        if self._succession.has_run:
            self._state.counters['streams.taken_over'] += 1
            return
        self._may_have_run = self._may_have_run or exc.may_have_run
        self._reason = str(exc)
        self._path.avoid.update(self._path.list_lost(), (self._path.head_id,))
        self._state.counters['streams.broken'] += 1
        self._log(
            'stream broke',
            path=describe_stages(self._path.stages),
            last_event=self._last_id,
            reason=self._reason,
        )

    def _shun(self, replica_id: str, reason: str) -> None:
        """Ask a replica not again at once, and not for this stream."""
        self._put_off(replica_id, reason)
        self._state.view.refuse(replica_id, self._loop.time())
        self._state.counters['streams.refused'] += 1
        self._log('engine refused', replica=replica_id, reason=reason)

    def _put_off(self, replica_id: str, reason: str) -> None:
        """Look for another replica.

        A stream that has begun may come back to this one: who was full for a
        moment is better than an answer that is cut.
        """
        self._reason = reason
        if self._started:
            self._state.view.refuse(replica_id, self._loop.time())
        else:
            self._path.avoid.add(replica_id)

    def _give_up(self, obstacle: str, wait_s: float) -> None:
        """Give the final answer, or cut one that has begun."""
        self._ended = True
        caller = self._task.conn
        if self._started:
            self._state.counters['streams.cut'] += 1
            self._log(
                'stream cut',
                last_event=self._last_id,
                reason=self._reason,
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
        if not self._may_have_run:
            reason = self._reason or obstacle
            return Refusal(UNAVAILABLE, reason, wait_s or _RETRY_S)
        if self._loop.time() >= self._task.deadline:
            return Refusal(TIMED_OUT, self._reason)
        return Refusal(FAILED, self._reason)

    def _note_start(self) -> None:
        self._state.streams.add(self)
        self._state.get_budget(self._task.service.name).streams += 1

    def _note_end(self) -> None:
        self._state.streams.discard(self)
        self._state.get_budget(self._task.service.name).streams -= 1
        facts = self._times.describe(self._loop.time())
        self._log('stream ended', sends=self._sends, **facts)

    def _log(self, event: str, **facts: object) -> None:
        _LOG.info(event, extra={'request': self._task.request_id, **facts})


async def _read_part(
    conn: HttpConnection, deadline: float
) -> Head | Part | Whole:
    return await conn.read(deadline)
