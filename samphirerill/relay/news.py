"""Changes of the store, passed on from the nodes that watch it to the others.

A watcher keeps the latest changes; another node asks it for those after a
revision and waits, as it would at the store. The answer is incomplete if the
watcher does not hear the store itself, or no longer has that history: then the
other node asks the store.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from msgspec import DecodeError, ValidationError, msgpack

from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.watchers import choose_watcher
from samphirerill.relay.change_log import ChangeLog, News
from samphirerill.relay.errors import (
    BrokenAnswerError,
    EndpointError,
    TooLargeError,
)
from samphirerill.relay.listeners import PageHandler, read_revision
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from samphirerill.platform.store import Changes
    from samphirerill.relay.listeners import Page
    from samphirerill.relay.server import CallerConnection, Request

_OK = 200
_GONE = 410
_TOO_LARGE = 413
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_NOT_FOUND = 404
# The number is that of the form of the answer: while a fleet changes over to
# another form, who asks for it finds nothing at nodes that tell the other one.
_PATH = b'/changes/2'
# How long a call waits for news. Shorter than at the store, as it costs nothing
# there: a watcher that stands still is noticed sooner.
_WAIT_S = 0.7
_SLACK_S = 0.3
# How long a watcher that failed is not asked again.
_AVOID_S = 3.0
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
        elif give is None:
            status, body = _NOT_FOUND, b''
        else:
            status, body = give(query)
        conn.answer(status, [], body)

    async def _find_news(self, query: bytes) -> Page:
        after = read_revision(query)
        if after < 0:
            return _BAD_REQUEST, b''
        if self._hears_store() and self._log.has(after):
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

    def take_peers(self, peers: Mapping[str, str]) -> None:
        """Take the announced nodes, and where each takes calls."""
        self._peers = peers

    def choose(self) -> str:
        """Return the watcher to listen at; empty for the store itself."""
        now = self._loop.time()
        if now < self._distrust_until:
            return ''
        avoid = {
            name for name, until in self._avoid_until.items() if until > now
        }
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
        except EndpointError:
            self._avoid_until[watcher] = self._loop.time() + _AVOID_S
            raise

    async def _ask(self, address: str, after: int) -> Changes:
        deadline = self._loop.time() + _WAIT_S + _SLACK_S
        path = b'%b?after=%d' % (_PATH, after)
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status == _TOO_LARGE:
            raise TooLargeError(f'{address}: leaves it to the store')
        if status != _OK:
            raise BrokenAnswerError(f'{address}: got status {status}')
        try:
            return self.log.decode(msgpack.decode(body, type=News))
        except (DecodeError, ValidationError, DeltaError) as exc:
            raise BrokenAnswerError(f'{address}: {exc}') from exc
