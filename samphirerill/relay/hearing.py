"""Take what other nodes tell by datagram."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from msgspec import DecodeError, ValidationError, msgpack

from samphirerill.fleet.gathering import name_sum
from samphirerill.node.logs import get_logger
from samphirerill.relay.health.alarms import MARK
from samphirerill.relay.health.words import take_words
from samphirerill.relay.messages import Told, take_told
from samphirerill.relay.roster import Peer

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.health.alarms import Alarms
    from samphirerill.relay.news import NewsSource
    from samphirerill.relay.peer_help import PeerHelp
    from samphirerill.relay.roster import Roster
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.telling import Telling

_LOG = get_logger('members')
_MARK_BYTES = 2


class Hearing(asyncio.DatagramProtocol):
    """The port on which other nodes tell.

    Parameters
    ----------
    state : EdgeState
        Load, replicas and pipes.
    roster : Roster
        The other nodes.
    telling : Telling
        Passes on what other data centres tell.
    news : NewsSource
        Told what others know.
    log : ChangeLog
        What this node knows.
    helper : PeerHelp
        Asks others for what the store does not bring.
    alarms : Alarms
        Takes what cannot wait.
    """

    def __init__(
        self,
        state: EdgeState,
        roster: Roster,
        telling: Telling,
        news: NewsSource,
        log: ChangeLog,
        helper: PeerHelp,
        alarms: Alarms,
    ) -> None:
        self._takers: dict[bytes, Callable[[bytes, str], None]] = {}
        self.listen_for(MARK, alarms.take)
        self._state = state
        self._roster = roster
        self._telling = telling
        self._news = news
        self._log = log
        self._help = helper
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        # Of each sender, its start and its last datagram's number.
        self._last: dict[str, tuple[int, int]] = {}

    async def start(self) -> None:
        """Open the port."""
        settings = self._state.settings
        await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(settings.host, settings.exchange_port)
        )

    def close(self) -> None:
        """Close the port."""
        if self._transport is not None:
            self._transport.close()

    def listen_for(
        self, mark: bytes, take: Callable[[bytes, str], None]
    ) -> None:
        """Let something else take the datagrams that begin with a mark."""
        self._takers[mark] = take

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Let others be told through the same port."""
        # The loop's own class does not say that it is one for datagrams.
        self._transport = cast('asyncio.DatagramTransport', transport)
        self._telling.begin(self._transport)

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Take what another node tells."""
        taker = self._takers.get(data[:_MARK_BYTES])
        if taker is not None:
            taker(data, f'{addr[0]}:{addr[1]}')
            return
        try:
            told = msgpack.decode(data, type=Told)
        except (DecodeError, ValidationError) as exc:
            _LOG.warning('datagram is unreadable', extra={'error': str(exc)})
            return
        if told.node == self._state.settings.name or self._is_old(told):
            return
        sender = f'{addr[0]}:{addr[1]}'
        if told.node == name_sum(told.data_centre):
            self._take_sum(told, data, sender)
        else:
            self._take_one(told, sender)

    def error_received(self, exc: Exception) -> None:
        """A datagram did not arrive; the next one says the same."""
        self._state.counters['datagrams.refused'] += 1

    def _is_old(self, told: Told) -> bool:
        """Return whether later news came before; datagrams may overtake."""
        last = self._last.get(told.node, (0, 0))
        if told.started == last[0] and told.number <= last[1]:
            return True
        self._last[told.node] = (told.started, told.number)
        return False

    def _take_one(self, told: Told, sender: str) -> None:
        peer = self._roster.get(told.node)
        if peer is None:
            port = self._state.settings.peers.rpartition(':')[2]
            host = sender.rpartition(':')[0]
            peer = Peer(
                sender, f'{host}:{port}', told.data_centre, announced=False
            )
            self._roster.add(told.node, peer)
        peer.heard_at = self._loop.time()
        peer.told = told
        if told.data_centre != self._state.settings.data_centre:
            self._state.forget_told(name_sum(told.data_centre))
        self._take(told)
        self._help.consider(peer.peers, told.version, told.revision)

    def _take_sum(self, told: Told, data: bytes, sender: str) -> None:
        """Take another data centre's sum; pass it on if it came from there."""
        if told.data_centre == self._state.settings.data_centre:
            return
        if sender not in self._roster.list_near(self._loop.time()):
            self._telling.pass_on(data)
        for name in self._roster.list_names(told.data_centre):
            self._state.forget_told(name)
        self._take(told)

    def _take(self, told: Told) -> None:
        take_told(self._state, told, self._loop.time())
        take_words(self._state, told)
        self._state.notify()
        self._news.note_others(told.revision, self._log.revision)
