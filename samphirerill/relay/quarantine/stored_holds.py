"""Keep requests that are held back in the store, for a fleet that starts anew.

Nodes tell each other what they know; when all are killed at one moment, only the
store still knows. The commander writes, and every node reads with the other keys.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from msgspec import DecodeError, Struct, ValidationError, json

from samphirerill.backends.store import StoreError
from samphirerill.node.logs import get_logger
from samphirerill.quarantine.messages import (
    ToldRecord,
    UnreadableEvidenceError,
    build_told,
    check_told,
    move_back,
)

if TYPE_CHECKING:
    from samphirerill.platform.store import (
        DeletedKey,
        PlatformStore,
        StoredItem,
    )
    from samphirerill.relay.leadership import Leadership
    from samphirerill.relay.quarantine.keeper import Keeper
    from samphirerill.relay.state import EdgeState

_LOG = get_logger('quarantine')
PREFIX = 'samphirerill/held/'
# How often the commander compares what is held with what is stored.
_EACH_S = 0.25
# A call to the store that failed is made again after so long.
_PAUSE_S = 2.0
_MOST_STORED = 64
# The store grants leases within these bounds.
_LEAST_LEASE_S = 1.0
_MOST_LEASE_S = 600.0
_MS_PER_S = 1000


class StoredHold(Struct):
    """What is stored of one request; `written_ms` is a Unix time."""

    written_ms: int
    record: ToldRecord


class StoredHolds:
    """Follows the stored holds; writes them while this node commands.

    Parameters
    ----------
    state : EdgeState
        Holds the quarantine.
    store : PlatformStore
        Where holds are written.
    keeper : Keeper
        Takes what is read.
    leadership : Leadership
        Says whether this node commands.
    """

    prefix = PREFIX

    def __init__(
        self,
        state: EdgeState,
        store: PlatformStore,
        keeper: Keeper,
        leadership: Leadership,
    ) -> None:
        self._state = state
        self._store = store
        self._keeper = keeper
        self._leadership = leadership
        self._loop = asyncio.get_running_loop()
        self._stored: dict[str, bytes] = {}

    def take_all(self, found: list[StoredItem], revision: int) -> None:
        """Take a whole reading."""
        self._stored = {}
        for item in found:
            self.take_item(item)

    def take_item(self, item: StoredItem) -> None:
        """Let what was known when a hold was written count here too."""
        try:
            hold = json.decode(item.text, type=StoredHold)
            check_told([hold.record])
        except (
            DecodeError,
            ValidationError,
            UnreadableEvidenceError,
        ) as exc:
            facts = {'key': item.key, 'error': str(exc)}
            _LOG.warning('stored hold is unreadable', extra=facts)
            return
        self._stored[item.key] = hold.record.request
        spent_ms = max(0, _read_clock_ms() - hold.written_ms)
        self._keeper.take_told([move_back(hold.record, spent_ms)])

    def take_gone(self, gone: DeletedKey) -> None:
        """A hold has lapsed, or was refuted."""
        self._stored.pop(gone.key, None)

    async def run(self) -> None:
        """Keep the store in step until cancelled."""
        while True:
            await asyncio.sleep(_EACH_S)
            if not len(self._state.quarantine):
                continue
            if not self._leadership.is_held():
                continue
            try:
                await self._step()
            except StoreError as exc:
                _LOG.warning('hold is not stored', extra={'error': str(exc)})
                await asyncio.sleep(_PAUSE_S)

    async def _step(self) -> None:
        """Write one hold that is missing, remove one that was refuted."""
        missing = self._find_missing()
        if missing is not None:
            await self._write(missing)
        refuted = self._find_refuted()
        if refuted:
            await self._store.write({}, {}, remove=(refuted,))
            self._stored.pop(refuted, None)

    def _find_missing(self) -> bytes | None:
        """Return a request that is held and not stored."""
        if len(self._stored) >= _MOST_STORED:
            return None
        now = self._loop.time()
        quarantine = self._state.quarantine
        stored = set(self._stored.values())
        for request, _ in quarantine.list_records():
            if not quarantine.find_held_until(request, now):
                # Those that are held come first.
                return None
            if request not in stored:
                return request
        return None

    def _find_refuted(self) -> str:
        """Return the key of a request that has gone on since; empty if none."""
        for key, request in self._stored.items():
            record = self._state.quarantine.get_record(request)
            if record is not None and not record.deaths:
                return key
        return ''

    async def _write(self, request: bytes) -> None:
        """Write a hold under a key that lapses with it, or is written again."""
        quarantine = self._state.quarantine
        record = quarantine.get_record(request)
        now = self._loop.time()
        left_s = quarantine.find_held_until(request, now) - now
        if record is None or left_s < _LEAST_LEASE_S:
            return
        hold = StoredHold(_read_clock_ms(), build_told(request, record, now))
        key = PREFIX + request.hex()
        lease = await self._store.grant_lease(min(left_s, _MOST_LEASE_S))
        await self._store.write({key: json.encode(hold)}, {}, lease)
        self._stored[key] = request


def _read_clock_ms() -> int:
    return int(time.time() * _MS_PER_S)
