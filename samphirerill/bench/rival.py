"""The simplest rival: round robin over the replicas, no retry, no queue.

It runs as one process beside the nodes, over the same stand-ins, so that each
bench can show the same figures for both in one run.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from typing import Any

from samphirerill.backends.calls import build_request
from samphirerill.core.commands import Stage
from samphirerill.testing.httpd import Connection, Request

_CHUNK = 65_536
_SERVICE = '/svc/'


class Rival:
    """Forwards each request over the next pipeline in turn."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._turns: dict[tuple[int, int], itertools.cycle[Any]] = {}
        self._numbers = itertools.count()
        by_range: dict[tuple[int, int], list[Stage]] = {}
        for name, spec in document['endpoints'].items():
            if spec['kind'] == 'engine':
                first, last = spec['layers']
                stage = Stage(name, spec['address'], first, last)
                by_range.setdefault((first, last), []).append(stage)
        self._services = itertools.cycle(
            Stage(name, spec['address'], 0, 0)
            for name, spec in document['endpoints'].items()
            if spec['kind'] == 'service'
        )
        for held, stages in by_range.items():
            self._turns[held] = itertools.cycle(stages)

    async def handle(self, request: Request) -> None:
        """Forward one request and pump its answer back."""
        connection = request.connection
        if request.path == '/health':
            connection.answer(200, b'ok')
            return
        address, payload = self._route(request)
        host, _, port = address.rpartition(':')
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            connection.answer(502, b'{"title": "no endpoint"}')
            return
        writer.write(payload)
        await _pump(reader, connection)
        writer.close()
        connection.transport.close()

    def _route(self, request: Request) -> tuple[str, bytes]:
        if request.path.startswith(_SERVICE):
            stage = next(self._services)
            keys = request.headers.get('idempotency-key', '')
            payload = build_request(
                request.method,
                f'/{request.path.removeprefix(_SERVICE)}',
                stage,
                [('Idempotency-Key', keys)],
                request.body,
            )
            return stage.address, payload
        stages = self._next_pipeline()
        return stages[0].address, self._build(request, stages)

    def _next_pipeline(self) -> list[Stage]:
        """Return the next replica of each range, cut to cover each layer."""
        stages = []
        position = 0
        for held in sorted(self._turns):
            stage = next(self._turns[held])
            stages.append(
                Stage(stage.endpoint, stage.address, position, stage.last)
            )
            position = stage.last + 1
        return stages

    def _build(self, request: Request, stages: list[Stage]) -> bytes:
        body = request.read_json()
        body['samphirerill'] = {
            'attempt': f'rival-{next(self._numbers)}',
            'epoch': 0,
            'resume_at': 0,
            'stages': [
                {
                    'address': stage.address,
                    'first': stage.first,
                    'last': stage.last,
                }
                for stage in stages
            ],
        }
        return build_request(
            'POST', request.path, stages[0], [], json.dumps(body).encode()
        )


async def _pump(reader: asyncio.StreamReader, connection: Connection) -> None:
    while not connection.closed:
        try:
            part = await reader.read(_CHUNK)
        except OSError:
            return
        if not part:
            return
        connection.transport.write(part)


async def run_rival(document: dict[str, Any]) -> None:
    """Serve until standard input closes; print the address first."""
    rival = Rival(document)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(rival.handle), '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()[:2]
    sys.stdout.write(f'{host}:{port}\n')
    sys.stdout.flush()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == '__main__':
    asyncio.run(run_rival(json.loads(sys.argv[1])))
