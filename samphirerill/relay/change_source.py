"""Distribution of store changes from the nodes that watch it to the others.

A few nodes, the watchers, watch the store and keep the latest changes. Other
nodes long-poll a watcher for the changes after a revision, as they would watch
the store. Each response says how long ago the store confirmed that there are no
further changes. If that is too long ago, or the watcher no longer has the
changes, they fall back to the store.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from msgspec import DecodeError, msgpack

from samphirerill.decoding.decoders import build_msgpack_decoder
from samphirerill.fleet.deltas import DeltaError
from samphirerill.fleet.revisions import describe_revision, get_era
from samphirerill.fleet.watchers import choose_other_watcher, choose_watcher
from samphirerill.node.logs import get_logger
from samphirerill.relay.change_log import ChangeLog
from samphirerill.relay.change_rows import ChangeBatch, Snapshot
from samphirerill.relay.confirmation import Confirmation, parse_confirmation
from samphirerill.relay.errors import (
    BrokenResponseError,
    ChangeTooLargeError,
    EndpointError,
    WatchLostError,
)
from samphirerill.relay.listeners import PageHandler, read_age_ms, read_revision
from samphirerill.relay.pool import call_once
from samphirerill.relay.response_pacing import ResponsePacer, is_paced
from samphirerill.relay.store_era import StoreEra

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import TypeVar

    from samphirerill.platform.store import Changes
    from samphirerill.relay.listeners import Page
    from samphirerill.relay.request import Request
    from samphirerill.relay.server import ClientConnection

    Message = TypeVar('Message')

_LOG = get_logger('news')
_OK = 200
_GONE = 410
_TOO_LARGE = 413
_UNAVAILABLE = 503
_BAD_REQUEST = 400
_NOT_FOUND = 404
# The number is the version of the response format: while nodes with different
# formats run side by side, each gets 404 from the others.
_CHANGES_PATH = b'/changes/5'
_SNAPSHOT_PATH = b'/present/4'
# A poll is answered at the next response of the store to the watcher, and no
# later than the copy of the polling node expires. One that has expired already is
# answered this soon, if the watcher's has not.
_SHORT_POLL_S = 0.15
_RESPONSE_MARGIN_S = 0.1
# How long a node waits for its turn to receive a snapshot. The watcher has just
# told it that it lacks the changes, so it is alive.
_SNAPSHOT_WAIT_S = 1.5
# Watchers that failed are avoided this long; a crashed one stays announced for
# up to 12 s.
_AVOID_FAILED_S = 6.0
# During startup, failed watchers are retried sooner: all nodes of a fleet may
# start together, and watchers become ready last.
_STARTUP_S = 3.0
_AVOID_FAILED_AT_STARTUP_S = 0.5
# Applies to watchers without a connection to the store: asking them costs it
# nothing, and they are the first to know that it is back.
_AVOID_DISCONNECTED_S = 0.5
# Backoff of calls to the store after a failure, while other nodes watch it. It
# is bounded because all watchers may fail meanwhile, and a new configuration
# must take effect within seconds.
_MIN_BACKOFF_S = 2.0
_MAX_BACKOFF_S = 2.5
# Prevents nodes from calling the store at the same moment.
_BACKOFF_JITTER = 0.2
# A watcher whose calls the store refused uses another watcher this long, rather
# than calling the store all the time.
_STORE_REFUSED_S = 2.0
# Watchers batch changes for 0.25 s, and so do the nodes that poll them. A node
# that stays behind others for longer than this uses another watcher for a while.
MAX_LAG_S = 0.7
_AVOID_LAGGING_S = 3.0


class PeerRequestHandler(PageHandler):
    """Serves HTTP requests of other nodes.

    Parameters
    ----------
    pages : dict
        Further pages; each takes the query.
    log : ChangeLog
        The changes that are served.
    receives_from_store : callable
        Returns whether this node receives changes from the store itself.
    """

    def __init__(
        self,
        pages: dict[bytes, Callable[[bytes], Page]],
        log: ChangeLog,
        receives_from_store: Callable[[], bool],
    ) -> None:
        super().__init__({})
        self._extra_pages = pages
        self._log = log
        self._receives_from_store = receives_from_store
        self._loop = asyncio.get_running_loop()
        self._pacer = ResponsePacer()

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Respond with changes, a snapshot or a page."""
        path, _, query = req.target.partition(b'?')
        build_page = self._extra_pages.get(path)
        if path == _CHANGES_PATH:
            status, body = await self._serve_changes(query)
        elif path == _SNAPSHOT_PATH:
            status, body = await self._serve_snapshot(query)
        elif build_page is None:
            status, body = _NOT_FOUND, b''
        else:
            status, body = build_page(query)
        conn.respond(status, [], body)

    async def _serve_changes(self, query: bytes) -> Page:
        after = read_revision(query)
        if after < 0:
            return _BAD_REQUEST, b''
        now = self._loop.time()
        known = Confirmation()
        known.renew(parse_confirmation(read_age_ms(query), now))
        poll_end = _compute_poll_end(known, now)
        if self._may_serve(after):
            until = min(poll_end, self._log.confirmation.expires_at)
            await self._log.wait(after, known.at, until)
        if not self._may_serve(after):
            return _UNAVAILABLE, b''
        # The log may have been reset during the wait, and then lacks earlier
        # changes; a response from it would hide them.
        if not self._log.contains(after):
            return _GONE, b''
        batch = self._encode_changes(after)
        if batch is None:
            return _TOO_LARGE, b''
        if await self._pacer.wait_for_turn(len(batch), poll_end):
            return _OK, batch
        return _OK, msgpack.encode(ChangeBatch(after, []))

    def _encode_changes(self, after: int) -> bytes | None:
        """Return the changes after a revision; none if too large.

        Those that wait for their turn confirm nothing, as they would be older by
        then.
        """
        batch = self._log.encode_changes(after, self._get_age_ms())
        if batch is not None and is_paced(len(batch)):
            return self._log.encode_changes(after)
        return batch

    async def _serve_snapshot(self, query: bytes) -> Page:
        after = read_revision(query)
        if after < 0:
            return _BAD_REQUEST, b''
        if not self._may_serve(after):
            return _UNAVAILABLE, b''
        snapshot = self._log.encode_snapshot(after, self._get_age_ms())
        if snapshot is None:
            return _GONE, b''
        until = self._loop.time() + _SNAPSHOT_WAIT_S
        if await self._pacer.wait_for_turn(len(snapshot), until):
            return _OK, snapshot
        return _UNAVAILABLE, b''

    def _may_serve(self, after: int) -> bool:
        """Return whether a node at revision `after` can rely on this one.

        A node in a later era must not, until this one has listed all keys.
        """
        is_in_era = get_era(after) <= get_era(self._log.revision)
        is_confirmed = self._log.confirmation.is_valid(self._loop.time())
        return is_in_era and is_confirmed and self._receives_from_store()

    def _get_age_ms(self) -> int | None:
        return self._log.confirmation.get_age_ms(self._loop.time())


class ChangeSource:
    """Selects where this node gets store changes: the store or a watcher.

    Parameters
    ----------
    own : str
        Name of this node.
    era : StoreEra, optional
        Told when another node is in a later era of the store.

    Attributes
    ----------
    log : ChangeLog
        The changes that this node has received.
    """

    def __init__(self, own: str, era: StoreEra | None = None) -> None:
        self.log = ChangeLog()
        self._era = era or StoreEra()
        self._own = own
        self._loop = asyncio.get_running_loop()
        self._peers: Mapping[str, str] = {}
        self._avoid_until: dict[str, float] = {}
        # The revision at which this node was last behind others, and since
        # when.
        self._lagging_revision = 0
        self._lagging_since = 0.0
        self._store_refused_until = float('-inf')
        self._random = Random(own)
        self._backoff_s = 0.0
        self._store_call_at = float('-inf')
        self._startup_until = self._loop.time() + _STARTUP_S

    def update_peers(self, peers: Mapping[str, str]) -> None:
        """Set the announced nodes and their HTTP addresses."""
        self._peers = peers

    def record_store_result(self, *, answers: bool) -> None:
        """Record whether a call to the store succeeded."""
        if answers:
            self._backoff_s = 0.0
            self._store_call_at = float('-inf')
            self._store_refused_until = float('-inf')
            return
        now = self._loop.time()
        self._store_refused_until = now + _STORE_REFUSED_S
        doubled_s = max(_MIN_BACKOFF_S, 2 * self._backoff_s)
        self._backoff_s = min(_MAX_BACKOFF_S, doubled_s)
        jitter = 1 + _BACKOFF_JITTER * self._random.random()
        self._store_call_at = now + self._backoff_s * jitter

    def may_call_store(self) -> bool:
        """Return whether this node may call the store now.

        Watchers always may, and so may a node that knows no others.
        """
        if self._loop.time() >= self._store_call_at:
            return True
        return not choose_watcher(self._own, self._peers, ())

    def was_refused_by_store(self) -> bool:
        """Return whether a recent call of this node to the store failed.

        Changes then come from other nodes. Two such watchers that served each
        other would both report that nothing changes.
        """
        return self._loop.time() < self._store_refused_until

    def is_starting(self) -> bool:
        """Return whether this node may not know all other nodes yet."""
        return self._loop.time() < self._startup_until

    def select_watcher(self) -> str:
        """Return the watcher to poll; empty for the store itself."""
        now = self._loop.time()
        avoid = {
            name for name, until in self._avoid_until.items() if until > now
        }
        if self.was_refused_by_store():
            return choose_other_watcher(self._own, self._peers, avoid)
        return choose_watcher(self._own, self._peers, avoid)

    def note_peer_revision(self, known: int, own: int) -> None:
        """Compare the revision of another node with that of this one.

        If others stay ahead, the watcher of this node is taken to have lost its
        connection to the store without noticing. The store itself is used once
        all watchers lag: a large configuration would delay the streams of each
        node that reads it there.

        Parameters
        ----------
        known, own : int
            Store revisions of the other node and of this one.
        """
        now = self._loop.time()
        if known <= own:
            return
        self._era.note_report(get_era(known))
        if self._lagging_revision < own:
            self._lagging_revision = own
            self._lagging_since = now
        elif now >= self._lagging_since + MAX_LAG_S:
            self._lagging_since = now
            watcher = self.select_watcher()
            if watcher:
                self._avoid_until[watcher] = now + _AVOID_LAGGING_S

    async def watch(self, watcher: str, after: int) -> Changes:
        """Wait for changes at a watcher; raise ``EndpointError`` on failure.

        A watcher whose changes are merely too large to forward is not avoided
        afterwards.

        Returns
        -------
        Changes
            Not confirmed if the watcher could not send them in time.
        """
        try:
            return await self._fetch_changes(self._peers[watcher], after)
        except ChangeTooLargeError:
            raise
        except WatchLostError:
            self._avoid_until[watcher] = (
                self._loop.time() + _AVOID_DISCONNECTED_S
            )
            raise
        except EndpointError:
            avoid_s = (
                _AVOID_FAILED_AT_STARTUP_S
                if self.is_starting()
                else _AVOID_FAILED_S
            )
            self._avoid_until[watcher] = self._loop.time() + avoid_s
            raise

    async def _fetch_changes(self, address: str, after: int) -> Changes:
        now = self._loop.time()
        known = self.log.confirmation
        deadline = _compute_poll_end(known, now) + _RESPONSE_MARGIN_S
        path = b'%b?after=%d' % (_CHANGES_PATH, after)
        age_ms = known.get_age_ms(now)
        if age_ms is not None:
            path += b'&age=%d' % age_ms
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status == _GONE:
            return await self._fetch_snapshot(address, after)
        if status == _TOO_LARGE:
            raise ChangeTooLargeError(
                f'{address}: changes are too large to forward'
            )
        if status == _UNAVAILABLE:
            raise WatchLostError(f'{address}: is not connected to the store')
        if status != _OK:
            raise BrokenResponseError(f'{address}: got status {status}')
        batch = _decode_message(address, body, ChangeBatch)
        changes = _apply_decoder(address, batch, self.log.decode)
        changes.confirmed_at = parse_confirmation(
            batch.age_ms, self._loop.time()
        )
        return changes

    async def _fetch_snapshot(self, address: str, after: int) -> Changes:
        """Fetch a snapshot from a watcher that lacks the changes."""
        asked_at = self._loop.time()
        deadline = asked_at + _SNAPSHOT_WAIT_S + _RESPONSE_MARGIN_S
        path = b'%b?after=%d' % (_SNAPSHOT_PATH, after)
        status, body = await call_once(address, b'GET', path, b'', deadline)
        if status == _UNAVAILABLE:
            raise WatchLostError(f'{address}: cannot send a snapshot now')
        if status != _OK:
            raise BrokenResponseError(f'{address}: got status {status}')
        snapshot = _decode_message(address, body, Snapshot)
        changes = _apply_decoder(address, snapshot, self.log.decode_snapshot)
        # The watcher may have held it back until its turn.
        changes.confirmed_at = parse_confirmation(snapshot.age_ms, asked_at)
        _LOG.info(
            'received a snapshot from a watcher',
            extra={
                'after': describe_revision(after),
                'revision': describe_revision(changes.revision),
            },
        )
        return changes


def _compute_poll_end(known: Confirmation, now: float) -> float:
    """Return when to answer a poll at the latest, on the loop's clock.

    Parameters
    ----------
    known : Confirmation
        Of the copy of the polling node.
    now : float
        When the poll began.
    """
    if known.is_valid(now):
        return known.expires_at
    return now + _SHORT_POLL_S


def _decode_message(
    address: str, body: bytes, message_type: type[Message]
) -> Message:
    """Return the message in a watcher's response."""
    try:
        return build_msgpack_decoder(message_type).decode(body)
    except DecodeError as exc:
        raise BrokenResponseError(f'{address}: {exc}') from exc


def _apply_decoder(
    address: str, message: Message, decode_changes: Callable[[Message], Changes]
) -> Changes:
    """Return the changes in a watcher's message."""
    try:
        return decode_changes(message)
    except DeltaError as exc:
        raise BrokenResponseError(f'{address}: {exc}') from exc
