"""Client of etcd's v3 API through its JSON gateway.

Retries and redirects of urllib3 are disabled, because only the calling code
can decide whether a write may be repeated.
"""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from functools import singledispatch
from typing import TYPE_CHECKING, Any

from urllib3 import HTTPConnectionPool, Timeout
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from samphirerill.backends.store import (
    NO_LEASE,
    KeyAbsent,
    Put,
    RangeResult,
    RevisionEquals,
    StoredEntry,
    StoreRejectedError,
    StoreUnreachableError,
    Transaction,
    TransactionResult,
    ValueEquals,
    WatchBatch,
)
from samphirerill.decoding.decoders import parse_json

if TYPE_CHECKING:
    from collections.abc import Iterator

    from samphirerill.settings.model import StoreSettings

_OK = 200
_MIN_SERVER_ERROR = 500
_POOL_SIZE = 4
_WATCH_READ_TIMEOUT_S = 60
Json = dict[str, Any]


class EtcdStore:
    """A thread-safe etcd client.

    Parameters
    ----------
    settings : StoreSettings
        The address in use is the first one; an address that fails is moved
        to the end of the list.
    """

    def __init__(self, settings: StoreSettings) -> None:
        self._settings = settings
        self._pools = [
            _build_pool(address, settings.call_timeout_s)
            for address in settings.addresses
        ]

    def read_prefix(self, prefix: str) -> RangeResult:
        """Read all keys under a prefix, sorted."""
        document = self._call('/v3/kv/range', _build_range(prefix))
        entries = [_parse_entry(entry) for entry in document.get('kvs', ())]
        return RangeResult(entries, _parse_revision(document))

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction in one call."""
        else_puts = _build_put_operations(transaction.else_puts)
        reads = [
            {'request_range': {'key': _encode(key)}}
            for key in transaction.else_reads
        ]
        payload = {
            'compare': [_compare(item) for item in transaction.conditions],
            'success': [
                *_build_put_operations(transaction.puts),
                *_build_delete_operations(transaction.deletes),
            ],
            'failure': [*else_puts, *reads],
        }
        document = self._call('/v3/kv/txn', payload)
        found = _parse_entries(document.get('responses', ()))
        return TransactionResult(
            bool(document.get('succeeded')), _parse_revision(document), found
        )

    def grant_lease(self, ttl_s: int) -> str:
        """Return a new lease's id."""
        return str(self._call('/v3/lease/grant', {'TTL': str(ttl_s)})['ID'])

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return whether it still existed."""
        document = self._call('/v3/lease/keepalive', {'ID': lease})
        return int(document['result'].get('TTL', 0)) > 0

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""
        self._call('/v3/lease/revoke', {'ID': lease})

    def watch(self, prefix: str, revision: int) -> Iterator[WatchBatch]:
        """Yield changes from `revision` on until the connection is lost.

        The first batch is empty and confirms that the watch was created. A
        watch without data for a minute ends with ``StoreUnreachableError``;
        the caller then starts another one after the last revision received.
        """
        payload = {
            'create_request': {
                **_build_range(prefix),
                'start_revision': str(revision),
            },
        }
        response = self._open('/v3/watch', payload, stream=True)
        try:
            yield from _parse_batches(response)
        except (HTTPError, OSError, ValueError) as exc:
            raise StoreUnreachableError(
                f'the watch broke: {exc}', may_have_applied=False
            ) from exc
        finally:
            response.close()

    def _call(self, path: str, payload: Json) -> Json:
        response = self._open(path, payload, stream=False)
        try:
            document = parse_json(response.data)
        except ValueError as exc:
            raise StoreUnreachableError(
                'got an answer that is not JSON', may_have_applied=True
            ) from exc
        if response.status != _OK:
            raise StoreRejectedError(str(document.get('message', document)))
        return document

    def _open(self, path: str, payload: Json, *, stream: bool) -> Any:
        pool = self._pools[0]
        call_timeout_s = self._settings.call_timeout_s
        read_timeout_s = _WATCH_READ_TIMEOUT_S if stream else call_timeout_s
        try:
            response = pool.request(
                'POST',
                path,
                body=json.dumps(payload),
                preload_content=not stream,
                retries=False,
                redirect=False,
                timeout=Timeout(connect=call_timeout_s, read=read_timeout_s),
            )
        except (NewConnectionError, ConnectTimeoutError) as exc:
            self._pools.append(self._pools.pop(0))
            raise StoreUnreachableError(
                f'no connection: {exc}', may_have_applied=False
            ) from exc
        except HTTPError as exc:
            self._pools.append(self._pools.pop(0))
            raise StoreUnreachableError(
                f'no answer: {exc}', may_have_applied=True
            ) from exc
        if response.status >= _MIN_SERVER_ERROR:
            raise StoreUnreachableError(
                f'got status {response.status}', may_have_applied=True
            )
        return response


@singledispatch
def _compare(condition: object) -> Json:
    raise TypeError(f'got {condition!r}, expected a condition of the store')


@_compare.register(KeyAbsent)
def _compare_absent(condition: KeyAbsent) -> Json:
    return {
        'key': _encode(condition.key),
        'target': 'CREATE',
        'result': 'EQUAL',
        'create_revision': '0',
    }


@_compare.register(RevisionEquals)
def _compare_revision(condition: RevisionEquals) -> Json:
    return {
        'key': _encode(condition.key),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': str(condition.revision),
    }


@_compare.register(ValueEquals)
def _compare_value(condition: ValueEquals) -> Json:
    return {
        'key': _encode(condition.key),
        'target': 'VALUE',
        'result': 'EQUAL',
        'value': _encode(condition.text),
    }


def _build_pool(address: str, timeout_s: float) -> HTTPConnectionPool:
    host, _, port = address.rpartition(':')
    return HTTPConnectionPool(
        host, int(port), maxsize=_POOL_SIZE, timeout=timeout_s
    )


def _build_range(prefix: str) -> Json:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {'key': _encode(prefix), 'range_end': _encode(end)}


def _build_put_operations(puts: list[Put]) -> list[Json]:
    return [{'request_put': _build_put(put)} for put in puts]


def _build_put(put: Put) -> Json:
    payload = {'key': _encode(put.key), 'value': _encode(put.text)}
    if put.lease != NO_LEASE:
        payload['lease'] = put.lease
    return payload


def _build_delete_operations(keys: list[str]) -> list[Json]:
    return [{'request_delete_range': {'key': _encode(key)}} for key in keys]


def _parse_entries(responses: Any) -> dict[str, StoredEntry]:
    found = {}
    for response in responses:
        for entry in response.get('response_range', {}).get('kvs', ()):
            stored = _parse_entry(entry)
            found[stored.key] = stored
    return found


def _parse_batches(response: Any) -> Iterator[WatchBatch]:
    buffer = b''
    for chunk in response.stream(None):
        *lines, buffer = (buffer + chunk).split(b'\n')
        for line in lines:
            if line:
                yield _parse_batch(parse_json(line)['result'])


def _parse_batch(document: Json) -> WatchBatch:
    puts = []
    deleted_keys = []
    for event in document.get('events', ()):
        if event.get('type') == 'DELETE':
            deleted_keys.append(_decode(event['kv']['key']))
        else:
            puts.append(_parse_entry(event['kv']))
    return WatchBatch(_parse_revision(document), puts, deleted_keys)


def _parse_entry(entry: Json) -> StoredEntry:
    return StoredEntry(
        _decode(entry['key']),
        _decode(entry.get('value', '')),
        int(entry['mod_revision']),
    )


def _parse_revision(document: Json) -> int:
    return int(document['header']['revision'])


def _encode(text: str) -> str:
    return b64encode(text.encode()).decode()


def _decode(text: str) -> str:
    return b64decode(text).decode()
