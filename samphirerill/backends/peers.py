"""Words between nodes over gRPC.

gRPC's own retries and name resolution stay unused: addresses are IP numbers,
and a word that fails is simply followed by the next one. Keep-alive pings are
on, because a silent connection would otherwise never be noticed.
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
from samphirerill.backends.peers_pb2 import Word as WireWord
from samphirerill.backends.peers_pb2_grpc import (
    PeersServicer,
    PeersStub,
    add_PeersServicer_to_server,
)
from samphirerill.control.claims import Batch, Claim, Settlement, Verdict
from samphirerill.core.commands import Outcome

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Collect = Callable[[Batch], Awaitable[list[Verdict]]]

EXCHANGE_TIMEOUT_S = 0.8
COLLECT_TIMEOUT_S = 1.5
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
    evidence: bytes = b''


class PeerServer:
    """Answers other nodes' words on the loop."""

    def __init__(
        self, answer: Callable[[Word], Word], collect: Collect
    ) -> None:
        self._servicer = _Servicer(answer, collect)
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

    async def exchange(
        self, address: str, word: Word
    ) -> Result[Word, PeerError]:
        """Send a word and return the answer, or that none came in time."""
        stub = PeersStub(await self._find_channel(address))
        try:
            answer = await stub.Exchange(
                _to_wire(word), timeout=EXCHANGE_TIMEOUT_S
            )
        except RpcError:
            return Err(PeerError(f'no answer from {address}'))
        return Ok(_from_wire(answer))

    async def collect(
        self, address: str, batch: Batch
    ) -> Result[list[Verdict], PeerError]:
        """Have another node write a batch; return its verdicts.

        If no answer came in time, the batch may have been written.
        """
        stub = PeersStub(await self._find_channel(address))
        try:
            answer = await stub.Collect(
                _build_group(batch), timeout=COLLECT_TIMEOUT_S
            )
        except RpcError:
            return Err(PeerError(f'no verdicts from {address}'))
        by_request = {claim.request_id: claim for claim in batch.claims}
        verdicts = [
            _read_verdict(note, by_request[note.request])
            for note in answer.verdicts
            if note.request in by_request
        ]
        return Ok(verdicts)

    async def close(self) -> None:
        """Close all connections."""
        channels = list(self._channels.values())
        self._channels.clear()
        await asyncio.gather(*(channel.close() for channel in channels))

    async def _find_channel(self, address: str) -> Channel:
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = insecure_channel(address, options=_OPTIONS)
        self._channels[address] = channel
        await self._close_oldest()
        return channel

    async def _close_oldest(self) -> None:
        if len(self._channels) > self._most:
            address = next(iter(self._channels))
            await self._channels.pop(address).close()


class _Servicer(PeersServicer):  # type: ignore[misc]
    """Passes each word to the node."""

    def __init__(
        self, answer: Callable[[Word], Word], collect: Collect
    ) -> None:
        self._answer = answer
        self._collect = collect

    async def Exchange(self, request: WireWord, context: Any) -> WireWord:
        """Answer one word."""
        return _to_wire(self._answer(_from_wire(request)))

    async def Collect(self, request: ClaimGroup, context: Any) -> VerdictGroup:
        """Write claims for another node."""
        verdicts = await self._collect(_read_group(request))
        return VerdictGroup(verdicts=map(_note_verdict, verdicts))


def _build_group(batch: Batch) -> ClaimGroup:
    return ClaimGroup(
        claims=map(_note_claim, batch.claims),
        settled=map(_note_settlement, batch.settlements),
    )


def _note_claim(claim: Claim) -> ClaimNote:
    return ClaimNote(
        key=claim.key,
        holder=claim.holder,
        request=claim.request_id,
        fingerprint=claim.fingerprint,
    )


def _note_settlement(settlement: Settlement) -> ClaimNote:
    note = _note_claim(settlement.claim)
    note.outcome = settlement.outcome.value
    note.answer = json.dumps(settlement.answer).encode()
    return note


def _read_group(group: ClaimGroup) -> Batch:
    return Batch(
        [_read_claim(note) for note in group.claims],
        [
            Settlement(
                _read_claim(note),
                Outcome(note.outcome),
                json.loads(note.answer),
            )
            for note in group.settled
        ],
    )


def _read_claim(note: ClaimNote) -> Claim:
    return Claim(note.key, note.holder, note.request, note.fingerprint)


def _note_verdict(verdict: Verdict) -> VerdictNote:
    return VerdictNote(
        request=verdict.claim.request_id,
        state=verdict.state,
        holder=verdict.holder,
        answer=json.dumps(verdict.answer).encode(),
    )


def _read_verdict(note: VerdictNote, claim: Claim) -> Verdict:
    answer = json.loads(note.answer)
    return Verdict(claim, note.state, note.holder, answer)


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
        evidence=word.evidence,
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
        wire.evidence,
    )
