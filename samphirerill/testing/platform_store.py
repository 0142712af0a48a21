"""A fake of the platform's key-value service, with its published HTTP API.

Tests can make it respond with 503, lose responses, withhold changes from
watches, or restore it from a copy.
"""

from __future__ import annotations

import asyncio
from base64 import b64decode, b64encode
from copy import deepcopy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from msgspec import json

from samphirerill.fleet.model import ClientLimits

if TYPE_CHECKING:
    from samphirerill.relay.connection import Headers
    from samphirerill.relay.server import ClientConnection, Request

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_MIN_TTL_MS = 1000
_MAX_TTL_MS = 600_000
_GONE = 410
_PRECONDITION_FAILED = 412
_UNAVAILABLE = 503
_MS_PER_S = 1000
Json = dict[str, Any]
_ABSENT: Json = {'revision': 0}


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """What a copy of the service holds; `leases` are keys by lease."""

    keys: dict[str, Json]
    events: list[Json]
    revision: int
    leases: dict[int, set[str]]
    ttl_s: dict[int, float]


class FakePlatformStore:
    """In-memory keys, leases and change history of the service.

    `is_unavailable` responds with 503; `withholds_changes` withholds changes
    from watches; `responses_to_lose` is a number of requests to apply without
    responding. `era_text` replaces the era in all responses; empty to omit it.
    """

    def __init__(self) -> None:
        self.keys: dict[str, Json] = {}
        self.events: list[Json] = []
        self.revision = 0
        self.era = 0
        self.era_text: bytes | None = None
        self.compacted_revision = 0
        self.call_count = 0
        self.is_unavailable = False
        self.withholds_changes = False
        self.responses_to_lose = 0
        self.page_size = 500
        self._leases: dict[int, set[str]] = {}
        self._lease_deadlines: dict[int, float] = {}
        self._ttl_s: dict[int, float] = {}
        self._next_lease = 1
        self._changed = asyncio.Condition()

    def get_limits(self) -> ClientLimits:
        """Return the request limits of the server."""
        return ClientLimits()

    def is_draining(self) -> bool:
        """Return whether connections are closed after each response."""
        return False

    async def handle(self, req: Request, conn: ClientConnection) -> None:
        """Handle one API call."""
        self.call_count += 1
        if self.is_unavailable:
            conn.respond(_UNAVAILABLE, self._build_headers(), b'')
            return
        parts = urlsplit(req.target.decode())
        query = {
            name: texts[0] for name, texts in parse_qs(parts.query).items()
        }
        body = json.decode(req.body) if req.body else {}
        status, answer = await self._dispatch(parts.path, query, body)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            conn.abort()
            return
        conn.respond(status, self._build_headers(), json.encode(answer))

    async def put(self, key: str, text: bytes, lease: int = 0) -> int:
        """Write a key directly, in place of an operator or replica."""
        self._put(key, text, lease)
        await self._notify_watches()
        return self.revision

    async def delete(self, key: str) -> None:
        """Delete a key directly."""
        self._delete(key)
        await self._notify_watches()

    def take_copy(self) -> StoreCopy:
        """Return a copy of what the service holds now."""
        return StoreCopy(
            dict(self.keys),
            list(self.events),
            self.revision,
            deepcopy(self._leases),
            dict(self._ttl_s),
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Begin a new era from a copy; all later writes and leases are lost."""
        self.keys = dict(copy.keys)
        self.events = list(copy.events)
        self.revision = copy.revision
        self._leases = deepcopy(copy.leases)
        self._ttl_s = dict(copy.ttl_s)
        self._lease_deadlines.clear()
        self.era += 1
        for lease in self._leases:
            self._renew(lease)
        await self._notify_watches()

    def compact_history(self) -> None:
        """Compact the history: watches from older revisions get 410."""
        self.compacted_revision = self.revision

    async def expire_leases(self) -> None:
        """Expire all leases."""
        for lease in tuple(self._leases):
            self._expire_lease(lease)
        await self._notify_watches()

    async def expire_overdue_leases(self) -> None:
        """Expire the leases that were not renewed in time."""
        now = asyncio.get_running_loop().time()
        overdue = [
            lease
            for lease, deadline in self._lease_deadlines.items()
            if deadline < now
        ]
        for lease in overdue:
            self._expire_lease(lease)
        if overdue:
            await self._notify_watches()

    async def _dispatch(
        self, path: str, query: dict[str, str], body: Json
    ) -> tuple[int, Json]:
        if path == '/kv-key':
            return self._read_key(query['key'])
        if path == '/kv-range':
            return self._list_range(query)
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return await self._run_transaction(body)
        return await self._handle_lease_call(path, body)

    def _read_key(self, key: str) -> tuple[int, Json]:
        found = self.keys.get(key)
        if found is None:
            return _NOT_FOUND, {}
        return _OK, {**found, 'currentRev': self.revision}

    def _list_range(self, query: dict[str, str]) -> tuple[int, Json]:
        names = sorted(
            key
            for key in self.keys
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        page = names[: self.page_size]
        return _OK, {
            'items': [self.keys[key] for key in page],
            'morePages': len(names) > len(page),
            'currentRev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Json]:
        after = int(query['after'])
        era = self.era
        if after < self.compacted_revision or after > self.revision:
            return _GONE, {}
        try:
            async with asyncio.timeout(int(query['waitMs']) / _MS_PER_S):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            not self.withholds_changes
                            and (self.revision > after or self.era > era)
                        )
                    )
        except TimeoutError:
            return _OK, {'events': [], 'currentRev': after}
        if self.era > era and after > self.revision:
            return _GONE, {}
        events = [item for item in self.events if item['revision'] > after]
        return _OK, {'events': events, 'currentRev': self.revision}

    async def _run_transaction(self, body: Json) -> tuple[int, Json]:
        for row in body['expect']:
            found = self.keys.get(row['key'], _ABSENT)
            if found['revision'] != row['revision']:
                return _PRECONDITION_FAILED, {'items': []}
        for row in body['puts']:
            lease = row.get('lease', 0)
            if lease and lease not in self._leases:
                return _NOT_FOUND, {}
            self._put(row['key'], b64decode(row['value']), lease)
        for key in body['remove']:
            self._delete(key)
        await self._notify_watches()
        return _OK, {'revision': self.revision}

    async def _handle_lease_call(
        self, path: str, body: Json
    ) -> tuple[int, Json]:
        if path == '/kv-lease':
            if not _MIN_TTL_MS <= body['ttlMs'] <= _MAX_TTL_MS:
                return _BAD_REQUEST, {}
            lease = self._next_lease
            self._next_lease += 1
            self._leases[lease] = set()
            self._ttl_s[lease] = body['ttlMs'] / _MS_PER_S
            self._renew(lease)
            return _OK, {'lease': lease, 'ttlMs': body['ttlMs']}
        lease = int(path.rpartition('/')[2])
        if lease not in self._leases:
            return _NOT_FOUND, {}
        self._renew(lease)
        if path.startswith('/kv-lease-end/'):
            self._expire_lease(lease)
            await self._notify_watches()
        return _OK, {'ttlMs': 1000}

    def _put(self, key: str, text: bytes, lease: int) -> None:
        self.revision += 1
        item = {
            'key': key,
            'value': b64encode(text).decode(),
            'revision': self.revision,
            'lease': lease,
        }
        self.keys[key] = item
        self.events.append(item)
        for attached in self._leases.values():
            attached.discard(key)
        if lease:
            self._leases[lease].add(key)

    def _delete(self, key: str) -> None:
        if self.keys.pop(key, None) is None:
            return
        self.revision += 1
        self.events.append(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def _build_headers(self) -> Headers:
        text = b'%d' % self.era if self.era_text is None else self.era_text
        return [(b'Store-Era', text)] if text else []

    def _renew(self, lease: int) -> None:
        now = asyncio.get_running_loop().time()
        self._lease_deadlines[lease] = now + self._ttl_s[lease]

    def _expire_lease(self, lease: int) -> None:
        self._lease_deadlines.pop(lease, None)
        self._ttl_s.pop(lease, None)
        for key in self._leases.pop(lease):
            self._delete(key)

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()
