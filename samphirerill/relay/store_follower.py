"""Keep the configuration and the replicas in sync with the store.

All keys are listed once and then watched. A watch that ends for any reason is
resumed from the last revision; if the store has compacted that revision, or was
restored from a copy, all keys are listed again. During a store outage the last
known state stays in use.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from samphirerill.backends.store import StoreError
from samphirerill.fleet.revisions import describe_revision, get_era
from samphirerill.node.logs import get_logger
from samphirerill.platform.store import DeletedKey, RevisionCompactedError
from samphirerill.relay.confirmation import is_recent
from samphirerill.relay.errors import ChangeTooLargeError, EndpointError
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.platform_adapter import DocumentError
from samphirerill.relay.replica_handler import ReplicaHandler

if TYPE_CHECKING:
    from collections.abc import Sequence

    from samphirerill.platform.store import (
        Changes,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.change_log import ChangeLog
    from samphirerill.relay.change_source import ChangeSource
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('follower')
_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 0.5
# A watch ends with each change, so a burst of changes, such as the start of a
# fleet, would cost every node one call per change. The first change is received
# at once; changes that follow it within this time are received in batches.
_BURST_GAP_S = 0.5
_MIN_BATCH_S = 0.05
_MAX_BATCH_S = 0.25
# A node that starts does not know the other nodes yet and so watches the store
# itself. Must stay below the settling time before the first layer plan, or that plan
# would be made without replicas that have already announced themselves.
_MAX_STARTUP_BATCH_S = 0.5
# Each takes a part of the time within which a configuration must take effect.
_MAX_WATCHERS_ASKED = 2


class StoreBackoffError(StoreError):
    """This node backs off from the store and relies on the watcher nodes."""


class ChangeHandler(Protocol):
    """Handles the changes of the keys under one prefix."""

    prefix: str

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Replace the state by a full listing at `revision`."""

    def apply_write(self, item: StoredItem) -> None:
        """Apply the write of one key."""

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Apply the deletion of one key."""


class StoreFollower:
    """Feeds the changes of the store to all handlers, from a single watch.

    A watch for each handler would multiply the calls to the store.

    Parameters
    ----------
    state : EdgeState
        Notified when anything has changed.
    store : PlatformStore
        Client of the key-value store.
    health : StoreHealth
        Tracks whether the store is reachable.
    handlers : sequence of ChangeHandler
        Handlers of the changes, each for one key prefix.
    change_source : ChangeSource
        Chooses where to get changes from: the store, or another node that
        watches it.
    change_log : ChangeLog
        Records the changes, so that they can be relayed to other nodes.

    Attributes
    ----------
    revision : int
        The store revision up to which all changes are applied; 0 if all keys
        must be listed.
    """

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        health: StoreHealth,
        handlers: Sequence[ChangeHandler],
        change_source: ChangeSource,
        change_log: ChangeLog,
    ) -> None:
        self.revision = 0
        self._change_source = change_source
        self._change_log = change_log
        self._state = state
        self._store = store
        self._health = health
        self._handlers = handlers
        self._loop = asyncio.get_running_loop()
        self._must_relist = False
        self._failed = InvalidEntries(_LOG, 'change of the store not applied')
        self._batch_s = 0.0
        self._last_change_at = 0.0
        self._sync_task: asyncio.Task[None] | None = None
        self._is_interrupted = False
        store.era.add_restore_listener(self._handle_restore)
        store.era.add_report_listener(self._interrupt)

    async def run(self) -> None:
        """Apply changes until cancelled."""
        retry_s = _FIRST_RETRY_S
        while True:
            try:
                await self._follow()
            except StoreError as exc:
                self._health.record_failure(exc, self._loop.time())
                self._report_store_failure(exc)
                # A failed watch may have missed changes, so all keys must be
                # listed before watching the store again. Another node's
                # change log is read by revision and has no such gap.
                self._must_relist = True
                await asyncio.sleep(retry_s)
                retry_s = min(_MAX_RETRY_S, retry_s * 2)
            else:
                retry_s = _FIRST_RETRY_S

    async def _follow(self) -> None:
        """Apply the next changes."""
        try:
            was_interrupted = await self._sync_or_be_interrupted()
        except RevisionCompactedError as exc:
            _LOG.info(
                'store cannot continue the watch; listing all keys again',
                extra={
                    'revision': describe_revision(self.revision),
                    'reason': str(exc),
                },
            )
            self.revision = 0
            return
        if not was_interrupted:
            self._health.record_success(self._loop.time())

    async def _sync_or_be_interrupted(self) -> bool:
        """Apply the next changes; return whether the wait was interrupted."""
        self._sync_task = self._loop.create_task(self._sync_once())
        try:
            await self._sync_task
        except asyncio.CancelledError:
            if not self._is_interrupted:
                raise
            return True
        finally:
            self._is_interrupted = False
            self._sync_task = None
        return False

    def _handle_restore(self) -> None:
        self._health.record_restore(self._loop.time())
        self._interrupt()

    def _interrupt(self) -> None:
        """End the current wait for changes, and list all keys again.

        Without that, a watch that waits in the store would hide the restore
        until it ends.
        """
        self._must_relist = True
        task = self._sync_task
        if task is not None and task is not asyncio.current_task():
            self._is_interrupted = True
            task.cancel()

    def _report_store_failure(self, exc: StoreError) -> None:
        if not isinstance(exc, StoreBackoffError):
            self._change_source.record_store_result(answers=False)

    async def _sync_once(self) -> None:
        changes = await self._wait_for_changes() if self.revision else None
        if changes is None:
            self._check_backoff()
            began_at = self._loop.time()
            found, revision = await self._store.read_prefix('')
            self._log_listing(len(found), revision)
            self._change_source.record_store_result(answers=True)
            for handler in self._handlers:
                matching = [
                    item
                    for item in found
                    if item.key.startswith(handler.prefix)
                ]
                handler.apply_snapshot(matching, revision)
            self.revision = revision
            self._must_relist = False
            self._change_log.reset(revision, found, began_at)
            self._state.notify_listeners()
            return
        self._store.era.observe(get_era(changes.revision))
        self._must_relist = False
        self._change_log.append(changes)
        for event in changes.events:
            self._dispatch(event)
        self.revision = max(self.revision, changes.revision)
        self._state.view.advance_revision(self.revision)
        if changes.events:
            self._state.notify_listeners()
            await asyncio.sleep(self._next_batch_delay())

    def _log_listing(self, count: int, revision: int) -> None:
        _LOG.info(
            'all keys listed',
            extra={
                'revision': describe_revision(revision),
                'previous': describe_revision(self._change_log.revision),
                'count': count,
            },
        )

    async def _wait_for_changes(self) -> Changes | None:
        """Wait for changes from a watcher node, or else from the store.

        The watcher nodes are asked first even after the store has failed, as
        they may still receive changes when this node can't reach the store.

        Returns
        -------
        Changes or None
            ``None`` if all keys must be listed again.
        """
        changes = await self._ask_watchers()
        if changes is not None:
            self._must_relist = False
            return changes
        if self._must_relist:
            return None
        self._check_backoff()
        confirmation = self._change_log.confirmation
        until = confirmation.get_renewal_time(self._loop.time())
        changes = await self._store.watch('', self.revision, until)
        self._change_source.record_store_result(answers=True)
        return changes

    async def _ask_watchers(self) -> Changes | None:
        """Wait for changes from a watcher node; return none if none can serve.

        All listeners of a watcher that has failed would otherwise read a large
        configuration from the store at the same moment.
        """
        asked = 0
        watcher = self._change_source.select_watcher()
        while watcher and asked < _MAX_WATCHERS_ASKED:
            asked += 1
            try:
                changes = await self._change_source.watch(
                    watcher, self.revision
                )
            except EndpointError as exc:
                _LOG.info(
                    'call to a watcher node failed',
                    extra={'watcher': watcher, 'error': str(exc)},
                )
                if isinstance(exc, ChangeTooLargeError):
                    return None
            else:
                return changes if self._is_complete(changes) else None
            watcher = self._change_source.select_watcher()
        return None

    def _is_complete(self, changes: Changes) -> bool:
        """Return whether this node need not ask the store for more."""
        now = self._loop.time()
        confirmation = self._change_log.confirmation
        is_confirmed = confirmation.is_valid(now) or is_recent(
            changes.confirmed_at, now
        )
        if changes.events or is_confirmed:
            return True
        _LOG.info(
            'watcher node does not confirm the state; asking the store',
            extra={'age_ms': confirmation.get_age_ms(now)},
        )
        return False

    def _check_backoff(self) -> None:
        """Raise ``StoreBackoffError`` while backing off after a store failure."""
        if self.revision and not self._change_source.may_call_store():
            raise StoreBackoffError(
                'backing off from the store; the watcher nodes watch it'
            )

    def _next_batch_delay(self) -> float:
        """Return how long to batch changes before the next watch.

        Doubles with each change that closely follows the one before.
        """
        now = self._loop.time()
        is_burst = now - self._last_change_at < _BURST_GAP_S + self._batch_s
        self._last_change_at = now
        if is_burst:
            doubled_s = max(_MIN_BATCH_S, 2 * self._batch_s)
            is_starting = self._change_source.is_starting()
            max_s = _MAX_STARTUP_BATCH_S if is_starting else _MAX_BATCH_S
            self._batch_s = min(max_s, doubled_s)
        else:
            self._batch_s = 0.0
        return self._batch_s

    def _dispatch(self, event: StoredItem | DeletedKey) -> None:
        for handler in self._handlers:
            if not event.key.startswith(handler.prefix):
                continue
            try:
                _apply_event(handler, event)
            except Exception as exc:  # noqa: BLE001
                # A handler that fails on one change would fail on it again,
                # and no later change would be applied.
                self._failed.note(event.key, repr(exc))


def _apply_event(
    handler: ChangeHandler, event: StoredItem | DeletedKey
) -> None:
    if isinstance(event, DeletedKey):
        handler.apply_deletion(event)
    else:
        handler.apply_write(event)


class ConfigurationHandler:
    """Applies each newer configuration."""

    def __init__(self, state: EdgeState) -> None:
        self.prefix = state.adapter.configuration_key
        self.state = state
        self._invalid = InvalidEntries(
            _LOG, 'stored configuration is invalid; keeping the current one'
        )

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Apply the configuration found in a full listing."""
        for item in found:
            self.apply_write(item)

    def apply_write(self, item: StoredItem) -> None:
        """Apply a configuration that was written."""
        try:
            cfg = self.state.adapter.decode_configuration(item.text)
        except DocumentError as exc:
            self._invalid.note(item.key, str(exc), item.revision)
            return
        self.state.apply_configuration(cfg, item.text)

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Log the deletion and keep the current configuration."""
        _LOG.warning(
            'configuration key was deleted; keeping the current one',
            extra={'key': gone.key},
        )


def build_store_follower(
    state: EdgeState,
    store: PlatformStore,
    health: StoreHealth,
    handlers: Sequence[ChangeHandler],
    change_source: ChangeSource,
    change_log: ChangeLog,
) -> StoreFollower:
    """Return a `StoreFollower` for the configuration, the replicas and more.

    Parameters
    ----------
    state : EdgeState
        Notified when anything has changed.
    store : PlatformStore
        Client of the key-value store.
    health : StoreHealth
        Tracks whether the store is reachable.
    handlers : sequence of ChangeHandler
        Handlers of further keys.
    change_source : ChangeSource
        Chooses where to get changes from.
    change_log : ChangeLog
        Records the changes for other nodes.
    """
    all_handlers: list[ChangeHandler] = [
        ConfigurationHandler(state),
        ReplicaHandler(state, health),
        *handlers,
    ]
    return StoreFollower(
        state, store, health, all_handlers, change_source, change_log
    )
