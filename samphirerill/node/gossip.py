"""Gossip with peers, which also works without the key-value service.

Messages contain the version of the configuration, missing changes, the age of
the sender's last read from the service, leaving endpoints and records of
requests that crashed endpoints.
"""

from __future__ import annotations

import asyncio
import json
import random
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any

from result import Err

from samphirerill.backends.peers import (
    PeerClients,
    PeerError,
    PeerMessage,
    PeerServer,
)
from samphirerill.control.configuration_log import parse_change
from samphirerill.control.freshness import PEER_EXPIRY_S
from samphirerill.core.events import EvidenceReceived, VmListRead
from samphirerill.core.queries import list_crash_records, list_leaving_endpoints
from samphirerill.edges.http_server import ListenError
from samphirerill.node.jitter import add_jitter
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.messages import (
    InvalidEvidenceError,
    decode_messages,
    encode_messages,
)

if TYPE_CHECKING:
    from samphirerill.control.claims import ClaimBatch, ClaimResult
    from samphirerill.node.configuration_follower import ConfigurationFollower
    from samphirerill.node.membership import Membership
    from samphirerill.node.node import Node

EXCHANGE_INTERVAL_S = 1.0
FANOUT = 2
_MAX_CHANNELS = 16
_MAX_EVIDENCE_RECORDS = 16
_MAX_READ_AGE_S = 1e9
_LOG = get_logger('peers')


@dataclass(slots=True)
class PeerStatus:
    """The last message of a peer; `heard_at` is on this node's clock."""

    node: str
    version: int
    store_read_age_s: float
    heard_at: float


class Gossip:
    """Periodic exchange of messages with random peers."""

    def __init__(
        self,
        node: Node,
        follower: ConfigurationFollower,
        membership: Membership,
    ) -> None:
        self._node = node
        self._follower = follower
        self._membership = membership
        self.clients = PeerClients(_MAX_CHANNELS)
        self._server = PeerServer(self._build_reply, self._write_claims)
        self._peer_statuses: dict[str, PeerStatus] = {}

    async def start(self) -> int:
        """Start listening for peers; return the port."""
        peers = self._node.settings.peers
        try:
            return await self._server.start(peers.host, peers.port)
        except PeerError as exc:
            raise ListenError(peers.host, peers.port, exc) from exc

    async def run(self) -> None:
        """Exchange messages with random peers until cancelled."""
        while True:
            await asyncio.sleep(add_jitter(EXCHANGE_INTERVAL_S))
            await asyncio.gather(
                *(self._exchange(address) for address in self._choose_peers())
            )

    async def stop(self) -> None:
        """Close all channels and stop listening."""
        await self.clients.close()
        await self._server.stop()

    async def query_versions(self) -> list[dict[str, Any]]:
        """Query all known nodes for their configuration version."""
        members = list(self._membership.peers.values())
        replies = await asyncio.gather(
            *(self._exchange(member.peer_address) for member in members)
        )
        versions = [
            {
                'node': member.node_id,
                'version': reply.version if reply else None,
            }
            for member, reply in zip(members, replies, strict=True)
        ]
        own = {
            'node': self._node.node_id,
            'version': self._follower.view.version,
        }
        return [own, *versions]

    def describe(self) -> list[dict[str, Any]]:
        """Return the last message of each peer, for the state dump."""
        return [asdict(status) for status in self._peer_statuses.values()]

    def _choose_peers(self) -> list[str]:
        addresses = [
            member.peer_address for member in self._membership.peers.values()
        ]
        addresses = addresses or list(self._node.settings.peers.seeds)
        return random.sample(addresses, min(FANOUT, len(addresses)))

    async def _exchange(self, address: str) -> PeerMessage | None:
        reply = await self.clients.exchange(address, self._build_message())
        if isinstance(reply, Err):
            _LOG.debug(
                'peer did not respond', extra={'reason': str(reply.err_value)}
            )
            return None
        self._handle_message(reply.ok_value)
        return reply.ok_value

    def _build_reply(self, message: PeerMessage) -> PeerMessage:
        """Reply to a message, with the changes that the peer lacks."""
        self._handle_message(message)
        reply = self._build_message()
        view = self._follower.view
        if message.version < view.version:
            changes = view.list_changes_after(message.version)
            if changes is None:
                reply.document = json.dumps(view.document).encode()
            else:
                reply.changes = [
                    json.dumps(change.to_json()).encode() for change in changes
                ]
        return reply

    async def _write_claims(self, batch: ClaimBatch) -> list[ClaimResult]:
        claim_writer = self._node.claim_writer
        return (
            []
            if claim_writer is None
            else await claim_writer.write_for_peer(batch)
        )

    def _handle_message(self, message: PeerMessage) -> None:
        now = self._node.loop.time()
        self._remove_expired(now)
        self._peer_statuses[message.node] = PeerStatus(
            message.node, message.version, message.store_read_age_s, now
        )
        self._follower.freshness.record_peer_report(
            message.node, now, message.store_read_age_s, message.version
        )
        self._follower.view.record_accepted_version(message.version)
        if message.document:
            self._follower.apply_document(
                message.version, json.loads(message.document)
            )
        for change in message.changes:
            self._follower.apply_change(parse_change(json.loads(change)))
        self._handle_evidence(message)
        if message.leaving:
            self._node.apply(
                VmListRead(frozenset(), frozenset(message.leaving))
            )

    def _handle_evidence(self, message: PeerMessage) -> None:
        if not message.evidence:
            return
        try:
            records = decode_messages(message.evidence)
        except InvalidEvidenceError as exc:
            _LOG.warning(
                'invalid evidence from a peer',
                extra={'node': message.node, 'error': str(exc)},
            )
            return
        self._node.apply(EvidenceReceived(records))

    def _remove_expired(self, now: float) -> None:
        for name, status in tuple(self._peer_statuses.items()):
            if now - status.heard_at > PEER_EXPIRY_S:
                self._peer_statuses.pop(name)

    def _encode_evidence(self, now: float) -> bytes:
        state = self._node.router.state
        state.quarantine.drop_expired(now)
        state.quarantine.parts.drop_expired(now)
        records = list_crash_records(state, now, _MAX_EVIDENCE_RECORDS)
        return encode_messages(records) if records else b''

    def _build_message(self) -> PeerMessage:
        node = self._node
        now = node.loop.time()
        age_s = min(
            _MAX_READ_AGE_S, self._follower.freshness.get_read_age_s(now)
        )
        return PeerMessage(
            node.node_id,
            self._follower.view.version,
            age_s,
            draining=node.router.state.draining,
            leaving=list_leaving_endpoints(node.router.state),
            evidence=self._encode_evidence(now),
        )
