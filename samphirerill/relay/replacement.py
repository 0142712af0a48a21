"""Start the run that replaces the present run of a started stream.

A path with free capacity, a retry and a connection are reserved first. The new
run starts beside the present one at another head replica. Only if every path
starts at the same head, the present run is closed before, as no replica should
run a stream twice at a time, and only if it has fallen silent: one that sends
events works, whatever this node believes of its later stages.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.admission_errors import NoPathError
from samphirerill.relay.leaving_replicas import (
    must_resend_to_head,
    should_seek_path,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.handover import StreamRun
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.stream_limits import StreamLimits
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.relay.stream_sender import StreamProgress, StreamSender

_LOG = get_logger('streams')
# Admission rank of started streams: ahead of all new ones.
STARTED_RANK = -1
# Least time that a replacement run is given to start, including the prefill, which
# takes up to half a second under load.
_MIN_HANDOVER_S = 0.7
# Least silence after which a run is closed for another one at the same head;
# shorter ones are common on a congested link.
_MIN_CLOSING_SILENCE_S = 0.3
_STILL_SENDING = 'the run goes on, and only its first replica is left'


class ReplacementStarter:
    """Starts replacement runs of one stream.

    Parameters
    ----------
    context : RequestContext
        The request.
    path : StreamPath
        The path of the present run.
    limits : StreamLimits
        Reserves retries.
    sender : StreamSender
        Sends the stream.
    progress : StreamProgress
        How often it was sent.
    get_silence_s : callable
        Returns how long the present run has sent no event, in s.
    close_run : callable
        Closes the present run; takes its connection and the reason.
    """

    __slots__ = (
        '_close_run',
        '_context',
        '_get_silence_s',
        '_limits',
        '_loop',
        '_path',
        '_progress',
        '_sender',
    )

    def __init__(
        self,
        context: RequestContext,
        path: StreamPath,
        limits: StreamLimits,
        sender: StreamSender,
        progress: StreamProgress,
        get_silence_s: Callable[[], float],
        close_run: Callable[[HttpConnection, str], None],
    ) -> None:
        self._context = context
        self._path = path
        self._limits = limits
        self._sender = sender
        self._progress = progress
        self._get_silence_s = get_silence_s
        self._close_run = close_run
        self._loop = asyncio.get_running_loop()

    async def start(self, conn: HttpConnection) -> StreamRun | None:
        """Start a replacement of the run on a connection.

        Returns
        -------
        StreamRun or None
            The new run; none if no replica accepts it now.
        """
        await self._path.verify_used_heads()
        if not should_seek_path(self._path):
            return None
        must_resend = must_resend_to_head(self._path)
        if must_resend and not self._is_silent():
            self._log_obstacle(_STILL_SENDING)
            return None
        until = self._limits.get_admission_deadline()
        try:
            stages = await self._acquire_path(until, must_resend=must_resend)
        except NoPathError as exc:
            self._log_obstacle(str(exc))
            return None
        run = None
        try:
            confirm = partial(self._close_silent_run, conn)
            run = await self._send(
                stages, until, confirm if must_resend else None
            )
        finally:
            if run is None:
                self._path.release_reserved(stages)
        return run

    def discard(self, run: StreamRun) -> None:
        """End a run that is no longer needed."""
        run.conn.close()
        self._path.release_reserved(run.stages)

    async def _acquire_path(
        self, until: float, *, must_resend: bool
    ) -> tuple[Stage, ...]:
        """Reserve a path; raise ``NoPathError`` if there is none in time."""
        if must_resend:
            return self._path.acquire_resend()
        return await self._path.acquire_parallel(STARTED_RANK, until)

    async def _send(
        self,
        stages: tuple[Stage, ...],
        until: float,
        confirm: Callable[[], bool] | None,
    ) -> StreamRun | None:
        """Reserve a retry and send; return none if either fails."""
        denial = self._limits.acquire_attempt()
        if denial is not None:
            self._log_obstacle(denial.reason)
            return None
        attempts_before = self._progress.attempts
        deadline = max(until, self._loop.time() + _MIN_HANDOVER_S)
        try:
            return await self._start_run(stages, deadline, confirm)
        finally:
            if self._progress.attempts == attempts_before:
                self._limits.return_attempt()

    async def _start_run(
        self,
        stages: tuple[Stage, ...],
        deadline: float,
        confirm: Callable[[], bool] | None,
    ) -> StreamRun | None:
        """Connect, ask for the confirmation and send.

        If all connections to the head are in use, the present run has to free
        its own first.
        """
        if confirm is not None and not self._sender.can_connect(
            stages[0].replica
        ):
            if not confirm():
                return None
            confirm = None
        return await self._sender.start_parallel_run(stages, deadline, confirm)

    def _close_silent_run(self, conn: HttpConnection) -> bool:
        """Close the present run; return false if it sends events again.

        Events may be unread after a delay of this node.
        """
        if self._is_silent() and not conn.has_unread():
            self._close_run(conn, 'its first replica runs the stream again')
            return True
        self._log_obstacle(_STILL_SENDING)
        return False

    def _is_silent(self) -> bool:
        return self._get_silence_s() >= _MIN_CLOSING_SILENCE_S

    def _log_obstacle(self, reason: str) -> None:
        _LOG.info(
            'stream handover not possible',
            extra={'request': self._context.request_id, 'reason': reason},
        )
