"""Follow what the nodes share in the key-value service.

One watch covers the configuration's changes and the list of nodes. A watch
can go silent without an error, so a small read of the accepted version goes
beside it; that read is also the evidence that this node is not cut off.
"""

from __future__ import annotations

import asyncio
import threading
from typing import TYPE_CHECKING, Any

from result import Err, Ok

from samphirerill.backends.store import StoreError, WatchBatch
from samphirerill.control.configuration_log import (
    LOG,
    Change,
    ConfigurationLog,
    Loaded,
)
from samphirerill.control.configuration_view import ConfigurationView
from samphirerill.control.errors import ConfigurationError
from samphirerill.control.evidence import Evidence
from samphirerill.core.events import (
    ConfigurationAccepted,
    ServingAllowed,
    ServingForbidden,
)
from samphirerill.core.model import build_configuration
from samphirerill.node.commander import Commander
from samphirerill.node.jitter import WIDE, spread
from samphirerill.node.logs import get_logger
from samphirerill.node.vm_reader import read_leaving

if TYPE_CHECKING:
    from samphirerill.node.members import Members
    from samphirerill.node.node import Node
    from samphirerill.node.store_worker import StoreWorker

_LOG = get_logger('config')
SHARED = 'shared/'
FLEET_READS_PER_S = 200
LEAST_POLL_S = 1.0
_LEAST_PAUSE_S = 0.2
_MOST_PAUSE_S = 5.0
_CATCH_UP_S = 0.5


class Follower:
    """Keeps one node's configuration and list of nodes up to date."""

    def __init__(
        self, node: Node, worker: StoreWorker, members: Members
    ) -> None:
        self.view = ConfigurationView()
        self.evidence = Evidence(node.loop.time())
        prefix = node.settings.store.prefix
        self.log = ConfigurationLog(worker.store, prefix)
        self.commander = Commander(node, worker)
        self._node = node
        self._worker = worker
        self._members = members
        self._prefix = prefix
        self._stopping = threading.Event()
        self._forbidden = ''
        self._revision = 0
        self._built_from: dict[str, Any] = {}

    async def run(self) -> None:
        """Load once the service answers, then watch and poll for ever."""
        loaded = await self._load_first()
        self._install(loaded)
        self._revision = loaded.revision
        threading.Thread(
            target=self._watch_forever,
            name='watch',
            daemon=True,
        ).start()
        while True:
            await asyncio.sleep(self._poll_gap_s())
            await self._poll()

    async def judge(self) -> None:
        """Tell the core whenever the evidence for serving changes."""
        while True:
            doubt = self.evidence.find_doubt(
                self._node.loop.time(), self.view.version, self._members.count
            )
            if doubt != self._forbidden:
                self._forbidden = doubt
                event = ServingForbidden(doubt) if doubt else ServingAllowed()
                _LOG.warning('serving changed', extra={'doubt': doubt})
                self._node.apply(event)
            await asyncio.sleep(_CATCH_UP_S)

    def offer(self, change: Change) -> None:
        """Take a change from the service or a peer."""
        try:
            rose = self.view.offer(change)
        except ConfigurationError as exc:
            _LOG.error('change unusable', extra={'error': str(exc)})
            return
        if rose:
            self._put_in_force()

    def install(self, version: int, document: dict[str, Any]) -> None:
        """Take a whole configuration from the service or a peer."""
        if self.view.install(version, document):
            self._put_in_force()

    def stop(self) -> None:
        """Let the watch end."""
        self._stopping.set()

    async def _load_first(self) -> Loaded:
        pause_s = _LEAST_PAUSE_S
        while True:
            loaded = await self._worker.attempt(self.log.load)
            if isinstance(loaded, Ok):
                self.evidence.note_store_read(self._node.loop.time())
                return loaded.ok_value
            why = str(loaded.err_value)
            _LOG.warning('service not there', extra={'error': why})
            await asyncio.sleep(spread(pause_s, WIDE))
            pause_s = min(_MOST_PAUSE_S, 2 * pause_s)

    def _install(self, loaded: Loaded) -> None:
        self.install(loaded.version, loaded.document)
        for change in loaded.changes:
            self.view.recent.append(change)

    def _put_in_force(self) -> None:
        before = self._node.router.state.configuration
        configuration = build_configuration(
            self.view.document, self.view.version, before, self._built_from
        )
        self._built_from = self.view.document
        if configuration.accounts is not before.accounts:
            self._node.keys.rebuild(configuration)
        self._node.apply(ConfigurationAccepted(configuration))
        _LOG.info('in force', extra={'version': self.view.version})

    async def _poll(self) -> None:
        version = await self._worker.attempt(self.log.read_version)
        if isinstance(version, Err):
            _LOG.debug('poll failed', extra={'error': str(version.err_value)})
            return
        self.evidence.note_store_read(self._node.loop.time())
        self.view.note_known(version.ok_value)
        if self.view.is_behind():
            await self._catch_up()

    async def _catch_up(self) -> None:
        """Read what a silent watch has not brought.

        The watch carries more than the configuration: moved on without that,
        it never told of nodes that joined or went meanwhile.
        """
        loaded = await self._worker.attempt(self.log.load)
        shared = await self._worker.attempt(
            self._worker.store.read_prefix, f'{self._prefix}{SHARED}'
        )
        if isinstance(loaded, Err) or isinstance(shared, Err):
            why = str(loaded.err() or shared.err())
            _LOG.warning('catch-up failed', extra={'error': why})
            return
        self.install(loaded.ok_value.version, loaded.ok_value.document)
        entries = shared.ok_value.entries
        gone = self._members.list_missing(entries)
        revision = shared.ok_value.revision
        self._take_batch([], WatchBatch(revision, entries, gone))
        self._revision = max(self._revision, loaded.ok_value.revision)

    def _poll_gap_s(self) -> float:
        """Spread the fleet's polls, so that they stay within its reads."""
        gap_s = max(LEAST_POLL_S, self._members.count / FLEET_READS_PER_S)
        return spread(gap_s, WIDE)

    def _watch_forever(self) -> None:
        """Watch in a thread; what comes is posted to the loop.

        A service that has forgotten the revision to start from ends the
        watch at once; the poll then reads the whole and moves it on.
        """
        pause_s = _LEAST_PAUSE_S
        prefix = f'{self._prefix}{SHARED}'
        while not self._stopping.is_set():
            try:
                for batch in self._worker.store.watch(
                    prefix, self._revision + 1
                ):
                    self._revision = max(self._revision, self._post(batch))
                    pause_s = _LEAST_PAUSE_S
            except StoreError as exc:
                _LOG.debug('watch broke', extra={'error': str(exc)})
            self._stopping.wait(spread(pause_s, WIDE))
            pause_s = min(_MOST_PAUSE_S, 2 * pause_s)

    def _post(self, batch: WatchBatch) -> int:
        log_prefix = f'{self._prefix}{LOG}'
        changes = [
            self.log.read_change(entry)
            for entry in batch.changed
            if entry.key.startswith(log_prefix)
        ]
        loop = self._node.loop
        if not loop.is_closed():
            loop.call_soon_threadsafe(self._take_batch, changes, batch)
        # A batch without events may be ahead of events still to come.
        return batch.revision if batch.changed or batch.gone else 0

    def _take_batch(self, changes: list[Change], batch: WatchBatch) -> None:
        self._members.take_batch(batch)
        self.commander.take_batch(batch)
        leaving = read_leaving(self._prefix, batch)
        if leaving is not None:
            self._node.apply(leaving)
        for change in changes:
            self.offer(change)
