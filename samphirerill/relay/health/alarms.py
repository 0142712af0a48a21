"""Broadcast at once which replicas do not answer, or want no requests.

Status datagrams are sent up to half a second late in a large fleet. An alarm is
a separate datagram that is sent immediately, so that other nodes do not send
requests to a failed replica meanwhile.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.replica_notices import (
    MAX_BACKOFF_S,
    note_leaving,
    note_reported_backoff,
)
from samphirerill.fleet.suspicion import CONFIRMING_VOTES
from samphirerill.node.logs import get_logger
from samphirerill.relay.datagrams import DatagramDeduplicator
from samphirerill.relay.health.remote_suspicions import (
    apply_silence_report,
    decode_silence_report,
)
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.replica_ids import checksum_name

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from typing import TypeVar

    from samphirerill.fleet.model import Replica
    from samphirerill.relay.datagrams import DatagramSender
    from samphirerill.relay.state import EdgeState

    Finding = TypeVar('Finding')

_LOG = get_logger('alarms')
# No other datagram begins so: 0xc1 is never used in MessagePack.
TYPE_PREFIX = b'\xc1A'
# Older entries were delayed; the sender has sent newer ones since.
_MAX_AGE_MS = 1000
# Bounds how long another node's suspicion counts here.
_MAX_SUSPECTED_MS = 4000
# Bounds how long another node's report of a slow replica counts here.
_MAX_SLOW_MS = 5000
_PERCENT = 100
# What replicas say of themselves within this goes into one alarm, up to a number.
_NOTICE_BATCH_S = 0.03
_MAX_NOTICES = 64
# Upper bound of transit time, as clocks of nodes are not compared.
_MAX_TRANSIT_MS = 50


class Alarm(Struct, array_like=True):
    """Datagram with the findings of one node; replicas are keyed by checksum.

    `started` identifies the process run of the node, and `sequence` increases
    with each alarm of that run. `suspected` maps replicas to how many
    milliseconds ago they were found unresponsive, for how many more they are
    avoided, and the votes of the suspicion. `alive` maps replicas that have
    answered to how many milliseconds ago. `backoffs` maps replicas that asked
    this node for a back-off to how many more milliseconds it lasts, and to the
    start of their process; `leaving` maps those that said that they are leaving
    to the latter. `slow` maps replicas that report to be slow to their slowness in
    percent, and to how many more milliseconds that is assumed.
    """

    node: str
    data_centre: str
    started: int
    sequence: int
    suspected: dict[int, tuple[int, int, int]]
    alive: dict[int, int]
    backoffs: dict[int, tuple[int, int]] = {}
    leaving: dict[int, int] = {}
    slow: dict[int, tuple[int, int]] = {}


_ALARM = build_msgpack_decoder(Alarm)


class Alarms:
    """Sends and receives alarms.

    Parameters
    ----------
    state : EdgeState
        The replicas and the suspicions about them.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._datagram_sender: DatagramSender | None = None
        self._sequence = 0
        self._suspected: set[str] = set()
        self._noticed: dict[str, Replica] = {}
        state.response_notices.bind(self.broadcast_notice)
        self._deduplicator = DatagramDeduplicator()
        self._invalid = InvalidEntries(_LOG, 'cannot decode alarm', 'sender')

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Send through this sender from now on."""
        self._datagram_sender = datagram_sender

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centre of each node by name, this one included."""
        if self._datagram_sender is not None:
            return self._datagram_sender.list_nodes()
        settings = self._state.settings
        return {settings.name: settings.data_centre}

    def broadcast_suspicion(self, replica_id: str) -> None:
        """Report a replica to all nodes.

        All that is found in one iteration of the event loop goes into one
        alarm.
        """
        if not self._suspected:
            self._loop.call_soon(self._send_suspected)
        self._suspected.add(replica_id)

    def broadcast_slow(self) -> None:
        """Report to all nodes the replicas that were newly found to be slow."""
        view = self._state.view
        now = self._loop.time()
        slow = {
            checksum_name(replica_id): (
                round(view.replicas[replica_id].slowness * _PERCENT),
                _to_ms(view.replicas[replica_id].slow_until - now),
            )
            for replica_id in view.newly_slow
            if replica_id in view.replicas
        }
        view.newly_slow.clear()
        if slow and self._datagram_sender is not None:
            self._state.counters['alarms.sent'] += 1
            alarm = self._build({}, {})
            alarm.slow = slow
            self._datagram_sender.send_to_all(_encode(alarm))

    def broadcast_notice(self, replica: Replica) -> None:
        """Report to all nodes what a replica has said about itself."""
        if not self._noticed:
            self._loop.call_later(_NOTICE_BATCH_S, self._send_notices)
        if len(self._noticed) < _MAX_NOTICES:
            self._noticed[replica.replica_id] = replica

    def broadcast_alive(self, alive: Mapping[str, float]) -> None:
        """Report to all nodes that suspected replicas work.

        Parameters
        ----------
        alive : mapping of str to float
            When each was last known to work.
        """
        if alive and self._datagram_sender is not None:
            self._datagram_sender.send_to_all(_encode(self._build({}, alive)))

    def send_alive(self, node: str, alive: Mapping[str, float]) -> None:
        """Report to one node which replicas work."""
        if alive and node and self._datagram_sender is not None:
            self._datagram_sender.send_to_node(
                node, _encode(self._build({}, alive))
            )

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Apply an alarm of another node."""
        try:
            alarm = _ALARM.decode(data[len(TYPE_PREFIX) :])
        except DecodeError as exc:
            self._invalid.note(sender, str(exc))
            return
        if alarm.node == self._state.settings.name or self._is_duplicate(alarm):
            return
        if self._datagram_sender is not None:
            self._datagram_sender.forward_from(sender, data)
        self._apply_alive(alarm)
        self._apply_suspected(alarm)
        self._apply_backoffs(alarm)
        self._apply_leaving(alarm)
        for name, (percent, left_ms) in self._resolve(alarm.slow):
            known = self._state.view.replicas.get(name)
            if known is not None:
                until = (
                    self._loop.time() + min(left_ms, _MAX_SLOW_MS) / MS_PER_S
                )
                known.note_reported_slowness(percent / _PERCENT, until)
        self._state.notify_listeners()

    def _send_suspected(self) -> None:
        now = self._loop.time()
        suspected = {}
        for replica_id in self._suspected:
            replica_state = self._state.view.replicas.get(replica_id)
            silence_report = (
                None
                if replica_state is None
                else replica_state.suspicion.get_own_report()
            )
            if silence_report is not None:
                suspected[checksum_name(replica_id)] = (
                    _to_ms(now - silence_report.since),
                    _to_ms(silence_report.until - now),
                    silence_report.votes,
                )
        self._suspected.clear()
        if suspected and self._datagram_sender is not None:
            self._state.counters['alarms.sent'] += 1
            self._datagram_sender.send_to_all(
                _encode(self._build(suspected, {}))
            )

    def _send_notices(self) -> None:
        now = self._loop.time()
        notices = self._state.view.notices
        backoffs = {}
        leaving = {}
        for replica in self._noticed.values():
            key = checksum_name(replica.replica_id)
            left_ms = _to_ms(notices.get_backoff_end(replica) - now)
            if left_ms:
                backoffs[key] = (left_ms, replica.started_ms)
            if notices.get_leaving_deadline(replica):
                leaving[key] = replica.started_ms
        self._noticed.clear()
        if self._datagram_sender is not None:
            self._state.counters['alarms.sent'] += 1
            alarm = self._build({}, {})
            alarm.backoffs = backoffs
            alarm.leaving = leaving
            self._datagram_sender.send_to_all(_encode(alarm))

    def _build(
        self,
        suspected: dict[int, tuple[int, int, int]],
        alive: Mapping[str, float],
    ) -> Alarm:
        self._sequence += 1
        now = self._loop.time()
        settings = self._state.settings
        return Alarm(
            settings.name,
            settings.data_centre,
            self._state.incarnation,
            self._sequence,
            suspected,
            {
                checksum_name(name): _to_ms(now - at)
                for name, at in alive.items()
            },
        )

    def _is_duplicate(self, alarm: Alarm) -> bool:
        """Return whether an alarm was received before."""
        return not self._deduplicator.record(
            alarm.node, alarm.started, alarm.sequence
        )

    def _apply_alive(self, alarm: Alarm) -> None:
        now = self._loop.time()
        for name, ago_ms in self._resolve(alarm.alive):
            if 0 <= ago_ms <= _MAX_AGE_MS:
                at = now - ago_ms / MS_PER_S
                self._state.view.current_failure.note_alive(name, at)
                self._state.view.note_alive(
                    name, at - _MAX_TRANSIT_MS / MS_PER_S
                )

    def _apply_suspected(self, alarm: Alarm) -> None:
        for name, (ago_ms, left_ms, votes) in self._resolve(alarm.suspected):
            if not 0 <= ago_ms <= _MAX_AGE_MS or votes < 1:
                continue
            silence_report = decode_silence_report(
                alarm,
                ago_ms + _MAX_TRANSIT_MS,
                min(left_ms, _MAX_SUSPECTED_MS),
                min(votes, CONFIRMING_VOTES),
            )
            if apply_silence_report(self._state, name, silence_report):
                _LOG.warning(
                    'replica suspected',
                    extra={
                        'replica': name,
                        'reason': f'reported by {alarm.node}',
                    },
                )

    def _apply_backoffs(self, alarm: Alarm) -> None:
        now = self._loop.time()
        for name, (left_ms, started_ms) in self._resolve(alarm.backoffs):
            left_s = min(MAX_BACKOFF_S, left_ms / MS_PER_S)
            note_reported_backoff(
                self._state.view, name, started_ms, now + left_s
            )

    def _apply_leaving(self, alarm: Alarm) -> None:
        state = self._state
        deadline = state.compute_leaving_deadline(self._loop.time())
        for name, started_ms in self._resolve(alarm.leaving):
            known = state.view.replicas.get(name)
            if known is None or known.replica.is_different_process(started_ms):
                continue
            if note_leaving(state.view, known.replica, deadline):
                _LOG.info(
                    'replica says that it is leaving',
                    extra={
                        'replica': name,
                        'reason': f'reported by {alarm.node}',
                    },
                )

    def _resolve(
        self, findings: Mapping[int, Finding]
    ) -> Iterable[tuple[str, Finding]]:
        """Yield the replicas that are known here, by id."""
        for key, finding in findings.items():
            name = self._state.replica_names.get(key)
            if name is not None:
                yield name, finding


def _encode(alarm: Alarm) -> bytes:
    return TYPE_PREFIX + msgpack.encode(alarm)


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))
