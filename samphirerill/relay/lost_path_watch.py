"""Leave a run whose connection lies behind a broken path."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from typing import TypeVar

    from samphirerill.relay.connection import HttpConnection
    from samphirerill.relay.path_tracker import PathTracker

    Read = TypeVar('Read')

# Connections that are open may live on while new ones fail, so a run is left only
# if it is silent too.
_MIN_SILENCE_S = 0.2
_RECHECK_S = 0.05


class LostPathWatch:
    """Watches the connection of the present run of one stream.

    Parameters
    ----------
    paths : PathTracker
        Knows which paths are broken.
    leave : callable
        Leaves the run; takes its connection and the reason.
    """

    __slots__ = (
        '_conn',
        '_last_part_at',
        '_leave',
        '_loop',
        '_paths',
        '_timer',
    )

    def __init__(
        self,
        paths: PathTracker,
        leave: Callable[[HttpConnection, str], None],
    ) -> None:
        self._paths = paths
        self._leave = leave
        self._loop = asyncio.get_running_loop()
        self._conn: HttpConnection | None = None
        self._last_part_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def start(self, conn: HttpConnection) -> None:
        """Watch the connection of a run."""
        self._conn = conn
        self._last_part_at = self._loop.time()
        self._paths.watch(conn, self._check)

    async def track(self, reading: Awaitable[Read]) -> Read:
        """Return the result of a read, and record that the run works."""
        part = await reading
        self._last_part_at = self._loop.time()
        return part

    def stop(self) -> None:
        """Stop watching."""
        if self._conn is not None:
            self._paths.unwatch(self._conn)
            self._conn = None
        self._stop_timer()

    def _check(self) -> None:
        """Leave the run if it is silent, or check again soon."""
        self._stop_timer()
        conn = self._conn
        if conn is None or not self._paths.is_lost(conn):
            return
        if self._loop.time() - self._last_part_at >= _MIN_SILENCE_S:
            self._leave(conn, 'the path to its first replica is broken')
        self._timer = self._loop.call_later(_RECHECK_S, self._check)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
