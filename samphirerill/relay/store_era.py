"""Which era of the store this node is in.

The store begins a new era when it is restored from a copy. Writes since that
copy are lost, and their revisions are given out again.
"""

from __future__ import annotations

from samphirerill.node.logs import get_logger

_LOG = get_logger('era')
# Further invalid eras are only counted.
_MAX_LOGGED_INVALID = 8


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

    __slots__ = ('_is_known', 'current', 'invalid_count', 'restores')

    def __init__(self) -> None:
        self.current = 0
        self.restores = 0
        self.invalid_count = 0
        self._is_known = False

    def observe(self, era: int) -> None:
        """Record an era that the store has named, unless it is an earlier one."""
        if self._is_known and era <= self.current:
            return
        previous = self.current
        was_known = self._is_known
        self.current = era
        self._is_known = True
        if was_known:
            self.restores += 1
            _LOG.warning(
                'store was restored from a copy',
                extra={'era': era, 'previous': previous},
            )

    def reject(self, text: str) -> None:
        """Count an era that cannot be used, and log the first ones."""
        self.invalid_count += 1
        if self.invalid_count <= _MAX_LOGGED_INVALID:
            _LOG.warning(
                'response names an era that cannot be used',
                extra={
                    'got': text[: _MAX_LOGGED_INVALID * 4],
                    'expected': f'{self.current} or higher',
                },
            )
