"""Serve a stream through a path of engines, resuming it where one fails.

Events are passed on whole and as they arrive. If the path breaks or falls
silent, the same answer goes on over another path, after the last event that
the client has: each event once, in order.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.load import list_ids
from samphirerill.fleet.paths import PathRequest, predict_gap_ms
from samphirerill.node.logs import get_logger
from samphirerill.relay.admission import HopelessError
from samphirerill.relay.answers import (
    filter_headers,
    is_success,
    read_body,
    read_head,
)
from samphirerill.relay.connection import Head, Part, Whole, build_call
from samphirerill.relay.dialect import Attempt
from samphirerill.relay.errors import (
    ConnectError,
    EndpointError,
    SilentEndpointError,
)
from samphirerill.relay.events import EventSplitter
from samphirerill.relay.orders import order_repath
from samphirerill.relay.refusals import (
    FAILED,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
    refuse,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import Admission
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.examiner import Diagnosis, Examiner
    from samphirerill.relay.front import Task
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('streams')
_MS_PER_S = 1000
# Clients give a stream up after a gap of two seconds, also before its first
# event; a request that has waited so long for a path is refused instead.
_ADMISSION_S = 1.4
# One that has begun is worth more: it is resumed up to the last moment, and
# before any new one.
_RESUME_S = 1.9
_URGENT = -1
# A path is asked about when it has been silent for so many predicted gaps,
# but not sooner than this: other streams' prompts cause shorter pauses.
_SILENT_GAPS = 4.0
_LEAST_SILENCE_S = 0.35
# Reading the prompt through all stages takes up to half a second under load.
_FIRST_SILENCE_S = 0.8
# How often a stream may be sent to a path that ran nothing of it.
_MOST_SENDS = 6


class StreamExchange:
    """One stream.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    admission : Admission
        Grants paths.
    examiner : Examiner
        Asks silent replicas.
    """

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        admission: Admission,
        examiner: Examiner,
    ) -> None:
        self._state = state
        self._task = task
        self._admission = admission
        self._examiner = examiner
        self._loop = asyncio.get_running_loop()
        self._engine: EngineSpec = task.service.engine
        self._stages: tuple[Stage, ...] = ()
        self._avoid: set[str] = set()
        self._heads: set[str] = set()
        self._sends = 0
        self._may_have_run = False
        self._last_id = _read_last_id(task.facts.resume_after)
        self._started = False
        self._ended = False
        self._failure: tuple[Head, bytes] | None = None
        self._reason = ''
        self._last_event_at = 0.0
        self._conn: HttpConnection | None = None
        self._moving: asyncio.Task[None] | None = None
        self._events = 0
        self._most_gap_s = 0.0
        self._first_event_at = 0.0
        self._request_id = task.facts.request_id.decode('latin-1')
        self._tokens = self._count_tokens()

    async def run(self) -> None:
        """Answer the request."""
        self._state.streams.add(self)
        try:
            await self._serve()
        finally:
            self._state.streams.discard(self)
            self._log_end()

    def check_path(self) -> None:
        """Leave replicas that are lost, without waiting for a silence."""
        conn = self._conn
        if conn is None or not self._task.may_repeat:
            return
        lost = self._list_lost()
        if not lost:
            return
        head_id = self._stages[0].replica.replica_id
        if head_id in lost:
            self._leave_head(head_id, conn)
        elif self._moving is None:
            self._moving = self._loop.create_task(self._move(conn))

    def _leave_head(self, head_id: str, conn: HttpConnection) -> None:
        """Go on elsewhere if the first replica is gone or gives up its part.

        One that only leaves finishes what it has begun.
        """
        view = self._state.view
        found = view.known.get(head_id)
        is_dead = found is None or found.dead_until > self._loop.time()
        if is_dead or (not view.is_leaving(head_id) and self._has_other_path()):
            conn.close()

    async def _move(self, conn: HttpConnection) -> None:
        """Move behind the first replica, or go on over another path.

        A replica that gives up layers loads others only when no stream passes
        through them any more; one that waits for its end would keep a whole
        pipeline out of work for seconds. One that only leaves may go on.
        """
        try:
            if await self._repath() or not self._is_given_up():
                return
            if self._conn is conn and self._has_other_path():
                conn.close()
        finally:
            self._moving = None

    def _is_given_up(self) -> bool:
        now = self._loop.time()
        view = self._state.view
        return any(
            view.is_lost(stage, now)
            and not view.is_leaving(stage.replica.replica_id)
            for stage in self._stages
        )

    def _has_other_path(self) -> bool:
        """Return whether the stream could go on over other replicas now."""
        wanted = PathRequest(
            self._tokens,
            {*self._avoid, *self._list_lost()},
            self._limit_heads(),
            is_urgent=True,
        )
        stages = self._admission.find(
            self._task.service.name, self._engine, wanted
        )
        return bool(stages)

    async def _serve(self) -> None:
        while not self._ended and self._may_send():
            wanted = PathRequest(
                self._tokens,
                self._avoid,
                self._limit_heads(),
                is_urgent=self._started,
            )
            try:
                self._stages = await self._admission.admit(
                    self._task.service.name,
                    self._engine,
                    wanted,
                    _URGENT if self._started else self._task.priority,
                    self._limit_admission(),
                    self._task.req.arrived_at + self._task.route.target_s,
                )
            except HopelessError as exc:
                self._give_up(exc)
                return
            try:
                await self._attempt()
            finally:
                self._admission.release(self._stages, self._tokens)
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
        return budget.spend(now, self._state.count_nodes())

    def _limit_heads(self) -> frozenset[str]:
        """Return the replicas that a path must begin with; empty for any.

        A route says to how many replicas a request may be sent; those that
        are gone don't count.
        """
        known = self._state.view.known
        now = self._loop.time()
        live = {
            name
            for name in self._heads
            if name in known and known[name].dead_until <= now
        }
        if len(live) < self._task.route.max_attempts:
            return frozenset()
        return frozenset(live)

    def _count_tokens(self) -> float:
        """Return the memory this stream will need, in tokens.

        Clients name the most tokens that an answer may have, some twice what
        answers have in the end; to keep room for all of that left a quarter of
        the memory unused.
        """
        facts = self._task.facts
        usual = self._engine.usual_answer
        answer = min(facts.most_tokens or usual, facts.hinted_tokens or usual)
        return (facts.prompt_tokens or self._engine.usual_prompt) + answer

    def _limit_admission(self) -> float:
        if self._started:
            return min(self._task.deadline, self._last_event_at + _RESUME_S)
        until = self._task.req.arrived_at + _ADMISSION_S
        return min(self._task.deadline, until)

    async def _attempt(self) -> None:
        """Send to the path once and pass on what comes."""
        head_replica = self._stages[0].replica
        try:
            conn = await self._state.pool.take(head_replica)
        except ConnectError as exc:
            self._reason = str(exc)
            self._shun(head_replica.replica_id, str(exc))
            return
        self._sends += 1
        self._heads.add(head_replica.replica_id)
        self._log_send()
        self._conn = conn
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
            self._state.pool.give_back(head_replica, conn)
        finally:
            self._conn = None
            if self._moving is not None:
                self._moving.cancel()

    def _log_end(self) -> None:
        spent_s = self._last_event_at - self._first_event_at
        _LOG.info(
            'stream ended',
            extra={
                'request': self._request_id,
                'events': self._events,
                'first_ms': round(
                    (self._first_event_at - self._task.req.arrived_at)
                    * _MS_PER_S
                ),
                'gap_ms': round(spent_s * _MS_PER_S / max(1, self._events - 1)),
                'most_gap_ms': round(self._most_gap_s * _MS_PER_S),
                'sends': self._sends,
            },
        )

    def _log_send(self) -> None:
        now = self._loop.time()
        _LOG.info(
            'stream sent',
            extra={
                'request': self._request_id,
                'path': format_path(self._stages),
                'send': self._sends,
                'after_event': self._last_id,
                'tokens': int(self._tokens),
                'gap_ms': round(self._predict_gap_ms()),
                'waited_ms': round(
                    (now - self._task.req.arrived_at) * _MS_PER_S
                ),
            },
        )

    def _build_call(self) -> bytes:
        task = self._task
        resume_after = b''
        if self._started:
            resume_after = b'%d' % self._last_id
        attempt = Attempt(
            self._stages[0].replica,
            task.account.name if task.account else '',
            min(task.deadline, task.client_deadline) - self._loop.time(),
            self._stages,
            task.priority,
            resume_after,
        )
        headers = self._state.dialect.build_headers(
            task.req, task.facts, attempt
        )
        return build_call(
            task.req.method, task.req.target, headers, task.req.body
        )

    async def _read_answer(self, conn: HttpConnection) -> None:
        head, facts = await self._patiently(
            conn, _FIRST_SILENCE_S, self._read_head
        )
        if facts.is_not_run:
            await read_body(conn, self._task.deadline)
            self._note_not_run(head, facts.at_fault)
            return
        self._may_have_run = True
        if not is_success(head.status):
            body = await read_body(conn, self._task.deadline)
            self._failure = (head, body)
            self._reason = f'engine answered {head.status}'
            self._avoid.add(self._stages[0].replica.replica_id)
            if not self._task.may_repeat:
                self._ended = True
                self._task.conn.answer(head.status, filter_headers(head), body)
            return
        await self._relay(conn, head)

    async def _read_head(self, conn: HttpConnection, deadline: float):
        return await read_head(
            conn, self._state.dialect, self._task.facts.request_id, deadline
        )

    async def _relay(self, conn: HttpConnection, head: Head) -> None:
        """Pass the events on."""
        caller = self._task.conn
        if not self._started:
            self._started = True
            caller.start_answer(head.status, filter_headers(head), None)
        for replica_id in list_ids(self._stages):
            self._state.view.trust(replica_id)
        splitter = EventSplitter()
        silence_s = self._predict_silence_s()
        while True:
            part = await self._patiently(conn, silence_s, _read_part)
            if isinstance(part, Whole):
                caller.write_body(splitter.rest)
                caller.end_answer()
                self._ended = True
                return
            if isinstance(part, Part):
                self._pass_on(splitter, part.body)
                await caller.drain()

    def _pass_on(self, splitter: EventSplitter, body: bytes) -> None:
        fresh = []
        for event in splitter.feed(body):
            if event.number < 0 or event.number > self._last_id:
                self._last_id = max(self._last_id, event.number)
                fresh.append(event.raw)
        if fresh:
            self._note_event()
            self._task.conn.write_body(b''.join(fresh))

    def _note_event(self) -> None:
        now = self._loop.time()
        self._events += 1
        if self._last_event_at:
            gap_s = now - self._last_event_at
            self._most_gap_s = max(self._most_gap_s, gap_s)
            self._state.metrics.record('token_gap', 'stream', gap_s)
        else:
            waited_s = now - self._task.req.arrived_at
            self._state.metrics.record('first_token', 'stream', waited_s)
            self._first_event_at = now
        self._last_event_at = now

    async def _patiently(self, conn: HttpConnection, silence_s: float, read):
        """Read on; after a silence, ask whether the path still works.

        Without asking, a stream on a dead stage would wait until the engine
        itself gives up, seconds later, while other paths are free.
        """
        while True:
            now = self._loop.time()
            until = min(self._task.deadline, now + silence_s)
            try:
                return await read(conn, until)
            except SilentEndpointError:
                if self._loop.time() >= self._task.deadline:
                    raise
                await self._examine()

    async def _examine(self) -> None:
        """Move the stream if its path can't go on; raise if that fails."""
        head_replica = self._stages[0].replica
        diagnosis = await self._examiner.examine(head_replica)
        if not diagnosis.is_reachable:
            raise SilentEndpointError(
                f'{head_replica.address}: does not answer'
            )
        if not self._task.may_repeat:
            return
        culprit = self._find_culprit(diagnosis)
        if not culprit:
            return
        if culprit == head_replica.replica_id or not await self._repath():
            raise SilentEndpointError(f'the path waits for {culprit}')

    def _find_culprit(self, diagnosis: Diagnosis) -> str:
        """Return the replica that the path waits for; empty if none."""
        address = diagnosis.stalled.get(self._request_id, '')
        for stage in self._stages:
            if stage.replica.address == address:
                return stage.replica.replica_id
        return next(iter(self._list_lost()), '')

    async def _repath(self) -> bool:
        """Move the stream to other replicas behind its first one."""
        head_id = self._stages[0].replica.replica_id
        wanted = PathRequest(
            self._tokens,
            {*self._avoid, *self._list_lost()},
            frozenset((head_id,)),
            first_end=self._stages[0].layers.end,
            held=frozenset(list_ids(self._stages)),
            is_urgent=True,
        )
        stages = self._admission.admit_now(
            self._task.service.name, self._engine, wanted
        )
        if not stages:
            return False
        try:
            moved = await order_repath(
                self._state, self._task.facts.request_id, stages
            )
        except asyncio.CancelledError:
            self._admission.release(stages, self._tokens)
            raise
        given_back = self._stages if moved else stages
        self._admission.release(given_back, self._tokens)
        if moved:
            self._stages = stages
            self._state.counters['streams.moved'] += 1
        return moved

    def _list_lost(self) -> set[str]:
        """Return the replicas of the path that are gone or taken for dead."""
        now = self._loop.time()
        view = self._state.view
        return {
            stage.replica.replica_id
            for stage in self._stages
            if view.is_lost(stage, now)
        }

    def _predict_gap_ms(self) -> float:
        return predict_gap_ms(
            self._engine,
            self._state.view.known,
            self._stages,
            self._state.book,
            self._loop.time(),
        )

    def _predict_silence_s(self) -> float:
        gaps_s = _SILENT_GAPS * self._predict_gap_ms() / _MS_PER_S
        return max(_LEAST_SILENCE_S, gaps_s)

    def _note_not_run(self, head: Head, at_fault: str) -> None:
        """The path refused and ran nothing; avoid who could not do its part."""
        self._reason = f'engine refused with {head.status}'
        self._heads.discard(self._stages[0].replica.replica_id)
        replica_id = self._stages[0].replica.replica_id
        if at_fault:
            found = self._state.view.find_address(at_fault)
            if found is not None:
                replica_id = found.replica.replica_id
        self._shun(replica_id, self._reason)

    def _note_break(self, exc: EndpointError) -> None:
        self._may_have_run = self._may_have_run or exc.may_have_run
        self._reason = str(exc)
        self._avoid.update(self._list_lost())
        self._state.counters['streams.broken'] += 1
        _LOG.info(
            'stream broke',
            extra={
                'request': self._request_id,
                'path': ','.join(list_ids(self._stages)),
                'last_event': self._last_id,
                'reason': self._reason,
            },
        )

    def _shun(self, replica_id: str, reason: str) -> None:
        """Ask a replica not again at once, and not for this stream."""
        self._avoid.add(replica_id)
        self._state.view.refuse(replica_id, self._loop.time())
        self._state.counters['streams.refused'] += 1
        _LOG.info(
            'engine refused',
            extra={
                'request': self._request_id,
                'replica': replica_id,
                'reason': reason,
            },
        )

    def _give_up(self, hopeless: HopelessError | None) -> None:
        """Give the final answer, or cut one that has begun."""
        self._ended = True
        caller = self._task.conn
        if self._started:
            _LOG.warning(
                'stream cut',
                extra={
                    'request': self._request_id,
                    'last_event': self._last_id,
                    'reason': self._reason or str(hopeless),
                },
            )
            self._state.counters['streams.cut'] += 1
            caller.cut()
            return
        if self._failure is not None:
            head, body = self._failure
            caller.answer(head.status, filter_headers(head), body)
            return
        refuse(
            self._state, caller, self._task.facts, self._build_refusal(hopeless)
        )

    def _build_refusal(self, hopeless: HopelessError | None) -> Refusal:
        if not self._may_have_run:
            reason = self._reason or str(hopeless)
            wait_s = hopeless.wait_s if hopeless is not None else 0.3
            return Refusal(UNAVAILABLE, reason, wait_s)
        if self._loop.time() >= self._task.deadline:
            return Refusal(TIMED_OUT, self._reason)
        return Refusal(FAILED, self._reason)


async def _read_part(conn: HttpConnection, deadline: float):
    return await conn.read(deadline)


def format_path(stages: tuple[Stage, ...]) -> str:
    """Return a path as logs show it."""
    return ' '.join(
        f'{stage.replica.replica_id}:{stage.layers.first}-{stage.layers.end}'
        for stage in stages
    )


def _read_last_id(text: bytes) -> int:
    return int(text) if text.isdigit() else -1
