"""Fakes of the platform's replicas: engines with layers, and plain services.

An engine streams events with ids. Tests can make it close the connection within
an event, stop sending, refuse requests, or reset connections.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from msgspec import json

from samphirerill.fleet.model import ClientLimits
from samphirerill.testing.fake_connection import Delivery, FakeConnection

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import ClientConnection, Request

_OK = 200
_ACCEPTED = 202
_UNAVAILABLE = 503
_SERVER_ERROR = 500


@dataclass(slots=True)
class RefusalSettings:
    """How a fake replica refuses requests, as not executed.

    Attributes
    ----------
    remaining : int
        Number of requests that it refuses in any case.
    after_requests : int
        Number of requests after which it refuses all; 0 for no limit.
    status : int
        HTTP status of a refusal.
    retry_after : bytes, optional
        Value of ``Retry-After``; not sent by default.
    failed_address : bytes
        Address of the later stage that is named as the cause.
    """

    remaining: int = 0
    after_requests: int = 0
    status: int = _UNAVAILABLE
    retry_after: bytes | None = None
    failed_address: bytes = b''

    def build_headers(self) -> Headers:
        """Return the headers of a refusal."""
        headers = [(b'X-Samphirerill-Not-Executed', b'1')]
        if self.retry_after is not None:
            headers.append((b'Retry-After', self.retry_after))
        if self.failed_address:
            headers.append((b'At-Server', self.failed_address))
        return headers


class FakeReplica:
    """A fake replica.

    Parameters
    ----------
    replica_id : str
        Id of the replica.
    events : int
        Number of events in a streamed response.

    Attributes
    ----------
    event_interval_s : float
        Time between two events.
    received_requests : list of Request
        Received requests, without orders and reports.
    orders : list of dict
        Received placement orders.
    close_after_event, stall_after_event : int
        Id of the event after which the connection is closed, or after which no
        more events are sent; 0 for never.
    cut_after_head : bool
        Close the connection after the response head.
    refuses : bool
        Refuse requests as not executed.
    refusal : RefusalSettings
        How many requests to refuse, and how.
    reports_leaving : bool
        Say in each response that it is leaving.
    failures_left : int
        Number of requests to answer with status 500.
    cancelled : int
        Number of requests whose connection closed before the response ended.
    in_progress : list of bytes
        Ids of the requests that are being executed.
    """

    def __init__(self, replica_id: str, events: int = 5) -> None:
        self.replica_id = replica_id
        self.events = events
        self.event_interval_s = 0.01
        self.received_requests: list[Request] = []
        self.orders: list[dict[str, Any]] = []
        self.layers = (0, 0)
        self.close_after_event = 0
        self.stall_after_event = 0
        self._delivery = Delivery()
        self.cut_after_head = False
        self.refuses = False
        self.refusal = RefusalSettings()
        self.reports_leaving = False
        self.failures_left = 0
        # While cleared, the replica sends neither events nor responses.
        self.responding = asyncio.Event()
        self.responding.set()
        # While cleared, it sends no events, but responds to orders and reports.
        self.streaming = asyncio.Event()
        self.streaming.set()
        # Time to process a prompt before the response starts.
        self.prefill_s = 0.0
        self.order_status = _ACCEPTED
        # Number of requests to reset instead of responding.
        self.resets_left = 0
        # Number of bytes added to a plain response.
        self.padding_bytes = 0
        self.cancelled = 0
        self.in_progress: list[bytes] = []

    @property
    def delivery(self) -> Delivery:
        """Return how its responses are delimited and broken off."""
        return self._delivery

    def get_limits(self) -> ClientLimits:
        """Return the request limits of the server."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether connections are closed after each response."""
        return False

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Handle one request."""
        if req.target in (b'/report', b'/order'):
            await self.responding.wait()
        if req.target == b'/report':
            conn.respond(_OK, [], json.encode(self._report()))
            return
        if req.target == b'/order':
            self._apply_order(json.decode(req.body))
            conn.respond(self.order_status, [], b'')
            return
        self.received_requests.append(req)
        request_id = req.get(b'x-samphirerill-request-id') or b''
        self.in_progress.append(request_id)
        try:
            await self._serve(req, conn)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.in_progress.remove(request_id)

    async def _serve(self, req: Request, conn: ClientConnection) -> None:
        headers = self._build_headers(req)
        if self.resets_left:
            self.resets_left -= 1
            conn.abort()
            return
        if self._refuses_next():
            headers.extend(self.refusal.build_headers())
            conn.respond(self.refusal.status, headers, b'')
            return
        seal = f'seal-{self.replica_id}'.encode()
        headers.append((b'X-Samphirerill-Response-Seal', seal))
        if self.failures_left:
            self.failures_left -= 1
            conn.respond(_SERVER_ERROR, headers, b'failed')
        elif req.get(b'x-samphirerill-hop-count') is None:
            await self._wait_for_answer(req)
            headers.extend(self._build_load_headers())
            body = b'plain ' + req.body + bytes(self.padding_bytes)
            conn.respond(_OK, headers, body)
        else:
            await self._stream(req, conn, headers)

    def _build_headers(self, req: Request) -> Headers:
        """Return the headers of each response."""
        headers = [
            (
                b'X-Samphirerill-Request-Id',
                req.get(b'x-samphirerill-request-id') or b'',
            ),
        ]
        if self.reports_leaving:
            headers.append((b'Server-Leaving', b'1'))
        return headers

    def _build_load_headers(self) -> Headers:
        """Return the headers of each plain response that report the load."""
        return []

    def _refuses_next(self) -> bool:
        served_limit = self.refusal.after_requests
        is_limit_reached = 0 < served_limit < len(self.received_requests)
        if self.refusal.remaining:
            self.refusal.remaining -= 1
            return True
        return self.refuses or is_limit_reached

    async def _stream(
        self,
        req: Request,
        conn: ClientConnection,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        headers.append((b'Content-Type', b'text/event-stream'))
        await asyncio.sleep(self.prefill_s)
        conn.start_response(_OK, headers, None)
        if self.cut_after_head:
            await asyncio.sleep(self.event_interval_s)
            conn.abort()
            return
        first = int(req.get(b'last-event-id') or b'0') + 1
        for number in range(first, self.events + 1):
            await self._wait_for_event(req, number - first)
            if not await self._send_event(conn, number):
                return
        conn.finish_response()

    async def _send_event(self, conn: ClientConnection, number: int) -> bool:
        """Send an event; return whether the stream goes on."""
        if self.close_after_event and number > self.close_after_event:
            # Half an event, then a close without the last chunk.
            conn.write_body(b'id: %d\ndata: to' % number)
            await asyncio.sleep(self.event_interval_s)
            conn.abort()
            return False
        if self.stall_after_event and number > self.stall_after_event:
            await asyncio.sleep(60)
        if isinstance(conn, FakeConnection) and conn.break_stream(number):
            return False
        conn.write_body(self._delivery.build_event(number))
        return True

    async def _wait_for_answer(self, req: Request) -> None:
        """Wait as long as a plain request takes to execute."""
        await self.responding.wait()

    async def _wait_for_event(self, req: Request, done: int) -> None:
        """Wait as long as the next event takes; `done` events were sent."""
        await asyncio.sleep(self.event_interval_s)
        await self.responding.wait()
        await self.streaming.wait()

    def _apply_order(self, order: dict[str, Any]) -> None:
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
