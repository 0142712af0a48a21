"""Which era of the store this node is in.

The store begins a new era when it is restored from a copy. Writes since that
copy are lost, and their revisions are given out again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from samphirerill.node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = get_logger('era')
# Further invalid eras are only counted.
_MAX_LOGGED_INVALID = 8
_MAX_LOGGED_CHARACTERS = 32


class StoreEra:
    """The latest era of the store that this node knows; it never goes back.

    Attributes
    ----------
    current : int
        The era; 0 until the store has named one.
    restores : int
        How often the era has risen since this node knows it.
    invalid_count : int
        How many responses named no valid era, or an earlier one.
    """

    __slots__ = (
        '_is_known',
        '_reported',
        '_on_report',
        '_on_restore',
        'current',
        'invalid_count',
        'restores',
    )

    def __init__(self) -> None:
        self.current = 0
        self.restores = 0
        self.invalid_count = 0
        self._is_known = False
        self._reported = 0
        self._on_restore: list[Callable[[], None]] = []
        self._on_report: list[Callable[[], None]] = []

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` each time the era rises; first added, first called."""
        self._on_restore.append(listener)

    def add_report_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when another node is in a later era than this one."""
        self._on_report.append(listener)

    def observe(self, era: int) -> None:
        """Record an era that the store has named, unless it is an earlier one."""
        if self._is_known and era <= self.current:
            return
        previous = self.current
        was_known = self._is_known
        self.current = era
        self._is_known = True
        if not was_known:
            return
        self.restores += 1
        _LOG.warning(
            'store was restored from a copy',
            extra={'era': era, 'previous': previous},
        )
        for listener in self._on_restore:
            listener()

    def note_report(self, era: int) -> None:
        """Note the era of another node, which only the store can confirm."""
        if not self._is_known or era <= max(self.current, self._reported):
            return
        self._reported = era
        _LOG.info(
            'another node is in a later era',
            extra={'era': self.current, 'reported': era},
        )
        for listener in self._on_report:
            listener()

    def reject(self, text: str) -> None:
        """Count an era that cannot be used, and log the first ones."""
        self.invalid_count += 1
        if self.invalid_count <= _MAX_LOGGED_INVALID:
            _LOG.warning(
                'response names an era that cannot be used',
                extra={
                    'got': text[:_MAX_LOGGED_CHARACTERS],
                    'expected': f'{self.current} or higher',
                },
            )
