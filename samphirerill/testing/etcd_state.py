"""In-memory etcd model: revisions, transactions, leases and watches.

Implements the subset of the etcd v3 API that the project uses. As in that API's
JSON form, numbers are strings, and keys and values are base64.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any

Json = dict[str, Any]
MAX_VALUE = 1_048_576


class InvalidCallError(Exception):
    """The call is invalid; the message is that of etcd."""


@dataclass(slots=True)
class Entry:
    """Current value of a key, in base64, and its revisions."""

    text: str
    create_revision: int
    mod_revision: int
    version: int
    lease: str


@dataclass(slots=True)
class Change:
    """A change to report to watches; `entry` is None for a deletion."""

    revision: int
    key: str
    entry: Entry | None


class EtcdState:
    """State of the service; calls are applied one at a time."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.changes: list[tuple[bytes, Change]] = []
        self.leases: dict[str, tuple[float, float]] = {}
        self._next_lease = 1000

    def find_range(self, call: Json) -> Json:
        """Return the entries of a key range."""
        keys = self._select_keys(call)
        limit = int(call.get('limit', 0)) or len(keys)
        found = [self._describe(key) for key in keys[:limit]]
        return {'kvs': found, 'count': str(len(keys))}

    def put(self, call: Json) -> Json:
        """Set one key."""
        text = call.get('value', '')
        if len(text) * 3 // 4 > MAX_VALUE:
            raise InvalidCallError('etcdserver: request is too large')
        lease = str(call.get('lease', '0'))
        if lease != '0' and lease not in self.leases:
            raise InvalidCallError('etcdserver: requested lease not found')
        key = _decode(call['key'])
        self.revision += 1
        old = self.entries.get(key)
        entry = Entry(
            text,
            old.create_revision if old else self.revision,
            self.revision,
            old.version + 1 if old else 1,
            lease,
        )
        self.entries[key] = entry
        self._log_change(key, entry)
        return {}

    def delete(self, call: Json) -> Json:
        """Delete a range of keys."""
        keys = self._select_keys(call)
        for key in keys:
            self.revision += 1
            self.entries.pop(key)
            self._log_change(key, None)
        return {'deleted': str(len(keys))}

    def run_txn(self, call: Json) -> Json:
        """Run the success or failure operations, depending on the comparisons."""
        succeeded = all(self._compare(item) for item in call.get('compare', ()))
        operations = call.get('success' if succeeded else 'failure', ())
        return {
            'succeeded': succeeded,
            'responses': [
                self._run_operation(operation) for operation in operations
            ],
        }

    def grant(self, call: Json, now: float) -> Json:
        """Grant a lease."""
        self._next_lease += 1
        lease = str(self._next_lease)
        ttl_s = float(call['TTL'])
        self.leases[lease] = (now + ttl_s, ttl_s)
        return {'ID': lease, 'TTL': str(int(ttl_s))}

    def keep_alive(self, call: Json, now: float) -> Json:
        """Renew a lease; a TTL of 0 in the response means that it expired."""
        lease = str(call['ID'])
        if lease not in self.leases:
            return {'result': {'ID': lease, 'TTL': '0'}}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (now + ttl_s, ttl_s)
        return {'result': {'ID': lease, 'TTL': str(int(ttl_s))}}

    def revoke(self, call: Json) -> Json:
        """Revoke a lease and delete its keys."""
        lease = str(call['ID'])
        self.leases.pop(lease, None)
        for key, entry in tuple(self.entries.items()):
            if entry.lease == lease:
                self.revision += 1
                self.entries.pop(key)
                self._log_change(key, None)
        return {}

    def expire(self, now: float) -> None:
        """Revoke all leases whose deadline has passed."""
        for lease, (deadline, _) in tuple(self.leases.items()):
            if deadline <= now:
                self.revoke({'ID': lease})

    def list_changes(self, call: Json) -> list[Json]:
        """Return the watch events of a range from a start revision."""
        start = int(call.get('start_revision', 0))
        first, last = _find_bounds(call)
        return [
            _describe_change(change)
            for key, change in self.changes
            if change.revision >= start and first <= key < last
        ]

    def _run_operation(self, operation: Json) -> Json:
        kind, call = next(iter(operation.items()))
        run = {
            'request_put': self.put,
            'request_range': self.find_range,
            'request_delete_range': self.delete,
            'request_txn': self.run_txn,
        }[kind]
        return {kind.replace('request', 'response'): run(call)}

    def _compare(self, item: Json) -> bool:
        entry = self.entries.get(_decode(item['key']))
        if item['target'] == 'VALUE':
            return entry is not None and entry.text == item['value']
        field = {
            'MOD': 'mod_revision',
            'CREATE': 'create_revision',
            'VERSION': 'version',
        }[item['target']]
        actual = getattr(entry, field) if entry else 0
        expected = int(item.get(field, 0))
        if item.get('result', 'EQUAL') == 'GREATER':
            return actual > expected
        return actual == expected

    def _select_keys(self, call: Json) -> list[bytes]:
        first, last = _find_bounds(call)
        if 'range_end' not in call:
            return [first] if first in self.entries else []
        return sorted(key for key in self.entries if first <= key < last)

    def _describe(self, key: bytes) -> Json:
        return _describe_entry(_encode(key), self.entries[key])

    def _log_change(self, key: bytes, entry: Entry | None) -> None:
        change = Change(self.revision, _encode(key), entry)
        self.changes.append((key, change))


def _find_bounds(call: Json) -> tuple[bytes, bytes]:
    first = _decode(call['key'])
    last = _decode(call['range_end']) if 'range_end' in call else first + b'\0'
    return first, last


def _describe_entry(key: str, entry: Entry) -> Json:
    return {
        'key': key,
        'value': entry.text,
        'create_revision': str(entry.create_revision),
        'mod_revision': str(entry.mod_revision),
        'version': str(entry.version),
        'lease': entry.lease,
    }


def _describe_change(change: Change) -> Json:
    if change.entry is None:
        deleted = {'key': change.key, 'mod_revision': str(change.revision)}
        return {'type': 'DELETE', 'kv': deleted}
    return {'kv': _describe_entry(change.key, change.entry)}


def _decode(text: str) -> bytes:
    return b64decode(text)


def _encode(key: bytes) -> str:
    return b64encode(key).decode()
