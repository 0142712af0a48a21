"""A server that sends any bytes, for endpoints that break the protocol."""

from __future__ import annotations

import asyncio
from abc import abstractmethod


class RawServer:
    """A server on a free loopback port.

    Attributes
    ----------
    address : str
        Its ``IP:PORT``, once started.
    """

    def __init__(self) -> None:
        self.address = ''
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> asyncio.Server:
        """Listen."""
        server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        return server

    async def stop(self) -> None:
        """End all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @abstractmethod
    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection; it is closed afterwards."""

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.create_task(self._run(reader, writer)))

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()
