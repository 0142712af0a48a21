"""Messages between nodes over gRPC.

Retries and name resolution of gRPC are not used: addresses are IP addresses,
and a lost message is superseded by the next one. Keep-alive pings detect
connections that have died silently.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from grpc import RpcError
from grpc.aio import Channel, insecure_channel, server
from result import Err, Ok, Result

from samphirerill.backends.peers_pb2 import (
    ClaimGroup,
    ClaimNote,
    VerdictGroup,
    VerdictNote,
)
from samphirerill.backends.peers_pb2 import Word as WireMessage
from samphirerill.backends.peers_pb2_grpc import (
    PeersServicer,
    PeersStub,
    add_PeersServicer_to_server,
)
from samphirerill.control.claims import (
    Claim,
    ClaimBatch,
    ClaimResult,
    Settlement,
)
from samphirerill.core.commands import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    ClaimBatchHandler = Callable[[ClaimBatch], Awaitable[list[ClaimResult]]]

EXCHANGE_TIMEOUT_S = 0.8
CLAIM_WRITE_TIMEOUT_S = 1.5
_MAX_MESSAGE_BYTES = 16_777_216
_CHANNEL_OPTIONS = (
    ('grpc.enable_retries', 0),
    ('grpc.keepalive_time_ms', 5000),
    ('grpc.keepalive_timeout_ms', 2000),
    ('grpc.keepalive_permit_without_calls', 0),
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
    ('grpc.max_reconnect_backoff_ms', 2000),
)


class PeerError(Exception):
    """A peer did not respond, or the node cannot listen for peers."""


@dataclass(slots=True)
class PeerMessage:
    """State that a node sends to a peer; see ``peers.proto``."""

    node: str
    version: int
    store_read_age_s: float
    changes: list[bytes] = field(default_factory=list)
    document: bytes = b''
    draining: bool = False
    leaving: list[str] = field(default_factory=list)
    evidence: bytes = b''


class PeerServer:
    """gRPC server for calls from other nodes."""

    def __init__(
        self,
        build_reply: Callable[[PeerMessage], PeerMessage],
        write_claims: ClaimBatchHandler,
    ) -> None:
        self._servicer = _Servicer(build_reply, write_claims)
        self._server: Any = None

    async def start(self, host: str, port: int) -> int:
        """Start listening and return the port; port 0 selects a free one."""
        self._server = server(options=_CHANNEL_OPTIONS)
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
    """LRU cache of gRPC channels to other nodes."""

    def __init__(self, max_channels: int) -> None:
        self._max_channels = max_channels
        self._channels: dict[str, Channel] = {}

    async def exchange(
        self, address: str, message: PeerMessage
    ) -> Result[PeerMessage, PeerError]:
        """Send a message and return the peer's reply."""
        stub = PeersStub(await self._get_channel(address))
        try:
            reply = await stub.Exchange(
                _encode_message(message), timeout=EXCHANGE_TIMEOUT_S
            )
        except RpcError:
            return Err(PeerError(f'no answer from {address}'))
        return Ok(_decode_message(reply))

    async def write_claims(
        self, address: str, batch: ClaimBatch
    ) -> Result[list[ClaimResult], PeerError]:
        """Let another node write a batch of claims; return the results.

        If the call fails, the batch may have been written.
        """
        stub = PeersStub(await self._get_channel(address))
        try:
            reply = await stub.Collect(
                _encode_batch(batch), timeout=CLAIM_WRITE_TIMEOUT_S
            )
        except RpcError:
            return Err(PeerError(f'no claim results from {address}'))
        by_request = {claim.request_id: claim for claim in batch.claims}
        claim_results = [
            _decode_result(note, by_request[note.request])
            for note in reply.verdicts
            if note.request in by_request
        ]
        return Ok(claim_results)

    async def close(self) -> None:
        """Close all channels."""
        channels = list(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _get_channel(self, address: str) -> Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = insecure_channel(address, options=_CHANNEL_OPTIONS)
        self._channels[address] = channel
        await self._evict_channel()
        return channel

    async def _evict_channel(self) -> None:
        if len(self._channels) > self._max_channels:
            address = next(iter(self._channels))
            await self._channels.pop(address).close()


class _Servicer(PeersServicer):  # type: ignore[misc]
    """Dispatches gRPC calls to the node."""

    def __init__(
        self,
        build_reply: Callable[[PeerMessage], PeerMessage],
        write_claims: ClaimBatchHandler,
    ) -> None:
        self._build_reply = build_reply
        self._write_claims = write_claims

    async def Exchange(self, request: WireMessage, context: Any) -> WireMessage:
        """Reply to a message of a peer."""
        return _encode_message(self._build_reply(_decode_message(request)))

    async def Collect(self, request: ClaimGroup, context: Any) -> VerdictGroup:
        """Write claims on behalf of another node."""
        claim_results = await self._write_claims(_decode_batch(request))
        return VerdictGroup(verdicts=map(_encode_result, claim_results))


def _encode_batch(batch: ClaimBatch) -> ClaimGroup:
    return ClaimGroup(
        claims=map(_encode_claim, batch.claims),
        settled=map(_encode_settlement, batch.settlements),
    )


def _encode_claim(claim: Claim) -> ClaimNote:
    return ClaimNote(
        key=claim.key,
        holder=claim.holder,
        request=claim.request_id,
        fingerprint=claim.fingerprint,
    )


def _encode_settlement(settlement: Settlement) -> ClaimNote:
    note = _encode_claim(settlement.claim)
    note.outcome = settlement.outcome.value
    note.answer = json.dumps(settlement.answer).encode()
    return note


def _decode_batch(group: ClaimGroup) -> ClaimBatch:
    return ClaimBatch(
        [_decode_claim(note) for note in group.claims],
        [
            Settlement(
                _decode_claim(note),
                Outcome(note.outcome),
                json.loads(note.answer),
            )
            for note in group.settled
        ],
    )


def _decode_claim(note: ClaimNote) -> Claim:
    return Claim(note.key, note.holder, note.request, note.fingerprint)


def _encode_result(claim_result: ClaimResult) -> VerdictNote:
    return VerdictNote(
        request=claim_result.claim.request_id,
        state=claim_result.state,
        holder=claim_result.holder,
        answer=json.dumps(claim_result.answer).encode(),
    )


def _decode_result(note: VerdictNote, claim: Claim) -> ClaimResult:
    answer = json.loads(note.answer)
    return ClaimResult(claim, note.state, note.holder, answer)


def measure_message(message: PeerMessage) -> int:
    """Return the serialized size of a message in bytes."""
    return int(_encode_message(message).ByteSize())


def _encode_message(message: PeerMessage) -> WireMessage:
    return WireMessage(
        node=message.node,
        version=message.version,
        store_read_age_s=message.store_read_age_s,
        changes=message.changes,
        document=message.document,
        draining=message.draining,
        leaving=message.leaving,
        evidence=message.evidence,
    )


def _decode_message(wire_message: WireMessage) -> PeerMessage:
    return PeerMessage(
        wire_message.node,
        wire_message.version,
        wire_message.store_read_age_s,
        list(wire_message.changes),
        wire_message.document,
        wire_message.draining,
        list(wire_message.leaving),
        wire_message.evidence,
    )
