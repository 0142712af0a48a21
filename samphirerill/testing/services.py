"""Stand-ins for a plain service and for the platform's VM list."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from samphirerill.testing.httpd import Connection

if TYPE_CHECKING:
    from samphirerill.testing.httpd import Request


class StandIn:
    """Something that listens and handles one HTTP request after another."""

    async def start(self, host: str, port: int) -> asyncio.Server:
        """Listen; port 0 picks a free one."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: Connection(self.handle), host, port
        )

    async def handle(self, request: Request) -> None:
        """Answer one request."""
        raise NotImplementedError


class ServiceStandIn(StandIn):
    """A plain service that counts how often each thing was run.

    A run is named by the ``Idempotency-Key`` header, else by the body.
    ``POST /control`` sets ``fault``: ``silent`` runs and never answers,
    ``cut`` runs and drops the connection halfway through the answer.
    """

    def __init__(self) -> None:
        self.runs: Counter[str] = Counter()
        self.fault = ''
        self.delay_s = 0.0

    async def handle(self, request: Request) -> None:
        """Run one call and answer it as told."""
        if request.path == '/control':
            orders = request.read_json()
            self.fault = orders.get('fault', self.fault)
            self.delay_s = orders.get('delay_s', self.delay_s)
            request.connection.answer_json({'ok': True})
        elif request.path == '/stats':
            request.connection.answer_json(dict(self.runs))
        elif request.path == '/health':
            request.connection.answer(200, b'ok')
        else:
            await self._run(request)

    async def _run(self, request: Request) -> None:
        name = request.headers.get('idempotency-key', '')
        self.runs[name or request.body.decode('latin-1')] += 1
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
        request.connection.answer_json(answer)


class VmListStandIn(StandIn):
    """The platform's lagging list of VMs.

    ``GET /vms`` answers in the form of the Prometheus HTTP service
    discovery: a list of objects with ``targets`` and ``labels``. The label
    ``state`` is ``live`` or ``leaving``. ``POST /control`` sets states, in
    force after ``lag_s``.
    """

    def __init__(self, lag_s: float = 0) -> None:
        self.lag_s = lag_s
        self.states: dict[str, str] = {}

    async def handle(self, request: Request) -> None:
        """Answer the list, or change it."""
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
