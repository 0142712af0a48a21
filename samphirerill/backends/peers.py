"""Words between nodes over gRPC.

gRPC's own retries and name resolution stay unused: addresses are IP numbers,
and a word that fails is simply followed by the next one. Keep-alive pings are
on, because a silent connection would otherwise never be noticed.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from grpc import RpcError
from grpc.aio import Channel, insecure_channel, server

from samphirerill.backends.peers_pb2 import Word as WireWord
from samphirerill.backends.peers_pb2_grpc import (
    PeersServicer,
    PeersStub,
    add_PeersServicer_to_server,
)

if TYPE_CHECKING:
    from collections.abc import Callable

EXCHANGE_TIMEOUT_S = 0.8
_MAX_MESSAGE = 16_777_216
_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.keepalive_permit_without_calls', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE),
    ('grpc.max_send_message_length', _MAX_MESSAGE),
    ('grpc.so_reuseport', 0),
    ('grpc.max_reconnect_backoff_ms', 2000),
)


class PeerError(Exception):
    """A peer gave no answer."""


@dataclass(slots=True)
class Word:
    """What one node tells another; see ``peers.proto``."""

    node: str
    version: int
    store_read_age_s: float
    changes: list[bytes] = field(default_factory=list)
    document: bytes = b''
    draining: bool = False
    leaving: list[str] = field(default_factory=list)


class PeerServer:
    """Answers other nodes' words on the loop."""

    def __init__(self, answer: Callable[[Word], Word]) -> None:
        self._servicer = _Servicer(answer)
        self._server: Any = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port; port 0 picks a free one."""
        self._server = server(options=_OPTIONS)
        add_PeersServicer_to_server(self._servicer, self._server)
        try:
            bound = self._server.add_insecure_port(f'{host}:{port}')
        except RuntimeError as exc:
            raise PeerError(f'no port {port} at {host}: {exc}') from exc
        await self._server.start()
        return int(bound)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(grace=0)


class PeerClients:
    """Connections to other nodes, the least recently used closed first."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._channels: dict[str, Channel] = {}

    async def exchange(self, address: str, word: Word) -> Word:
        """Send a word and return the answer.

        Raises
        ------
        PeerError
            No answer came in time.
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = insecure_channel(address, options=_OPTIONS)
        self._channels[address] = channel
        await self._close_oldest()
        stub = PeersStub(channel)
        try:
            answer = await stub.Exchange(
                _to_wire(word), timeout=EXCHANGE_TIMEOUT_S
            )
        except RpcError as exc:
            raise PeerError(f'no answer from {address}') from exc
        return _from_wire(answer)

    async def close(self) -> None:
        """Close all connections."""
        channels = list(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _close_oldest(self) -> None:
        if len(self._channels) > self._most:
            address = next(iter(self._channels))
            await self._channels.pop(address).close()


class _Servicer(PeersServicer):  # type: ignore[misc]
    """Passes each word to the node."""

    def __init__(self, answer: Callable[[Word], Word]) -> None:
        self._answer = answer

    async def Exchange(self, request: WireWord, context: Any) -> WireWord:
        """Answer one word."""
        return _to_wire(self._answer(_from_wire(request)))


def measure_word(word: Word) -> int:
    """Return the bytes of a word as it is sent."""
    return int(_to_wire(word).ByteSize())


def _to_wire(word: Word) -> WireWord:
    return WireWord(
        node=word.node,
        version=word.version,
        store_read_age_s=word.store_read_age_s,
        changes=word.changes,
        document=word.document,
        draining=word.draining,
        leaving=word.leaving,
    )


def _from_wire(wire: WireWord) -> Word:
    return Word(
        wire.node,
        wire.version,
        wire.store_read_age_s,
        list(wire.changes),
        wire.document,
        wire.draining,
        list(wire.leaving),
    )
