"""Watch the path of one stream and leave it when it fails.

Failed replicas are left at once. After a silence, a gap between events that is
longer than expected, the replicas of the path are probed. A stream keeps its
head replica and gets new later stages if possible; otherwise it is handed over
to another run.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.errors import EndpointTimeoutError
from samphirerill.relay.lost_path_watch import LostPathWatch
from samphirerill.relay.stream_path import MoveResult

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeVar

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.health.prober import ReplicaProber
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.stream_limits import StreamLimits
    from samphirerill.relay.stream_path import StreamPath

    Read = TypeVar('Read')

# Factor on the silence limit after each inconclusive probe.
_SILENCE_BACKOFF = 1.6
# Interval of checks while events of other streams confirm that all stages work,
# as a stage may have failed just after such an event.
_RECHECK_S = 0.015
# Interval of looks for another path while the head of a run that has not started
# is lost. Bounds the path searches.
_LOST_HEAD_RECHECK_S = 0.1
# A path is left after a silence of this length even without a known reason;
# clients give up after two seconds.
_MAX_SILENCE_S = 1.2


class StreamGuard:
    """Watches the path of one stream while it is being served.

    Parameters
    ----------
    context : RequestContext
        The request.
    path : StreamPath
        The path of the stream.
    prober : ReplicaProber
        Probes the replicas of silent paths.
    limits : StreamLimits
        Decides whether another attempt is allowed, and reserves it.
    start_handover : callable
        Starts a handover to another run if the stream has started, and returns
        whether it has; takes the connection and the reason. A stream that has
        not started loses nothing if it is sent again instead.
    close_run : callable
        Closes the run of a stream that has not started, which is then sent
        again; takes the connection and the reason.
    """

    def __init__(
        self,
        context: RequestContext,
        path: StreamPath,
        prober: ReplicaProber,
        limits: StreamLimits,
        start_handover: Callable[[HttpConnection, str], bool],
        close_run: Callable[[HttpConnection, str], None],
    ) -> None:
        self._context = context
        self._path = path
        self._prober = prober
        self._limits = limits
        self._start_handover = start_handover
        self._close_run = close_run
        self._loop = asyncio.get_running_loop()
        self._conn: HttpConnection | None = None
        self._path_watch = LostPathWatch(path.direct_paths, self._leave_run)
        self._reroute_task: asyncio.Task[None] | None = None
        self._departure_timer: asyncio.TimerHandle | None = None
        self._recheck_timer: asyncio.TimerHandle | None = None

    def start(self, conn: HttpConnection) -> None:
        """Start watching a stream that was sent on a connection."""
        self._conn = conn
        self._path_watch.start(conn)

    def stop(self) -> None:
        """Stop watching and cancel a pending reroute."""
        self._conn = None
        self._path_watch.stop()
        if self._reroute_task is not None:
            self._reroute_task.cancel()
            # A task that is cancelled before its first step does not run its
            # `finally`; without this, no further reroute would ever start.
            self._reroute_task = None
        if self._departure_timer is not None:
            self._departure_timer.cancel()
            self._departure_timer = None
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
            self._recheck_timer = None

    def check_path(self) -> None:
        """React to changed replica states without waiting for a silence.

        Failed replicas are left at once, leaving ones at a scheduled time.
        """
        conn = self._conn
        if conn is None or not self._context.is_retryable:
            return
        failed = self._path.list_failed()
        if self._path.head_id in failed:
            self._leave_failed_head(conn)
        elif failed:
            self._start_reroute(conn)
        else:
            self._schedule_departure(conn)

    async def read(
        self,
        conn: HttpConnection,
        silence_s: float,
        read: Callable[[HttpConnection, float], Awaitable[Read]],
    ) -> Read:
        """Read the next part; after each silence, check the path.

        Without the check, a stream on a dead stage would wait for seconds until
        the engine itself gives up, although other paths are free.
        """
        since = self._loop.time()
        while True:
            until = min(self._context.deadline, self._loop.time() + silence_s)
            try:
                return await self._path_watch.track(read(conn, until))
            except EndpointTimeoutError:
                if self._loop.time() >= self._context.deadline:
                    raise
                silence_s = await self._diagnose_silence(since, silence_s)

    def _schedule_departure(self, conn: HttpConnection) -> None:
        """Schedule the departure from replicas that are leaving or drop layers."""
        if self._departure_timer is not None:
            return
        at = self._path.choose_departure_time()
        if at:
            self._departure_timer = self._loop.call_at(at, self._depart, conn)

    def _depart(self, conn: HttpConnection) -> None:
        self._departure_timer = None
        if self._conn is not conn:
            return
        if self._path.list_failed():
            self.check_path()
        else:
            self._start_reroute(conn)

    def _leave_failed_head(self, conn: HttpConnection) -> None:
        """Leave a head replica that is gone or drops its layers."""
        reason = (
            f'{self._path.head_id} has failed or stopped serving its layers'
        )
        if self._start_handover(conn, reason):
            return
        if self._path.is_head_gone() or self._may_leave(conn):
            self._close_run(conn, reason)
            return
        if self._recheck_timer is not None:
            self._recheck_timer.cancel()
        self._recheck_timer = self._loop.call_later(
            _LOST_HEAD_RECHECK_S, self.check_path
        )

    def _can_resend(self) -> bool:
        """Return whether a retry and another path are available now."""
        return self._limits.may_retry() and self._path.has_alternative(
            has_started=self._limits.has_started
        )

    def _may_leave(self, conn: HttpConnection) -> bool:
        """Reserve a retry for a run that may still work; return whether it is.

        A response that has arrived is newer than the news against its path.
        """
        if conn.has_unread() or not self._can_resend():
            return False
        return self._limits.reserve_attempt()

    def _start_reroute(self, conn: HttpConnection) -> None:
        if self._reroute_task is None:
            self._reroute_task = self._loop.create_task(
                self._reroute_or_resend(conn)
            )

    async def _reroute_or_resend(self, conn: HttpConnection) -> None:
        """Replace the later stages, or continue over another path.

        A replica that drops layers loads others only once no stream uses them.
        Until its deadline, a stream without an alternative stays.
        """
        try:
            result = await self._path.replace_later_stages()
        finally:
            if self._reroute_task is asyncio.current_task():
                self._reroute_task = None
        if result is MoveResult.MOVED or self._conn is not conn:
            return
        must_leave = result is MoveResult.RESEND or bool(
            self._path.list_failed()
        )
        if not must_leave or not self._can_resend():
            self._schedule_departure(conn)
        else:
            self._leave_run(conn, 'later stages were not replaced')

    def _leave_run(self, conn: HttpConnection, reason: str) -> None:
        """Leave a run that may still work."""
        if not self._context.is_retryable:
            return
        if not self._start_handover(conn, reason) and self._may_leave(conn):
            self._close_run(conn, reason)

    async def _diagnose_silence(self, since: float, silence_s: float) -> float:
        """Find out why the path is silent; return the next silence limit."""
        unconfirmed = self._path.list_unconfirmed()
        if not unconfirmed and self._loop.time() - since < _MAX_SILENCE_S:
            return _RECHECK_S
        await self._probe_path(since, unconfirmed)
        return self._limits.limit_silence_s(silence_s * _SILENCE_BACKOFF)

    async def _probe_path(
        self, since: float, unconfirmed: tuple[Stage, ...]
    ) -> None:
        """Probe the path and leave it if it cannot continue.

        Raises ``EndpointTimeoutError`` if the stream has to be sent again.

        Parameters
        ----------
        since : float
            When the silence began.
        unconfirmed : tuple of Stage
            The stages without recent proof that they work.
        """
        head_id = self._path.head_id
        diagnosis = await self._prober.diagnose_path(unconfirmed)
        if not self._context.is_retryable:
            return
        if head_id in diagnosis.dead:
            self._leave_path(
                f'{head_id} is unresponsive',
                is_hopeless=self._path.is_head_gone()
                or self._limits.is_admission_over(),
            )
            return
        stalled_id = self._path.find_stalled_replica(
            diagnosis, self._context.request_id
        )
        if not stalled_id:
            self._leave_stalled_path(since)
            return
        if stalled_id != head_id and await self._replace_later_stages():
            return
        if self._can_resend():
            self._leave_path(f'path is stalled by {stalled_id}')

    async def _replace_later_stages(self) -> bool:
        """Replace the later stages, or wait for a reroute in progress."""
        if self._reroute_task is None:
            return await self._path.replace_later_stages() is MoveResult.MOVED
        await asyncio.wait((self._reroute_task,))
        return not self._path.list_failed()

    def _leave_stalled_path(self, since: float) -> None:
        """Leave a path that is silent for long although all replicas work."""
        waited_s = self._loop.time() - since
        if waited_s >= _MAX_SILENCE_S and self._can_resend():
            self._leave_path(f'no event for {waited_s:.1f} s')

    def _leave_path(self, reason: str, *, is_hopeless: bool = False) -> None:
        """Start a handover; raise if the stream has not started.

        A run that has not started stays if no retry can be reserved, unless it
        is hopeless.
        """
        conn = self._conn
        if conn is None or self._start_handover(conn, reason):
            return
        is_lost = is_hopeless and not conn.has_unread()
        if is_lost or self._may_leave(conn):
            raise EndpointTimeoutError(reason)
