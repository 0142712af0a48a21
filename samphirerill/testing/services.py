"""Fakes of a plain service and of the platform's VM list."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from samphirerill.testing.httpd import LEAVING_HEADERS, Connection

if TYPE_CHECKING:
    from samphirerill.testing.httpd import Request


class FakeServer:
    """Base class of fakes: an HTTP server with one handler."""

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Start listening; port 0 picks a free port."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: Connection(self.handle), host, port
        )

    async def handle(self, request: Request) -> None:
        """Handle one request."""
        raise NotImplementedError


class FakeService(FakeServer):
    """A plain service that counts the executions of each request.

    Requests are identified by the ``Idempotency-Key`` header, otherwise by the
    body. ``POST /control`` sets ``fault``: ``silent`` executes a request
    without responding, ``cut`` closes the connection halfway through the
    response; it also sets ``delay_s``, and ``retry_after``, with which
    requests are answered with status 503 and this ``Retry-After``,
    ``request_limit``, the rate that all answers name, ``padding_bytes``, how
    much longer they are, and ``leaving``: all answers say that this process
    leaves.
    """

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.fault = ''
        self.retry_after: str | None = None
        self.leaving = False
        self.request_limit: str | None = None
        self.delay_s = 0.0
        self.padding_bytes = 0

    async def handle(self, request: Request) -> None:
        """Handle one request, with the fault that is set."""
        if self.leaving:
            request.connection.common_headers = LEAVING_HEADERS
        if request.path == '/control':
            changes = request.read_json()
            self.fault = changes.get('fault', self.fault)
            self.delay_s = changes.get('delay_s', self.delay_s)
            self.padding_bytes = changes.get(
                'padding_bytes', self.padding_bytes
            )
            self.retry_after = changes.get('retry_after', self.retry_after)
            self.leaving = changes.get('leaving', self.leaving)
            self.request_limit = changes.get(
                'request_limit', self.request_limit
            )
            request.connection.answer_json({'ok': True})
        elif request.path == '/stats':
            request.connection.answer_json(dict(self.executions))
        elif request.path == '/health':
            request.connection.answer(200, b'ok')
        else:
            await self._execute(request)

    async def _execute(self, request: Request) -> None:
        if self.request_limit is not None:
            request.connection.common_headers = {
                'Server-Limit': self.request_limit
            }
        name = request.headers.get('idempotency-key', '')
        self.executions[name or request.body.decode('latin-1')] += 1
        if self.retry_after is not None:
            headers = {'Retry-After': self.retry_after}
            request.connection.answer_json({}, 503, headers)
            return
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.fault == 'silent':
            return
        answer: dict[str, Any] = {
            'method': request.method,
            'path': request.path,
            'length': len(request.body),
        }
        if self.fault == 'cut':
            body = json.dumps(answer).encode()
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
            request.connection.transport.write(head.encode() + body[:5])
            await asyncio.sleep(0)
            request.connection.transport.close()
            return
        if self.padding_bytes:
            answer['padding'] = 'x' * self.padding_bytes
        request.connection.answer_json(answer)


class FakeVmList(FakeServer):
    """The platform's list of VMs, whose updates are delayed.

    ``GET /vms`` returns the format of Prometheus HTTP service discovery: a list
    of objects with ``targets`` and ``labels``. The label ``state`` is ``live``
    or ``leaving``. ``POST /control`` sets states, which take effect after
    ``lag_s``.
    """

    def __init__(self, lag_s: float = 0) -> None:
        self.lag_s = lag_s
        self.states: dict[str, str] = {}

    async def handle(self, request: Request) -> None:
        """Return the list, or change it."""
        if request.path == '/control':
            states = request.read_json()
            loop = asyncio.get_running_loop()
            loop.call_later(self.lag_s, self.states.update, states)
            request.connection.answer_json({'ok': True})
            return
        request.connection.answer_json(
            [
                {'targets': [name], 'labels': {'state': state}}
                for name, state in self.states.items()
            ]
        )
