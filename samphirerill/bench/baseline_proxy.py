"""Baseline for the benchmarks: round robin without retries or queues.

It runs as a process of its own in front of the same simulated endpoints as the
nodes, so that each benchmark reports the same metrics for both.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from typing import Any

from samphirerill.backends.endpoint_call import build_request
from samphirerill.core.commands import Stage
from samphirerill.testing.httpd import Connection, Request

_CHUNK_BYTES = 65_536
_SERVICE_PREFIX = '/svc/'


class RoundRobinProxy:
    """Reverse proxy that sends requests to all pipelines in turn."""

    def __init__(self, document: dict[str, Any]) -> None:
        self._stages_by_range: dict[tuple[int, int], itertools.cycle[Any]] = {}
        self._attempt_numbers = itertools.count()
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
        for layer_range, stages in by_range.items():
            self._stages_by_range[layer_range] = itertools.cycle(stages)

    async def handle(self, request: Request) -> None:
        """Forward one request and relay its response."""
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
        await _relay_response(reader, connection)
        writer.close()
        connection.transport.close()

    def _route(self, request: Request) -> tuple[str, bytes]:
        if request.path.startswith(_SERVICE_PREFIX):
            stage = next(self._services)
            idempotency_key = request.headers.get('idempotency-key', '')
            payload = build_request(
                request.method,
                f'/{request.path.removeprefix(_SERVICE_PREFIX)}',
                stage,
                [('Idempotency-Key', idempotency_key)],
                request.body,
            )
            return stage.address, payload
        stages = self._next_pipeline()
        return stages[0].address, self._build_payload(request, stages)

    def _next_pipeline(self) -> list[Stage]:
        """Return the next replica of each layer range, trimmed of overlaps."""
        stages = []
        position = 0
        for layer_range in sorted(self._stages_by_range):
            stage = next(self._stages_by_range[layer_range])
            stages.append(
                Stage(stage.endpoint, stage.address, position, stage.last)
            )
            position = stage.last + 1
        return stages

    def _build_payload(self, request: Request, stages: list[Stage]) -> bytes:
        body = request.read_json()
        body['samphirerill'] = {
            'attempt': f'rival-{next(self._attempt_numbers)}',
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


async def _relay_response(
    reader: asyncio.StreamReader, connection: Connection
) -> None:
    while not connection.closed:
        try:
            chunk = await reader.read(_CHUNK_BYTES)
        except OSError:
            return
        if not chunk:
            return
        connection.transport.write(chunk)


async def run_proxy(document: dict[str, Any]) -> None:
    """Print the address, then serve until standard input is closed."""
    proxy = RoundRobinProxy(document)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(proxy.handle), '127.0.0.1', 0
    )
    host, port = server.sockets[0].getsockname()[:2]
    sys.stdout.write(f'{host}:{port}\n')
    sys.stdout.flush()
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == '__main__':
    asyncio.run(run_proxy(json.loads(sys.argv[1])))
