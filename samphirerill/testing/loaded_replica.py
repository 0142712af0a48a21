"""A fake plain endpoint with slots, a queue and a speed, which it may report."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.testing.platform_replicas import FakeReplica

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import Request


class LoadedReplica(FakeReplica):
    """A fake plain endpoint that reports its load in each response.

    Parameters
    ----------
    replica_id : str
        Id of the replica.
    slots : int
        How many requests it runs at once; others wait inside.
    service_s : float
        Time for one request.

    Attributes
    ----------
    service_s : float
        As given; may be changed.
    load_header : bytes, optional
        The value to report instead of the load; none is sent if it is empty.
    most_held : int
        The largest number of requests that it ran and queued at a time.
    busy_s : float
        The time that its slots were in use, added up.
    """

    def __init__(self, replica_id: str, slots: int, service_s: float) -> None:
        super().__init__(replica_id)
        self.service_s = service_s
        self.load_header: bytes | None = None
        self.most_held = 0
        self.busy_s = 0.0
        self._slots = slots
        self._running = 0
        self._free = asyncio.Semaphore(slots)

    async def _wait_for_answer(self, req: Request) -> None:
        self.most_held = max(self.most_held, len(self.in_progress))
        async with self._free:
            self._running += 1
            try:
                await asyncio.sleep(self.service_s)
            finally:
                self._running -= 1
            self.busy_s += self.service_s
        await super()._wait_for_answer(req)

    def _build_load_headers(self) -> Headers:
        text = self.load_header
        if text is None:
            # This request is answered now and does not count.
            waiting = len(self.in_progress) - self._running - 1
            text = b'%d,%d,%d' % (self._running, waiting, self._slots)
        return [(b'X-Samphirerill-Server-Load', text)] if text else []
