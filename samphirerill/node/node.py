"""The node: runs the decision core on the event loop.

Every event is passed to :meth:`Node.apply`; the commands that the core returns
are executed by :func:`samphirerill.node.command_execution.execute`.
"""

from __future__ import annotations

import asyncio
import uuid
from collections import deque
from typing import TYPE_CHECKING, Any

from samphirerill.core.events import TimerFired
from samphirerill.core.router import Router
from samphirerill.node.command_execution import execute
from samphirerill.node.key_index import KeyIndex
from samphirerill.node.logs import get_logger
from samphirerill.node.metrics import Metrics
from samphirerill.node.unread_responses import UnreadResponses

if TYPE_CHECKING:
    from samphirerill.backends.endpoint_call import EndpointCall
    from samphirerill.node.claim_writer import ClaimWriter
    from samphirerill.node.sessions import Session
    from samphirerill.settings.model import Settings

_LOG = get_logger('node')
_SEED_BITS = 32


class Node:
    """State of one router process; used on the event loop's thread only.

    Parameters
    ----------
    settings : Settings
        The settings of the node.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.node_id = f'{settings.name}-{uuid.uuid4().hex[:8]}'
        seed = uuid.uuid4().int % (1 << _SEED_BITS)
        self.router = Router(self.node_id, seed)
        self.loop = asyncio.get_running_loop()
        self.sessions: dict[str, Session] = {}
        self.unread_responses = UnreadResponses(self.router.state.counters)
        self.calls: dict[str, EndpointCall] = {}
        self.metrics = Metrics()
        self.key_index = KeyIndex()
        self.claim_writer: ClaimWriter | None = None
        self.is_healthy = False
        self._events: deque[object] = deque()
        self._is_applying = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float('inf')
        self._tasks: set[asyncio.Task[Any]] = set()

    def apply(self, event: object) -> None:
        """Let the core handle an event and execute the resulting commands.

        Executing a command can emit another event; it is queued, so that
        commands are executed in order.
        """
        self._events.append(event)
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while self._events:
                self._apply_one(self._events.popleft())
        finally:
            self._is_applying = False
        self._schedule_timer()

    def start_task(self, coroutine: Any, name: str) -> None:
        """Run a coroutine as a task whose errors are logged."""
        task = self.loop.create_task(coroutine, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _apply_one(self, event: object) -> None:
        for command in self.router.apply(event, self.loop.time()):
            try:
                execute(command, self)
            except Exception as exc:
                # Later commands belong to other requests, which would wait
                # until their deadlines if this error prevented them.
                self._log_failure(command, exc)

    def _log_failure(self, command: object, exc: Exception) -> None:
        self.router.state.counters['commands.failed'] += 1
        kind = type(command).__name__
        _LOG.error('command failed', extra={'kind': kind, 'error': repr(exc)})

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _LOG.error(
                'task failed',
                extra={
                    'task': task.get_name(),
                    'error': repr(task.exception()),
                },
            )

    def _schedule_timer(self) -> None:
        wake_at = self.router.next_deadline()
        if wake_at is None or wake_at >= self._timer_at:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_at = wake_at
        self._timer = self.loop.call_at(wake_at, self._on_timer)

    def _on_timer(self) -> None:
        lag_s = self.loop.time() - self._timer_at
        self._timer_at = float('inf')
        self._timer = None
        self.apply(TimerFired(lag_s))
