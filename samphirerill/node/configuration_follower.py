"""Synchronization with the state that nodes share in the key-value service.

One watch delivers changes of the configuration, of the nodes and of leaving
endpoints. A watch can stop delivering without an error, so the accepted
version is also polled; a successful poll proves that this node is not
partitioned from the service.
"""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from samphirerill.backends.store import StoreError, WatchBatch
from samphirerill.control.configuration_log import (
    LOG_PREFIX,
    Change,
    ConfigurationLog,
    LoadedConfiguration,
)
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.errors import ConfigurationError
from samphirerill.control.freshness import ConfigurationFreshness
from samphirerill.core.configuration import build_configuration
from samphirerill.core.events import (
    ConfigurationAccepted,
    ServingResumed,
    ServingSuspended,
)
from samphirerill.node.engine_controller import EngineController
from samphirerill.node.jitter import WIDE_JITTER, add_jitter
from samphirerill.node.logs import get_logger
from samphirerill.node.vm_reader import parse_leaving_endpoints

if TYPE_CHECKING:
    from samphirerill.node.membership import Membership
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

_LOG = get_logger('config')
SHARED_PREFIX = 'shared/'
FLEET_READS_PER_S = 200
MIN_POLL_INTERVAL_S = 1.0
_MIN_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 5.0
_FRESHNESS_CHECK_INTERVAL_S = 0.5


class ConfigurationFollower:
    """Keeps the configuration and the membership of a node up to date."""

    def __init__(
        self, node: Node, worker: StoreWorker, membership: Membership
    ) -> None:
        self.view = ConfigurationView()
        self.freshness = ConfigurationFreshness(node.loop.time())
        prefix = node.settings.store.prefix
        self.log = ConfigurationLog(worker.store, prefix)
        self.engine_controller = EngineController(node, worker)
        self._node = node
        self._worker = worker
        self._membership = membership
        self._prefix = prefix
        self._stop_requested = threading.Event()
        self._suspension_reason = ''
        self._revision = 0
        self._watch_backoff_s = _MIN_BACKOFF_S
        # Whether the service is behind the revision of this node.
        self._was_restored = False
        self._applied_document: dict[str, Any] = {}

    async def run(self) -> None:
        """Load the configuration, then watch and poll until cancelled."""
        loaded = await self._load_first()
        self._apply_loaded(loaded)
        self._revision = loaded.revision
        threading.Thread(
            target=self._watch_forever,
            name='watch',
            daemon=True,
        ).start()
        while True:
            await asyncio.sleep(self._get_poll_interval_s())
            await self._poll()

    async def monitor_freshness(self) -> None:
        """Suspend serving while the configuration may be stale."""
        while True:
            reason = self.freshness.find_suspension_reason(
                self._node.loop.time(),
                self.view.version,
                self._membership.count,
            )
            if reason != self._suspension_reason:
                self._suspension_reason = reason
                event = ServingSuspended(reason) if reason else ServingResumed()
                _LOG.warning(
                    'serving suspended or resumed', extra={'doubt': reason}
                )
                self._node.apply(event)
            await asyncio.sleep(_FRESHNESS_CHECK_INTERVAL_S)

    def apply_change(self, change: Change) -> None:
        """Apply a configuration change from the service or a peer."""
        try:
            is_newer = self.view.apply_change(change)
        except ConfigurationError as exc:
            _LOG.error(
                'invalid configuration change ignored',
                extra={'error': str(exc)},
            )
            return
        if is_newer:
            self._activate()

    def apply_document(self, version: int, document: dict[str, Any]) -> None:
        """Apply a complete configuration from the service or a peer."""
        if self.view.replace_document(version, document):
            self._activate()

    def stop(self) -> None:
        """Stop the watch thread."""
        self._stop_requested.set()

    async def _load_first(self) -> LoadedConfiguration:
        backoff_s = _MIN_BACKOFF_S
        while True:
            loaded = await self._worker.try_run(self.log.load)
            if isinstance(loaded, Ok):
                self.freshness.record_store_read(self._node.loop.time())
                return loaded.ok_value
            error = str(loaded.err_value)
            _LOG.warning(
                'cannot load the configuration; retrying',
                extra={'error': error},
            )
            await asyncio.sleep(add_jitter(backoff_s, WIDE_JITTER))
            backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)

    def _apply_loaded(self, loaded: LoadedConfiguration) -> None:
        self.apply_document(loaded.version, loaded.document)
        for change in loaded.changes:
            self.view.recent_changes.append(change)

    def _activate(self) -> None:
        previous = self._node.router.state.configuration
        configuration = build_configuration(
            self.view.document,
            self.view.version,
            previous,
            self._applied_document,
        )
        self._applied_document = self.view.document
        if configuration.accounts is not previous.accounts:
            self._node.key_index.rebuild(configuration)
        self._node.apply(ConfigurationAccepted(configuration))
        _LOG.info('configuration applied', extra={'version': self.view.version})

    async def _poll(self) -> None:
        version = await self._worker.try_run(self.log.read_version)
        if isinstance(version, Err):
            _LOG.debug(
                'cannot poll the configuration version',
                extra={'error': str(version.err_value)},
            )
            return
        self.freshness.record_store_read(self._node.loop.time())
        self.view.record_accepted_version(version.ok_value)
        if self.view.is_behind() or self._was_restored:
            await self._resynchronize()

    async def _resynchronize(self) -> None:
        """Read everything that the watch covers after it missed a change.

        The watch continues from the revision of this read. Without the shared
        keys, nodes that joined or left in the meantime would be missed.
        """
        loaded = await self._worker.try_run(self.log.load)
        shared = await self._worker.try_run(
            self._worker.store.read_prefix, f'{self._prefix}{SHARED_PREFIX}'
        )
        if isinstance(loaded, Err) or isinstance(shared, Err):
            error = str(loaded.err() or shared.err())
            _LOG.warning('resynchronization failed', extra={'error': error})
            return
        self.apply_document(loaded.ok_value.version, loaded.ok_value.document)
        entries = shared.ok_value.entries
        deleted_keys = self._membership.list_missing_keys(entries)
        revision = shared.ok_value.revision
        self._handle_batch([], WatchBatch(revision, entries, deleted_keys))
        self._revision = max(self._revision, loaded.ok_value.revision)
        self._was_restored = False

    def _get_poll_interval_s(self) -> float:
        """Return a poll interval that keeps the fleet within its read limit."""
        interval_s = max(
            MIN_POLL_INTERVAL_S, self._membership.count / FLEET_READS_PER_S
        )
        return add_jitter(interval_s, WIDE_JITTER)

    def _watch_forever(self) -> None:
        """Watch in a thread and pass the batches to the event loop.

        If the service has compacted the start revision, the watch ends at
        once; the poll then resynchronizes and advances the revision.
        """
        while not self._stop_requested.is_set():
            try:
                self._watch_once()
            except StoreError as exc:
                _LOG.debug('watch failed; retrying', extra={'error': str(exc)})
            self._stop_requested.wait(
                add_jitter(self._watch_backoff_s, WIDE_JITTER)
            )
            self._watch_backoff_s = min(
                _MAX_BACKOFF_S, 2 * self._watch_backoff_s
            )

    def _watch_once(self) -> None:
        """Watch until the connection is lost or the service was restored."""
        start = self._revision + 1
        prefix = f'{self._prefix}{SHARED_PREFIX}'
        for batch in self._worker.store.watch(prefix, start):
            if self._is_behind_node(batch):
                return
            self._revision = max(self._revision, self._post_to_loop(batch))
            self._watch_backoff_s = _MIN_BACKOFF_S

    def _is_behind_node(self, batch: WatchBatch) -> bool:
        """Return whether the service was restored from an older copy.

        It gives out the revisions since then again. A watch from the node's
        revision would hide these changes, so that everything is read again.
        """
        if batch.revision >= self._revision:
            return False
        _LOG.warning(
            'service was restored from a copy; reading everything again',
            extra={'revision': batch.revision, 'previous': self._revision},
        )
        self._revision = batch.revision
        self._was_restored = True
        return True

    def _post_to_loop(self, batch: WatchBatch) -> int:
        log_prefix = f'{self._prefix}{LOG_PREFIX}'
        changes = [
            self.log.read_change(entry)
            for entry in batch.puts
            if entry.key.startswith(log_prefix)
        ]
        loop = self._node.loop
        if not loop.is_closed():
            loop.call_soon_threadsafe(self._handle_batch, changes, batch)
        # Events up to the revision of an empty batch may still be pending.
        return batch.revision if batch.puts or batch.deleted_keys else 0

    def _handle_batch(self, changes: list[Change], batch: WatchBatch) -> None:
        self._membership.handle_watch_batch(batch)
        self.engine_controller.handle_watch_batch(batch)
        leaving = parse_leaving_endpoints(self._prefix, batch)
        if leaving is not None:
            self._node.apply(leaving)
        for change in changes:
            self.apply_change(change)
