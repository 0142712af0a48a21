"""Find the client account of a bearer key."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.model import Configuration

_BUCKET_CHARS = 12
DigestOwner = tuple[str, str]
Buckets = dict[str, list[DigestOwner]]


class KeyIndex:
    """The digests of all accounts' keys, found by their first characters.

    Only digests are known. The whole digest is compared in constant time.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: Buckets = {}

    def rebuild(self, configuration: Configuration) -> None:
        """Take the keys of a configuration that has come into force."""
        buckets: Buckets = {}
        for account in configuration.accounts.values():
            for digest in account.keys:
                bare = digest.partition(':')[2]
                bucket = buckets.setdefault(bare[:_BUCKET_CHARS], [])
                bucket.append((bare, account.name))
        self._buckets = buckets

    def find_account(self, key: str) -> str:
        """Return the account a key belongs to, or an empty text."""
        digest = sha256(key.encode()).hexdigest()
        found = ''
        for known, name in self._buckets.get(digest[:_BUCKET_CHARS], ()):
            if hmac.compare_digest(known, digest):
                found = name
        return found
