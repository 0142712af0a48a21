"""A stand-in for a replica that some requests end, as a fault of its own does."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.testing.platform_replicas import StandInReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.server import CallerConnection, Request

_NEVER_S = 60.0


class EndingReplica(StandInReplica):
    """Ends as it works on a request whose body holds a mark.

    Parameters
    ----------
    replica_id : str
        Its id.
    mark : bytes
        What the body of such a request holds.
    on_marked : callable
        Called when such a request reaches it.
    on_end : callable
        Ends the process; takes the replica's id.
    """

    def __init__(
        self,
        replica_id: str,
        mark: bytes,
        on_marked: Callable[[], None],
        on_end: Callable[[str], None],
    ) -> None:
        super().__init__(replica_id)
        # Events that the replica still sends.
        self.ends_after = 1
        # How long it is at work on a plain request before it ends.
        self.works_s = 0.02
        self._mark = mark
        self._on_marked = on_marked
        self._on_end = on_end

    async def _serve(self, req: Request, conn: CallerConnection) -> None:
        if self._mark in req.body:
            self._on_marked()
        await super()._serve(req, conn)

    async def _wait_for_answer(self, req: Request) -> None:
        await super()._wait_for_answer(req)
        if self._mark in req.body:
            await asyncio.sleep(self.works_s)
            await self._end()

    async def _wait_for_event(self, req: Request, done: int) -> None:
        await super()._wait_for_event(req, done)
        if self._mark in req.body and done == self.ends_after:
            await self._end()

    async def _end(self) -> None:
        self._on_end(self.replica_id)
        # The handler ends with its connection.
        await asyncio.sleep(_NEVER_S)
