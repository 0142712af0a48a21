"""One node of the edge: start, serve, drain, exit."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING, Any

from samphirerill.node.logs import get_logger
from samphirerill.relay.admission import Admission
from samphirerill.relay.commander import Commander
from samphirerill.relay.follower import build_follower
from samphirerill.relay.front import Front
from samphirerill.relay.health import Alarms, Examiner, Survey
from samphirerill.relay.leadership import Leadership
from samphirerill.relay.listeners import listen
from samphirerill.relay.members import Members
from samphirerill.relay.news import NewsSource
from samphirerill.relay.node_pages import NodePages
from samphirerill.relay.quarantine import (
    Keeper,
    Sharing,
    StoredHolds,
    Witness,
)
from samphirerill.relay.reload import Reloader, SettingsFile
from samphirerill.relay.state import EdgeState
from samphirerill.relay.store_health import StoreHealth

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.dialect import Dialect
    from samphirerill.relay.server import CallerConnection

_LOG = get_logger('edge')
_SWEEP_S = 0.25
# The balancer asks once a second and needs two misses; until then it sends
# new connections, which are served.
_NOTICE_S = 3.2
_DRAIN_STEP_S = 0.05
_RESTART_S = 0.5
# Left of the time to SIGKILL for the process to end by itself.
_EXIT_MARGIN_S = 0.6
_LEAVE_S = 0.15
# A stream takes some seconds; one that comes later than so much before the
# end is sent to another node, which can finish it.
_STREAM_S = 4.5
# The same for a plain request, as its endpoints take at the most.
_REQUEST_S = 1.2


class EdgeProcess:
    """Everything one node of the edge consists of.

    Parameters
    ----------
    settings : EdgeSettings
        The node's settings, whole.
    dialect : Dialect
        The words spoken with callers and endpoints.
    store : PlatformStore
        The platform's key-value service.
    source : SettingsFile, optional
        Where changed settings come from.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        dialect: Dialect,
        store: PlatformStore,
        source: SettingsFile | None = None,
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self.state = EdgeState(settings, dialect)
        health = StoreHealth(self._loop.time())
        self._health = health
        self._admission = Admission(self.state)
        alarms = Alarms(self.state)
        examiner = Examiner(self.state, alarms)
        keeper = Keeper(self.state)
        self._sharing = Sharing(self.state, keeper)
        self._front = Front(
            self.state,
            self._admission,
            examiner,
            Witness(self.state, examiner, keeper, self._sharing),
        )
        news = NewsSource(settings.name)
        self._members = Members(
            self.state, store, health, news, news.log, alarms
        )
        self._members.add_talk(self._sharing)
        leadership = Leadership(self.state, store)
        self._holds = StoredHolds(self.state, store, keeper, leadership)
        self._survey = Survey(
            self.state, examiner, alarms, lambda: leadership.holder
        )
        self._commander = Commander(
            self.state, leadership, health, self._survey
        )
        self._follower = build_follower(
            self.state,
            store,
            health,
            (self._members, leadership, self._holds),
            news,
            news.log,
        )
        self._node_pages = NodePages(
            self.state, self._admission, store, self._count_busy, keeper
        )
        self._reloader = Reloader(self.state, store, source)
        self._connections: set[CallerConnection] = set()
        self._pages: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._ended = asyncio.Event()
        self._losses = 0
        self.state.listen(self._move_streams)

    async def run(self) -> int:
        """Serve until told to stop; return the exit code."""
        self._catch_signals()
        await self._listen()
        await self._members.start()
        for work, name in (
            (self._follower.run, 'follow'),
            (self._members.run, 'membership'),
            (self._commander.run, 'commander'),
            (self._survey.run, 'survey'),
            (self._sharing.run, 'quarantine'),
            (self._holds.run, 'stored holds'),
            (self._sweep, 'sweep'),
            (self._reloader.run, 'settings'),
            (self._node_pages.usage.run, 'usage'),
        ):
            self._start_task(self._keep_running(work, name), name)
        _LOG.info('started', extra={'node': self.state.settings.name})
        gc.freeze()
        await self._ended.wait()
        self.close()
        _LOG.info('ended', extra={'node': self.state.settings.name})
        return 0

    def close(self) -> None:
        """Close all sockets and end all tasks, without waiting."""
        for server in self._servers:
            server.close()
        for conn in (*self._connections, *self._pages):
            conn.end()
        self._members.close()
        self._node_pages.usage.log()
        for task in tuple(self._tasks):
            task.cancel()

    def get_port(self) -> int:
        """Return the callers' port; the settings may leave it to the system."""
        return int(self._servers[0].sockets[0].getsockname()[1])

    def get_metrics_port(self) -> int:
        """Return where metrics and the state are read."""
        return int(self._servers[2].sockets[0].getsockname()[1])

    def is_ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return self.state.is_ready()

    def begin_drain(self) -> None:
        """Begin to end: no new connections, every request is finished."""
        if self.state.is_draining:
            return
        _LOG.info('draining', extra={'open': self._count_busy()})
        self.state.is_draining = True
        self._start_task(self._drain(), 'drain')

    async def _listen(self) -> None:
        settings = self.state.settings
        metrics_address = f'{settings.host}:{settings.metrics_port}'
        self._servers.extend(
            await asyncio.gather(
                listen(settings.callers, self._front, self._connections),
                listen(
                    settings.readiness,
                    self._node_pages.build_ready(),
                    self._pages,
                ),
                listen(
                    metrics_address,
                    self._node_pages.build_metrics(),
                    self._pages,
                ),
            )
        )

    def _move_streams(self) -> None:
        """Replicas were lost: streams leave them now, not when they notice."""
        if self._losses == self.state.view.losses:
            return
        self._losses = self.state.view.losses
        self._commander.wake()
        for stream in tuple(self.state.streams):
            stream.check_path()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_S)
            now = self._loop.time()
            gone = self.state.view.sweep(now)
            self.state.book.forget_silent(now)
            self.state.pool.sweep(set(self.state.view.known))
            if gone:
                _LOG.info('replicas gone', extra={'count': len(gone)})
            self.state.notify()

    async def _drain(self) -> None:
        """Fail the readiness check, finish every request, then end.

        The callers' port stays open to the end: when too few nodes of a data
        centre are ready, the balancer sends connections to all of them, and
        one that was refused there would be lost to its client.
        """
        now = self._loop.time()
        finish_at = now + self.state.settings.finish_s - _EXIT_MARGIN_S
        self.state.streams_until = finish_at - _STREAM_S
        self.state.requests_until = finish_at - _REQUEST_S
        notice_until = now + _NOTICE_S
        await self._leave(self._commander.leave())
        await asyncio.sleep(notice_until - self._loop.time())
        self._close_idle()
        await self._finish(finish_at)
        await self._leave(self._members.leave())
        # Requests that were read meanwhile. Nothing is read between the last
        # look and the end: one that was passed on would be closed unanswered.
        await self._finish(finish_at)
        self._ended.set()
        self.close()

    async def _finish(self, finish_at: float) -> None:
        """Wait until no request is under way, or its time is over."""
        while self._count_busy() and self._loop.time() < finish_at:
            await asyncio.sleep(_DRAIN_STEP_S)
            self._close_idle()

    async def _leave(self, leaving: Coroutine[Any, Any, None]) -> None:
        """Give something up in the store, but don't wait for a slow one."""
        try:
            async with asyncio.timeout(_LEAVE_S):
                await leaving
        except TimeoutError:
            _LOG.info('lease left to lapse', extra={'waited_s': _LEAVE_S})

    def _close_idle(self) -> None:
        for conn in tuple(self._connections):
            conn.close_idle()

    def _count_busy(self) -> int:
        return sum(conn.has_work for conn in self._connections)

    def _catch_signals(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self.begin_drain)
        self._loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)

    async def _keep_running(
        self, work: Callable[[], Awaitable[None]], name: str
    ) -> None:
        """Run a loop; one that fails is logged and started again.

        A loop that ended for good would leave the node with what it knew at
        that moment, and nobody would notice but by its age. One that fails
        while it is ended ends all the same: started again it would keep the
        process from ending, until it is killed.
        """
        while not self._ended.is_set():
            try:
                await work()
            except Exception as exc:  # noqa: BLE001
                _LOG.error(
                    'loop failed', extra={'loop': name, 'error': repr(exc)}
                )
            await asyncio.sleep(_RESTART_S)

    def _start_task(self, work: Coroutine[Any, Any, None], name: str) -> None:
        task = self._loop.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                'task failed',
                extra={
                    'task': task.get_name(),
                    'error': repr(task.exception()),
                },
            )
