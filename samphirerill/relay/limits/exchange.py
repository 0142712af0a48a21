"""Exchange request limits and permits with the other nodes.

What a replica says about its limit is broadcast at once. One node grants the
permits of a replica; the others ask it while they have requests for the replica.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError

from samphirerill.fleet.model import MS_PER_S
from samphirerill.node.logs import get_logger
from samphirerill.relay.datagrams import DatagramDeduplicator
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.limits.broadcasting import LimitBroadcaster
from samphirerill.relay.limits.granters import GranterChoice
from samphirerill.relay.limits.granting import PermitGranter
from samphirerill.relay.limits.messages import (
    TYPE_PREFIX,
    LimitMessage,
    count_ms,
    decode_message,
    encode_limit,
    encode_message,
)
from samphirerill.relay.limits.requesting import PermitRequester
from samphirerill.relay.replica_ids import checksum_name

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping
    from typing import TypeVar

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.datagrams import DatagramSender
    from samphirerill.relay.limits.context import ExchangeContext
    from samphirerill.relay.limits.messages import LimitEntries, LimitEntry

    Entry = TypeVar('Entry')

_LOG = get_logger('limits')
_MAX_AGE_MS = 60_000
# Higher rates, and those that are no number, are damaged.
_MAX_RATE_PER_S = 1e10
_MAX_LIFETIME_MS = 60_000
_MAX_COUNT = 64


class PermitExchange:
    """Sends and receives the messages about limits and permits.

    Parameters
    ----------
    state : ExchangeContext
        Holds the limits and the view of the fleet.
    """

    type_prefix = TYPE_PREFIX

    def __init__(self, state: ExchangeContext) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._datagram_sender: DatagramSender | None = None
        self._deduplicator = DatagramDeduplicator()
        self._invalid = InvalidEntries(_LOG, 'cannot decode limits', 'sender')
        self._sequence = 0
        self._broadcaster = LimitBroadcaster(state, self._broadcast)
        self._granters = GranterChoice(state)
        self._granter = PermitGranter(state, self._granters, self._answer)
        self._requester = PermitRequester(
            state, self._granters, self._ask, self._give_back
        )
        state.request_limits.bind(self)

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Send through this sender from now on."""
        self._datagram_sender = datagram_sender
        self._granters.bind(datagram_sender)

    def broadcast_limit(self, replica: Replica) -> None:
        """Tell the other nodes what a replica has said about its limit."""
        self._broadcaster.add(replica)

    def refresh(self) -> None:
        """Ask for the permits that are needed."""
        self._requester.refresh()

    def sweep(self) -> None:
        """Forget replicas without a limit; repeat the limits of the others."""
        self._state.request_limits.remove_ended()
        self._requester.remove_ended()
        self._granter.remove_ended()
        self._granters.remove_ended()
        self._broadcaster.remove_ended()
        self._broadcaster.repeat(self._granter.list_replicas())

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Apply a message of another node."""
        try:
            message = decode_message(data)
        except DecodeError as exc:
            self._invalid.note(sender, str(exc))
            return
        is_new = self._deduplicator.record(
            message.node, message.started, message.sequence
        )
        if message.node == self._state.settings.name or not is_new:
            return
        if message.is_broadcast and self._datagram_sender is not None:
            self._datagram_sender.forward_from(sender, data)
        self._granters.note_reachable(message.node)
        self._apply_limits(message)
        self._apply_requests(message)
        self._apply_answers(message)

    def _apply_limits(self, message: LimitMessage) -> None:
        now = self._loop.time()
        for replica, entry in self._resolve(message.limits):
            if not _is_applicable(replica, entry):
                continue
            _, rate, age_ms = entry
            if message.is_broadcast:
                self._broadcaster.note_told(replica, rate)
            self._state.request_limits.apply(
                replica,
                None if rate < 0 else rate,
                now - age_ms / MS_PER_S,
                message.node,
            )
        if message.limits:
            self._state.notify_listeners()

    def _apply_requests(self, message: LimitMessage) -> None:
        for replica, (count, lifetime_ms) in self._resolve(message.wanted):
            if not self._granters.is_own(replica):
                self._decline(replica, message.node)
                continue
            lifetime_s = min(_MAX_LIFETIME_MS, lifetime_ms) / MS_PER_S
            self._granter.handle_wanted(
                replica,
                message.node,
                max(0, min(_MAX_COUNT, count)),
                self._loop.time() + lifetime_s,
            )
        for returning, returned in self._resolve(message.returned):
            if 0 < returned <= _MAX_COUNT:
                self._granter.handle_returned(returning, returned)

    def _apply_answers(self, message: LimitMessage) -> None:
        for replica, (count, wait_ms, interval_ms) in self._resolve(
            message.granted
        ):
            self._requester.handle_answer(replica, message.node)
            self._requester.receive(
                replica,
                max(0, min(_MAX_COUNT, count)),
                wait_ms / MS_PER_S,
                interval_ms / MS_PER_S,
            )
        for declined, _ in self._resolve(dict.fromkeys(message.declined)):
            self._requester.handle_declined(declined, message.node)

    def _broadcast(self, limits: LimitEntries) -> None:
        if self._datagram_sender is not None:
            message = self._build()
            message.is_broadcast = True
            message.limits = limits
            self._datagram_sender.send_to_all(encode_message(message))

    def _ask(
        self, replica: Replica, node: str, count: int, until: float
    ) -> None:
        """Ask a node, maybe this one, for permits; none ends the wait."""
        if node == self._state.settings.name:
            self._granter.handle_wanted(replica, node, count, until)
            return
        lifetime_ms = count_ms(until - self._loop.time())
        message = self._build_about(replica)
        message.wanted = {
            checksum_name(replica.replica_id): (count, lifetime_ms)
        }
        self._send(node, message)

    def _give_back(self, replica: Replica, node: str, count: int) -> None:
        if node == self._state.settings.name:
            self._granter.handle_returned(replica, count)
            return
        message = self._build()
        message.returned = {checksum_name(replica.replica_id): count}
        self._send(node, message)

    def _answer(
        self,
        replica: Replica,
        node: str,
        count: int,
        wait_s: float,
        interval_s: float,
    ) -> None:
        if node == self._state.settings.name:
            self._requester.handle_answer(replica, node)
            self._requester.receive(replica, count, wait_s, interval_s)
            return
        message = self._build_about(replica)
        grant = (count, count_ms(wait_s), count_ms(interval_s))
        message.granted = {checksum_name(replica.replica_id): grant}
        self._send(node, message)

    def _decline(self, replica: Replica, node: str) -> None:
        """Answer that another node grants the permits of a replica."""
        message = self._build()
        message.declined = (checksum_name(replica.replica_id),)
        self._send(node, message)

    def _build_about(self, replica: Replica) -> LimitMessage:
        """Return a message that says what is known of a replica's limit."""
        message = self._build()
        limit = self._state.view.notices.find_limit(replica)
        if limit is not None:
            message.limits = encode_limit(replica, limit, self._loop.time())
        return message

    def _build(self) -> LimitMessage:
        self._sequence += 1
        return LimitMessage(
            self._state.settings.name, self._state.incarnation, self._sequence
        )

    def _send(self, node: str, message: LimitMessage) -> None:
        if self._datagram_sender is not None:
            self._datagram_sender.send_to_node(node, encode_message(message))

    def _resolve(
        self, entries: Mapping[int, Entry]
    ) -> Iterator[tuple[Replica, Entry]]:
        """Yield the announced replicas among the keys of a message."""
        for key, entry in entries.items():
            name = self._state.replica_names.get(key)
            known = self._state.view.replicas.get(name or '')
            if known is not None:
                yield known.replica, entry


def _is_applicable(replica: Replica, entry: LimitEntry) -> bool:
    """Return whether an entry is undamaged and about this process."""
    started_ms, rate, age_ms = entry
    if not 0 <= age_ms <= _MAX_AGE_MS or not rate <= _MAX_RATE_PER_S:
        return False
    return not replica.is_different_process(started_ms)
