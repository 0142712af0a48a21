"""Changes of the store, passed on from the nodes that watch it to the others.

A watcher keeps the latest changes; another node asks it for those after a
revision and waits, as it would at the store. The answer is incomplete if the
watcher does not hear the store itself, or no longer has that history: then the
other node asks the store.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from msgspec import DecodeError, Struct, ValidationError, msgpack

from samphirerill.fleet.watchers import choose_watcher
from samphirerill.platform.store import Changes, DeletedKey, StoredItem
from samphirerill.relay.errors import BrokenAnswerError, EndpointError
from samphirerill.relay.listeners import PageHandler
from samphirerill.relay.pool import call_once

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from samphirerill.relay.listeners import Page
    from samphirerill.relay.server import CallerConnection, Request

_OK = 200
_GONE = 410
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_PATH = b'/changes'
# Changes kept, some minutes' worth; who lacks older ones asks the store.
_MOST_KEPT = 2000
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


class _Row(Struct, array_like=True):
    """One change; `text` is ``None`` if the key was deleted."""

    key: str
    revision: int
    text: bytes | None
    lease: int


class _News(Struct, array_like=True):
    """All changes up to `revision` after the one that was asked for."""

    revision: int
    rows: list[_Row]


class ChangeLog:
    """The latest changes that a node has heard of, in order."""

    def __init__(self) -> None:
        self.revision = 0
        self._oldest = 0
        self._rows: deque[_Row] = deque()
        self._changed = asyncio.Event()

    def restart(self, revision: int) -> None:
        """Everything was read anew: what came before is not known."""
        self._rows.clear()
        self._oldest = revision
        self._advance(revision)

    def note(self, changes: Changes) -> None:
        """Keep changes that were heard."""
        self._rows.extend(map(_build_row, changes.events))
        while len(self._rows) > _MOST_KEPT:
            self._oldest = self._rows.popleft().revision
        self._advance(changes.revision)

    def has(self, after: int) -> bool:
        """Return whether all changes after a revision are known here."""
        return self._oldest <= after <= self.revision

    async def wait(self, after: int) -> None:
        """Wait a while for changes after a revision, or a new start."""
        if self.revision > after:
            return
        changed = self._changed
        try:
            async with asyncio.timeout(_WAIT_S):
                await changed.wait()
        except TimeoutError:
            return

    def list_after(self, after: int) -> bytes:
        """Return the changes after a revision that this log has, encoded."""
        rows = [row for row in self._rows if row.revision > after]
        return msgpack.encode(_News(self.revision, rows))

    def _advance(self, revision: int) -> None:
        if revision > self.revision:
            self.revision = revision
            self._changed.set()
            self._changed = asyncio.Event()


class PeerPages(PageHandler):
    """What other nodes may ask this one.

    Parameters
    ----------
    pages : dict
        Pages that need no waiting.
    log : ChangeLog
        What is passed on.
    hears_store : callable
        Returns whether this node itself hears the store.
    """

    def __init__(
        self,
        pages: dict[bytes, Callable[[], Page]],
        log: ChangeLog,
        hears_store: Callable[[], bool],
    ) -> None:
        super().__init__(pages)
        self._log = log
        self._hears_store = hears_store

    async def handle(self, req: Request, conn: CallerConnection) -> None:
        """Answer with a page, or with news."""
        path, _, query = req.target.partition(b'?')
        if path != _PATH:
            await super().handle(req, conn)
            return
        after = parse_qs(query).get(b'after', [b''])[0]
        status, body = await self._find_news(after)
        conn.answer(status, [], body)

    async def _find_news(self, after: bytes) -> Page:
        if not after.isdigit():
            return _BAD_REQUEST, b''
        revision = int(after)
        if self._hears_store() and self._log.has(revision):
            await self._log.wait(revision)
        if not self._hears_store():
            return _UNAVAILABLE, b''
        # The log may have begun anew during the wait, and then lacks what
        # changed before. To answer from it made 14 of 69 nodes miss a
        # configuration, and refuse its routes until another node told them.
        if not self._log.has(revision):
            return _GONE, b''
        return _OK, self._log.list_after(revision)


class NewsSource:
    """Where this node hears of changes: the store, or a watcher.

    Parameters
    ----------
    own : str
        The node's name.
    """

    def __init__(self, own: str) -> None:
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
        """Wait at a watcher for changes; raise ``EndpointError`` if it fails."""
        try:
            return await self._ask(self._peers[watcher], after)
        except EndpointError:
            self._avoid_until[watcher] = self._loop.time() + _AVOID_S
            raise

    async def _ask(self, address: str, after: int) -> Changes:
        deadline = self._loop.time() + _WAIT_S + _SLACK_S
        path = b'%b?after=%d' % (_PATH, after)
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status != _OK:
            raise BrokenAnswerError(f'{address}: got status {status}')
        try:
            news = msgpack.decode(body, type=_News)
        except (DecodeError, ValidationError) as exc:
            raise BrokenAnswerError(f'{address}: {exc}') from exc
        return Changes(news.revision, list(map(_build_event, news.rows)))


def _build_row(event: StoredItem | DeletedKey) -> _Row:
    if isinstance(event, StoredItem):
        return _Row(event.key, event.revision, event.text, event.lease)
    return _Row(event.key, event.revision, None, 0)


def _build_event(row: _Row) -> StoredItem | DeletedKey:
    if row.text is None:
        return DeletedKey(row.key, row.revision)
    return StoredItem(row.key, row.revision, row.text, row.lease)
