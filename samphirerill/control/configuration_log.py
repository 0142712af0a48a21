"""The operators' configuration in the platform's key-value store.

Layout below the prefix::

    shared/config/head          {"version": 7}
    shared/config/log/000…007   one change: id, patch, author, time
    shared/config/snapshot      {"version": 5, "parts": 3}
    config-parts/ID/000         a part of a change or snapshot

A change is accepted by one transaction that replaces ``head`` if it is
unchanged and adds the log entry. Changes are stored as patches, so the traffic
of a change does not depend on the size of the configuration. Texts too large
for one value are written in parts first, under a unique id.
"""

from __future__ import annotations

import json
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from samphirerill.backends.store import (
    Put,
    RevisionEquals,
    StoredEntry,
    StoreUnreachableError,
    Transaction,
)
from samphirerill.control.errors import ConfigurationError, InvalidPatchError
from samphirerill.control.parts import PART_CHARS, PartStore
from samphirerill.control.patches import apply_patch
from samphirerill.settings.checks import check_configuration

if TYPE_CHECKING:
    from samphirerill.backends.store import KeyValueStore, TransactionResult

HEAD_KEY = 'shared/config/head'
LOG_PREFIX = 'shared/config/log/'
SNAPSHOT_KEY = 'shared/config/snapshot'
SNAPSHOT_INTERVAL = 50
RETAINED_CHANGES = 500
_COMMIT_TIMEOUT_S = 5.0
_RETRY_PAUSE_S = 0.1


class StaleBaseError(ConfigurationError):
    """The patch was written against a version that is not current."""

    def __init__(self, base: int, current: int) -> None:
        self.base = base
        self.current = current
        super().__init__(
            f'got a patch against version {base}, expected version {current}; '
            f'look at version {current} and write the patch anew',
        )


class UnknownResultError(ConfigurationError):
    """The store did not answer; the write may have taken effect."""

    def __init__(self, version: int) -> None:
        super().__init__(
            f'version {version} may or may not have been accepted: the '
            'service gave no answer; look at the history before trying again',
        )


@dataclass(slots=True, frozen=True)
class Change:
    """One accepted change; `patch` is a list of RFC 6902 operations."""

    version: int
    change_id: str
    patch: list[Any]
    author: str
    written_at: float

    def to_json(self) -> dict[str, Any]:
        """Return the change as it is stored and sent to peers."""
        return {
            'version': self.version,
            'id': self.change_id,
            'patch': self.patch,
            'author': self.author,
            'at': self.written_at,
        }


@dataclass(slots=True)
class LoadedConfiguration:
    """A complete configuration read from the store."""

    version: int
    document: dict[str, Any]
    revision: int
    changes: list[Change]


class ConfigurationLog:
    """Reads and extends the configuration in the store.

    All methods block; call them from a worker thread.
    """

    def __init__(
        self,
        store: KeyValueStore,
        prefix: str,
        retry_pause_s: float = _RETRY_PAUSE_S,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._retry_pause_s = retry_pause_s
        self._parts = PartStore(store, prefix)

    def load(self) -> LoadedConfiguration:
        """Read the newest snapshot and all later changes."""
        stored = self._store.read_prefix(f'{self._prefix}shared/config/')
        by_key = {
            entry.key.removeprefix(self._prefix): entry
            for entry in stored.entries
        }
        version, document = self._read_snapshot(by_key.get(SNAPSHOT_KEY))
        changes = [
            self.read_change(entry)
            for key, entry in by_key.items()
            if key.startswith(LOG_PREFIX)
        ]
        for change in changes:
            if change.version == version + 1:
                document = apply_patch(document, change.patch)
                version = change.version
        return LoadedConfiguration(version, document, stored.revision, changes)

    def read_version(self) -> int:
        """Return the accepted version with one small read."""
        return _read_head(self._store.read_prefix(self._key(HEAD_KEY)).entries)[
            0
        ]

    def read_change(self, entry: StoredEntry) -> Change:
        """Return a log entry's change, fetching its parts if any."""
        document = json.loads(entry.stored_value)
        if 'parts' in document:
            text = self._parts.read(document['id'])
            document['patch'] = json.loads(text)
        return parse_change(document)

    def read_changes(self, after: int) -> list[Change]:
        """Return the changes after a version, in order."""
        stored = self._store.read_prefix(self._key(LOG_PREFIX))
        return [
            self.read_change(entry)
            for entry in stored.entries
            if int(entry.key.rpartition('/')[2]) > after
        ]

    def submit(
        self,
        patch: list[Any],
        base: int,
        author: str,
        *,
        dry_run: bool = False,
    ) -> Change:
        """Accept a patch against a version, or raise why not.

        Parameters
        ----------
        patch : list
            RFC 6902 operations.
        base : int
            The version the patch was written against.
        author : str
            Who submits it, for the history.
        dry_run : bool
            Check everything but write nothing.

        Raises
        ------
        StaleBaseError
            Another version is current; nothing was written.
        InvalidPatchError
            The result would be invalid; nothing was written.
        UnknownResultError
            The store did not answer the write; it may have taken effect.
        StoreError
            The store could not be reached; nothing was written.
        """
        loaded = self.load()
        if loaded.version != base:
            raise StaleBaseError(base, loaded.version)
        document = apply_patch(loaded.document, patch)
        findings = check_configuration(document)
        if findings:
            raise InvalidPatchError(findings)
        change = Change(base + 1, uuid.uuid4().hex, patch, author, time.time())
        if not dry_run:
            self._write(change)
            self._write_snapshot(change.version, document)
        return change

    def _write(self, change: Change) -> None:
        head = self._store.read_prefix(self._key(HEAD_KEY)).entries
        version, revision = _read_head(head)
        if version != change.version - 1:
            raise StaleBaseError(change.version - 1, version)
        transaction = Transaction(
            conditions=[RevisionEquals(self._key(HEAD_KEY), revision)],
            puts=[
                Put(
                    self._key(HEAD_KEY), json.dumps({'version': change.version})
                ),
                Put(
                    self._log_key(change.version),
                    self._serialize_change(change),
                ),
            ],
            else_reads=[self._log_key(change.version), self._key(HEAD_KEY)],
        )
        self._commit_change(change, transaction)

    def _commit_change(self, change: Change, transaction: Transaction) -> None:
        """Commit a change and, if the reply is lost, find out its result.

        The same transaction is repeated until a reply arrives. It cannot be
        applied twice, as it requires ``head`` to be unchanged. If it fails and
        the log entry has this change's id, an earlier attempt took effect.
        """
        committed = self._commit_with_retries(change, transaction)
        if not committed.succeeded:
            self._check_own_change(change, committed.entries)

    def _commit_with_retries(
        self, change: Change, transaction: Transaction
    ) -> TransactionResult:
        deadline = time.monotonic() + _COMMIT_TIMEOUT_S
        may_have_applied = False
        while time.monotonic() <= deadline:
            try:
                return self._store.commit(transaction)
            except StoreUnreachableError as exc:
                may_have_applied = may_have_applied or exc.may_have_applied
                if not may_have_applied:
                    raise
            time.sleep(self._retry_pause_s)
        raise UnknownResultError(change.version)

    def _check_own_change(
        self, change: Change, stored: dict[str, StoredEntry]
    ) -> None:
        entry = stored.get(self._log_key(change.version))
        if entry and json.loads(entry.stored_value)['id'] == change.change_id:
            return
        head = stored.get(self._key(HEAD_KEY))
        current = json.loads(head.stored_value)['version'] if head else 0
        raise StaleBaseError(change.version - 1, current)

    def _serialize_change(self, change: Change) -> str:
        """Return a log entry; write a large patch in parts."""
        text = json.dumps(change.to_json())
        if len(text) <= PART_CHARS:
            return text
        document = change.to_json()
        patch = json.dumps(document.pop('patch'))
        document['parts'] = self._parts.write(change.change_id, patch)
        return json.dumps(document)

    def _write_snapshot(self, version: int, document: Any) -> None:
        """Write a snapshot at intervals, so that new nodes load few changes.

        The change itself is already accepted; if a snapshot fails, a later one
        replaces it.
        """
        if version % SNAPSHOT_INTERVAL:
            return
        name = f'snapshot-{version}-{uuid.uuid4().hex}'
        try:
            parts = self._parts.write(name, json.dumps(document))
            entry = {'version': version, 'id': name, 'parts': parts}
            put = Put(self._key(SNAPSHOT_KEY), json.dumps(entry))
            self._store.commit(
                Transaction(
                    puts=[put], deletes=self._list_expired_keys(version)
                )
            )
        except StoreUnreachableError:
            return

    def _list_expired_keys(self, version: int) -> list[str]:
        """Return the log entries that a snapshot makes obsolete."""
        last = version - RETAINED_CHANGES
        first = max(1, last - SNAPSHOT_INTERVAL)
        return [self._log_key(number) for number in range(first, last)]

    def _read_snapshot(
        self, entry: StoredEntry | None
    ) -> tuple[int, dict[str, Any]]:
        if entry is None:
            return 0, {}
        spec = json.loads(entry.stored_value)
        return spec['version'], json.loads(self._parts.read(spec['id']))

    def _key(self, name: str) -> str:
        return f'{self._prefix}{name}'

    def _log_key(self, version: int) -> str:
        return self._key(f'{LOG_PREFIX}{version:012}')


def parse_change(document: dict[str, Any]) -> Change:
    """Return a change from its JSON form."""
    return Change(
        document['version'],
        document['id'],
        document['patch'],
        document['author'],
        document['at'],
    )


def _read_head(entries: list[StoredEntry]) -> tuple[int, int]:
    """Return the accepted version and the revision that wrote it."""
    if not entries:
        return 0, 0
    return json.loads(entries[0].stored_value)['version'], entries[0].revision
