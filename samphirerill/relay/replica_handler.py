"""Apply the announcements of replicas in the store to the fleet view."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import format_layers
from samphirerill.fleet.revisions import describe_revision
from samphirerill.node.logs import get_logger
from samphirerill.relay.invalid_entries import InvalidEntries
from samphirerill.relay.platform_adapter import DocumentError

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.platform.store import DeletedKey, StoredItem
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('follower')
_MAX_LOGGED_NAMES = 8


class ReplicaHandler:
    """Handles changes of the keys at which replicas announce themselves.

    Parameters
    ----------
    state : EdgeState
        Holds the view of the fleet.
    health : StoreHealth
        Tells until when a missing entry may come back after an outage.

    Attributes
    ----------
    prefix : str
        Key prefix of the announcements.
    state : EdgeState
        As given.
    """

    def __init__(self, state: EdgeState, health: StoreHealth) -> None:
        self.prefix = state.adapter.replicas_prefix
        self.state = state
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._invalid = InvalidEntries(
            _LOG, 'announcement of a replica is invalid'
        )

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Replace the known replicas by a full listing of the store.

        A known replica whose entry is invalid now keeps its last valid one.
        """
        view = self.state.view
        known = []
        invalid = set()
        for item in found:
            replica = self._decode(item)
            if replica is None:
                invalid.add(self._get_replica_id(item.key))
            else:
                known.append((replica, item.revision))
        known.extend(
            (present.replica, present.revision)
            for replica_id, present in view.replicas.items()
            if replica_id in invalid
        )
        known_ids = {replica.replica_id for replica, _ in known}
        missing = sorted(set(view.replicas) - known_ids)
        view.apply_snapshot(
            known,
            revision,
            self._compute_grace_deadline(),
            self._compute_leaving_deadline(),
        )
        _LOG.info(
            'replicas listed from the store',
            extra={
                'revision': describe_revision(revision),
                'count': len(known),
                'missing': missing[:_MAX_LOGGED_NAMES],
                'unconfirmed': view.removed.list_unconfirmed()[
                    :_MAX_LOGGED_NAMES
                ],
            },
        )
        self.state.notify_listeners()

    def apply_write(self, item: StoredItem) -> None:
        """Apply a new or changed announcement."""
        replica = self._decode(item)
        if replica is not None:
            was_leaving = self.state.view.is_leaving(replica.replica_id)
            previous = self.state.view.replicas.get(replica.replica_id)
            previous_layers = (
                None if previous is None else previous.replica.layers
            )
            self.state.view.apply_announcement(
                replica, item.revision, self._compute_leaving_deadline()
            )
            if replica.layers != previous_layers:
                _LOG.info(
                    'replica layers changed',
                    extra={
                        'replica': replica.replica_id,
                        'layers': format_layers(replica.layers),
                        'before': format_layers(previous_layers),
                    },
                )
            if replica.is_leaving and not was_leaving:
                _LOG.info('replica is leaving', extra={'replica': item.key})

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Apply a deletion, which after an outage may be an expired lease."""
        replica_id = self._get_replica_id(gone.key)
        grace_until = self._compute_grace_deadline()
        self.state.view.remove_announcement(
            replica_id,
            gone.revision,
            grace_until,
            self._compute_leaving_deadline(),
        )
        _LOG.info(
            'replica announcement removed',
            extra={'replica': replica_id, 'may_return': bool(grace_until)},
        )

    def _decode(self, item: StoredItem) -> Replica | None:
        try:
            return self.state.adapter.decode_replica(
                self._get_replica_id(item.key), item.text
            )
        except DocumentError as exc:
            self._invalid.note(item.key, str(exc))
        except Exception as exc:  # noqa: BLE001
            # Others may write under this prefix, too; whatever their entry
            # holds, the other entries must be applied.
            self._invalid.note(item.key, repr(exc))
        return None

    def _get_replica_id(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _compute_grace_deadline(self) -> float:
        """Return until when a missing entry may come back; 0 for never."""
        now = self._loop.time()
        return self._health.compute_grace_deadline(
            now, self._compute_leaving_deadline() - now
        )

    def _compute_leaving_deadline(self) -> float:
        return self.state.compute_leaving_deadline(self._loop.time())
