"""A crowd of clients that break the protocol or stop within it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Ends the sending of clients whose connections the node has stopped reading.
_SEND_TIMEOUT_S = 20.0
_CONNECT_TIMEOUT_S = 5.0
_TRICKLE_INTERVAL_S = 0.5


class ClientCrowd:
    """Clients that send bytes, and keep their connections open.

    They read no more than the system buffers for them.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of a node.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._writers: list[asyncio.StreamWriter] = []
        self._trickling: list[asyncio.Task[None]] = []

    async def send(self, clients: Iterable[Iterable[bytes]]) -> None:
        """Send the blocks of each client, all clients at once.

        A client whose connection is closed sends no more.
        """
        tasks = [
            asyncio.create_task(self._send_blocks(blocks)) for blocks in clients
        ]
        await asyncio.wait(tasks, timeout=_SEND_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def trickle(self, block: bytes) -> None:
        """Let each client send a block again and again, until the close."""
        self._trickling = [
            asyncio.create_task(_trickle(writer, block))
            for writer in self._writers
        ]

    def close(self) -> None:
        """Close all connections."""
        for task in self._trickling:
            task.cancel()
        for writer in self._writers:
            writer.transport.abort()

    async def _send_blocks(self, blocks: Iterable[bytes]) -> None:
        host, _, port = self._address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                opened = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        writer = opened[1]
        self._writers.append(writer)
        for block in blocks:
            writer.write(block)
            try:
                await writer.drain()
            except ConnectionError:
                return


async def _trickle(writer: asyncio.StreamWriter, block: bytes) -> None:
    while not writer.is_closing():
        writer.write(block)
        await asyncio.sleep(_TRICKLE_INTERVAL_S)
