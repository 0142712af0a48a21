"""Log once what is invalid in the store, or in what a node sends."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from logbook import Logger

# Keys that are remembered.
_MAX_KEYS = 256


class InvalidEntries:
    """What was logged, as some of it is written or sent every second.

    Parameters
    ----------
    log : Logger
        Logs them.
    event : str
        The text of the log line.
    key_field : str
        The name of the key in the log line.
    """

    __slots__ = ('_event', '_key_field', '_keys', '_log')

    def __init__(self, log: Logger, event: str, key_field: str = 'key') -> None:
        self._log = log
        self._event = event
        self._key_field = key_field
        self._keys: set[tuple[str, int]] = set()

    def note(self, key: str, reason: str, version: int = 0) -> None:
        """Log an invalid document, unless it was logged before.

        Parameters
        ----------
        key : str
            The key of the entry, or the sender.
        reason : str
            What is invalid.
        version : int
            Tells apart documents under one key that are each to be logged.
        """
        if (key, version) in self._keys:
            return
        if len(self._keys) >= _MAX_KEYS:
            self._keys.clear()
        self._keys.add((key, version))
        self._log.error(
            self._event, extra={self._key_field: key, 'error': reason}
        )
