"""Send a stream to an engine and track the result.

A stream is sent over a path for the first time, again after a run broke off, or
in parallel to a run that goes on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.replica_notices import explain_withheld
from samphirerill.node.logs import get_logger
from samphirerill.relay.connection import EndOfResponse
from samphirerill.relay.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionLimitError,
    EndpointError,
)
from samphirerill.relay.handover import StreamRun
from samphirerill.relay.responses import (
    check_stream_end,
    is_success,
    read_head,
)
from samphirerill.relay.server_sent_events import EventParser
from samphirerill.relay.stream_path import format_path
from samphirerill.relay.stream_request import build_stream_call, parse_event_id

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.connection import HttpConnection, ResponseHead
    from samphirerill.relay.health import ReplicaProber
    from samphirerill.relay.platform_adapter import ResponseMetadata
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_path import StreamPath

_LOG = get_logger('streams')
# Status of a rejection; also given if a later stage does not respond.
_UNAVAILABLE = 503
_LIMIT_REACHED = 'it may not run on a further replica'


class StreamProgress:
    """The progress of one stream.

    `last_id` is the last event passed on to the client, `response_started_at`
    when the client got the response head, `attempts` how often the stream was
    sent, `fruitless_attempts` how many of the latest attempts returned no
    event, `may_have_run` whether an engine may have executed the stream,
    `has_broken_run` whether a run ended early, `reason` why the last attempt
    failed.
    """

    __slots__ = (
        '_recorded_id',
        'response_started_at',
        'fruitless_attempts',
        'has_broken_run',
        'last_id',
        'may_have_run',
        'reason',
        'attempts',
    )

    def __init__(self, context: RequestContext) -> None:
        self.last_id = parse_event_id(context.facts.resume_after)
        self.response_started_at = 0.0
        self.attempts = 0
        self.fruitless_attempts = 0
        self._recorded_id = self.last_id
        self.may_have_run = False
        self.has_broken_run = False
        self.reason = ''

    @property
    def has_started(self) -> bool:
        """Return whether the client has received the response head."""
        return self.response_started_at > 0

    def has_advanced(self) -> bool:
        """Return whether events have come since the last attempt ended."""
        return self.last_id > self._recorded_id

    def record_attempt_end(self) -> int:
        """Record the end of an attempt; return `fruitless_attempts`."""
        self.fruitless_attempts = (
            0 if self.has_advanced() else self.fruitless_attempts + 1
        )
        self._recorded_id = self.last_id
        return self.fruitless_attempts


class StreamSender:
    """Sends one stream.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    path : StreamPath
        The path, with the replicas that were used and those to avoid.
    progress : StreamProgress
        The progress, which is kept up to date.
    prober : ReplicaProber
        Probes replicas that others report as the cause of a failure.
    crash_detector : CrashDetector
        Knows whether the request is quarantined; informed of runs that break
        off.
    """

    __slots__ = (
        '_prober',
        '_loop',
        '_path',
        '_progress',
        '_state',
        '_context',
        '_crash_detector',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        path: StreamPath,
        progress: StreamProgress,
        prober: ReplicaProber,
        crash_detector: CrashDetector,
    ) -> None:
        self._prober = prober
        self._crash_detector = crash_detector
        self._state = state
        self._context = context
        self._path = path
        self._progress = progress
        self._loop = asyncio.get_running_loop()

    def can_connect(self, replica: Replica) -> bool:
        """Return whether this node may open or reuse a connection now."""
        limit = self._state.get_connection_limit(self._context.service)
        return self._state.pool.has_available(replica.replica_id, limit)

    async def connect(self, stages: tuple[Stage, ...]) -> HttpConnection | None:
        """Return a connection for a path, or none if it is unavailable now."""
        replica = stages[0].replica
        try:
            conn = await self._state.pool.acquire(
                replica,
                request_id=self._context.facts.request_id,
                proven=not self._context.is_retryable,
                max_open=self._state.get_connection_limit(
                    self._context.service
                ),
            )
        except ConnectionLimitError as exc:
            self._exclude_for_now(replica.replica_id, str(exc))
            if self._progress.has_started:
                self._state.view.note_refusal(
                    replica.replica_id, self._loop.time()
                )
        except ConnectError as exc:
            self._record_refusal(replica.replica_id, str(exc))
        else:
            if self._may_still_send(stages):
                return conn
            self._state.pool.release(replica, conn)
        return None

    def send(
        self, conn: HttpConnection, stages: tuple[Stage, ...], event: str
    ) -> bool:
        """Send the stream over a path; return whether its head is new.

        Parameters
        ----------
        conn : HttpConnection
            The connection to the head replica.
        stages : tuple of Stage
            The path.
        event : str
            The name of the log event.
        """
        progress = self._progress
        progress.attempts += 1
        is_new_head = self._path.used_heads.note_sent(stages[0].replica)
        waited_s = self._loop.time() - self._context.req.arrived_at
        self._log(
            event,
            path=format_path(stages),
            send=progress.attempts,
            heads=len(self._path.used_heads),
            nodes=1 + self._state.load_tracker.count_peers(),
            after_event=progress.last_id,
            connection=conn.number,
            connection_sends=conn.requests_sent + 1,
            relayed_by=conn.relayed_by,
            tokens=int(self._path.tokens),
            gap_ms=round(self._path.predict_gap_s(stages) * MS_PER_S),
            waited_ms=round(waited_s * MS_PER_S),
        )
        self._crash_detector.record_send(self._context, stages[0].replica)
        conn.send(self._build_call(stages), self._context.facts.request_id)
        return is_new_head

    async def start_parallel_run(
        self,
        stages: tuple[Stage, ...],
        deadline: float,
        confirm: Callable[[], bool] | None = None,
    ) -> StreamRun | None:
        """Send in parallel to the present run; return the run once started.

        Parameters
        ----------
        stages : tuple of Stage
            The path.
        deadline : float
            The latest time for the first event.
        confirm : callable, optional
            Called when connected; returns whether to send.
        """
        conn = await self.connect(stages)
        if conn is None:
            return None
        if confirm is not None and not confirm():
            self._state.pool.release(stages[0].replica, conn)
            return None
        head = None
        try:
            head = await self._start_run(conn, stages, deadline)
        except EndpointError as exc:
            self._record_parallel_failure(
                stages[0].replica.replica_id, str(exc)
            )
            if isinstance(exc, BrokenResponseError):
                self._crash_detector.record_failure(
                    self._context, stages[0].replica
                )
        finally:
            if head is None:
                conn.close()
        return None if head is None else StreamRun(stages, conn, head)

    async def read_head(
        self, conn: HttpConnection, deadline: float
    ) -> tuple[ResponseHead, ResponseMetadata]:
        """Return the head of the response over the present path."""
        return await self._read_head_of(
            self._path.stages[0].replica, conn, deadline
        )

    def handle_rejection(
        self,
        head_id: str,
        head: ResponseHead,
        failed_address: str,
        *,
        is_new_head: bool,
    ) -> None:
        """Exclude the replica at fault after a path rejected the stream."""
        if is_new_head:
            # A replica that ran the stream before still counts as used.
            self._path.used_heads.discard(head_id)
        faulty = (
            self._state.view.find_by_address(failed_address)
            if failed_address
            else None
        )
        replica_id = head_id if faulty is None else faulty.replica.replica_id
        reason = f'engine rejected the stream with status {head.status}'
        if self._is_backing_off(replica_id):
            # It is alive and named the time itself.
            self._log_refusal(replica_id, reason)
            return
        if (
            faulty is not None
            and replica_id != head_id
            and head.status == _UNAVAILABLE
        ):
            self._prober.probe_in_background(faulty.replica)
        self._record_refusal(replica_id, reason)

    async def _start_run(
        self,
        conn: HttpConnection,
        stages: tuple[Stage, ...],
        deadline: float,
    ) -> ResponseHead | None:
        """Return the response head of a started run; none if it was rejected.

        A run counts as started with its first event: if the engine broke off
        between the head and that, the stream would be left without any run.
        """
        head_id = stages[0].replica.replica_id
        is_new_head = self.send(conn, stages, 'stream sent in parallel')
        head, metadata = await self._read_head_of(
            stages[0].replica, conn, deadline
        )
        if metadata.is_not_run:
            self.handle_rejection(
                head_id, head, metadata.failed_address, is_new_head=is_new_head
            )
            return None
        if not is_success(head.status):
            self._record_parallel_failure(
                head_id, f'engine responded with status {head.status}'
            )
            return None
        part = await conn.wait_for_part(deadline)
        if isinstance(part, EndOfResponse):
            check_stream_end(conn, head, EventParser(), 0)
        return head

    async def _read_head_of(
        self, replica: Replica, conn: HttpConnection, deadline: float
    ) -> tuple[ResponseHead, ResponseMetadata]:
        head, metadata = await read_head(
            conn, self._state.adapter, self._context.facts.request_id, deadline
        )
        self._state.response_notices.handle(
            replica, head.status, metadata, conn.sent_at
        )
        return head, metadata

    def _may_still_send(self, stages: tuple[Stage, ...]) -> bool:
        """Return whether the stream may be sent after the wait to connect.

        Meanwhile its request may have been quarantined, a used replica may have
        turned out to live, or a replica of the path may have said that it wants
        no new work.
        """
        if self._crash_detector.find_held_until(self._context):
            return False
        if not self._path.used_heads.may_send(stages[0].replica):
            self._withhold(_LIMIT_REACHED)
            return False
        now = self._loop.time()
        for stage in stages:
            obstacle = explain_withheld(self._state.view, stage.replica, now)
            if obstacle:
                self._withhold(obstacle)
                return False
        return True

    def _withhold(self, reason: str) -> None:
        self._progress.reason = reason
        self._state.counters['sends.withheld'] += 1
        self._log('stream not sent', reason=reason)

    def _is_backing_off(self, replica_id: str) -> bool:
        known = self._state.view.replicas.get(replica_id)
        return (
            known is not None
            and known.requested_backoff_until > self._loop.time()
        )

    def _build_call(self, stages: tuple[Stage, ...]) -> bytes:
        """Return the HTTP request, resuming after the last event passed on.

        If no event was passed on yet, the client's own ``Last-Event-ID``
        applies.
        """
        resume = b''
        if self._progress.has_started and self._progress.last_id >= 0:
            resume = b'%d' % self._progress.last_id
        return build_stream_call(self._state, self._context, stages, resume)

    def _record_parallel_failure(self, replica_id: str, reason: str) -> None:
        """Record that a parallel run failed and exclude the replica."""
        self._path.avoid.add(replica_id)
        self._log(
            'stream run in parallel failed', replica=replica_id, reason=reason
        )

    def _record_refusal(self, replica_id: str, reason: str) -> None:
        """Record that a replica refused, so that it is not tried again at once."""
        self._exclude_for_now(replica_id, reason)
        self._state.view.note_refusal(replica_id, self._loop.time())
        self._log_refusal(replica_id, reason)

    def _log_refusal(self, replica_id: str, reason: str) -> None:
        self._progress.reason = reason
        self._state.counters['streams.refused'] += 1
        self._log(
            'engine rejected the stream', replica=replica_id, reason=reason
        )

    def _exclude_for_now(self, replica_id: str, reason: str) -> None:
        """Prefer other replicas for the next attempt.

        A started stream may come back to this one: it may only have been full
        for a moment, and the alternative is to abort the response.
        """
        self._progress.reason = reason
        if not self._progress.has_started:
            self._path.avoid.add(replica_id)

    def _log(self, event: str, **fields: object) -> None:
        _LOG.info(event, extra={'request': self._context.request_id, **fields})
