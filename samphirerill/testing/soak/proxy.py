"""A loopback TCP proxy that injects network faults.

It forwards bytes in both directions. On request it stalls or delays traffic,
drops one direction, or resets open connections. Active faults also apply to
new connections.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.relay.sockets import reset_connection

if TYPE_CHECKING:
    from collections.abc import Callable

_CHUNK_BYTES = 65_536
_STEP_S = 0.02


class LoopbackProxy:
    """Forwards from one listening address to another.

    Parameters
    ----------
    address : str
        ``IP:PORT`` to listen on.
    find_target : callable
        Returns the ``IP:PORT`` to connect to, or an empty string if there
        is none.
    """

    def __init__(self, address: str, find_target: Callable[[], str]) -> None:
        self.address = address
        self.is_stalled = False
        self.drops_responses = False
        self.drops_requests = False
        self.delay_s = 0.0
        self._find_target = find_target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start listening."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port), reuse_address=True
        )

    async def stop(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            reset_connection(writer.transport)

    def clear_faults(self) -> None:
        """Clear all faults; traffic is forwarded unchanged."""
        self.is_stalled = False
        self.drops_responses = False
        self.drops_requests = False
        self.delay_s = 0.0

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        upstream_writer: asyncio.StreamWriter | None = None
        try:
            await self._wait_while_stalled()
            host, _, port = self._find_target().rpartition(':')
            upstream_reader, upstream_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers.add(upstream_writer)
            await self._forward_both(
                reader, writer, upstream_reader, upstream_writer
            )
        except (OSError, ValueError):
            # The client sees a reset, as it would without a proxy.
            reset_connection(writer.transport)
        finally:
            self._close_writer(writer)
            self._close_writer(upstream_writer)

    async def _forward_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        upstream_reader: asyncio.StreamReader,
        upstream_writer: asyncio.StreamWriter,
    ) -> None:
        requests = asyncio.create_task(
            self._forward(reader, upstream_writer, is_request=True)
        )
        responses = asyncio.create_task(
            self._forward(upstream_reader, writer, is_request=False)
        )
        tasks = (requests, responses)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
        for end in ends:
            if isinstance(end, OSError):
                raise end

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_request: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            await self._wait_while_stalled()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            is_dropped = (
                self.drops_requests if is_request else self.drops_responses
            )
            if not is_dropped:
                writer.write(data)
                await writer.drain()

    async def _wait_while_stalled(self) -> None:
        while self.is_stalled:
            await asyncio.sleep(_STEP_S)

    def _close_writer(self, writer: asyncio.StreamWriter | None) -> None:
        if writer is None:
            return
        self._writers.discard(writer)
        writer.close()
