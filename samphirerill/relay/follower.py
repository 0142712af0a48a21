"""Follow the store: the configuration in force and the replicas.

All keys are read once and then watched. A watch that ends, for whatever
reason, goes on from the last revision; if that history is gone, everything is
read again. While the store does not answer, what is known stays in force.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from samphirerill.backends.store import StoreError
from samphirerill.fleet.model import format_layers
from samphirerill.fleet.view import LAPSE_GRACE_S
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import DeletedKey, HistoryGoneError
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import EndpointError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.fleet.model import Replica
    from samphirerill.platform.store import (
        Changes,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.news import ChangeLog, NewsSource
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('follower')
_FIRST_PAUSE_S = 0.1
_MOST_PAUSE_S = 0.5
# Missing entries stop to count one by one; so long before the first may.
_COUNTED_MARGIN_S = 0.2
# A call that fails once is no outage in which leases lapse.
_OUTAGE_S = 0.4
# A watch ends with each change; where changes come one after another, as at the
# start of a fleet, each would cost every node a call. The first one is heard at
# once, those that follow within this time in batches, so much apart at most.
_CLOSE_S = 0.5
_FIRST_BATCH_S = 0.05
_MOST_BATCH_S = 0.25
# Names in one log line.
_MOST_SHOWN = 8
# Keys of entries that could not be read, each logged once.
_MOST_UNREADABLE = 256


class StoreHealth:
    """Whether the store answers this node, and since when it does again.

    Parameters
    ----------
    now : float
        The start of this node: what came before may have been an outage.
    """

    __slots__ = ('_down_since', '_first_at', '_regained_at', 'is_up')

    def __init__(self, now: float) -> None:
        self.is_up = False
        self._down_since = now - _OUTAGE_S
        self._regained_at = float('-inf')
        self._first_at = float('inf')

    def note_success(self, now: float) -> None:
        """A call was answered."""
        if self.is_up:
            return
        _LOG.info('store regained')
        self.is_up = True
        self._first_at = min(now, self._first_at)
        if now - self._down_since >= _OUTAGE_S:
            self._regained_at = now

    def note_failure(self, exc: Exception, now: float) -> None:
        """A call was refused or not answered."""
        if self.is_up:
            _LOG.warning('store lost', extra={'error': str(exc)})
            self._down_since = now
        self.is_up = False

    def may_lapse(self, now: float) -> bool:
        """Return whether a missing entry may come back by itself."""
        return not self.is_up or now < self._regained_at + LAPSE_GRACE_S

    def knows_fleet(self, now: float, most_s: float) -> bool:
        """Return whether layers may be planned by the replicas that are known.

        Right after an outage entries may be missing that have only lapsed. A
        node that knew them before counts them as there for a while, and then
        waits until those that live are back; one that has just started does
        not know what is missing. To wait in any case left two data centres
        without a pipeline for 3.7 s after an outage in which replicas had been
        replaced; planned by who knew them, it takes 1.5 s less.

        Parameters
        ----------
        now : float
            On the loop's clock.
        most_s : float
            How long a missing entry counts as there.
        """
        if not self.is_up or now < self._first_at + LAPSE_GRACE_S:
            return False
        since_s = now - self._regained_at
        return not most_s - _COUNTED_MARGIN_S <= since_s < LAPSE_GRACE_S

    def find_grace(self, now: float, most_s: float) -> float:
        """Return until when a missing entry may come back; 0 for never.

        Entries that lapsed are back so soon after the store's return; one
        that goes later than that, or stays away longer, has left.

        Parameters
        ----------
        now : float
            On the loop's clock.
        most_s : float
            How long a replica that has left may still get work.
        """
        if not self.may_lapse(now):
            return 0.0
        until = now + most_s
        if self.is_up:
            until = min(until, self._regained_at + LAPSE_GRACE_S)
        return until


class Folder(Protocol):
    """Takes the news of the keys under one prefix."""

    prefix: str

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""

    def take_item(self, item: StoredItem) -> None:
        """Take one item as it was written."""

    def take_gone(self, gone: DeletedKey) -> None:
        """Take a deletion."""


class Follower:
    """Keeps all folders in step with one watch.

    A watch for each folder would cost three times the calls.

    Parameters
    ----------
    state : EdgeState
        Told when anything has changed.
    store : PlatformStore
        Where the news comes from.
    health : StoreHealth
        Shared by all who call the store.
    folders : sequence of Folder
        Who takes the news.
    news : NewsSource
        Says where to hear of changes: at the store, or at another node.
    log : ChangeLog
        Keeps what is heard, for other nodes.
    """

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        folders: Sequence[Folder],
        news: NewsSource,
        log: ChangeLog,
    ) -> None:
        self.revision = 0
        self._news = news
        self._log = log
        self._state = state
        self._store = store
        self._health = health
        self._folders = folders
        self._loop = asyncio.get_running_loop()
        self._batch_s = 0.0
        self._heard_at = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        pause_s = _FIRST_PAUSE_S
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                _LOG.info('history gone', extra={'revision': self.revision})
                self.revision = 0
                continue
            except StoreError as exc:
                self._health.note_failure(exc, self._loop.time())
                # A watch without an answer may have missed changes; what it
                # would say next is only of what happens from then on.
                self.revision = 0
                await asyncio.sleep(pause_s)
                pause_s = min(_MOST_PAUSE_S, pause_s * 2)
                continue
            self._health.note_success(self._loop.time())
            pause_s = _FIRST_PAUSE_S

    async def _step(self) -> None:
        if not self.revision:
            found, revision = await self._store.read_prefix('')
            for folder in self._folders:
                mine = [
                    item for item in found if item.key.startswith(folder.prefix)
                ]
                folder.take_all(mine, revision)
            self.revision = revision
            self._log.restart(revision)
            self._state.notify()
            return
        changes = await self._hear()
        self._log.note(changes)
        for event in changes.events:
            self._take(event)
        self.revision = max(self.revision, changes.revision)
        self._state.view.reach(self.revision)
        if changes.events:
            self._state.notify()
            await asyncio.sleep(self._choose_pause())

    async def _hear(self) -> Changes:
        """Wait for changes at a watcher, or at the store if there is none."""
        watcher = self._news.choose()
        if watcher:
            try:
                return await self._news.watch(watcher, self.revision)
            except EndpointError as exc:
                _LOG.info(
                    'watcher failed',
                    extra={'watcher': watcher, 'error': str(exc)},
                )
        return await self._store.watch('', self.revision)

    def _choose_pause(self) -> float:
        """Return how long to gather changes before the next watch."""
        now = self._loop.time()
        is_close = now - self._heard_at < _CLOSE_S
        self._heard_at = now
        if is_close:
            longer_s = max(_FIRST_BATCH_S, 2 * self._batch_s)
            self._batch_s = min(_MOST_BATCH_S, longer_s)
        else:
            self._batch_s = 0.0
        return self._batch_s

    def _take(self, event: StoredItem | DeletedKey) -> None:
        for folder in self._folders:
            if not event.key.startswith(folder.prefix):
                continue
            if isinstance(event, DeletedKey):
                folder.take_gone(event)
            else:
                folder.take_item(event)


class ConfigurationFolder:
    """Puts each newer configuration in force."""

    def __init__(self, state: EdgeState) -> None:
        self.prefix = state.dialect.configuration_key
        self.state = state

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        for item in found:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Take one item as it was written."""
        try:
            cfg = self.state.dialect.decode_configuration(item.text)
        except DocumentError as exc:
            _LOG.error('configuration is unreadable', extra={'error': str(exc)})
            return
        self.state.put_in_force(cfg, item.text)

    def take_gone(self, gone: DeletedKey) -> None:
        """A configuration that was deleted stays in force."""
        _LOG.warning('configuration deleted', extra={'key': gone.key})


class ReplicaFolder:
    """Keeps the view of replicas in step.

    Parameters
    ----------
    state : EdgeState
        Holds the view.
    health : StoreHealth
        Tells whether a missing entry may only have lapsed.
    """

    def __init__(self, state: EdgeState, health: StoreHealth) -> None:
        self.prefix = state.dialect.replicas_prefix
        self.state = state
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._unreadable: set[str] = set()

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        view = self.state.view
        known = []
        unreadable = set()
        for item in found:
            replica = self._decode(item)
            if replica is None:
                unreadable.add(self._strip(item.key))
            else:
                known.append((replica, item.revision))
        known.extend(
            (present.replica, present.revision)
            for replica_id, present in view.known.items()
            if replica_id in unreadable
        )
        present = {replica.replica_id for replica, _ in known}
        missing = sorted(set(view.known) - present)
        view.replace_all(
            known, revision, self._get_grace(), self._find_leaves_at()
        )
        _LOG.info(
            'replicas read',
            extra={
                'revision': revision,
                'count': len(known),
                'missing': missing[:_MOST_SHOWN],
            },
        )
        self.state.notify()

    def take_item(self, item: StoredItem) -> None:
        """Take one item as it was written."""
        replica = self._decode(item)
        if replica is not None:
            was_leaving = self.state.view.is_leaving(replica.replica_id)
            before = self.state.view.known.get(replica.replica_id)
            held = None if before is None else before.replica.layers
            self.state.view.announce(
                replica, item.revision, self._find_leaves_at()
            )
            if replica.layers != held:
                _LOG.info(
                    'replica holds',
                    extra={
                        'replica': replica.replica_id,
                        'layers': format_layers(replica.layers),
                        'before': format_layers(held),
                    },
                )
            if replica.is_leaving and not was_leaving:
                _LOG.info('replica leaves', extra={'replica': item.key})

    def take_gone(self, gone: DeletedKey) -> None:
        """Take a deletion; right after an outage it may be a lapse."""
        replica_id = self._strip(gone.key)
        grace_until = self._get_grace()
        self.state.view.withdraw(
            replica_id, gone.revision, grace_until, self._find_leaves_at()
        )
        _LOG.info(
            'replica withdrawn',
            extra={'replica': replica_id, 'may_return': bool(grace_until)},
        )

    def _decode(self, item: StoredItem) -> Replica | None:
        try:
            return self.state.dialect.decode_replica(
                self._strip(item.key), item.text
            )
        except DocumentError as exc:
            self._note_unreadable(item.key, exc)
            return None

    def _note_unreadable(self, key: str, exc: DocumentError) -> None:
        """Log an entry once; some are written every second."""
        if key in self._unreadable:
            return
        if len(self._unreadable) >= _MOST_UNREADABLE:
            self._unreadable.clear()
        self._unreadable.add(key)
        _LOG.error(
            'announcement is unreadable',
            extra={'key': key, 'error': str(exc)},
        )

    def _strip(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _get_grace(self) -> float:
        """Return until when a missing entry may come back; 0 for never."""
        now = self._loop.time()
        return self._health.find_grace(now, self._find_leaves_at() - now)

    def _find_leaves_at(self) -> float:
        return self.state.find_leaves_at(self._loop.time())
