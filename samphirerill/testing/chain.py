"""How the engine stand-ins pass a step's frame from stage to stage.

A frame is one line of JSON on a connection that stays open. Each stage runs
its layers, passes the frame on and sends the answer back the same way. Both
protocols share the engine's port: a frame starts with ``{``, HTTP does not.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from samphirerill.testing.engine import EngineStandIn
    from samphirerill.testing.httpd import Connection

_FRAME_TIMEOUT_S = 0.3
Path = tuple[tuple[str, int, int], ...]
StageRun = list[Any]


@dataclass(slots=True)
class Work:
    """What became of one frame: who ran which layers, and how long hops took.

    `failed_stage` is the pipeline position that did not answer, or -1.
    """

    address: str
    failed_stage: int = -1
    layers: list[StageRun] = field(default_factory=list)
    hops_ms: list[float] = field(default_factory=list)


class _Peer(asyncio.Protocol):
    """The sending end of a connection to the next stage."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.pending: dict[int, asyncio.Future[dict[str, Any]]] = {}
        self.closed = False
        self._rest = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        lines = (self._rest + data).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            answer = json.loads(line)
            fut = self.pending.pop(answer['frame'], None)
            if fut is not None and not fut.done():
                fut.set_result(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        for fut in self.pending.values():
            if not fut.done():
                fut.set_exception(ConnectionResetError())


class Chain:
    """Runs one stage's part of a frame and passes the rest on."""

    def __init__(self) -> None:
        self._peers: dict[str, _Peer] = {}
        self._numbers = itertools.count()

    async def run(
        self, engine: EngineStandIn, path: Path, position: int, size: int
    ) -> Work:
        """Run the layers of one stage, then let the next ones run theirs."""
        address, first, last = path[position]
        await asyncio.sleep((last - first + 1) * engine.layer_ms / 1000)
        engine.counts['layers'] += size * (last - first + 1)
        here = [engine.address, first, last]
        if position + 1 == len(path):
            return Work(address, layers=[here])
        work = await self._pass_on(path, position + 1, size)
        work.layers.insert(0, here)
        return work

    async def _pass_on(self, path: Path, position: int, size: int) -> Work:
        """Send a frame on; a stage that fails or is silent is named."""
        started = time.monotonic()
        number = next(self._numbers)
        frame = {
            'frame': number,
            'path': path,
            'position': position,
            'size': size,
        }
        wait_s = _FRAME_TIMEOUT_S * (len(path) - position)
        try:
            answer = await asyncio.wait_for(
                self._ask(path[position][0], number, frame), wait_s
            )
        except (OSError, TimeoutError):
            self._peers.pop(path[position][0], None)
            return Work('', failed_stage=position)
        spent_ms = (time.monotonic() - started) * 1000
        hop_ms = max(0, spent_ms - answer['spent_ms'])
        return Work(
            '',
            answer['failed_stage'],
            answer['layers'],
            [hop_ms, *answer['hops_ms']],
        )

    async def _ask(
        self, address: str, number: int, frame: dict[str, Any]
    ) -> dict[str, Any]:
        peer = self._peers.get(address)
        loop = asyncio.get_running_loop()
        if peer is None or peer.closed:
            host, _, port = address.rpartition(':')
            _, peer = await loop.create_connection(_Peer, host, int(port))
            self._peers[address] = peer
        fut: asyncio.Future[dict[str, Any]] = loop.create_future()
        peer.pending[number] = fut
        peer.transport.write(json.dumps(frame).encode() + b'\n')
        return await fut


class StageServer:
    """Serves frames and HTTP on one port."""

    def __init__(self, engine: EngineStandIn, chain: Chain) -> None:
        self._engine = engine
        self._chain = chain

    def build_protocol(self, http: Connection) -> _EitherProtocol:
        """Return a protocol that decides by the first byte."""
        return _EitherProtocol(self, http)

    async def answer(self, transport: Any, line: bytes) -> None:
        """Run one frame and answer it."""
        frame = json.loads(line)
        arrived = time.monotonic()
        faults = self._engine.faults
        if faults.frozen:
            return
        path = tuple(tuple(stage) for stage in frame['path'])
        if faults.link_ms:
            await asyncio.sleep(faults.link_ms / 1000)
            arrived = time.monotonic()
        work = await self._chain.run(
            self._engine, path, frame['position'], frame['size']
        )
        answer = {
            'frame': frame['frame'],
            'failed_stage': work.failed_stage,
            'layers': work.layers,
            'hops_ms': work.hops_ms,
            'spent_ms': (time.monotonic() - arrived) * 1000,
        }
        if not transport.is_closing() and not faults.frozen:
            transport.write(json.dumps(answer).encode() + b'\n')


class _EitherProtocol(asyncio.Protocol):
    """Hands a connection to HTTP or, if it starts with ``{``, to frames."""

    def __init__(self, stages: StageServer, http: Connection) -> None:
        self._stages = stages
        self._http = http
        self._transport: Any = None
        self._is_frames: bool | None = None
        self._rest = b''
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
        lines = (self._rest + data).split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            work = self._stages.answer(self._transport, line)
            task = asyncio.ensure_future(work)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def connection_lost(self, exc: Exception | None) -> None:
        self._http.connection_lost(exc)

    def abort(self) -> None:
        """Drop the connection without a word."""
        self._transport.abort()
