"""Changes of the store, passed on from the nodes that watch it to the others.

A watcher keeps the latest changes; another node asks it for those after a
revision and waits, as it would at the store. The answer is incomplete if the
watcher does not hear the store itself, or no longer has that history: then the
other node asks the store.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from msgspec import DecodeError, ValidationError, msgpack

from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.watchers import choose_other, choose_watcher
from samphirerill.node.logs import get_logger
from samphirerill.relay.change_log import ChangeLog, News, Present
from samphirerill.relay.errors import (
    BrokenAnswerError,
    DeafWatcherError,
    EndpointError,
    TooLargeError,
)
from samphirerill.relay.listeners import PageHandler, read_revision
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import TypeVar

    from samphirerill.platform.store import Changes
    from samphirerill.relay.listeners import Page
    from samphirerill.relay.server import CallerConnection, Request

    Form = TypeVar('Form')

_LOG = get_logger('news')
_OK = 200
_GONE = 410
_TOO_LARGE = 413
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_NOT_FOUND = 404
# The number is that of the form of the answer: while a fleet changes over to
# another form, who asks for it finds nothing at nodes that tell the other one.
_PATH = b'/changes/2'
_PRESENT_PATH = b'/present/1'
# How long a call waits for news. Shorter than at the store, as it costs nothing
# there: a watcher that stands still is noticed sooner.
_WAIT_S = 0.7
_SLACK_S = 0.3
# How long a watcher that failed is not asked again; one that has died stays announced
# for up to twelve seconds.
_AVOID_S = 6.0
# A node that has just started asks watchers that fail again sooner: all nodes of a
# fleet start at once, and watchers are there a second later than others.
_STARTING_S = 3.0
_AVOID_STARTING_S = 0.5
# A watcher that says that it does not hear the store is asked again so soon: it costs
# the store nothing, and it is the first to know when the store is back.
_AVOID_DEAF_S = 0.5
# A node that the store failed, and that others watch for, asks it again after so long,
# longer each time up to the last; the watchers go on asking. When the store was away
# for eight seconds each of 22 nodes asked it 16 times. No longer, as all watchers may
# die meanwhile, and a configuration must be in force within seconds of its return.
_FIRST_PUT_OFF_S = 2.0
_MOST_PUT_OFF_S = 2.5
# Put off together, nodes must not ask together.
_SPREAD = 0.2
# A watcher that the store turned away listens at another one for so long. Asking the
# store twice a second, three such nodes made a third of the calls of 22.
_TURNED_AWAY_S = 2.0
# Others may hear the same news earlier: a watcher gathers changes for a quarter of
# a second, and so does who listens at it. If they still know more after this, a
# node asks the store itself for a while. With 0.3 s, 78 nodes on a calm day made
# 1,780 calls to the store, with this 1,200.
BEHIND_S = 0.7
_DISTRUST_S = 3.0


class PeerPages(PageHandler):
    """What other nodes may ask this one.

    Parameters
    ----------
    pages : dict
        Pages that need no waiting; each takes the query.
    log : ChangeLog
        What is passed on.
    hears_store : callable
        Returns whether this node itself hears the store.
    """

    def __init__(
        self,
        pages: dict[bytes, Callable[[bytes], Page]],
        log: ChangeLog,
        hears_store: Callable[[], bool],
    ) -> None:
        super().__init__({})
        self._given = pages
        self._log = log
        self._hears_store = hears_store

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        """Answer with a page, or with news."""
        path, _, query = req.target.partition(b'?')
        give = self._given.get(path)
        if path == _PATH:
            status, body = await self._find_news(query)
        elif path == _PRESENT_PATH:
            status, body = self._find_present(query)
        elif give is None:
            status, body = _NOT_FOUND, b''
        else:
            status, body = give(query)
        conn.answer(status, [], body)

    async def _find_news(self, query: bytes) -> Page:
        after = read_revision(query)
        if after < 0:
            return _BAD_REQUEST, b''
        if self._hears_store() and not self._log.is_too_late_for(after):
            await self._log.wait(after, _WAIT_S)
        if not self._hears_store():
            return _UNAVAILABLE, b''
        # The log may have begun anew during the wait, and then lacks what
        # changed before. To answer from it made 14 of 69 nodes miss a
        # configuration, and refuse its routes until another node told them.
        if not self._log.has(after):
            return _GONE, b''
        news = self._log.encode_after(after)
        return (_TOO_LARGE, b'') if news is None else (_OK, news)

    def _find_present(self, query: bytes) -> Page:
        after = read_revision(query)
        if after < 0:
            return _BAD_REQUEST, b''
        if not self._hears_store():
            return _UNAVAILABLE, b''
        present = self._log.encode_present(after)
        return (_GONE, b'') if present is None else (_OK, present)


class NewsSource:
    """Where this node hears of changes: the store, or a watcher.

    Parameters
    ----------
    own : str
        The node's name.

    Attributes
    ----------
    log : ChangeLog
        What this node has heard.
    """

    def __init__(self, own: str) -> None:
        self.log = ChangeLog()
        self._own = own
        self._loop = asyncio.get_running_loop()
        self._peers: Mapping[str, str] = {}
        self._avoid_until: dict[str, float] = {}
        # The revision at which this node was last behind others, and when.
        self._late_revision = 0
        self._late_since = 0.0
        self._distrust_until = 0.0
        self._turned_away_until = float('-inf')
        self._random = Random(own)
        self._put_off_s = 0.0
        self._ask_store_at = float('-inf')
        self._settled_at = self._loop.time() + _STARTING_S

    def take_peers(self, peers: Mapping[str, str]) -> None:
        """Take the announced nodes, and where each takes calls."""
        self._peers = peers

    def note_store(self, *, answers: bool) -> None:
        """The store has answered this node, or did not, or not well."""
        if answers:
            self._put_off_s = 0.0
            self._ask_store_at = float('-inf')
            self._turned_away_until = float('-inf')
            return
        now = self._loop.time()
        self._turned_away_until = now + _TURNED_AWAY_S
        longer_s = max(_FIRST_PUT_OFF_S, 2 * self._put_off_s)
        self._put_off_s = min(_MOST_PUT_OFF_S, longer_s)
        spread = 1 + _SPREAD * self._random.random()
        self._ask_store_at = now + self._put_off_s * spread

    def may_ask_store(self) -> bool:
        """Return whether this node should ask the store itself now.

        One that watches it for others always may, and one that knows no others.
        """
        if self._loop.time() >= self._ask_store_at:
            return True
        return not choose_watcher(self._own, self._peers, ())

    def is_turned_away(self) -> bool:
        """Return whether the store has just failed this node.

        What it hears then comes from other nodes; passed on as if it came from
        the store, two such nodes would tell each other that nothing happens.
        """
        return self._loop.time() < self._turned_away_until

    def is_starting(self) -> bool:
        """Return whether this node may not know the others yet."""
        return self._loop.time() < self._settled_at

    def choose(self) -> str:
        """Return the watcher to listen at; empty for the store itself."""
        now = self._loop.time()
        if now < self._distrust_until:
            return ''
        avoid = {
            name for name, until in self._avoid_until.items() if until > now
        }
        if self.is_turned_away():
            return choose_other(self._own, self._peers, avoid)
        return choose_watcher(self._own, self._peers, avoid)

    def note_others(self, known: int, own: int) -> None:
        """Compare what another node knows with what this one does.

        A watcher may be deaf without noticing; the others then know more, and
        go on knowing more.

        Parameters
        ----------
        known, own : int
            Revisions of the store that the other node and this one know.
        """
        now = self._loop.time()
        if known <= own:
            return
        if self._late_revision < own:
            self._late_revision = own
            self._late_since = now
        elif now >= self._late_since + BEHIND_S:
            self._distrust_until = now + _DISTRUST_S

    async def watch(self, watcher: str, after: int) -> Changes:
        """Wait at a watcher for changes; raise ``EndpointError`` if it fails.

        One whose changes are only too large to be passed on is asked for the
        next ones again.
        """
        try:
            return await self._ask(self._peers[watcher], after)
        except TooLargeError:
            raise
        except DeafWatcherError:
            self._avoid_until[watcher] = self._loop.time() + _AVOID_DEAF_S
            raise
        except EndpointError:
            avoid_s = _AVOID_STARTING_S if self.is_starting() else _AVOID_S
            self._avoid_until[watcher] = self._loop.time() + avoid_s
            raise

    async def _ask(self, address: str, after: int) -> Changes:
        deadline = self._loop.time() + _WAIT_S + _SLACK_S
        path = b'%b?after=%d' % (_PATH, after)
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status == _GONE:
            return await self._catch_up(address, after)
        if status == _TOO_LARGE:
            raise TooLargeError(f'{address}: leaves it to the store')
        if status == _UNAVAILABLE:
            raise DeafWatcherError(f'{address}: does not hear the store')
        if status != _OK:
            raise BrokenAnswerError(f'{address}: got status {status}')
        return _decode(address, body, News, self.log.decode)

    async def _catch_up(self, address: str, after: int) -> Changes:
        """Take what there is at a watcher that lacks the history."""
        deadline = self._loop.time() + _SLACK_S
        path = b'%b?after=%d' % (_PRESENT_PATH, after)
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status != _OK:
            raise BrokenAnswerError(f'{address}: got status {status}')
        changes = _decode(address, body, Present, self.log.decode_present)
        _LOG.info(
            'caught up at a watcher',
            extra={'after': after, 'revision': changes.revision},
        )
        return changes


def _decode(
    address: str,
    body: bytes,
    form: type[Form],
    read: Callable[[Form], Changes],
) -> Changes:
    """Return the changes that a watcher's answer tells."""
    try:
        return read(msgpack.decode(body, type=form))
    except (DecodeError, ValidationError, DeltaError) as exc:
        raise BrokenAnswerError(f'{address}: {exc}') from exc
