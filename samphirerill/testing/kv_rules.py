"""The rules of the key-value stand-in: revisions, transactions, leases.

The subset of the etcd v3 API that the project uses. Numbers travel as strings
and keys and values as base64, as in that API's JSON form.
"""

from __future__ import annotations

from base64 import b64decode, b64encode
from dataclasses import dataclass
from typing import Any

Json = dict[str, Any]
MAX_VALUE = 1_048_576


class RefusedError(Exception):
    """The service refuses a call, as the real one would."""


@dataclass(slots=True)
class Entry:
    """One key's present value; all strings stay in base64."""

    text: str
    create_revision: int
    mod_revision: int
    version: int
    lease: str


@dataclass(slots=True)
class Change:
    """One change for watchers; `entry` is nothing for a deletion."""

    revision: int
    key: str
    entry: Entry | None


class Rules:
    """The state of the service, changed by one call at a time."""

    def __init__(self) -> None:
        self.revision = 1
        self.entries: dict[bytes, Entry] = {}
        self.changes: list[tuple[bytes, Change]] = []
        self.leases: dict[str, tuple[float, float]] = {}
        self._next_lease = 1000

    def find_range(self, call: Json) -> Json:
        """Answer a range call."""
        keys = self._select(call)
        limit = int(call.get('limit', 0)) or len(keys)
        found = [self._describe(key) for key in keys[:limit]]
        return {'kvs': found, 'count': str(len(keys))}

    def put(self, call: Json) -> Json:
        """Set one key."""
        text = call.get('value', '')
        if len(text) * 3 // 4 > MAX_VALUE:
            raise RefusedError('etcdserver: request is too large')
        lease = str(call.get('lease', '0'))
        if lease != '0' and lease not in self.leases:
            raise RefusedError('etcdserver: requested lease not found')
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
        self._note(key, entry)
        return {}

    def delete(self, call: Json) -> Json:
        """Delete a range of keys."""
        keys = self._select(call)
        for key in keys:
            self.revision += 1
            self.entries.pop(key)
            self._note(key, None)
        return {'deleted': str(len(keys))}

    def run_txn(self, call: Json) -> Json:
        """Compare, then carry out one of two lists of operations."""
        held = all(self._compare(item) for item in call.get('compare', ()))
        steps = call.get('success' if held else 'failure', ())
        return {
            'succeeded': held,
            'responses': [self._run_step(step) for step in steps],
        }

    def grant(self, call: Json, now: float) -> Json:
        """Grant a lease."""
        self._next_lease += 1
        name = str(self._next_lease)
        ttl_s = float(call['TTL'])
        self.leases[name] = (now + ttl_s, ttl_s)
        return {'ID': name, 'TTL': str(int(ttl_s))}

    def keep_alive(self, call: Json, now: float) -> Json:
        """Renew a lease; TTL 0 says that it is gone."""
        name = str(call['ID'])
        if name not in self.leases:
            return {'result': {'ID': name, 'TTL': '0'}}
        ttl_s = self.leases[name][1]
        self.leases[name] = (now + ttl_s, ttl_s)
        return {'result': {'ID': name, 'TTL': str(int(ttl_s))}}

    def revoke(self, call: Json) -> Json:
        """End a lease and delete its keys."""
        name = str(call['ID'])
        self.leases.pop(name, None)
        for key, entry in tuple(self.entries.items()):
            if entry.lease == name:
                self.revision += 1
                self.entries.pop(key)
                self._note(key, None)
        return {}

    def expire(self, now: float) -> None:
        """End the leases whose time has come."""
        for name, (deadline, _) in tuple(self.leases.items()):
            if deadline <= now:
                self.revoke({'ID': name})

    def list_changes(self, call: Json) -> list[Json]:
        """Return the events a watch has to send, from its start revision."""
        start = int(call.get('start_revision', 0))
        first, last = _find_bounds(call)
        return [
            _describe_change(change)
            for key, change in self.changes
            if change.revision >= start and first <= key < last
        ]

    def _run_step(self, step: Json) -> Json:
        kind, call = next(iter(step.items()))
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
        wanted = int(item.get(field, 0))
        if item.get('result', 'EQUAL') == 'GREATER':
            return actual > wanted
        return actual == wanted

    def _select(self, call: Json) -> list[bytes]:
        first, last = _find_bounds(call)
        if 'range_end' not in call:
            return [first] if first in self.entries else []
        return sorted(key for key in self.entries if first <= key < last)

    def _describe(self, key: bytes) -> Json:
        return _describe_entry(_encode(key), self.entries[key])

    def _note(self, key: bytes, entry: Entry | None) -> None:
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
        gone = {'key': change.key, 'mod_revision': str(change.revision)}
        return {'type': 'DELETE', 'kv': gone}
    return {'kv': _describe_entry(change.key, change.entry)}


def _decode(text: str) -> bytes:
    return b64decode(text)


def _encode(key: bytes) -> str:
    return b64encode(key).decode()
