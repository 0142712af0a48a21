"""Index of which engines have which prompt prefixes cached, for placement.

A prefix is identified by a digest over the client account and the text up to
the end of a block. Equal prompts of two accounts therefore have different
digests, and neither account can learn from timing what the other has cached.

Engines report what they stored and evicted late and with gaps. After a gap,
all that was recorded for the engine is discarded: a missing entry costs one
prefill, a stale one would keep sending an account's requests to one engine.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

BLOCK_CHARS = 64
MAX_BLOCKS = 16
MAX_PREFIXES = 20_000
_DIGEST_CHARS = 24
NO_ENDPOINTS: frozenset[str] = frozenset()


@dataclass(slots=True, frozen=True)
class CacheEvents:
    """Consecutive cache events of an engine.

    `first` is the number of the first event the engine still has available,
    `last` that of the newest one.
    """

    first: int
    last: int
    stored: tuple[str, ...] = ()
    evicted: tuple[str, ...] = ()


class PrefixIndex:
    """Endpoints by prefix; the least recently used prefixes are evicted."""

    __slots__ = ('_endpoints', '_last_events')

    def __init__(self) -> None:
        self._endpoints: OrderedDict[str, set[str]] = OrderedDict()
        self._last_events: dict[str, int] = {}

    def get_last_event(self, endpoint: str) -> int:
        """Return the number of the last event received from an engine."""
        return self._last_events.get(endpoint, 0)

    def apply_events(self, endpoint: str, events: CacheEvents) -> None:
        """Apply events, after discarding all entries if some were missed."""
        if events.first > self.get_last_event(endpoint) + 1:
            self.remove_endpoint(endpoint)
        if events.last < self.get_last_event(endpoint):
            self.remove_endpoint(endpoint)
        self._last_events[endpoint] = events.last
        for digest in events.stored:
            self._endpoints.setdefault(digest, set()).add(endpoint)
            self._endpoints.move_to_end(digest)
        for digest in events.evicted:
            self._discard(digest, endpoint)
        while len(self._endpoints) > MAX_PREFIXES:
            self._endpoints.popitem(last=False)

    def remove_endpoint(self, endpoint: str) -> None:
        """Discard all entries of an engine."""
        for digest in tuple(self._endpoints):
            self._discard(digest, endpoint)

    def find_endpoints(self, prefixes: tuple[str, ...]) -> frozenset[str]:
        """Return the engines that hold the longest indexed prefix."""
        for digest in reversed(prefixes):
            endpoints = self._endpoints.get(digest)
            if endpoints:
                self._endpoints.move_to_end(digest)
                return frozenset(endpoints)
        return NO_ENDPOINTS

    def size(self) -> int:
        """Return the number of indexed prefixes."""
        return len(self._endpoints)

    def _discard(self, digest: str, endpoint: str) -> None:
        endpoints = self._endpoints.get(digest)
        if endpoints is None:
            return
        endpoints.discard(endpoint)
        if not endpoints:
            self._endpoints.pop(digest)


def digest_prefixes(account: str, text: str) -> tuple[str, ...]:
    """Return the digests of a prompt's prefixes, the longest last.

    Parameters
    ----------
    account : str
        The client account; part of every digest.
    text : str
        The prompt; only its first ``MAX_BLOCKS`` blocks are digested.
    """
    hasher = hashlib.sha256(f'prefix/{account}/'.encode())
    digests = []
    blocks = min(MAX_BLOCKS, len(text) // BLOCK_CHARS)
    for block in range(blocks):
        start = block * BLOCK_CHARS
        hasher.update(text[start : start + BLOCK_CHARS].encode())
        digests.append(hasher.hexdigest()[:_DIGEST_CHARS])
    return tuple(digests)
