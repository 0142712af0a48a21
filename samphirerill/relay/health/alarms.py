"""Tell all nodes at once which replicas were found dead, or work after all.

What nodes tell each other of load waits for more to tell, up to half a second in a
large fleet; in that time every node would run into the same dead replicas. An alarm
is a datagram of its own. It names replicas that its sender has found silent, each
with how long ago, or that have answered it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, ValidationError, msgpack

from samphirerill.fleet.model import MS_PER_S
from samphirerill.fleet.suspicion import SURE_VOTES
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.words import read_word, take_word
from samphirerill.relay.messages import checksum_name
from samphirerill.relay.post import Arrivals

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping
    from typing import TypeVar

    from samphirerill.relay.post import DatagramSender
    from samphirerill.relay.state import EdgeState

    Said = TypeVar('Said')

_LOG = get_logger('alarms')
# No other datagram begins so: its first byte is no message of the encoding.
TYPE_PREFIX = b'\xc1A'
# Words that are older were held up on their way; the sender has told anew.
_OLDEST_MS = 1000
# No node avoids a replica for longer by the word of another.
_MOST_AVOIDED_MS = 4000
# A datagram may have been so long on its way: what it tells is no later than that.
_WAY_MS = 50


class Alarm(Struct, array_like=True):
    """What one node has found out; replicas by the checksums of their ids.

    `number` grows with each of one start of a node. `dead` maps replicas to
    how many milliseconds ago they were found silent, for how many more they
    are avoided, and the votes that this is. `heard` maps those that have
    answered to how many milliseconds ago.
    """

    node: str
    data_centre: str
    started: int
    number: int
    dead: dict[int, tuple[int, int, int]]
    heard: dict[int, int]


class Alarms:
    """Tells and hears alarms.

    Parameters
    ----------
    state : EdgeState
        Replicas, and what is held against them.
    """

    def __init__(self, state: EdgeState) -> None:
        self._state = state
        self._loop = asyncio.get_running_loop()
        self._datagram_sender: DatagramSender | None = None
        self._number = 0
        self._dead: set[str] = set()
        self._arrivals = Arrivals()

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Tell by these ways from now on."""
        self._datagram_sender = datagram_sender

    def list_nodes(self) -> Mapping[str, str]:
        """Return the data centres of all nodes, by name, with this one."""
        if self._datagram_sender is not None:
            return self._datagram_sender.list_nodes()
        settings = self._state.settings
        return {settings.name: settings.data_centre}

    def tell_dead(self, replica_id: str) -> None:
        """Tell all nodes soon, together with what is found at this moment."""
        if not self._dead:
            self._loop.call_soon(self._send_dead)
        self._dead.add(replica_id)

    def tell_heard(self, heard: Mapping[str, float]) -> None:
        """Tell all nodes that replicas work which were taken to be dead.

        Parameters
        ----------
        heard : mapping of str to float
            When each was last known to work.
        """
        if heard and self._datagram_sender is not None:
            self._datagram_sender.send_to_all(self._encode({}, heard))

    def report_heard(self, node: str, heard: Mapping[str, float]) -> None:
        """Tell one node who has answered."""
        if heard and node and self._datagram_sender is not None:
            self._datagram_sender.send_to_node(node, self._encode({}, heard))

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Take an alarm of another node."""
        try:
            alarm = msgpack.decode(data[len(TYPE_PREFIX) :], type=Alarm)
        except (DecodeError, ValidationError) as exc:
            _LOG.warning('alarm is unreadable', extra={'error': str(exc)})
            return
        if alarm.node == self._state.settings.name or self._has_come(alarm):
            return
        if self._datagram_sender is not None:
            self._datagram_sender.forward_from(sender, data)
        self._take_heard(alarm)
        self._take_dead(alarm)
        self._state.notify()

    def _send_dead(self) -> None:
        now = self._loop.time()
        dead = {}
        for replica_id in self._dead:
            found = self._state.view.known.get(replica_id)
            word = None if found is None else found.suspicion.get_own()
            if word is not None:
                dead[checksum_name(replica_id)] = (
                    _to_ms(now - word.since),
                    _to_ms(word.until - now),
                    word.votes,
                )
        self._dead.clear()
        if dead and self._datagram_sender is not None:
            self._state.counters['alarms.sent'] += 1
            self._datagram_sender.send_to_all(self._encode(dead, {}))

    def _encode(
        self,
        dead: dict[int, tuple[int, int, int]],
        heard: Mapping[str, float],
    ) -> bytes:
        self._number += 1
        now = self._loop.time()
        settings = self._state.settings
        alarm = Alarm(
            settings.name,
            settings.data_centre,
            self._state.start_number,
            self._number,
            dead,
            {
                checksum_name(name): _to_ms(now - at)
                for name, at in heard.items()
            },
        )
        return TYPE_PREFIX + msgpack.encode(alarm)

    def _has_come(self, alarm: Alarm) -> bool:
        """Return whether an alarm came before."""
        return not self._arrivals.note(alarm.node, alarm.started, alarm.number)

    def _take_heard(self, alarm: Alarm) -> None:
        now = self._loop.time()
        for name, ago_ms in self._resolve(alarm.heard):
            if 0 <= ago_ms <= _OLDEST_MS:
                at = now - ago_ms / MS_PER_S
                self._state.view.loss_round.note_heard(name, at)
                self._state.view.trust(name, at - _WAY_MS / MS_PER_S)

    def _take_dead(self, alarm: Alarm) -> None:
        for name, (ago_ms, left_ms, votes) in self._resolve(alarm.dead):
            if not 0 <= ago_ms <= _OLDEST_MS or votes < 1:
                continue
            word = read_word(
                alarm,
                ago_ms + _WAY_MS,
                min(left_ms, _MOST_AVOIDED_MS),
                min(votes, SURE_VOTES),
            )
            if take_word(self._state, name, word):
                _LOG.warning(
                    'replica avoided',
                    extra={'replica': name, 'reason': f'{alarm.node} says so'},
                )

    def _resolve(self, said: Mapping[int, Said]) -> Iterable[tuple[str, Said]]:
        """Return what is said of the replicas that are known here."""
        for key, what in said.items():
            name = self._state.names.get(key)
            if name is not None:
                yield name, what


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * MS_PER_S))
