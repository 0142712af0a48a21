"""Checksums that identify replicas and keys in messages, to keep them small."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.fleet.view import FleetView


class ReplicaIdIndex:
    """Looks up replica ids by checksum; rebuilt when replicas change."""

    __slots__ = ('_ids', '_version', '_view')

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._ids: dict[int, str] = {}
        self._version = -1

    def get(self, key: int) -> str | None:
        """Return the id of a replica, or none if it is unknown here."""
        if self._version != self._view.membership_version:
            self._ids = {
                checksum_name(replica_id): replica_id
                for replica_id in self._view.replicas
            }
            self._version = self._view.membership_version
        return self._ids.get(key)


def checksum_name(name: str) -> int:
    """Return the checksum that identifies a replica or key in messages."""
    return zlib.crc32(name.encode())
