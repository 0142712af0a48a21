"""Follow the store: the configuration in force and the replicas.

All keys are read once and then watched. A watch that ends, for whatever
reason, goes on from the last revision; if that history is gone, everything is
read again. While the store does not answer, what is known stays in force.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from samphirerill.backends.store import StoreError
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import DeletedKey, HistoryGoneError
from samphirerill.relay.dialect import DocumentError
from samphirerill.relay.errors import EndpointError
from samphirerill.relay.replica_folder import ReplicaFolder

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.platform.store import (
        Changes,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.news import NewsSource
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('follower')
_FIRST_PAUSE_S = 0.1
_MOST_PAUSE_S = 0.5
# A watch ends with each change; where changes come one after another, as at the
# start of a fleet, each would cost every node a call. The first one is heard at
# once, those that follow within this time in batches, so much apart at most.
_CLOSE_S = 0.5
_FIRST_BATCH_S = 0.05
_MOST_BATCH_S = 0.25
# While a fleet starts, nodes and replicas announce themselves for two seconds, and a
# node that does not know the others yet counts itself a watcher: 15 of 22 nodes
# made 15 calls each. Shorter than the 0.6 s without a newcomer after which a fleet is
# first planned for: with 1 s, 16 of 37 replicas were taken for all.
_MOST_STARTING_S = 0.5


class PutOffError(StoreError):
    """This node does not ask the store now; others do."""


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
        self._must_read = False
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
                self._note_store_failed(exc)
                # A watch without an answer may have missed changes; what it
                # would say next is only of what happens from then on. Another
                # node's log is asked by revision, and misses nothing.
                self._must_read = True
                await asyncio.sleep(pause_s)
                pause_s = min(_MOST_PAUSE_S, pause_s * 2)
                continue
            self._health.note_success(self._loop.time())
            pause_s = _FIRST_PAUSE_S

    def _note_store_failed(self, exc: StoreError) -> None:
        if not isinstance(exc, PutOffError):
            self._news.note_store(answers=False)

    async def _step(self) -> None:
        changes = await self._hear() if self.revision else None
        if changes is None:
            self._check_turn()
            found, revision = await self._store.read_prefix('')
            self._news.note_store(answers=True)
            for folder in self._folders:
                mine = [
                    item for item in found if item.key.startswith(folder.prefix)
                ]
                folder.take_all(mine, revision)
            self.revision = revision
            self._must_read = False
            self._log.restart(revision, found)
            self._state.notify()
            return
        self._log.note(changes)
        for event in changes.events:
            self._take(event)
        self.revision = max(self.revision, changes.revision)
        self._state.view.reach(self.revision)
        if changes.events:
            self._state.notify()
            await asyncio.sleep(self._choose_pause())

    async def _hear(self) -> Changes | None:
        """Wait for changes at a watcher, or at the store if there is none.

        Returns none if all must be read anew. A node that the store turned
        away once, and asked only the store from then on, was deaf though
        watchers would have told it.
        """
        watcher = self._news.choose()
        if watcher:
            try:
                changes = await self._news.watch(watcher, self.revision)
            except EndpointError as exc:
                _LOG.info(
                    'watcher failed',
                    extra={'watcher': watcher, 'error': str(exc)},
                )
            else:
                self._must_read = False
                return changes
        if self._must_read:
            return None
        self._check_turn()
        changes = await self._store.watch('', self.revision)
        self._news.note_store(answers=True)
        return changes

    def _check_turn(self) -> None:
        """Leave the store to the watchers for a while after it has failed."""
        if self.revision and not self._news.may_ask_store():
            raise PutOffError('the watchers ask it')

    def _choose_pause(self) -> float:
        """Return how long to gather changes before the next watch."""
        now = self._loop.time()
        is_close = now - self._heard_at < _CLOSE_S + self._batch_s
        self._heard_at = now
        if is_close:
            longer_s = max(_FIRST_BATCH_S, 2 * self._batch_s)
            is_starting = self._news.is_starting()
            most_s = _MOST_STARTING_S if is_starting else _MOST_BATCH_S
            self._batch_s = min(most_s, longer_s)
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


def build_follower(
    state: EdgeState,
    store: PlatformStore,
    health: StoreHealth,
    folders: Sequence[Folder],
    news: NewsSource,
    log: ChangeLog,
) -> Follower:
    """Return a follower of the configuration, the replicas and more.

    Parameters are those of `Follower`; `folders` take the news of other keys.
    """
    all_folders: list[Folder] = [
        ConfigurationFolder(state),
        ReplicaFolder(state, health),
        *folders,
    ]
    return Follower(state, store, health, all_folders, news, log)
