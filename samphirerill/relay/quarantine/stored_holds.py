"""Persist holds in the store, so that they survive a restart of the fleet.

A hold is the period in which a request that crashes replicas is rejected. Nodes
exchange the evidence for holds, but when all nodes are killed at once only the
store has it. The leader writes the holds; every node reads them.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, json

from samphirerill.backends.store import StoreError
from samphirerill.decoding.bounds import Ordinal
from samphirerill.decoding.decoders import build_json_decoder
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.messages import (
    EvidenceMessage,
    InvalidEvidenceError,
    add_age,
    build_messages,
    check_messages,
)
from samphirerill.relay.invalid_entries import InvalidEntries

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.quarantine.evidence_store import EvidenceStore
    from samphirerill.relay.leadership import Leadership
    from samphirerill.relay.quarantine.manager import QuarantineManager
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
PREFIX = 'samphirerill/held/'
# Interval at which the leader compares the quarantine with the store.
_SYNC_INTERVAL_S = 0.25
# Delay after a failed call to the store.
_RETRY_DELAY_S = 2.0
_MAX_STORED = 64
# Bounds of the lease time that the store accepts.
_MIN_LEASE_S = 1.0
_MAX_LEASE_S = 600.0
_MS_PER_S = 1000


class StoredHold(Struct):
    """Stored evidence for one hold; `written_ms` is a Unix time."""

    written_ms: Ordinal
    record: EvidenceMessage


_HOLD = build_json_decoder(StoredHold)


class StoredHolds:
    """Reads the stored holds, and writes them while this node is the leader.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine.
    store : PlatformStore
        Where holds are stored.
    manager : QuarantineManager
        Applies the stored evidence.
    leadership : Leadership
        Whether this node is the leader.
    """

    prefix = PREFIX

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        manager: QuarantineManager,
        leadership: Leadership,
    ) -> None:
        self._state = state
        self._store = store
        self._manager = manager
        self._leadership = leadership
        self._loop = asyncio.get_running_loop()
        self._stored: dict[str, bytes] = {}
        self._invalid = InvalidEntries(_LOG, 'cannot decode stored hold')

    def apply_snapshot(self, found: list[StoredItem], revision: int) -> None:
        """Replace all stored holds by those of a full read."""
        self._stored = {}
        for item in found:
            self.apply_write(item)

    def apply_write(self, item: StoredItem) -> None:
        """Apply the evidence of a stored hold."""
        try:
            hold = _HOLD.decode(item.text)
            check_messages([hold.record])
        except (DecodeError, InvalidEvidenceError) as exc:
            self._invalid.note(item.key, str(exc))
            return
        self._stored[item.key] = hold.record.request
        age_ms = max(0, _read_clock_ms() - hold.written_ms)
        self._manager.apply_records([add_age(hold.record, age_ms)])

    def apply_deletion(self, gone: DeletedKey) -> None:
        """Remove a stored hold that was deleted or has expired."""
        self._stored.pop(gone.key, None)

    async def run(self) -> None:
        """Keep the store up to date until cancelled."""
        while True:
            await asyncio.sleep(_SYNC_INTERVAL_S)
            if not any(map(len, self._list_stores())):
                continue
            if not self._leadership.is_leader():
                continue
            try:
                await self._sync_once()
            except StoreError as exc:
                _LOG.warning('cannot store hold', extra={'error': str(exc)})
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _sync_once(self) -> None:
        """Store one missing hold, and remove one that was refuted."""
        quarantine = self._state.quarantine
        await self._store_missing(quarantine)
        await self._store_missing(quarantine.parts)
        refuted = self._find_refuted()
        if refuted:
            await self._store.write({}, {}, remove=(refuted,))
            self._stored.pop(refuted, None)

    async def _store_missing(self, store: EvidenceStore) -> None:
        unstored = self._find_unstored(store)
        if unstored is not None:
            await self._write(unstored, store)

    def _list_stores(self) -> tuple[EvidenceStore, EvidenceStore]:
        return self._state.quarantine, self._state.quarantine.parts

    def _find_unstored(self, store: EvidenceStore) -> bytes | None:
        """Return a digest whose hold is not stored."""
        if len(self._stored) >= _MAX_STORED:
            return None
        now = self._loop.time()
        stored = set(self._stored.values())
        unstored = (
            digest for digest in store.list_held(now) if digest not in stored
        )
        return next(unstored, None)

    def _find_refuted(self) -> str:
        """Return the key of a hold that a run has refuted since, or empty."""
        for key, digest in self._stored.items():
            for store in self._list_stores():
                record = store.get_record(digest)
                if record is not None and not record.crashes:
                    return key
        return ''

    async def _write(self, digest: bytes, store: EvidenceStore) -> None:
        """Store a hold under a lease that expires with it."""
        now = self._loop.time()
        left_s = store.find_hold_end(digest, now) - now
        if left_s < _MIN_LEASE_S:
            return
        is_part = store is self._state.quarantine.parts
        parts, requests = ((digest,), ()) if is_part else ((), (digest,))
        messages = build_messages(self._state.quarantine, parts, requests, now)
        hold = StoredHold(_read_clock_ms(), messages[0])
        key = PREFIX + digest.hex()
        lease = await self._store.grant_lease(min(left_s, _MAX_LEASE_S))
        await self._store.write({key: json.encode(hold)}, {}, lease)
        self._stored[key] = digest


def _read_clock_ms() -> int:
    return int(time.time() * _MS_PER_S)
