"""Look up the client account of an API key."""

from __future__ import annotations

import hmac
from hashlib import sha256
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from samphirerill.core.configuration import Configuration

_PREFIX_LENGTH = 12
DigestEntry = tuple[str, str]
Buckets = dict[str, list[DigestEntry]]


class KeyIndex:
    """Index of all accounts' API key digests, bucketed by digest prefix.

    The node stores only digests of keys and compares the complete digest in
    constant time.
    """

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        self._buckets: Buckets = {}

    def rebuild(self, configuration: Configuration) -> None:
        """Index the keys of a newly applied configuration."""
        buckets: Buckets = {}
        for account in configuration.accounts.values():
            for digest in account.keys:
                hex_digest = digest.partition(':')[2]
                bucket = buckets.setdefault(hex_digest[:_PREFIX_LENGTH], [])
                bucket.append((hex_digest, account.name))
        self._buckets = buckets

    def find_account(self, key: str) -> str:
        """Return the account of a key, or an empty string."""
        digest = sha256(key.encode()).hexdigest()
        account_name = ''
        for known_digest, name in self._buckets.get(
            digest[:_PREFIX_LENGTH], ()
        ):
            if hmac.compare_digest(known_digest, digest):
                account_name = name
        return account_name
