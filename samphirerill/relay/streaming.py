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
from samphirerill.relay.connection import Head, Part, Whole, build_call
from samphirerill.relay.dialect import AnswerFacts, Attempt
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
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_path import StreamPath
from samphirerill.relay.stream_times import StreamTimes

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
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
# One that has begun is worth more: it is resumed up to the last moment, and
# before any new one.
_RESUME_S = 1.9
_URGENT = -1
# Reading the prompt through all stages takes up to half a second under load.
_FIRST_SILENCE_S = 0.22
# How often a stream may be sent to a path that ran nothing of it.
_MOST_SENDS = 6
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
        self._path = StreamPath(state, task, engine, admission)
        self._times = StreamTimes(
            state.metrics, task.req.arrived_at, state.settings.policy
        )
        self._last_id = _read_last_id(task.facts.resume_after)
        self._sends = 0
        self._may_have_run = False
        self._started = False
        self._ended = False
        self._is_new_head = True
        self._failure: tuple[Head, bytes] | None = None
        self._reason = ''
        self._guard = StreamGuard(task, self._path, examiner, self._may_resend)

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
            self._note_end()

    def check_path(self) -> None:
        """Leave replicas that are lost, without waiting for a silence."""
        self._guard.check_path()

    async def _serve(self) -> None:
        while not self._ended and self._may_send():
            try:
                await self._path.take(
                    _URGENT if self._started else self._task.priority,
                    self._limit_admission(),
                    is_urgent=self._started,
                )
            except HopelessError as exc:
                self._give_up(exc)
                return
            try:
                await self._attempt()
            finally:
                self._path.give_back()
        if not self._ended:
            self._give_up(None)

    def _may_send(self) -> bool:
        now = self._loop.time()
        if now >= self._task.deadline or self._sends >= _MOST_SENDS:
            return False
        budget = self._state.get_budget(self._task.service.name)
        if not self._sends:
            budget.note_first(now)
            return True
        if self._may_have_run and not self._task.may_repeat:
            return False
        nodes = self._state.count_nodes()
        return budget.spend(now, nodes, is_urgent=self._started)

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
            until = self._times.last_at + _RESUME_S
        return min(self._task.deadline, until)

    async def _attempt(self) -> None:
        """Send to the path once and pass on what comes."""
        replica = self._path.stages[0].replica
        try:
            conn = await self._state.pool.take(
                replica, most=self._state.count_connections(self._task.service)
            )
        except NoConnectionLeftError as exc:
            self._reason = str(exc)
            self._path.avoid.add(replica.replica_id)
            return
        except ConnectError as exc:
            self._shun(replica.replica_id, str(exc))
            return
        self._note_send()
        self._guard.begin(conn)
        try:
            conn.send(self._build_call())
            await self._read_answer(conn)
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

    def _note_send(self) -> None:
        self._sends += 1
        self._is_new_head = self._path.head_id not in self._path.heads
        self._path.heads.add(self._path.head_id)
        waited_s = self._loop.time() - self._task.req.arrived_at
        self._log(
            'stream sent',
            path=self._path.describe(),
            send=self._sends,
            nodes=1 + self._state.book.count_peers(),
            after_event=self._last_id,
            tokens=int(self._path.tokens),
            gap_ms=round(self._path.predict_gap_s() * _MS_PER_S),
            waited_ms=round(waited_s * _MS_PER_S),
        )

    def _build_call(self) -> bytes:
        task = self._task
        attempt = Attempt(
            self._path.stages[0].replica,
            task.account_name,
            task.deadline - self._loop.time(),
            task.hides_key,
            self._path.stages,
            task.priority,
            self._encode_resume(),
        )
        headers = self._state.dialect.build_headers(
            task.req, task.facts, attempt
        )
        return build_call(
            task.req.method, task.req.target, headers, task.req.body
        )

    def _encode_resume(self) -> bytes:
        """Return the last event that the client has, if it has any of ours.

        A stream may break between its head and its first event; there is
        nothing to go on from then, and the client's own word holds.
        """
        if not self._started or self._last_id < 0:
            return b''
        return b'%d' % self._last_id

    async def _read_answer(self, conn: HttpConnection) -> None:
        head, facts = await self._guard.read(
            conn, _FIRST_SILENCE_S, self._read_head
        )
        if facts.is_not_run:
            await read_body(conn, self._task.deadline)
            self._note_not_run(head, facts.at_fault)
            return
        self._may_have_run = True
        if is_success(head.status):
            await self._relay(conn, head)
            return
        self._failure = (head, await read_body(conn, self._task.deadline))
        self._reason = f'engine answered {head.status}'
        self._path.avoid.add(self._path.head_id)
        if not self._task.may_repeat:
            self._give_up(None)

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
            caller.start_answer(head.status, filter_headers(head), None)
        for replica_id in list_ids(self._path.stages):
            self._state.view.trust(replica_id)
        splitter = EventSplitter()
        predicted_s = self._path.predict_gap_s()
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

    def _note_not_run(self, head: Head, at_fault: str) -> None:
        """The path refused and ran nothing; avoid who could not do its part."""
        replica_id = self._path.head_id
        if self._is_new_head:
            # One that has run the stream before counts as tried all the same.
            self._path.heads.discard(replica_id)
        if at_fault:
            found = self._state.view.find_address(at_fault)
            if found is not None:
                replica_id = found.replica.replica_id
        self._shun(replica_id, f'engine refused with {head.status}')

    def _note_break(self, exc: EndpointError) -> None:
        self._may_have_run = self._may_have_run or exc.may_have_run
        self._reason = str(exc)
        self._path.avoid.update(self._path.list_lost(), (self._path.head_id,))
        self._state.counters['streams.broken'] += 1
        self._log(
            'stream broke',
            path=self._path.describe(),
            last_event=self._last_id,
            reason=self._reason,
        )

    def _shun(self, replica_id: str, reason: str) -> None:
        """Ask a replica not again at once, and not for this stream."""
        self._reason = reason
        self._path.avoid.add(replica_id)
        self._state.view.refuse(replica_id, self._loop.time())
        self._state.counters['streams.refused'] += 1
        self._log('engine refused', replica=replica_id, reason=reason)

    def _give_up(self, hopeless: HopelessError | None) -> None:
        """Give the final answer, or cut one that has begun."""
        self._ended = True
        caller = self._task.conn
        if self._started:
            self._state.counters['streams.cut'] += 1
            reason = self._reason or str(hopeless)
            self._log('stream cut', last_event=self._last_id, reason=reason)
            caller.cut()
        elif self._failure is None:
            refusal = self._build_refusal(hopeless)
            refuse(self._state, caller, self._task.facts, refusal)
        else:
            head, body = self._failure
            caller.answer(head.status, filter_headers(head), body)

    def _build_refusal(self, hopeless: HopelessError | None) -> Refusal:
        if not self._may_have_run:
            reason = self._reason or str(hopeless)
            wait_s = _RETRY_S
            if hopeless is not None:
                wait_s = max(_REPAIR_S, hopeless.wait_s)
            return Refusal(UNAVAILABLE, reason, wait_s)
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


def _read_last_id(text: bytes) -> int:
    return int(text) if text.isdigit() else -1
