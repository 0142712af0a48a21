"""Hand a stream over to another run while its present run goes on.

A stream leaves its path when this node considers a replica dead, silent or
about to drop its layers. That view may be wrong, and the replacement may have
no capacity. The present run is therefore ended only when the other one has
started; ended first, it could leave the stream without any run.
"""

from __future__ import annotations

import asyncio
import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger
from samphirerill.relay.errors import EndpointError, EndpointTimeoutError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from samphirerill.fleet.model import Stage
    from samphirerill.relay.connection import HttpConnection, ResponseHead

_LOG = get_logger('streams')


class RunEnd(enum.Enum):
    """Who ended the last run of a stream; the value is for logs."""

    NO_RUN = 'no run'
    REPLICA = 'replica'
    NODE = 'node'
    DEADLINE = 'deadline'


@dataclass(slots=True)
class StreamRun:
    """A run that has started; the capacity of its path is reserved."""

    stages: tuple[Stage, ...]
    conn: HttpConnection
    head: ResponseHead


class Handover:
    """The search for a replacement of the present run.

    Parameters
    ----------
    start_run : callable
        Starts a replacement of the run on a connection; returns none if no
        replica accepts it now.
    discard : callable
        Ends a run that is no longer needed.
    close_run : callable
        Closes the present run; takes its connection and the reason.
    """

    def __init__(
        self,
        start_run: Callable[[HttpConnection], Awaitable[StreamRun | None]],
        discard: Callable[[StreamRun], None],
        close_run: Callable[[HttpConnection, str], None],
    ) -> None:
        self._start_run = start_run
        self._close_run = close_run
        self._discard = discard
        self._task: asyncio.Task[StreamRun | None] | None = None

    @property
    def has_replacement(self) -> bool:
        """Return whether a replacement run has started."""
        task = self._task
        if task is None or not task.done() or task.cancelled():
            return False
        return task.exception() is None and task.result() is not None

    def start(self, conn: HttpConnection) -> None:
        """Start a replacement; end the present run once it responds.

        Parameters
        ----------
        conn : HttpConnection
            The connection of the present run.
        """
        if self._task is None or (
            self._task.done() and not self.has_replacement
        ):
            self._task = asyncio.create_task(self._search(conn))

    async def wait(self) -> StreamRun | None:
        """Wait for a search in progress; return the replacement, if any."""
        task = self._task
        if task is None:
            return None
        await asyncio.wait((task,))
        self._task = None
        return _get_result(task)

    def cancel(self) -> None:
        """Cancel the search, as the stream has ended."""
        task = self._task
        self._task = None
        if task is None:
            return
        task.cancel()
        task.add_done_callback(self._discard_result)

    async def _search(self, conn: HttpConnection) -> StreamRun | None:
        run = await self._start_run(conn)
        if run is None:
            # The present run goes on, and another search may be started.
            self._task = None
            return None
        self._close_run(conn, 'another run has taken over')
        return run

    def _discard_result(self, task: asyncio.Task[StreamRun | None]) -> None:
        run = _get_result(task)
        if run is not None:
            self._discard(run)


def find_run_end(
    exc: EndpointError, *, is_closed_here: bool, is_overdue: bool
) -> RunEnd:
    """Return who ended a run that failed.

    Parameters
    ----------
    exc : EndpointError
        Why the run failed.
    is_closed_here : bool
        Whether this node has closed it.
    is_overdue : bool
        Whether the request's deadline has passed.
    """
    if is_closed_here:
        return RunEnd.NODE
    if not isinstance(exc, EndpointTimeoutError):
        return RunEnd.REPLICA
    return RunEnd.DEADLINE if is_overdue else RunEnd.NODE


def _get_result(task: asyncio.Task[StreamRun | None]) -> StreamRun | None:
    """Return the result of a finished search."""
    if task.cancelled():
        return None
    exc = task.exception()
    if exc is not None:
        # The stream is not lost: it is sent again as after any broken run.
        _LOG.error('stream handover failed', extra={'error': repr(exc)})
        return None
    return task.result()
