"""What nodes tell each other by datagram.

Replicas are named by the checksum of their id: at 40 replicas a datagram stays
under half a kilobyte.
"""

from __future__ import annotations

import asyncio
import zlib
from typing import TYPE_CHECKING

from msgspec import Struct

from samphirerill.fleet.budget import Use
from samphirerill.fleet.load import Held
from samphirerill.fleet.model import MS_PER_S

if TYPE_CHECKING:
    from samphirerill.fleet.pipes import Pair
    from samphirerill.fleet.suspicion import Word
    from samphirerill.fleet.view import FleetView
    from samphirerill.relay.state import EdgeState

_TOKENS_UNIT = 16


class Announced(Struct):
    """What a node writes into the store: addresses, ``IP:PORT``."""

    exchange: str
    peers: str
    data_centre: str = ''


class Told(Struct, array_like=True):
    """A datagram.

    `number` grows with each of one start of a node. `version` and `revision`
    are what it knows of the configuration and the replicas. `held` maps
    replicas to its requests there and their tokens, in units of 16; `avoided`
    to how many more milliseconds it takes them for dead, and how many votes that
    is; `silent` to how many milliseconds ago they were found silent. `pipes`
    holds milliseconds of transfer through each pipe since the node started. A
    sum of a data centre's nodes is told in the same form; `nodes` is how many.
    `uses` maps services to requests and repeats in the window of their budget,
    and streams under way.
    """

    node: str
    started: int
    number: int
    version: int
    revision: int
    held: dict[int, tuple[int, int]]
    avoided: dict[int, tuple[int, int]]
    pipes: list[tuple[str, str, int]]
    data_centre: str = ''
    nodes: int = 1
    uses: dict[str, tuple[int, int, int]] = {}
    silent: dict[int, int] = {}


class ReplicaNames:
    """Replica ids by their checksums, made anew when replicas change."""

    __slots__ = ('_names', '_version', '_view')

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._names: dict[int, str] = {}
        self._version = -1

    def get(self, key: int) -> str | None:
        """Return the id of a replica that is known here."""
        if self._version != self._view.ids_version:
            self._names = {
                checksum_name(name): name for name in self._view.known
            }
            self._version = self._view.ids_version
        return self._names.get(key)


class ToldWords:
    """What is said of silent replicas, as `Told` holds it."""

    __slots__ = ('avoided', 'silent')

    def __init__(self) -> None:
        self.avoided: dict[int, tuple[int, int]] = {}
        self.silent: dict[int, int] = {}


def list_words(state: EdgeState, data_centre: str = '') -> ToldWords:
    """Return what this node itself says of silent replicas.

    Parameters
    ----------
    state : EdgeState
        What this node knows.
    data_centre : str
        If given, what the other nodes there say counts too. What they told is
        dated by when it was found, so that it is not told as new again.
    """
    now = asyncio.get_running_loop().time()
    told = ToldWords()
    for name, found in state.view.known.items():
        words = [
            word
            for word in found.suspicion.words.values()
            if word.until > now and _is_from(word, data_centre)
        ]
        if words:
            key = checksum_name(name)
            until = max(word.until for word in words)
            votes = sum(word.votes for word in words)
            since = max(word.since for word in words)
            told.avoided[key] = (int((until - now) * MS_PER_S), votes)
            told.silent[key] = max(0, int((now - since) * MS_PER_S))
    return told


def _is_from(word: Word, data_centre: str) -> bool:
    return word.is_own or (
        bool(data_centre) and word.data_centre == data_centre
    )


def build_told(state: EdgeState, number: int, now: float) -> Told:
    """Return what this node has to tell."""
    held = {
        checksum_name(name): (part.requests, int(part.tokens) // _TOKENS_UNIT)
        for name, part in state.book.own().items()
    }
    words = list_words(state)
    return Told(
        node=state.settings.name,
        started=state.start_number,
        number=number,
        version=state.version,
        revision=state.view.revision,
        held=held,
        avoided=words.avoided,
        pipes=list_pipes(state.pipes.sent),
        data_centre=state.settings.data_centre,
        uses=_list_uses(state, now),
        silent=words.silent,
    )


def _list_uses(state: EdgeState, now: float) -> dict[str, tuple[int, int, int]]:
    uses = {}
    for service, budget in state.budgets.items():
        use = budget.find_use(now)
        uses[service] = (use.requests, use.repeats, use.streams)
    return uses


def list_pipes(sent: dict[Pair, float]) -> list[tuple[str, str, int]]:
    """Return milliseconds sent through each pipe as messages hold them."""
    pipes = []
    for pair, sent_ms in sent.items():
        one, other = sorted(pair)
        pipes.append((one, other, int(sent_ms)))
    return pipes


def take_told(state: EdgeState, told: Told, now: float) -> None:
    """Let what another node tells count here."""
    state.book.hear(told.node, _read_held(state.names, told), now, told.nodes)
    _take_pipes(state, told, now)
    for service, counts in told.uses.items():
        budget = state.get_budget(service)
        budget.others.hear(told.node, Use(*counts), now)


def _take_pipes(state: EdgeState, told: Told, now: float) -> None:
    node = f'{told.node}/{told.started}'
    is_near = told.data_centre == state.settings.data_centre
    for one, other, sent_ms in told.pipes:
        pair = frozenset((one, other))
        state.pipes.hear(node, pair, sent_ms, now, is_near=is_near)


def _read_held(names: ReplicaNames, told: Told) -> dict[str, Held]:
    held = {}
    for key, (count, units) in told.held.items():
        name = names.get(key)
        if name is not None:
            held[name] = Held(count, units * _TOKENS_UNIT)
    return held


def checksum_name(name: str) -> int:
    """Return the number that stands for a replica's id or a key in messages."""
    return zlib.crc32(name.encode())
