"""Send a stream to an engine, and note what becomes of it.

A stream is sent over a path for the first time, again after its run broke, or
beside a run that goes on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger
from samphirerill.relay.answers import is_success, read_head
from samphirerill.relay.errors import (
    BrokenAnswerError,
    ConnectError,
    EndpointError,
    NoConnectionLeftError,
)
from samphirerill.relay.stream_call import build_stream_call, parse_event_id
from samphirerill.relay.stream_path import format_path
from samphirerill.relay.succession import StreamRun

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica, Stage
    from samphirerill.relay.connection import Head, HttpConnection
    from samphirerill.relay.dialect import AnswerFacts
    from samphirerill.relay.health import Examiner
    from samphirerill.relay.quarantine import Witness
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.relay.task import Task

_LOG = get_logger('streams')
# Also the status of a path that waits for a part in vain.
_BUSY = 503


class StreamProgress:
    """How far a stream has come.

    `last_id` is the last event that the client has, `begun_at` when its answer
    began, `sends` how often it was sent, `fruitless_attempts` how many of the latest
    brought nothing, `has_broken_run` whether a replica broke a run of it off,
    `reason` why the last send failed.
    """

    __slots__ = (
        '_noted_id',
        'begun_at',
        'fruitless_attempts',
        'has_broken_run',
        'last_id',
        'may_have_run',
        'reason',
        'attempts',
    )

    def __init__(self, task: Task) -> None:
        self.last_id = parse_event_id(task.facts.resume_after)
        self.begun_at = 0.0
        self.attempts = 0
        self.fruitless_attempts = 0
        self._noted_id = self.last_id
        self.may_have_run = False
        self.has_broken_run = False
        self.reason = ''

    @property
    def has_begun(self) -> bool:
        """Return whether the client has the head of its answer."""
        return self.begun_at > 0

    def has_advanced(self) -> bool:
        """Return whether events have come since `record_attempt_end`."""
        return self.last_id > self._noted_id

    def record_attempt_end(self) -> int:
        """A send is over; return how many have brought nothing in a row."""
        self.fruitless_attempts = (
            0 if self.has_advanced() else self.fruitless_attempts + 1
        )
        self._noted_id = self.last_id
        return self.fruitless_attempts


class StreamSender:
    """Sends one stream.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    task : Task
        The request.
    path : StreamPath
        Replicas that were tried, and those to be left out.
    progress : StreamProgress
        Read and kept up to date.
    examiner : Examiner
        Asks replicas that others name as at fault.
    quarantine : Witness
        Knows whether the stream may run; told of runs that break off.
    """

    __slots__ = (
        '_examiner',
        '_loop',
        '_path',
        '_progress',
        '_state',
        '_task',
        '_quarantine',
    )

    def __init__(
        self,
        state: EdgeState,
        task: Task,
        path: StreamPath,
        progress: StreamProgress,
        examiner: Examiner,
        quarantine: Witness,
    ) -> None:
        self._examiner = examiner
        self._quarantine = quarantine
        self._state = state
        self._task = task
        self._path = path
        self._progress = progress
        self._loop = asyncio.get_running_loop()

    async def connect(self, replica: Replica) -> HttpConnection | None:
        """Return a connection; none if the replica can't be used now."""
        try:
            conn = await self._state.pool.take(
                replica,
                fresh=not self._task.is_retryable,
                most=self._state.count_connections(self._task.service),
            )
        except NoConnectionLeftError as exc:
            self._put_off(replica.replica_id, str(exc))
            if self._progress.has_begun:
                self._state.view.refuse(replica.replica_id, self._loop.time())
        except ConnectError as exc:
            self._shun(replica.replica_id, str(exc))
        else:
            if not self._quarantine.find_held_until(self._task):
                return conn
            # It was found to end replicas while the connection was made.
            self._state.pool.give_back(replica, conn)
        return None

    def send(
        self, conn: HttpConnection, stages: tuple[Stage, ...], event: str
    ) -> bool:
        """Send over a path; return whether its first replica is a new one.

        Parameters
        ----------
        conn : HttpConnection
            To the first replica.
        stages : tuple of Stage
            The path.
        event : str
            How the log names it.
        """
        progress = self._progress
        progress.attempts += 1
        head_id = stages[0].replica.replica_id
        is_new_head = head_id not in self._path.used_heads
        self._path.used_heads.add(head_id)
        waited_s = self._loop.time() - self._task.req.arrived_at
        self._log(
            event,
            path=format_path(stages),
            send=progress.attempts,
            nodes=1 + self._state.book.count_peers(),
            after_event=progress.last_id,
            tokens=int(self._path.tokens),
            gap_ms=round(self._path.predict_gap_s(stages) * MS_PER_S),
            waited_ms=round(waited_s * MS_PER_S),
        )
        self._quarantine.note_send(self._task, stages[0].replica)
        conn.send(self._build_call(stages))
        return is_new_head

    async def begin(
        self, stages: tuple[Stage, ...], deadline: float
    ) -> StreamRun | None:
        """Send beside the present run; return the new one once it has begun.

        Parameters
        ----------
        stages : tuple of Stage
            The path.
        deadline : float
            Until when its first event must come.
        """
        conn = await self.connect(stages[0].replica)
        if conn is None:
            return None
        head = None
        try:
            head = await self._open(conn, stages, deadline)
        except EndpointError as exc:
            self._note_failed(stages[0].replica.replica_id, str(exc))
            if isinstance(exc, BrokenAnswerError):
                self._quarantine.note_break(self._task, stages[0].replica)
        finally:
            if head is None:
                conn.close()
        return None if head is None else StreamRun(stages, conn, head)

    async def read_head(
        self, conn: HttpConnection, deadline: float
    ) -> tuple[Head, AnswerFacts]:
        """Return the head of the answer to this stream."""
        return await read_head(
            conn, self._state.dialect, self._task.facts.request_id, deadline
        )

    def note_not_run(
        self, head_id: str, head: Head, at_fault: str, *, is_new_head: bool
    ) -> None:
        """A path refused and ran nothing; avoid who could not do its part."""
        if is_new_head:
            # One that has run the stream before counts as tried all the same.
            self._path.used_heads.discard(head_id)
        found = self._state.view.find_address(at_fault) if at_fault else None
        replica_id = head_id if found is None else found.replica.replica_id
        if found is not None and replica_id != head_id and head.status == _BUSY:
            self._examiner.check(found.replica)
        self._shun(replica_id, f'engine refused with {head.status}')

    async def _open(
        self,
        conn: HttpConnection,
        stages: tuple[Stage, ...],
        deadline: float,
    ) -> Head | None:
        """Return the head of a run that has begun; none if it was refused.

        It has begun with its first event: an engine that breaks off between
        its head and that would leave the stream without any run.
        """
        head_id = stages[0].replica.replica_id
        is_new_head = self.send(conn, stages, 'stream sent beside')
        head, facts = await self.read_head(conn, deadline)
        if facts.is_not_run:
            self.note_not_run(
                head_id, head, facts.at_fault, is_new_head=is_new_head
            )
            return None
        if not is_success(head.status):
            self._note_failed(head_id, f'engine answered {head.status}')
            return None
        await conn.wait_for_part(deadline)
        return head

    def _build_call(self, stages: tuple[Stage, ...]) -> bytes:
        """Return the call; it resumes after what the client has of ours.

        A stream may break between its head and its first event; there is
        nothing to go on from then, and the client's own word holds.
        """
        resume = b''
        if self._progress.has_begun and self._progress.last_id >= 0:
            resume = b'%d' % self._progress.last_id
        return build_stream_call(self._state, self._task, stages, resume)

    def _note_failed(self, replica_id: str, reason: str) -> None:
        """A run beside the present one failed; others may do better there."""
        self._path.avoid.add(replica_id)
        self._log('stream failed beside', replica=replica_id, reason=reason)

    def _shun(self, replica_id: str, reason: str) -> None:
        """Ask a replica not again at once."""
        self._put_off(replica_id, reason)
        self._state.view.refuse(replica_id, self._loop.time())
        self._state.counters['streams.refused'] += 1
        self._log('engine refused', replica=replica_id, reason=reason)

    def _put_off(self, replica_id: str, reason: str) -> None:
        """Look for another replica.

        A stream that has begun may come back to this one: who was full for a
        moment is better than an answer that is cut.
        """
        self._progress.reason = reason
        if not self._progress.has_begun:
            self._path.avoid.add(replica_id)

    def _log(self, event: str, **facts: object) -> None:
        _LOG.info(event, extra={'request': self._task.request_id, **facts})
