"""Serve a request to a plain service, one without streamed responses.

The response is buffered before any of it is passed on, so that a retryable
request can be sent again if the connection breaks in the middle of it.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.replica_notices import explain_withheld
from samphirerill.node.logs import get_logger
from samphirerill.relay.connection import ResponseHead, serialize_request
from samphirerill.relay.endpoint_finder import EndpointFinder
from samphirerill.relay.errors import (
    BrokenResponseError,
    ConnectError,
    ConnectionLimitError,
    EndpointError,
    EndpointTimeoutError,
    QuarantinedError,
    SendWithheldError,
    UnconfirmedConnectError,
)
from samphirerill.relay.plain_limits import PlainLimits
from samphirerill.relay.platform_adapter import Attempt
from samphirerill.relay.refusals import (
    FAILED,
    TIMED_OUT,
    UNAVAILABLE,
    Refusal,
    send_refusal,
)
from samphirerill.relay.responses import (
    filter_headers,
    is_success,
    read_body,
    read_head,
)

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.fleet.view import ReplicaState
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.plain_queue import PlainQueue
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('plain')
_SERVER_ERROR = 500
# Share of the remaining time after which an attempt may give way to another.
_ATTEMPT_SHARE = 0.45
# How long an endpoint that refuses connections or does not respond gets no
# requests.
_AVOIDANCE_S = 1.5
# An attempt with a shorter timeout says more about the route's timeout than
# about the endpoint.
_MIN_SILENCE_S = 0.5
_DEFAULT_RETRY_S = 0.3
# Weight of the newest response in an endpoint's latency and failure rate.
_SMOOTHING = 0.15


@dataclass(slots=True)
class _Outcome:
    """The result of one attempt; `head` is set if there is a response.

    `may_return` is whether the endpoint may be tried again, as it has only
    asked for a back-off. `conn` is the connection that the request was sent on.
    """

    head: ResponseHead | None = None
    body: bytes = b''
    is_not_run: bool = False
    was_sent: bool = True
    may_return: bool = False
    timed_out: bool = False
    conn: HttpConnection | None = None
    reason: str = ''


class PlainExchange:
    """Serves one request to a plain service.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    crash_detector : CrashDetector
        Knows whether the request is quarantined; informed of attempts that
        break off.
    queue : PlainQueue, optional
        The queue for services whose endpoints report their load.
    """

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        crash_detector: CrashDetector,
        queue: PlainQueue | None = None,
    ) -> None:
        self._state = state
        self._context = context
        self._crash_detector = crash_detector
        self._loop = asyncio.get_running_loop()
        self._finder = EndpointFinder(state, context, queue)
        self._limits = PlainLimits(state, context, crash_detector, self._finder)
        self._sent_at = 0.0
        self._may_have_run = False

    async def run(self) -> None:
        """Serve the request."""
        outcome = _Outcome(is_not_run=True, reason='no endpoint is available')
        while self._limits.acquire_attempt():
            endpoint = await self._finder.wait_for_endpoint()
            if endpoint is None:
                self._limits.return_attempt()
                break
            self._limits.connects += 1
            outcome = await self._send(endpoint)
            if self._is_final(outcome):
                break
            await self._crash_detector.delay_retry(self._context)
        self._limits.return_reserved()
        self._respond(outcome)

    def _is_final(self, outcome: _Outcome) -> bool:
        if outcome.head is not None and outcome.head.status < _SERVER_ERROR:
            return True
        if not outcome.was_sent or outcome.is_not_run:
            return False
        return not self._context.is_retryable

    async def _send(self, endpoint: ReplicaState) -> _Outcome:
        replica = endpoint.replica
        reserved_ids = (replica.replica_id,)
        self._state.load_tracker.add_request(reserved_ids, 0)
        self._state.request_limits.take((replica,))
        started_at = self._loop.time()
        try:
            outcome = await self._exchange(endpoint)
        finally:
            self._state.load_tracker.remove_request(reserved_ids, 0)
            self._finder.release_slot()
        duration_s = self._loop.time() - started_at
        self._record_outcome(endpoint, outcome, duration_s)
        if not outcome.may_return:
            self._finder.tried.add(replica.replica_id)
        if not outcome.was_sent:
            self._limits.return_attempt()
        _LOG.info(
            'request sent',
            extra={
                'request': self._context.request_id,
                'endpoint': endpoint.replica.replica_id,
                'send': self._limits.attempts,
                **_describe_connection(outcome.conn),
                'status': 0 if outcome.head is None else outcome.head.status,
                'not_run': outcome.is_not_run,
                'reason': outcome.reason,
                'took_ms': round(duration_s * MS_PER_S),
            },
        )
        return outcome

    async def _exchange(self, endpoint: ReplicaState) -> _Outcome:
        replica = endpoint.replica
        try:
            conn = await self._connect(replica)
        except (
            SendWithheldError,
            ConnectionLimitError,
            QuarantinedError,
        ) as exc:
            return _Outcome(
                is_not_run=True,
                was_sent=False,
                may_return=isinstance(exc, SendWithheldError),
                reason=str(exc),
            )
        except ConnectError as exc:
            self._avoid_unreached(endpoint, exc)
            return _Outcome(is_not_run=True, was_sent=False, reason=str(exc))
        self._limits.attempts += 1
        self._finder.note_sent()
        self._sent_at = self._loop.time()
        try:
            outcome = await self._call(endpoint, conn)
        except EndpointError as exc:
            conn.close()
            outcome = self._handle_error(endpoint, conn, exc)
        except asyncio.CancelledError:
            conn.close()
            raise
        else:
            self._state.pool.release(replica, conn)
        outcome.conn = conn
        return outcome

    async def _connect(self, replica: Replica) -> HttpConnection:
        conn = await self._state.pool.acquire(
            replica,
            request_id=self._context.facts.request_id,
            proven=not self._context.is_retryable,
            max_open=self._state.get_connection_limit(self._context.service),
        )
        if self._crash_detector.find_held_until(self._context):
            self._state.pool.release(replica, conn)
            raise QuarantinedError(
                self._crash_detector.describe_hold(self._context)
            )
        obstacle = explain_withheld(
            self._state.view, replica, self._loop.time()
        )
        if obstacle:
            self._state.pool.release(replica, conn)
            self._state.counters['sends.withheld'] += 1
            raise SendWithheldError(obstacle)
        return conn

    async def _call(
        self, endpoint: ReplicaState, conn: HttpConnection
    ) -> _Outcome:
        conn.send(self._build_call(endpoint), self._context.facts.request_id)
        try:
            async with asyncio.timeout(None) as timeout:
                return await self._read_with_check(endpoint, conn, timeout)
        except TimeoutError as exc:
            raise EndpointTimeoutError(
                f'{conn.address}: gave way to another attempt'
            ) from exc

    async def _read_with_check(
        self,
        endpoint: ReplicaState,
        conn: HttpConnection,
        timeout: asyncio.Timeout,
    ) -> _Outcome:
        now = self._loop.time()
        # Leaves time for another attempt if the endpoint does not respond.
        check_at = now + (self._context.deadline - now) * _ATTEMPT_SHARE
        check = self._loop.call_at(
            check_at, self._check_silence, endpoint, conn, timeout
        )
        paths = self._state.pool.dialer.paths
        paths.watch(conn, partial(self._check_silence, endpoint, conn, timeout))
        try:
            return await self._read_outcome(endpoint, conn)
        finally:
            paths.unwatch(conn)
            check.cancel()

    async def _read_outcome(
        self, endpoint: ReplicaState, conn: HttpConnection
    ) -> _Outcome:
        deadline = self._context.deadline
        head, facts = await read_head(
            conn, self._state.adapter, self._context.facts.request_id, deadline
        )
        self._state.response_notices.handle(
            endpoint.replica, head.status, facts, conn.sent_at
        )
        memory = self._state.pool.response_memory
        body = await read_body(conn, deadline, memory)
        if facts.is_not_run and not is_success(head.status):
            notices = self._state.view.notices
            backoff_end = notices.get_backoff_end(endpoint.replica)
            return _Outcome(
                is_not_run=True,
                may_return=backoff_end > self._loop.time(),
                reason='endpoint rejected the request',
            )
        self._may_have_run = True
        self._crash_detector.record_completion(self._context)
        return _Outcome(head, body)

    def _handle_error(
        self, endpoint: ReplicaState, conn: HttpConnection, exc: EndpointError
    ) -> _Outcome:
        self._may_have_run = True
        self._limits.has_broken_run = True
        if isinstance(exc, BrokenResponseError):
            self._crash_detector.record_failure(self._context, endpoint.replica)
        is_silent = isinstance(exc, EndpointTimeoutError)
        if is_silent:
            self._avoid_silent(endpoint, conn, str(exc))
        return _Outcome(timed_out=is_silent, reason=str(exc))

    def _build_call(self, endpoint: ReplicaState) -> bytes:
        context = self._context
        remaining_s = context.client_deadline - self._loop.time()
        attempt = Attempt(
            endpoint.replica,
            context.account_name,
            remaining_s,
            context.strips_api_key,
        )
        headers = self._state.adapter.build_headers(
            context.req, context.facts, attempt
        )
        return serialize_request(
            context.req.method, context.req.target, headers, context.req.body
        )

    def _check_silence(
        self,
        endpoint: ReplicaState,
        conn: HttpConnection,
        timeout: asyncio.Timeout,
    ) -> None:
        """End a silent attempt if another is reserved; else it goes on."""
        # After the loop was blocked, data is read just before timers fire.
        if conn.has_unread() or not self._limits.may_resend():
            return
        if self._limits.reserve_successor(endpoint.replica.replica_id):
            timeout.reschedule(self._loop.time())
            return
        self._avoid_silent(endpoint, conn, 'no response yet')
        self._state.counters['attempts.kept'] += 1
        _LOG.info(
            'silent attempt goes on: no other can follow',
            extra={
                'request': self._context.request_id,
                'endpoint': endpoint.replica.replica_id,
                'send': self._limits.attempts,
            },
        )

    def _avoid_silent(
        self, endpoint: ReplicaState, conn: HttpConnection, reason: str
    ) -> None:
        if self._loop.time() - self._sent_at >= _MIN_SILENCE_S:
            self._state.pool.dialer.verifier.suspect_unless_lost(
                conn, partial(self._avoid, endpoint, reason)
            )

    def _avoid_unreached(
        self, endpoint: ReplicaState, exc: ConnectError
    ) -> None:
        if not isinstance(exc, UnconfirmedConnectError):
            self._avoid(endpoint, str(exc))

    def _avoid(self, endpoint: ReplicaState, reason: str) -> None:
        now = self._loop.time()
        replica_id = endpoint.replica.replica_id
        if self._state.view.add_silence_report(
            replica_id, now + _AVOIDANCE_S, now
        ):
            _LOG.info(
                'endpoint suspected',
                extra={'replica': replica_id, 'reason': reason},
            )

    def _record_outcome(
        self, endpoint: ReplicaState, outcome: _Outcome, duration_s: float
    ) -> None:
        failed = outcome.head is None or outcome.head.status >= _SERVER_ERROR
        if outcome.was_sent and not outcome.may_return:
            endpoint.failures += _SMOOTHING * (
                float(failed) - endpoint.failures
            )
        if not failed:
            endpoint.latency_s += _SMOOTHING * (duration_s - endpoint.latency_s)
            self._state.view.note_alive(endpoint.replica.replica_id)
            now = self._loop.time()
            self._state.response_notices.loads.note_service_time(
                endpoint.replica, now - self._sent_at, now
            )

    def _respond(self, outcome: _Outcome) -> None:
        conn = self._context.conn
        head = outcome.head
        if head is not None:
            conn.respond(head.status, filter_headers(head), outcome.body)
            return
        send_refusal(
            self._state, conn, self._context.facts, self._build_refusal(outcome)
        )

    def _build_refusal(self, outcome: _Outcome) -> Refusal:
        now = self._loop.time()
        if self._may_have_run:
            is_timeout = outcome.timed_out or now >= self._context.deadline
            return Refusal(TIMED_OUT if is_timeout else FAILED, outcome.reason)
        if self._limits.quarantined_until:
            return Refusal(
                UNAVAILABLE,
                self._crash_detector.describe_hold(self._context),
                self._limits.quarantined_until - now,
            )
        rejection = self._finder.rejection
        if rejection is not None:
            return Refusal(
                UNAVAILABLE, str(rejection), rejection.retry_s, is_spread=True
            )
        backoff_end = self._finder.find_backoff_end()
        if backoff_end:
            return Refusal(
                UNAVAILABLE,
                f'{outcome.reason}; {self._finder.describe_backoffs()}',
                backoff_end - now,
            )
        return Refusal(UNAVAILABLE, outcome.reason, _DEFAULT_RETRY_S)


def _describe_connection(conn: HttpConnection | None) -> dict[str, object]:
    """Return what the log says of the connection of an attempt."""
    if conn is None:
        return {}
    return {
        'connection': conn.number,
        'connection_sends': conn.requests_sent,
        'relayed_by': conn.relayed_by,
        'framing': conn.framing.value,
    }
