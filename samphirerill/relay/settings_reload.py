"""Reload the settings while serving.

The settings file is polled, and read at once on a reload signal. Settings that
can't change while a node runs, such as its own addresses, are kept and logged.
An invalid file changes nothing.
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
_POLL_INTERVAL_S = 1.0
# The node's identity and listening addresses, fixed until it restarts.
_RESTART_ONLY = (
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
    """A settings file that is watched for changes.

    Parameters
    ----------
    path : str
        Path of the file.
    load : callable
        Reads and validates it; raises ``InvalidDocumentError``.
    """

    __slots__ = ('_file_version', '_load', '_path')

    def __init__(self, path: str, load: Callable[[str], EdgeSettings]) -> None:
        self._path = Path(path)
        self._load = load
        self._file_version = self._read_file_version()

    def read_if_changed(self) -> EdgeSettings | None:
        """Return the settings if the file has changed since the last check."""
        file_version = self._read_file_version()
        if file_version is None or file_version == self._file_version:
            return None
        self._file_version = file_version
        return self.read()

    def read(self) -> EdgeSettings | None:
        """Return the current settings, or ``None`` if they are invalid."""
        try:
            return self._load(str(self._path))
        except InvalidDocumentError as exc:
            _LOG.error(
                'settings file is invalid; keeping the current settings',
                extra={'error': str(exc)},
            )
            return None

    def _read_file_version(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError as exc:
            _LOG.warning(
                'settings file is not readable', extra={'error': str(exc)}
            )
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


class SettingsReloader:
    """Applies changed settings.

    Parameters
    ----------
    state : EdgeState
        Holds the current settings.
    store : PlatformStore
        Client of the store, whose address may change.
    settings_file : SettingsFile, optional
        The settings file; without it nothing is reloaded.
    """

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        settings_file: SettingsFile | None,
    ) -> None:
        self._state = state
        self._store = store
        self._settings_file = settings_file

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            if self._settings_file is not None:
                self._apply(self._settings_file.read_if_changed())

    def reload(self) -> None:
        """Read the file now, as a reload signal asks for it."""
        if self._settings_file is not None:
            self._apply(self._settings_file.read())

    def _apply(self, loaded: EdgeSettings | None) -> None:
        current = self._state.settings
        if loaded is None or loaded == current:
            return
        needs_restart = [
            name
            for name in _RESTART_ONLY
            if getattr(loaded, name) != getattr(current, name)
        ]
        if needs_restart:
            _LOG.warning(
                'changed settings need a restart',
                extra={'changed': needs_restart},
            )
        kept = {name: getattr(current, name) for name in _RESTART_ONLY}
        settings = structs.replace(loaded, **kept)
        self._state.apply_settings(settings)
        self._store.update_address(settings.store)
        _LOG.info('settings applied', extra={'store': settings.store})
