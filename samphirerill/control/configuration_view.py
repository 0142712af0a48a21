"""A node's copy of the accepted configuration; its version only increases."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

from samphirerill.control.patches import apply_patch

if TYPE_CHECKING:
    from samphirerill.control.configuration_log import Change

_MAX_RECENT_CHANGES = 64


class ConfigurationView:
    """The document in force at this node and its recent changes."""

    __slots__ = (
        '_pending',
        'document',
        'known_version',
        'recent_changes',
        'version',
    )

    def __init__(self) -> None:
        self.version = 0
        self.known_version = 0
        self.document: dict[str, Any] = {}
        self.recent_changes: deque[Change] = deque(maxlen=_MAX_RECENT_CHANGES)
        self._pending: dict[int, Change] = {}

    def replace_document(self, version: int, document: dict[str, Any]) -> bool:
        """Replace the document by a newer one; return whether it was."""
        if version <= self.version:
            return False
        self.version = version
        self.document = document
        self.recent_changes.clear()
        self._discard_applied()
        self._apply_pending()
        return True

    def apply_change(self, change: Change) -> bool:
        """Apply a change when its turn comes; return whether the version rose.

        Changes may arrive late, twice or out of order, from the store or
        from peers. One that is ahead waits for those before it; one that is
        not newer is ignored. Applying either at once would restore an old
        configuration or produce one that was never accepted.
        """
        previous_version = self.version
        if change.version > self.version:
            self._pending[change.version] = change
            self.record_accepted_version(change.version)
            self._apply_pending()
        return self.version > previous_version

    def record_accepted_version(self, version: int) -> None:
        """Record that a version has been accepted."""
        self.known_version = max(self.known_version, version)

    def is_behind(self) -> bool:
        """Return whether a newer version is known to be accepted."""
        return self.known_version > self.version

    def list_changes_after(self, version: int) -> list[Change] | None:
        """Return the changes after a version, or None if not kept."""
        changes = [
            item for item in self.recent_changes if item.version > version
        ]
        if len(changes) == self.version - version:
            return changes
        return None

    def _apply_pending(self) -> None:
        while self.version + 1 in self._pending:
            change = self._pending.pop(self.version + 1)
            self.document = apply_patch(self.document, change.patch)
            self.version = change.version
            self.recent_changes.append(change)
        self._discard_applied()
        self.record_accepted_version(self.version)

    def _discard_applied(self) -> None:
        for version in tuple(self._pending):
            if version <= self.version:
                self._pending.pop(version)
