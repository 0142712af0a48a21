"""Serve a stream over a path of engines, resuming it when one fails.

Complete events are passed on as they arrive. If the path breaks or falls
silent, the response continues over another path after the last event that the
client has received: each event once, in order. A run is one execution of the
stream by the engines of a path.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.admission_errors import (
    BackOffError,
    NoPathError,
    OutageError,
    RejectedError,
)
from samphirerill.relay.connection import (
    BodyChunk,
    EndOfResponse,
    HttpConnection,
    ResponseHead,
)
from samphirerill.relay.errors import BrokenResponseError, EndpointError
from samphirerill.relay.event_forwarder import EventForwarder
from samphirerill.relay.handover import Handover, RunEnd, find_run_end
from samphirerill.relay.refusals import (
    FAILED,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
    send_refusal,
)
from samphirerill.relay.replacement import STARTED_RANK, ReplacementStarter
from samphirerill.relay.responses import (
    filter_headers,
    is_success,
    read_body,
)
from samphirerill.relay.stream_guard import StreamGuard
from samphirerill.relay.stream_limits import StreamLimits
from samphirerill.relay.stream_path import StreamPath, format_path
from samphirerill.relay.stream_sender import StreamProgress, StreamSender
from samphirerill.relay.stream_times import RunTimes, StreamTimes

if TYPE_CHECKING:
    from collections.abc import Awaitable, Coroutine

    from samphirerill.fleet.model import EngineSpec, Stage
    from samphirerill.relay.admission import AdmissionQueue
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('streams')
# Silence limit for the response head. A longer prefill, as under load, only
# causes the path to be probed.
_HEAD_SILENCE_S = 0.22
# Retry-After when nothing better is known.
_DEFAULT_RETRY_S = 0.3
# Least Retry-After when no path is free: the usual reason is a lost stage,
# which takes two to four seconds to be detected and loaded elsewhere.
_MIN_REPAIR_RETRY_S = 2.5


class StreamExchange:
    """Serves one stream.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    engine : EngineSpec
        Performance figures of the service's engine.
    admission : AdmissionQueue
        Grants paths with free capacity.
    prober : ReplicaProber
        Probes unresponsive replicas.
    crash_detector : CrashDetector
        Informed of runs that break off and of runs that go on.
    """

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        engine: EngineSpec,
        admission: AdmissionQueue,
        prober: ReplicaProber,
        crash_detector: CrashDetector,
    ) -> None:
        self._state = state
        self._context = context
        self._crash_detector = crash_detector
        self._loop = asyncio.get_running_loop()
        self._admission = admission
        self._path = StreamPath(state, context, engine, admission, prober)
        self._times = StreamTimes(
            state.metrics,
            context.req.arrived_at,
            state.settings.policy,
            context.route.gap_s,
        )
        self._progress = StreamProgress(context)
        self._sender = StreamSender(
            state, context, self._path, self._progress, prober, crash_detector
        )
        self._limits = StreamLimits(
            state, context, self._progress, self._times, crash_detector
        )
        self._events = EventForwarder(
            state,
            context,
            self._path,
            self._progress,
            self._times,
            crash_detector,
        )
        self._ended = False
        self._error_response: tuple[ResponseHead, bytes] | None = None
        self._run = RunTimes(0.0)
        self._conn: HttpConnection | None = None
        self._wait_scope: asyncio.Timeout | None = None
        self._closing_reason = ''
        self._run_end = RunEnd.NO_RUN
        starter = ReplacementStarter(
            context,
            self._path,
            self._limits,
            self._sender,
            self._progress,
            self._get_silence_s,
            self._close_run,
        )
        self._handover = Handover(
            starter.start, starter.discard, self._close_run
        )
        self._guard = StreamGuard(
            context,
            self._path,
            prober,
            self._limits,
            self._start_handover,
            self._close_unstarted_run,
        )

    @property
    def stages(self) -> tuple[Stage, ...]:
        """Return the stages of the present path."""
        return self._path.stages

    @property
    def last_event_at(self) -> float:
        """Return when the last event came; 0 before the first one."""
        return self._times.last_at

    async def run(self) -> None:
        """Serve the request."""
        self._register()
        try:
            await self._serve()
        finally:
            self._handover.cancel()
            self._unregister()

    def handle_view_change(self) -> None:
        """React to changed replica states without waiting for a silence."""
        self._guard.check_path()

    def check_quarantine(self) -> None:
        """Stop the stream if its request was quarantined.

        A run that has outlasted the start phase does not crash its replica, and
        is left alone.
        """
        if self._ended or not self._limits.is_quarantined():
            return
        if self._wait_scope is not None:
            self._wait_scope.reschedule(self._loop.time())
        if self._run.has_outlasted_start:
            return
        self._handover.cancel()
        if self._conn is not None:
            self._close_run(
                self._conn,
                'its request is quarantined',
                has_retry=False,
                has_path=False,
            )

    async def _serve(self) -> None:
        while not self._ended:
            denial = await self._limits.wait_for_attempt()
            if denial is not None:
                self._fail(denial.reason, denial.wait_s)
                return
            attempts_before = self._progress.attempts
            has_path = await self._wait_for_path() and self._may_use_path()
            if has_path:
                await self._run_attempt()
            if self._progress.attempts == attempts_before:
                self._limits.return_attempt()
            if has_path:
                await self._follow_handovers()
                await self._back_off()

    async def _back_off(self) -> None:
        """Pause after several attempts without an event."""
        backoff_s = self._limits.compute_backoff_s()
        if self._ended:
            return
        if backoff_s:
            await self._wait_unless_quarantined(asyncio.sleep(backoff_s))
        if self._crash_detector.is_suspect(self._context):
            await self._wait_unless_quarantined(
                self._crash_detector.delay_retry(self._context)
            )

    async def _wait_for_path(self) -> bool:
        """Wait for a path; fail the stream and return false if none comes."""
        try:
            return await self._wait_unless_quarantined(self._acquire_path())
        except RejectedError as exc:
            self._fail(str(exc), exc.wait_s, is_spread=True)
        except (OutageError, BackOffError) as exc:
            self._fail(str(exc), exc.wait_s)
        except NoPathError as exc:
            self._fail(str(exc), max(_MIN_REPAIR_RETRY_S, exc.wait_s))
        return False

    def _may_use_path(self) -> bool:
        """Reject a stream that would be cut off by the end of this node."""
        if not self._state.is_draining:
            return True
        denial = self._limits.find_shutdown_denial(
            self._path.engine, self._path.predict_gap_s(self._path.stages)
        )
        if denial is None:
            return True
        self._path.release()
        self._fail(denial.reason, denial.wait_s)
        return False

    async def _acquire_path(self) -> None:
        has_started = self._progress.has_started
        until = self._limits.get_admission_deadline()
        heads = await self._path.find_isolated_head(self._crash_detector, until)
        await self._path.acquire(
            STARTED_RANK if has_started else self._context.priority,
            until,
            is_urgent=has_started,
            heads=heads,
        )

    async def _wait_unless_quarantined(self, work: Awaitable[None]) -> bool:
        """Wait for some work; return false if it was cut short.

        A stream whose request is quarantined meanwhile is answered at once.
        """
        scope = asyncio.timeout(None)
        self._wait_scope = scope
        try:
            async with scope:
                await work
        except TimeoutError:
            return False
        finally:
            self._wait_scope = None
        return True

    async def _run_attempt(self) -> None:
        """Send the stream over the path once and pass on the response."""
        try:
            await self._send_once()
        finally:
            self._path.release()

    async def _send_once(self) -> None:
        stages = self._path.stages
        conn = await self._sender.connect(stages)
        if conn is None:
            return
        is_new_head = self._sender.send(conn, stages, 'stream sent')
        await self._read_run(
            conn, self._read_response(conn, is_new_head=is_new_head)
        )

    async def _follow_handovers(self) -> None:
        """Continue over replacement runs, one after another."""
        while not self._ended:
            run = await self._handover.wait()
            if run is None:
                return
            self._path.stages = run.stages
            try:
                await self._read_run(run.conn, self._relay(run.conn, run.head))
            finally:
                self._path.release()

    async def _read_run(
        self, conn: HttpConnection, reading: Coroutine[None, None, None]
    ) -> None:
        """Read a run to its end while its path is being watched."""
        replica = self._path.stages[0].replica
        self._run = RunTimes(self._loop.time())
        self._conn = conn
        self._closing_reason = ''
        self._guard.start(conn)
        try:
            await reading
        except EndpointError as exc:
            conn.close()
            self._handle_break(conn, exc)
        except asyncio.CancelledError:
            conn.close()
            raise
        else:
            self._state.pool.release(replica, conn)
        finally:
            self._conn = None
            self._guard.stop()

    def _start_handover(self, conn: HttpConnection, reason: str) -> bool:
        """Start a handover; return whether the stream has started."""
        if self._progress.has_started and self._context.is_retryable:
            self._log('stream handover started', reason=reason)
            self._handover.start(conn)
        return self._progress.has_started

    def _close_run(
        self,
        conn: HttpConnection,
        reason: str,
        *,
        has_retry: bool = True,
        has_path: bool = True,
    ) -> None:
        """Close the present run.

        Parameters
        ----------
        conn : HttpConnection
            Its connection; nothing is closed if the run has ended.
        reason : str
            Why it is closed, for the log.
        has_retry, has_path : bool
            Whether a retry and a path are reserved for the next run.
        """
        if self._conn is not conn:
            return
        self._closing_reason = reason
        self._state.counters['streams.runs_closed'] += 1
        self._log(
            'stream run closed',
            reason=reason,
            path=format_path(self._path.stages),
            last_event=self._progress.last_id,
            has_retry=has_retry,
            has_path=has_path,
            retries_left=self._limits.count_retries_left(),
            **self._run.describe(self._loop.time()),
        )
        conn.close()
        if not self._progress.has_started:
            # Its response must not begin any more: it would be cut off.
            conn.discard_unread()

    def _close_unstarted_run(self, conn: HttpConnection, reason: str) -> None:
        """Close a run before its first event; the stream is sent again."""
        self._close_run(
            conn, reason, has_retry=self._limits.has_reserved, has_path=False
        )

    def _get_silence_s(self) -> float:
        """Return how long the present run has sent no event."""
        return self._run.get_silence_s(self._loop.time())

    async def _read_response(
        self, conn: HttpConnection, *, is_new_head: bool
    ) -> None:
        head, metadata = await self._guard.read(
            conn, _HEAD_SILENCE_S, self._sender.read_head
        )
        deadline = self._context.deadline
        memory = self._state.pool.response_memory
        if metadata.is_not_run:
            await read_body(conn, deadline, memory)
            self._sender.handle_rejection(
                self._path.head_id,
                head,
                metadata.failed_address,
                is_new_head=is_new_head,
            )
            return
        self._progress.may_have_run = True
        if is_success(head.status):
            await self._relay(conn, head)
            return
        error_body = await read_body(conn, deadline, memory)
        self._error_response = (head, error_body)
        self._progress.reason = f'engine responded with status {head.status}'
        self._run_end = RunEnd.REPLICA
        self._path.avoid.add(self._path.head_id)
        if not self._context.is_retryable:
            self._fail('it may have run and is not retryable', 0)

    async def _relay(self, conn: HttpConnection, head: ResponseHead) -> None:
        """Pass the events on to the client."""
        client = self._context.conn
        if not self._progress.has_started:
            self._progress.response_started_at = self._loop.time()
            client.start_response(head.status, filter_headers(head), None)
        self._events.start(conn, head, self._run)
        predicted_s = self._path.predict_gap_s(self._path.stages)
        while not self._ended:
            silence_s = self._times.get_silence_limit_s(predicted_s)
            part = await self._guard.read(conn, silence_s, _read_part)
            if isinstance(part, EndOfResponse):
                self._events.finish()
                self._ended = True
            elif isinstance(part, BodyChunk):
                self._events.forward(part.body)
                await client.drain()

    def _handle_break(self, conn: HttpConnection, exc: EndpointError) -> None:
        self._run_end = find_run_end(
            exc,
            is_closed_here=bool(self._closing_reason),
            is_overdue=self._loop.time() >= self._context.deadline,
        )
        if isinstance(exc, BrokenResponseError) and not self._closing_reason:
            head = self._path.stages[0].replica
            self._crash_detector.record_failure(self._context, head, self._run)
        if self._handover.has_replacement:
            self._state.counters['streams.taken_over'] += 1
            return
        if self._closing_reason:
            self._handle_closed_run()
            return
        if exc.may_have_run:
            self._progress.may_have_run = True
            self._progress.has_broken_run = True
        self._progress.reason = str(exc)
        self._path.avoid.update(self._path.list_failed(), (self._path.head_id,))
        if not self._progress.has_advanced():
            # The replica may be restarting repeatedly: no stream of this node
            # should be sent there at once.
            self._state.view.note_refusal(self._path.head_id, self._loop.time())
            self._path.finder.failed_sends[self._path.head_id] += 1
        self._path.used_heads.note_broken(self._path.head_id)
        self._state.counters['streams.broken'] += 1
        self._log(
            'stream run failed',
            path=format_path(self._path.stages),
            framing=conn.framing.value,
            relayed_by=conn.relayed_by,
            last_event=self._progress.last_id,
            reason=self._progress.reason,
            **self._run.describe(self._loop.time()),
        )

    def _handle_closed_run(self) -> None:
        """Record that this node has closed a run.

        That is no evidence against its replica, which the next run may use.
        """
        self._progress.may_have_run = True
        self._progress.has_broken_run = True
        self._progress.reason = self._closing_reason

    def _fail(
        self, denial: str, wait_s: float, *, is_spread: bool = False
    ) -> None:
        """Send an error, or abort a response that has started."""
        self._ended = True
        client = self._context.conn
        if self._progress.has_started:
            self._state.counters['streams.cut'] += 1
            if self._run_end is RunEnd.NODE:
                self._state.counters['streams.cut.run_closed_here'] += 1
            self._log(
                'stream aborted',
                last_event=self._progress.last_id,
                reason=self._progress.reason,
                obstacle=denial,
                run_ended_by=self._run_end.value,
                retries_left=self._limits.count_retries_left(),
            )
            client.abort()
        elif self._error_response is None:
            refusal = self._build_refusal(denial, wait_s)
            refusal.is_spread = is_spread
            send_refusal(self._state, client, self._context.facts, refusal)
        else:
            head, body = self._error_response
            client.respond(head.status, filter_headers(head), body)

    def _build_refusal(self, denial: str, wait_s: float) -> Refusal:
        reasons = filter(None, (self._progress.reason, denial))
        reason = '; '.join(reasons)
        if not self._progress.may_have_run:
            return Refusal(UNAVAILABLE, reason, wait_s or _DEFAULT_RETRY_S)
        if self._loop.time() >= self._context.deadline:
            return Refusal(TIMED_OUT, reason)
        return Refusal(FAILED, reason)

    def _register(self) -> None:
        self._state.streams.add(self)
        self._state.get_retry_budget(
            self._context.service.name
        ).active_streams += 1

    def _unregister(self) -> None:
        self._path.close()
        self._limits.return_reserved()
        self._state.streams.discard(self)
        self._state.get_retry_budget(
            self._context.service.name
        ).active_streams -= 1
        fields = self._times.describe(self._loop.time())
        self._log('stream ended', sends=self._progress.attempts, **fields)

    def _log(self, event: str, **fields: object) -> None:
        _LOG.info(event, extra={'request': self._context.request_id, **fields})


async def _read_part(
    conn: HttpConnection, deadline: float
) -> ResponseHead | BodyChunk | EndOfResponse:
    return await conn.read(deadline)
