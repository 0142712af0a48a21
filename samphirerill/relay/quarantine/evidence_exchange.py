"""Exchange evidence about requests that crash replicas between nodes.

New evidence is broadcast at once. As datagrams get lost and nodes start later
or are cut off, each node also gossips all relevant evidence to a few others.
"""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.decision import SUSPECT_CRASHES
from samphirerill.quarantine.messages import (
    InvalidEvidenceError,
    build_messages,
    decode_messages,
    encode_messages,
)
from samphirerill.relay.datagrams import DatagramDeduplicator
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.quarantine.trials import TRIAL_S, Trials

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from samphirerill.quarantine.evidence_store import EvidenceStore
    from samphirerill.quarantine.messages import EvidenceMessage
    from samphirerill.relay.datagrams import DatagramSender
    from samphirerill.relay.quarantine.manager import QuarantineManager
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
# No other datagram begins so: 0xc1 is never used in MessagePack.
TYPE_PREFIX = b'\xc1Q'
# Collects the requests of one crash, which fails many at once.
_BATCH_DELAY_S = 0.01
# Keeps a datagram below the size at which networks fragment it.
_MAX_RECORDS = 10
# Records broadcast at once; further ones are left to the gossip.
_MAX_BROADCAST_RECORDS = 40
_MAX_BROADCAST_PARTS = 20
# Prompt parts among the records that are gossiped at a time.
_MAX_GOSSIPED_PARTS = 4
# Gossip interval and number of receivers: nodes that missed a broadcast are up
# to date within two seconds, at about 1 KB/s per node.
_GOSSIP_INTERVAL_S = 0.7
_GOSSIP_FANOUT = 2
# How long the record of a single crash is gossiped.
_GOSSIP_SINGLE_CRASH_S = 5.0


class Evidence(Struct, array_like=True):
    """Datagram with evidence.

    `sequence` increases with each datagram of one process run, which `started`
    identifies. `trial` is the replica to which a suspect request is being sent.
    `is_broadcast` is whether to forward the datagram to all nodes;
    forwarding gossip would overload the links.
    """

    node: str
    started: int
    sequence: int
    records: bytes
    trial: str = ''
    is_broadcast: bool = True


_EVIDENCE = build_msgpack_decoder(Evidence)


class EvidenceExchange:
    """Sends and receives evidence.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine.
    manager : QuarantineManager
        Applies the evidence of other nodes.
    """

    type_prefix = TYPE_PREFIX

    def __init__(self, state: EdgeState, manager: QuarantineManager) -> None:
        self._state = state
        self._manager = manager
        self._loop = asyncio.get_running_loop()
        self._datagram_sender: DatagramSender | None = None
        self._deduplicator = DatagramDeduplicator()
        self._invalid = InvalidEntries(_LOG, 'cannot decode evidence', 'sender')
        self._sequence = 0
        self._pending: dict[bytes, None] = {}
        self._pending_parts: dict[bytes, None] = {}
        self.trials = Trials()

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Send through this sender from now on."""
        self._datagram_sender = datagram_sender

    def broadcast(self, requests: Iterable[bytes]) -> None:
        """Send the records of requests to all nodes, with a short delay."""
        self._schedule_broadcast()
        self._pending.update(dict.fromkeys(requests))

    def broadcast_parts(self, parts: Iterable[bytes]) -> None:
        """Send the records of prompt parts to all nodes, with a short delay."""
        added = dict.fromkeys(parts)
        if added:
            self._schedule_broadcast()
            self._pending_parts.update(added)

    def broadcast_trial(self, replica_id: str) -> None:
        """Notify all nodes that a suspect is being sent to a replica."""
        self._record_trial(replica_id)
        if self._datagram_sender is not None:
            self._datagram_sender.send_to_all(self._encode([], replica_id))

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Apply the evidence of another node."""
        try:
            evidence = _EVIDENCE.decode(data[len(TYPE_PREFIX) :])
            records = decode_messages(evidence.records)
        except (DecodeError, InvalidEvidenceError) as exc:
            self._invalid.note(sender, str(exc))
            return
        is_own = evidence.node == self._state.settings.name
        is_new = self._deduplicator.record(
            evidence.node, evidence.started, evidence.sequence
        )
        if is_own or not is_new:
            return
        if self._datagram_sender is not None and evidence.is_broadcast:
            self._datagram_sender.forward_from(sender, data)
        self._manager.apply_records(records)
        if evidence.trial:
            self._record_trial(evidence.trial)

    async def run(self) -> None:
        """Gossip relevant evidence to a few nodes until cancelled."""
        while True:
            await asyncio.sleep(_GOSSIP_INTERVAL_S)
            now = self._loop.time()
            self._state.quarantine.drop_expired(now)
            self._state.quarantine.parts.drop_expired(now)
            self._gossip()

    def _schedule_broadcast(self) -> None:
        if not self._pending and not self._pending_parts:
            self._loop.call_later(_BATCH_DELAY_S, self._broadcast_pending)

    def _record_trial(self, replica_id: str) -> None:
        now = self._loop.time()
        self.trials.begin(replica_id, now + TRIAL_S, now)

    def _broadcast_pending(self) -> None:
        state = self._state
        requests = islice(self._pending, _MAX_BROADCAST_RECORDS)
        parts = islice(self._pending_parts, _MAX_BROADCAST_PARTS)
        records = build_messages(
            state.quarantine, parts, requests, self._loop.time()
        )
        self._pending = {}
        self._pending_parts = {}
        if self._datagram_sender is None:
            return
        for start in range(0, len(records), _MAX_RECORDS):
            batch = records[start : start + _MAX_RECORDS]
            self._datagram_sender.send_to_all(self._encode(batch))

    def _gossip(self) -> None:
        if self._datagram_sender is None:
            return
        own = self._state.settings.name
        others = [
            name for name in self._datagram_sender.list_nodes() if name != own
        ]
        fanout = min(_GOSSIP_FANOUT, len(others))
        records = self._list_gossiped()
        if not records:
            return
        data = self._encode(records, is_broadcast=False)
        for name in self._state.random.sample(others, fanout):
            self._datagram_sender.send_to_node(name, data)

    def _list_gossiped(self) -> list[EvidenceMessage]:
        """Return the records that matter most, of prompt parts and requests."""
        state = self._state
        parts = list(
            islice(
                self._list_relevant(state.quarantine.parts), _MAX_GOSSIPED_PARTS
            )
        )
        requests = islice(
            self._list_relevant(state.quarantine), _MAX_RECORDS - len(parts)
        )
        return build_messages(
            state.quarantine, parts, requests, self._loop.time()
        )

    def _list_relevant(self, store: EvidenceStore) -> Iterator[bytes]:
        """Yield suspects, and what was at a recent crash.

        Others with a single crash are too many to be gossiped forever.
        """
        since = self._loop.time() - _GOSSIP_SINGLE_CRASH_S
        for digest, record in store.list_records():
            is_suspect = len(record.crashes) >= SUSPECT_CRASHES
            if record.crashes and (is_suspect or record.crashes[-1].at > since):
                yield digest

    def _encode(
        self,
        records: list[EvidenceMessage],
        trial: str = '',
        *,
        is_broadcast: bool = True,
    ) -> bytes:
        self._sequence += 1
        self._state.counters['quarantine.told'] += 1
        evidence = Evidence(
            self._state.settings.name,
            self._state.incarnation,
            self._sequence,
            encode_messages(records),
            trial,
            is_broadcast,
        )
        return TYPE_PREFIX + msgpack.encode(evidence)
