"""Tell the other nodes what is known against requests.

News goes to all nodes at once. Datagrams are lost, nodes start later or were cut
off; so each node also tells a few others all that matters from time to time.
"""

from __future__ import annotations

import asyncio
from itertools import islice
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, ValidationError, msgpack

from samphirerill.node.logs import get_logger
from samphirerill.quarantine.book import SUSPECT_DEATHS
from samphirerill.quarantine.messages import (
    UnreadableEvidenceError,
    build_told,
    decode_told,
    encode_told,
)
from samphirerill.relay.post import DatagramDeduplicator
from samphirerill.relay.quarantine.trials import TRIAL_S, Trials

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from samphirerill.quarantine.messages import ToldRecord
    from samphirerill.relay.post import DatagramSender
    from samphirerill.relay.quarantine.keeper import Keeper
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
# No other datagram begins so: its first byte is no message of the encoding.
TYPE_PREFIX = b'\xc1Q'
# News waits for more of the same moment: an end breaks off many requests.
_GATHER_S = 0.01
# A datagram of so many records stays within what a network carries whole.
_MOST_AT_ONCE = 10
# News of one moment; what else broke off then will be seen again if it matters.
_MOST_NEWS = 40
# How often a node tells others all that matters, and how many: whoever missed the
# news hears it within a second or two, at 1 KB a second for each node.
_EACH_S = 0.7
_PARTNERS = 2
# How long the news of a single end is told again.
_NEWS_S = 5.0


class Evidence(Struct, array_like=True):
    """A datagram; `number` grows with each of one start of a node.

    `trial` is the replica to which a suspect is sent at this moment. `is_news`
    is whether it should reach all nodes: what is told to a few again and again
    would else be passed on to a whole data centre each time, and fill its links.
    """

    node: str
    started: int
    number: int
    records: bytes
    trial: str = ''
    is_news: bool = True


class Sharing:
    """Tells evidence and hears it.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine.
    keeper : Keeper
        Takes what others tell.
    """

    type_prefix = TYPE_PREFIX

    def __init__(self, state: EdgeState, keeper: Keeper) -> None:
        self._state = state
        self._keeper = keeper
        self._loop = asyncio.get_running_loop()
        self._datagram_sender: DatagramSender | None = None
        self._deduplicator = DatagramDeduplicator()
        self._number = 0
        self._fresh: dict[bytes, None] = {}
        self.trials = Trials()

    def bind(self, datagram_sender: DatagramSender) -> None:
        """Tell by these ways from now on."""
        self._datagram_sender = datagram_sender

    def tell(self, requests: Iterable[bytes]) -> None:
        """Tell all nodes soon what is known of some requests."""
        if not self._fresh:
            self._loop.call_later(_GATHER_S, self._tell_fresh)
        self._fresh.update(dict.fromkeys(requests))

    def tell_trial(self, replica_id: str) -> None:
        """Tell all nodes at once that a suspect is sent to a replica."""
        self._note_trial(replica_id)
        if self._datagram_sender is not None:
            self._datagram_sender.send_to_all(self._encode([], replica_id))

    def handle_datagram(self, data: bytes, sender: str) -> None:
        """Take what another node tells."""
        try:
            evidence = msgpack.decode(data[len(TYPE_PREFIX) :], type=Evidence)
            records = decode_told(evidence.records)
        except (DecodeError, ValidationError, UnreadableEvidenceError) as exc:
            _LOG.warning('evidence is unreadable', extra={'error': str(exc)})
            return
        is_own = evidence.node == self._state.settings.name
        is_new = self._deduplicator.record(
            evidence.node, evidence.started, evidence.number
        )
        if is_own or not is_new:
            return
        if self._datagram_sender is not None and evidence.is_news:
            self._datagram_sender.forward_from(sender, data)
        self._keeper.take_told(records)
        if evidence.trial:
            self._note_trial(evidence.trial)

    async def run(self) -> None:
        """Keep telling a few others all that matters."""
        while True:
            await asyncio.sleep(_EACH_S)
            self._state.quarantine.forget(self._loop.time())
            self._tell_few()

    def _note_trial(self, replica_id: str) -> None:
        now = self._loop.time()
        self.trials.begin(replica_id, now + TRIAL_S, now)

    def _tell_fresh(self) -> None:
        told = list(self._build(self._fresh))[:_MOST_NEWS]
        self._fresh = {}
        if self._datagram_sender is None:
            return
        for since in range(0, len(told), _MOST_AT_ONCE):
            batch = told[since : since + _MOST_AT_ONCE]
            self._datagram_sender.send_to_all(self._encode(batch))

    def _tell_few(self) -> None:
        if self._datagram_sender is None or not len(self._state.quarantine):
            return
        own = self._state.settings.name
        others = [
            name for name in self._datagram_sender.list_nodes() if name != own
        ]
        few = min(_PARTNERS, len(others))
        matters = list(islice(self._list_what_matters(), _MOST_AT_ONCE))
        if not matters:
            return
        data = self._encode(list(self._build(matters)), is_news=False)
        for name in self._state.random.sample(others, few):
            self._datagram_sender.send_to_node(name, data)

    def _list_what_matters(self) -> Iterator[bytes]:
        """Yield suspects, and others as long as the news may have been lost.

        After each end there are requests that saw just that one; told for as
        long as they are known, they would cost bytes all day.
        """
        since = self._loop.time() - _NEWS_S
        for request, record in self._state.quarantine.list_records():
            is_suspect = len(record.deaths) >= SUSPECT_DEATHS
            if record.deaths and (is_suspect or record.deaths[-1].at > since):
                yield request

    def _build(self, requests: Iterable[bytes]) -> Iterator[ToldRecord]:
        now = self._loop.time()
        for request in requests:
            record = self._state.quarantine.get_record(request)
            if record is not None:
                yield build_told(request, record, now)

    def _encode(
        self,
        records: list[ToldRecord],
        trial: str = '',
        *,
        is_news: bool = True,
    ) -> bytes:
        self._number += 1
        self._state.counters['quarantine.told'] += 1
        evidence = Evidence(
            self._state.settings.name,
            self._state.start_number,
            self._number,
            encode_told(records),
            trial,
            is_news,
        )
        return TYPE_PREFIX + msgpack.encode(evidence)
