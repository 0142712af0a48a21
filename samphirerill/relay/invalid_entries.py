"""Log each invalid entry of the store once."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from logbook import Logger

# Entries that are remembered.
_MAX_KEYS = 256


class InvalidEntries:
    """Entries that were logged, as some are rewritten every second.

    Parameters
    ----------
    log : Logger
        Logs them.
    event : str
        The text of the log line.
    """

    __slots__ = ('_event', '_keys', '_log')

    def __init__(self, log: Logger, event: str) -> None:
        self._log = log
        self._event = event
        self._keys: set[tuple[str, int]] = set()

    def note(self, key: str, reason: str, version: int = 0) -> None:
        """Log an entry, unless it was logged before.

        Parameters
        ----------
        key : str
            The key of the entry.
        reason : str
            What is wrong with it.
        version : int
            Tells apart documents under one key that are each to be logged.
        """
        if (key, version) in self._keys:
            return
        if len(self._keys) >= _MAX_KEYS:
            self._keys.clear()
        self._keys.add((key, version))
        self._log.error(self._event, extra={'key': key, 'error': reason})
