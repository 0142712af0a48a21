"""Keep the view of replicas in step with their announcements."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from samphirerill.fleet.model import format_layers
from samphirerill.node.logs import get_logger
from samphirerill.relay.dialect import DocumentError

if TYPE_CHECKING:
    from samphirerill.fleet.model import Replica
    from samphirerill.platform.store import DeletedKey, StoredItem
    from samphirerill.relay.state import EdgeState
    from samphirerill.relay.store_health import StoreHealth

_LOG = get_logger('follower')
# Names in one log line.
_MOST_SHOWN = 8
# Keys of entries that could not be read, each logged once.
_MOST_UNREADABLE = 256


class ReplicaFolder:
    """Keeps the view of replicas in step.

    Parameters
    ----------
    state : EdgeState
        Holds the view.
    health : StoreHealth
        Tells whether a missing entry may only have lapsed.
    """

    def __init__(self, state: EdgeState, health: StoreHealth) -> None:
        self.prefix = state.dialect.replicas_prefix
        self.state = state
        self._health = health
        self._loop = asyncio.get_running_loop()
        self._unreadable: set[str] = set()

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        view = self.state.view
        known = []
        unreadable = set()
        for item in found:
            replica = self._decode(item)
            if replica is None:
                unreadable.add(self._strip(item.key))
            else:
                known.append((replica, item.revision))
        known.extend(
            (present.replica, present.revision)
            for replica_id, present in view.known.items()
            if replica_id in unreadable
        )
        present = {replica.replica_id for replica, _ in known}
        missing = sorted(set(view.known) - present)
        view.replace_all(
            known, revision, self._get_grace(), self._find_leaves_at()
        )
        _LOG.info(
            'replicas read',
            extra={
                'revision': revision,
                'count': len(known),
                'missing': missing[:_MOST_SHOWN],
            },
        )
        self.state.notify()

    def take_item(self, item: StoredItem) -> None:
        """Take one item as it was written."""
        replica = self._decode(item)
        if replica is not None:
            was_leaving = self.state.view.is_leaving(replica.replica_id)
            before = self.state.view.known.get(replica.replica_id)
            held = None if before is None else before.replica.layers
            self.state.view.announce(
                replica, item.revision, self._find_leaves_at()
            )
            if replica.layers != held:
                _LOG.info(
                    'replica holds',
                    extra={
                        'replica': replica.replica_id,
                        'layers': format_layers(replica.layers),
                        'before': format_layers(held),
                    },
                )
            if replica.is_leaving and not was_leaving:
                _LOG.info('replica leaves', extra={'replica': item.key})

    def take_gone(self, gone: DeletedKey) -> None:
        """Take a deletion; right after an outage it may be a lapse."""
        replica_id = self._strip(gone.key)
        grace_until = self._get_grace()
        self.state.view.withdraw(
            replica_id, gone.revision, grace_until, self._find_leaves_at()
        )
        _LOG.info(
            'replica withdrawn',
            extra={'replica': replica_id, 'may_return': bool(grace_until)},
        )

    def _decode(self, item: StoredItem) -> Replica | None:
        try:
            return self.state.dialect.decode_replica(
                self._strip(item.key), item.text
            )
        except DocumentError as exc:
            self._note_unreadable(item.key, exc)
            return None

    def _note_unreadable(self, key: str, exc: DocumentError) -> None:
        """Log an entry once; some are written every second."""
        if key in self._unreadable:
            return
        if len(self._unreadable) >= _MOST_UNREADABLE:
            self._unreadable.clear()
        self._unreadable.add(key)
        _LOG.error(
            'announcement is unreadable',
            extra={'key': key, 'error': str(exc)},
        )

    def _strip(self, key: str) -> str:
        return key.removeprefix(self.prefix)

    def _get_grace(self) -> float:
        """Return until when a missing entry may come back; 0 for never."""
        now = self._loop.time()
        return self._health.find_grace(now, self._find_leaves_at() - now)

    def _find_leaves_at(self) -> float:
        return self.state.find_leaves_at(self._loop.time())
