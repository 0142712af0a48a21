"""Pipeline protocol between fake engines: one frame per generation step.

A frame is one line of JSON on a persistent connection. Each stage runs its
layers, forwards the frame to the next stage and returns the response on the
same connection. Frames and HTTP share the engine's port: a frame starts with
``{``, an HTTP request does not.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from samphirerill.testing.engine import FakeEngine
    from samphirerill.testing.httpd import Connection

_FRAME_TIMEOUT_S = 0.3
Pipeline = tuple[tuple[str, int, int], ...]
# Address of an engine, and the first and last layer that it ran.
StageExecution = list[Any]


@dataclass(slots=True)
class FrameResult:
    """Result of one frame: layers run by each stage, and the hop latencies.

    `failed_stage` is the index of the stage that did not respond, or -1.
    """

    address: str
    failed_stage: int = -1
    layers: list[StageExecution] = field(default_factory=list)
    hops_ms: list[float] = field(default_factory=list)


class _StageConnection(asyncio.Protocol):
    """Client side of a connection to the next stage."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.pending: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.closed = False
        self._buffer = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        lines = (self._buffer + data).split(b'\n')
        self._buffer = lines.pop()
        for line in lines:
            response = json.loads(line)
            fut = self.pending.pop(response['frame'], None)
            if fut is not None and not fut.done():
                fut.set_result(response)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        for fut in self.pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError())


class StageRunner:
    """Runs an engine's own stage and forwards frames to the next one."""

    def __init__(self) -> None:
        self._connections: dict[str, _StageConnection] = {}
        self._frame_numbers = itertools.count()

    async def run(
        self,
        engine: FakeEngine,
        pipeline: Pipeline,
        position: int,
        size: int,
    ) -> FrameResult:
        """Run the layers of one stage, then those of the following stages."""
        address, first, last = pipeline[position]
        await asyncio.sleep((last - first + 1) * engine.layer_ms / 1000)
        engine.counts['layers'] += size * (last - first + 1)
        own_execution = [engine.address, first, last]
        if position + 1 == len(pipeline):
            return FrameResult(address, layers=[own_execution])
        result = await self._forward(pipeline, position + 1, size)
        result.layers.insert(0, own_execution)
        return result

    async def _forward(
        self, pipeline: Pipeline, position: int, size: int
    ) -> FrameResult:
        """Forward a frame; the result names a stage that fails or times out."""
        started = time.monotonic()
        number = next(self._frame_numbers)
        frame = {
            'frame': number,
            'path': pipeline,
            'position': position,
            'size': size,
        }
        timeout_s = _FRAME_TIMEOUT_S * (len(pipeline) - position)
        try:
            response = await asyncio.wait_for(
                self._exchange(pipeline[position][0], number, frame), timeout_s
            )
        except (OSError, TimeoutError):
            self._connections.pop(pipeline[position][0], None)
            return FrameResult('', failed_stage=position)
        spent_ms = (time.monotonic() - started) * 1000
        hop_ms = max(0, spent_ms - response['spent_ms'])
        return FrameResult(
            '',
            response['failed_stage'],
            response['layers'],
            [hop_ms, *response['hops_ms']],
        )

    async def _exchange(
        self, address: str, number: int, frame: dict[str, Any]
    ) -> dict[str, Any]:
        connection = self._connections.get(address)
        loop = asyncio.get_running_loop()
        if connection is None or connection.closed:
            host, _, port = address.rpartition(':')
            _, connection = await loop.create_connection(
                _StageConnection, host, int(port)
            )
            self._connections[address] = connection
        fut: asyncio.Future[dict[str, Any]] = loop.create_future()
        connection.pending[number] = fut
        connection.transport.write(json.dumps(frame).encode() + b'\n')
        return await fut


class StageServer:
    """Serves frames and HTTP on one port."""

    def __init__(self, engine: FakeEngine, runner: StageRunner) -> None:
        self._engine = engine
        self._runner = runner

    def build_protocol(self, http: Connection) -> _ProtocolSwitch:
        """Return a protocol that detects frames by the first byte."""
        return _ProtocolSwitch(self, http)

    async def respond(self, transport: Any, line: bytes) -> None:
        """Run one frame and send its response."""
        frame = json.loads(line)
        arrived = time.monotonic()
        faults = self._engine.faults
        if faults.frozen:
            return
        pipeline = tuple(tuple(stage) for stage in frame['path'])
        if faults.link_ms:
            await asyncio.sleep(faults.link_ms / 1000)
            arrived = time.monotonic()
        result = await self._runner.run(
            self._engine, pipeline, frame['position'], frame['size']
        )
        response = {
            'frame': frame['frame'],
            'failed_stage': result.failed_stage,
            'layers': result.layers,
            'hops_ms': result.hops_ms,
            'spent_ms': (time.monotonic() - arrived) * 1000,
        }
        if not transport.is_closing() and not faults.frozen:
            transport.write(json.dumps(response).encode() + b'\n')


class _ProtocolSwitch(asyncio.Protocol):
    """Treats a connection as HTTP, or as frames if it starts with ``{``."""

    def __init__(self, server: StageServer, http: Connection) -> None:
        self._server = server
        self._http = http
        self._transport: Any = None
        self._is_frames: bool | None = None
        self._buffer = b''
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._http.connection_made(transport)

    def data_received(self, data: bytes) -> None:
        if self._is_frames is None:
            self._is_frames = data.startswith(b'{')
        if not self._is_frames:
            self._http.data_received(data)
            return
        lines = (self._buffer + data).split(b'\n')
        self._buffer = lines.pop()
        for line in lines:
            handling = self._server.respond(self._transport, line)
            task = asyncio.ensure_future(handling)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def connection_lost(self, exc: Exception | None) -> None:
        self._http.connection_lost(exc)

    def abort(self) -> None:
        """Abort the connection without a response."""
        self._transport.abort()
