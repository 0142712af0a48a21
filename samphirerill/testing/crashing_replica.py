"""A fake replica that crashes on marked requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.testing.platform_replicas import FakeReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.server import ClientConnection, Request

_CANCEL_TIMEOUT_S = 60.0
_PROMPT_PARTS = b'x-samphirerill-prompt-prefix'


class CrashingReplica(FakeReplica):
    """Crashes while it executes a request with a marker in body or prompt parts.

    Parameters
    ----------
    replica_id : str
        Id of the replica.
    mark : bytes
        Marker in the body, or in the list of prompt parts, of requests that
        crash the replica.
    on_marked : callable
        Called when a marked request arrives.
    on_end : callable
        Called with the replica id to end its process.
    """

    def __init__(
        self,
        replica_id: str,
        mark: bytes,
        on_marked: Callable[[], None],
        on_end: Callable[[str], None],
    ) -> None:
        super().__init__(replica_id)
        # Number of events sent before the crash.
        self.crash_after_events = 1
        # Execution time of a plain request before the crash.
        self.execution_s = 0.02
        self._mark = mark
        self._on_marked = on_marked
        self._on_end = on_end

    def _is_marked(self, req: Request) -> bool:
        return self._mark in req.body or self._mark in (
            req.get(_PROMPT_PARTS) or b''
        )

    async def _serve(self, req: Request, conn: ClientConnection) -> None:
        if self._is_marked(req):
            self._on_marked()
        await super()._serve(req, conn)

    async def _wait_for_answer(self, req: Request) -> None:
        await super()._wait_for_answer(req)
        if self._is_marked(req):
            await asyncio.sleep(self.execution_s)
            await self._crash()

    async def _wait_for_event(self, req: Request, done: int) -> None:
        await super()._wait_for_event(req, done)
        if self._is_marked(req) and done == self.crash_after_events:
            await self._crash()

    async def _crash(self) -> None:
        self._on_end(self.replica_id)
        # The handler is cancelled when its connection closes.
        await asyncio.sleep(_CANCEL_TIMEOUT_S)
