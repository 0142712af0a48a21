"""Pass the events of a stream's runs on to its client, each once and in order."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import BrokenResponseError
from samphirerill.relay.responses import check_body, check_stream_end
from samphirerill.relay.server_sent_events import EventParser

if TYPE_CHECKING:
    from samphirerill.relay.connection import HttpConnection, ResponseHead
    from samphirerill.relay.quarantine import CrashDetector
    from samphirerill.relay.request_context import RequestContext
    from samphirerill.relay.server_sent_events import Event
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.relay.stream_sender import StreamProgress
    from samphirerill.relay.stream_times import RunTimes, StreamTimes

_LOG = get_logger('streams')


class EventForwarder:
    """Forwards the events of one stream.

    Parameters
    ----------
    state : EdgeState
        Shared state of this node.
    context : RequestContext
        The request.
    path : StreamPath
        The path, whose replicas work if events come.
    progress : StreamProgress
        The last event passed on, which is kept up to date.
    times : StreamTimes
        The times of the events, kept up to date.
    crash_detector : CrashDetector
        Informed of runs that go on and of runs that are complete.
    """

    __slots__ = (
        '_conn',
        '_context',
        '_crash_detector',
        '_head',
        '_loop',
        '_parser',
        '_path',
        '_progress',
        '_run',
        '_state',
        '_times',
    )

    def __init__(
        self,
        state: EdgeState,
        context: RequestContext,
        path: StreamPath,
        progress: StreamProgress,
        times: StreamTimes,
        crash_detector: CrashDetector,
    ) -> None:
        self._state = state
        self._context = context
        self._path = path
        self._progress = progress
        self._times = times
        self._crash_detector = crash_detector
        self._loop = asyncio.get_running_loop()
        self._parser = EventParser()
        self._conn: HttpConnection
        self._head: ResponseHead
        self._run: RunTimes

    def start(
        self, conn: HttpConnection, head: ResponseHead, run: RunTimes
    ) -> None:
        """Forward the events of another run from now on.

        Parameters
        ----------
        conn : HttpConnection
            Its connection.
        head : ResponseHead
            The head of its response.
        run : RunTimes
            Its times, which are kept up to date.
        """
        self._conn = conn
        self._head = head
        self._run = run
        self._parser = EventParser()

    def forward(self, body: bytes) -> None:
        """Forward the events that some data completes.

        Raises ``BrokenResponseError`` if an event is too long, or contains the
        head of another response.
        """
        events = self._parser.feed(body)
        if events:
            # Before they count as passed on.
            check_body(self._conn, b''.join(event.raw for event in events))
            self._record_events(len(events))
        new_events = [event.raw for event in events if self._is_new(event)]
        if new_events:
            self._times.record_event(self._loop.time())
            self._context.conn.write_body(b''.join(new_events))
        if self._parser.is_too_long():
            raise BrokenResponseError(
                f'{self._conn.address}: got {len(self._parser.buffer)} bytes '
                'without the end of an event'
            )

    def finish(self) -> None:
        """Complete the response to the client, as that of the run has ended.

        Raises ``BrokenResponseError`` if the stream is not complete.
        """
        conn = self._conn
        self._state.counters[f'streams.ended_by.{conn.framing.value}'] += 1
        _LOG.info(
            'stream response ended',
            extra={
                'request': self._context.request_id,
                'framing': conn.framing.value,
                'relayed_by': conn.relayed_by,
                'last_event': self._progress.last_id,
                'run_events': self._run.events,
                'partial_bytes': len(self._parser.buffer),
            },
        )
        check_stream_end(conn, self._head, self._parser, self._run.events)
        check_body(conn, self._parser.buffer)
        if self._run.events:
            self._crash_detector.record_completion(self._context)
        self._context.conn.write_body(self._parser.buffer)
        self._context.conn.finish_response()

    def _record_events(self, count: int) -> None:
        if not self._run.events:
            self._mark_path_working()
        self._run.record_events(count, self._loop.time())
        self._crash_detector.record_progress(self._context, self._run)

    def _is_new(self, event: Event) -> bool:
        """Return whether an event was not passed on, and note its id."""
        if 0 <= event.event_id <= self._progress.last_id:
            return False
        self._progress.last_id = max(self._progress.last_id, event.event_id)
        return True

    def _mark_path_working(self) -> None:
        """Mark all replicas of the path as working after a first event.

        A response head alone is no proof: an engine may send it and break off.
        """
        for stage in self._path.stages:
            self._state.view.note_alive(stage.replica.replica_id)
