"""A loopback proxy that harms connections on command.

It forwards bytes both ways. While it is told to, it holds them back, delays
them, swallows one direction, or resets what is open; new connections are then
treated in the same way.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

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
        Returns the ``IP:PORT`` to connect to now; empty if there is none.
    """

    def __init__(self, address: str, find_target: Callable[[], str]) -> None:
        self.address = address
        self.is_silent = False
        self.swallows_answers = False
        self.swallows_calls = False
        self.delay_s = 0.0
        self._find_target = find_target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen."""
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port), reuse_address=True
        )

    async def stop(self) -> None:
        """Refuse connections and reset the open ones."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Forward as if nothing had been."""
        self.is_silent = False
        self.swallows_answers = False
        self.swallows_calls = False
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
        other: asyncio.StreamWriter | None = None
        try:
            await self._wait_while_silent()
            host, _, port = self._find_target().rpartition(':')
            back, other = await asyncio.open_connection(host, int(port))
            self._writers.add(other)
            await self._forward_both(reader, writer, back, other)
        except (OSError, ValueError):
            # The caller sees a reset, as it would without a proxy.
            writer.transport.abort()
        finally:
            self._end(writer)
            self._end(other)

    async def _forward_both(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        back: asyncio.StreamReader,
        other: asyncio.StreamWriter,
    ) -> None:
        calls = asyncio.create_task(self._forward(reader, other, is_call=True))
        answers = asyncio.create_task(
            self._forward(back, writer, is_call=False)
        )
        tasks = (calls, answers)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_call: bool,
    ) -> None:
        while data := await reader.read(_CHUNK_BYTES):
            await self._wait_while_silent()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            lost = self.swallows_calls if is_call else self.swallows_answers
            if not lost:
                writer.write(data)
                await writer.drain()

    async def _wait_while_silent(self) -> None:
        while self.is_silent:
            await asyncio.sleep(_STEP_S)

    def _end(self, writer: asyncio.StreamWriter | None) -> None:
        if writer is None:
            return
        self._writers.discard(writer)
        writer.close()
