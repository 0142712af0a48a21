"""Stand-ins for the platform's replicas: engines with layers, plain services.

An engine streams events with ids; it can be told to stop in the middle of one,
to fall silent, to refuse, or to answer somebody else first.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.fleet.model import ClientLimits

if TYPE_CHECKING:
    from samphirerill.relay.server import CallerConnection, Request

_OK = 200
_ACCEPTED = 202
_REFUSED = 503
_FAILED = 500


class StandInReplica:
    """One replica; what it got is kept in `seen`."""

    def __init__(self, replica_id: str, events: int = 5) -> None:
        self.replica_id = replica_id
        self.events = events
        self.gap_s = 0.01
        self.seen: list[Request] = []
        self.orders: list[dict[str, Any]] = []
        self.layers = (0, 0)
        self.stop_after = 0
        self.silent_after = 0
        self.cut_after_head = False
        self.refuses = False
        # After so many runs it refuses; 0 for never.
        self.most_runs = 0
        self.fails = 0
        self.answers_other_first = False
        # Cleared, it neither sends events nor answers anything until set.
        self.free = asyncio.Event()
        self.free.set()
        # Cleared, it sends no events, but answers questions.
        self.goes_on = asyncio.Event()
        self.goes_on.set()
        # So long it reads a prompt before its answer begins.
        self.begins_after_s = 0.0
        self.order_status = _ACCEPTED
        # So many calls it resets instead of answering.
        self.resets = 0
        # So many bytes more are in a plain answer.
        self.padding = 0
        self.cancelled = 0

    def get_limits(self) -> ClientLimits:
        """Return what callers may send."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether connections end after their answer."""
        return False

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        """Answer one request."""
        if req.target in (b'/report', b'/order'):
            await self.free.wait()
        if req.target == b'/report':
            conn.answer(_OK, [], json.encode(self._report()))
            return
        if req.target == b'/order':
            self._take_order(json.decode(req.body))
            conn.answer(self.order_status, [], b'')
            return
        self.seen.append(req)
        try:
            await self._serve(req, conn)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _serve(self, req: Request, conn: CallerConnection) -> None:
        headers = [
            (
                b'X-Samphirerill-Request-Id',
                req.get(b'x-samphirerill-request-id') or b'',
            ),
        ]
        if self.resets:
            self.resets -= 1
            conn.cut()
            return
        is_full = 0 < self.most_runs < len(self.seen)
        if self.refuses or is_full:
            headers.append((b'X-Samphirerill-Not-Executed', b'1'))
            conn.answer(_REFUSED, headers, b'')
            return
        seal = f'seal-{self.replica_id}'.encode()
        headers.append((b'X-Samphirerill-Response-Seal', seal))
        if self.fails:
            self.fails -= 1
            conn.answer(_FAILED, headers, b'failed')
        elif req.get(b'x-samphirerill-hop-count') is None:
            await self._wait_for_answer(req)
            body = b'plain ' + req.body + bytes(self.padding)
            conn.answer(_OK, headers, body)
        else:
            await self._stream(req, conn, headers)

    async def _stream(
        self,
        req: Request,
        conn: CallerConnection,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        headers.append((b'Content-Type', b'text/event-stream'))
        await asyncio.sleep(self.begins_after_s)
        conn.start_answer(_OK, headers, None)
        if self.cut_after_head:
            await asyncio.sleep(self.gap_s)
            conn.cut()
            return
        first = int(req.get(b'last-event-id') or b'0') + 1
        for number in range(first, self.events + 1):
            await self._wait_for_event(req, number - first)
            if self.stop_after and number > self.stop_after:
                # Half an event, then the end without a last chunk.
                conn.write_body(b'id: %d\ndata: to' % number)
                await asyncio.sleep(self.gap_s)
                conn.cut()
                return
            if self.silent_after and number > self.silent_after:
                await asyncio.sleep(60)
            conn.write_body(b'id: %d\ndata: token%d\n\n' % (number, number))
        conn.end_answer()

    async def _wait_for_answer(self, req: Request) -> None:
        """Be at work on a plain request."""
        await self.free.wait()

    async def _wait_for_event(self, req: Request, done: int) -> None:
        """Be at work on a stream's next event; so many are done."""
        await asyncio.sleep(self.gap_s)
        await self.free.wait()
        await self.goes_on.wait()

    def _take_order(self, order: dict[str, Any]) -> None:
        self.orders.append(order)
        if order['operation'] == 'place':
            self.layers = (order['from'], order['to'])

    def _report(self) -> dict[str, Any]:
        first, end = self.layers
        return {
            'layers': {'from': first, 'to': end, 'version': 1},
            'busy': False,
            'sequence': len(self.orders),
        }
