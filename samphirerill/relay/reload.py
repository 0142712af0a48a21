"""Take changed settings over while serving.

The settings file may change with a signal or without one; its content is looked
at now and then. What can't change while a node runs, its own addresses, stays
as it is and is logged; a file that can't be read changes nothing.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from msgspec import structs

from samphirerill.node.logs import get_logger
from samphirerill.settings.errors import InvalidDocumentError

if TYPE_CHECKING:
    from collections.abc import Callable

    from samphirerill.platform.settings import EdgeSettings
    from samphirerill.platform.store import PlatformStore
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('settings')
# A look costs two system calls; a change is in force soon after.
_LOOK_S = 1.0
# A node is known to the others by these, and listens there.
_FIXED = (
    'name',
    'data_centre',
    'host',
    'callers',
    'readiness',
    'peers',
    'exchange_port',
    'metrics_port',
)


class SettingsFile:
    """One settings file, and how it is read.

    Parameters
    ----------
    path : str
        The file.
    load : callable
        Reads and checks it; raises ``InvalidDocumentError``.
    """

    __slots__ = ('_load', '_path', '_seen')

    def __init__(self, path: str, load: Callable[[str], EdgeSettings]) -> None:
        self._path = Path(path)
        self._load = load
        self._seen = self._look()

    def read_if_changed(self) -> EdgeSettings | None:
        """Return the settings if the file is another than last time."""
        seen = self._look()
        if seen is None or seen == self._seen:
            return None
        self._seen = seen
        return self.read()

    def read(self) -> EdgeSettings | None:
        """Return the settings as they are now, or none if they are faulty."""
        try:
            return self._load(str(self._path))
        except InvalidDocumentError as exc:
            _LOG.error('settings are faulty', extra={'error': str(exc)})
            return None

    def _look(self) -> tuple[int, int, int] | None:
        try:
            found = self._path.stat()
        except OSError as exc:
            _LOG.warning('settings are not there', extra={'error': str(exc)})
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino


class Reloader:
    """Puts changed settings in force.

    Parameters
    ----------
    state : EdgeState
        Holds the settings in force.
    store : PlatformStore
        May have another address.
    source : SettingsFile, optional
        Where changes come from; without it nothing changes.
    """

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        source: SettingsFile | None,
    ) -> None:
        self._state = state
        self._store = store
        self._source = source

    async def run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await asyncio.sleep(_LOOK_S)
            if self._source is not None:
                self._take(self._source.read_if_changed())

    def reload(self) -> None:
        """Read the file now: somebody says that it has changed."""
        if self._source is not None:
            self._take(self._source.read())

    def _take(self, found: EdgeSettings | None) -> None:
        now = self._state.settings
        if found is None or found == now:
            return
        fixed = [
            name
            for name in _FIXED
            if getattr(found, name) != getattr(now, name)
        ]
        if fixed:
            _LOG.warning('a restart is needed', extra={'changed': fixed})
        kept = {name: getattr(now, name) for name in _FIXED}
        settings = structs.replace(found, **kept)
        self._state.change_settings(settings)
        self._store.change_address(settings.store)
        _LOG.info('settings in force', extra={'store': settings.store})
