"""Find a run that takes a stream over, while its present run goes on.

A stream leaves its path for what this node believes: that a replica is dead, is
silent, or gives up its part. The belief may be wrong, and whoever should
take over may be full. A run that was ended first left such streams with none:
they were closed midway although their replica went on sending.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.connection import Head, HttpConnection

_LOG = get_logger('streams')


@dataclass(slots=True)
class Run:
    """A run whose engine has begun to answer; its path is counted as taken."""

    stages: tuple[Stage, ...]
    conn: HttpConnection
    head: Head


class Succession:
    """The search for the run after the present one.

    Parameters
    ----------
    begin : callable
        Begins another run; returns none if nobody takes the stream now.
    drop : callable
        Ends a run that is not needed any more.
    """

    def __init__(
        self,
        begin: Callable[[], Awaitable[Run | None]],
        drop: Callable[[Run], None],
    ) -> None:
        self._begin = begin
        self._drop = drop
        self._task: asyncio.Task[Run | None] | None = None

    @property
    def has_run(self) -> bool:
        """Return whether a run has begun that takes over."""
        task = self._task
        if task is None or not task.done() or task.cancelled():
            return False
        return task.exception() is None and task.result() is not None

    def seek(self, conn: HttpConnection) -> None:
        """Begin another run; as soon as it answers, end the present one.

        Parameters
        ----------
        conn : HttpConnection
            Of the present run.
        """
        if self._task is None or (self._task.done() and not self.has_run):
            self._task = asyncio.create_task(self._seek(conn))

    async def settle(self) -> Run | None:
        """Return the run that takes over, if one does; wait for the search."""
        task = self._task
        if task is None:
            return None
        await asyncio.wait((task,))
        self._task = None
        return _read_run(task)

    def cancel(self) -> None:
        """The stream has ended: no run is needed any more."""
        task = self._task
        self._task = None
        if task is None:
            return
        task.cancel()
        task.add_done_callback(self._drop_late)

    async def _seek(self, conn: HttpConnection) -> Run | None:
        run = await self._begin()
        if run is None:
            # The search may be made again; the present run goes on.
            self._task = None
            return None
        conn.close()
        return run

    def _drop_late(self, task: asyncio.Task[Run | None]) -> None:
        run = _read_run(task)
        if run is not None:
            self._drop(run)


def _read_run(task: asyncio.Task[Run | None]) -> Run | None:
    """Return what a search that is over has found."""
    if task.cancelled():
        return None
    exc = task.exception()
    if exc is not None:
        # The stream is not lost with it: it is sent again as after any break.
        _LOG.error('search failed', extra={'error': repr(exc)})
        return None
    return task.result()
