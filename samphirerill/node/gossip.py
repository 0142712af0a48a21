"""Talk with a few other nodes, whether or not the service is there.

Peers spread three things: which version of the configuration is accepted and
the changes that lead to it, how lately each has reached the service, and
which endpoints are leaving.
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
    PeerServer,
    Word,
)
from samphirerill.control.configuration_log import parse_change
from samphirerill.control.evidence import FORGET_AFTER_S
from samphirerill.core.events import EvidenceTold, VmListRead
from samphirerill.core.queries import list_evidence, list_leaving
from samphirerill.edges.serving import ListenError
from samphirerill.node.jitter import spread
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.messages import (
    UnreadableEvidenceError,
    decode_told,
    encode_told,
)

if TYPE_CHECKING:
    from samphirerill.control.claims import Batch, Verdict
    from samphirerill.node.follower import Follower
    from samphirerill.node.members import Members
    from samphirerill.node.node import Node

EVERY_S = 1.0
PARTNERS = 2
_KEPT_CHANNELS = 16
# Records against requests in one word, about 1.5 KB.
_MOST_EVIDENCE = 16
_NEVER_S = 1e9
_LOG = get_logger('peers')


@dataclass(slots=True)
class PeerView:
    """What a peer last said; `heard_at` is this node's clock."""

    node: str
    version: int
    store_read_age_s: float
    heard_at: float


class Gossip:
    """This node's talk with the others."""

    def __init__(
        self, node: Node, follower: Follower, members: Members
    ) -> None:
        self._node = node
        self._follower = follower
        self._members = members
        self.clients = PeerClients(_KEPT_CHANNELS)
        self._server = PeerServer(self._answer, self._collect)
        self._heard: dict[str, PeerView] = {}

    async def start(self) -> int:
        """Listen for other nodes; return the port."""
        peers = self._node.settings.peers
        try:
            return await self._server.start(peers.host, peers.port)
        except PeerError as exc:
            raise ListenError(peers.host, peers.port, exc) from exc

    async def run(self) -> None:
        """Exchange words with a few other nodes, for ever."""
        while True:
            await asyncio.sleep(spread(EVERY_S))
            await asyncio.gather(
                *(self._talk(address) for address in self._pick_partners())
            )

    async def stop(self) -> None:
        """Stop talking and listening."""
        await self.clients.close()
        await self._server.stop()

    async def ask_all(self) -> list[dict[str, Any]]:
        """Ask every known node which version it has in force."""
        members = list(self._members.others.values())
        answers = await asyncio.gather(
            *(self._talk(member.peer_address) for member in members)
        )
        found = [
            {
                'node': member.node_id,
                'version': answer.version if answer else None,
            }
            for member, answer in zip(members, answers, strict=True)
        ]
        own = {
            'node': self._node.node_id,
            'version': self._follower.view.version,
        }
        return [own, *found]

    def describe(self) -> list[dict[str, Any]]:
        """Return what the peers last said."""
        return [asdict(view) for view in self._heard.values()]

    def _pick_partners(self) -> list[str]:
        known = [
            member.peer_address for member in self._members.others.values()
        ]
        known = known or list(self._node.settings.peers.seeds)
        return random.sample(known, min(PARTNERS, len(known)))

    async def _talk(self, address: str) -> Word | None:
        answer = await self.clients.exchange(address, self._build_word())
        if isinstance(answer, Err):
            _LOG.debug('no word', extra={'reason': str(answer.err_value)})
            return None
        self._hear(answer.ok_value)
        return answer.ok_value

    def _answer(self, word: Word) -> Word:
        """Answer a peer's word with all that it lacks."""
        self._hear(word)
        answer = self._build_word()
        view = self._follower.view
        if word.version < view.version:
            changes = view.list_after(word.version)
            if changes is None:
                answer.document = json.dumps(view.document).encode()
            else:
                answer.changes = [
                    json.dumps(change.to_json()).encode() for change in changes
                ]
        return answer

    async def _collect(self, batch: Batch) -> list[Verdict]:
        claims = self._node.claims
        return [] if claims is None else await claims.collect(batch)

    def _hear(self, word: Word) -> None:
        now = self._node.loop.time()
        self._forget_silent(now)
        self._heard[word.node] = PeerView(
            word.node, word.version, word.store_read_age_s, now
        )
        self._follower.evidence.note_peer(
            word.node, now, word.store_read_age_s, word.version
        )
        self._follower.view.note_known(word.version)
        if word.document:
            self._follower.install(word.version, json.loads(word.document))
        for change in word.changes:
            self._follower.offer(parse_change(json.loads(change)))
        self._take_evidence(word)
        if word.leaving:
            self._node.apply(VmListRead(frozenset(), frozenset(word.leaving)))

    def _take_evidence(self, word: Word) -> None:
        if not word.evidence:
            return
        try:
            records = decode_told(word.evidence)
        except UnreadableEvidenceError as exc:
            _LOG.warning(
                'evidence is unreadable',
                extra={'node': word.node, 'error': str(exc)},
            )
            return
        self._node.apply(EvidenceTold(records))

    def _forget_silent(self, now: float) -> None:
        for name, view in tuple(self._heard.items()):
            if now - view.heard_at > FORGET_AFTER_S:
                self._heard.pop(name)

    def _encode_evidence(self, now: float) -> bytes:
        state = self._node.router.state
        state.quarantine.forget(now)
        records = list_evidence(state, now, _MOST_EVIDENCE)
        return encode_told(records) if records else b''

    def _build_word(self) -> Word:
        node = self._node
        now = node.loop.time()
        age_s = min(_NEVER_S, self._follower.evidence.own_age_s(now))
        return Word(
            node.node_id,
            self._follower.view.version,
            age_s,
            draining=node.router.state.draining,
            leaving=list_leaving(node.router.state),
            evidence=self._encode_evidence(now),
        )
