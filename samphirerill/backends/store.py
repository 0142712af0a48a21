"""Interface of the platform's key-value service.

Code outside this module depends on this interface only, so that another
service, or a fake with injected faults in tests, can replace etcd.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

NO_LEASE = ''


class StoreError(Exception):
    """Base class of the errors of the key-value service."""


class StoreUnreachableError(StoreError):
    """The service could not be reached, or gave no usable response.

    `may_have_applied` is false only if the call certainly changed nothing. A
    write whose response was lost may have been applied, so it must be neither
    repeated blindly nor reported as failed.
    """

    def __init__(self, detail: str, *, may_have_applied: bool) -> None:
        super().__init__(detail)
        self.may_have_applied = may_have_applied


class StoreRejectedError(StoreError):
    """The service rejected the call."""


@dataclass(slots=True, frozen=True)
class StoredEntry:
    """A key, its value and the revision of its last write."""

    key: str
    stored_value: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """Write of a key; it is deleted when `lease` expires, if given."""

    key: str
    text: str
    lease: str = NO_LEASE


@dataclass(slots=True, frozen=True)
class KeyAbsent:
    """Condition: the key does not exist."""

    key: str


@dataclass(slots=True, frozen=True)
class RevisionEquals:
    """Condition: the key was last written at `revision`; 0 if absent."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class ValueEquals:
    """Condition: the value of the key equals `text`."""

    key: str
    text: str


Condition = KeyAbsent | RevisionEquals | ValueEquals


@dataclass(slots=True)
class Transaction:
    """Writes that are applied atomically if all conditions hold.

    Otherwise `else_puts` are written and the keys in `else_reads` are read.
    Either way it is one call.
    """

    conditions: list[Condition] = field(default_factory=list)
    puts: list[Put] = field(default_factory=list)
    deletes: list[str] = field(default_factory=list)
    else_puts: list[Put] = field(default_factory=list)
    else_reads: list[str] = field(default_factory=list)


@dataclass(slots=True)
class TransactionResult:
    """Result of a transaction; `entries` has the keys that were read."""

    succeeded: bool
    revision: int
    entries: dict[str, StoredEntry] = field(default_factory=dict)


@dataclass(slots=True)
class RangeResult:
    """Entries under a prefix and the revision they were read at."""

    entries: list[StoredEntry]
    revision: int


@dataclass(slots=True)
class WatchBatch:
    """Changes since the previous batch; `deleted_keys` has the deleted keys."""

    revision: int
    puts: list[StoredEntry]
    deleted_keys: list[str]


class KeyValueStore(Protocol):
    """Client of a key-value service; every method may block."""

    def read_prefix(self, prefix: str) -> RangeResult:
        """Read all keys under a prefix, sorted."""

    def commit(self, transaction: Transaction) -> TransactionResult:
        """Run a transaction."""

    def grant_lease(self, ttl_s: int) -> str:
        """Return a new lease's id."""

    def renew_lease(self, lease: str) -> bool:
        """Renew a lease; return whether it still existed."""

    def revoke_lease(self, lease: str) -> None:
        """Revoke a lease and delete its keys."""

    def watch(self, prefix: str, revision: int) -> Iterator[WatchBatch]:
        """Yield changes from `revision` on until the connection is lost."""
