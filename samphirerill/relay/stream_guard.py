"""Keep one stream on a path that works.

While a stream is sent, its path may lose a replica, or fall silent. What is lost
is left at once; after a silence, all replicas on the path are asked. A stream
moves behind its first replica if it can, else another run takes over.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.errors import SilentEndpointError
from samphirerill.relay.stream_path import MoveResult

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeVar

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.health.examiner import Examiner
    from samphirerill.relay.stream_path import StreamPath
    from samphirerill.relay.task import Task

    Read = TypeVar('Read')

# Asked in vain, the next question waits longer, up to this.
_MORE_PATIENCE = 1.6
# A silent path whose replicas all work, as other streams show, is looked at
# again so soon: the proof may have been a moment too old.
_LOOK_AGAIN_S = 0.015
# A path that is silent for so long without a reason is left; clients give up
# after two seconds.
_MOST_SILENCE_S = 1.2


class StreamGuard:
    """Watches over one stream while it is sent.

    Parameters
    ----------
    task : Task
        The request.
    path : StreamPath
        Where the stream passes through.
    examiner : Examiner
        Asks the replicas of silent paths.
    may_resend : callable
        Returns whether the stream could be sent again.
    seek : callable
        Lets another run take over if the stream has begun, and returns whether
        it has; takes the connection and the reason. A stream that has not begun
        loses nothing if it is sent again.
    """

    def __init__(
        self,
        task: Task,
        path: StreamPath,
        examiner: Examiner,
        may_resend: Callable[[], bool],
        seek: Callable[[HttpConnection, str], bool],
    ) -> None:
        self._task = task
        self._path = path
        self._examiner = examiner
        self._may_resend = may_resend
        self._seek = seek
        self._loop = asyncio.get_running_loop()
        self._conn: HttpConnection | None = None
        self._moving: asyncio.Task[None] | None = None
        self._leaving: asyncio.TimerHandle | None = None

    def begin(self, conn: HttpConnection) -> None:
        """The stream is sent on a connection."""
        self._conn = conn

    def end(self) -> None:
        """The stream is not sent any more."""
        self._conn = None
        if self._moving is not None:
            self._moving.cancel()
            # A move that is cancelled before its first step does not forget
            # itself, and the stream would never move again.
            self._moving = None
        if self._leaving is not None:
            self._leaving.cancel()
            self._leaving = None

    def check_path(self) -> None:
        """Leave replicas that are lost, without waiting for a silence.

        Those that leave are left while they still serve, but not in a hurry.
        """
        conn = self._conn
        if conn is None or not self._task.may_repeat:
            return
        lost = self._path.list_lost()
        if self._path.head_id in lost:
            self._leave_head(conn)
        elif lost:
            self._start_move(conn)
        else:
            self._plan_leaving(conn)

    async def read(
        self,
        conn: HttpConnection,
        silence_s: float,
        read: Callable[[HttpConnection, float], Awaitable[Read]],
    ) -> Read:
        """Read on; after a silence, ask whether the path still works.

        Without asking, a stream on a dead stage would wait until the engine
        itself gives up, seconds later, while other paths are free.
        """
        since = self._loop.time()
        while True:
            until = min(self._task.deadline, self._loop.time() + silence_s)
            try:
                return await read(conn, until)
            except SilentEndpointError:
                if self._loop.time() >= self._task.deadline:
                    raise
                silence_s = await self._find_cause(since, silence_s)

    def _plan_leaving(self, conn: HttpConnection) -> None:
        """Move off replicas that leave, at a moment of the stream's own."""
        if self._leaving is not None:
            return
        at = self._path.choose_departure_time()
        if at:
            self._leaving = self._loop.call_at(at, self._leave, conn)

    def _leave(self, conn: HttpConnection) -> None:
        self._leaving = None
        if self._conn is not conn:
            return
        if self._path.list_lost():
            self.check_path()
        else:
            self._start_move(conn)

    def _leave_head(self, conn: HttpConnection) -> None:
        """Go on elsewhere if the first replica is gone or gives up its part."""
        if self._seek(conn, f'{self._path.head_id} is lost'):
            return
        if self._path.is_head_dead() or self._can_go_elsewhere():
            conn.close()

    def _can_go_elsewhere(self) -> bool:
        return self._may_resend() and self._path.has_alternative()

    def _start_move(self, conn: HttpConnection) -> None:
        if self._moving is None:
            self._moving = self._loop.create_task(self._move(conn))

    async def _move(self, conn: HttpConnection) -> None:
        """Move behind the first replica, or go on over another path.

        A replica that gives up layers loads others only when no stream passes
        through them any more. As long as it waits, a stream that finds no
        other way stays, as on one that leaves.
        """
        try:
            way = await self._path.move()
        finally:
            if self._moving is asyncio.current_task():
                self._moving = None
        if way is MoveResult.MOVED or self._conn is not conn:
            return
        must_leave = way is MoveResult.RESEND or bool(self._path.list_lost())
        if not must_leave or not self._can_go_elsewhere():
            self._plan_leaving(conn)
        elif not self._seek(conn, 'it could not be moved'):
            conn.close()

    async def _find_cause(self, since: float, silence_s: float) -> float:
        """Ask who is silent; return how long to wait before asking again."""
        unproven = self._path.list_unproven()
        if not unproven and self._loop.time() - since < _MOST_SILENCE_S:
            return _LOOK_AGAIN_S
        await self._examine(since, unproven)
        return silence_s * _MORE_PATIENCE

    async def _examine(self, since: float, unproven: tuple[Stage, ...]) -> None:
        """Move the stream if its path can't go on; raise if that fails.

        Parameters
        ----------
        since : float
            When the silence began.
        unproven : tuple of Stage
            The parts of the path that may be dead.
        """
        head_id = self._path.head_id
        diagnosis = await self._examiner.examine(unproven)
        if head_id in diagnosis.dead:
            self._leave_silent(f'{head_id}: does not answer')
            return
        if not self._task.may_repeat:
            return
        culprit = self._path.find_stalled_replica(
            diagnosis, self._task.request_id
        )
        if not culprit:
            self._leave_unexplained(since)
            return
        if culprit != head_id and await self._move_behind_head():
            return
        if self._can_go_elsewhere():
            self._leave_silent(f'the path waits for {culprit}')

    async def _move_behind_head(self) -> bool:
        """Move the stream, or wait for the move that is under way."""
        if self._moving is None:
            return await self._path.move() is MoveResult.MOVED
        await asyncio.wait((self._moving,))
        return not self._path.list_lost()

    def _leave_unexplained(self, since: float) -> None:
        """Leave a path that is silent for long, though all its parts live."""
        waited_s = self._loop.time() - since
        if waited_s >= _MOST_SILENCE_S and self._can_go_elsewhere():
            self._leave_silent(f'silent for {waited_s:.1f} s')

    def _leave_silent(self, reason: str) -> None:
        """Let another run take over; raise if the stream has not begun."""
        conn = self._conn
        if conn is None or not self._seek(conn, reason):
            raise SilentEndpointError(reason)
